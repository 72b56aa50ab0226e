package main_test

// This file holds the tests with real processes: three routers that are killed,
// stopped and continued, and told to end; and the operators' commands.

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bulrushtally/config"
	"bulrushtally/lab"
	"bulrushtally/ledger"
	"bulrushtally/standin"
)

// program is the router built once for all tests.
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "bulrushtally")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "bulrushtally")
	out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
})

// site is a platform, backend servers and router processes.
type site struct {
	t        *testing.T
	platform *standin.Platform
	engines  []*standin.Engine
	plain    *standin.Plain
	routers  []*exec.Cmd
	callers  []string // addresses
	peers    []string
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func newSite(t *testing.T, routers int) *site {
	t.Helper()
	s := &site{t: t}
	var err error
	if s.platform, err = standin.NewPlatform("127.0.0.1:0", 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.platform.Close)
	for range 2 {
		e, err := standin.NewEngine("127.0.0.1:0", standin.DefaultEngine)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		s.engines = append(s.engines, e)
	}
	if s.plain, err = standin.NewPlain("127.0.0.1:0", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.plain.Close)
	s.seed()
	for range routers {
		s.callers = append(s.callers, freeAddress(t))
		s.peers = append(s.peers, freeAddress(t))
	}
	for i := range routers {
		s.routers = append(s.routers, s.start(i))
	}
	for i := range routers {
		s.waitReady(i)
	}
	return s
}

// seed writes a configuration of one zone to the platform.
func (s *site) seed() {
	c := ledger.NewClient(ledger.Options{Address: s.platform.Address(), Timeout: time.Second, ReadsPerSecond: 1e4, WritesPerSecond: 1e4})
	log, store := ledger.NewLog(c, c), config.NewStore()
	kind := func(k string) map[string]string { return map[string]string{"kind": k} }
	list := []*config.Object{
		{Kind: config.KindZone, Name: "kgn-a"},
		{Kind: config.KindService, Name: lab.ModelService, Labels: kind("model")},
		{Kind: config.KindService, Name: lab.PlainService, Labels: kind("plain")},
		{Kind: config.KindAccess, Name: "models", Service: lab.ModelService},
		{Kind: config.KindAccess, Name: "plain", Service: lab.PlainService},
		{Kind: config.KindCustomer, Name: lab.Customer(0)},
		{Kind: config.KindCaller, Name: "caller", Customer: lab.Customer(0), KeyHash: config.HashKey(lab.CallerKey(lab.Customer(0)))},
		{Kind: config.KindBackend, Name: "engine-0", Service: lab.ModelService, Zone: "kgn-a", Address: s.engines[0].Address()},
		{Kind: config.KindBackend, Name: "engine-1", Service: lab.ModelService, Zone: "kgn-a", Address: s.engines[1].Address()},
		{Kind: config.KindBackend, Name: "plain-0", Service: lab.PlainService, Zone: "kgn-a", Address: s.plain.Address()},
	}
	for i, o := range list {
		_, err := log.Commit(store, ledger.Draft{Request: fmt.Sprint(i), Operator: "test", Office: "test", Plan: func(st *config.State) (*config.Change, error) {
			c, _, err := config.Plan(st, config.Wish{Object: o})
			return c, err
		}})
		if err != nil {
			s.t.Fatal(err)
		}
	}
}

// start runs router number i as a process.
func (s *site) start(i int) *exec.Cmd {
	s.t.Helper()
	path, err := program()
	if err != nil {
		s.t.Fatal(err)
	}
	text := fmt.Sprintf("[vm]\nname = kgn-a-%d\nzone = kgn-a\nregion = jm-south\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = secret of the processes\naddresses = %s\n[platform]\naddress = %s\n[operators]\nfirst-key-hash = %s\nfirst-office = kingston\n[backends]\nprogress-timeout = 2s\n",
		i, s.callers[i], s.peers[i], strings.Join(s.peers, ","), s.platform.Address(), config.HashKey(lab.OperatorKey))
	file := filepath.Join(s.t.TempDir(), "router.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(path, "run", "-settings", file)
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

func (s *site) waitReady(i int) {
	s.t.Helper()
	for range 1500 {
		r := s.complete(i, "are you there")
		if r.Good() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.t.Fatalf("router %d does not serve", i)
}

func (s *site) complete(i int, prompt string) lab.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	return lab.NewClient().Complete(ctx, s.callers[i], lab.Customer(0), prompt, 16, true)
}

// load calls one router again and again until it is stopped, and returns what was wrong.
func (s *site) load(i int) (stop func() (good int, bad []lab.Result)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	good := 0
	var bad []lab.Result
	go func() {
		defer close(done)
		for n := 0; ctx.Err() == nil; n++ {
			r := s.complete(i, fmt.Sprintf("load %d %d", i, n))
			if r.Good() {
				good++
			} else if r.Outcome == "" || r.Status == 200 && r.Err == nil {
				bad = append(bad, r)
			}
		}
	}()
	return func() (int, []lab.Result) { cancel(); <-done; return good, bad }
}

func TestKilledRouter(t *testing.T) {
	s := newSite(t, 3)
	stop := s.load(0)
	for _, i := range []int{1, 2} {
		s.routers[i].Process.Kill()
		s.routers[i].Wait()
		s.waitReady(0)
		s.routers[i] = s.start(i)
		s.waitReady(i)
	}
	good, bad := stop()
	if good == 0 || len(bad) > 0 {
		t.Errorf("calls to the router that lived on: %d good, bad %+v", good, bad)
	}
}

func TestPausedRouter(t *testing.T) {
	s := newSite(t, 2)
	stop := s.load(0)
	s.routers[1].Process.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second) // past every timeout between routers
	s.waitReady(0)
	s.routers[1].Process.Signal(syscall.SIGCONT)
	s.waitReady(1)
	good, bad := stop()
	if good == 0 || len(bad) > 0 {
		t.Errorf("calls beside a paused router: %d good, bad %+v", good, bad)
	}
	for _, e := range s.engines {
		if n := e.Stats().FellOver; n > 0 {
			t.Errorf("an engine fell over %d times while two routers took themselves for its leader", n)
		}
	}
}

func TestTermIsGraceful(t *testing.T) {
	s := newSite(t, 2)
	for _, e := range s.engines {
		e.SetSlow(20)
	}
	ended := make(chan lab.Result)
	go func() { ended <- s.complete(1, "a request in flight") }()
	for range 1000 {
		if s.engines[0].Batch()+s.engines[1].Batch() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.routers[1].Process.Signal(syscall.SIGTERM)
	if r := <-ended; !r.Good() {
		t.Errorf("request in flight at SIGTERM: %+v", r)
	}
	if err := s.routers[1].Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// run runs an operators' command against router 0.
func (s *site) run(args ...string) (string, int) {
	path, err := program()
	if err != nil {
		s.t.Fatal(err)
	}
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), "BULRUSHTALLY_URL=http://"+s.callers[0], "BULRUSHTALLY_KEY="+lab.OperatorKey)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func TestOperatorsCommands(t *testing.T) {
	s := newSite(t, 2)
	file := filepath.Join(t.TempDir(), "objects.json")
	objects := `{"kind":"customer","name":"hanover","labels":{"size":"small"}}` + "\n" + `{"kind":"zone","name":"kgn-b"}`
	if err := os.WriteFile(file, []byte(objects), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"apply", "-wait", "-f", file}, 0, "in force on all 2 live routers"},
		{[]string{"get", "customer"}, 0, "hanover"},
		{[]string{"get", "-l", "size=small", "customer"}, 0, "size=small"},
		{[]string{"get", "customer", "hanover"}, 0, `"size": "small"`},
		{[]string{"label", "-wait", "customer", "hanover", "weight=2", "size-"}, 0, "accepted as revision"},
		{[]string{"label", "customer", "hanover", "weight=none"}, 1, "give a number from 0.01 to 1000"},
		{[]string{"label", "-version", "1", "customer", "hanover", "weight=3"}, 2, "conflict"},
		{[]string{"zone", "-wait", "out", "kgn-b"}, 0, "in force"},
		{[]string{"zone", "-wait", "in", "kgn-b"}, 0, "in force"},
		{[]string{"zone", "out", "kgn-a"}, 1, "stranded"},
		{[]string{"selector", "-dry-run", "access", "models", "customers", "size in (large"}, 1, "character"},
		{[]string{"selector", "-dry-run", "-force", "access", "models", "customers", "size=large"}, 0, "loses 2 backend servers"},
		{[]string{"delete", "zone", "kgn-b"}, 0, "accepted"},
		{[]string{"audit"}, 0, "kingston"},
		{[]string{"audit", "-o", "json"}, 0, `"office": "kingston"`},
		{[]string{"status"}, 0, "kgn-a-1"},
		{[]string{"suspects"}, 0, "DEATHS"},
		{[]string{"suspects", "12345"}, 1, "not-found"},
		{[]string{"get", "nothing"}, 1, "unknown-kind"},
	}
	for _, tt := range tests {
		out, code := s.run(tt.args...)
		if code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%v: exit code %d, want %d, with %q in:\n%s", tt.args, code, tt.code, tt.want, out)
		}
	}
	s.platform.SetFaults(standin.PlatformFaults{Down: true})
	if out, code := s.run("label", "customer", "hanover", "weight=4"); code != 1 || !strings.Contains(out, "platform") {
		t.Errorf("change with the platform down: exit code %d\n%s", code, out)
	}
}
