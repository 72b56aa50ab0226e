package gateway

// This file defines how a router makes itself known by a row of the platform's store, by which routers that start later
// find it.

import (
	"context"
	"time"

	"bulrushtally/platform"
)

// Timing of the registration.
const (
	registerTimeout    = time.Second
	registerRetryDelay = 300 * time.Millisecond
	registerMemory     = time.Minute // after which a copy that the store comes back from has this router's row
)

// register writes this router's address to the store and reads the addresses of the other
// routers. If the store comes back from a copy that may lack the row, it writes the row again.
func (g *Gateway) register(ctx context.Context) error {
	g.retryRegistration(ctx, g.writeAddress)
	writtenAt := boottime()
	g.retryRegistration(ctx, g.addRegisteredRouters)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-g.restored:
		}
		if boottime()-writtenAt < registerMemory {
			g.retryRegistration(ctx, g.writeAddress)
			writtenAt = boottime()
		}
	}
}

// retryRegistration calls a step of the registration until it succeeds or the context ends.
func (g *Gateway) retryRegistration(ctx context.Context, step func() error) {
	for ctx.Err() == nil {
		err := step()
		if err == nil {
			return
		}
		g.logger.Warn().Err(err).Msg("registration-failed")
		select {
		case <-ctx.Done():
		case <-time.After(registerRetryDelay):
		}
	}
}

// writeAddress writes this router's address to the store.
func (g *Gateway) writeAddress() error {
	return g.store.Put(platform.RouterTable, g.settings.VM, []byte(g.gossip.Address()), registerTimeout)
}

// addRegisteredRouters adds the routers that the store lists to those that gossip reaches.
func (g *Gateway) addRegisteredRouters() error {
	batch, err := g.store.Rows(platform.RouterTable, registerTimeout)
	if err != nil {
		return err
	}
	for _, r := range batch.Rows {
		g.gossip.Add(r.Key, string(r.Value))
	}
	return nil
}

// storeRestored has this router tell the others of the store's new era, in which it has read a table, and write its row
// again.
func (g *Gateway) storeRestored(table string) {
	g.gossip.SendUpdate()
	g.streams.storeRestored()
	if table != platform.OperatorTable {
		return // once is enough
	}
	select {
	case g.restored <- struct{}{}:
	default: // the row is written again anyway
	}
}
