package peer

import "testing"

// FuzzDecode checks that decoding malformed messages does not panic and accepts only known
// kinds.
func FuzzDecode(f *testing.F) {
	for _, m := range []struct {
		kind   Kind
		stream uint64
		body   any
	}{
		{KindHeartbeat, 0, Heartbeat{SameMembers: true}}, {KindCredit, 3, Credit{Bytes: 5}}, {KindPull, 0, Pull{After: 9}}, {KindCancel, 1, nil},
	} {
		data, err := encode(m.kind, m.stream, m.body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fr, err := decode(data)
		if err != nil {
			return
		}
		decodeBody[Heartbeat](fr)
		decodeBody[Changes](fr)
		decodeBody[ShardAvailable](fr)
		if fr.Kind == 0 || fr.Kind >= kindEnd {
			t.Errorf("kind %d was accepted", fr.Kind)
		}
	})
}
