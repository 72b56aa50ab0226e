package caller

// This file defines requests with an idempotency key: the key is claimed in the
// platform's table before anything is sent, and the answer is kept there.

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"bulrushtally/ledger"
	"bulrushtally/request"
)

// maxKey bounds an idempotency key, in bytes.
const maxKey = 255

// HeaderReplayed is set on an answer that is repeated from an earlier run.
const HeaderReplayed = "Idempotency-Replayed"

func (v *Server) serveKeyed(c *fiber.Ctx, r *request.Request, key string) error {
	if len(key) > maxKey {
		return writeFailure(c, r.Number, request.NotRun, request.Fail(request.CodeBadRequest, "%s is over %d bytes", HeaderKey, maxKey), 0)
	}
	mine, earlier, err := v.claims.Claim(r.Customer, key, r.Number, r.Digest(), time.Now())
	if err != nil {
		f := request.Fail(request.CodeKeyStore, "%v", err)
		f.RetryAfter = time.Second
		return writeFailure(c, r.Number, request.NotRun, f, 0)
	}
	if earlier != nil {
		return v.repeat(c, r, earlier)
	}
	conn := c.Context().Conn()
	x := v.start(conn, r)
	defer x.cancel()
	a := collect(x, x.first(conn))
	v.settle(mine, a)
	v.log(r, a.end)
	return a.write(c, r.Number)
}

// repeat answers a request whose key an earlier one has claimed.
func (v *Server) repeat(c *fiber.Ctx, r *request.Request, earlier *ledger.Claim) error {
	switch {
	case earlier.Digest != r.Digest():
		return writeFailure(c, r.Number, request.NotRun, request.Fail(request.CodeKeyReused, "the key belongs to request %s", earlier.Token), 0)
	case !earlier.Done:
		return writeFailure(c, r.Number, request.Unknown, request.Fail(request.CodeKeyInUse, "the key is claimed by request %s", earlier.Token), 0)
	}
	a := collected{status: earlier.Status, headers: earlier.Headers, body: earlier.Body}
	a.end = request.Event{Kind: request.EventEnd, Outcome: request.Ran}
	c.Set(HeaderReplayed, "true")
	if earlier.Cut {
		return writeFailure(c, r.Number, request.Ran, request.Fail(request.CodeKeyInUse, "request %s ran; its answer was too large to keep", earlier.Token), 0)
	}
	return a.write(c, r.Number)
}

// settle records what became of a claimed request. One whose end is unknown
// keeps its claim, so that nobody runs it again.
func (v *Server) settle(mine *ledger.Claim, a collected) {
	var err error
	switch {
	case a.end.Failure == nil:
		err = v.claims.Finish(mine, a.status, a.headers, a.body)
	case a.end.Outcome == request.NotRun:
		err = v.claims.Release(mine)
	}
	if err != nil {
		v.options.Logger.Warn().Err(err).Str("request", mine.Token).Msg("claim-not-settled")
	}
}
