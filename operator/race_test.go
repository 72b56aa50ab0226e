package operator_test

// This file holds the test of two offices that race through different routers
// while the platform fails and loses answers.

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

const changesPerOffice = 500

// record is what operators were told about their changes.
type record struct {
	mu       sync.Mutex
	accepted map[string]uint64 // revision by request number
	refused  map[string]bool
	doubtful map[string]func() // asks again
}

// change asks for one change, again with the same number while it is in doubt.
func (r *record) change(c *operator.Client, number string, ask func(h operator.How) (*operator.Accepted, error)) {
	for range 100 {
		a, err := ask(operator.How{Request: number, Version: "*"})
		var f *operator.Failure
		r.mu.Lock()
		switch {
		case err == nil:
			r.accepted[number] = a.Change.Revision
			delete(r.doubtful, number)
			r.mu.Unlock()
			return
		case errors.As(err, &f) && f.Code == "conflict":
			r.refused[number] = true
			delete(r.doubtful, number)
			r.mu.Unlock()
			return
		}
		r.doubtful[number] = func() { r.change(c, number, ask) }
		r.mu.Unlock()
		time.Sleep(30 * time.Millisecond)
	}
}

func TestOfficesRace(t *testing.T) {
	o := lab.Today(11)
	o.Engines, o.Plains, o.Customers = 3, 3, 4
	o.Change = func(s *settings.Settings) { s.ReadsPerSecond, s.WritesPerSecond = 2000, 500 }
	f, err := lab.StartFleet(o)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	seeded := f.Revision()
	watch := watchRevisions(t, f.Routers)
	r := &record{accepted: map[string]uint64{}, refused: map[string]bool{}, doubtful: map[string]func(){}}
	stop := make(chan struct{})
	var faults sync.WaitGroup
	faults.Go(func() { failPlatform(f.Platform, stop) })
	var offices = pool.New()
	for office := range 2 {
		clients := []*operator.Client{client(f.Routers[office]), client(f.Routers[office+2])}
		offices.Go(func() {
			p := pool.New().WithMaxGoroutines(4)
			for n := range changesPerOffice {
				p.Go(func() { r.race(clients[n%2], office, n) })
			}
			p.Wait()
		})
	}
	offices.Wait()
	close(stop)
	faults.Wait()
	f.Platform.SetFaults(standin.PlatformFaults{})
	for _, again := range maps.Clone(r.doubtful) {
		again()
	}
	if len(r.doubtful) > 0 {
		t.Errorf("%d changes stayed in doubt", len(r.doubtful))
	}
	checkLog(t, f, r, seeded)
	watch()
}

// race makes a third of the changes to one object that both offices change on a
// version that they read, the rest to objects of the office's own.
func (r *record) race(c *operator.Client, office, n int) {
	number := fmt.Sprintf("office-%d-%d", office, n)
	if n%3 != 0 {
		name := fmt.Sprintf("own-%d-%d", office, n)
		r.change(c, number, func(h operator.How) (*operator.Accepted, error) {
			h.Version = ""
			return c.Put(&config.Object{Kind: config.KindCustomer, Name: name}, h)
		})
		return
	}
	have, err := c.Get(config.KindCustomer, lab.Customer(0))
	if err != nil {
		return
	}
	r.change(c, number, func(h operator.How) (*operator.Accepted, error) {
		h.Version = fmt.Sprint(have.Version)
		return c.Label(config.KindCustomer, have.Name, operator.LabelChange{Set: map[string]string{"by": number}}, h)
	})
}

// failPlatform changes the platform's faults until it is stopped.
func failPlatform(p *standin.Platform, stop chan struct{}) {
	faults := []standin.PlatformFaults{
		{LoseAnswer: 0.3}, {}, {Refuse: 0.2, LoseAnswer: 0.2}, {Throttle: 0.3}, {Down: true}, {Slow: 5 * time.Millisecond, LoseAnswer: 0.3},
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

func client(r *router.Router) *operator.Client {
	return operator.NewClient("http://"+r.Address(), lab.OperatorKey)
}

// watchRevisions checks that no router's revision goes back; the function
// returned waits until all are the same.
func watchRevisions(t *testing.T, routers []*router.Router) func() {
	for _, r := range routers {
		var last uint64
		r.Store().Watch(func(v *config.View) {
			if v.Revision() <= last {
				t.Errorf("revision of a router went from %d to %d", last, v.Revision())
			}
			last = v.Revision()
		})
	}
	return func() {
		for range 2000 {
			same := true
			for _, r := range routers {
				same = same && r.Store().View().Revision() == routers[0].Store().View().Revision()
			}
			if same {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		want := fmt.Sprintf("%+v", routers[0].Store().View().Snapshot().Revision)
		for _, r := range routers {
			if got := fmt.Sprintf("%+v", r.Store().View().Snapshot().Revision); got != want {
				t.Errorf("routers end at revisions %s and %s", got, want)
			}
		}
	}
}

// checkLog checks that the log has each accepted change once, in one order, and no refused one.
func checkLog(t *testing.T, f *lab.Fleet, r *record, seeded uint64) {
	t.Helper()
	inLog := map[string]uint64{}
	revision := uint64(0)
	state := &config.State{}
	for {
		list, err := f.Log.Since(revision)
		if err != nil {
			t.Fatal(err)
		}
		if len(list) == 0 {
			break
		}
		for _, c := range list {
			revision++
			if c.Revision != revision {
				t.Fatalf("log has revision %d where %d should be", c.Revision, revision)
			}
			if was, ok := inLog[c.Request]; ok {
				t.Errorf("change %s is in the log as %d and %d", c.Request, was, c.Revision)
			}
			inLog[c.Request] = c.Revision
			next, err := state.Apply(c)
			if err != nil {
				t.Fatal(err)
			}
			state = next
		}
	}
	for number, rev := range r.accepted {
		if inLog[number] != rev {
			t.Errorf("accepted change %s is in the log as %d, want %d", number, inLog[number], rev)
		}
	}
	for number := range r.refused {
		if rev, ok := inLog[number]; ok {
			t.Errorf("refused change %s is in the log as %d", number, rev)
		}
	}
	if got, want := revision-seeded, uint64(len(r.accepted)); got != want {
		t.Errorf("log grew by %d changes, %d were accepted", got, want)
	}
	if len(r.refused) == 0 || len(r.accepted) < changesPerOffice {
		t.Errorf("%d accepted and %d refused: the offices did not race", len(r.accepted), len(r.refused))
	}
	t.Logf("%d accepted, %d refused", len(r.accepted), len(r.refused))
}
