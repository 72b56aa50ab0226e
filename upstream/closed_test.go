package upstream_test

import (
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"bulrushtally/upstream"
)

// A cut breaks all requests to the servers behind it; counted as crashes, they held parts that all prompts of a customer share.
func TestSilentConnectionIsNotTakenForACrash(t *testing.T) {
	tests := []struct {
		err    error
		closed bool
	}{
		{io.ErrUnexpectedEOF, true},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)}, true},
		{&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)}, false},
		{&net.OpError{Op: "read", Err: os.ErrDeadlineExceeded}, false},
		{&net.OpError{Op: "read", Err: net.ErrClosed}, false},
	}
	for _, test := range tests {
		err := &upstream.ResponseError{Address: "127.0.0.1:1", Err: fmt.Errorf("read: %w", test.err)}
		if got := upstream.ClosedByServer(err); got != test.closed {
			t.Errorf("%v: got closed by the server %v, want %v", test.err, got, test.closed)
		}
	}
}
