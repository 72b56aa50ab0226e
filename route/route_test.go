package route_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"bulrushtally/route"
)

func TestLookup(t *testing.T) {
	table := route.New(3, []*route.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/"},
	}, nil, nil, route.Limits{})
	tests := []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.example:80", "/x/y/1", "long"},
		{"a.example", "/x", ""},
		{"b.example", "/x/", "other"},
		{"c.example", "/x/", ""},
	}
	for _, x := range tests {
		got := ""
		if r := table.Lookup(x.host, x.path); r != nil {
			got = r.Name
		}
		if got != x.want {
			t.Errorf("%s%s: got %q, want %q", x.host, x.path, got, x.want)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	a, b := &route.Service{Name: "a"}, &route.Service{Name: "b"}
	r := &route.Route{Targets: []route.Target{{Service: a, Weight: 90}, {Service: b, Weight: 10}}}
	for draw, want := range map[float64]*route.Service{0: a, 0.89: a, 0.9: b, 0.999: b} {
		if got := r.Pick(draw); got != want {
			t.Errorf("draw %v: got %v, want %q", draw, got, want.Name)
		}
	}
}

// The property fails if Adopt takes any version, if Prove takes one that is not in
// force, or if Adopt keeps the proof of the version before.
func TestViewNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := route.NewView()
		highest, lastProof := uint64(0), time.Duration(-1)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			version := uint64(rapid.IntRange(1, 12).Draw(t, "version"))
			if rapid.Bool().Draw(t, "adopts") {
				if got, want := v.Adopt(route.New(version, nil, nil, nil, route.Limits{})), version > highest; got != want {
					t.Fatalf("adopt %d after %d: got %v, want %v", version, highest, got, want)
				}
				if version > highest {
					highest, lastProof = version, -1
				}
			} else {
				at := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
				v.Prove(version, at)
				if version == highest && at > lastProof {
					lastProof = at
				}
			}
			table, age, proven := v.Age(now)
			if table != nil && table.Version() != highest {
				t.Fatalf("got version %d in force, want %d", table.Version(), highest)
			}
			if proven && now-age > max(lastProof, 0) && lastProof >= 0 {
				t.Fatalf("got a proof of %v, want none after %v", now-age, lastProof)
			}
			if proven && highest == 0 {
				t.Fatal("got a proof without a configuration")
			}
		}
	})
}
