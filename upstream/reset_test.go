package upstream_test

// This file tests responses without a length that end while the request is still being written.

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bulrushtally/upstream"
)

// uploadBytes is the length of a request body that the sockets do not take as a whole.
const uploadBytes = 4 << 20

// beginUpload sends a long request to a server that answers as answer says, and returns the exchange once the server has
// closed the connection. The exchange's context ends with the test.
func beginUpload(t *testing.T, method string, answer func(c *net.TCPConn, r *http.Request)) *upstream.Exchange {
	t.Helper()
	closed := make(chan struct{})
	address := startAnsweringServer(t, func(c net.Conn, r *http.Request) {
		defer close(closed)
		answer(c.(*net.TCPConn), r)
		c.Close()
	})
	p := upstream.NewPool(upstream.DefaultOptions, "")
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	t.Cleanup(cancel)
	r := newRequest("r")
	r.Method = method
	r.Head = fmt.Appendf(nil, "%s /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", method, uploadBytes)
	r.Body = make([]byte, uploadBytes)
	x, err := p.Send(ctx, address, r)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(x.Close)
	<-closed
	time.Sleep(50 * time.Millisecond) // for the writer of the request to meet what the server sent last
	return x
}

const uploadHead = "HTTP/1.1 200 OK\r\nId: r\r\n"

// reset answers and resets the connection, of which the client is writing by then.
func reset(text string) func(c *net.TCPConn, _ *http.Request) {
	return func(c *net.TCPConn, _ *http.Request) {
		io.WriteString(c, text)
		time.Sleep(50 * time.Millisecond)
		c.SetLinger(0)
	}
}

// The write met the reset and took the connection's error with it; the read after it saw the end that a whole answer has.
func TestPartOfAnUploadsAnswerBeforeAResetIsNotComplete(t *testing.T) {
	x := beginUpload(t, "POST", reset(uploadHead+"\r\npart"))
	body, err := x.ReadAll()
	var broken *upstream.ResponseError
	if !errors.As(err, &broken) || !upstream.ClosedByServer(err) {
		t.Errorf("got body %q and error %v, want a ResponseError of a server that broke off", body, err)
	}
}

func TestWholeAnswersToAnUploadArrive(t *testing.T) {
	tests := []struct {
		name, method string
		answer       func(c *net.TCPConn, r *http.Request)
		want         string
	}{
		{"early, with a length, and a reset", "POST", reset(uploadHead + "Content-Length: 5\r\n\r\nwhole"), "whole"},
		{"early, in chunks, and a reset", "POST", reset(uploadHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"), "whole"},
		{"early, without a body, and a reset", "HEAD", reset(uploadHead + "\r\n"), ""},
		{"early, without a length", "POST", func(c *net.TCPConn, r *http.Request) {
			io.WriteString(c, uploadHead+"\r\nwhole")
			c.CloseWrite()
			io.Copy(io.Discard, r.Body)
		}, "whole"},
		{"early, without a length, and the rest of the request not read", "POST", func(c *net.TCPConn, _ *http.Request) {
			io.WriteString(c, uploadHead+"\r\nwhole")
			c.CloseWrite()
			time.Sleep(50 * time.Millisecond) // the reset of Close comes after the end
		}, "whole"},
		{"without a length, after the whole request", "POST", func(c *net.TCPConn, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			io.WriteString(c, uploadHead+"\r\nwhole")
		}, "whole"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x := beginUpload(t, test.method, test.answer)
			if body, err := x.ReadAll(); string(body) != test.want || err != nil {
				t.Errorf("got body %q and error %v, want %q", body, err, test.want)
			}
		})
	}
}

// The server says that its answer has ended, and reads no more: that the request is still being written must not delay it.
func TestWholeAnswerDoesNotWaitForTheRestOfTheUpload(t *testing.T) {
	release := make(chan struct{})
	address := startAnsweringServer(t, func(c net.Conn, _ *http.Request) {
		io.WriteString(c, uploadHead+"\r\nwhole")
		c.(*net.TCPConn).CloseWrite()
		<-release
	})
	defer close(release)
	p := upstream.NewPool(upstream.DefaultOptions, "")
	defer p.Close()
	r := newRequest("r")
	r.Body = make([]byte, uploadBytes)
	x, err := p.Send(t.Context(), address, r)
	if err != nil {
		t.Fatal(err)
	}
	defer x.Close()
	read := make(chan string, 1)
	go func() {
		body, err := x.ReadAll()
		read <- fmt.Sprintf("%s, %v", body, err)
	}()
	select {
	case got := <-read:
		if want := "whole, <nil>"; got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	case <-time.After(5 * time.Second):
		t.Error("got no answer within 5 s, want it though the server does not read the rest of the request")
	}
}
