package gateway

// This file answers what the router would do with a request now, at the address of the metrics.

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"bulrushtally/placement"
)

// PreviewPath is the path at the address of the metrics at which a router tells what it would do with a request.
const PreviewPath = "/preview"

// previewPeriod is the least time between two previews: one searches all servers of a service under the lock of placement.
const previewPeriod = 100 * time.Millisecond

// previews limits how often the router answers.
type previews struct{ last atomic.Int64 } // Unix nanoseconds

// allow reports whether a preview may be made now.
func (p *previews) allow(now time.Time) bool {
	last := p.last.Load()
	return now.UnixNano()-last >= int64(previewPeriod) && p.last.CompareAndSwap(last, now.UnixNano())
}

// handlePage serves the metrics and the previews.
func (g *Gateway) handlePage(c *fasthttp.RequestCtx) {
	if string(c.Path()) != PreviewPath {
		g.metricsHandler(c)
		return
	}
	now := time.Now()
	req, err := previewRequest(now, c.QueryArgs())
	if err != nil {
		c.Error(err.Error(), http.StatusBadRequest)
		return
	}
	if !g.previews.allow(now) {
		c.Error("the router answers once in "+previewPeriod.String()+"; ask again", http.StatusTooManyRequests)
		return
	}
	v, ok := g.placer.Preview(now, req)
	if !ok {
		c.Error(fmt.Sprintf("the router knows no service %q", req.Service), http.StatusNotFound)
		return
	}
	c.SetContentType("application/json")
	if err := json.NewEncoder(c).Encode(v); err != nil {
		g.logger.Warn().Err(err).Msg("preview-not-written")
	}
}

// Largest values of a preview's numbers.
const (
	maxPreviewTokens = 1 << 24
	maxPreviewMs     = 1 << 20
)

// previewRequest returns the request that the query describes. It fails if a number or a segment is malformed.
func previewRequest(now time.Time, query *fasthttp.Args) (*placement.Request, error) {
	numbers := map[string]int{}
	for name, most := range map[string]int{"prompt": maxPreviewTokens, "output": maxPreviewTokens, "objective_ms": maxPreviewMs, "gap_ms": maxPreviewMs} {
		text := string(query.Peek(name))
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > most {
			return nil, fmt.Errorf("%s is %q; give a number from 0 to %d", name, text, most)
		}
		numbers[name] = n
	}
	segments, err := previewSegments(string(query.Peek("segments")))
	if err != nil {
		return nil, err
	}
	objective := time.Duration(numbers["objective_ms"]) * time.Millisecond
	req := &placement.Request{
		Service: string(query.Peek("service")), Customer: string(query.Peek("customer")), Segments: segments,
		PromptTokens: numbers["prompt"], OutputTokens: numbers["output"], MaxEventGap: time.Duration(numbers["gap_ms"]) * time.Millisecond,
		LatencyObjective: objective, Objective: now.Add(objective), Deadline: now.Add(objective),
	}
	if req.SharedTokens() > req.PromptTokens {
		return nil, fmt.Errorf("the segments have %d tokens, more than the prompt (%d)", req.SharedTokens(), req.PromptTokens)
	}
	return req, nil
}

// maxPreviewSegments is the most segments that a preview may name.
const maxPreviewSegments = 64

// previewSegments parses segments of the form ID:TOKENS, separated by commas, with IDs in hexadecimal.
func previewSegments(text string) (segments []placement.Segment, err error) {
	if text == "" {
		return nil, nil
	}
	parts := strings.Split(text, ",")
	if len(parts) > maxPreviewSegments {
		return nil, fmt.Errorf("%d segments; give at most %d", len(parts), maxPreviewSegments)
	}
	for _, part := range parts {
		name, length, _ := strings.Cut(part, ":")
		id, err := strconv.ParseUint(name, 16, 64)
		if err != nil {
			return nil, fmt.Errorf("segment %q has no hexadecimal ID; write ID:TOKENS", part)
		}
		tokens, err := strconv.Atoi(length)
		if err != nil || tokens < 0 || tokens > maxPreviewTokens {
			return nil, fmt.Errorf("segment %q has no number of tokens; write ID:TOKENS", part)
		}
		segments = append(segments, placement.Segment{ID: id, Tokens: tokens})
	}
	return segments, nil
}
