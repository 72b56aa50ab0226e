package peer

import (
	"testing"

	"bulrushtally/request"
)

// BenchmarkEvent encodes and decodes one token's event, as each router on its way does.
func BenchmarkEvent(b *testing.B) {
	e := request.Event{Kind: request.EventData, Data: make([]byte, 140)}
	b.ReportAllocs()
	for b.Loop() {
		data, err := encode(KindEvent, 77, e)
		if err != nil {
			b.Fatal(err)
		}
		f, err := decode(data)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := body[request.Event](f); err != nil {
			b.Fatal(err)
		}
	}
}
