package backend

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

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
