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

// readZone reads what the store tells of streams of this zone, or of all unless there are many rows.
func (s *streams) readZone() (*streamversion.Snapshot, error) {
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
				err = n.AddVersions(r.Value)
			} else {
				_, err = n.AddLog(r.Value)
			}
			if err != nil {
				s.Logger.Error().Err(err).Str("row", r.Key).Uint64("row_version", r.Version).Msg("streams-row-refused")
			}
		}
	}
	return n, nil
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
