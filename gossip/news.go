package gossip

// This file defines News, which a few routers of each availability zone tell the others
// of it, so that not all of them ask the platform's store.

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/follow"
)

// News is what a router that asks the store tells those of its zone.
type News struct {
	_       struct{} `cbor:",toarray"`
	Router  string
	Version uint64 // of the configuration
	Proof   uint64 // reading of the store's clock at which it was the newest, in milliseconds; 0 if unknown
	Tables  []follow.News
}

const (
	newsPeriod = 300 * time.Millisecond // between two messages when nothing is new
	maxRows    = 32 << 10               // bytes of rows that are told; others ask the store for more
)

// Tell makes news go out at once.
func (g *Gossip) Tell() {
	select {
	case g.fresh <- struct{}{}:
	default: // they are about to
	}
}

// tellZone tells the zone's routers the news until the context ends.
func (g *Gossip) tellZone(ctx context.Context) {
	t := time.NewTicker(newsPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-g.fresh:
		}
		n := g.handler.News()
		if n == nil {
			continue
		}
		n.bound()
		data, err := cbor.Marshal(n)
		if err != nil {
			g.logger.Warn().Err(err).Msg("summary-not-sent")
			continue
		}
		g.send(append(data, kindNews), g.neighbours(time.Now()))
	}
}

// bound leaves out rows that are too long to be told.
func (n *News) bound() {
	for i := range n.Tables {
		size := 0
		for _, r := range n.Tables[i].Rows {
			size += len(r.Key) + len(r.Value)
		}
		if size > maxRows {
			n.Tables[i].From, n.Tables[i].Rows = n.Tables[i].To, nil
		}
	}
}

// neighbours returns the addresses of the zone's other routers.
func (g *Gossip) neighbours(now time.Time) (to []netip.AddrPort) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range g.routers {
		if r.zone == g.zone && now.Sub(r.heard) < farewell {
			to = append(to, r.address)
		}
	}
	return to
}
