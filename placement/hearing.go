package placement

// This file defines how a router judges what another one says of backend servers that it cannot reach.

// HearsZone reports whether the sender may hear another router of an availability zone: it says so, or does not tell.
func (m *Summary) HearsZone(zone string) bool {
	if m.Hears == nil {
		return true
	}
	for _, z := range m.Hears {
		if name, ok := z.(string); !ok || name == zone {
			return true
		}
	}
	return false
}

// believesFailure reports whether a backend server of a zone may have failed if the sender of a summary cannot reach it. A sender that
// does not hear the zone gets no answers from its servers, whatever their state: packets may pass one way only. If this
// router does not hear the zone either, the zone may be down.
func (p *Placement) believesFailure(m *Summary, zone string) bool {
	return m.Zone == zone || m.HearsZone(zone) || !p.hears(zone)
}

// hears reports whether this router hears a zone, which may be its own.
func (p *Placement) hears(zone string) bool {
	if zone == p.zone {
		return true
	}
	for _, peer := range p.peers {
		if peer.zone == zone {
			return true
		}
	}
	return false
}
