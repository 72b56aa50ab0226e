package standin

// This file defines the HTTP interface of ModelServer: chat completions in the OpenAI
// format, resumption and cancellation of streams, load reports, statistics and faults.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// attemptIDHeader is the request header with the attempt ID. Responses repeat it.
const attemptIDHeader = "X-Request-Id"

// completionRequest is the body of POST /v1/chat/completions.
type completionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// message is a chat message in a response, or the part of it in one event of a stream.
type message struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int      `json:"index"`
	Delta        *message `json:"delta,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// usage counts the tokens of a request. A prompt counts as one token per 4 bytes.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// completion is the body of a response, or of one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// defaultMaxTokens is the token limit of requests without a positive max_tokens.
const defaultMaxTokens = 64

// handle passes a request to the handler for its path. While the server is down, it closes
// the connection instead.
func (m *ModelServer) handle(c *fasthttp.RequestCtx) {
	m.mu.Lock()
	down := m.down
	m.mu.Unlock()
	if down {
		c.Conn().Close()
		return
	}
	id := string(c.Request.Header.Peek(attemptIDHeader))
	if id == "" {
		// The request did not pass through a router, which would have set an attempt ID.
		id = fmt.Sprintf("unnumbered-%d", m.requestsWithoutID.Add(1))
	}
	c.Response.Header.Set(attemptIDHeader, id)
	path := string(c.Path())
	switch {
	case path == "/v1/chat/completions":
		m.reachStep(StepReceived)
		m.handleCompletion(c, id)
	case path == "/load":
		m.handleLoad(c)
	case path == "/faults" && c.IsPost():
		m.setFaults(c)
	case path == "/stats":
		writeJSON(c, 200, m.Stats())
	case strings.HasPrefix(path, "/v1/streams/"):
		m.handleStream(c, strings.TrimPrefix(path, "/v1/streams/"))
	default:
		c.Error("no such path", 404)
	}
}

// handleCompletion responds to a chat completion whose prompt is the last message. If the
// request is aborted, it closes the connection.
func (m *ModelServer) handleCompletion(c *fasthttp.RequestCtx, id string) {
	var req completionRequest
	if err := json.Unmarshal(c.PostBody(), &req); err != nil || len(req.Messages) == 0 {
		writeJSON(c, 400, map[string]string{"error": "messages are missing"})
		return
	}
	if req.MaxTokens <= 0 {
		req.MaxTokens = defaultMaxTokens
	}
	prompt := req.Messages[len(req.Messages)-1].Content
	g := m.admit(id, prompt, AnswerLength(prompt, req.MaxTokens))
	m.reachStep(StepRunning)
	m.mu.Lock()
	wrongID := m.wrongIDFor
	m.mu.Unlock()
	if wrongID != nil && wrongID(prompt) {
		c.Response.Header.Set(attemptIDHeader, "another-"+id)
	}
	if req.Stream {
		m.writeStream(c, id, g, 0)
		return
	}
	for i := 0; ; i++ {
		_, more, aborted := m.waitToken(g, i)
		if aborted {
			c.Conn().Close()
			return
		}
		if !more {
			break
		}
	}
	writeJSON(c, 200, completion{
		ID: id, Object: "chat.completion", Model: req.Model,
		Choices: []choice{{Message: &message{Answer(prompt, req.MaxTokens)}, FinishReason: "stop"}},
		Usage:   &usage{len(prompt) / 4, g.totalTokens},
	})
}

// handleStream cancels the request with an attempt ID on DELETE. Other methods resume its
// stream at the token number in the query parameter "from", counted from 0, or fail with
// status 404 if there is no such stream.
func (m *ModelServer) handleStream(c *fasthttp.RequestCtx, id string) {
	if c.IsDelete() {
		m.mu.Lock()
		delay := m.cancelDelay
		m.mu.Unlock()
		time.Sleep(delay)
		m.cancel(id)
		c.SetStatusCode(204)
		return
	}
	m.mu.Lock()
	g := m.streams[id]
	if g != nil {
		m.stats.Resumed++
	}
	m.mu.Unlock()
	if g == nil {
		c.Error("no such stream", 404)
		return
	}
	m.writeStream(c, id, g, c.QueryArgs().GetUintOrZero("from"))
}

// writeStream responds with the events of a generation, one per token from token number
// from on, one with the finish reason and the usage, and the end marker [DONE]. If from is
// past the end of the answer, it sends only [DONE]. If the generation is aborted, it closes
// the connection.
func (m *ModelServer) writeStream(c *fasthttp.RequestCtx, id string, g *generation, from int) {
	c.SetContentType("text/event-stream")
	conn := c.Conn()
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from; ; i++ {
			token, more, aborted := m.waitToken(g, i)
			if aborted {
				conn.Close()
				return
			}
			m.waitWhileFrozen()
			if !more {
				break
			}
			if i == from+1 {
				m.reachStep(StepStreaming)
			}
			writeEvent(w, completion{ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: &message{token}}}})
			if w.Flush() != nil {
				return
			}
		}
		if from <= g.totalTokens {
			writeEvent(w, completion{
				ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: &message{}, FinishReason: "stop"}},
				Usage: &usage{len(g.prompt) / 4, g.totalTokens},
			})
		}
		m.reachStep(StepEnding)
		w.WriteString("data: [DONE]\n\n")
		w.Flush()
	})
}

// writeEvent writes v as one server-sent event. The caller flushes w.
func writeEvent(w *bufio.Writer, v completion) {
	data, err := json.Marshal(v)
	if err == nil {
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

// handleLoad responds with the current boot number and leaving state and with the number
// of running requests as of about ReportLag ago.
func (m *ModelServer) handleLoad(c *fasthttp.RequestCtx) {
	m.reachStep(StepLoadReport)
	m.mu.Lock()
	report := loadReport{Boot: fmt.Sprint(m.boot), Leaving: m.leaving}
	if len(m.loadSamples) > 0 {
		report.Running = m.loadSamples[0].load.Running
	}
	m.mu.Unlock()
	writeJSON(c, 200, report)
}

// ModelServerFaults is the body of POST /faults. Faults that are left out stay as they are.
type ModelServerFaults struct {
	Crash      bool     `json:"crash"`
	CrashOn    *string  `json:"crashOn"`
	Slowdown   *float64 `json:"slow"`
	Frozen     *bool    `json:"frozen"`
	Leaving    *bool    `json:"leaving"`
	Down       *bool    `json:"down"`
	CloseConns bool     `json:"drop"` // closes all connections; requests continue
}

// setFaults applies the faults in the body of a request, or responds with status 400.
func (m *ModelServer) setFaults(c *fasthttp.RequestCtx) {
	var f ModelServerFaults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	if f.CrashOn != nil {
		m.CrashOn(*f.CrashOn)
	}
	if f.Slowdown != nil {
		m.SetSlowdown(*f.Slowdown)
	}
	if f.Leaving != nil {
		m.SetLeaving(*f.Leaving)
	}
	if f.Down != nil {
		m.SetDown(*f.Down)
	}
	if f.Frozen != nil {
		m.SetFrozen(*f.Frozen)
	}
	if f.Crash {
		m.Crash()
	}
	if f.CloseConns {
		m.DropConns()
	}
	c.SetStatusCode(204)
}

// DropConns closes every open connection. Requests continue, and streams can be
// resumed.
func (m *ModelServer) DropConns() { m.dropConns() }
