package route

// This file defines Table, one version of the configuration, and the types of its content.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says whether requests of a route may run more than once, and what the response is.
type Kind uint8

// The kinds of routes.
const (
	Repeatable Kind = iota // may run more than once; one response
	AtMostOnce             // runs at most once each time that a caller sends it; one response
	Stream                 // runs at most once unless the route is resumable; the response is a stream of events
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service *Service
	Weight  int // share relative to the sum of the route's weights
}

// Route configures how requests for a host and path prefix are served.
type Route struct {
	Name         string
	Host, Prefix string
	Kind         Kind
	Targets      []Target
	Timeout      time.Duration // longest time from the arrival of a request to the end of its response; ingress applies a default if 0
	Objective    time.Duration // objective for the time to the whole response, or to the first event of a stream
	GapObjective time.Duration // objective for the longest gap between events of a stream; none if 0
	MaxAttempts  int           // most attempts for one request, including the first; at least 1 is made
	Priority     int           // 0 is the highest
	Public       bool          // needs no key
	Resumable    bool          // a stream that breaks off may be resumed
}

// CanRepeat reports whether a request that a backend server may have run may be sent to another one.
func (r *Route) CanRepeat() bool { return r.Kind == Repeatable }

// Service is a group of interchangeable backend servers.
type Service struct {
	Name          string
	MaxConns      int           // connections that one backend server accepts from all routers; nothing reads it
	ColdTime      time.Duration // how long a backend server stays cold after it has started or returned to service
	ColdPerSecond float64       // requests per second that a cold backend server can sustain
	Slots         int           // concurrent requests of one backend server, 0 if only the backend servers report it
	KVCapacity    int           // capacity of one model server's KV cache in tokens, 0 if the service does not serve models
	Migrates      bool          // a running request can be migrated between the backend servers

	KVBytesPerToken int     // size of the KV cache of a token, 0 if unknown
	LinkMbps        float64 // rate of a model server's link to the others, in megabits per second; 0 if unknown
}

// ServesModels reports whether the backend servers serve models.
func (s *Service) ServesModels() bool { return s.KVCapacity > 0 }

// Customer is a customer with its keys.
type Customer struct {
	Name     string
	Priority int // overrides the route's priority; none if negative
	Keys     []string
}

// Limits holds the limits on what a caller may send, and the capacity of the backend servers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	CostPerSecond float64 // capacity of all model servers together, in the cost of placement requests per second; 0 if unknown
}

// Table is one version of the configuration.
type Table struct {
	version      uint64
	routes       map[string][]*Route  // by host, longest prefix first
	customers    map[string]*Customer // by key
	services     map[string]*Service  // by name
	limits       Limits
	keysRequired bool // the configuration has customers, so requests need keys
}

// New returns a Table with the content of one version. The caller must not change the values later.
func New(version uint64, routes []*Route, services []*Service, customers []*Customer, limits Limits) *Table {
	t := &Table{
		version: version, limits: limits, keysRequired: len(customers) > 0,
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

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.version }

// Limits returns the limits of this version.
func (t *Table) Limits() Limits { return t.limits }

// KeysRequired reports whether requests on routes that are not public need a key.
func (t *Table) KeysRequired() bool { return t.keysRequired }

// DefaultTimeout is the timeout of a route that sets none.
const DefaultTimeout = time.Minute

// LongestStream returns the longest timeout of the routes whose responses are streams, or 0 if there are none.
func (t *Table) LongestStream() time.Duration {
	longest := time.Duration(0)
	for _, routes := range t.routes {
		for _, r := range routes {
			if r.Kind == Stream {
				longest = max(longest, cmp.Or(r.Timeout, DefaultTimeout))
			}
		}
	}
	return longest
}

// KeepsVersion reports whether a service has streams that may be resumed, which keep to the software version that began them.
func (t *Table) KeepsVersion(service string) bool {
	for _, routes := range t.routes {
		for _, r := range routes {
			if r.Resumable && slices.ContainsFunc(r.Targets, func(x Target) bool { return x.Service.Name == service }) {
				return true
			}
		}
	}
	return false
}

// Services returns the services by name; the caller must not change the map.
func (t *Table) Services() map[string]*Service { return t.services }

// Customer returns the customer that holds a key, or nil if there is none.
func (t *Table) Customer(key string) *Customer { return t.customers[key] }

// Lookup returns the route of a host whose prefix is the longest that matches a path, or nil if
// there is none. The path must not include a query. The host may include a port.
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

// Pick returns the service that a draw from [0, 1) selects by the weights of the targets, or nil
// if the route has no target with a positive weight.
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
