package streamversion

// This file defines Log, the streams of one router, and the row of the store that holds it.

import (
	"encoding/binary"
	"iter"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Stream identifies a stream of a customer of a service.
type Stream uint64

// StreamOf returns the identity of the stream whose first event an attempt brought. Another customer or service that
// names the same attempt gets another one.
func StreamOf(service, customer, attempt string) Stream {
	h := xxhash.New()
	for _, s := range []string{service, customer, attempt} {
		h.WriteString(s)
		h.Write([]byte{0})
	}
	return Stream(h.Sum64())
}

const (
	maxLogged  = 50_000          // streams in a Log; one more is not logged
	maxInRow   = 5_000           // streams in a row, of which the store takes 64 KiB
	endedDelay = 2 * time.Second // for which a stream that has ended is kept, since its caller may not have got the end
)

// begun is a stream that has begun.
type begun struct {
	version   string
	until     time.Time // when it can no longer be taken up
	published bool      // a Row or a Report has it
	told      int       // Reports that have it
	other     bool      // another router has begun it
}

// Log holds the streams that a router has begun, or taken up, and that may be taken up, and those of the routers that it
// collects. Its zero value is not usable.
type Log struct {
	streams map[Stream]begun
	ended   map[Stream]int // streams that have ended, with the Reports that say so
	changed bool           // a stream was added since the last Row
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{streams: map[Stream]begun{}, ended: map[Stream]int{}} }

// Begin records that a stream is about to begin at a version, or has, and may be taken up until a time. If the stream is known
// to have begun at another one, its version is unknown from now on.
func (l *Log) Begin(s Stream, version string, until time.Time) {
	known, ok := l.streams[s]
	if !ok && len(l.streams) >= maxLogged {
		return
	}
	if ok && known.version != version {
		version = ""
	}
	if ok && known.until.After(until) {
		until = known.until
	}
	if changed := !ok || known.version != version; changed {
		known, l.changed = begun{version: version}, true
	}
	known.until, known.other = until, false
	l.streams[s] = known
	delete(l.ended, s)
}

// Withdraw drops a stream that has not begun after all, and reports whether it may begin at another version: only if no Row
// and no Report has it.
func (l *Log) Withdraw(s Stream) bool {
	b, ok := l.streams[s]
	if ok && b.published {
		return false
	}
	delete(l.streams, s)
	return true
}

// End records that a stream was sent to its end.
func (l *Log) End(now time.Time, s Stream) {
	b, ok := l.streams[s]
	if !ok {
		return
	}
	if b.until.After(now.Add(endedDelay)) {
		b.until = now.Add(endedDelay)
		l.streams[s] = b
	}
	if b.told > 0 && !b.other {
		l.ended[s] = 0
	}
}

// Expire drops the streams that can no longer be taken up.
func (l *Log) Expire(now time.Time) {
	for s, b := range l.streams {
		if now.After(b.until) {
			delete(l.streams, s)
			delete(l.ended, s)
		}
	}
}

// Len returns how many streams the Log has.
func (l *Log) Len() int { return len(l.streams) }

// Touch makes Changed report that the Row is to be written, after a write has failed.
func (l *Log) Touch() { l.changed = true }

// Changed reports whether streams were added since the last Row.
func (l *Log) Changed() bool { return l.changed }

// logRow is the value of a router's row.
type logRow struct {
	_       struct{} `cbor:",toarray"`
	UnixMs  int64    // when it was written
	Streams map[string][]byte
}

const streamBytes = 8

// streamsIn returns the streams that a row or a Report holds.
func streamsIn(ids []byte) iter.Seq[Stream] {
	return func(yield func(Stream) bool) {
		for ; len(ids) >= streamBytes; ids = ids[streamBytes:] {
			if !yield(Stream(binary.BigEndian.Uint64(ids))) {
				return
			}
		}
	}
}

// Row returns the value of the router's row of the store. If there are too many streams for a row, some are left out.
func (l *Log) Row(now time.Time) ([]byte, error) {
	l.changed = false
	row := logRow{UnixMs: now.UnixMilli(), Streams: map[string][]byte{}}
	n := 0
	for s, b := range l.streams {
		if n++; n > maxInRow {
			break
		}
		if !b.published {
			b.published = true
			l.streams[s] = b
		}
		row.Streams[b.version] = binary.BigEndian.AppendUint64(row.Streams[b.version], uint64(s))
	}
	return cbor.Marshal(row)
}
