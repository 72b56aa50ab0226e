package peer

// This file defines Peers, a router's links to other routers.

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"bulrushtally/fleet"
)

// Options describe a router's side of its links.
type Options struct {
	Listen     string // IP number and port
	Secret     string // shared by all routers
	MaxMessage int64  // largest message, in bytes
	Timeout    time.Duration
	ServerTLS  *tls.Config // nil for plain TCP
	ClientTLS  *tls.Config
	Self       func() fleet.Member
	Logger     zerolog.Logger
}

// checkInterval is the time between two looks at all links.
const checkInterval = 500 * time.Millisecond

// Peers holds at most one link in use for each other router; it may be used
// from many goroutines.
type Peers struct {
	options  Options
	handler  Handler
	listener net.Listener
	http     *fasthttp.Server
	traffic  Traffic
	done     chan struct{}

	mu      sync.Mutex
	links   map[string]*Link
	dialing map[string]*dial // by address
	open    map[*Link]struct{}
	closed  bool
}

// dial is an attempt to open a link that several callers may wait for.
type dial struct {
	done chan struct{}
	link *Link
	err  error
}

// New listens for other routers.
func New(o Options, h Handler) (*Peers, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	if o.ServerTLS != nil {
		ln = tls.NewListener(ln, o.ServerTLS)
	}
	p := &Peers{
		options: o, handler: h, listener: ln, done: make(chan struct{}),
		links: map[string]*Link{}, dialing: map[string]*dial{}, open: map[*Link]struct{}{},
	}
	p.http = &fasthttp.Server{
		Handler: p.accept, ReadTimeout: o.Timeout, Logger: printer{o.Logger},
		KeepHijackedConns: true, // otherwise closing a link does not end its reader
	}
	return p, nil
}

type printer struct{ zerolog.Logger }

func (p printer) Printf(format string, args ...any) { p.Debug().Msgf(format, args...) }

// Address returns the address that other routers can dial.
func (p *Peers) Address() string { return p.listener.Addr().String() }

// Traffic returns the counts of bytes over all links.
func (p *Peers) Traffic() *Traffic { return &p.traffic }

// Done returns a channel that is closed when Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }

// Run accepts links until the context ends, then closes all of them.
func (p *Peers) Run(ctx context.Context) error {
	go p.http.Serve(p.listener)
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.shut()
			close(p.done)
			return nil
		case now := <-t.C:
			for _, l := range p.all() {
				l.check(now)
			}
		}
	}
}

func (p *Peers) shut() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, l := range p.all() {
		l.Send(KindGoodbye, nil)
		l.Close()
		<-l.done
	}
}

func (p *Peers) all() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Link, 0, len(p.open))
	for l := range p.open {
		list = append(list, l)
	}
	return list
}

// Links returns the link in use to each router.
func (p *Peers) Links() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Link, 0, len(p.links))
	for _, l := range p.links {
		list = append(list, l)
	}
	return list
}

// Link returns the link in use to a router, or nil.
func (p *Peers) Link(vm string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[vm]
}

// Connect returns a link to the router at an address, dialing it if there is none.
func (p *Peers) Connect(vm, address string) (*Link, error) {
	p.mu.Lock()
	if l := p.links[vm]; l != nil && vm != "" {
		p.mu.Unlock()
		return l, nil
	}
	d := p.dialing[address]
	first := d == nil
	if first {
		d = &dial{done: make(chan struct{})}
		p.dialing[address] = d
	}
	p.mu.Unlock()
	if first {
		d.link, d.err = p.dial(address)
		p.mu.Lock()
		delete(p.dialing, address)
		p.mu.Unlock()
		close(d.done)
	}
	<-d.done
	return d.link, d.err
}

func (p *Peers) dial(address string) (*Link, error) {
	scheme := "ws://"
	if p.options.ClientTLS != nil {
		scheme = "wss://"
	}
	w := websocket.Dialer{HandshakeTimeout: p.options.Timeout, TLSClientConfig: p.options.ClientTLS, NetDialContext: p.fromOwnAddress}
	c, _, err := w.Dial(scheme+address+"/peer", nil)
	if err != nil {
		return nil, &ConnectError{address, err}
	}
	c.SetReadLimit(p.options.MaxMessage)
	peer, err := greet(c, p.options)
	if err != nil {
		c.Close()
		return nil, &ConnectError{address, err}
	}
	l := newLink(c, peer, true, p.handler, &p.traffic, p.options.Logger)
	if !p.add(l) {
		c.Close()
		return nil, &ConnectError{address, ErrLinkEnded}
	}
	go p.run(l)
	return l, nil
}

// fromOwnAddress dials from the IP number that this router listens on, which is
// the one that the others know.
func (p *Peers) fromOwnAddress(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: p.options.Timeout}
	if own, ok := p.listener.Addr().(*net.TCPAddr); ok && !own.IP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return d.DialContext(ctx, network, address)
}

func (p *Peers) accept(c *fasthttp.RequestCtx) {
	if string(c.Path()) != "/peer" {
		c.Error("routers link at /peer", 404)
		return
	}
	var up websocket.FastHTTPUpgrader
	up.HandshakeTimeout = p.options.Timeout
	err := up.Upgrade(c, func(w *websocket.Conn) {
		w.SetReadLimit(p.options.MaxMessage)
		peer, err := welcome(w, p.options)
		if err != nil {
			p.options.Logger.Warn().Err(err).Str("address", w.RemoteAddr().String()).Msg("link-refused")
			w.Close()
			return
		}
		l := newLink(w, peer, false, p.handler, &p.traffic, p.options.Logger)
		if !p.add(l) {
			w.Close()
			return
		}
		p.run(l)
	})
	if err != nil {
		p.options.Logger.Warn().Err(err).Msg("link-refused")
	}
}

// add puts a new link in use. Of two links that routers dialed to each other at
// the same time, both use the one dialed by the lower name; the other ends once idle.
func (p *Peers) add(l *Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[l] = struct{}{}
	old := p.links[l.peer.VM]
	self := p.options.Self().VM
	lower := l.dialed == (self < l.peer.VM)
	if old == nil || lower || l.peer.Incarnation > old.peer.Incarnation {
		p.links[l.peer.VM] = l
	}
	return true
}

func (p *Peers) run(l *Link) {
	l.heard()
	p.handler.Up(l)
	l.run()
	p.mu.Lock()
	delete(p.open, l)
	if p.links[l.peer.VM] == l {
		delete(p.links, l.peer.VM)
		for other := range p.open {
			if other.peer.VM == l.peer.VM {
				p.links[l.peer.VM] = other
			}
		}
	}
	p.mu.Unlock()
}
