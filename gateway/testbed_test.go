package gateway_test

// This file defines testbed, which runs a store, backend servers and one gateway for a test.

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/gateway"
	"bulrushtally/platform/platformtest"
	"bulrushtally/settings"
)

// testbed is a stand-in of the platform's store, stand-ins of backend servers, and one
// gateway, all on loopback.
type testbed struct {
	t             testing.TB
	store         *platformtest.Store
	gateway       *gateway.Gateway
	logs          *lockedBuffer
	stop          context.CancelFunc
	client        *http.Client
	listedServers int // number of entries that startServer put into the store
}

// freeUDPPort returns a UDP port of loopback that is not in use.
func freeUDPPort(t testing.TB) int {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

// gatewaySettings are the settings of a gateway that tests vary.
type gatewaySettings struct {
	graceSeconds  int // from SIGTERM to SIGKILL
	descriptors   int
	memoryMB      int
	retrySlack    int    // requests that the fleet may send again beside those that its share of all allows
	metricsListen string // no metrics are served if empty
	bounds        string // further lines of the section [bounds]
}

// usualSettings are the settings of tests that vary none.
var usualSettings = gatewaySettings{graceSeconds: 8, descriptors: 200, memoryMB: 256, retrySlack: 50}

// startGateway runs a gateway that finds the store at an address until the returned function is called. It also returns the
// gateway's log.
func startGateway(t testing.TB, storeAddress, name string, varied gatewaySettings) (*gateway.Gateway, *lockedBuffer, context.CancelFunc) {
	t.Helper()
	text := fmt.Sprintf(`[vm]
name = %s
zone = zone-a
ip = 127.0.0.1
first-start = true
descriptors = %d
memory-mb = %d
[callers]
listen = 127.0.0.1:0
ready-listen = 127.0.0.1:0
[peers]
port = %d
[platform]
address = %s
[bounds]
revoke-ms = 2500
grace-s = %d
retry-slack = %d
%s[metrics]
listen = %s
`, name, varied.descriptors, varied.memoryMB, freeUDPPort(t), storeAddress, varied.graceSeconds, varied.retrySlack, varied.bounds, varied.metricsListen)
	s, err := settings.ParseGateway([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	logs := &lockedBuffer{}
	g, err := gateway.New(s, zerolog.New(logs))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	go g.Run(ctx)
	return g, logs, stop
}

// newTestbed starts a store and a gateway. The store holds version 1 of a configuration
// with the services, or none if no services are given.
func newTestbed(t testing.TB, services ...map[string]any) *testbed {
	t.Helper()
	return newTestbedWith(t, usualSettings, services...)
}

// newTestbedWith starts a store and a gateway as newTestbed does, with settings of its own.
func newTestbedWith(t testing.TB, varied gatewaySettings, services ...map[string]any) *testbed {
	t.Helper()
	s := &testbed{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(s.store.Close)
	if len(services) > 0 {
		s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, services...))
	}
	s.gateway, s.logs, s.stop = startGateway(t, s.store.Address(), "router-1", varied)
	t.Cleanup(s.stop)
	return s
}

// startSecondRouter starts another gateway of the same store, and returns the testbed with that one.
func (s *testbed) startSecondRouter() *testbed {
	s.t.Helper()
	return s.startRouterAt(s.store.Address())
}

// startRouterAt starts another gateway that finds the store at an address, and returns the testbed with that one.
func (s *testbed) startRouterAt(storeAddress string) *testbed {
	s.t.Helper()
	return s.startRouterWith(storeAddress, "router-2", usualSettings)
}

// startRouterWith starts another gateway with a name and settings of its own, as startRouterAt does.
func (s *testbed) startRouterWith(storeAddress, name string, varied gatewaySettings) *testbed {
	s.t.Helper()
	other := *s
	other.gateway, other.logs, other.stop = startGateway(s.t, storeAddress, name, varied)
	s.t.Cleanup(other.stop)
	return &other
}

// startServer starts a backend server of a service and lists it in the store. The streams
// of the backend server have the given number of events; 0 is for a service without streams.
func (s *testbed) startServer(id, service string, events int) *platformtest.Server {
	s.t.Helper()
	return s.startVersion(id, service, "v1", events)
}

// startVersion starts a backend server whose software has a version, as startServer does.
func (s *testbed) startVersion(id, service, version string, events int) *platformtest.Server {
	s.t.Helper()
	b, err := platformtest.NewServer(id, events)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	b.SetVersion(version)
	s.store.Put("servers", id, b.Entry(service, "zone-a", "ready"))
	s.listedServers++
	return b
}

// newLink starts a link to an address that lasts until the end of the test.
func newLink(t testing.TB, target string) *platformtest.Link {
	t.Helper()
	l, err := platformtest.NewLink(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

// eventually reports whether a condition becomes true within d.
func eventually(d time.Duration, is func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

// waitReady waits until the gateway is ready and has listed all backend servers.
func (s *testbed) waitReady() {
	s.t.Helper()
	listed := func() bool {
		return s.gateway.Ready() && strings.Count(s.logs.String(), `"server-listed"`) >= s.listedServers
	}
	if !eventually(5*time.Second, listed) {
		s.t.Fatalf("not ready; log:\n%s", s.logs)
	}
}

// response is the gateway's response to a request.
type response struct {
	status int
	header http.Header
	body   string
	err    error // from sending the request or reading the body
}

// send sends a request to the gateway with a valid key, a new Attempt-Id, and the given
// header names and values, which override these.
func (s *testbed) send(method, path string, body string, header ...string) response {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.gateway.Address()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "site.example"
	r.Header.Set("Attempt-Id", fmt.Sprintf("id-%d", time.Now().UnixNano()))
	r.Header.Set("X-Api-Key", "key-1")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := s.client.Do(r)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header, string(b), err}
}

// lockedBuffer is a buffer that is safe for concurrent use. Its zero value is empty.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}
