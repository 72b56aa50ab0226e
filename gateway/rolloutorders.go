package gateway

// This file defines how a router takes the operators' orders of roll-outs from rows of the platform's store.

import (
	"time"

	"bulrushtally/follow"
	"bulrushtally/platform"
	"bulrushtally/rollout"
)

// orderRows are the operators' orders, as rows of the store bring them.
type orderRows struct {
	era      uint64 // of the store when it was last confirmed
	eraKnown bool   // no row has come since that may be of another era
	pending  []pendingOrder
	known    map[string]follow.Row // last row of each service
	doubted  map[string]orderDoubt // what the store holds since it came back from a copy
}

// pendingOrder is a row that is to be applied once the era is known.
type pendingOrder struct {
	service string
	row     follow.Row
	readAt  time.Time
}

// orderDoubt is a row that counts unless the operators write the order again.
type orderDoubt struct {
	row   follow.Row
	until time.Time
}

func newOrderRows() orderRows {
	return orderRows{known: map[string]follow.Row{}, doubted: map[string]orderDoubt{}}
}

// resetOrders takes all rows of the operators' table. An order without a row was removed. After the store came back from a
// copy, an order that it lacks, or has another of, counts on until operators write it again or doubtTime has passed.
func (r *rollouts) resetOrders(rows []follow.Row, restored bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now, listed := time.Now(), map[string]bool{}
	r.orders.eraKnown, r.orders.pending = false, nil
	clear(r.orders.doubted)
	for _, row := range rows {
		service, ok := platform.RolloutService(row.Key)
		if !ok || row.Deleted {
			continue
		}
		listed[service] = true
		if known, ok := r.orders.known[service]; ok && restored && known.Version != row.Version {
			r.orders.doubted[service] = orderDoubt{row, now.Add(doubtTime)}
			continue
		}
		r.orders.pending = append(r.orders.pending, pendingOrder{service, row, now})
	}
	for service, known := range r.orders.known {
		gone := follow.Row{Key: known.Key, Version: known.Version, Deleted: true}
		switch {
		case listed[service]:
		case restored:
			r.orders.doubted[service] = orderDoubt{gone, now.Add(doubtTime)}
		default:
			r.orders.pending = append(r.orders.pending, pendingOrder{service, gone, now})
		}
	}
}

// addOrders takes changed rows of the operators' table.
func (r *rollouts) addOrders(rows []follow.Row) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, row := range rows {
		if service, ok := platform.RolloutService(row.Key); ok {
			delete(r.orders.doubted, service)
			r.orders.pending = append(r.orders.pending, pendingOrder{service, row, time.Now()})
		}
	}
}

// confirmOrders records the era of the rows that have come.
func (r *rollouts) confirmOrders(era uint64) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders.era, r.orders.eraKnown = era, true
}

// statusWait is how long a router that starts waits for the table of states, which tells when an order began.
const statusWait = 2 * time.Second

// applyOrders applies the orders that have come. A router that has just started first reads the table of states.
func (r *rollouts) applyOrders(now time.Time) {
	r.updateClock()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := &r.orders
	for service, d := range o.doubted {
		if now.After(d.until) {
			delete(o.doubted, service)
			o.pending = append(o.pending, pendingOrder{service, d.row, now})
		}
	}
	if !o.eraKnown || len(o.pending) == 0 || !r.statusRead && now.Sub(r.startedAt) < statusWait {
		return
	}
	for _, p := range o.pending {
		r.applyOrder(now, p)
	}
	o.pending = nil
}

// applyOrder applies one row of the operators' table; r.mu is held.
func (r *rollouts) applyOrder(now time.Time, p pendingOrder) {
	if p.row.Deleted {
		delete(r.orders.known, p.service)
		r.core.DropOrder(now, p.service)
		r.Logger.Info().Str("service", p.service).Uint64("row_version", p.row.Version).Msg("rollout-order-removed")
		return
	}
	order, err := platform.DecodeOrder(p.service, p.row.Value)
	if err != nil {
		r.Logger.Error().Err(err).Uint64("row_version", p.row.Version).Msg("rollout-order-refused")
		return
	}
	order.Number, order.Era, order.Began = p.row.Version, r.orders.era, p.readAt
	if began, ok := r.beganAt(now, order); ok {
		order.Began = began
	}
	r.orders.known[p.service] = p.row
	changed := r.core.SetOrder(now, order)
	r.applyStatus(now, p.service)
	r.Logger.Info().Str("service", p.service).Str("to", order.To).Uint64("order", order.Number).Uint64("era", order.Era).Bool("changed", changed).
		Dur("age_ms", now.Sub(order.Began)).Dur("duration_ms", order.Duration).Msg("rollout-ordered")
}

// beganAt returns when an order began by the stored state of its roll-out, if that tells; r.mu is held.
func (r *rollouts) beganAt(now time.Time, o rollout.Order) (time.Time, bool) {
	row, ok := r.status[o.Service]
	if !ok || !row.isOf(o) || row.BeganAt == 0 {
		return time.Time{}, false
	}
	age := r.Clock() - (row.BeganAt - r.clockOffset)
	if !r.hasOffset || row.Era != r.orders.era || age < 0 {
		return time.Time{}, false
	}
	return now.Add(-age), true
}

// updateClock updates how far the store's clock is ahead of this router's. It must not be called with r.mu held: the
// follower of the operators' table holds its lock while it passes rows on, which takes r.mu.
func (r *rollouts) updateClock() {
	r.mu.Lock()
	era, needed := r.orders.era, len(r.orders.pending)+len(r.orders.known) > 0
	r.mu.Unlock()
	if !needed {
		return
	}
	const reading = time.Hour // any one shows how far the clocks are apart
	at, ok := r.StoreClock(reading, era)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clockOffset, r.hasOffset = reading-at, ok
}

// storeTime converts a time to a reading of the store's clock, 0 if that is not known; r.mu is held.
func (r *rollouts) storeTime(now, t time.Time) time.Duration {
	if !r.hasOffset {
		return 0
	}
	return max(0, r.Clock()-now.Sub(t)+r.clockOffset)
}
