package operator_test

// This file tests concurrent changes by two offices through different routers while platform
// calls fail and their responses are lost.

import (
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/operator"
	"bulrushtally/router"
	"bulrushtally/settings"
	"bulrushtally/standin"
)

// changesPerOffice is the number of changes that each office sends.
const changesPerOffice = 500

// changeResults records the responses to changes, by request number.
type changeResults struct {
	mu       sync.Mutex
	accepted map[string]uint64 // revision of the change
	refused  map[string]bool   // refused because of a conflict
	inDoubt  map[string]func() // not known to be accepted or refused; the function sends the change again
}

// commit sends a change until it is accepted or refused because of a conflict, up to 100
// times with the same request number.
func (r *changeResults) commit(c *operator.Client, number string, send func(h operator.ChangeOptions) (*operator.ChangeResult, error)) {
	for range 100 {
		result, err := send(operator.ChangeOptions{RequestNumber: number, Version: "*"})
		var f *operator.Failure
		r.mu.Lock()
		switch {
		case err == nil:
			r.accepted[number] = result.Change.Revision
			delete(r.inDoubt, number)
			r.mu.Unlock()
			return
		case errors.As(err, &f) && f.Code == "conflict":
			r.refused[number] = true
			delete(r.inDoubt, number)
			r.mu.Unlock()
			return
		}
		r.inDoubt[number] = func() { r.commit(c, number, send) }
		r.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

// TestConcurrentChangesByTwoOffices checks that each change that was accepted is in the log
// once, that no refused change is, and that all routers reach the same revision. The platform
// refuses calls, is slow or down, and loses the responses to writes that took effect.
func TestConcurrentChangesByTwoOffices(t *testing.T) {
	o := lab.CurrentFleetOptions(11)
	o.ModelServers, o.PlainServers, o.Customers = 3, 3, 4
	o.AdjustSettings = func(s *settings.Settings) { s.ReadsPerSecond, s.WritesPerSecond = 2000, 500 }
	f, err := lab.StartFleet(o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	seeded := f.Revision()
	waitForSameRevision := checkRevisions(t, f.Routers)
	r := &changeResults{accepted: map[string]uint64{}, refused: map[string]bool{}, inDoubt: map[string]func(){}}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { injectPlatformFaults(f.Platform, stop) })
	var offices = pool.New()
	for office := range 2 {
		clients := []*operator.Client{newClient(f.Routers[office]), newClient(f.Routers[office+2])}
		offices.Go(func() {
			p := pool.New().WithMaxGoroutines(4)
			for n := range changesPerOffice {
				p.Go(func() { r.changeCustomer(clients[n%2], office, n) })
			}
			p.Wait()
		})
	}
	offices.Wait()
	close(stop)
	faults.Wait()
	f.Platform.SetFaults(standin.PlatformFaults{})
	for _, sendAgain := range maps.Clone(r.inDoubt) {
		sendAgain()
	}
	if len(r.inDoubt) > 0 {
		t.Errorf("%d changes stayed in doubt", len(r.inDoubt))
	}
	checkLog(t, f, r, seeded)
	waitForSameRevision()
}

// changeCustomer makes the n-th change of an office. Every third change is to an object that
// both offices change, based on the version that was read before; the others create objects
// that no other change uses.
func (r *changeResults) changeCustomer(c *operator.Client, office, n int) {
	number := fmt.Sprintf("office-%d-%d", office, n)
	if n%3 != 0 {
		name := fmt.Sprintf("own-%d-%d", office, n)
		r.commit(c, number, func(h operator.ChangeOptions) (*operator.ChangeResult, error) {
			h.Version = ""
			return c.Put(&config.Object{Kind: config.KindCustomer, Name: name}, h)
		})
		return
	}
	object, err := c.Get(config.KindCustomer, lab.CustomerName(0))
	if err != nil {
		return
	}
	r.commit(c, number, func(h operator.ChangeOptions) (*operator.ChangeResult, error) {
		h.Version = fmt.Sprint(object.Version)
		return c.Label(config.KindCustomer, object.Name, operator.LabelChange{Set: map[string]string{"by": number}}, h)
	})
}

// injectPlatformFaults switches the platform to another set of faults every 100 ms until stop
// is closed.
func injectPlatformFaults(p *standin.Platform, stop chan struct{}) {
	faults := []standin.PlatformFaults{
		{LostResponses: 0.3}, {}, {Refuse: 0.2, LostResponses: 0.2}, {Throttle: 0.3}, {Down: true}, {Delay: 5 * time.Millisecond, LostResponses: 0.3},
	}
	for i := 0; ; i++ {
		p.SetFaults(faults[i%len(faults)])
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// newClient returns a client for a router with the key of the first operator.
func newClient(r *router.Router) *operator.Client {
	return operator.NewClient("http://"+r.Address(), lab.OperatorKey)
}

// checkRevisions reports an error whenever a router's revision does not increase. The function
// that it returns waits up to 20 s until all routers have the same revision, and reports an
// error if they do not.
func checkRevisions(t *testing.T, routers []*router.Router) func() {
	for _, r := range routers {
		var last uint64
		r.ConfigStore().Watch(func(v *config.View) {
			if v.Revision() <= last {
				t.Errorf("revision of a router went from %d to %d, want an increase", last, v.Revision())
			}
			last = v.Revision()
		})
	}
	return func() {
		for range 2000 {
			same := true
			for _, r := range routers {
				same = same && r.ConfigStore().View().Revision() == routers[0].ConfigStore().View().Revision()
			}
			if same {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		want := fmt.Sprintf("%+v", routers[0].ConfigStore().View().Snapshot().Revision)
		for _, r := range routers {
			if got := fmt.Sprintf("%+v", r.ConfigStore().View().Snapshot().Revision); got != want {
				t.Errorf("routers ended at revision %s, the first router at %s", got, want)
			}
		}
	}
}

// checkLog checks that the log has consecutive revisions, each accepted change once under the
// revision that was reported, no refused change, and no other change after revision seeded.
func checkLog(t *testing.T, f *lab.Fleet, r *changeResults, seeded uint64) {
	t.Helper()
	inLog := map[string]uint64{}
	revision := uint64(0)
	state := &config.State{}
	for {
		list, err := f.ConfigLog.Since(revision)
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 0 {
			break
		}
		for _, c := range list {
			revision++
			if c.Revision != revision {
				t.Fatalf("log has revision %d, want %d", c.Revision, revision)
			}
			if earlier, ok := inLog[c.RequestNumber]; ok {
				t.Errorf("change %s is in the log as revisions %d and %d", c.RequestNumber, earlier, c.Revision)
			}
			inLog[c.RequestNumber] = c.Revision
			next, err := state.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			state = next
		}
	}
	for number, rev := range r.accepted {
		if inLog[number] != rev {
			t.Errorf("accepted change %s is in the log as revision %d, want %d", number, inLog[number], rev)
		}
	}
	for number := range r.refused {
		if rev, ok := inLog[number]; ok {
			t.Errorf("refused change %s is in the log as revision %d", number, rev)
		}
	}
	if got, want := revision-seeded, uint64(len(r.accepted)); got != want {
		t.Errorf("log has %d new changes, want %d as accepted", got, want)
	}
	if len(r.refused) == 0 || len(r.accepted) < changesPerOffice {
		t.Errorf("%d accepted and %d refused: the offices made no conflicting changes", len(r.accepted), len(r.refused))
	}
	t.Logf("%d accepted, %d refused", len(r.accepted), len(r.refused))
}
