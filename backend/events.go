package backend

// This file defines how answers are read for what they cost: server-sent events
// one by one, whole answers by their usage.

import (
	"bufio"
	"bytes"
	"encoding/json"
)

// maxEventBytes bounds one server-sent event, and the part of a whole answer that
// is kept to read its usage from.
const maxEventBytes = 1 << 20

var streamEnd = []byte("data: [DONE]\n\n")

// cost is what a request has consumed.
type cost struct {
	input, output float64 // tokens
	millis        float64 // of a plain service's time
}

func (c cost) total(model bool) float64 {
	if model {
		return c.input*inputWeight + c.output*outputWeight
	}
	return c.millis
}

// readEvent returns the next server-sent event with the blank line that ends it.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if err == bufio.ErrBufferFull && len(event) < maxEventBytes {
			continue
		}
		if err != nil {
			return nil, err
		}
		blank := len(bytes.TrimRight(line, "\r\n")) == 0
		if blank && len(event) > len(line) {
			return event, nil
		}
		if blank {
			event = event[:0]
		}
	}
}

var usageField = []byte(`"usage":{`)

// countEvent adds an event's tokens to the cost; the engine's own count replaces the sum.
func (j *job) countEvent(event []byte) {
	if bytes.Contains(event, usageField) {
		j.countUsage(bytes.TrimPrefix(bytes.TrimSpace(event), []byte("data: ")))
		return
	}
	if !bytes.Equal(event, streamEnd) {
		j.cost.output++
	}
}

// countUsage takes the cost from the engine's usage, if the answer carries it.
func (j *job) countUsage(body []byte) {
	if !j.leader.model {
		return
	}
	var answer struct {
		Usage struct {
			Prompt     float64 `json:"prompt_tokens"`
			Completion float64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &answer) == nil && answer.Usage.Completion > 0 {
		j.cost.input, j.cost.output = answer.Usage.Prompt, answer.Usage.Completion
	}
}

// tailBuffer keeps an answer up to a bound, so that its usage can be read.
type tailBuffer struct{ data []byte }

func (t *tailBuffer) write(p []byte) {
	if len(t.data)+len(p) <= maxEventBytes {
		t.data = append(t.data, p...)
	}
}
