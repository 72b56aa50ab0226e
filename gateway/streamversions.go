package gateway

// This file defines how a router keeps the store's row that lists the versions of services whose streams keep to theirs.

import (
	"time"

	"bulrushtally/platform"
	"bulrushtally/streamversion"
)

// updateList makes the list anew if the servers or the configuration changed.
func (s *streams) updateList() {
	servers, number := s.Placer.Versions(s.listNumber)
	config := s.Config()
	if servers == nil && config == s.config {
		return
	}
	if servers != nil {
		s.servers, s.listNumber = servers, number
	}
	s.config, s.list = config, map[string]map[string]bool{}
	for service, versions := range s.servers {
		if config != nil && config.KeepsVersion(service) {
			s.list[service] = versions
		}
	}
}

// longestStream returns how long a stream may last by the configuration, 0 if there is none.
func (s *streams) longestStream() time.Duration {
	if t := s.Config(); t != nil {
		return min(t.LongestStream(), maxLongestStream)
	}
	return 0
}

// observe passes the list of servers to the keeper, and the versions that it admits to the placement.
func (s *streams) observe(now time.Time) {
	s.updateList()
	listAge := s.Clock() - s.ListCurrentAt()
	s.mu.Lock()
	s.log.Expire(now)
	s.keeper.SetLongestStream(s.longestStream())
	s.keeper.Observe(now, now.Add(-listAge), s.list)
	admits := map[string]map[string]bool{}
	for service := range s.admitted {
		admits[service] = nil // unless it is still listed
	}
	for service := range s.list {
		admits[service] = s.keeper.Admits(now, service)
	}
	s.mu.Unlock()
	for service, versions := range admits {
		if !equalSets(versions, s.admitted[service]) {
			s.admitted[service] = versions
			s.Placer.AdmitVersions(now, service, versions)
			s.Logger.Info().Str("service", service).Strs("versions", names(versions)).Msg("stream-versions-admitted")
		}
	}
}

// readDue reports whether the row of versions is to be read now.
func (s *streams) readDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.timing.ReadDue(now, s.keeper, s.Routers())
}

// keepVersions reads the row of versions, and writes it if it has to change. Only one of several routers that do so at once
// succeeds; the others read the row again.
func (s *streams) keepVersions(now time.Time) {
	batch, err := s.Store.RowsBetween(platform.StreamTable, versionsKey, versionsKey+"\x00", streamsCallTimeout)
	if err != nil {
		s.Logger.Warn().Err(err).Msg("stream-versions-not-read")
		s.timing.ReadFailed(time.Now(), streamsCallTimeout/2)
		return
	}
	var row *streamversion.Versions
	version := uint64(0)
	for _, r := range batch.Rows {
		version = r.Version
		if row, err = streamversion.DecodeVersions(r.Value); err != nil {
			s.Logger.Error().Err(err).Uint64("row_version", r.Version).Msg("stream-versions-refused")
		}
	}
	s.mu.Lock()
	s.keeper.Load(now, row, batch.Era)
	next, changes := s.keeper.Next(now)
	s.mu.Unlock()
	if !changes || !s.timing.MayWrite(now) {
		return
	}
	value, err := next.Encode()
	swapped := false
	if err == nil {
		swapped, err = s.Store.Swap(platform.StreamTable, versionsKey, value, version, streamsCallTimeout)
	}
	s.timing.RecordWrite(time.Now(), swapped)
	s.Logger.Info().Err(err).Bool("swapped", swapped).RawJSON("row", value).Msg("stream-versions-written")
	if swapped {
		s.mu.Lock()
		s.keeper.Load(now, next, batch.Era)
		s.mu.Unlock()
	}
}

// storeRestored has the row of versions read again after the store came back from a copy.
func (s *streams) storeRestored() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keeper.Forget()
}

func equalSets(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for v := range a {
		if !b[v] {
			return false
		}
	}
	return true
}

// names returns the elements of a set in no particular order.
func names(set map[string]bool) []string {
	list := make([]string, 0, len(set))
	for v := range set {
		list = append(list, v)
	}
	return list
}
