package peer

import "testing"

// FuzzDecode feeds the codec with malformed messages of every kind.
func FuzzDecode(f *testing.F) {
	for _, m := range []struct {
		kind   Kind
		stream uint64
		body   any
	}{
		{KindHeartbeat, 0, Heartbeat{Same: true}}, {KindCredit, 3, Credit{Bytes: 5}}, {KindPull, 0, Pull{After: 9}}, {KindCancel, 1, nil},
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
		body[Heartbeat](fr)
		body[Changes](fr)
		body[Room](fr)
		if fr.Kind == 0 || fr.Kind >= kindEnd {
			t.Errorf("kind %d was accepted", fr.Kind)
		}
	})
}
