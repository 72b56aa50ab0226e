package ingress

// This file defines responseWriter, which writes a response to a caller's connection.

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// responseWriter writes one response. The end of a chunked body is written only if it is complete.
type responseWriter struct {
	conn      *conn
	closeConn bool // the connection is closed after this response
	keepConn  bool // the response is complete and the connection stays open
	started   bool
	status    int
	buffer    []byte
	written   int
	http10    bool // the caller uses HTTP/1.0, which has no chunked encoding
	headOnly  bool // the request method is HEAD
}

// writeTimeout is how long a caller may take to accept one write.
const writeTimeout = 10 * time.Second

// maxJoinedBodyBytes is the length of the longest body that is copied behind its head, so that both are written at once.
const maxJoinedBodyBytes = 16 << 10

func newResponseWriter(c *conn, r *http.Request) *responseWriter {
	http10 := r.ProtoMajor == 1 && r.ProtoMinor == 0
	return &responseWriter{conn: c, closeConn: r.Close || http10, http10: http10, headOnly: r.Method == http.MethodHead}
}

// bufferStatusLine buffers the status line, with Connection: close if the connection ends.
func (w *responseWriter) bufferStatusLine(status int) {
	w.started, w.status = true, status
	if w.conn.server != nil && w.conn.server.stopping.Load() {
		w.closeConn = true
	}
	b := append(w.buffer[:0], "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	w.buffer = append(b, "\r\n"...)
	if w.closeConn {
		w.buffer = appendHeader(w.buffer, "Connection", "close")
	}
}

// writeComplete writes a response with a body of known length.
func (w *responseWriter) writeComplete(status int, header, body []byte) {
	w.bufferStatusLine(status)
	b := append(w.buffer, header...)
	if status != http.StatusNoContent && status != http.StatusNotModified {
		b = appendHeader(b, "Content-Length", strconv.Itoa(len(body)))
	}
	w.buffer = append(b, "\r\n"...)
	if w.headOnly {
		body = nil
	}
	if len(body) <= maxJoinedBodyBytes {
		w.buffer = append(w.buffer, body...)
		body = nil
	}
	err := w.flush()
	if err == nil && len(body) > 0 {
		w.buffer = body
		err = w.flush()
	}
	w.keepConn = err == nil && !w.closeConn
}

// bufferHead buffers the head of a response whose length is not known yet.
func (w *responseWriter) bufferHead(status int, header []byte) {
	if w.http10 {
		w.closeConn = true
	}
	w.bufferStatusLine(status)
	w.buffer = append(w.buffer, header...)
	if !w.http10 {
		w.buffer = appendHeader(w.buffer, "Transfer-Encoding", "chunked")
	}
	w.buffer = append(w.buffer, "\r\n"...)
}

// writeChunk writes a part of the body, after the head if that is still buffered.
func (w *responseWriter) writeChunk(b []byte) error {
	if w.http10 {
		w.buffer = append(w.buffer, b...)
		return w.flush()
	}
	w.buffer = strconv.AppendInt(w.buffer, int64(len(b)), 16)
	w.buffer = append(w.buffer, "\r\n"...)
	w.buffer = append(w.buffer, b...)
	w.buffer = append(w.buffer, "\r\n"...)
	return w.flush()
}

// finish ends a response that was begun with bufferHead.
func (w *responseWriter) finish() {
	if !w.http10 {
		w.buffer = append(w.buffer, "0\r\n\r\n"...)
	}
	w.keepConn = w.flush() == nil && !w.closeConn
}

// maxKeptBufferBytes is the largest capacity of a buffer that is kept for the next chunk.
const maxKeptBufferBytes = 16 << 10

// flush writes the buffer to the caller within writeTimeout.
func (w *responseWriter) flush() error {
	w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := w.conn.Write(w.buffer)
	w.written += n
	w.buffer = w.buffer[:0]
	if cap(w.buffer) > maxKeptBufferBytes {
		w.buffer = nil
	}
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

// remedies tells callers what to do, by status.
var remedies = map[int]string{
	http.StatusServiceUnavailable: "the request has not run; send it again after the time in Retry-After",
	http.StatusTooManyRequests:    "the request has not run, since your requests use up your share; send it again after the time in Retry-After",
	http.StatusBadGateway:         "the request may have run; send it again only if it may be repeated",
	http.StatusGatewayTimeout:     "the request may have run; send it again only if it may be repeated",
	http.StatusNotFound:           "check the host and the path",
	http.StatusUnauthorized:       "send a valid key",
}

// writeError writes an error response of the router.
func (w *responseWriter) writeError(v *result) {
	body, err := json.Marshal(errorBody{errorDetail{v.cause, remedies[v.status]}})
	if err != nil {
		body = nil
	}
	header := appendHeader(make([]byte, 0, 128), "Content-Type", "application/json")
	if v.retryAfter > 0 {
		header = appendHeader(header, "Retry-After", strconv.FormatFloat(v.retryAfter.Seconds(), 'f', 3, 64))
	}
	if w.conn.server != nil && w.conn.server.admission.halfFull() {
		w.closeConn = true
	}
	w.writeComplete(v.status, header, body)
}
