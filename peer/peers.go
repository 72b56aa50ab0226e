package peer

// This file defines Peers, which opens, accepts and keeps a router's links to other
// routers.

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
	"bulrushtally/responsehead"
)

// Options are the parameters of Peers.
type Options struct {
	Listen          string              // address to listen on: IP address and port
	Secret          string              // shared by all routers
	MaxMessageBytes int64               // largest message accepted, in bytes
	SetupTimeout    time.Duration       // for connecting, for reading the HTTP request, and for each message of the handshake
	ServerTLS       *tls.Config         // for accepted links, nil for plain TCP
	ClientTLS       *tls.Config         // for dialed links, nil for plain TCP
	Self            func() fleet.Member // returns this router's current member record
	Logger          zerolog.Logger
}

// linkCheckInterval is the time between two checks of all links for timeouts.
const linkCheckInterval = 500 * time.Millisecond

// Peers holds a router's links. For each other router, it gives out at most one link at a
// time, the current link. It is safe for concurrent use.
type Peers struct {
	options  Options
	handler  Handler
	listener net.Listener
	server   *fasthttp.Server
	traffic  Traffic
	done     chan struct{}

	mu      sync.Mutex
	links   map[string]*Link        // current links, by VM name
	dialing map[string]*dialAttempt // by address
	open    map[*Link]struct{}      // all links that have not ended
	closed  bool
}

// dialAttempt is an attempt to open a link, which several calls of Connect may wait for.
// Its link and err are set before done is closed.
type dialAttempt struct {
	done chan struct{}
	link *Link
	err  error
}

// New returns a Peers that listens on o.Listen, or an error if it cannot. Links are
// accepted once Run is called.
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
		links: map[string]*Link{}, dialing: map[string]*dialAttempt{}, open: map[*Link]struct{}{},
	}
	p.server = &fasthttp.Server{
		Handler: p.accept, ReadTimeout: o.SetupTimeout, Logger: debugPrinter{o.Logger},
		KeepHijackedConns: true, // otherwise closing a link does not end the goroutine that reads it
	}
	return p, nil
}

// debugPrinter logs fasthttp's messages at debug level.
type debugPrinter struct{ zerolog.Logger }

func (p debugPrinter) Printf(format string, args ...any) { p.Debug().Msgf(format, args...) }

// Address returns the address that Peers listens on.
func (p *Peers) Address() string { return p.listener.Addr().String() }

// Traffic returns the traffic counters of all links.
func (p *Peers) Traffic() *Traffic { return &p.traffic }

// Done returns a channel that is closed when Run has returned.
func (p *Peers) Done() <-chan struct{} { return p.done }

// Run accepts links until ctx ends. It then sends a leave notice over each link, closes all
// links, and returns nil.
func (p *Peers) Run(ctx context.Context) error {
	go p.server.Serve(p.listener)
	t := time.NewTicker(linkCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			p.closeAll()
			close(p.done)
			return nil
		case now := <-t.C:
			for _, l := range p.allLinks() {
				l.checkTimeouts(now)
			}
		}
	}
}

// closeAll stops listening, sends a leave notice over each link, and waits until all links
// have ended.
func (p *Peers) closeAll() {
	p.listener.Close()
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	for _, l := range p.allLinks() {
		l.SendControl(KindLeave, nil)
		l.Close()
		<-l.done
	}
}

// allLinks returns all links that have not ended.
func (p *Peers) allLinks() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Link, 0, len(p.open))
	for l := range p.open {
		list = append(list, l)
	}
	return list
}

// Links returns the current links.
func (p *Peers) Links() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]*Link, 0, len(p.links))
	for _, l := range p.links {
		list = append(list, l)
	}
	return list
}

// Link returns the current link to a router, or nil if there is none.
func (p *Peers) Link(vm string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.links[vm]
}

// Connect returns the current link to the router with the given VM name, or dials address
// if there is none or vm is empty. Concurrent calls for an address share one attempt. The
// error is a *ConnectError.
func (p *Peers) Connect(vm, address string) (*Link, error) {
	p.mu.Lock()
	if l := p.links[vm]; l != nil && vm != "" {
		p.mu.Unlock()
		return l, nil
	}
	d := p.dialing[address]
	newAttempt := d == nil
	if newAttempt {
		d = &dialAttempt{done: make(chan struct{})}
		p.dialing[address] = d
	}
	p.mu.Unlock()
	if newAttempt {
		d.link, d.err = p.dial(address)
		p.mu.Lock()
		delete(p.dialing, address)
		p.mu.Unlock()
		close(d.done)
	}
	<-d.done
	return d.link, d.err
}

// dial opens a link to a router and starts to read it.
func (p *Peers) dial(address string) (*Link, error) {
	scheme := "ws://"
	if p.options.ClientTLS != nil {
		scheme = "wss://"
	}
	dialer := websocket.Dialer{HandshakeTimeout: p.options.SetupTimeout, NetDialContext: p.dialPlain, NetDialTLSContext: p.dialTLS}
	c, _, err := dialer.Dial(scheme+address+"/peer", nil)
	if err != nil {
		return nil, &ConnectError{address, err}
	}
	c.SetReadLimit(p.options.MaxMessageBytes)
	peer, err := handshakeAsDialer(c, p.options)
	if err != nil {
		c.Close()
		return nil, &ConnectError{address, err}
	}
	l := newLink(c, peer, true, p.handler, &p.traffic, p.options.Logger)
	if !p.register(l) {
		c.Close()
		return nil, &ConnectError{address, ErrLinkEnded}
	}
	go p.serveLink(l)
	return l, nil
}

// netDialer returns a dialer from the IP address that this router listens on, by which
// the other routers know it.
func (p *Peers) netDialer() *net.Dialer {
	dialer := &net.Dialer{Timeout: p.options.SetupTimeout}
	if listenAddr, ok := p.listener.Addr().(*net.TCPAddr); ok && !listenAddr.IP.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: listenAddr.IP}
	}
	return dialer
}

// dialPlain connects to a router without TLS. A broken response to the upgrade is an error on the connection.
func (p *Peers) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	return responsehead.Wrap(p.netDialer().DialContext(ctx, network, address))
}

// dialTLS connects to a router over TLS as dialPlain does.
func (p *Peers) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := tls.Dialer{NetDialer: p.netDialer(), Config: p.options.ClientTLS}
	return responsehead.Wrap(dialer.DialContext(ctx, network, address))
}

// accept upgrades an HTTP request of another router to a WebSocket connection, runs the
// handshake and reads the link until it ends.
func (p *Peers) accept(c *fasthttp.RequestCtx) {
	if string(c.Path()) != "/peer" {
		c.Error("routers link at /peer", 404)
		return
	}
	var upgrader websocket.FastHTTPUpgrader
	upgrader.HandshakeTimeout = p.options.SetupTimeout
	err := upgrader.Upgrade(c, func(conn *websocket.Conn) {
		conn.SetReadLimit(p.options.MaxMessageBytes)
		peer, err := handshakeAsAcceptor(conn, p.options)
		if err != nil {
			p.options.Logger.Warn().Err(err).Str("address", conn.RemoteAddr().String()).Msg("link-rejected")
			conn.Close()
			return
		}
		l := newLink(conn, peer, false, p.handler, &p.traffic, p.options.Logger)
		if !p.register(l) {
			conn.Close()
			return
		}
		p.serveLink(l)
	})
	if err != nil {
		p.options.Logger.Warn().Err(err).Msg("link-rejected")
	}
}

// register adds a new link and reports whether it did; it does not after the links were
// closed. The link becomes the current link if there is none, if it was dialed by the router
// with the lower VM name, or if the other router has restarted. So two routers that dial
// each other at the same time choose the same link, and the other one is closed when idle.
func (p *Peers) register(l *Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.open[l] = struct{}{}
	current := p.links[l.peer.VM]
	self := p.options.Self().VM
	dialedByLower := l.dialed == (self < l.peer.VM)
	if current == nil || dialedByLower || l.peer.Incarnation > current.peer.Incarnation {
		p.links[l.peer.VM] = l
	}
	return true
}

// serveLink reads a link until it ends, then removes it. If it was the current link, another
// open link to the same router takes its place.
func (p *Peers) serveLink(l *Link) {
	l.markReceived()
	p.handler.LinkUp(l)
	l.readMessages()
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
