package config_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"

	"bulrushtally/config"
)

// TestSelectors reads cases from testdata: selector, labels, and match, no, or the column of the error.
func TestSelectors(t *testing.T) {
	f, err := os.Open("testdata/selectors.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		line := s.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		parts := strings.Split(line, "|")
		text, want := strings.TrimSpace(parts[0]), strings.TrimSpace(parts[2])
		if got := verdict(text, strings.TrimSpace(parts[1])); got != want {
			t.Errorf("selector %q on %q: %s, want %s", text, parts[1], got, want)
		}
	}
}

func verdict(text, labels string) string {
	sel, err := config.ParseSelector(text)
	var se *config.SelectorError
	if errors.As(err, &se) {
		return fmt.Sprintf("error at %d", se.Column)
	}
	m := map[string]string{}
	for _, l := range strings.Fields(labels) {
		k, v, _ := strings.Cut(l, "=")
		m[k] = v
	}
	if sel.Matches(m) {
		return "match"
	}
	return "no"
}

func FuzzParseSelector(f *testing.F) {
	for _, s := range []string{"", "a=b", "a!=b,c in (d,e)", "!x", "a notin (b)", "a in (", ",,", "a==b"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		sel, err := config.ParseSelector(text)
		if err == nil {
			sel.Matches(map[string]string{"a": "b"})
			return
		}
		var se *config.SelectorError
		if !errors.As(err, &se) || se.Column < 1 {
			t.Errorf("error without a position: %v", err)
		}
	})
}

// must plans and applies a wish.
func must(t *testing.T, s *config.State, w config.Wish) *config.State {
	t.Helper()
	w.Force = true
	c, _, err := config.Plan(s, w)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func object(k config.Kind, name string, change func(*config.Object)) config.Wish {
	o := &config.Object{Kind: k, Name: name, Labels: map[string]string{}}
	if change != nil {
		change(o)
	}
	return config.Wish{Object: o, Any: true}
}

// base returns a state with two zones, a service, two customers and a server in each zone.
func base(t *testing.T) *config.State {
	s := &config.State{}
	for _, z := range []string{"kgn-a", "kgn-b"} {
		s = must(t, s, object(config.KindZone, z, nil))
	}
	s = must(t, s, object(config.KindService, "models", nil))
	for _, c := range []string{"large", "small"} {
		s = must(t, s, object(config.KindCustomer, c, func(o *config.Object) { o.Labels["size"] = c }))
	}
	for i, z := range []string{"kgn-a", "kgn-b"} {
		s = must(t, s, object(config.KindBackend, fmt.Sprintf("engine-%d", i), func(o *config.Object) {
			o.Service, o.Zone, o.Address = "models", z, fmt.Sprintf("10.0.0.%d:80", i)
			o.Labels["tier"] = []string{"big", "tiny"}[i]
		}))
	}
	return must(t, s, object(config.KindAccess, "all", func(o *config.Object) { o.Service = "models" }))
}

func TestSelectorsDecideAccess(t *testing.T) {
	s := base(t)
	s = must(t, s, object(config.KindAccess, "all", func(o *config.Object) {
		o.Service, o.CustomerSelector, o.BackendSelector = "models", "size=large", "tier in (big)"
	}))
	v := config.NewView(s)
	if !v.MayUse("large", "models") || v.MayUse("small", "models") {
		t.Error("selector on customers is not obeyed")
	}
	for _, sh := range v.Shards("models") {
		want := uint32(0)
		if sh.ID.Zone == "kgn-a" {
			want = 1
		}
		if got := v.Mask("large", sh.ID); got != want {
			t.Errorf("mask in %s: %b, want %b", sh.ID, got, want)
		}
	}
}

func TestZonesOutOfService(t *testing.T) {
	s := base(t)
	if !s.ZoneInService("kgn-a") {
		t.Error("zone is out of service at the start")
	}
	out := must(t, s, object(config.KindZone, "kgn-a", func(o *config.Object) { o.Labels[config.LabelState] = "out" }))
	if out.ZoneInService("kgn-a") || !out.ZoneInService("kgn-b") {
		t.Error("label service=out is not obeyed")
	}
	out = must(t, s, object(config.KindZone, "kgn-a", func(o *config.Object) { o.Labels["power"] = "weak" }))
	out = must(t, out, object(config.KindOutage, "power", func(o *config.Object) { o.ZoneSelector = "power=weak" }))
	if out.ZoneInService("kgn-a") || !out.ZoneInService("kgn-b") {
		t.Error("outage selector is not obeyed")
	}
}

func TestPlanRefuses(t *testing.T) {
	s := base(t)
	tests := []struct {
		name string
		wish config.Wish
		want string
	}{
		{"bad name", object(config.KindZone, "Kingston A", nil), `name "Kingston A" is not valid`},
		{"unknown kind", object("thing", "x", nil), `kind "thing" is not valid`},
		{"missing zone", object(config.KindBackend, "e", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "spn-c", "10.0.0.9:80" }), "create that zone first"},
		{"bad address", object(config.KindBackend, "e", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "kgn-a", "nowhere" }), "give an IP number and a port"},
		{"bad weight", object(config.KindCustomer, "c", func(o *config.Object) { o.Labels["weight"] = "-1" }), "give a number from 0.01 to 1000"},
		{"bad selector", object(config.KindAccess, "a", func(o *config.Object) { o.Service, o.CustomerSelector = "models", "size in (" }), "character 10"},
		{"key in use", object(config.KindCaller, "c", func(o *config.Object) { o.Customer, o.KeyHash = "small", "short" }), "64 hexadecimal digits"},
		{"in use", config.Wish{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}, Delete: true, Any: true}, "refers to it"},
		{"stale version", config.Wish{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}, Version: 99}, "is at version 1, not 99"},
		{"exists", config.Wish{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}}, "is at version 1, not 0"},
		{"stranded", object(config.KindAccess, "all", func(o *config.Object) { o.Service, o.CustomerSelector = "models", "size=large" }), `customers ["small"]`},
	}
	for _, tt := range tests {
		_, _, err := config.Plan(s, tt.wish)
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q", tt.name, err, tt.want)
		}
	}
}

func TestShardsStayPut(t *testing.T) {
	s := base(t)
	for i := range 70 {
		s = must(t, s, object(config.KindBackend, fmt.Sprintf("more-%02d", i), func(o *config.Object) {
			o.Service, o.Zone, o.Address = "models", "kgn-a", fmt.Sprintf("10.1.0.%d:80", i)
		}))
	}
	was := map[string]int{}
	for _, o := range s.List(config.KindBackend, nil) {
		was[o.Name] = o.Shard
	}
	s = must(t, s, config.Wish{Object: &config.Object{Kind: config.KindBackend, Name: "more-03"}, Delete: true, Any: true})
	s = must(t, s, object(config.KindBackend, "aaa", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "kgn-a", "10.2.0.1:80" }))
	for _, o := range s.List(config.KindBackend, nil) {
		if n, ok := was[o.Name]; ok && n != o.Shard {
			t.Errorf("backend server %s moved from shard %d to %d", o.Name, n, o.Shard)
		}
	}
	for _, sh := range config.NewView(s).Shards("models") {
		if got, want := len(sh.Backends), config.ShardSize; got > want {
			t.Errorf("shard %s has %d backend servers, want at most %d", sh.ID, got, want)
		}
	}
}

func TestStoreNeverGoesBack(t *testing.T) {
	var changes []*config.Change
	s := &config.State{}
	for i := range 20 {
		c, _, err := config.Plan(s, object(config.KindZone, fmt.Sprintf("zone-%d", i), nil))
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
		s, _ = s.Apply(c)
	}
	st := config.NewStore()
	last := uint64(0)
	st.Watch(func(v *config.View) {
		if v.Revision() <= last {
			t.Errorf("revision went from %d to %d", last, v.Revision())
		}
		last = v.Revision()
	})
	st.Offer(changes[:10]...)
	st.Offer(changes[3:7]...)
	st.Restore(config.Snapshot{Revision: 5})
	if got, want := st.View().Revision(), uint64(10); got != want {
		t.Errorf("revision after late news: %d, want %d", got, want)
	}
	var gap *config.SequenceError
	if err := st.Offer(changes[15:]...); !errors.As(err, &gap) {
		t.Errorf("a gap gave %v, want a SequenceError", err)
	}
	st.Restore(s.Snapshot())
	if got, want := st.View().Revision(), uint64(20); got != want {
		t.Errorf("revision after a snapshot: %d, want %d", got, want)
	}
}
