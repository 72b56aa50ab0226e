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

// TestSelectors runs the cases in testdata/selectors.txt. The columns of that file are a
// selector, labels, and the expected result: match, no, or the column of the error.
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
		columns := strings.Split(line, "|")
		text, want := strings.TrimSpace(columns[0]), strings.TrimSpace(columns[2])
		if got := matchResult(text, strings.TrimSpace(columns[1])); got != want {
			t.Errorf("selector %q on %q: %s, want %s", text, columns[1], got, want)
		}
	}
}

// matchResult returns whether a selector matches labels, in the form of testdata/selectors.txt.
func matchResult(text, labels string) string {
	sel, err := config.ParseSelector(text)
	var selectorErr *config.SelectorError
	if errors.As(err, &selectorErr) {
		return fmt.Sprintf("error at %d", selectorErr.Column)
	}
	m := map[string]string{}
	for _, label := range strings.Fields(labels) {
		key, value, _ := strings.Cut(label, "=")
		m[key] = value
	}
	if sel.Matches(m) {
		return "match"
	}
	return "no"
}

// FuzzParseSelector checks that any text is either parsed and can be matched, or gives an
// error with a position.
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
		var selectorErr *config.SelectorError
		if !errors.As(err, &selectorErr) || selectorErr.Column < 1 {
			t.Errorf("error without a position: %v", err)
		}
	})
}

// mustApply applies a request with Force set, and ends the test if it is refused.
func mustApply(t *testing.T, s *config.State, r config.ChangeRequest) *config.State {
	t.Helper()
	r.Force = true
	c, _, err := config.Plan(s, r)
	if err != nil {
		t.Fatal(err)
	}
	next, err := s.Apply(c)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// putObject returns a request to create or replace an object. fill, if not nil, sets fields.
func putObject(k config.Kind, name string, fill func(*config.Object)) config.ChangeRequest {
	o := &config.Object{Kind: k, Name: name, Labels: map[string]string{}}
	if fill != nil {
		fill(o)
	}
	return config.ChangeRequest{Object: o, AnyVersion: true}
}

// baseState returns a state with two zones, a service, two customers that may use it, and
// one backend server in each zone.
func baseState(t *testing.T) *config.State {
	s := &config.State{}
	for _, z := range []string{"kgn-a", "kgn-b"} {
		s = mustApply(t, s, putObject(config.KindZone, z, nil))
	}
	s = mustApply(t, s, putObject(config.KindService, "models", nil))
	for _, c := range []string{"large", "small"} {
		s = mustApply(t, s, putObject(config.KindCustomer, c, func(o *config.Object) { o.Labels["size"] = c }))
	}
	for i, z := range []string{"kgn-a", "kgn-b"} {
		s = mustApply(t, s, putObject(config.KindBackend, fmt.Sprintf("backend-%d", i), func(o *config.Object) {
			o.Service, o.Zone, o.Address = "models", z, fmt.Sprintf("10.0.0.%d:80", i)
			o.Labels["tier"] = []string{"big", "tiny"}[i]
		}))
	}
	return mustApply(t, s, putObject(config.KindAccess, "all", func(o *config.Object) { o.Service = "models" }))
}

func TestSelectorsRestrictAccess(t *testing.T) {
	s := baseState(t)
	s = mustApply(t, s, putObject(config.KindAccess, "all", func(o *config.Object) {
		o.Service, o.CustomerSelector, o.BackendSelector = "models", "size=large", "tier in (big)"
	}))
	v := config.NewView(s)
	if !v.MayUse("large", "models") || v.MayUse("small", "models") {
		t.Error("customer selector is not applied")
	}
	for _, shard := range v.Shards("models") {
		want := uint32(0)
		if shard.ID.Zone == "kgn-a" {
			want = 1
		}
		if got := v.BackendMask("large", shard.ID); got != want {
			t.Errorf("mask in %s: %b, want %b", shard.ID, got, want)
		}
	}
}

func TestZonesOutOfService(t *testing.T) {
	s := baseState(t)
	if !s.ZoneInService("kgn-a") {
		t.Error("zone without labels and outages is out of service")
	}
	out := mustApply(t, s, putObject(config.KindZone, "kgn-a", func(o *config.Object) { o.Labels[config.LabelZoneService] = "out" }))
	if out.ZoneInService("kgn-a") || !out.ZoneInService("kgn-b") {
		t.Error("label service=out is not applied")
	}
	out = mustApply(t, s, putObject(config.KindZone, "kgn-a", func(o *config.Object) { o.Labels["power"] = "weak" }))
	out = mustApply(t, out, putObject(config.KindOutage, "power", func(o *config.Object) { o.ZoneSelector = "power=weak" }))
	if out.ZoneInService("kgn-a") || !out.ZoneInService("kgn-b") {
		t.Error("outage selector is not applied")
	}
}

func TestPlanErrors(t *testing.T) {
	s := baseState(t)
	tests := []struct {
		name    string
		request config.ChangeRequest
		want    string
	}{
		{"bad name", putObject(config.KindZone, "Kingston A", nil), `name "Kingston A" is not valid`},
		{"unknown kind", putObject("thing", "x", nil), `kind "thing" is not valid`},
		{"missing zone", putObject(config.KindBackend, "e", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "spn-c", "10.0.0.9:80" }), "create that zone first"},
		{"bad address", putObject(config.KindBackend, "e", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "kgn-a", "nowhere" }), "give an IP number and a port"},
		{"bad weight", putObject(config.KindCustomer, "c", func(o *config.Object) { o.Labels["weight"] = "-1" }), "give a number from 0.01 to 1000"},
		{"bad selector", putObject(config.KindAccess, "a", func(o *config.Object) { o.Service, o.CustomerSelector = "models", "size in (" }), "character 10"},
		{"bad key hash", putObject(config.KindCaller, "c", func(o *config.Object) { o.Customer, o.KeyHash = "small", "short" }), "64 hexadecimal digits"},
		{"in use", config.ChangeRequest{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}, Delete: true, AnyVersion: true}, "refers to it"},
		{"stale version", config.ChangeRequest{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}, BaseVersion: 99}, "is at version 1, not 99"},
		{"exists", config.ChangeRequest{Object: &config.Object{Kind: config.KindZone, Name: "kgn-a"}}, "is at version 1, not 0"},
		{"stranded", putObject(config.KindAccess, "all", func(o *config.Object) { o.Service, o.CustomerSelector = "models", "size=large" }), `customers ["small"]`},
	}
	for _, tt := range tests {
		_, _, err := config.Plan(s, tt.request)
		if err == nil || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: error %v, want one with %q", tt.name, err, tt.want)
		}
	}
}

// TestShardAssignment checks that creating and deleting backend servers does not change
// the shard of others, and that shards do not exceed MaxShardSize.
func TestShardAssignment(t *testing.T) {
	s := baseState(t)
	for i := range 70 {
		s = mustApply(t, s, putObject(config.KindBackend, fmt.Sprintf("extra-%02d", i), func(o *config.Object) {
			o.Service, o.Zone, o.Address = "models", "kgn-a", fmt.Sprintf("10.1.0.%d:80", i)
		}))
	}
	shardBefore := map[string]int{}
	for _, o := range s.List(config.KindBackend, nil) {
		shardBefore[o.Name] = o.Shard
	}
	s = mustApply(t, s, config.ChangeRequest{Object: &config.Object{Kind: config.KindBackend, Name: "extra-03"}, Delete: true, AnyVersion: true})
	s = mustApply(t, s, putObject(config.KindBackend, "aaa", func(o *config.Object) { o.Service, o.Zone, o.Address = "models", "kgn-a", "10.2.0.1:80" }))
	for _, o := range s.List(config.KindBackend, nil) {
		if n, ok := shardBefore[o.Name]; ok && n != o.Shard {
			t.Errorf("backend server %s moved from shard %d to %d", o.Name, n, o.Shard)
		}
	}
	for _, shard := range config.NewView(s).Shards("models") {
		if got, want := len(shard.Backends), config.MaxShardSize; got > want {
			t.Errorf("shard %s has %d backend servers, want at most %d", shard.ID, got, want)
		}
	}
}

// TestStoreRevisionNeverDecreases applies changes and snapshots that are older than the
// store's configuration, and changes that leave a gap.
func TestStoreRevisionNeverDecreases(t *testing.T) {
	var changes []*config.Change
	s := &config.State{}
	for i := range 20 {
		c, _, err := config.Plan(s, putObject(config.KindZone, fmt.Sprintf("zone-%d", i), nil))
		if err != nil {
			t.Fatal(err)
		}
		changes = append(changes, c)
		s, _ = s.Apply(c)
	}
	store := config.NewStore()
	last := uint64(0)
	store.Watch(func(v *config.View) {
		if v.Revision() <= last {
			t.Errorf("revision went from %d to %d", last, v.Revision())
		}
		last = v.Revision()
	})
	store.ApplyChanges(changes[:10]...)
	store.ApplyChanges(changes[3:7]...)
	store.ApplySnapshot(config.Snapshot{Revision: 5})
	if got, want := store.View().Revision(), uint64(10); got != want {
		t.Errorf("revision after old changes and an old snapshot: %d, want %d", got, want)
	}
	var sequenceErr *config.SequenceError
	if err := store.ApplyChanges(changes[15:]...); !errors.As(err, &sequenceErr) {
		t.Errorf("changes after a gap: error %v, want a SequenceError", err)
	}
	store.ApplySnapshot(s.Snapshot())
	if got, want := store.View().Revision(), uint64(20); got != want {
		t.Errorf("revision after a snapshot: %d, want %d", got, want)
	}
}
