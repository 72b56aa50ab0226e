package gateway_test

// This file defines the fault soak. It runs gateway processes in three zones, by default
// more than gossip.ZoneSummaryThreshold, so that the fleet counts as large. It kills, freezes
// and restarts them while the store fails, backend servers misbehave, and the configuration
// changes.

import (
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
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
	"bulrushtally/testport"
)

var (
	soakTime    = flag.Duration("soak", 8*time.Second, "how long the fault soak runs")
	soakSeed    = flag.Uint64("soakseed", 1, "seed of the soak's faults")
	soakRouters = flag.Int("soakrouters", 24, "number of routers in the soak")
)

// soak is a stand-in of the platform's store, stand-ins of backend servers, and gateway
// processes.
type soak struct {
	t            *testing.T
	rand         *rand.Rand
	store        *platformtest.Store
	orderServers []*platformtest.Server
	routers      []*soakRouter
	client       *http.Client

	mu        sync.Mutex
	refused   map[string]bool // IDs of requests that got status 503, which says that they have not run
	responses map[string]int  // number of responses by status; "0" for no complete response
}

// soakRouter is one gateway process.
type soakRouter struct {
	settingsPath  string
	callerAddress string // that callers connect to
	readyAddress  string // for readiness checks

	mu      sync.Mutex // held while a fault is active
	process *exec.Cmd
}

// newSoak starts the store, the backend servers and the routers.
func newSoak(t *testing.T) *soak {
	t.Helper()
	s := &soak{
		t: t, rand: rand.New(rand.NewPCG(*soakSeed, 0)), store: platformtest.NewStore(),
		refused: map[string]bool{}, responses: map[string]int{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}},
	}
	t.Cleanup(s.store.Close)
	s.putConfig(1, "key-1", "key-2")
	for i := range 6 {
		b, err := platformtest.NewServer(fmt.Sprintf("i-%d", i), 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(b.Close)
		s.orderServers = append(s.orderServers, b)
		s.listServer(i, "ready")
	}
	for i := range *soakRouters {
		s.routers = append(s.routers, s.newRouter(i))
	}
	return s
}

// putConfig writes a configuration with the keys into the store.
func (s *soak) putConfig(version int, keys ...string) {
	orders := platformtest.Service("orders", "non_idempotent", 3, nil)
	s.store.Put("op", "config", platformtest.Config(version, keys, orders))
}

// listServer writes the entry of backend server i into the store.
func (s *soak) listServer(i int, state string) {
	b := s.orderServers[i]
	s.store.Put("servers", b.ID, b.Entry("orders", zoneOf(i), state))
}

// zoneOf returns the availability zone of router or backend server i.
func zoneOf(i int) string { return []string{"zone-a", "zone-b", "zone-c"}[i%3] }

// buildRouter builds the bulrushtally program once for all tests and returns its path.
var buildRouter = sync.OnceValues(func() (string, error) {
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

// newRouter writes the settings of router i and starts it. The test's cleanup kills it.
func (s *soak) newRouter(i int) *soakRouter {
	s.t.Helper()
	r := &soakRouter{callerAddress: testport.Address(s.t), readyAddress: testport.Address(s.t), settingsPath: filepath.Join(s.t.TempDir(), "settings.ini")}
	text := fmt.Sprintf("[vm]\nname = r%02d\nzone = %s\nip = 127.0.0.1\n[callers]\nlisten = %s\nready-listen = %s\n[peers]\nport = %d\n"+
		"[platform]\naddress = %s\n[bounds]\nrevoke-ms = 5000\ngrace-s = 4\n[log]\nlevel = error\n",
		i, zoneOf(i), r.callerAddress, r.readyAddress, testport.Free(s.t), s.store.Address())
	if err := os.WriteFile(r.settingsPath, []byte(text), 0o600); err != nil {
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

// start starts the router's process.
func (s *soak) start(r *soakRouter) {
	s.t.Helper()
	path, err := buildRouter()
	if err != nil {
		s.t.Fatal(err)
	}
	r.process = exec.Command(path, "gateway", "-settings", r.settingsPath)
	r.process.Stderr = os.Stderr
	if err := r.process.Start(); err != nil {
		s.t.Fatal(err)
	}
}

// ready reports whether a router passes its readiness check.
func (s *soak) ready(r *soakRouter) bool {
	resp, err := s.client.Get("http://" + r.readyAddress + "/-/ready")
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

// send sends a request for the orders service to a router and returns the status, or 0 if
// there is no complete response.
func (s *soak) send(r *soakRouter, id, key string) int {
	request, err := http.NewRequest("POST", "http://"+r.callerAddress+"/orders/x", strings.NewReader(id))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	request.Host = "site.example"
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("X-Api-Key", key)
	request.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(request)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// startCallers starts callers that send requests to random routers until the channel is
// closed. The returned group waits for them to end.
func (s *soak) startCallers(stop <-chan struct{}) *sync.WaitGroup {
	var callers sync.WaitGroup
	for caller := range 8 {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				id := fmt.Sprintf("order-%d-%d", caller, n)
				status := s.send(s.routers[rand.IntN(len(s.routers))], id, "key-1")
				s.mu.Lock()
				s.responses[fmt.Sprint(status)]++
				if status == http.StatusServiceUnavailable {
					s.refused[id] = true
				}
				s.mu.Unlock()
			}
		})
	}
	return &callers
}

// faultRouter kills (0), freezes (1) or stops (2) a router and makes it run again, after
// the given time for kinds 0 and 1. It does nothing if the router has another fault.
func (s *soak) faultRouter(kind int, r *soakRouter, duration time.Duration) {
	if !r.mu.TryLock() {
		return
	}
	defer r.mu.Unlock()
	switch kind {
	case 0:
		r.process.Process.Kill()
		r.process.Wait()
		time.Sleep(duration)
		s.start(r)
	case 1:
		r.process.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		r.process.Process.Signal(syscall.SIGCONT)
	case 2:
		r.process.Process.Signal(syscall.SIGTERM)
		r.process.Wait()
		s.start(r)
	}
}

// injectFaults injects random faults until the given time and waits until they are over.
func (s *soak) injectFaults(until time.Time) {
	storeFaults := []platformtest.Fault{platformtest.Unavailable, platformtest.Throttled, platformtest.LostResponses, platformtest.Unresponsive}
	behaviours := []platformtest.Behaviour{platformtest.Disconnect, platformtest.Decline, platformtest.FailWith500, platformtest.SendExtraResponse, platformtest.SendWrongIDFirst}
	var routerFaults sync.WaitGroup
	version := 1
	for time.Now().Before(until) {
		duration := time.Duration(200+s.rand.IntN(1500)) * time.Millisecond
		switch kind := s.rand.IntN(6); kind {
		case 0, 1, 2:
			r := s.routers[s.rand.IntN(len(s.routers))]
			routerFaults.Go(func() { s.faultRouter(kind, r, duration) })
		case 3:
			s.store.SetFault(storeFaults[s.rand.IntN(len(storeFaults))])
			time.Sleep(duration / 2)
			s.store.SetFault(platformtest.NoFault)
		case 4:
			version++
			s.putConfig(version, "key-1", "key-2")
			s.store.DiscardHistory()
		case 5:
			s.orderServers[s.rand.IntN(len(s.orderServers))].QueueBehaviours(behaviours[s.rand.IntN(len(behaviours))])
		}
		time.Sleep(time.Duration(s.rand.IntN(150)) * time.Millisecond)
	}
	routerFaults.Wait()
}

// checkOutcomes checks that no request ran twice, and that none ran that got status 503.
func (s *soak) checkOutcomes() {
	runs := map[string]int{}
	for _, b := range s.orderServers {
		for _, r := range b.Received() {
			runs[r.Header.Get("Attempt-Id")]++
		}
	}
	for id := range runs {
		for _, b := range s.orderServers {
			runs[id] -= b.Declined(id)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			s.t.Errorf("got %d runs of %s, want at most one", n, id)
		}
		if n > 0 && s.refused[id] {
			s.t.Errorf("%s ran, but its caller got status 503, which says that it has not run", id)
		}
	}
	s.t.Logf("seed %d: %d requests ran; responses by status, 0 for none: %v; %d calls to the store", *soakSeed, len(runs), s.responses, s.store.Calls())
	if s.responses["200"] < 100 {
		s.t.Errorf("got %d responses with status 200, want 100 or more", s.responses["200"])
	}
}

func TestFaultSoak(t *testing.T) {
	s := newSoak(t)
	if !eventually(20*time.Second, s.allReady) {
		t.Fatal("not all routers became ready")
	}
	stop := make(chan struct{})
	callers := s.startCallers(stop)
	s.injectFaults(time.Now().Add(*soakTime))
	if !eventually(12*time.Second, s.allReady) {
		t.Error("not all routers are ready 12 s after the last fault")
	}
	// Although only a few routers poll the store, all of them must refuse a revoked key and
	// accept a new one.
	s.putConfig(1000, "key-1", "key-3")
	allRespond := func(key string, want int) func() bool {
		return func() bool {
			for i, r := range s.routers {
				if s.send(r, fmt.Sprintf("check-%s-%d-%d", key, i, time.Now().UnixNano()), key) != want {
					return false
				}
			}
			return true
		}
	}
	if !eventually(2*time.Second, allRespond("key-3", http.StatusOK)) {
		t.Error("a new key is not accepted by all routers after 2 s")
	}
	if !eventually(5*time.Second, allRespond("key-2", http.StatusUnauthorized)) {
		t.Error("a revoked key is not refused by all routers after 5 s")
	}
	close(stop)
	callers.Wait()
	s.checkOutcomes()
}
