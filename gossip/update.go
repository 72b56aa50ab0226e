package gossip

// This file defines ZoneUpdate, which the routers of a zone that poll the platform's store send
// to the other routers of the zone, so that not all of them have to poll it.

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/follow"
)

// ZoneUpdate holds the recent changes that a router which polls the store has read from it.
type ZoneUpdate struct {
	_             struct{} `cbor:",toarray"`
	Router        string   // name of the sender
	ConfigVersion uint64   // version of the configuration
	ConfirmedAt   uint64   // reading of the store's clock in ms at which ConfigVersion was the newest; 0 if unknown
	ConfirmedEra  uint64   // era of the store at that reading
	Tables        []follow.Delta
}

const (
	updatePeriod = 300 * time.Millisecond // between two updates if none is sent early by SendUpdate
	updateGap    = 100 * time.Millisecond // least time between two updates, each of which repeats the changes of some seconds
	maxRowBytes  = 32 << 10               // largest size of a table's rows in an update; receivers read larger ones from the store
)

// SendUpdate makes Run send an update at once.
func (g *Gossip) SendUpdate() {
	select {
	case g.updateReady <- struct{}{}:
	default: // an update is already pending
	}
}

// sendUpdates sends updates to the zone's other routers until the context ends.
func (g *Gossip) sendUpdates(ctx context.Context) {
	t := time.NewTicker(updatePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.updateReady:
		}
		u := g.handler.ZoneUpdate()
		if u == nil {
			continue
		}
		u.dropLongRows()
		data, err := cbor.Marshal(u)
		if err != nil {
			g.logger.Warn().Err(err).Msg("zone-update-not-sent")
			continue
		}
		g.send(append(data, kindUpdate), g.zonePeers(time.Now()))
		select {
		case <-ctx.Done():
		case <-time.After(updateGap):
		}
	}
}

// dropLongRows removes the rows of tables whose rows exceed maxRowBytes. The range of versions
// of such a table becomes empty, so that receivers find changes missing and read the store.
func (u *ZoneUpdate) dropLongRows() {
	for i := range u.Tables {
		size := 0
		for _, r := range u.Tables[i].Rows {
			size += len(r.Key) + len(r.Value)
		}
		if size > maxRowBytes {
			u.Tables[i].From, u.Tables[i].Rows = u.Tables[i].To, nil
		}
	}
}

// zonePeers returns the addresses of the zone's other routers that are not inactive.
func (g *Gossip) zonePeers(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.routers {
		if r.zone == g.zone && now.Sub(r.lastSeen) < inactiveAfter {
			to = append(to, r.address)
		}
	}
	return to
}
