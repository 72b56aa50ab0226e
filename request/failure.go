package request

// This file defines Failure, the error that a caller gets in place of a complete response.

import (
	"fmt"
	"time"
)

// Code identifies a kind of failure. It is part of the response to the caller.
type Code string

// The kinds of failure.
const (
	CodeBadRequest          Code = "bad-request"
	CodeNoKey               Code = "no-key"    // the caller sent no API key, or an unknown one
	CodeForbidden           Code = "forbidden" // the customer may not use the service
	CodeUnknownService      Code = "unknown-service"
	CodeTooLarge            Code = "too-large"  // the request or its response exceeds a limit
	CodeQueueFull           Code = "queue-full" // limit of the entry router
	CodeQueueTimeout        Code = "queue-timeout"
	CodeNotReady            Code = "not-ready"             // the entry router cannot serve requests yet
	CodeStopping            Code = "stopping"              // the entry router is shutting down
	CodeNoBackend           Code = "no-backend"            // no backend server can be reached
	CodeBackendRefused      Code = "backend-refused"       // the backend server answered that it takes no request now
	CodeBackendFailed       Code = "backend-broken"        // the backend server's connection failed or its response was invalid
	CodeBackendTimeout      Code = "backend-silent"        // the backend server did not answer within the timeout
	CodeAttemptMismatch     Code = "crossed-answer"        // the response belongs to another attempt
	CodeLinkLost            Code = "link-lost"             // the connection to the leader's router failed
	CodeCanceled            Code = "canceled"              // the caller closed its connection
	CodeRecalled            Code = "recalled"              // the entry router recalled the request before it was admitted
	CodeLeaderChanged       Code = "leader-moved"          // the shard has a new leader, or none that can be reached
	CodeQuarantined         Code = "quarantined"           // the request was running when backend servers crashed
	CodeKeyReused           Code = "key-reused"            // the Idempotency-Key belongs to a different request
	CodeKeyInUse            Code = "key-in-use"            // the first request with the Idempotency-Key has no result to return
	CodeKeyStoreUnavailable Code = "key-store-unavailable" // the Idempotency-Key could not be claimed
)

// codeInfo is what all failures with the same Code have in common.
type codeInfo struct {
	status int    // HTTP status
	remedy string // what the caller can do
}

// codes has an entry for each Code.
var codes = map[Code]codeInfo{
	CodeBadRequest:          {400, "correct the request as the detail says"},
	CodeNoKey:               {401, "send the header Authorization: Bearer with a caller's key"},
	CodeForbidden:           {403, "ask the operators to let this customer in by an access selector"},
	CodeUnknownService:      {404, "name a service that exists, as the model or in the path"},
	CodeTooLarge:            {413, "send a smaller request"},
	CodeQueueFull:           {429, "send it again after the time in Retry-After"},
	CodeQueueTimeout:        {503, "send it again after the time in Retry-After"},
	CodeNotReady:            {503, "send it again after the time in Retry-After; operators find the reason at /readyz"},
	CodeStopping:            {503, "send it again; another router takes it"},
	CodeNoBackend:           {503, "send it again after the time in Retry-After; operators see why in status"},
	CodeBackendRefused:      {503, "send it again after the time in Retry-After"},
	CodeBackendFailed:       {502, "the outcome says whether it may be sent again"},
	CodeBackendTimeout:      {504, "the outcome says whether it may be sent again"},
	CodeAttemptMismatch:     {502, "the outcome says whether it may be sent again"},
	CodeLinkLost:            {502, "the outcome says whether it may be sent again"},
	CodeCanceled:            {499, "the caller left"},
	CodeRecalled:            {503, "send it again"},
	CodeLeaderChanged:       {503, "send it again"},
	CodeQuarantined:         {422, "do not repeat this request: it was running when two backend servers died; operators can clear it"},
	CodeKeyReused:           {422, "use a new Idempotency-Key for a different request"},
	CodeKeyInUse:            {409, "ask again with the same Idempotency-Key; the first request with it has not reported its end"},
	CodeKeyStoreUnavailable: {503, "send it again after the time in Retry-After; the key could not be claimed"},
}

// Codes returns all failure codes, in no particular order.
func Codes() []Code {
	list := make([]Code, 0, len(codes))
	for code := range codes {
		list = append(list, code)
	}
	return list
}

// Failure is the reason why a caller gets no complete response.
type Failure struct {
	Code       Code          `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint,omitempty"` // the cause, in words
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"` // 0 for none
}

// NewFailure returns a failure with a code and a detail, which is formatted as by fmt.Sprintf.
func NewFailure(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code, the detail and the remedy.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s; %s", f.Code, f.Detail, f.Remedy()) }

// HTTPStatus returns the HTTP status of the response to the caller.
func (f *Failure) HTTPStatus() int { return codes[f.Code].status }

// Remedy returns what the caller can do.
func (f *Failure) Remedy() string { return codes[f.Code].remedy }

// EndEvent returns the EventEnd of a response that failed with f.
func (f *Failure) EndEvent(outcome Outcome) Event {
	return Event{Kind: EventEnd, Outcome: outcome, Failure: f}
}
