package lab

// This file defines the baselines that experiments compare with: the same
// routers' HTTP side and backend side, but each router on its own. It owns a fixed
// share of every backend server's slots and knows nothing of the other routers.

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

// Policy names what orders requests in an experiment.
type Policy string

// The policies that experiments compare.
const (
	Ours      Policy = "ours"
	PerRouter Policy = "per-router" // fair at each router, nothing shared
	FirstCome Policy = "first-come" // first come first served at each router
)

// everyone is the customer that all callers belong to under FirstCome.
const everyone = "everyone"

// loneRouter is a router that shares nothing.
type loneRouter struct {
	tree    *supervise.Tree
	store   *config.Store
	entry   *caller.Entry
	server  *caller.Server
	leaders map[config.ShardID]*backend.Leader
}

var (
	_ caller.Leaders  = (*loneRouter)(nil)
	_ backend.Tracker = (*loneRouter)(nil)
)

// newLoneRouter returns a running router that owns 1/share of each backend server.
func newLoneRouter(zone string, snap config.Snapshot, share int, p Policy) (*loneRouter, error) {
	s := settings.Defaults()
	r := &loneRouter{tree: supervise.New("baseline", zerolog.Nop()), store: config.NewStore(), leaders: map[config.ShardID]*backend.Leader{}}
	r.store.Restore(splitSlots(snap, share, p))
	v := r.store.View()
	client := backend.NewClient(backend.Timeouts{Connect: s.ConnectTimeout, First: s.FirstTimeout, Progress: s.ProgressTimeout})
	limits := schedule.Limits{Requests: s.QueueRequests, Bytes: s.QueueBytes}
	r.entry = caller.NewEntry(caller.EntryOptions{Zone: zone, Wait: s.QueueWait, Limits: limits}, r, zerolog.Nop(), tally.NoopScope)
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
		Listen: anyPort, MaxBody: s.MaxBody, MaxHeaders: s.MaxHeaders, Timeout: s.ReadTimeout,
		Ready: func() error { return nil }, Logger: zerolog.Nop(),
	}, r.entry, r.store, noClaims{})
	if err != nil {
		return nil, err
	}
	r.tree.Go("server", r.server.Run)
	return r, nil
}

// splitSlots gives a router its share of each backend server's slots.
func splitSlots(snap config.Snapshot, share int, p Policy) config.Snapshot {
	out := config.Snapshot{Revision: snap.Revision}
	for _, o := range snap.Objects {
		c := o.Clone()
		switch c.Kind {
		case config.KindBackend:
			c.Labels[config.LabelSlots] = itoa(max(1, c.Slots()/share))
		case config.KindCaller:
			if p == FirstCome {
				c.Customer = everyone
			}
		}
		out.Objects = append(out.Objects, c)
	}
	if p == FirstCome {
		out.Objects = append(out.Objects, &config.Object{Kind: config.KindCustomer, Name: everyone})
	}
	return out
}

func (r *loneRouter) Submit(ctx context.Context, q *request.Request, sink request.Sink) (func(), error) {
	return r.leaders[q.Shard].Submit(ctx, q, sink), nil
}

func (r *loneRouter) Reachable(config.ShardID) bool             { return true }
func (r *loneRouter) Charge(config.ShardID, string, float64)    {}
func (r *loneRouter) Verdict(uint64) schedule.Verdict           { return schedule.Clean }
func (r *loneRouter) Died(uint64, string, string)               {}
func (r *loneRouter) Cleared(uint64)                            {}
func (r *loneRouter) HasRoom(id config.ShardID, h request.Hint) { r.entry.Hint(id, h) }
func (r *loneRouter) Windows(f func(name string, size, inflight int)) {
	for _, l := range r.leaders {
		l.Windows(f)
	}
}

// noClaims refuses idempotency keys, which no baseline measures.
type noClaims struct{}

var errNoClaims = errors.New("baselines have no platform")

func (noClaims) Claim(string, string, string, uint64, time.Time) (mine, earlier *ledger.Claim, err error) {
	return nil, nil, errNoClaims
}
func (noClaims) Finish(*ledger.Claim, int, []request.Header, []byte) error { return errNoClaims }
func (noClaims) Release(*ledger.Claim) error                               { return errNoClaims }
