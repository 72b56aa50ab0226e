package lab

// This file defines the baselines that experiments compare bulrushtally with. A baseline
// router has the same HTTP front end and backend client, but shares no state with the
// other routers: it owns a fixed share of each backend server's slots.

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/backend"
	"bulrushtally/caller"
	"bulrushtally/config"
	"bulrushtally/ledger"
	"bulrushtally/request"
	"bulrushtally/schedule"
	"bulrushtally/settings"
	"bulrushtally/supervise"
)

// Policy selects how routers order the requests that wait for a slot.
type Policy string

// The policies that experiments compare.
const (
	FleetWide Policy = "ours"       // bulrushtally: fair between customers over all routers
	PerRouter Policy = "per-router" // fair between customers at each router, which share no state
	FirstCome Policy = "first-come" // first come, first served at each router, which share no state
)

// sharedCustomer is the customer that all callers belong to under FirstCome. With only
// one customer, the fair queue serves requests in the order of their arrival.
const sharedCustomer = "everyone"

// independentRouter is a baseline router. It leads every shard itself and exchanges
// nothing with other routers.
type independentRouter struct {
	tree    *supervise.Tree
	store   *config.Store
	entry   *caller.EntryRouter
	server  *caller.Server
	leaders map[config.ShardID]*backend.Leader
}

var (
	_ caller.Leaders  = (*independentRouter)(nil)
	_ backend.Tracker = (*independentRouter)(nil)
)

// newIndependentRouter starts one of a number of routers among which the slots of each
// backend server are divided evenly.
func newIndependentRouter(zone string, snap config.Snapshot, routers int, p Policy) (*independentRouter, error) {
	s := settings.Defaults()
	r := &independentRouter{tree: supervise.New("baseline", zerolog.Nop()), store: config.NewStore(), leaders: map[config.ShardID]*backend.Leader{}}
	r.store.ApplySnapshot(splitSlots(snap, routers, p))
	v := r.store.View()
	client := backend.NewClient(backend.Timeouts{Connect: s.ConnectTimeout, Header: s.ResponseHeaderTimeout, Idle: s.ProgressTimeout})
	limits := schedule.Limits{Requests: s.MaxQueuedRequests, Bytes: s.MaxQueuedBytes}
	r.entry = caller.NewEntryRouter(caller.EntryRouterOptions{Zone: zone, MaxWait: s.MaxQueueWait, Limits: limits}, r, zerolog.Nop(), tally.NoopScope)
	for _, sh := range v.AllShards() {
		l := backend.NewLeader(backend.LeaderConfig{
			Shard: sh.ID, VM: "lone", Incarnation: uint64(time.Now().UnixNano()), Client: client, Tracker: r,
			Options: schedule.Options{FirstEstimate: s.FirstEstimate, MaxDebt: s.MaxDebt},
			Logger:  zerolog.Nop(), Metrics: tally.NoopScope,
		})
		l.Configure(time.Now(), v)
		r.leaders[sh.ID] = l
		r.tree.Go("leader", l.Run)
	}
	r.entry.Configure(v)
	r.tree.Go("entry", r.entry.Run)
	var err error
	r.server, err = caller.NewServer(caller.ServerOptions{
		Listen: anyPort, MaxBodyBytes: s.MaxBodyBytes, MaxHeaderBytes: s.MaxHeaderBytes, RequestReadTimeout: s.ReadTimeout,
		Ready: func() error { return nil }, Logger: zerolog.Nop(),
	}, r.entry, r.store, unsupportedClaims{})
	if err != nil {
		return nil, err
	}
	r.tree.Go("server", r.server.Run)
	return r, nil
}

// splitSlots returns the configuration of one router when the slots of each backend
// server are divided among a number of routers. A router gets at least one slot. Under
// FirstCome, all callers belong to sharedCustomer.
func splitSlots(snap config.Snapshot, routers int, p Policy) config.Snapshot {
	out := config.Snapshot{Revision: snap.Revision}
	for _, o := range snap.Objects {
		c := o.Clone()
		switch c.Kind {
		case config.KindBackend:
			c.Labels[config.LabelSlots] = itoa(max(1, c.Slots()/routers))
		case config.KindCaller:
			if p == FirstCome {
				c.Customer = sharedCustomer
			}
		}
		out.Objects = append(out.Objects, c)
	}
	if p == FirstCome {
		out.Objects = append(out.Objects, &config.Object{Kind: config.KindCustomer, Name: sharedCustomer})
	}
	return out
}

func (r *independentRouter) Submit(ctx context.Context, q *request.Request, sink request.Sink) (func(), error) {
	return r.leaders[q.Shard].Submit(ctx, q, sink), nil
}

func (r *independentRouter) Reachable(config.ShardID) bool          { return true }
func (r *independentRouter) Charge(config.ShardID, string, float64) {}
func (r *independentRouter) Verdict(uint64) schedule.Verdict        { return schedule.VerdictClean }
func (r *independentRouter) RecordCrash(uint64, string, string)     {}
func (r *independentRouter) RecordCompletion(uint64)                {}
func (r *independentRouter) CapacityAvailable(id config.ShardID, h request.LoadHint) {
	r.entry.UpdateLoad(id, h)
}
func (r *independentRouter) ForEachWindow(f func(name string, size, inflight int)) {
	for _, l := range r.leaders {
		l.Windows(f)
	}
}

// unsupportedClaims fails every operation on an idempotency key: baseline routers have no
// platform store to keep claims in, and no experiment sends keys to them.
type unsupportedClaims struct{}

var errClaimsUnsupported = errors.New("idempotency keys are not supported by baseline routers, which have no platform store")

func (unsupportedClaims) Claim(string, string, string, uint64, time.Time) (own, earlier *ledger.Claim, err error) {
	return nil, nil, errClaimsUnsupported
}
func (unsupportedClaims) Finish(*ledger.Claim, int, []request.Header, []byte) error {
	return errClaimsUnsupported
}
func (unsupportedClaims) Release(*ledger.Claim) error { return errClaimsUnsupported }
