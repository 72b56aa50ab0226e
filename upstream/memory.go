package upstream

// This file defines memory, the budget for what backend servers make the router hold: heads, bodies and incomplete events of
// all exchanges together. A server that sends without end, or slowly, would otherwise use up a small VM with many connections.

import (
	"sync"
)

// smallHolding is the memory, in bytes, that each exchange may hold whatever the others do, so that a faulty server cannot
// keep the answers of sound ones from their callers.
const smallHolding = 8 << 10

// memory is a budget for the memory of exchanges. If it is exceeded, the exchange that holds most and still receives is ended.
// The zero value has no limit. It is safe for concurrent use.
//
// Invariant: used is the sum of held over all exchanges, and large has those of them that are over smallHolding.
type memory struct {
	limit int64 // bytes; 0 for none

	mu    sync.Mutex
	used  int64 // bytes
	large map[*Exchange]bool
	ended int // exchanges that were ended for what they held
}

// hold sets what an exchange holds, in bytes. It returns errTooMuchHeld if the exchange is ended for it.
func (m *memory) hold(x *Exchange, bytes int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if x.tooMuchHeld {
		return errTooMuchHeld
	}
	m.set(x, bytes)
	for m.limit > 0 && m.used > m.limit {
		largest := m.largestReceiving()
		if largest == nil {
			return nil
		}
		m.end(largest)
	}
	if x.tooMuchHeld {
		return errTooMuchHeld
	}
	return nil
}

// set records what an exchange holds. The caller holds m.mu.
func (m *memory) set(x *Exchange, bytes int64) {
	m.used += bytes - x.held
	x.held = bytes
	if bytes <= smallHolding {
		delete(m.large, x)
		return
	}
	if m.large == nil {
		m.large = map[*Exchange]bool{}
	}
	m.large[x] = true
}

// largestReceiving returns the exchange that holds most of those that still receive and are over smallHolding, or nil. The
// caller holds m.mu.
func (m *memory) largestReceiving() *Exchange {
	var largest *Exchange
	for x := range m.large {
		if !x.received && (largest == nil || x.held > largest.held) {
			largest = x
		}
	}
	return largest
}

// end closes the connection of an exchange, whose memory counts as free from then on. The caller holds m.mu.
func (m *memory) end(x *Exchange) {
	x.tooMuchHeld = true
	m.ended++
	m.set(x, 0)
	x.conn.abort()
}

// setReceived records that the response of an exchange has been received, so that ending it would free nothing.
func (m *memory) setReceived(x *Exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	x.received = true
}

// release records that an exchange holds nothing any more.
func (m *memory) release(x *Exchange) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(x, 0)
}

// isTooMuchHeld reports whether an exchange was ended for what it held.
func (m *memory) isTooMuchHeld(x *Exchange) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return x.tooMuchHeld
}

// counts returns the bytes held now and how many exchanges were ended for what they held.
func (m *memory) counts() (used int64, ended int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.ended
}

// Memory that the head of a response takes once it is parsed and forwarded, in bytes.
const (
	headByteMemory = 6   // for each byte: the text, its strings and its copies for the caller, and what they outgrow
	headLineMemory = 200 // for each line: its place in the header and the values of its name
)

// headMeter counts the bytes and lines of a head while it is read. The zero value is that of a head of which nothing was read.
type headMeter struct {
	bytes, lines int64
	lineBytes    int // of the line that has not ended, without its end
	ended        bool
}

// write counts what was read, up to the empty line at the end of the head.
func (h *headMeter) write(b []byte) {
	for _, c := range b {
		if h.ended {
			return
		}
		h.bytes++
		switch c {
		case '\r':
		case '\n':
			h.ended = h.lineBytes == 0 && h.lines > 0
			h.lines++
			h.lineBytes = 0
		default:
			h.lineBytes++
		}
	}
}

// memory returns the memory that the head takes, in bytes.
func (h *headMeter) memory() int64 { return h.bytes*headByteMemory + h.lines*headLineMemory }
