package gateway

// This file defines streams, which shares one log of streams among the parts of a router and keeps the rows of the
// store that tell at which software versions streams have begun.

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"bulrushtally/follow"
	"bulrushtally/ingress"
	"bulrushtally/placement"
	"bulrushtally/platform"
	"bulrushtally/route"
	"bulrushtally/streamversion"
)

// Keys of the store's table of streams: one row lists the versions, and each start of a router has a row for its streams.
const (
	versionsKey   = "versions"
	streamsPrefix = "begun/" // then the availability zone, the VM and the start of the router
)

// Timing of the store's table of streams.
const (
	streamsPeriod      = 50 * time.Millisecond // between two looks for what is to be read or written
	streamsCallTimeout = 700 * time.Millisecond
	streamRowMemory    = 10 * time.Minute // after which the row of another router's start is deleted
	ownRowMemory       = 2 * time.Minute  // after which those of this router's earlier starts are
	maxLongestStream   = 5 * time.Minute  // that is taken from the configuration
)

// streamStore is the part of the store that streams use.
type streamStore interface {
	RowsBetween(table, from, to string, timeout time.Duration) (follow.Batch, error)
	Unchanged(table, key string, version uint64, timeout time.Duration) (unchanged bool, era uint64, err error)
	Put(table, key string, value []byte, timeout time.Duration) error
	Swap(table, key string, value []byte, version uint64, timeout time.Duration) (swapped bool, err error)
	Remove(table, key string, timeout time.Duration) error
}

// streamOptions configures streams.
type streamOptions struct {
	VM, Zone      string
	Incarnation   string // start of this router
	FirstStart    bool
	Store         streamStore
	Placer        *placement.Placement
	ListCurrentAt func() time.Duration // clock reading at which the list of backend servers was current
	Routers       func() int           // routers of the fleet
	Config        func() *route.Table  // in force, nil before there is one
	Clock         func() time.Duration
	Metrics       tally.Scope
	Logger        zerolog.Logger
}

// streams is a log of streams that is safe for concurrent use, and the store's table of it.
type streams struct {
	streamOptions
	rowKey   string
	zoneRows *streamReader // rows of this zone
	allRows  *streamReader // rows of all zones; the same in a small fleet
	logged   tally.Gauge
	done     chan struct{}

	onlyVersions *streamversion.Snapshot // last read by which all services had one version; used by zoneRows alone

	mu        sync.Mutex
	log       *streamversion.Log
	keeper    *streamversion.Keeper
	collector string // router that logs the streams of this one, "" if it does so itself

	// Used by run alone.
	listNumber uint64                     // of servers
	servers    map[string]map[string]bool // versions of the servers of each service
	config     *route.Table               // by which list was made
	list       map[string]map[string]bool // of servers, the services whose streams keep to a version
	admitted   map[string]map[string]bool // versions that the placement was told last, by service
	timing     streamversion.RowTiming
	writtenAt  time.Time // of this router's row
	cleanAt    time.Time
}

var _ ingress.Streams = (*streams)(nil)

func newStreams(o streamOptions) *streams {
	s := &streams{
		streamOptions: o, rowKey: streamsPrefix + o.Zone + "/" + o.VM + "/" + o.Incarnation, logged: o.Metrics.Gauge("streams_logged"),
		done: make(chan struct{}), log: streamversion.NewLog(), keeper: streamversion.NewKeeper(o.FirstStart),
		admitted: map[string]map[string]bool{}, cleanAt: time.Now().Add(ownRowMemory),
	}
	s.zoneRows = newStreamReader(s.readZone, func() time.Duration { return streamversion.ReadPeriod(o.Routers(), false) })
	s.allRows = newStreamReader(s.readAll, func() time.Duration { return streamversion.ReadPeriod(o.Routers(), true) })
	return s
}

// Done returns a channel that is closed when run has returned.
func (s *streams) Done() <-chan struct{} { return s.done }

// Begin records that a stream is about to begin at a version, or has.
func (s *streams) Begin(id streamversion.Stream, version string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Begin(id, version, until)
}

// Withdraw records that a stream has not begun after all, and reports whether it may begin at another version.
func (s *streams) Withdraw(id streamversion.Stream) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Withdraw(id)
}

// Ended records that a stream was sent to its end, or has not begun.
func (s *streams) Ended(id streamversion.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.End(time.Now(), id)
}

// Find returns the version at which a stream of a service has begun: by this router's log, or by rows of the store that are read
// after the call, since another router may have begun it just now.
func (s *streams) Find(ctx context.Context, service string, id streamversion.Stream) streamversion.Finding {
	s.mu.Lock()
	f, ok := s.log.Find(id)
	s.mu.Unlock()
	if ok {
		return f
	}
	for _, r := range []*streamReader{s.zoneRows, s.allRows} {
		if n := r.newest(); n != nil && n.Logs(id) {
			f, _ := n.Find(service, id)
			return f
		}
	}
	n := s.zoneRows.next(ctx)
	if n != nil {
		if f, ok := n.Find(service, id); ok {
			return f
		}
	}
	if n == nil || !s.manyRows() {
		return streamversion.Finding{}
	}
	if n = s.allRows.next(ctx); n == nil {
		return streamversion.Finding{}
	}
	f, _ = n.Find(service, id)
	return f
}

// run keeps the store's table until the context ends.
func (s *streams) run(ctx context.Context) error {
	defer close(s.done)
	readers := make(chan struct{}, 2)
	for _, r := range []*streamReader{s.zoneRows, s.allRows} {
		go func() {
			r.run(ctx)
			readers <- struct{}{}
		}()
	}
	t := time.NewTicker(streamsPeriod)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-t.C:
			s.tick(time.Now())
		}
	}
	s.writtenAt = time.Time{}
	s.writeLog(time.Now()) // streams that are cut off at the end of the stop may be taken up
	<-readers
	<-readers
	return nil
}

// tick looks for what is to be read or written.
func (s *streams) tick(now time.Time) {
	s.observe(now)
	if s.readDue(now) {
		s.keepVersions(now)
		now = time.Now()
		s.observe(now)
	}
	s.writeLog(now)
	if now.After(s.cleanAt) {
		s.cleanAt = now.Add(streamRowMemory/2 + rand.N(streamRowMemory/2))
		s.clean(now)
	}
}

// report returns what this router tells the one that logs its streams, if that is another one and they are to be logged.
func (s *streams) report(collector string) *streamversion.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if collector != s.collector {
		s.collector = collector
		s.log.Retell()
	}
	if collector == "" || !s.keeper.Logs() {
		return nil
	}
	return s.log.Report()
}

// collect records what another router tells of its streams.
func (s *streams) collect(r *streamversion.Report) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log.Collect(now, r, now.Add(s.longestStream()))
}

// writeLog writes this router's row if it has changed and streams are to be logged in the store.
func (s *streams) writeLog(now time.Time) {
	s.mu.Lock()
	due := s.log.Changed() && s.keeper.Logs() && now.Sub(s.writtenAt) >= streamversion.LogPeriod(s.writers(), s.log.Len()) && (s.collector == "" || s.log.Collected())
	var value []byte
	var err error
	count := s.log.Len()
	if due {
		value, err = s.log.Row(now)
	}
	s.mu.Unlock()
	s.logged.Update(float64(count))
	if !due {
		return
	}
	s.writtenAt = now
	if err == nil {
		err = s.Store.Put(platform.StreamTable, s.rowKey, value, streamsCallTimeout)
	}
	if err == nil {
		s.Logger.Debug().Int("streams", count).Int("bytes", len(value)).Msg("streams-logged")
		return
	}
	s.Logger.Warn().Err(err).Int("streams", count).Msg("streams-not-logged")
	s.mu.Lock()
	s.log.Touch()
	s.mu.Unlock()
}
