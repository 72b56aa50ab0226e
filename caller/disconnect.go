package caller

// This file defines callerDisconnected, which detects that a caller closed its
// connection while it waits for a response.

import (
	"crypto/tls"
	"net"
	"syscall"
)

// callerDisconnected reports whether the caller has closed or reset a connection. It
// peeks without consuming data, so a request that the caller has pipelined is not lost.
// It returns false if the state of the connection cannot be read.
func callerDisconnected(c net.Conn) bool {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
		return true
	})
	return closed && err == nil
}
