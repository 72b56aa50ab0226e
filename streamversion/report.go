package streamversion

// This file defines Report, by which one router of a group, the collector, learns of the streams of the others, so that it
// alone writes a row.

import (
	"encoding/binary"
	"time"
)

// GroupSize is how many routers of an availability zone share a collector in a large fleet.
const GroupSize = 6

const (
	tellings    = 2     // Reports that have a stream, to make up for lost ones
	maxInReport = 3_000 // streams in a Report; the others are in the next
)

// Report is what a router tells its collector.
type Report struct {
	_     struct{}          `cbor:",toarray"`
	Begun map[string][]byte // streams by version, eight bytes each
	Ended []byte
}

// Report returns what the collector is to be told now, or nil if that is nothing.
func (l *Log) Report() *Report {
	r := &Report{Begun: map[string][]byte{}}
	n := 0
	for s, b := range l.streams {
		if b.other || b.told >= tellings || n >= maxInReport {
			continue
		}
		n++
		b.told, b.published = b.told+1, true
		l.streams[s] = b
		r.Begun[b.version] = binary.BigEndian.AppendUint64(r.Begun[b.version], uint64(s))
	}
	for s, told := range l.ended {
		if n >= maxInReport {
			break
		}
		n++
		r.Ended = binary.BigEndian.AppendUint64(r.Ended, uint64(s))
		if l.ended[s] = told + 1; told+1 >= tellings {
			delete(l.ended, s)
		}
	}
	if n == 0 {
		return nil
	}
	return r
}

// Retell has the next Reports tell all streams again, to another collector.
func (l *Log) Retell() {
	for s, b := range l.streams {
		if b.told = 0; !b.other {
			l.streams[s] = b
		}
	}
	clear(l.ended)
	l.changed = true
}

// Collect records what another router reports of its streams, which may last until a time at most.
func (l *Log) Collect(now time.Time, r *Report, until time.Time) {
	for version, ids := range r.Begun {
		for s := range streamsIn(ids) {
			was, known := l.streams[s]
			l.Begin(s, version, until)
			if b, ok := l.streams[s]; ok && (was.other || !known) {
				b.other = true
				l.streams[s] = b
			}
		}
	}
	for s := range streamsIn(r.Ended) {
		if l.streams[s].other {
			l.End(now, s)
		}
	}
}

// Collected reports whether the Log has streams of other routers.
func (l *Log) Collected() bool {
	for _, b := range l.streams {
		if b.other {
			return true
		}
	}
	return false
}
