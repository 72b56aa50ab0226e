package ingress

// This file defines reply, which writes a response to a client connection.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// reply writes one response. The end of a chunked body is written only if it is complete.
type reply struct {
	conn      *conn
	closeConn bool // the connection is closed after this response
	keepConn  bool // the response is complete and the connection stays open
	started   bool
	status    int
	buffer    []byte
	written   int
	http10    bool // the client uses HTTP/1.0, which has no chunked encoding
	headOnly  bool // the request method is HEAD
}

// writeTimeout is how long a client may take to accept one write.
const writeTimeout = 10 * time.Second

func newReply(c *conn, r *http.Request) *reply {
	http10 := r.ProtoMajor == 1 && r.ProtoMinor == 0
	return &reply{conn: c, closeConn: r.Close || http10, http10: http10, headOnly: r.Method == http.MethodHead}
}

// bufferStatusLine buffers the status line, with Connection: close if the connection ends.
func (o *reply) bufferStatusLine(status int) {
	o.started, o.status = true, status
	if o.conn.server != nil && o.conn.server.stopping.Load() {
		o.closeConn = true
	}
	b := append(o.buffer[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	o.buffer = append(b, "\r\n"...)
	if o.closeConn {
		o.buffer = appendHeader(o.buffer, "Connection", "close")
	}
}

// writeComplete writes a response with a body of known length.
func (o *reply) writeComplete(status int, header, body []byte) {
	o.bufferStatusLine(status)
	b := append(o.buffer, header...)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	}
	b = append(b, "\r\n"...)
	if !o.headOnly {
		b = append(b, body...)
	}
	o.buffer = b
	o.keepConn = o.flush() == nil && !o.closeConn
}

// bufferHead buffers the head of a response whose length is not known yet.
func (o *reply) bufferHead(status int, header []byte) {
	if o.http10 {
		o.closeConn = true
	}
	o.bufferStatusLine(status)
	o.buffer = append(o.buffer, header...)
	if !o.http10 {
		o.buffer = appendHeader(o.buffer, "Transfer-Encoding", "chunked")
	}
	o.buffer = append(o.buffer, "\r\n"...)
}

// writeChunk writes a part of the body, after the head if that is still buffered.
func (o *reply) writeChunk(b []byte) error {
	if o.http10 {
		o.buffer = append(o.buffer, b...)
		return o.flush()
	}
	o.buffer = strconv.AppendInt(o.buffer, int64(len(b)), 16)
	o.buffer = append(o.buffer, "\r\n"...)
	o.buffer = append(o.buffer, b...)
	o.buffer = append(o.buffer, "\r\n"...)
	return o.flush()
}

// finish ends a response that was begun with bufferHead.
func (o *reply) finish() {
	if !o.http10 {
		o.buffer = append(o.buffer, "0\r\n\r\n"...)
	}
	o.keepConn = o.flush() == nil && !o.closeConn
}

// flush writes the buffer to the client within writeTimeout.
func (o *reply) flush() error {
	o.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := o.conn.Write(o.buffer)
	o.written += n
	o.buffer = o.buffer[:0]
	return err
}

// errorBody is the JSON body of an error response of the router.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code   string `json:"code"`
	Remedy string `json:"remedy"`
}

// remedies tells clients what to do, by status.
var remedies = map[int]string{
	http.StatusServiceUnavailable: "the request has not run; send it again after the time in Retry-After",
	http.StatusBadGateway:         "the request may have run; send it again only if it may be repeated",
	http.StatusGatewayTimeout:     "the request may have run; send it again only if it may be repeated",
	http.StatusNotFound:           "check the host and the path",
	http.StatusUnauthorized:       "send a valid key",
}

// writeError writes an error response of the router.
func (o *reply) writeError(v *result) {
	body, err := json.Marshal(errorBody{errorDetail{v.cause, remedies[v.status]}})
	if err != nil {
		body = nil
	}
	header := appendHeader(make([]byte, 0, 128), "Content-Type", "application/json")
	if v.status == http.StatusServiceUnavailable && v.retryAfter > 0 {
		header = appendHeader(header, "Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
	}
	if o.conn.server != nil && o.conn.server.admission.halfFull() {
		o.closeConn = true
	}
	o.writeComplete(v.status, header, body)
}
