package ledger

// This file defines Client, the HTTP client of all platform services.

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/sony/gobreaker/v2"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// Kind says what a failed call to the platform means.
type Kind string

// The kinds of errors.
const (
	Unavailable Kind = "unavailable" // the call had no effect
	Ambiguous   Kind = "ambiguous"   // a write may have taken effect
	Throttled   Kind = "throttled"   // over the platform's rate or this router's budget, no effect
	Conflict    Kind = "conflict"    // a checked version did not match, no effect
	NotFound    Kind = "not-found"
)

var remedies = map[Kind]string{
	Unavailable: "check the platform's address and state; routers go on with what they hold",
	Ambiguous:   "read the row to see whether the write took effect",
	Throttled:   "wait, or raise the budget under [platform] within what the platform allows",
	Conflict:    "read again and repeat on the versions that stand",
	NotFound:    "check the name",
}

// Error is a failed call to the platform.
type Error struct {
	Kind Kind
	Call string
	Err  error
}

// Error describes the failure and its remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s is %s: %v; %s", e.Call, e.Kind, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether an error is a platform error of a kind.
func IsKind(err error, k Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Options describe the platform to a Client.
type Options struct {
	Address         string // IP number and port
	Token           string
	Timeout         time.Duration
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Breaker's settings.
const (
	breakerFailures = 5 // in a row, after which calls are refused at once
	breakerPause    = 2 * time.Second
	breakerTrials   = 1
	budgetBurst     = 20 // calls at once, or those of half a second if that is more
	maxAnswerBytes  = 64 << 20
)

// Client calls the platform; it may be used from many goroutines.
type Client struct {
	options Options
	http    *fasthttp.HostClient
	reads   *rate.Limiter
	writes  *rate.Limiter
	breaker *gobreaker.CircuitBreaker[answer]
}

type answer struct {
	status int
	body   []byte
}

// NewClient returns a Client.
func NewClient(o Options) *Client {
	return &Client{
		options: o,
		http: &fasthttp.HostClient{
			Addr:                      o.Address,
			MaxIdemponentCallAttempts: 1, // a hidden second attempt could write twice
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       5 * time.Second,
			MaxResponseBodySize:       maxAnswerBytes,
			Dial:                      func(a string) (net.Conn, error) { return fasthttp.DialTimeout(a, o.Timeout) },
		},
		reads:  limiter(o.ReadsPerSecond),
		writes: limiter(o.WritesPerSecond),
		breaker: gobreaker.NewCircuitBreaker[answer](gobreaker.Settings{
			MaxRequests: breakerTrials,
			Timeout:     breakerPause,
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				return err == nil || IsKind(err, Throttled) || IsKind(err, Conflict) || IsKind(err, NotFound)
			},
		}),
	}
}

func limiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(budgetBurst, int(perSecond/2)))
}

// read calls the platform without changing anything.
func (c *Client) read(path string, query url.Values, into any) error {
	if !c.reads.Allow() {
		return &Error{Throttled, "GET " + path, errors.New("read budget spent")}
	}
	a, err := c.call("GET", path+"?"+query.Encode(), nil)
	if err != nil {
		if IsKind(err, Ambiguous) {
			return &Error{Unavailable, "GET " + path, err}
		}
		return err
	}
	return decode("GET "+path, a.body, into)
}

// write calls the platform to change something.
func (c *Client) write(method, path string, body any, into any) error {
	if !c.writes.Allow() {
		return &Error{Throttled, method + " " + path, errors.New("write budget spent")}
	}
	data, ok := body.([]byte)
	if !ok {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	a, err := c.call(method, path, data)
	if err != nil {
		return err
	}
	return decode(method+" "+path, a.body, into)
}

func decode(call string, body []byte, into any) error {
	switch x := into.(type) {
	case nil:
		return nil
	case *[]byte:
		*x = body
		return nil
	}
	if err := json.Unmarshal(body, into); err != nil {
		return &Error{Ambiguous, call, err}
	}
	return nil
}

func (c *Client) call(method, path string, body []byte) (answer, error) {
	a, err := c.breaker.Execute(func() (answer, error) { return c.exchange(method, path, body) })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return a, &Error{Unavailable, method + " " + path, err}
	}
	return a, err
}

func (c *Client) exchange(method, path string, body []byte) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.options.Address + path)
	req.Header.Set("Authorization", "Bearer "+c.options.Token)
	req.SetBodyRaw(body)
	call := method + " " + path
	if err := c.http.DoTimeout(req, resp, c.options.Timeout); err != nil {
		return answer{}, &Error{transportKind(err), call, err}
	}
	return readAnswer(call, resp)
}

func transportKind(err error) Kind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) {
		return Unavailable
	}
	return Ambiguous
}

func readAnswer(call string, resp *fasthttp.Response) (answer, error) {
	a := answer{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	cause := errors.New("status " + strconv.Itoa(a.status))
	switch {
	case a.status < 300:
		return a, nil
	case a.status == 404:
		return a, &Error{NotFound, call, cause}
	case a.status == 409:
		return a, &Error{Conflict, call, cause}
	case a.status == 429:
		return a, &Error{Throttled, call, cause}
	case a.status == 503:
		return a, &Error{Unavailable, call, cause}
	}
	return a, &Error{Ambiguous, call, cause}
}
