package gateway_test

// This file holds the fault soak over real gateway processes: more of them than a small
// fleet has, in three zones, that are killed, frozen, stopped and started while the store
// fails, backend servers come and go, and the configuration changes.

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bulrushtally/platform/platformtest"
)

var (
	soakTime    = flag.Duration("soak", 8*time.Second, "how long the fault soak runs")
	soakSeed    = flag.Uint64("soakseed", 1, "seed of its faults")
	soakRouters = flag.Int("soakrouters", 24, "routers of it")
)

// soak is a store, backend servers, and gateway processes.
type soak struct {
	t       *testing.T
	rand    *rand.Rand
	store   *platformtest.Store
	orders  []*platformtest.Server
	routers []*soakRouter
	client  *http.Client
	port    int // the last one that was handed out

	mu      sync.Mutex
	refused map[string]bool // ids of requests that were said not to have run
	counts  map[string]int  // answers by status, or by failure
}

// soakRouter is one gateway process.
type soakRouter struct {
	settings string // path
	callers  string // address
	ready    string

	mu      sync.Mutex // held while a fault is on
	process *exec.Cmd
}

func newSoak(t *testing.T) *soak {
	t.Helper()
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(*soakSeed, 0)), store: platformtest.NewStore(),
		refused: map[string]bool{}, counts: map[string]int{}, port: firstPort,
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
	}
	t.Cleanup(s.store.Close)
	s.configure(1, "key-1", "key-2")
	for i := range 6 {
		b, err := platformtest.NewServer(fmt.Sprintf("i-%d", i), 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.orders = append(s.orders, b)
		s.list(i, "ready")
	}
	for i := range *soakRouters {
		s.routers = append(s.routers, s.newRouter(i))
	}
	return s
}

func (s *soak) configure(version int, keys ...string) {
	orders := platformtest.Service("orders", "non_idempotent", 3, nil)
	s.store.Put("op", "config", platformtest.Config(version, keys, orders))
}

func (s *soak) list(i int, state string) {
	b := s.orders[i]
	s.store.Put("servers", b.ID, b.Entry("orders", zoneOf(i), state))
}

func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// firstPort is below the ports that the kernel gives to outgoing connections: one of those
// could be taken while a router that had it is down.
const firstPort = 20000

// freePort returns a port of loopback that nobody uses.
func (s *soak) freePort() int {
	s.t.Helper()
	for s.port++; s.port < firstPort+10000; s.port++ {
		address := fmt.Sprintf("127.0.0.1:%d", s.port)
		ln, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		ln.Close()
		c, err := net.ListenPacket("udp4", address)
		if err != nil {
			continue
		}
		c.Close()
		return s.port
	}
	s.t.Fatal("no free port")
	return 0
}

func (s *soak) freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", s.freePort()) }

// program is the router, built once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "bulrushtally")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "bulrushtally")
	out, err := exec.Command("go", "build", "-o", path, "bulrushtally/cmd/bulrushtally").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

func (s *soak) newRouter(i int) *soakRouter {
	s.t.Helper()
	r := &soakRouter{callers: s.freeAddress(), ready: s.freeAddress(), settings: filepath.Join(s.t.TempDir(), "settings.ini")}
	text := fmt.Sprintf("[vm]\nname = r%02d\nzone = %s\nip = 127.0.0.1\n[callers]\nlisten = %s\nready-listen = %s\n[peers]\nport = %d\n"+
		"[platform]\naddress = %s\n[bounds]\nrevoke-ms = 5000\ngrace-s = 4\n[log]\nlevel = error\n",
		i, zoneOf(i), r.callers, r.ready, s.freePort(), s.store.Address())
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.start(r)
	s.t.Cleanup(func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.process.Process.Kill()
		r.process.Wait()
	})
	return r
}

func (s *soak) start(r *soakRouter) {
	s.t.Helper()
	path, err := program()
	if err != nil {
		s.t.Fatal(err)
	}
	r.process = exec.Command(path, "gateway", "-settings", r.settings)
	r.process.Stderr = os.Stderr
	if err := r.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

func (s *soak) ready(r *soakRouter) bool {
	resp, err := s.client.Get("http://" + r.ready + "/-/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (s *soak) allReady() bool {
	for _, r := range s.routers {
		if !s.ready(r) {
			return false
		}
	}
	return true
}

// send sends one order with a key to a router and returns its status, 0 if there is no whole answer.
func (s *soak) send(r *soakRouter, id, key string) int {
	q, err := http.NewRequest("POST", "http://"+r.callers+"/orders/x", strings.NewReader(id))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	q.Host = "site.example"
	q.Header.Set("Attempt-Id", id)
	q.Header.Set("X-Api-Key", key)
	q.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(q)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// clients sends orders to routers at random until the channel is closed.
func (s *soak) clients(stop <-chan struct{}) *sync.WaitGroup {
	var g sync.WaitGroup
	for c := range 8 {
		g.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("order-%d-%d", c, n)
				status := s.send(s.routers[rand.IntN(len(s.routers))], id, "key-1")
				s.mu.Lock()
				s.counts[fmt.Sprint(status)]++
				if status == http.StatusServiceUnavailable {
					s.refused[id] = true
				}
				s.mu.Unlock()
			}
		})
	}
	return &g
}

// fault does one thing to a router for a time, and undoes it.
func (s *soak) fault(kind int, r *soakRouter, lasts time.Duration) {
	if !r.mu.TryLock() {
		return // another fault is on
	}
	defer r.mu.Unlock()
	switch kind {
	case 0:
		r.process.Process.Kill()
		r.process.Wait()
		time.Sleep(lasts)
		s.start(r)
	case 1:
		r.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(lasts)
		r.process.Process.Signal(syscall.SIGCONT)
	case 2:
		r.process.Process.Signal(syscall.SIGTERM)
		r.process.Wait()
		s.start(r)
	}
}

// shake lets faults happen until the time is over.
func (s *soak) shake(until time.Time) {
	store := []platformtest.Fault{platformtest.Unavailable, platformtest.Throttled, platformtest.LostAnswers, platformtest.Silent}
	behaviours := []platformtest.Behaviour{platformtest.Break, platformtest.Decline, platformtest.FailedWork, platformtest.Extra, platformtest.WrongID}
	var g sync.WaitGroup
	version := 1
	for time.Now().Before(until) {
		lasts := time.Duration(200+s.rand.IntN(1500)) * time.Millisecond
		switch k := s.rand.IntN(6); k {
		case 0, 1, 2:
			r := s.routers[s.rand.IntN(len(s.routers))]
			g.Go(func() { s.fault(k, r, lasts) })
		case 3:
			s.store.Break(store[s.rand.IntN(len(store))])
			time.Sleep(lasts / 2)
			s.store.Break(platformtest.Sound)
		case 4:
			version++
			s.configure(version, "key-1", "key-2")
			s.store.ForgetHistory()
		case 5:
			s.orders[s.rand.IntN(len(s.orders))].Then(behaviours[s.rand.IntN(len(behaviours))])
		}
		time.Sleep(time.Duration(s.rand.IntN(150)) * time.Millisecond)
	}
	g.Wait()
}

// checkRuns compares what ran with what callers were told.
func (s *soak) checkRuns() {
	runs := map[string]int{}
	for _, b := range s.orders {
		for _, r := range b.Received() {
			runs[r.Header.Get("Attempt-Id")]++
		}
	}
	for id := range runs {
		for _, b := range s.orders {
			runs[id] -= b.Declined(id)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			s.t.Errorf("got %d runs of %s, want one at most", n, id)
		}
		if n > 0 && s.refused[id] {
			s.t.Errorf("%s ran, and its caller was told that it had not", id)
		}
	}
	s.t.Logf("seed %d: %d requests ran; answers by status, 0 for none: %v; %d calls of the store", *soakSeed, len(runs), s.counts, s.store.Calls())
	if s.counts["200"] < 100 {
		s.t.Errorf("got %d orders served, want 100 or more", s.counts["200"])
	}
}

func TestFaultSoak(t *testing.T) {
	s := newSoak(t)
	if !within(20*time.Second, s.allReady) {
		t.Fatal("not all routers became ready")
	}
	stop := make(chan struct{})
	clients := s.clients(stop)
	s.shake(time.Now().Add(*soakTime))
	if !within(12*time.Second, s.allReady) {
		t.Error("not all routers are ready 12 s after the last fault")
	}
	// A key that is taken away is refused by all routers, and a new one works at all, though few ask the store.
	s.configure(1000, "key-1", "key-3")
	all := func(key string, want int) func() bool {
		return func() bool {
			for i, r := range s.routers {
				if s.send(r, fmt.Sprintf("check-%s-%d-%d", key, i, time.Now().UnixNano()), key) != want {
					return false
				}
			}
			return true
		}
	}
	if !within(2*time.Second, all("key-3", http.StatusOK)) {
		t.Error("a new key does not work at all routers after 2 s")
	}
	if !within(5*time.Second, all("key-2", http.StatusUnauthorized)) {
		t.Error("a key that was taken away is not refused by all routers after 5 s")
	}
	close(stop)
	clients.Wait()
	s.checkRuns()
}
