package ingress

// This file defines reply, the answer on a client's connection.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// reply writes one answer. Its end is written only when the answer is complete.
type reply struct {
	conn   *conn
	close  bool // the connection ends with this answer
	keep   bool // the answer is complete and the connection stays
	begun  bool
	status int
	buffer []byte
	bytes  int
	old    bool // the client speaks HTTP/1.0 and takes no chunks
	head   bool // the client asked for the head alone
}

// writeTimeout is how long a client may take to accept one write.
const writeTimeout = 10 * time.Second

func newReply(c *conn, r *http.Request) *reply {
	old := r.ProtoMajor == 1 && r.ProtoMinor == 0
	return &reply{conn: c, close: r.Close || old, old: old, head: r.Method == http.MethodHead}
}

func (o *reply) start(status int) {
	o.begun, o.status = true, status
	if o.conn.server != nil && o.conn.server.stopping.Load() {
		o.close = true
	}
	b := append(o.buffer[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	o.buffer = append(b, "\r\n"...)
	if o.close {
		o.buffer = appendHeader(o.buffer, "Connection", "close")
	}
}

// whole writes a complete answer.
func (o *reply) whole(status int, header, body []byte) {
	o.start(status)
	b := append(o.buffer, header...)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	}
	b = append(b, "\r\n"...)
	if !o.head {
		b = append(b, body...)
	}
	o.buffer = b
	o.keep = o.flush() == nil && !o.close
}

// begin buffers the head of an answer whose length is not known yet.
func (o *reply) begin(status int, header []byte) {
	if o.old {
		o.close = true
	}
	o.start(status)
	o.buffer = append(o.buffer, header...)
	if !o.old {
		o.buffer = appendHeader(o.buffer, "Transfer-Encoding", "chunked")
	}
	o.buffer = append(o.buffer, "\r\n"...)
}

// chunk writes a part of the body, with the head if that is still buffered.
func (o *reply) chunk(b []byte) error {
	if o.old {
		o.buffer = append(o.buffer, b...)
		return o.flush()
	}
	o.buffer = strconv.AppendInt(o.buffer, int64(len(b)), 16)
	o.buffer = append(o.buffer, "\r\n"...)
	o.buffer = append(o.buffer, b...)
	o.buffer = append(o.buffer, "\r\n"...)
	return o.flush()
}

// end marks the answer as complete.
func (o *reply) end() {
	if !o.old {
		o.buffer = append(o.buffer, "0\r\n\r\n"...)
	}
	o.keep = o.flush() == nil && !o.close
}

func (o *reply) flush() error {
	o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := o.conn.Write(o.buffer)
	o.bytes += n
	o.buffer = o.buffer[:0]
	return err
}

// failure is the body of an answer of the router's own.
type failure struct {
	Error failureText `json:"error"`
}

type failureText struct {
	Code   string `json:"code"`
	Remedy string `json:"remedy"`
}

var remedies = map[int]string{
	http.StatusServiceUnavailable: "the request has not run; send it again after the time in Retry-After",
	http.StatusBadGateway:         "the request may have run; send it again only if it may be repeated",
	http.StatusGatewayTimeout:     "the request may have run; send it again only if it may be repeated",
	http.StatusNotFound:           "check the host and the path",
	http.StatusUnauthorized:       "send a valid key",
}

// fail writes an answer of the router's own.
func (o *reply) fail(v *verdict) {
	body, err := json.Marshal(failure{failureText{v.cause, remedies[v.status]}})
	if err != nil {
		body = nil
	}
	header := appendHeader(make([]byte, 0, 128), "Content-Type", "application/json")
	if v.status == http.StatusServiceUnavailable && v.after > 0 {
		header = appendHeader(header, "Retry-After", strconv.FormatFloat(v.after.Seconds(), 'f', 3, 64))
	}
	if o.conn.server != nil && o.conn.server.door.crowded() {
		o.close = true
	}
	o.whole(v.status, header, body)
}
