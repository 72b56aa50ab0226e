package peer_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"bulrushtally/peer"
	"bulrushtally/responsehead/headtest"
)

// insertIntoHead starts a proxy before an address that inserts a line into the head of the response on each connection. It runs
// until the test ends.
func insertIntoHead(t *testing.T, address, line string) (proxy string) {
	t.Helper()
	return headtest.Listen(t, func(client *net.TCPConn) {
		server, err := net.Dial("tcp4", address)
		if err != nil {
			return
		}
		defer server.Close()
		go func() {
			io.Copy(server, client)
			server.Close()
		}()
		head := make([]byte, 4<<10)
		n, err := server.Read(head)
		if err != nil {
			return
		}
		client.Write(bytes.Replace(head[:n], []byte("\r\n"), []byte("\r\n"+line+"\r\n"), 1))
		io.Copy(client, server)
	})
}

func TestLinkIsNotOpenedByABrokenResponse(t *testing.T) {
	a, b := newTestRouter(t, "a", secret), newTestRouter(t, "b", secret)
	if _, err := a.Connect("", insertIntoHead(t, b.Address(), "Name: x")); err != nil {
		t.Fatalf("valid response: got %v, want a link", err)
	}
	var refused *peer.ConnectError
	for _, line := range []string{"Bad Name: x", "Name : x", " Name: x", "Bad\x01Name: x", ": x"} {
		if _, err := a.Connect("", insertIntoHead(t, b.Address(), line)); !errors.As(err, &refused) {
			t.Errorf("line %q: got %v, want a ConnectError", line, err)
		}
	}
	headtest.Each(t, func(t *testing.T, f headtest.Fault) {
		address := headtest.Serve(t, func(*http.Request) string {
			return f.Response("Upgrade: websocket\r\nConnection: Upgrade\r\n", "")
		})
		if _, err := a.Connect("", address); !errors.As(err, &refused) {
			t.Errorf("got %v, want a ConnectError", err)
		}
	})
}
