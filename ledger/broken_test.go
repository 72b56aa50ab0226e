package ledger_test

import (
	"net/http"
	"testing"
	"time"

	"bulrushtally/ledger"
	"bulrushtally/responsehead/headtest"
)

// newClientAt returns a client of a platform at an address.
func newClientAt(address string) *ledger.Client {
	return ledger.NewClient(ledger.Options{Address: address, Timeout: 2 * time.Second, ReadsPerSecond: 1e4, WritesPerSecond: 1e4})
}

// fasthttp takes a status of 000 for 200, and accepts a space in a field name: a write seemed to have taken effect.
func TestBrokenResponsesOfThePlatformSayNothing(t *testing.T) {
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		c := newClientAt(headtest.Serve(t, func(*http.Request) string { return f.Response("", `{"key": "k", "version": 7}`) }))
		if err := c.Commit(ledger.Txn{}); !ledger.IsKind(err, ledger.Ambiguous) {
			t.Errorf("write: got %v, want an error of kind %q", err, ledger.Ambiguous)
		}
		if row, err := c.Get("k"); !ledger.IsKind(err, ledger.Unavailable) {
			t.Errorf("read: got row %+v and error %v, want an error of kind %q", row, err, ledger.Unavailable)
		}
	})
}

// A client that allocates what a response says of its length would end the process.
func TestLongResponsesOfThePlatformSayNothing(t *testing.T) {
	headtest.EachLongLength(t, func(t *testing.T, l headtest.LongLength) {
		c := newClientAt(headtest.Serve(t, func(*http.Request) string { return l.Response("200 OK", "", `{"key": "k"}`) }))
		if err := c.Commit(ledger.Txn{}); !ledger.IsKind(err, ledger.Ambiguous) {
			t.Errorf("write: got %v, want an error of kind %q", err, ledger.Ambiguous)
		}
		if row, err := c.Get("k"); !ledger.IsKind(err, ledger.Unavailable) {
			t.Errorf("read: got row %+v and error %v, want an error of kind %q", row, err, ledger.Unavailable)
		}
	})
}

// A read has no effect, so that there is nothing to find out when its response is malformed.
func TestMalformedResponseToAReadIsUnavailable(t *testing.T) {
	address := headtest.Serve(t, func(*http.Request) string { return "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n{\"key\":" })
	if row, err := newClientAt(address).Get("k"); !ledger.IsKind(err, ledger.Unavailable) {
		t.Errorf("got row %+v and error %v, want an error of kind %q", row, err, ledger.Unavailable)
	}
}

func TestPartOfAResponseToAnUploadToThePlatformSaysNothing(t *testing.T) {
	c := newClientAt(headtest.ServeReset(t, "", "part"))
	if err := c.PutObject("weights", []byte(headtest.Upload)); !ledger.IsKind(err, ledger.Ambiguous) {
		t.Errorf("got %v, want an error of kind %q", err, ledger.Ambiguous)
	}
}
