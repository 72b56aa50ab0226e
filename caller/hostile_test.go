package caller_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/caller"
	"bulrushtally/config"
	"bulrushtally/request"
)

// serve starts a server whose store has one caller with the key "good".
func serve(t *testing.T) (string, *leaders) {
	t.Helper()
	e, l, _ := start(t, time.Minute)
	snap := view(t).Snapshot()
	snap.Objects = append(snap.Objects,
		&config.Object{Kind: config.KindCaller, Name: "c", Customer: "c", KeyHash: config.HashKey("good")},
		&config.Object{Kind: config.KindCustomer, Name: "outsider"},
		&config.Object{Kind: config.KindCaller, Name: "o", Customer: "outsider", KeyHash: config.HashKey("out")},
		&config.Object{Kind: config.KindService, Name: "closed", Labels: map[string]string{"kind": "plain"}},
	)
	snap.Revision = 2
	store := config.NewStore()
	store.Restore(snap)
	v, err := caller.NewServer(caller.ServerOptions{
		Listen: "127.0.0.1:0", MaxBody: 4096, MaxHeaders: 4096, Timeout: 500 * time.Millisecond,
		Ready: func() error { return nil }, Logger: zerolog.Nop(),
	}, e, store, nil)
	if err != nil {
		t.Fatal(err)
	}
	go v.Run(t.Context())
	go func() {
		for s := range l.copies {
			s.sink(request.Event{Kind: request.EventHead, Status: 200, Headers: []request.Header{{Name: "Content-Type", Value: "text/plain"}}})
			s.sink(request.Event{Kind: request.EventData, Data: []byte("answer")})
			s.sink(whole)
		}
	}()
	return v.Address(), l
}

const goodBody = `{"model":"models","messages":[{"role":"user","content":"hi"}]}`

// raw sends bytes and returns the status of the answer, 0 for a closed connection.
func raw(t *testing.T, address, text string) int {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestHostileInput sends what no honest client sends: a clear 4xx or a closed
// connection, and the next caller is served.
func TestHostileInput(t *testing.T) {
	address, _ := serve(t)
	post := func(headers, body string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	}
	auth := "Authorization: Bearer good\r\n"
	tests := []struct {
		name string
		text string
		want []int
	}{
		{"good", post(auth, goodBody), []int{200}},
		{"no key", post("", goodBody), []int{401}},
		{"wrong key", post("Authorization: Bearer bad\r\n", goodBody), []int{401}},
		{"other scheme", post("Authorization: Basic good\r\n", goodBody), []int{401}},
		{"customer without access", post("Authorization: Bearer out\r\n", goodBody), []int{403}},
		{"unknown service", post(auth, `{"model":"nothing"}`), []int{404}},
		{"plain service as a model", post(auth, `{"model":"closed"}`), []int{404}},
		{"malformed JSON", post(auth, `{"model":`), []int{400}},
		{"JSON of another kind", post(auth, `[1,2]`), []int{400}},
		{"name with line breaks", post(auth, `{"model":"models\r\nX-Evil: 1"}`), []int{404}},
		{"too large a body", post(auth, strings.Repeat("x", 5000)), []int{413}},
		{"too large a head", post(auth+"X-Long: "+strings.Repeat("y", 8000)+"\r\n", goodBody), []int{431, 400, 0}},
		{"endless head", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 5000), []int{431, 400, 0}},
		{"negative length", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: -5\r\n\r\n", []int{400, 0}},
		{"broken chunking", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", []int{400, 0}},
		{"slow sender", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 100\r\n\r\nabc", []int{400, 408, 0}},
		{"not HTTP", "\x16\x03\x01\x00\x00 hello\r\n\r\n", []int{400, 0}},
		{"path that climbs", "GET /services/closed/../../admin HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", []int{403, 404}},
		{"unknown path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", []int{404}},
	}
	for _, tt := range tests {
		got, ok := raw(t, address, tt.text), false
		for _, want := range tt.want {
			ok = ok || got == want
		}
		if !ok {
			t.Errorf("%s: status %d, want one of %v", tt.name, got, tt.want)
		}
		if got := raw(t, address, post(auth, goodBody)); got != 200 {
			t.Fatalf("honest caller after %s: status %d", tt.name, got)
		}
	}
}

// TestSlowSendersHoldUpNobody keeps many half-sent requests open beside honest callers.
func TestSlowSendersHoldUpNobody(t *testing.T) {
	address, _ := serve(t)
	for range 200 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost:")
	}
	text := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(goodBody), goodBody)
	for range 20 {
		if got := raw(t, address, text); got != 200 {
			t.Errorf("honest caller beside slow ones: status %d", got)
		}
	}
}
