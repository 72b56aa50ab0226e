package gateway

// This file defines which rows of the store's table of streams a router reads and deletes.

import (
	"strings"
	"time"

	"bulrushtally/gossip"
	"bulrushtally/platform"
	"bulrushtally/streamversion"
)

// clean deletes the rows of this router's earlier starts and, in this zone, of routers that are gone.
func (s *streams) clean(now time.Time) {
	from := streamsPrefix + s.Zone + "/"
	batch, err := s.Store.RowsBetween(platform.StreamTable, from, prefixEnd(from), streamsCallTimeout)
	if err != nil {
		return // the next time will do
	}
	for _, r := range batch.Rows {
		written, err := streamversion.NewSnapshot(batch.Era).AddLog(r.Value)
		own := strings.HasPrefix(r.Key, from+s.VM+"/")
		if r.Key == s.rowKey || err == nil && !own && now.Sub(written) < streamRowMemory {
			continue
		}
		err = s.Store.Remove(platform.StreamTable, r.Key, streamsCallTimeout)
		s.Logger.Info().Err(err).Str("row", r.Key).Time("written", written).Msg("streams-row-deleted")
	}
}

// readAll reads what the store tells of streams of all zones.
func (s *streams) readAll() (*streamversion.Snapshot, error) {
	return s.read([2]string{"", ""})
}

// readZone reads what the store tells of streams of this zone, or of all unless there are many rows. While all services have one
// version, it is enough that the row which says so has not changed.
func (s *streams) readZone() (*streamversion.Snapshot, error) {
	if s.onlyVersions != nil {
		newest, err := s.isNewest(s.onlyVersions)
		if err != nil || newest {
			return s.onlyVersions, err
		}
		s.onlyVersions = nil
	}
	n, err := s.readZoneRows()
	if err != nil {
		return nil, err
	}
	if _, all := n.SaysOnly(); all {
		s.onlyVersions = n
	}
	return n, nil
}

// readZoneRows reads what readZone does.
func (s *streams) readZoneRows() (*streamversion.Snapshot, error) {
	if !s.manyRows() {
		return s.readAll()
	}
	s.mu.Lock()
	several := s.keeper.Logs()
	s.mu.Unlock()
	if several {
		zone := streamsPrefix + s.Zone + "/"
		return s.read([2]string{zone, prefixEnd(zone)})
	}
	return s.read([2]string{versionsKey, versionsKey + "\x00"})
}

// isNewest reports whether the store confirms that the row of versions of an earlier read is the newest.
func (s *streams) isNewest(n *streamversion.Snapshot) (bool, error) {
	unchanged, era, err := s.Store.Unchanged(platform.StreamTable, versionsKey, n.Row(), streamsCallTimeout)
	if err != nil {
		s.Logger.Warn().Err(err).Msg("streams-not-read")
	}
	return err == nil && unchanged && era == n.Era(), err
}

// confirm makes n tell no service's only version unless the store confirms the row of versions: the read may have been answered from
// an older state.
func (s *streams) confirm(n *streamversion.Snapshot) error {
	if services, _ := n.SaysOnly(); services == 0 {
		return nil
	}
	newest, err := s.isNewest(n)
	if err == nil && !newest {
		s.Logger.Info().Uint64("row_version", n.Row()).Msg("stream-versions-old")
		n.DoubtVersions()
	}
	return err
}

// read reads ranges of keys.
func (s *streams) read(ranges ...[2]string) (*streamversion.Snapshot, error) {
	var n *streamversion.Snapshot
	for _, keys := range ranges {
		batch, err := s.Store.RowsBetween(platform.StreamTable, keys[0], keys[1], streamsCallTimeout)
		if err != nil {
			s.Logger.Warn().Err(err).Msg("streams-not-read")
			return nil, err
		}
		if n == nil {
			n = streamversion.NewSnapshot(batch.Era)
		}
		for _, r := range batch.Rows {
			if r.Key == versionsKey {
				err = n.AddVersions(r.Value, r.Version)
			} else {
				_, err = n.AddLog(r.Value)
			}
			if err != nil {
				s.Logger.Error().Err(err).Str("row", r.Key).Uint64("row_version", r.Version).Msg("streams-row-refused")
			}
		}
	}
	return n, s.confirm(n)
}

// manyRowsRouters is the number of routers above which their rows are many.
const manyRowsRouters = 100

// manyRows reports whether the rows of other zones are read only if those of this zone do not have a stream.
func (s *streams) manyRows() bool { return s.Routers() > manyRowsRouters }

// writers returns how many routers of the fleet write a row.
func (s *streams) writers() int {
	if n := s.Routers(); n <= gossip.ZoneSummaryThreshold {
		return n
	}
	return (s.Routers() + streamversion.GroupSize - 1) / streamversion.GroupSize
}

// prefixEnd returns the first key after all that start with a prefix, which ends with a slash.
func prefixEnd(prefix string) string { return strings.TrimSuffix(prefix, "/") + "0" }
