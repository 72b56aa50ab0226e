package router

// This file defines how a router starts and stops leading shards, and how requests reach the
// leaders of their shards.

import (
	"context"
	"errors"
	"sync"
	"time"

	"bulrushtally/backend"
	"bulrushtally/config"
	"bulrushtally/fleet"
	"bulrushtally/request"
	"bulrushtally/schedule"
	"bulrushtally/supervise"
)

// localLeader is a shard's leader that runs in this router.
type localLeader struct {
	*backend.Leader
	task *supervise.Task
}

// applyConfig applies a new configuration to the shard leaders and the entry.
func (r *Router) applyConfig(v *config.View) {
	r.logger.Info().Uint64("revision", v.Revision()).Msg("configuration-applied")
	r.metrics.Gauge("config_revision").Update(float64(v.Revision()))
	keys := counterKeysByID(v)
	r.mu.Lock()
	r.counterKeys = keys
	r.mu.Unlock()
	r.reconcileLeaders(v, true)
	r.entry.Configure(v)
}

// reconcileLeaders starts and stops leaders so that this router leads exactly the shards for
// which shouldLead is true. If configChanged is true, it also passes the configuration to the
// leaders that already run. It does nothing before Start.
func (r *Router) reconcileLeaders(v *config.View, configChanged bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.servingTree == nil {
		return
	}
	wanted := map[config.ShardID]bool{}
	for _, shard := range v.AllShards() {
		if r.shouldLead(shard.ID) {
			wanted[shard.ID] = true
		}
	}
	for id, l := range r.localLeaders {
		if !wanted[id] {
			l.task.Stop()
			delete(r.localLeaders, id)
			r.logger.Info().Str("shard", id.String()).Msg("leadership-ended")
		}
	}
	for id := range wanted {
		l := r.localLeaders[id]
		if l == nil {
			r.startLeading(id, v, now)
		} else if configChanged {
			l.Configure(now, v)
		}
	}
	r.metrics.Gauge("shards_led").Update(float64(len(r.localLeaders)))
}

// shouldLead reports whether this router is the elected leader of a shard, which must be of
// its own zone; r.mu is held.
func (r *Router) shouldLead(id config.ShardID) bool {
	if id.Zone != r.settings.Zone {
		return false
	}
	m, ok := r.members.Leader(id.Zone, id.String())
	return ok && m.VM == r.settings.VM
}

// startLeading starts a shard's leader, which treats all its backend servers as cold; r.mu is held.
func (r *Router) startLeading(id config.ShardID, v *config.View, now time.Time) {
	l := backend.NewLeader(backend.LeaderConfig{
		Shard: id, VM: r.settings.VM, Incarnation: r.members.Self().Incarnation,
		Client: r.backendClient, Tracker: r, Logger: r.logger, Metrics: r.metrics,
		Options: schedule.Options{FirstEstimate: r.settings.FirstEstimate, MaxDebt: r.settings.MaxDebt},
	})
	l.Configure(now, v)
	l.SetLeavingVMs(now, r.drainingBackends)
	r.localLeaders[id] = &localLeader{Leader: l, task: r.servingTree.Go("leader "+id.String(), l.Run)}
	r.logger.Info().Str("shard", id.String()).Msg("leadership-started")
}

// leaderOf returns the leader of a shard if it runs in this router, else nil.
func (r *Router) leaderOf(id config.ShardID) *localLeader {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.localLeaders[id]
}

// ForEachWindow calls f for each backend server of the shards that this router leads, with the size
// of its window and the number of requests in flight.
func (r *Router) ForEachWindow(f func(name string, size, inflight int)) {
	for _, l := range r.listLocalLeaders() {
		l.Windows(f)
	}
}

// listLocalLeaders returns the leaders that run in this router, in no particular order.
func (r *Router) listLocalLeaders() []*localLeader {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*localLeader, 0, len(r.localLeaders))
	for _, l := range r.localLeaders {
		list = append(list, l)
	}
	return list
}

var errNoLeader = errors.New("shard has no leader that can be reached")

// Submit sends a request to the leader of its shard: directly if the leader runs in this
// router, else over the link to the leader's router, which is opened if there is none. The
// sink receives the events; the context cancels the request; the returned function recalls it
// while it is still queued. An error means that the request was not sent.
func (r *Router) Submit(ctx context.Context, req *request.Request, sink request.Sink) (func(), error) {
	if l := r.leaderOf(req.Shard); l != nil {
		return l.Submit(ctx, req, sink), nil
	}
	r.mu.Lock()
	leader, ok := r.members.Leader(req.Shard.Zone, req.Shard.String())
	r.mu.Unlock()
	if !ok || leader.VM == r.settings.VM {
		return nil, errNoLeader
	}
	if link := r.peers.Link(leader.VM); link != nil {
		return link.SendRequest(ctx, req, sink)
	}
	f := &pendingForward{request: req, sink: sink}
	go f.run(ctx, r, leader)
	return f.recall, nil
}

// pendingForward is a request to another router that waits for its link to open. It has a
// goroutine of its own so that dialing does not block the requests after it.
type pendingForward struct {
	request *request.Request
	sink    request.Sink

	mu         sync.Mutex
	recalled   bool
	recallSent func() // recalls the request from the leader; nil until it was sent
}

// run opens the link and sends the request, unless it was recalled first. If it cannot be
// sent, the sink receives its end with outcome not-run.
func (f *pendingForward) run(ctx context.Context, r *Router, leader fleet.Member) {
	link, err := r.peers.Connect(leader.VM, leader.Address)
	f.mu.Lock()
	if f.recalled {
		f.mu.Unlock()
		f.sink(request.NewFailure(request.CodeRecalled, "taken back before it was sent").EndEvent(request.OutcomeNotRun))
		return
	}
	if err == nil {
		f.recallSent, err = link.SendRequest(ctx, f.request, f.sink)
	}
	f.mu.Unlock()
	if err != nil {
		f.sink(request.NewFailure(request.CodeLeaderChanged, "%v", err).EndEvent(request.OutcomeNotRun))
	}
}

// recall prevents the request from being sent, or recalls it from the leader once it was sent.
func (f *pendingForward) recall() {
	f.mu.Lock()
	f.recalled = true
	recallSent := f.recallSent
	f.mu.Unlock()
	if recallSent != nil {
		recallSent()
	}
}

// Reachable reports whether a shard has a live leader, in this or another router.
func (r *Router) Reachable(id config.ShardID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.members.Leader(id.Zone, id.String())
	return ok
}

// Serve submits another router's request to the leader of its shard if that runs in this
// router; else the request ends with CodeLeaderChanged and outcome not-run. It records the
// sender, which CapacityAvailable then notifies, and returns a function that recalls the request
// while it is queued.
func (r *Router) Serve(ctx context.Context, fromVM string, req *request.Request, sink request.Sink) func() {
	r.mu.Lock()
	l := r.localLeaders[req.Shard]
	if r.recentSenders[req.Shard] == nil {
		r.recentSenders[req.Shard] = map[string]time.Time{}
	}
	r.recentSenders[req.Shard][fromVM] = time.Now()
	r.mu.Unlock()
	if l == nil {
		sink(request.NewFailure(request.CodeLeaderChanged, "router %s does not lead shard %s", r.settings.VM, req.Shard).EndEvent(request.OutcomeNotRun))
		return func() {}
	}
	return l.Submit(ctx, req, sink)
}
