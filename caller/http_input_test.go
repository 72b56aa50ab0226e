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

// startServer starts a server and returns its address and the fake leaders behind it, which
// respond to each request. The caller with the key "good" may use the service "models"; the
// caller with the key "out" may use no service.
func startServer(t *testing.T) (string, *fakeLeaders) {
	t.Helper()
	e, l, _ := startEntryRouter(t, time.Minute)
	snap := testView(t).Snapshot()
	snap.Objects = append(snap.Objects,
		&config.Object{Kind: config.KindCaller, Name: "c", Customer: "c", KeyHash: config.HashKey("good")},
		&config.Object{Kind: config.KindCustomer, Name: "outsider"},
		&config.Object{Kind: config.KindCaller, Name: "o", Customer: "outsider", KeyHash: config.HashKey("out")},
		&config.Object{Kind: config.KindService, Name: "closed", Labels: map[string]string{"kind": "plain"}},
	)
	snap.Revision = 2
	store := config.NewStore()
	store.ApplySnapshot(snap)
	server, err := caller.NewServer(caller.ServerOptions{
		Listen: "127.0.0.1:0", MaxBodyBytes: 4096, MaxHeaderBytes: 4096, RequestReadTimeout: 500 * time.Millisecond,
		Ready: func() error { return nil }, Logger: zerolog.Nop(),
	}, e, store, nil)
	if err != nil {
		t.Fatal(err)
	}
	go server.Run(t.Context())
	go func() {
		for s := range l.submissions {
			s.sink(request.Event{Kind: request.EventHead, Status: 200, Headers: []request.Header{{Name: "Content-Type", Value: "text/plain"}}})
			s.sink(request.Event{Kind: request.EventData, Data: []byte("answer")})
			s.sink(successEnd)
		}
	}()
	return server.Address(), l
}

// validBody is the body of a chat completion request that is accepted.
const validBody = `{"model":"models","messages":[{"role":"user","content":"hi"}]}`

// sendRaw sends text over a new connection and returns the HTTP status of the response, or 0
// if the connection is closed without a response.
func sendRaw(t *testing.T, address, text string) int {
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

// TestInvalidInput checks that malformed, oversized and unauthorized requests get a 4xx
// status or a closed connection, and that the next valid request is served.
func TestInvalidInput(t *testing.T) {
	address, _ := startServer(t)
	post := func(headers, body string) string {
		return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + headers + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
	}
	auth := "Authorization: Bearer good\r\n"
	tests := []struct {
		name string
		text string
		want []int
	}{
		{"valid request", post(auth, validBody), []int{200}},
		{"no key", post("", validBody), []int{401}},
		{"wrong key", post("Authorization: Bearer bad\r\n", validBody), []int{401}},
		{"other scheme", post("Authorization: Basic good\r\n", validBody), []int{401}},
		{"customer without access", post("Authorization: Bearer out\r\n", validBody), []int{403}},
		{"unknown service", post(auth, `{"model":"nothing"}`), []int{404}},
		{"plain service as a model", post(auth, `{"model":"closed"}`), []int{404}},
		{"malformed JSON", post(auth, `{"model":`), []int{400}},
		{"JSON that is not an object", post(auth, `[1,2]`), []int{400}},
		{"service name with line breaks", post(auth, `{"model":"models\r\nX-Evil: 1"}`), []int{404}},
		{"body too large", post(auth, strings.Repeat("x", 5000)), []int{413}},
		{"header too large", post(auth+"X-Long: "+strings.Repeat("y", 8000)+"\r\n", validBody), []int{431, 400, 0}},
		{"too many headers", "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 5000), []int{431, 400, 0}},
		{"negative Content-Length", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: -5\r\n\r\n", []int{400, 0}},
		{"invalid chunk size", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n", []int{400, 0}},
		{"incomplete body", "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 100\r\n\r\nabc", []int{400, 408, 0}},
		{"not HTTP", "\x16\x03\x01\x00\x00 hello\r\n\r\n", []int{400, 0}},
		{"path with parent directories", "GET /services/closed/../../admin HTTP/1.1\r\nHost: x\r\n" + auth + "\r\n", []int{403, 404}},
		{"unknown path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n", []int{404}},
	}
	for _, tt := range tests {
		got, ok := sendRaw(t, address, tt.text), false
		for _, want := range tt.want {
			ok = ok || got == want
		}
		if !ok {
			t.Errorf("%s: status %d, want one of %v", tt.name, got, tt.want)
		}
		if got := sendRaw(t, address, post(auth, validBody)); got != 200 {
			t.Fatalf("valid request after %s: status %d, want 200", tt.name, got)
		}
	}
}

// TestSlowSendersDoNotBlockOthers checks that valid requests are served while many
// connections have sent only part of a request.
func TestSlowSendersDoNotBlockOthers(t *testing.T) {
	address, _ := startServer(t)
	for range 200 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "POST /v1/chat/completions HTTP/1.1\r\nHost:")
	}
	text := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer good\r\n" +
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(validBody), validBody)
	for range 20 {
		if got := sendRaw(t, address, text); got != 200 {
			t.Errorf("valid request beside incomplete ones: status %d, want 200", got)
		}
	}
}
