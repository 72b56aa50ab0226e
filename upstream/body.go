package upstream

// This file reads the body of a response.

import (
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"
)

// Read reads from the response body. It returns io.EOF only at the end of a complete
// body; other errors are *ResponseError.
func (x *Exchange) Read(b []byte) (int, error) {
	n, err := x.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		if err := x.connectionError(); err != nil {
			return n, &ResponseError{x.conn.address, err}
		}
		x.complete = true
		x.response.Trailer = nil // it is not forwarded
		x.pool.memory.setReceived(x)
		return n, io.EOF
	}
	if err != nil {
		return n, &ResponseError{x.conn.address, x.explain(err)}
	}
	return n, nil
}

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// connectionError returns why the connection broke, if that ended the response, or nil if the server ended it. Only a response
// with neither a length nor chunks may seem to be complete when the connection breaks.
//
// The kernel reports the error of a connection, such as a reset, to one call only. If that is the write of a long request body, the
// read of the response sees an end of file, as if the server had closed the connection. If the server has closed it before it broke,
// the write gets EPIPE. A write that still goes on has got no error, and the rest of the request is not waited for.
func (x *Exchange) connectionError() error {
	hasNoBody := x.response.Body == http.NoBody // as after HEAD
	if x.bodyWritten == nil || !x.EndsWithConnection() || hasNoBody {
		return nil
	}
	x.conn.SetWriteDeadline(longAgo)
	<-x.bodyWritten
	var errno syscall.Errno
	if errors.As(x.writeErr, &errno) && errno != syscall.EPIPE {
		return x.writeErr
	}
	return nil
}

// ReadAll returns the complete response body. It returns a *ResponseError if the body
// cannot be read to its end, is too long, or does not fit beside what other exchanges hold. A body whose length is known to be
// too long is not read.
func (x *Exchange) ReadAll() ([]byte, error) {
	length := x.bodyLength()
	if length > maxResponseBodyBytes {
		return nil, &ResponseError{x.conn.address, errBodyTooLong}
	}
	b := make([]byte, 0, firstCapacity(length))
	if err := x.HoldBody(int64(cap(b))); err != nil {
		return nil, err
	}
	for {
		if len(b) == cap(b) {
			capacity := nextCapacity(int64(cap(b)), length)
			if err := x.HoldBody(capacity); err != nil {
				return nil, err
			}
			b = append(make([]byte, 0, capacity), b...)
		}
		n, err := x.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return nil, err
		case len(b) > maxResponseBodyBytes:
			return nil, &ResponseError{x.conn.address, errBodyTooLong}
		}
	}
}

// bodyLength returns the length of the response body in bytes, or -1 if that is not known. The server may have given any length.
func (x *Exchange) bodyLength() int64 {
	if x.response.Body == http.NoBody { // as after HEAD, where the server may give the length of what GET returns
		return 0
	}
	return x.response.ContentLength
}

// firstCapacity returns the first capacity of the buffer for a body. The length is at most maxResponseBodyBytes, so that sums with
// it do not overflow, or -1 if it is not known. A server that only says that its body is long gets no more than one that sends it.
func firstCapacity(length int64) int64 {
	const unknownLength = 1 << 10
	if length <= 0 {
		return unknownLength
	}
	return min(length+1, firstBodyBytes)
}

// nextCapacity returns the capacity of the buffer that replaces a full one, for a length as in firstCapacity. One byte more than
// the length leaves room to read its end.
func nextCapacity(capacity, length int64) int64 {
	if length >= capacity {
		return min(2*capacity, length+1)
	}
	return 2 * capacity
}
