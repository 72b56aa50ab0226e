package backend

// This file parses responses to compute what a request cost: streams event by event,
// other responses by the usage object in their body.

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
)

// maxEventBytes limits the size of one server-sent event, and how much of a response
// that is not a stream is buffered to read its usage object.
const maxEventBytes = 1 << 20

// streamEndEvent ends a complete stream of a model server.
var streamEndEvent = []byte("data: [DONE]\n\n")

// cost is the cost that a request has been served, over all its attempts.
type cost struct {
	inputTokens, outputTokens float64 // for a model service
	elapsedMS                 float64 // for a plain service: duration of its attempts
}

// total returns the cost in weighted tokens for a model service and in milliseconds
// for a plain one.
func (c cost) total(model bool) float64 {
	if model {
		return c.inputTokens*inputWeight + c.outputTokens*outputWeight
	}
	return c.elapsedMS
}

// readEvent returns the next server-sent event, including the blank line that ends it.
// It skips empty events. It fails with the reader's error, such as io.EOF, also when the
// input ends within an event, and with errEventTooLong if the event reaches maxEventBytes, in one line or in many.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) >= maxEventBytes {
			return nil, errEventTooLong
		}
		if err == bufio.ErrBufferFull {
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

// errEventTooLong is the error of a stream with an event of maxEventBytes or more.
var errEventTooLong = errors.New("an event of the stream is longer than allowed")

// usageField occurs in the event that carries the model server's token counts.
var usageField = []byte(`"usage":{`)

// addEventCost counts an event as one output token. An event with a usage object instead
// replaces the counts so far by the model server's own.
func (j *job) addEventCost(event []byte) {
	if bytes.Contains(event, usageField) {
		j.applyUsage(bytes.TrimPrefix(bytes.TrimSpace(event), []byte("data: ")))
		return
	}
	if !bytes.Equal(event, streamEndEvent) {
		j.cost.outputTokens++
	}
}

// applyUsage sets the token counts from the usage object in a JSON response or event. It
// does nothing if there is none, or if the service is not a model service.
func (j *job) applyUsage(body []byte) {
	if !j.leader.model {
		return
	}
	var response struct {
		Usage struct {
			Prompt     float64 `json:"prompt_tokens"`
			Completion float64 `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(body, &response) == nil && response.Usage.Completion > 0 {
		j.cost.inputTokens, j.cost.outputTokens = response.Usage.Prompt, response.Usage.Completion
	}
}

// usageBuffer buffers a response of up to maxEventBytes, so that its usage object can be
// parsed. Writes beyond the limit are discarded.
type usageBuffer struct{ data []byte }

func (b *usageBuffer) write(p []byte) {
	if len(b.data)+len(p) <= maxEventBytes {
		b.data = append(b.data, p...)
	}
}
