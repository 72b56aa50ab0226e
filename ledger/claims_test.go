package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/ledger"
	"bulrushtally/standin"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newClient(t *testing.T) (*ledger.Client, *standin.Platform) {
	t.Helper()
	p, err := standin.NewPlatform("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return ledger.NewClient(ledger.Options{Address: p.Address(), Timeout: 2 * time.Second, ReadsPerSecond: 1e4, WritesPerSecond: 1e4}), p
}

func TestClaimIsMadeOnce(t *testing.T) {
	c, p := newClient(t)
	claims := ledger.NewClaims(c)
	for i, lose := range []float64{0, 1} {
		p.SetFaults(standin.PlatformFaults{LoseAnswer: lose})
		key := fmt.Sprintf("key-%d", i)
		mine, earlier, err := claims.Claim("c", key, "first", 7, epoch)
		if err != nil || mine == nil || earlier != nil {
			t.Fatalf("first claim, answers lost %v: %+v %+v %v", lose, mine, earlier, err)
		}
		other, earlier, err := claims.Claim("c", key, "second", 7, epoch)
		if err != nil || other != nil || earlier == nil || earlier.Token != "first" {
			t.Errorf("second claim, answers lost %v: %+v %+v %v", lose, other, earlier, err)
		}
	}
}

func TestClaimWithThePlatformDown(t *testing.T) {
	c, p := newClient(t)
	p.SetFaults(standin.PlatformFaults{Down: true})
	if mine, _, err := ledger.NewClaims(c).Claim("c", "k", "t", 7, epoch); err == nil || mine != nil {
		t.Errorf("claim with the platform down: %+v, %v", mine, err)
	}
}

func TestClaimsAreTrimmed(t *testing.T) {
	c, p := newClient(t)
	claims := ledger.NewClaims(c)
	for i := range 25 {
		if _, _, err := claims.Claim("c", fmt.Sprintf("key-%02d", i), "t", 7, epoch.Add(time.Duration(i)*time.Hour)); err != nil {
			t.Fatal(err)
		}
	}
	after := ""
	for range 10 {
		var err error
		if after, err = claims.Trim(epoch.Add(20*time.Hour), after, 4); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := len(p.Keys("claim/")), 5; got != want {
		t.Errorf("claims left: %d, want %d", got, want)
	}
}

// TestErrorKinds maps the platform's faults to what they mean for a write.
func TestErrorKinds(t *testing.T) {
	tests := []struct {
		faults standin.PlatformFaults
		want   ledger.Kind
	}{
		{standin.PlatformFaults{Down: true}, ledger.Unavailable},
		{standin.PlatformFaults{Throttle: 1}, ledger.Throttled},
		{standin.PlatformFaults{LoseAnswer: 1}, ledger.Ambiguous},
		{standin.PlatformFaults{Slow: 3 * time.Second}, ledger.Ambiguous},
	}
	for _, tt := range tests {
		c, p := newClient(t)
		p.SetFaults(tt.faults)
		err := c.Commit(ledger.Txn{Puts: []ledger.Put{{Key: "k", Value: []byte("v")}}})
		if !ledger.IsKind(err, tt.want) {
			t.Errorf("write with %+v: %v, want kind %s", tt.faults, err, tt.want)
		}
	}
	c, p := newClient(t)
	p.Close()
	if err := c.Commit(ledger.Txn{}); !ledger.IsKind(err, ledger.Unavailable) {
		t.Errorf("write to nobody: %v, want kind unavailable", err)
	}
}

func TestBudgetAndBreaker(t *testing.T) {
	_, p := newClient(t)
	c := ledger.NewClient(ledger.Options{Address: p.Address(), Timeout: time.Second, ReadsPerSecond: 0.001, WritesPerSecond: 1})
	throttled := 0
	for range 30 {
		if _, err := c.Get("k"); ledger.IsKind(err, ledger.Throttled) {
			throttled++
		}
	}
	if got, want := throttled, 10; got != want {
		t.Errorf("reads over a budget of 20: %d refused, want %d", got, want)
	}
	c2, p2 := newClient(t)
	p2.SetFaults(standin.PlatformFaults{Down: true})
	for range 50 {
		c2.Get("k")
	}
	if got, want := p2.Stats().Reads, 5; got != want {
		t.Errorf("calls that reached a platform that is down: %d, want %d", got, want)
	}
}
