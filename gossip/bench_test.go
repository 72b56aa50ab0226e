package gossip_test

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"bulrushtally/placement"
)

// BenchmarkUnmarshalSummary decodes the summary of a router with load at 90 backend servers from 30 customers.
func BenchmarkUnmarshalSummary(b *testing.B) {
	m := &placement.Summary{Router: "front-kgn-a-1", Incarnation: 1, Zone: "kgn-a", Address: "10.1.0.33:7400"}
	for i := range 90 {
		m.Loads = append(m.Loads, placement.Load{Server: fmt.Sprintf("i-%010d", i), Running: 3, Tokens: 40000, PendingPrefill: 3000, SentTokens: 1 << 30})
	}
	for i := range 30 {
		m.Usage = append(m.Usage, placement.CustomerUsage{Customer: fmt.Sprintf("cust%03d", i), Demand: 1 << 32, Served: 1 << 31})
	}
	data, err := cbor.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		var got placement.Summary
		if err := cbor.Unmarshal(data, &got); err != nil {
			b.Fatal(err)
		}
	}
}
