package request

// This file defines Failure, the typed error that a caller hears.

import (
	"fmt"
	"time"
)

// Code names a kind of failure.
type Code string

// The kinds of failures that a caller can hear.
const (
	CodeBadRequest     Code = "bad-request"
	CodeNoKey          Code = "no-key"
	CodeForbidden      Code = "forbidden"
	CodeUnknownService Code = "unknown-service"
	CodeTooLarge       Code = "too-large"
	CodeQueueFull      Code = "queue-full"
	CodeQueueTimeout   Code = "queue-timeout"
	CodeNotReady       Code = "not-ready"
	CodeStopping       Code = "stopping"
	CodeNoBackend      Code = "no-backend"
	CodeRefused        Code = "backend-refused"
	CodeBroken         Code = "backend-broken"
	CodeSilent         Code = "backend-silent"
	CodeCrossed        Code = "crossed-answer"
	CodeLinkLost       Code = "link-lost"
	CodeCanceled       Code = "canceled"
	CodeRecalled       Code = "recalled"
	CodeMoved          Code = "leader-moved"
	CodeQuarantined    Code = "quarantined"
	CodeKeyReused      Code = "key-reused"
	CodeKeyInUse       Code = "key-in-use"
	CodeKeyStore       Code = "key-store-unavailable"
)

type codeInfo struct {
	status int
	remedy string
}

var codes = map[Code]codeInfo{
	CodeBadRequest:     {400, "correct the request as the detail says"},
	CodeNoKey:          {401, "send the header Authorization: Bearer with a caller's key"},
	CodeForbidden:      {403, "ask the operators to let this customer in by an access selector"},
	CodeUnknownService: {404, "name a service that exists, as the model or in the path"},
	CodeTooLarge:       {413, "send a smaller request"},
	CodeQueueFull:      {429, "send it again after the time in Retry-After"},
	CodeQueueTimeout:   {503, "send it again after the time in Retry-After"},
	CodeNotReady:       {503, "send it again after the time in Retry-After; operators find the reason at /readyz"},
	CodeStopping:       {503, "send it again; another router takes it"},
	CodeNoBackend:      {503, "send it again after the time in Retry-After; operators see why in status"},
	CodeRefused:        {503, "send it again after the time in Retry-After"},
	CodeBroken:         {502, "the outcome says whether it may be sent again"},
	CodeSilent:         {504, "the outcome says whether it may be sent again"},
	CodeCrossed:        {502, "the outcome says whether it may be sent again"},
	CodeLinkLost:       {502, "the outcome says whether it may be sent again"},
	CodeCanceled:       {499, "the caller left"},
	CodeRecalled:       {503, "send it again"},
	CodeMoved:          {503, "send it again"},
	CodeQuarantined:    {422, "do not repeat this request: it was running when two backend servers died; operators can clear it"},
	CodeKeyReused:      {422, "use a new Idempotency-Key for a different request"},
	CodeKeyInUse:       {409, "ask again with the same Idempotency-Key; the first request with it has not reported its end"},
	CodeKeyStore:       {503, "send it again after the time in Retry-After; the key could not be claimed"},
}

// Codes returns every kind of failure.
func Codes() []Code {
	list := make([]Code, 0, len(codes))
	for c := range codes {
		list = append(list, c)
	}
	return list
}

// Failure is why a caller gets no whole answer.
type Failure struct {
	Code       Code          `cbor:"1,keyasint"`
	Detail     string        `cbor:"2,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"3,keyasint,omitempty"`
}

// Fail returns a failure of a kind; the detail is formatted as by fmt.Sprintf.
func Fail(c Code, format string, args ...any) *Failure {
	return &Failure{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Error describes the failure and its remedy.
func (f *Failure) Error() string { return fmt.Sprintf("%s: %s; %s", f.Code, f.Detail, f.Remedy()) }

// Status returns the HTTP status of the failure.
func (f *Failure) Status() int { return codes[f.Code].status }

// Remedy returns what the caller can do.
func (f *Failure) Remedy() string { return codes[f.Code].remedy }

// End returns the last event of an answer that failed.
func (f *Failure) End(o Outcome) Event { return Event{Kind: EventEnd, Outcome: o, Failure: f} }
