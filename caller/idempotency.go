package caller

// This file defines the handling of requests with an idempotency key. The key is
// claimed in the platform's table before the request is sent, and the response is
// stored there.

import (
	"time"

	"github.com/gofiber/fiber/v2"

	"bulrushtally/ledger"
	"bulrushtally/request"
)

// maxIdempotencyKeyBytes is the maximum length of an idempotency key.
const maxIdempotencyKeyBytes = 255

// HeaderIdempotencyReplayed is the header of a response that is set to "true" if an
// earlier request with the same idempotency key produced the response.
const HeaderIdempotencyReplayed = "Idempotency-Replayed"

// serveWithIdempotencyKey claims the key, forwards the request and writes its response.
// If an earlier request has claimed the key, it writes that request's response. If the
// key cannot be claimed, it writes a failure and does not forward the request.
func (s *Server) serveWithIdempotencyKey(c *fiber.Ctx, r *request.Request, key string) error {
	if len(key) > maxIdempotencyKeyBytes {
		return writeFailure(c, r.ID, request.OutcomeNotRun, request.NewFailure(request.CodeBadRequest, "%s is over %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes), 0)
	}
	claim, earlier, err := s.claims.Claim(r.Customer, key, r.ID, r.Digest(), time.Now())
	if err != nil {
		f := request.NewFailure(request.CodeKeyStoreUnavailable, "%v", err)
		f.RetryAfter = time.Second
		return writeFailure(c, r.ID, request.OutcomeNotRun, f, 0)
	}
	if earlier != nil {
		return s.replay(c, r, earlier)
	}
	conn := c.Context().Conn()
	x := s.startExchange(conn, r)
	defer x.cancel()
	response := collectResponse(x, x.firstEvent(conn))
	s.updateClaim(claim, response)
	s.logRequestEnd(r, response.end)
	return response.write(c, r.ID)
}

// replay writes the stored response of the earlier request that claimed the same key. It
// writes a failure if that request was a different one, if it has no recorded result, or
// if its response was too large to store.
func (s *Server) replay(c *fiber.Ctx, r *request.Request, earlier *ledger.Claim) error {
	switch {
	case earlier.Digest != r.Digest():
		return writeFailure(c, r.ID, request.OutcomeNotRun, request.NewFailure(request.CodeKeyReused, "the key belongs to request %s", earlier.Owner), 0)
	case !earlier.Done:
		return writeFailure(c, r.ID, request.OutcomeUnknown, request.NewFailure(request.CodeKeyInUse, "the key is claimed by request %s", earlier.Owner), 0)
	}
	stored := collectedResponse{status: earlier.Status, headers: earlier.Headers, body: earlier.Body}
	stored.end = request.Event{Kind: request.EventEnd, Outcome: request.OutcomeRan}
	c.Set(HeaderIdempotencyReplayed, "true")
	if earlier.BodyOmitted {
		return writeFailure(c, r.ID, request.OutcomeRan, request.NewFailure(request.CodeKeyInUse, "request %s ran; its answer was too large to keep", earlier.Owner), 0)
	}
	return stored.write(c, r.ID)
}

// updateClaim stores the response of a request that succeeded and releases the claim of
// a request that did not run. After any other outcome it leaves the claim in place, so
// that the request is not run again.
func (s *Server) updateClaim(claim *ledger.Claim, response collectedResponse) {
	var err error
	switch {
	case response.end.Failure == nil:
		err = s.claims.Finish(claim, response.status, response.headers, response.body)
	case response.end.Outcome == request.OutcomeNotRun:
		err = s.claims.Release(claim)
	}
	if err != nil {
		s.options.Logger.Warn().Err(err).Str("request", claim.Owner).Msg("idempotency-claim-not-updated")
	}
}
