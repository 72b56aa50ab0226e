package caller

// This file defines Server, the HTTP server for callers, with its routes and the
// authentication of callers.

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

// Headers of callers' requests and of the responses to them.
const (
	HeaderRequestID      = "Bulrushtally-Request"    // response: the request ID
	HeaderOutcome        = "Bulrushtally-Outcome"    // response: a request.Outcome
	HeaderRepeatable     = "Bulrushtally-Repeatable" // request: "true" if running it more than once is safe, "false" if not
	HeaderIdempotencyKey = "Idempotency-Key"         // request: key with which a request that is not repeatable runs at most once
)

// Claims claims idempotency keys in the platform's table.
//
// Claim returns the new claim, or the earlier one if the key is already claimed; after an
// error the request must not run. Finish stores the response of a request that ran.
// Release deletes the claim of a request that did not run.
type Claims interface {
	Claim(customer, key, requestID string, digest uint64, now time.Time) (claim, earlier *ledger.Claim, err error)
	Finish(c *ledger.Claim, status int, headers []request.Header, body []byte) error
	Release(c *ledger.Claim) error
}

// ServerOptions are a Server's parameters.
type ServerOptions struct {
	Listen             string        // IP address and port
	MaxBodyBytes       int           // maximum size of a request body, in bytes
	MaxHeaderBytes     int           // maximum size of a request's headers, in bytes
	RequestReadTimeout time.Duration // maximum time in which a caller must send its request
	TLS                *tls.Config   // nil for plain HTTP
	VM                 string
	Zone               string
	Ready              func() error     // returns nil if the router can serve requests, else the reason
	MetricsHandler     fiber.Handler    // handler of /metrics, may be nil
	AddRoutes          func(*fiber.App) // adds further routes, may be nil
	Logger             zerolog.Logger
}

// Server is the HTTP server for callers.
type Server struct {
	options  ServerOptions
	app      *fiber.App
	listener net.Listener
	entry    *EntryRouter
	store    *config.Store
	claims   Claims
	done     chan struct{}
}

// NewServer returns a Server that listens but accepts no connections until Run. It fails if
// it cannot listen on o.Listen.
func NewServer(o ServerOptions, e *EntryRouter, s *config.Store, c Claims) (*Server, error) {
	ln, err := net.Listen("tcp", o.Listen)
	if err != nil {
		return nil, err
	}
	if o.TLS != nil {
		ln = tls.NewListener(ln, o.TLS)
	}
	server := &Server{options: o, listener: ln, entry: e, store: s, claims: c, done: make(chan struct{})}
	server.app = fiber.New(fiber.Config{
		BodyLimit:             o.MaxBodyBytes,
		ReadBufferSize:        o.MaxHeaderBytes,
		ReadTimeout:           o.RequestReadTimeout,
		IdleTimeout:           idleTimeout,
		DisableStartupMessage: true,
		Immutable:             true, // strings of a request are used after its handler returns, when fasthttp reuses its buffers
		ErrorHandler:          server.handleError,
	})
	server.registerRoutes()
	return server, nil
}

// idleTimeout is the time after which an idle connection of a caller is closed.
const idleTimeout = 60 * time.Second

// registerRoutes adds the routes of callers, health checks and metrics, and those of
// ServerOptions.AddRoutes.
func (s *Server) registerRoutes() {
	s.app.Get("/livez", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	if s.options.MetricsHandler != nil {
		s.app.Get("/metrics", s.options.MetricsHandler)
	}
	s.app.Post("/v1/chat/completions", s.handleChatCompletion)
	s.app.All("/services/:name", s.handlePlainService)
	s.app.All("/services/:name/*", s.handlePlainService)
	if s.options.AddRoutes != nil {
		s.options.AddRoutes(s.app)
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Done returns a channel that is closed when Run has returned nil.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run serves callers until ctx is done. It then waits up to shutdownTimeout for open
// connections and returns nil. It returns an error if the listener fails before.
func (s *Server) Run(ctx context.Context) error {
	shutdownDone := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(shutdownDone)
		s.listener.Close() // ShutdownWithTimeout has no effect on a server that has not begun to accept connections
		s.app.ShutdownWithTimeout(shutdownTimeout)
	})
	if err := s.app.Listener(s.listener); err != nil && ctx.Err() == nil {
		stop()
		return err
	}
	<-shutdownDone
	close(s.done)
	return nil
}

// shutdownTimeout is the maximum time that Run waits for open connections to end.
const shutdownTimeout = 5 * time.Second

// handleReady handles /readyz. It responds with status 503 and the reason if the router
// cannot serve requests, else with the configuration's revision.
func (s *Server) handleReady(c *fiber.Ctx) error {
	if err := s.options.Ready(); err != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(err.Error() + "\n")
	}
	return c.SendString("ready at revision " + strconv.FormatUint(s.store.View().Revision(), 10) + "\n")
}

// handleError responds to requests that fiber rejects before a handler runs, such as
// malformed and too large ones and those without a route.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	f := request.NewFailure(request.CodeBadRequest, "%v", err)
	status := f.HTTPStatus()
	if fe, ok := err.(*fiber.Error); ok {
		status = fe.Code
		if fe.Code == fiber.StatusRequestEntityTooLarge {
			f.Code = request.CodeTooLarge
		}
	}
	return writeFailure(c, "", request.OutcomeNotRun, f, status)
}

// authenticate returns the customer of the caller whose API key the request carries. It
// fails if the key is missing or unknown, or if the router cannot serve requests.
func (s *Server) authenticate(c *fiber.Ctx, view *config.View) (string, *request.Failure) {
	if err := s.options.Ready(); err != nil {
		f := request.NewFailure(request.CodeNotReady, "%v", err)
		f.RetryAfter = time.Second
		return "", f
	}
	key, ok := bearerKey(c)
	if !ok {
		return "", request.NewFailure(request.CodeNoKey, "no bearer key")
	}
	o := view.ByKey(config.KindCaller, key)
	if o == nil {
		return "", request.NewFailure(request.CodeNoKey, "no caller has this key")
	}
	return o.Customer, nil
}

// bearerKey returns the key of a request's Authorization header. The second result is
// false if the header is missing, has another scheme or has no key.
func bearerKey(c *fiber.Ctx) (string, bool) {
	const scheme = "Bearer "
	h := c.Get(fiber.HeaderAuthorization)
	if len(h) <= len(scheme) || h[:len(scheme)] != scheme {
		return "", false
	}
	return h[len(scheme):], true
}

func (s *Server) newRequestID() string { return uuid.NewString() }
