package responsehead_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"bulrushtally/responsehead"
)

// exchange is what a client writes and what comes back for it.
type exchange struct{ request, response string }

// readAll returns what a Conn reads of the responses, of which each comes in parts of one byte or as a whole, and its first error.
func readAll(t *testing.T, exchanges []exchange, whole bool) (read string, err error) {
	t.Helper()
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		defer server.Close()
		request := make([]byte, 1<<10)
		for _, e := range exchanges {
			io.ReadFull(server, request[:len(e.request)])
			if whole {
				io.WriteString(server, e.response)
				continue
			}
			for i := range e.response {
				io.WriteString(server, e.response[i:i+1])
			}
		}
	}()
	c := responsehead.NewConn(client)
	for _, e := range exchanges {
		io.WriteString(c, e.request)
		response := make([]byte, len(e.response))
		n, err := io.ReadFull(c, response)
		read += string(response[:n])
		if err != nil {
			return read, err
		}
	}
	return read, nil
}

func TestConnChecksTheHeadOfEachResponse(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nBad Name:"
	tests := []struct {
		name      string
		exchanges []exchange
		valid     int // bytes that are read before an error, or all
	}{
		{"two valid responses", []exchange{{"a", valid}, {"b", valid}}, 2 * len(valid)},
		{"invalid second response", []exchange{{"a", valid}, {"b", "HTTP/1.1 000 Broken\r\n\r\n"}}, len(valid) + 12},
		{"interim response", []exchange{{"a", "HTTP/1.1 100 Continue\r\n\r\n" + valid}}, 25 + len(valid)},
		{"invalid response after an interim one", []exchange{{"a", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken\r\n\r\n"}}, 25 + 12},
		{"upgrade", []exchange{{"a", "HTTP/1.1 101 Switching Protocols\r\n\r\nno HTTP"}, {"b", "no HTTP\r\n"}}, 36 + 7 + 9},
	}
	for _, test := range tests {
		all := ""
		for _, e := range test.exchanges {
			all += e.response
		}
		for _, whole := range []bool{false, true} {
			got, err := readAll(t, test.exchanges, whole)
			var invalid *responsehead.Error
			if got != all[:test.valid] || errors.As(err, &invalid) != (test.valid < len(all)) {
				t.Errorf("%s, as a whole %v: got %q and error %v, want the first %d bytes", test.name, whole, got, err, test.valid)
			}
		}
	}
}

// A parser that looks ahead may drop an error. The bytes behind those that were refused must not reach it.
func TestConnReadsNothingAfterAnInvalidHead(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	go func() {
		defer server.Close()
		for _, part := range []string{"HTTP/1.1 200 OK\r\n", " Bad: x\r\n", "Id: r\r\n\r\n"} {
			io.WriteString(server, part)
		}
	}()
	r := bufio.NewReader(responsehead.NewConn(client))
	if line, err := r.ReadString('\n'); err != nil {
		t.Fatalf("got %q and error %v, want the status line", line, err)
	}
	for range 3 {
		_, err := r.Peek(1)
		var invalid *responsehead.Error
		if !errors.As(err, &invalid) {
			t.Errorf("got %v, want an Error each time", err)
		}
	}
}
