// Package testport gives tests ports of loopback for processes that they start and stop.
//
// The ports lie below those that the kernel gives to outgoing connections, which could take a process's
// port before it starts or while it is down. A lock file for each port keeps tests of other processes
// away from it.
package testport

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"golang.org/x/sys/unix"
)

// Ports that are given out.
const firstPort, lastPort = 20000, 30000

// Free returns a port of loopback that is free for TCP and UDP. No other call returns it, in any process,
// until the test ends.
func Free(t testing.TB) int {
	t.Helper()
	for port := firstPort; port < lastPort; port++ {
		lock, err := lockPort(port)
		if err != nil {
			continue
		}
		if !unused(port) {
			lock.Close()
			continue
		}
		t.Cleanup(func() { lock.Close() })
		return port
	}
	t.Fatalf("no free port from %d to %d", firstPort, lastPort-1)
	return 0
}

// Address returns a loopback address with a port as Free returns it.
func Address(t testing.TB) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", Free(t))
}

// lockPort locks a port's lock file, which closing the file unlocks. It fails if the file is locked.
func lockPort(port int) (*os.File, error) {
	name := filepath.Join(os.TempDir(), fmt.Sprintf("bulrushtally-test-port-%d.lock", port))
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o666)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// unused reports whether nothing listens on a port.
func unused(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return false
	}
	defer ln.Close()
	c, err := net.ListenPacket("udp4", address)
	if err != nil {
		return false
	}
	c.Close()
	return true
}
