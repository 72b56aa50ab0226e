package streamversion_test

// This file defines fleet, which simulates routers that begin streams and take them up, without a network and in simulated
// time.

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bulrushtally/streamversion"
)

// table is the store's table of streams.
type table struct {
	era           uint64
	versions      []byte
	number        uint64 // of the versions' row, given out again after a return from a copy
	rows          map[string][]byte
	silent        bool
	reads, writes int
}

func (t *table) copy() *table {
	c := *t
	c.rows = maps.Clone(t.rows)
	return &c
}

// restore makes the store come back from a copy.
func (t *table) restore(c *table) {
	t.era++
	t.versions, t.number, t.rows = c.versions, c.number, maps.Clone(c.rows)
}

// router is one router.
type router struct {
	name      string // of this start
	keeper    *streamversion.Keeper
	log       *streamversion.Log
	list      map[string]bool // versions that it sees listed
	listAt    time.Time       // when that was current
	timing    streamversion.RowTiming
	writtenAt time.Time
}

// stream is a stream that is running.
type stream struct {
	id      streamversion.Stream
	version string
	router  *router
	ends    time.Time
}

// fleet is routers of one service. Its streams last from half of streamTime to one and a half.
type fleet struct {
	t          *testing.T
	random     *rand.Rand
	now        time.Time
	table      *table
	routers    []*router
	listed     map[string]bool // versions that servers have
	streamTime time.Duration
	streams    []stream
	starts     int
	begun      int
}

const service = "models"

func newFleet(t *testing.T, seed uint64, routers int, streamTime time.Duration) *fleet {
	f := &fleet{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), table: &table{era: 1, rows: map[string][]byte{}}, listed: map[string]bool{"v1": true}, streamTime: streamTime}
	for range routers {
		f.routers = append(f.routers, f.newRouter(true))
	}
	return f
}

// largeFleet is the number of routers from which on groups of them have a collector.
const largeFleet = 20

// collector returns the router that logs the streams of another one, which may be that one.
func (f *fleet) collector(i int) *router {
	if len(f.routers) <= largeFleet {
		return f.routers[i]
	}
	return f.routers[i-i%streamversion.GroupSize]
}

// writers returns how many routers write a row.
func (f *fleet) writers() int {
	if len(f.routers) <= largeFleet {
		return len(f.routers)
	}
	return len(f.routers)/streamversion.GroupSize + 1
}

func (f *fleet) newRouter(firstStart bool) *router {
	f.starts++
	r := &router{name: fmt.Sprint("router-", f.starts), keeper: streamversion.NewKeeper(firstStart), log: streamversion.NewLog()}
	r.keeper.SetLongestStream(f.longestStream())
	return r
}

func (f *fleet) longestStream() time.Duration { return 3 * f.streamTime }

// killAll restarts all routers and returns the streams that break off.
func (f *fleet) killAll() []stream {
	for i := range f.routers {
		f.routers[i] = f.newRouter(false)
	}
	broken := f.streams
	f.streams = nil
	return broken
}

// pass lets time pass. Each router begins a stream every 200 ms or so, unless it finds no version.
func (f *fleet) pass(d time.Duration) {
	const period = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(period) {
		for i, r := range f.routers {
			f.tick(r)
			f.log(r, f.collector(i))
			if f.random.IntN(2) == 0 {
				f.begin(r)
			}
		}
		f.streams = slices.DeleteFunc(f.streams, func(s stream) bool {
			if f.now.After(s.ends) {
				s.router.log.End(f.now, s.id)
				return true
			}
			return false
		})
	}
}

// tick is what a router does periodically. It hears of servers some hundred ms late.
func (f *fleet) tick(r *router) {
	if !f.table.silent && f.random.IntN(3) == 0 {
		r.list, r.listAt = maps.Clone(f.listed), f.now
	}
	r.keeper.Observe(f.now, r.listAt, map[string]map[string]bool{service: r.list})
	r.log.Expire(f.now)
	if !f.table.silent && r.timing.ReadDue(f.now, r.keeper, len(f.routers)) {
		f.keep(r)
	}
}

// log has a router's streams logged, by a collector that hears nine in ten of its reports or by itself.
func (f *fleet) log(r, collector *router) {
	if !r.keeper.Logs() {
		return
	}
	if r != collector {
		if report := r.log.Report(); report != nil && f.random.IntN(10) != 0 {
			collector.log.Collect(f.now, report, f.now.Add(f.longestStream()))
		}
		return
	}
	if r.log.Changed() && f.now.Sub(r.writtenAt) >= streamversion.LogPeriod(f.writers(), r.log.Len()) && !f.table.silent {
		value, err := r.log.Row(f.now)
		if err != nil {
			f.t.Fatal(err)
		}
		f.table.rows[r.name], r.writtenAt = value, f.now
		f.table.writes++
	}
}

// keep has a router read the row of versions, and write it if it has to change.
func (f *fleet) keep(r *router) {
	f.table.reads++
	var v *streamversion.Versions
	if f.table.versions != nil {
		var err error
		if v, err = streamversion.DecodeVersions(f.table.versions); err != nil {
			f.t.Fatal(err)
		}
	}
	r.keeper.Load(f.now, v, f.table.era)
	next, changes := r.keeper.Next(f.now)
	if !changes || !r.timing.MayWrite(f.now) {
		return
	}
	value, err := next.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.table.writes++
	f.table.versions = value
	f.table.number++
	r.keeper.Load(f.now, next, f.table.era)
}

// begin has a router begin a stream at a version that it admits.
func (f *fleet) begin(r *router) {
	admitted := slices.Sorted(maps.Keys(r.keeper.Admits(f.now, service)))
	if len(admitted) == 0 {
		return
	}
	f.begun++
	s := stream{streamversion.Stream(f.random.Uint64()), admitted[f.random.IntN(len(admitted))], r, f.now.Add(f.streamTime/2 + rand.N(f.streamTime))}
	r.log.Begin(s.id, s.version, f.now.Add(f.longestStream()))
	f.streams = append(f.streams, s)
}

// takeUp has routers that were chosen at random take up streams, and returns how many of them find a version. That must be
// the one that began the stream.
func (f *fleet) takeUp(streams []stream) (known int) {
	f.t.Helper()
	n := f.snapshot()
	for _, s := range streams {
		got, ok := f.routers[f.random.IntN(len(f.routers))].log.Find(s.id)
		if !ok && n != nil {
			got, _ = n.Find(service, s.id)
		}
		if got.Version == "" {
			continue
		}
		known++
		if got.Version != s.version {
			f.t.Errorf("got version %q from %q for a stream of %q", got.Version, got.Source, s.version)
		}
	}
	return known
}

// snapshot reads the table, or returns nil if the store is silent.
func (f *fleet) snapshot() *streamversion.Snapshot {
	if f.table.silent {
		return nil
	}
	n := streamversion.NewSnapshot(f.table.era)
	if f.table.versions != nil {
		if err := n.AddVersions(f.table.versions, 1); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, row := range f.table.rows {
		if _, err := n.AddLog(row); err != nil {
			f.t.Fatal(err)
		}
	}
	return n
}
