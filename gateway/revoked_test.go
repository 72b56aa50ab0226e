package gateway_test

// This file tests requests whose backend server must get no more between their assignment and their write.

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
	"bulrushtally/quarantine"
	"bulrushtally/route"
	"bulrushtally/upstream"
)

// beforeSend is an ingress.Quarantine that holds nothing. It calls a function once when it is asked for the second time about
// a request: after the request was assigned to a server, and before it is written.
type beforeSend struct {
	ingress.Quarantine
	mu    sync.Mutex
	asked int
	do    func()
}

func (b *beforeSend) Held(quarantine.Identity) *quarantine.Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asked++; b.asked == 2 {
		b.do()
	}
	return nil
}

func (b *beforeSend) RecordBegun(time.Time, quarantine.Identity)     {}
func (b *beforeSend) RecordCompleted(time.Time, quarantine.Identity) {}

// newFlowServer serves callers with a Flow over one configuration that has the services.
func newFlowServer(t testing.TB, placer *placement.Placement, q ingress.Quarantine, table *route.Table) *ingress.Server {
	t.Helper()
	current := route.NewCurrentTable()
	clock := func() time.Duration { return time.Second }
	current.Adopt(table)
	current.ConfirmVersion(table.Version(), clock())
	flow := ingress.NewFlow(ingress.Options{
		Headers: platform.HeaderNames(), CurrentConfig: current, Placer: placer, Upstream: upstream.NewPool(upstream.DefaultOptions, ""), Quarantine: q,
		Clock: clock, KeyMaxAge: time.Hour, RefusalMaxAge: time.Hour, Logger: zerolog.Nop(), Metrics: tally.NoopScope,
	})
	s, err := ingress.NewServer("127.0.0.1:0", 100, 5*time.Second, flow, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go s.Run(ctx)
	return s
}

// A request that was assigned to a server was sent to it seconds later by a router without processor time, although the router
// knew by then that the server leaves or that its zone is out of service.
func TestRequestIsNotSentToAServerThatWasRevokedSinceItsAssignment(t *testing.T) {
	tests := []struct {
		name   string
		revoke func(p *placement.Placement, entry placement.ServerEntry)
	}{
		{"leaving", func(p *placement.Placement, entry placement.ServerEntry) {
			entry.Draining = true
			p.SetServer(time.Now(), entry)
		}},
		{"not listed any more", func(p *placement.Placement, entry placement.ServerEntry) { p.RemoveServer(entry.ID) }},
		{"zone out of service", func(p *placement.Placement, entry placement.ServerEntry) {
			p.SetZoneOutOfService(time.Now(), entry.Zone, true)
		}},
		{"started anew", func(p *placement.Placement, entry placement.ServerEntry) {
			entry.StartedMs++
			p.SetServer(time.Now(), entry)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			service := &route.Service{Name: "orders", Slots: 6}
			r := &route.Route{Name: "orders", Host: "site.example", Prefix: "/", Kind: route.AtMostOnce, MaxAttempts: 1, Public: true, Timeout: 3 * time.Second, Objective: time.Second, Targets: []route.Target{{Service: service, Weight: 1}}}
			table := route.New(1, []*route.Route{r}, []*route.Service{service}, nil, route.Limits{HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second})
			placer := placement.New(placement.Options{Zone: "zone-a", Limits: placement.FleetLimits{RetryWindow: time.Second}, Now: time.Now()})
			placer.Configure(table)
			first, second := startListed(t, placer, "i-1", "zone-a"), startListed(t, placer, "i-2", "zone-b")
			q := &beforeSend{}
			revoked, other := first, second
			q.do = func() { // whichever server the request was assigned to
				if assigned(placer, "i-2") {
					revoked, other = second, first
				}
				test.revoke(placer, revoked.entry)
			}
			server := newFlowServer(t, placer, q, table)
			request, err := http.NewRequest("POST", "http://"+server.Address()+"/x", nil)
			if err != nil {
				t.Fatal(err)
			}
			request.Host = "site.example"
			response, err := http.DefaultClient.Do(request)
			if err != nil {
				t.Fatal(err)
			}
			response.Body.Close()
			if got := len(revoked.Received()); got != 0 && test.name != "started anew" {
				t.Errorf("got %d requests at the server that was revoked, want 0", got)
			}
			if got := len(revoked.Received()) + len(other.Received()); got != 1 || response.StatusCode != 200 {
				t.Errorf("got status %d and %d requests at both servers, want 200 and 1", response.StatusCode, got)
			}
		})
	}
}

// listedServer is a stand-in of a backend server with its entry.
type listedServer struct {
	*platformtest.Server
	entry placement.ServerEntry
}

// startListed starts a server of the service orders and lists it.
func startListed(t *testing.T, p *placement.Placement, id, zone string) *listedServer {
	t.Helper()
	b, err := platformtest.NewServer(id, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.Close)
	s := &listedServer{b, placement.ServerEntry{ID: id, Service: "orders", Address: b.Address(), Zone: zone, StartedMs: 1}}
	p.SetServer(time.Now(), s.entry)
	return s
}

// assigned reports whether a request is assigned to a server.
func assigned(p *placement.Placement, id string) bool {
	var m placement.Summary
	p.FillSummary(time.Now(), &m)
	for _, l := range m.Loads {
		if l.Server == id {
			return l.Running > 0
		}
	}
	return false
}
