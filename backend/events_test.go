package backend

import (
	"bufio"
	"bytes"
	"strings"
	"testing"
)

// FuzzReadEvent feeds the reader of server-sent events: what it returns is what came, whole events only.
func FuzzReadEvent(f *testing.F) {
	for _, s := range []string{"data: a\n\ndata: b\n\n", "\n\n\n", "data: a\r\n\r\n", "data: " + strings.Repeat("x", 5000) + "\n\n", "event: e\ndata: d\n\n", "data: cut"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(data), 64)
		rest := data
		for {
			event, err := readEvent(r)
			if err != nil {
				return
			}
			if len(bytes.TrimRight(event, "\r\n")) == 0 {
				t.Fatalf("empty event %q", event)
			}
			i := bytes.Index(rest, event)
			if i < 0 {
				t.Fatalf("event %q is not in the input", event)
			}
			rest = rest[i+len(event):]
		}
	})
}
