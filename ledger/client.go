package ledger

// This file defines Client, the HTTP client of the platform's services, and its errors.

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

	"bulrushtally/responsehead"
)

// ErrorKind is the kind of a failed call to the platform. It states whether the call may
// have had an effect.
type ErrorKind string

// The kinds of errors.
const (
	Unavailable ErrorKind = "unavailable" // the call had no effect
	Ambiguous   ErrorKind = "ambiguous"   // a write may have taken effect
	Throttled   ErrorKind = "throttled"   // over the platform's or this client's rate limit; the call had no effect
	Conflict    ErrorKind = "conflict"    // a checked version did not match; the call had no effect
	NotFound    ErrorKind = "not-found"   // the row or object does not exist; the call had no effect
)

// remedies holds what an operator can do about each kind of error.
var remedies = map[ErrorKind]string{
	Unavailable: "check the platform's address and state; routers go on with what they hold",
	Ambiguous:   "read the row to see whether the write took effect",
	Throttled:   "wait, or raise the budget under [platform] within what the platform allows",
	Conflict:    "read again and repeat on the versions that stand",
	NotFound:    "check the name",
}

// Error is a failed call to the platform.
type Error struct {
	Kind ErrorKind
	Call string // method and path
	Err  error
}

// Error returns the call, the kind of error, the cause and what to do.
func (e *Error) Error() string {
	return fmt.Sprintf("platform %s is %s: %v; %s", e.Call, e.Kind, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is or wraps an *Error of kind k.
func IsKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// Options are the parameters of a Client.
type Options struct {
	Address         string        // of the platform: IP address and port
	Token           string        // bearer token
	Timeout         time.Duration // of a call
	ReadsPerSecond  float64       // rate limit of this client
	WritesPerSecond float64       // rate limit of this client
}

// Parameters of the circuit breaker, the rate limits and responses.
const (
	breakerFailures      = 5               // consecutive failures that open the circuit breaker
	breakerOpenTime      = 2 * time.Second // during which calls fail at once
	breakerHalfOpenCalls = 1               // concurrent calls that probe the platform after breakerOpenTime
	minBurstRequests     = 20              // least burst of calls; the burst is half a second's calls if that is more
	maxResponseBytes     = 64 << 20        // size of the largest response body
)

// Client calls the platform's services. It is safe for concurrent use.
type Client struct {
	options Options
	http    *fasthttp.HostClient
	reads   *rate.Limiter
	writes  *rate.Limiter
	breaker *gobreaker.CircuitBreaker[response]
}

// response is the platform's response to a call.
type response struct {
	status int
	body   []byte
}

// NewClient returns a Client for the platform at o.Address. It does not connect yet.
func NewClient(o Options) *Client {
	return &Client{
		options: o,
		http: &fasthttp.HostClient{
			Addr:                      o.Address,
			MaxIdemponentCallAttempts: 1, // a retry within fasthttp could repeat a write
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			MaxIdleConnDuration:       5 * time.Second,
			MaxResponseBodySize:       maxResponseBytes,
			Dial:                      func(a string) (net.Conn, error) { return responsehead.Wrap(fasthttp.DialTimeout(a, o.Timeout)) },
		},
		reads:  newLimiter(o.ReadsPerSecond),
		writes: newLimiter(o.WritesPerSecond),
		breaker: gobreaker.NewCircuitBreaker[response](gobreaker.Settings{
			MaxRequests: breakerHalfOpenCalls,
			Timeout:     breakerOpenTime,
			ReadyToTrip: func(c gobreaker.Counts) bool { return c.ConsecutiveFailures >= breakerFailures },
			IsSuccessful: func(err error) bool {
				return err == nil || IsKind(err, Throttled) || IsKind(err, Conflict) || IsKind(err, NotFound)
			},
		}),
	}
}

// newLimiter returns a rate limiter whose burst is half a second's calls, but at least
// minBurstRequests.
func newLimiter(perSecond float64) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(minBurstRequests, int(perSecond/2)))
}

// read gets a path of the platform and decodes the response into out. A lost or malformed response is of
// kind Unavailable, since a read has no effect.
func (c *Client) read(path string, query url.Values, out any) error {
	if !c.reads.Allow() {
		return &Error{Throttled, "GET " + path, errors.New("read budget spent")}
	}
	resp, err := c.call("GET", path+"?"+query.Encode(), nil)
	if err == nil {
		err = decodeResponse("GET "+path, resp.body, out)
	}
	if IsKind(err, Ambiguous) {
		return &Error{Unavailable, "GET " + path, err}
	}
	return err
}

// write calls the platform with a body, sent as it is if it is a []byte and as JSON
// otherwise, and decodes the response into out.
func (c *Client) write(method, path string, body any, out any) error {
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
	resp, err := c.call(method, path, data)
	if err != nil {
		return err
	}
	return decodeResponse(method+" "+path, resp.body, out)
}

// decodeResponse stores a response body in out: not at all if out is nil, as it is if out is
// a *[]byte, and decoded from JSON otherwise. If the JSON is malformed, it returns an *Error
// of kind Ambiguous.
func decodeResponse(call string, body []byte, out any) error {
	switch x := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*x = body
		return nil
	}
	if err := json.Unmarshal(body, out); err != nil {
		return &Error{Ambiguous, call, err}
	}
	return nil
}

// call makes a call through the circuit breaker. While that is open, calls fail with an
// *Error of kind Unavailable.
func (c *Client) call(method, path string, body []byte) (response, error) {
	resp, err := c.breaker.Execute(func() (response, error) { return c.roundTrip(method, path, body) })
	if errors.Is(err, gobreaker.ErrOpenState) || errors.Is(err, gobreaker.ErrTooManyRequests) {
		return resp, &Error{Unavailable, method + " " + path, err}
	}
	return resp, err
}

// roundTrip sends a request to the platform and reads the response. Failures are of type
// *Error.
func (c *Client) roundTrip(method, path string, body []byte) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.options.Address + path)
	req.Header.Set("Authorization", "Bearer "+c.options.Token)
	req.SetBodyRaw(body)
	call := method + " " + path
	if err := c.http.DoTimeout(req, resp, c.options.Timeout); err != nil {
		return response{}, &Error{transportErrorKind(err), call, err}
	}
	return classifyResponse(call, resp)
}

// transportErrorKind returns Unavailable if no connection was made, so that nothing was sent,
// and Ambiguous for any other error of a request without a response.
func transportErrorKind(err error) ErrorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) {
		return Unavailable
	}
	return Ambiguous
}

// classifyResponse copies a response, and returns an *Error if its status is 300 or more. A
// status that does not rule out that the call had an effect gives kind Ambiguous.
func classifyResponse(call string, resp *fasthttp.Response) (response, error) {
	r := response{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
	cause := errors.New("status " + strconv.Itoa(r.status))
	switch {
	case r.status < 300:
		return r, nil
	case r.status == 404:
		return r, &Error{NotFound, call, cause}
	case r.status == 409:
		return r, &Error{Conflict, call, cause}
	case r.status == 429:
		return r, &Error{Throttled, call, cause}
	case r.status == 503:
		return r, &Error{Unavailable, call, cause}
	}
	return r, &Error{Ambiguous, call, cause}
}
