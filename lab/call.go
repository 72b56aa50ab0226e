package lab

// This file defines Client, which makes single calls and checks that the answer
// is whole and the call's own.

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

// Client makes calls as a caller does.
type Client struct {
	http  *http.Client
	key   string // instead of the customer's, if not empty
	model string
}

// NewClient returns a Client that keeps its connections.
func NewClient() *Client {
	t := &http.Transport{
		MaxIdleConnsPerHost: 4096, MaxIdleConns: 8192, IdleConnTimeout: 30 * time.Second,
		DialContext: (&net.Dialer{Timeout: 5 * time.Second}).DialContext,
	}
	return &Client{http: &http.Client{Transport: t}, model: ModelService}
}

// Result is what came of a call.
type Result struct {
	Customer   string
	Status     int
	Outcome    request.Outcome
	Code       string
	FirstToken time.Duration // to the first part of the body
	Total      time.Duration
	Tokens     int
	Cost       float64 // as routers count it
	Whole      bool    // the answer is complete
	Own        bool    // the answer is this call's
	Err        error

	prompt string
	meter  func(cost int)
}

// Good reports whether the caller got the whole answer to its own call.
func (r *Result) Good() bool { return r.Err == nil && r.Status == 200 && r.Whole && r.Own }

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Metered asks for a streamed completion and tells of the cost as it comes.
func (c *Client) Metered(ctx context.Context, address, customer, prompt string, maxTokens int, meter func(cost int)) Result {
	return c.complete(ctx, address, customer, prompt, maxTokens, true, meter)
}

// Complete asks for a completion of a prompt.
func (c *Client) Complete(ctx context.Context, address, customer, prompt string, maxTokens int, stream bool) Result {
	return c.complete(ctx, address, customer, prompt, maxTokens, stream, func(int) {})
}

func (c *Client) complete(ctx context.Context, address, customer, prompt string, maxTokens int, stream bool, meter func(cost int)) Result {
	body, err := json.Marshal(chatBody{c.model, []chatMessage{{"user", prompt}}, maxTokens, stream})
	if err != nil {
		return Result{Customer: customer, Err: err}
	}
	r := Result{Customer: customer, Own: true, prompt: prompt, meter: meter}
	began := time.Now()
	resp, err := c.post(ctx, "http://"+address+"/v1/chat/completions", customer, body, nil)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	r.read(resp)
	text := ""
	switch {
	case r.Status != http.StatusOK:
		r.Err, r.Own = r.readFailure(resp.Body), true
		return r
	case stream:
		text, r.Err = r.readStream(resp.Body, began)
	default:
		text, r.Err = r.readWhole(resp.Body, began)
	}
	r.Total = time.Since(began)
	want := standin.Answer(prompt, maxTokens)
	r.Own = strings.HasPrefix(want, text)
	r.Whole = text == want
	r.Cost = float64(len(prompt)/4) + 2*float64(r.Tokens)
	return r
}

// Call calls the plain service with a numbered call.
func (c *Client) Call(ctx context.Context, address, customer, call, key string) Result {
	r := Result{Customer: customer}
	began := time.Now()
	headers := map[string]string{standin.CallHeader: call, "Content-Type": "text/plain"}
	if key != "" {
		headers[caller.HeaderKey] = key
	}
	resp, err := c.post(ctx, "http://"+address+"/services/"+PlainService+"/work", customer, []byte("body of "+call), headers)
	if err != nil {
		r.Err = err
		return r
	}
	defer resp.Body.Close()
	r.read(resp)
	if r.Status != http.StatusOK {
		r.Err = r.readFailure(resp.Body)
		return r
	}
	data, err := io.ReadAll(resp.Body)
	r.Err = err
	r.Total = time.Since(began)
	r.FirstToken = r.Total
	r.Own = strings.Contains(string(data), call)
	r.Whole = string(data) == "done "+call+" body of "+call
	return r
}

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

func (r *Result) read(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Outcome = request.Outcome(resp.Header.Get(caller.HeaderOutcome))
}

type failureBody struct {
	Error struct {
		Code    string          `json:"code"`
		Message string          `json:"message"`
		Outcome request.Outcome `json:"outcome"`
	} `json:"error"`
}

func (r *Result) readFailure(body io.Reader) error {
	var f failureBody
	if err := json.NewDecoder(body).Decode(&f); err != nil {
		return err
	}
	r.Code = f.Error.Code
	return fmt.Errorf("%s: %s", f.Error.Code, f.Error.Message)
}

type chunk struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
	} `json:"choices"`
	Usage *struct {
		Completion int `json:"completion_tokens"`
	} `json:"usage"`
}

// readStream collects a stream's text; a stream that does not say its end is an error.
func (r *Result) readStream(body io.Reader, began time.Time) (string, error) {
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
		var k chunk
		if err := json.Unmarshal([]byte(data), &k); err != nil {
			return text.String(), err
		}
		if len(k.Choices) == 0 {
			var f failureBody
			json.Unmarshal([]byte(data), &f)
			r.Code, r.Outcome = f.Error.Code, f.Error.Outcome
			return text.String(), fmt.Errorf("stream failed: %s", data)
		}
		if k.Choices[0].Delta.Content != "" {
			if r.Tokens == 0 {
				r.FirstToken = time.Since(began)
				r.meter(len(r.prompt) / 4)
			}
			r.meter(2)
			r.Tokens++
			text.WriteString(k.Choices[0].Delta.Content)
		}
	}
	if err := s.Err(); err != nil {
		return text.String(), err
	}
	return text.String(), io.ErrUnexpectedEOF
}

func (r *Result) readWhole(body io.Reader, began time.Time) (string, error) {
	var k chunk
	if err := json.NewDecoder(body).Decode(&k); err != nil {
		return "", err
	}
	r.FirstToken = time.Since(began)
	if k.Usage != nil {
		r.Tokens = k.Usage.Completion
	}
	if len(k.Choices) == 0 {
		return "", io.ErrUnexpectedEOF
	}
	return k.Choices[0].Message.Content, nil
}
