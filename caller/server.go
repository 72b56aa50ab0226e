package caller

// This file defines Server, the HTTP listener for callers, and its routes.

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"bulrushtally/config"
	"bulrushtally/ledger"
	"bulrushtally/request"
)

// Headers that callers send and get.
const (
	HeaderRequest    = "Bulrushtally-Request"    // the request's number
	HeaderOutcome    = "Bulrushtally-Outcome"    // ran, not-run or unknown
	HeaderRepeatable = "Bulrushtally-Repeatable" // true or false, sent by the caller
	HeaderKey        = "Idempotency-Key"
)

// Claims claims idempotency keys in the platform's table.
type Claims interface {
	Claim(customer, key, token string, digest uint64, now time.Time) (mine, earlier *ledger.Claim, err error)
	Finish(c *ledger.Claim, status int, headers []request.Header, body []byte) error
	Release(c *ledger.Claim) error
}

// ServerOptions are a Server's parameters.
type ServerOptions struct {
	Listen     string        // IP number and port
	MaxBody    int           // bytes
	MaxHeaders int           // bytes
	Timeout    time.Duration // for a caller to send its request
	TLS        *tls.Config
	VM         string
	Zone       string
	Ready      func() error     // nil when requests are taken
	Metrics    fiber.Handler    // serves /metrics, may be nil
	Extra      func(*fiber.App) // adds routes, may be nil
	Logger     zerolog.Logger
}

// Server takes callers' HTTP requests.
type Server struct {
	options  ServerOptions
	app      *fiber.App
	listener net.Listener
	entry    *Entry
	store    *config.Store
	claims   Claims
	done     chan struct{}
}

// NewServer listens for callers.
func NewServer(o ServerOptions, e *Entry, s *config.Store, c Claims) (*Server, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	if o.TLS != nil {
		ln = tls.NewListener(ln, o.TLS)
	}
	v := &Server{options: o, listener: ln, entry: e, store: s, claims: c, done: make(chan struct{})}
	v.app = fiber.New(fiber.Config{
		BodyLimit:             o.MaxBody,
		ReadBufferSize:        o.MaxHeaders,
		ReadTimeout:           o.Timeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		Immutable:             true, // strings of a request outlive its handler, fasthttp's buffers do not
		ErrorHandler:          v.httpError,
	})
	v.routes()
	return v, nil
}

// idleTimeout is how long a caller's unused connection is kept.
const idleTimeout = 60 * time.Second

func (v *Server) routes() {
	v.app.Get("/livez", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	v.app.Get("/readyz", v.readyz)
	if v.options.Metrics != nil {
		v.app.Get("/metrics", v.options.Metrics)
	}
	v.app.Post("/v1/chat/completions", v.complete)
	v.app.All("/services/:name", v.plain)
	v.app.All("/services/:name/*", v.plain)
	if v.options.Extra != nil {
		v.options.Extra(v.app)
	}
}

// Address returns the address that callers reach.
func (v *Server) Address() string { return v.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned.
func (v *Server) Done() <-chan struct{} { return v.done }

// Run serves callers until the context ends and all answers are written.
func (v *Server) Run(ctx context.Context) error {
	shut := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shut)
		v.listener.Close() // a shutdown alone misses a server that has not begun to accept
		v.app.ShutdownWithTimeout(shutdownTimeout)
	})
	if err := v.app.Listener(v.listener); err != nil && ctx.Err() == nil {
		stop()
		return err
	}
	<-shut
	close(v.done)
	return nil
}

// shutdownTimeout bounds how long the end of open connections is waited for.
const shutdownTimeout = 5 * time.Second

func (v *Server) readyz(c *fiber.Ctx) error {
	if err := v.options.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready at revision " + strconv.FormatUint(v.store.View().Revision(), 10) + "\n")
}

// httpError answers what fiber itself refuses.
func (v *Server) httpError(c *fiber.Ctx, err error) error {
	f := request.Fail(request.CodeBadRequest, "%v", err)
	status := f.Status()
	if fe, ok := err.(*fiber.Error); ok {
		status = fe.Code
		if fe.Code == fiber.StatusRequestEntityTooLarge {
			f.Code = request.CodeTooLarge
		}
	}
	return writeFailure(c, "", request.NotRun, f, status)
}

// identify returns the customer that a caller's key belongs to.
func (v *Server) identify(c *fiber.Ctx, view *config.View) (string, *request.Failure) {
	if err := v.options.Ready(); err != nil {
		f := request.Fail(request.CodeNotReady, "%v", err)
		f.RetryAfter = time.Second
		return "", f
	}
	key, ok := bearer(c)
	if !ok {
		return "", request.Fail(request.CodeNoKey, "no bearer key")
	}
	o := view.ByKey(config.KindCaller, key)
	if o == nil {
		return "", request.Fail(request.CodeNoKey, "no caller has this key")
	}
	return o.Customer, nil
}

func bearer(c *fiber.Ctx) (string, bool) {
	const scheme = "Bearer "
	h := c.Get(fiber.HeaderAuthorization)
	if len(h) <= len(scheme) || h[:len(scheme)] != scheme {
		return "", false
	}
	return h[len(scheme):], true
}

func (v *Server) newNumber() string { return uuid.NewString() }
