package streamversion

// This file defines Finding, the version of a stream with what it is known from.

// Source is what the version of a stream is known from.
type Source string

// Sources.
const (
	Nowhere  Source = ""       // the version is not known
	OwnLog   Source = "own"    // this router has the stream in its Log
	OtherLog Source = "store"  // a router's row of the store has the stream
	OnlyOne  Source = "only"   // all streams of the service are of one version
	Unusable Source = "unsure" // the stream has begun at a server whose version was not certain
)

// Logged reports whether the source names the stream itself, so that it is certain that there is one.
func (s Source) Logged() bool { return s == OwnLog || s == OtherLog }

// Finding is the version of a stream; Version is "" if it is not known.
type Finding struct {
	Version string
	Source  Source
}

// found returns the Finding for a stream that is logged at a version.
func found(version string, s Source) Finding {
	if version == "" {
		return Finding{Source: Unusable}
	}
	return Finding{version, s}
}

// Find returns the version of a stream that the Log has.
func (l *Log) Find(s Stream) (f Finding, ok bool) {
	b, ok := l.streams[s]
	return found(b.version, OwnLog), ok
}

// Find returns the version of a stream of a service by the rows of the store, and false if they do not tell it. They must have
// been read after the caller took the stream up: a version may have come into use since an earlier read.
func (n *Snapshot) Find(service string, s Stream) (f Finding, ok bool) {
	if version, ok := n.begun[s]; ok {
		return found(version, OtherLog), true
	}
	if version, ok := n.only(service); ok {
		return Finding{version, OnlyOne}, true
	}
	return Finding{}, false
}

// Logs reports whether a router's row has the stream. Such a row stays right, also in a Snapshot of some time ago.
func (n *Snapshot) Logs(s Stream) bool {
	_, ok := n.begun[s]
	return ok
}
