package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"bulrushtally/ledger"
	"bulrushtally/standin"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTestClient returns a client of a new platform stand-in, with rate limits that no test
// reaches.
func newTestClient(t *testing.T) (*ledger.Client, *standin.Platform) {
	t.Helper()
	p, err := standin.NewPlatform("127.0.0.1:0", 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return ledger.NewClient(ledger.Options{Address: p.Address(), Timeout: 2 * time.Second, ReadsPerSecond: 1e4, WritesPerSecond: 1e4}), p
}

// TestClaimIsExclusive checks that only the first request to claim a key gets the claim, also
// when the responses to the writes are lost.
func TestClaimIsExclusive(t *testing.T) {
	c, p := newTestClient(t)
	claims := ledger.NewClaims(c)
	for i, lostShare := range []float64{0, 1} {
		p.SetFaults(standin.PlatformFaults{LostResponses: lostShare})
		key := fmt.Sprintf("key-%d", i)
		own, earlier, err := claims.Claim("c", key, "first", 7, epoch)
		if err != nil || own == nil || earlier != nil {
			t.Fatalf("first claim, share of lost responses %v: own %+v, earlier %+v, error %v, want an own claim", lostShare, own, earlier, err)
		}
		other, earlier, err := claims.Claim("c", key, "second", 7, epoch)
		if err != nil || other != nil || earlier == nil || earlier.Owner != "first" {
			t.Errorf("second claim, share of lost responses %v: own %+v, earlier %+v, error %v, want the first claim as earlier", lostShare, other, earlier, err)
		}
	}
}

// TestClaimFailsWhenPlatformDown checks that no claim is returned while the platform is down.
func TestClaimFailsWhenPlatformDown(t *testing.T) {
	c, p := newTestClient(t)
	p.SetFaults(standin.PlatformFaults{Down: true})
	if own, _, err := ledger.NewClaims(c).Claim("c", "k", "t", 7, epoch); err == nil || own != nil {
		t.Errorf("claim with the platform down: own %+v, error %v, want only an error", own, err)
	}
}

// TestDeleteExpiredClaims checks that repeated calls of DeleteExpired delete the claims older than the
// given time and no others.
func TestDeleteExpiredClaims(t *testing.T) {
	c, p := newTestClient(t)
	claims := ledger.NewClaims(c)
	for i := range 25 {
		if _, _, err := claims.Claim("c", fmt.Sprintf("key-%02d", i), "t", 7, epoch.Add(time.Duration(i)*time.Hour)); err != nil {
			t.Fatal(err)
		}
	}
	after := ""
	for range 10 {
		var err error
		if after, err = claims.DeleteExpired(epoch.Add(20*time.Hour), after, 4); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := len(p.RowKeys("claim/")), 5; got != want {
		t.Errorf("claims left: %d, want %d", got, want)
	}
}

// TestErrorKinds checks the kind of error that a write returns for each fault of the
// platform.
func TestErrorKinds(t *testing.T) {
	tests := []struct {
		faults standin.PlatformFaults
		want   ledger.ErrorKind
	}{
		{standin.PlatformFaults{Down: true}, ledger.Unavailable},
		{standin.PlatformFaults{Throttle: 1}, ledger.Throttled},
		{standin.PlatformFaults{LostResponses: 1}, ledger.Ambiguous},
		{standin.PlatformFaults{Delay: 3 * time.Second}, ledger.Ambiguous},
	}
	for _, tt := range tests {
		c, p := newTestClient(t)
		p.SetFaults(tt.faults)
		err := c.Commit(ledger.Txn{Puts: []ledger.Put{{Key: "k", Value: []byte("v")}}})
		if !ledger.IsKind(err, tt.want) {
			t.Errorf("write with %+v: %v, want kind %s", tt.faults, err, tt.want)
		}
	}
	c, p := newTestClient(t)
	p.Close()
	if err := c.Commit(ledger.Txn{}); !ledger.IsKind(err, ledger.Unavailable) {
		t.Errorf("write with nothing listening: %v, want kind unavailable", err)
	}
}

// TestRateLimitAndCircuitBreaker checks that reads beyond the burst are throttled, and that no
// call reaches a failing platform once the circuit breaker is open.
func TestRateLimitAndCircuitBreaker(t *testing.T) {
	_, p := newTestClient(t)
	c := ledger.NewClient(ledger.Options{Address: p.Address(), Timeout: time.Second, ReadsPerSecond: 0.001, WritesPerSecond: 1})
	throttled := 0
	for range 30 {
		if _, err := c.Get("k"); ledger.IsKind(err, ledger.Throttled) {
			throttled++
		}
	}
	if got, want := throttled, 10; got != want {
		t.Errorf("reads throttled beyond a burst of 20: %d, want %d", got, want)
	}
	breakerClient, downPlatform := newTestClient(t)
	downPlatform.SetFaults(standin.PlatformFaults{Down: true})
	for range 50 {
		breakerClient.Get("k")
	}
	if got, want := downPlatform.Stats().Reads, 5; got != want {
		t.Errorf("calls that reached a platform that is down: %d, want %d", got, want)
	}
}
