package route

// This file defines Table, one version of the configuration, and what it holds.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated.
type Kind uint8

// The kinds of routes.
const (
	Repeatable Kind = iota // may run more than once
	Once                   // runs at most once for each attempt of a client
	Stream                 // a series of events; runs at most once unless it is resumable
)

// Target is a service that gets a share of a route's requests.
type Target struct {
	Service *Service
	Weight  int
}

// Route says how requests of one host and path prefix are served.
type Route struct {
	Name         string
	Host, Prefix string
	Kind         Kind
	Targets      []Target
	Timeout      time.Duration // longest time that a request is kept waiting
	Objective    time.Duration // time to the answer, or to the first event of a stream
	GapObjective time.Duration // longest pause between events
	MaxAttempts  int
	Priority     int // 0 is the highest
	Public       bool
	Resumable    bool
}

// Repeats reports whether a request may be sent to a second backend server after the first may have run it.
func (r *Route) Repeats() bool { return r.Kind == Repeatable }

// Service is a group of like backend servers.
type Service struct {
	Name          string
	MaxConns      int // connections that one backend server accepts from all routers
	Cold          time.Duration
	ColdPerSecond float64
	Slots         int  // requests at once, 0 if only the backend servers say
	Memory        int  // tokens that one model engine holds, 0 for a plain service
	Moves         bool // engines hand a running request over to another one
}

// Engine reports whether the backend servers are model engines.
func (s *Service) Engine() bool { return s.Memory > 0 }

// Customer is who holds a key.
type Customer struct {
	Name     string
	Priority int // goes before the route's; negative if there is none
	Keys     []string
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	TokensPerSec  float64 // what all engines together produce, 0 if unknown
}

// Table is one version of the configuration.
type Table struct {
	version   uint64
	routes    map[string][]*Route // by host, longest prefix first
	customers map[string]*Customer
	services  map[string]*Service
	limits    Limits
	keyed     bool
}

// New returns a Table of what one version holds.
func New(version uint64, routes []*Route, services []*Service, customers []*Customer, limits Limits) *Table {
	t := &Table{
		version: version, limits: limits, keyed: len(customers) > 0,
		routes: map[string][]*Route{}, customers: map[string]*Customer{}, services: map[string]*Service{},
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.routes[host] = append(t.routes[host], r)
	}
	for _, list := range t.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, c := range customers {
		for _, k := range c.Keys {
			t.customers[k] = c
		}
	}
	return t
}

// Version returns the table's version.
func (t *Table) Version() uint64 { return t.version }

// Limits returns what a client may send.
func (t *Table) Limits() Limits { return t.limits }

// Keyed reports whether requests on routes that are not public need a key.
func (t *Table) Keyed() bool { return t.keyed }

// Services returns the services by name; the caller must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }

// Customer returns who holds a key, or nil.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// Lookup returns the route with the longest prefix of a path, or nil. The path has no query.
func (t *Table) Lookup(host, path string) *Route {
	list, ok := t.routes[host]
	if !ok {
		list = t.routes[hostName(host)]
	}
	for _, r := range list {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// hostName returns the host in lower case and without its port.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Pick returns the service that a number drawn from [0, 1) selects by the targets' weights, or nil if there is none.
func (r *Route) Pick(draw float64) *Service {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	at := int(draw * float64(total))
	for _, t := range r.Targets {
		if at < t.Weight {
			return t.Service
		}
		at -= t.Weight
	}
	return nil
}
