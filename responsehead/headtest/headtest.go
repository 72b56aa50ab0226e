// Package headtest gives tests responses that are not valid HTTP/1 or too long, and servers that send them.
package headtest

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Fault is a way in which the head of a response is not valid.
type Fault struct {
	Name   string
	status string // code and reason
	format string // of the last fields and the body; its arguments are the length of the body and the body
}

// withLength is a format that is valid.
const withLength = "Content-Length: %[1]d\r\n\r\n%[2]s"

// Faults are the faults that a client must find.
var Faults = []Fault{
	{"status 000", "000 Broken", withLength},
	{"status 099", "099 Broken", withLength},
	{"status with a sign", "+20 Broken", withLength},
	{"status 600", "600 Broken", withLength},
	{"space in a name", "200 OK", "Bad Name: x\r\n" + withLength},
	{"space before a name", "200 OK", " Name: x\r\n" + withLength},
	{"space after a name", "200 OK", "Name : x\r\n" + withLength},
	{"tab in a name", "200 OK", "Bad\tName: x\r\n" + withLength},
	{"control byte in a name", "200 OK", "Bad\x01Name: x\r\n" + withLength},
	{"carriage return in a name", "200 OK", "Bad\rName: x\r\n" + withLength},
	{"no name", "200 OK", ": x\r\n" + withLength},
	{"space in Content-Length", "200 OK", "Content Length: %[1]d\r\n\r\n%[2]s%[2]s"},
	{"space after Content-Length", "200 OK", "Content-Length : %[1]d\r\n\r\n%[2]s%[2]s"},
	{"space after Transfer-Encoding", "200 OK", "Transfer-Encoding : chunked\r\n\r\n%[1]x\r\n%[2]s\r\n0\r\n\r\n"},
	{"space in a name, status 503", "503 Service Unavailable", "Bad Name: x\r\n" + withLength},
}

// Response returns a response with the fault and with a body. Its head begins with fields, each of which ends its line.
func (f Fault) Response(fields, body string) string {
	return "HTTP/1.1 " + f.status + "\r\n" + fields + fmt.Sprintf(f.format, len(body), body)
}

// Each runs a test for each of Faults.
func Each(t *testing.T, test func(t *testing.T, f Fault)) {
	t.Helper()
	for _, f := range Faults {
		t.Run(f.Name, func(t *testing.T) { test(t, f) })
	}
}

// LongLength is the length of a body that no client can hold, in bytes.
type LongLength int64

// LongLengths are lengths for which a client must neither allocate nor wait. Adding one to the last overflows.
var LongLengths = []LongLength{1 << 40, math.MaxInt64 - 1, math.MaxInt64}

// Response returns a response with that length, of whose body only part follows. Its head begins with fields, each of which ends its
// line. The status is a code and a reason.
func (l LongLength) Response(status, fields, part string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, l, part)
}

// EachLongLength runs a test for each of LongLengths.
func EachLongLength(t *testing.T, test func(t *testing.T, l LongLength)) {
	t.Helper()
	for _, l := range LongLengths {
		t.Run(fmt.Sprint(l), func(t *testing.T) { test(t, l) })
	}
}

// Serve starts a server that reads one request on each connection, sends what respond returns for it, and closes the connection.
// It runs until the test ends.
func Serve(t testing.TB, respond func(*http.Request) string) (address string) {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) {
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err == nil {
			io.WriteString(c, respond(r))
		}
	})
}

// resetDelay is long enough for a client to fill the buffers of the sockets with an upload.
const resetDelay = 50 * time.Millisecond

// ServeReset starts a server that reads the head of one request on each connection, sends a response without a length whose body
// is cut off after part, and resets the connection. It runs until the test ends.
func ServeReset(t testing.TB, fields, part string) (address string) {
	t.Helper()
	return Listen(t, func(c *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+part)
		time.Sleep(resetDelay)
		c.SetLinger(0)
	})
}

// Upload is a request body that the buffers of sockets do not take as a whole.
var Upload = strings.Repeat("0123456789abcdef", 4<<20/16)

// Listen starts a server that serves each connection on its own and then closes it. It runs until the test ends.
func Listen(t testing.TB, serve func(c *net.TCPConn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c.(*net.TCPConn))
			}()
		}
	}()
	return ln.Addr().String()
}
