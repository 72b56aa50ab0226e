package gateway_test

// This file defines the site that tests run: a store, backend servers and one gateway.

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

// site is a store, backend servers and one gateway.
type site struct {
	t       testing.TB
	store   *platformtest.Store
	gateway *gateway.Gateway
	logs    *lockedBuffer
	stop    context.CancelFunc
	client  *http.Client
	servers int
}

func free(t testing.TB) int {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().(*net.UDPAddr).Port
}

func startGateway(t testing.TB, store *platformtest.Store, name string) (*gateway.Gateway, *lockedBuffer, context.CancelFunc) {
	t.Helper()
	text := fmt.Sprintf(`[vm]
name = %s
zone = zone-a
ip = 127.0.0.1
descriptors = 200
[callers]
listen = 127.0.0.1:0
ready-listen = 127.0.0.1:0
[peers]
port = %d
[platform]
address = %s
[bounds]
revoke-ms = 2500
grace-s = 8
`, name, free(t), store.Address())
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

func newSite(t testing.TB, services ...map[string]any) *site {
	t.Helper()
	s := &site{t: t, store: platformtest.NewStore(), client: &http.Client{Transport: &http.Transport{DisableCompression: true}}}
	t.Cleanup(s.store.Close)
	if len(services) > 0 {
		s.store.Put("op", "config", platformtest.Config(1, []string{"key-1"}, services...))
	}
	s.gateway, s.logs, s.stop = startGateway(t, s.store, "router-1")
	t.Cleanup(s.stop)
	return s
}

func (s *site) server(id, service string, events int) *platformtest.Server {
	s.t.Helper()
	b, err := platformtest.NewServer(id, events)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(b.Close)
	s.store.Put("servers", id, b.Entry(service, "zone-a", "ready"))
	s.servers++
	return b
}

// within reports whether a condition comes true in time.
func within(d time.Duration, is func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return true
		}
	}
	return is()
}

func (s *site) ready() {
	s.t.Helper()
	listed := func() bool {
		return s.gateway.Ready() && strings.Count(s.logs.String(), `"server-listed"`) >= s.servers
	}
	if !within(5*time.Second, listed) {
		s.t.Fatalf("not ready; log:\n%s", s.logs)
	}
}

type answer struct {
	status int
	header http.Header
	body   string
	err    error // of reading the body
}

func (s *site) send(method, path string, body string, header ...string) answer {
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
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}

// lockedBuffer is a buffer for many goroutines; its zero value is empty.
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
