package caller

// This file defines gone, which notices that a waiting caller has hung up.

import (
	"crypto/tls"
	"net"
	"syscall"
)

// gone reports whether the other side of a connection has closed it. It reads
// nothing, so a request that the caller sent meanwhile is not lost.
func gone(c net.Conn) bool {
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
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n == 0 && err == nil || err == syscall.ECONNRESET
		return true
	})
	return closed && err == nil
}
