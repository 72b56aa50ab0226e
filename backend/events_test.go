package backend

import (
	"bufio"
	"bytes"
	"errors"
	"strings"
	"testing"
)

// Guards against an event without end, of many short lines, that is read into memory until the server closes: only an event of
// one long line was cut off.
func TestEndlessEventOfShortLinesIsCutOff(t *testing.T) {
	input := strings.NewReader(strings.Repeat("data: x\n", 2*maxEventBytes/8))
	if event, err := readEvent(bufio.NewReader(input)); !errors.Is(err, errEventTooLong) {
		t.Errorf("got an event of %d bytes and error %v, want errEventTooLong", len(event), err)
	}
	if read := int(input.Size()) - input.Len(); read > maxEventBytes+1<<16 {
		t.Errorf("got %d bytes read of the event, want little more than %d", read, maxEventBytes)
	}
}

// FuzzReadEvent checks that readEvent returns no empty events, and that each event stands in
// the input after the ones before it.
func FuzzReadEvent(f *testing.F) {
	for _, s := range []string{"data: a\n\ndata: b\n\n", "\n\n\n", "data: a\r\n\r\n", "data: " + strings.Repeat("x", 5000) + "\n\n", "event: e\ndata: d\n\n", "data: cut"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 64)
		remaining := data
		for {
			event, err := readEvent(r)
			if err != nil {
				return
			}
			if len(bytes.TrimRight(event, "\r\n")) == 0 {
				t.Fatalf("empty event %q", event)
			}
			i := bytes.Index(remaining, event)
			if i < 0 {
				t.Fatalf("event %q is not in the rest of the input", event)
			}
			remaining = remaining[i+len(event):]
		}
	})
}
