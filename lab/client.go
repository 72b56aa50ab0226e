package lab

// This file defines Client, which makes single calls to a router and checks that the
// response is complete and belongs to the call.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"bulrushtally/caller"
	"bulrushtally/request"
	"bulrushtally/standin"
)

// Client makes calls to routers over HTTP, as a customer's callers do.
type Client struct {
	http  *http.Client
	key   string // bearer key; if empty, the key of the customer's callers
	model string // service that completions ask for
}

// NewClient returns a Client for ModelService that reuses its connections.
func NewClient() *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192, IdleConnTimeout: 30 * time.Second,
		DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}
	return &Client{http: &http.Client{Transport: transport}, model: ModelService}
}

// Result describes how a call ended.
type Result struct {
	Customer         string
	Status           int             // HTTP status; 0 if no response came
	Outcome          request.Outcome // as reported by the router; empty if it reported none
	Code             string          // error code from the router
	TimeToFirstToken time.Duration   // from sending to the first token, or to the whole body if not streamed
	TotalTime        time.Duration   // from sending to the end of the body; 0 unless the status is 200
	OutputTokens     int             // output tokens
	Cost             float64         // of a completion, as routers count it: prompt bytes / 4 + 2 * output tokens
	IsComplete       bool            // the response is complete
	MatchesCall      bool            // the received text belongs to this call; false if the call failed
	Err              error

	prompt string
	onCost func(cost int) // called with the cost of the prompt, then of each token
}

// Succeeded reports whether the call succeeded with a complete response of its own.
func (r *Result) Succeeded() bool {
	return r.Err == nil && r.Status == 200 && r.IsComplete && r.MatchesCall
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// CompleteMetered requests a streamed completion and calls onCost as service is received:
// with the cost of the prompt at the first token, and with the cost of each token.
func (c *Client) CompleteMetered(ctx context.Context, address, customer, prompt string, maxTokens int, onCost func(cost int)) Result {
	return c.complete(ctx, address, customer, prompt, maxTokens, true, onCost)
}

// Complete requests a completion of a prompt from the router at an address, and waits for
// its end.
func (c *Client) Complete(ctx context.Context, address, customer, prompt string, maxTokens int, stream bool) Result {
	return c.complete(ctx, address, customer, prompt, maxTokens, stream, func(int) {})
}

// complete sends a completion request and compares the response with the text that the
// stand-in model server generates for the prompt.
func (c *Client) complete(ctx context.Context, address, customer, prompt string, maxTokens int, stream bool, onCost func(cost int)) Result {
	body, err := json.Marshal(chatRequest{c.model, []chatMessage{{"user", prompt}}, maxTokens, stream})
	if err != nil {
		return Result{Customer: customer, Err: err}
	}
	r := Result{Customer: customer, MatchesCall: true, prompt: prompt, onCost: onCost}
	start := time.Now()
	resp, err := c.post(ctx, "http://"+address+"/v1/chat/completions", customer, body, nil)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	r.readHeader(resp)
	text := ""
	switch {
	case r.Status != http.StatusOK:
		r.Err, r.MatchesCall = r.readError(resp.Body), true
		return r
	case stream:
		text, r.Err = r.readStream(resp.Body, start)
	default:
		text, r.Err = r.readCompletion(resp.Body, start)
	}
	r.TotalTime = time.Since(start)
	want := standin.Answer(prompt, maxTokens)
	r.MatchesCall = strings.HasPrefix(want, text)
	r.IsComplete = text == want
	r.Cost = float64(len(prompt)/4) + 2*float64(r.OutputTokens)
	return r
}

// CallPlain sends a call to the plain service, which records it under the ID callID. A key
// that is not empty is sent as the idempotency key.
func (c *Client) CallPlain(ctx context.Context, address, customer, callID, key string) Result {
	r := Result{Customer: customer}
	start := time.Now()
	headers := map[string]string{standin.CallIDHeader: callID, "Content-Type": "text/plain"}
	if key != "" {
		headers[caller.HeaderIdempotencyKey] = key
	}
	resp, err := c.post(ctx, "http://"+address+"/services/"+PlainService+"/work", customer, []byte("body of "+callID), headers)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	r.readHeader(resp)
	if r.Status != http.StatusOK {
		r.Err = r.readError(resp.Body)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	r.Err = err
	r.TotalTime = time.Since(start)
	r.TimeToFirstToken = r.TotalTime
	r.MatchesCall = strings.Contains(string(data), callID)
	r.IsComplete = string(data) == "done "+callID+" body of "+callID
	return r
}

// post sends a POST request with the bearer key of the client or, if it has none, of the
// customer's callers.
func (c *Client) post(ctx context.Context, url, customer string, body []byte, headers map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, "POST", url, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	key := c.key
	if key == "" {
		key = CallerKey(customer)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	return c.http.Do(req)
}

// readHeader records the status and the outcome of a response.
func (r *Result) readHeader(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = request.Outcome(resp.Header.Get(caller.HeaderOutcome))
}

// errorBody is the JSON body of a failed call, or of the error event of a stream.
type errorBody struct {
	Error struct {
		Code    string          `json:"code"`
		Message string          `json:"message"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

// readError records the error code of a failed call and returns its code and message as
// an error.
func (r *Result) readError(body io.Reader) error {
	var failure errorBody
	if err := json.NewDecoder(body).Decode(&failure); err != nil {
		return err
	}
	r.Code = failure.Error.Code
	return fmt.Errorf("%s: %s", failure.Error.Code, failure.Error.Message)
}

// chatCompletion is an event of a streamed completion, or the body of one that is not
// streamed.
type chatCompletion struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// readStream returns the text of a streamed completion. It fails with
// io.ErrUnexpectedEOF if the stream ends without its end marker, and with an error that
// holds the event if the router reports a failure in the stream.
func (r *Result) readStream(body io.Reader, start time.Time) (string, error) {
	var text strings.Builder
	s := bufio.NewScanner(body)
	s.Buffer(nil, 1<<20)
	for s.Scan() {
		data, ok := strings.CutPrefix(s.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var completion chatCompletion
		if err := json.Unmarshal([]byte(data), &completion); err != nil {
			return text.String(), err
		}
		if len(completion.Choices) == 0 {
			var failure errorBody
			json.Unmarshal([]byte(data), &failure)
			r.Code, r.Outcome = failure.Error.Code, failure.Error.Outcome
			return text.String(), fmt.Errorf("stream ended with an error event: %s", data)
		}
		if completion.Choices[0].Delta.Content != "" {
			if r.OutputTokens == 0 {
				r.TimeToFirstToken = time.Since(start)
				r.onCost(len(r.prompt) / 4)
			}
			r.onCost(2)
			r.OutputTokens++
			text.WriteString(completion.Choices[0].Delta.Content)
		}
	}
	if err := s.Err(); err != nil {
		return text.String(), err
	}
	return text.String(), io.ErrUnexpectedEOF
}

// readCompletion returns the text of a completion that is not streamed.
func (r *Result) readCompletion(body io.Reader, start time.Time) (string, error) {
	var completion chatCompletion
	if err := json.NewDecoder(body).Decode(&completion); err != nil {
		return "", err
	}
	r.TimeToFirstToken = time.Since(start)
	if completion.Usage != nil {
		r.OutputTokens = completion.Usage.Completion
	}
	if len(completion.Choices) == 0 {
		return "", io.ErrUnexpectedEOF
	}
	return completion.Choices[0].Message.Content, nil
}
