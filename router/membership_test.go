package router_test

import (
	"testing"

	"bulrushtally/lab"
)

// TestRelayDiscovery starts fleets in which the zones' relays at first know only routers of the
// other zones that are not relays. Every router must discover every other.
func TestRelayDiscovery(t *testing.T) {
	for _, n := range []struct{ zones, perZone int }{{3, 2}, {5, 3}} {
		o := lab.CurrentFleetOptions(1)
		o.Zones, o.RoutersPerZone = []string{"z-a", "z-b", "z-c", "z-d", "z-e"}[:n.zones], n.perZone
		o.ModelServers, o.PlainServers, o.Customers = 1, 0, 1
		startFleet(t, o) // returns once every router knows all others
	}
}
