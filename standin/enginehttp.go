package standin

// This file defines the HTTP side of Engine: completions in the OpenAI style,
// resuming and cancelling streams, load reports and fault knobs.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

const attemptHeader = "X-Request-Id"

type completionRequest struct {
	Model    string `json:"model"`
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type choice struct {
	Index        int    `json:"index"`
	Delta        *delta `json:"delta,omitempty"`
	Message      *delta `json:"message,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

const defaultMaxTokens = 64

func (e *Engine) handle(c *fasthttp.RequestCtx) {
	e.mu.Lock()
	down := e.down
	e.mu.Unlock()
	if down {
		c.Conn().Close()
		return
	}
	id := string(c.Request.Header.Peek(attemptHeader))
	if id == "" {
		id = fmt.Sprintf("unnumbered-%d", e.unnumbered.Add(1)) // as callers send without a router
	}
	c.Response.Header.Set(attemptHeader, id)
	path := string(c.Path())
	switch {
	case path == "/v1/chat/completions":
		e.step(StepSend)
		e.complete(c, id)
	case path == "/load":
		e.writeLoad(c)
	case path == "/faults" && c.IsPost():
		e.setFaults(c)
	case path == "/stats":
		writeJSON(c, 200, e.Stats())
	case strings.HasPrefix(path, "/v1/streams/"):
		e.stream(c, strings.TrimPrefix(path, "/v1/streams/"))
	default:
		c.Error("no such path", 404)
	}
}

func (e *Engine) complete(c *fasthttp.RequestCtx, id string) {
	var r completionRequest
	if err := json.Unmarshal(c.PostBody(), &r); err != nil || len(r.Messages) == 0 {
		writeJSON(c, 400, map[string]string{"error": "messages are missing"})
		return
	}
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	prompt := r.Messages[len(r.Messages)-1].Content
	g := e.admit(id, prompt, Length(prompt, r.MaxTokens))
	e.step(StepFirst)
	e.mu.Lock()
	crosses := e.crossIf
	e.mu.Unlock()
	if crosses != nil && crosses(prompt) {
		c.Response.Header.Set(attemptHeader, "another-"+id)
	}
	if r.Stream {
		e.writeStream(c, id, g, 0)
		return
	}
	for i := 0; ; i++ {
		_, more, dead := e.next(g, i)
		if dead {
			c.Conn().Close()
			return
		}
		if !more {
			break
		}
	}
	writeJSON(c, 200, completion{
		ID: id, Object: "chat.completion", Model: r.Model,
		Choices: []choice{{Message: &delta{Answer(prompt, r.MaxTokens)}, FinishReason: "stop"}},
		Usage:   &usage{len(prompt) / 4, g.total},
	})
}

// stream resumes or cancels a stream by its attempt's number.
func (e *Engine) stream(c *fasthttp.RequestCtx, id string) {
	if c.IsDelete() {
		e.mu.Lock()
		pause := e.cancelTime
		e.mu.Unlock()
		time.Sleep(pause)
		e.cancel(id)
		c.SetStatusCode(204)
		return
	}
	e.mu.Lock()
	g := e.kept[id]
	if g != nil {
		e.stats.Resumed++
	}
	e.mu.Unlock()
	if g == nil {
		c.Error("no such stream", 404)
		return
	}
	e.writeStream(c, id, g, c.QueryArgs().GetUintOrZero("from"))
}

func (e *Engine) writeStream(c *fasthttp.RequestCtx, id string, g *generation, from int) {
	c.SetContentType("text/event-stream")
	conn := c.Conn()
	c.SetBodyStreamWriter(func(w *bufio.Writer) {
		for i := from; ; i++ {
			token, more, dead := e.next(g, i)
			if dead {
				conn.Close()
				return
			}
			e.wait()
			if !more {
				break
			}
			if i == from+1 {
				e.step(StepStream)
			}
			writeEvent(w, completion{ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{token}}}})
			if w.Flush() != nil {
				return
			}
		}
		if from <= g.total {
			writeEvent(w, completion{
				ID: id, Object: "chat.completion.chunk", Choices: []choice{{Delta: &delta{}, FinishReason: "stop"}},
				Usage: &usage{len(g.prompt) / 4, g.total},
			})
		}
		e.step(StepEnd)
		w.WriteString("data: [DONE]\n\n")
		w.Flush()
	})
}

func writeEvent(w *bufio.Writer, v completion) {
	data, err := json.Marshal(v)
	if err == nil {
		fmt.Fprintf(w, "data: %s\n\n", data)
	}
}

func (e *Engine) writeLoad(c *fasthttp.RequestCtx) {
	e.step(StepReport)
	e.mu.Lock()
	l := engineLoad{Boot: fmt.Sprint(e.boot), Leaving: e.leaving}
	if len(e.reports) > 0 {
		l.Running = e.reports[0].load.Running
	}
	e.mu.Unlock()
	writeJSON(c, 200, l)
}

// EngineFaults are the knobs that /faults sets; those left out stay.
type EngineFaults struct {
	Crash   bool     `json:"crash"`
	CrashOn *string  `json:"crashOn"`
	Slow    *float64 `json:"slow"`
	Frozen  *bool    `json:"frozen"`
	Leaving *bool    `json:"leaving"`
	Down    *bool    `json:"down"`
	Drop    bool     `json:"drop"` // closes all connections, keeps the work
}

func (e *Engine) setFaults(c *fasthttp.RequestCtx) {
	var f EngineFaults
	if err := json.Unmarshal(c.PostBody(), &f); err != nil {
		c.Error(err.Error(), 400)
		return
	}
	if f.CrashOn != nil {
		e.CrashOn(*f.CrashOn)
	}
	if f.Slow != nil {
		e.SetSlow(*f.Slow)
	}
	if f.Leaving != nil {
		e.SetLeaving(*f.Leaving)
	}
	if f.Down != nil {
		e.SetDown(*f.Down)
	}
	if f.Frozen != nil {
		e.SetFrozen(*f.Frozen)
	}
	if f.Crash {
		e.Crash()
	}
	if f.Drop {
		e.DropConns()
	}
	c.SetStatusCode(204)
}

// DropConns closes every open connection while the work goes on.
func (e *Engine) DropConns() { e.dropConns() }
