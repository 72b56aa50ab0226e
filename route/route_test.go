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

// The test fails if Adopt accepts an older version, if ConfirmVersion accepts one that is not
// the current one, or if Adopt keeps the confirmed time of the previous version.
func TestCurrentVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		current := route.NewCurrentTable()
		highest, lastConfirmed := uint64(0), time.Duration(-1)
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond
			version := uint64(rapid.IntRange(1, 12).Draw(t, "version"))
			if rapid.Bool().Draw(t, "adopts") {
				if got, want := current.Adopt(route.New(version, nil, nil, nil, route.Limits{})), version > highest; got != want {
					t.Fatalf("adopt %d after %d: got %v, want %v", version, highest, got, want)
				}
				if version > highest {
					highest, lastConfirmed = version, -1
				}
			} else {
				at := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
				current.ConfirmVersion(version, at)
				if version == highest && at > lastConfirmed {
					lastConfirmed = at
				}
			}
			table, age, confirmed := current.Age(now)
			if table != nil && table.Version() != highest {
				t.Fatalf("got current version %d, want %d", table.Version(), highest)
			}
			if confirmed && now-age > max(lastConfirmed, 0) && lastConfirmed >= 0 {
				t.Fatalf("got confirmed time %v, want none after %v", now-age, lastConfirmed)
			}
			if confirmed && highest == 0 {
				t.Fatal("got a confirmed time without a configuration")
			}
		}
	})
}

// The store came back from a copy with an older configuration, which this router holds.
func TestConfigurationThatIsOlderThanAnotherRoutersIsNotConfirmed(t *testing.T) {
	c := route.NewCurrentTable()
	c.Adopt(route.New(1, nil, nil, nil, route.Limits{}))
	c.RecordPeerVersion(2, 10*time.Second)
	c.RecordPeerVersion(1, 11*time.Second)
	c.ConfirmVersion(1, 12*time.Second)
	if _, age, confirmed := c.Age(12 * time.Second); confirmed {
		t.Errorf("got version 1 confirmed %v ago beside a router with version 2, want it not confirmed", age)
	}
	c.RecordPeerVersion(1, 25*time.Second)
	c.ConfirmVersion(1, 25*time.Second)
	if _, _, confirmed := c.Age(25 * time.Second); !confirmed {
		t.Error("got version 1 not confirmed 15 s after the last router had version 2, want it confirmed")
	}
	c.RecordPeerVersion(3, 26*time.Second)
	c.Adopt(route.New(3, nil, nil, nil, route.Limits{}))
	c.ConfirmVersion(3, 27*time.Second)
	if _, _, confirmed := c.Age(27 * time.Second); !confirmed {
		t.Error("got the version that another router has not confirmed, want it confirmed")
	}
}
