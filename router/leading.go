package router

// This file defines how a router takes up and lays down the leadership of shards.

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

// leading is a shard that this router leads.
type leading struct {
	*backend.Leader
	part *supervise.Part
}

// configured takes in a new configuration.
func (r *Router) configured(v *config.View) {
	r.logger.Info().Uint64("revision", v.Revision()).Msg("configuration-in-force")
	r.metrics.Gauge("config_revision").Update(float64(v.Revision()))
	names := keyNames(v)
	r.mu.Lock()
	r.names = names
	r.mu.Unlock()
	r.reconcile(v, true)
	r.entry.Configure(v)
}

// reconcile leads exactly the shards of the own zone that this router should lead.
func (r *Router) reconcile(v *config.View, configure bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.serving == nil {
		return
	}
	wanted := map[config.ShardID]bool{}
	for _, sh := range v.AllShards() {
		if r.leads(sh.ID) {
			wanted[sh.ID] = true
		}
	}
	for id, l := range r.leaders {
		if !wanted[id] {
			l.part.Stop()
			delete(r.leaders, id)
			r.logger.Info().Str("shard", id.String()).Msg("leadership-ended")
		}
	}
	for id := range wanted {
		l := r.leaders[id]
		if l == nil {
			r.lead(id, v, now)
		} else if configure {
			l.Configure(now, v)
		}
	}
	r.metrics.Gauge("shards_led").Update(float64(len(r.leaders)))
}

// leads reports whether this router should lead a shard; r.mu is held.
func (r *Router) leads(id config.ShardID) bool {
	if id.Zone != r.settings.Zone {
		return false
	}
	m, ok := r.members.Leader(id.Zone, id.String())
	return ok && m.VM == r.settings.VM
}

// lead starts to lead a shard, with all its backend servers cold; r.mu is held.
func (r *Router) lead(id config.ShardID, v *config.View, now time.Time) {
	l := backend.NewLeader(backend.LeaderConfig{
		Shard: id, VM: r.settings.VM, Incarnation: r.members.Self().Incarnation,
		Client: r.client, Tracker: r, Logger: r.logger, Metrics: r.metrics,
		Options: schedule.Options{FirstEstimate: r.settings.FirstEstimate, MaxDebt: r.settings.MaxDebt},
	})
	l.Configure(now, v)
	l.SetLeaving(now, r.departing)
	r.leaders[id] = &leading{Leader: l, part: r.serving.Go("leader "+id.String(), l.Run)}
	r.logger.Info().Str("shard", id.String()).Msg("leadership-began")
}

func (r *Router) leader(id config.ShardID) *leading {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaders[id]
}

// Windows calls f with each backend server that this router admits to.
func (r *Router) Windows(f func(name string, size, inflight int)) {
	for _, l := range r.led() {
		l.Windows(f)
	}
}

// led returns the shards that this router leads.
func (r *Router) led() []*leading {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*leading, 0, len(r.leaders))
	for _, l := range r.leaders {
		list = append(list, l)
	}
	return list
}

var errNoLeader = errors.New("shard has no leader that can be reached")

// Submit sends a request to the leader of its shard.
func (r *Router) Submit(ctx context.Context, q *request.Request, sink request.Sink) (func(), error) {
	if l := r.leader(q.Shard); l != nil {
		return l.Submit(ctx, q, sink), nil
	}
	r.mu.Lock()
	m, ok := r.members.Leader(q.Shard.Zone, q.Shard.String())
	r.mu.Unlock()
	if !ok || m.VM == r.settings.VM {
		return nil, errNoLeader
	}
	if link := r.peers.Link(m.VM); link != nil {
		return link.Request(ctx, q, sink)
	}
	f := &forward{request: q, sink: sink}
	go f.run(ctx, r, m)
	return f.recall, nil
}

// forward is a request that waits for a link to be opened, which must not hold
// up the requests after it.
type forward struct {
	request *request.Request
	sink    request.Sink

	mu       sync.Mutex
	recalled bool
	over     func() // recalls it once it was sent
}

func (f *forward) run(ctx context.Context, r *Router, m fleet.Member) {
	link, err := r.peers.Connect(m.VM, m.Address)
	f.mu.Lock()
	if f.recalled {
		f.mu.Unlock()
		f.sink(request.Fail(request.CodeRecalled, "taken back before it was sent").End(request.NotRun))
		return
	}
	if err == nil {
		f.over, err = link.Request(ctx, f.request, f.sink)
	}
	f.mu.Unlock()
	if err != nil {
		f.sink(request.Fail(request.CodeMoved, "%v", err).End(request.NotRun))
	}
}

func (f *forward) recall() {
	f.mu.Lock()
	f.recalled = true
	over := f.over
	f.mu.Unlock()
	if over != nil {
		over()
	}
}

// Reachable reports whether a shard has a live leader.
func (r *Router) Reachable(id config.ShardID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.members.Leader(id.Zone, id.String())
	return ok
}

// Serve runs a request of another router if this one leads its shard.
func (r *Router) Serve(ctx context.Context, from string, q *request.Request, sink request.Sink) func() {
	r.mu.Lock()
	l := r.leaders[q.Shard]
	if r.interest[q.Shard] == nil {
		r.interest[q.Shard] = map[string]time.Time{}
	}
	r.interest[q.Shard][from] = time.Now()
	r.mu.Unlock()
	if l == nil {
		sink(request.Fail(request.CodeMoved, "router %s does not lead shard %s", r.settings.VM, q.Shard).End(request.NotRun))
		return func() {}
	}
	return l.Submit(ctx, q, sink)
}
