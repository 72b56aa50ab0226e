package peer

import (
	"testing"

	"bulrushtally/request"
)

// BenchmarkEventEncodeDecode measures encoding and decoding the event of one token.
func BenchmarkEventEncodeDecode(b *testing.B) {
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
		if _, err := decodeBody[request.Event](f); err != nil {
			b.Fatal(err)
		}
	}
}
