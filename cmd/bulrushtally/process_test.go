package main_test

// This file holds the tests with router processes, which are killed, stopped and continued,
// and terminated, and the tests of the operators' commands.

import (
	"context"
	"fmt"
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
	"bulrushtally/testport"
)

// buildProgram builds the router once for all tests and returns the path of the program.
var buildProgram = sync.OnceValues(func() (string, error) {
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

// deployment is a platform stand-in, backend server stand-ins and router processes, all in one
// zone.
type deployment struct {
	t               *testing.T
	platform        *standin.Platform
	modelServers    []*standin.ModelServer
	plainServer     *standin.PlainService
	routers         []*exec.Cmd
	callerAddresses []string // by router number, as are peerAddresses
	peerAddresses   []string
}

// newDeployment starts a deployment and waits until each router serves requests.
func newDeployment(t *testing.T, routers int) *deployment {
	t.Helper()
	d := &deployment{t: t}
	var err error
	if d.platform, err = standin.NewPlatform("127.0.0.1:0", 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.platform.Close)
	for range 2 {
		server, err := standin.NewModelServer("127.0.0.1:0", standin.DefaultModelServerOptions)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		d.modelServers = append(d.modelServers, server)
	}
	if d.plainServer, err = standin.NewPlainService("127.0.0.1:0", time.Millisecond); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.plainServer.Close)
	d.writeConfig()
	for range routers {
		d.callerAddresses = append(d.callerAddresses, testport.Address(t))
		d.peerAddresses = append(d.peerAddresses, testport.Address(t))
	}
	for i := range routers {
		d.routers = append(d.routers, d.startRouter(i))
	}
	for i := range routers {
		d.waitReady(i)
	}
	return d
}

// writeConfig writes a configuration with one zone, two services and one customer to the platform.
func (d *deployment) writeConfig() {
	client := ledger.NewClient(ledger.Options{Address: d.platform.Address(), Timeout: time.Second, ReadsPerSecond: 1e4, WritesPerSecond: 1e4})
	log, store := ledger.NewLog(client, client), config.NewStore()
	kind := func(k string) map[string]string { return map[string]string{"kind": k} }
	objects := []*config.Object{
		{Kind: config.KindZone, Name: "kgn-a"},
		{Kind: config.KindService, Name: lab.ModelService, Labels: kind("model")},
		{Kind: config.KindService, Name: lab.PlainService, Labels: kind("plain")},
		{Kind: config.KindAccess, Name: "models", Service: lab.ModelService},
		{Kind: config.KindAccess, Name: "plain", Service: lab.PlainService},
		{Kind: config.KindCustomer, Name: lab.CustomerName(0)},
		{Kind: config.KindCaller, Name: "caller", Customer: lab.CustomerName(0), KeyHash: config.HashKey(lab.CallerKey(lab.CustomerName(0)))},
		{Kind: config.KindBackend, Name: "engine-0", Service: lab.ModelService, Zone: "kgn-a", Address: d.modelServers[0].Address()},
		{Kind: config.KindBackend, Name: "engine-1", Service: lab.ModelService, Zone: "kgn-a", Address: d.modelServers[1].Address()},
		{Kind: config.KindBackend, Name: "plain-0", Service: lab.PlainService, Zone: "kgn-a", Address: d.plainServer.Address()},
	}
	for i, o := range objects {
		_, err := log.Commit(store, ledger.Proposal{Request: fmt.Sprint(i), Operator: "test", Office: "test", Plan: func(st *config.State) (*config.Change, error) {
			c, _, err := config.Plan(st, config.ChangeRequest{Object: o})
			return c, err
		}})
		if err != nil {
			d.t.Fatal(err)
		}
	}
}

// startRouter starts router i as a process, which is killed at the end of the test.
func (d *deployment) startRouter(i int) *exec.Cmd {
	d.t.Helper()
	path, err := buildProgram()
	if err != nil {
		d.t.Fatal(err)
	}
	text := fmt.Sprintf("[vm]\nname = kgn-a-%d\nzone = kgn-a\nregion = jm-south\n[callers]\nlisten = %s\n[peers]\nlisten = %s\nsecret = secret of the processes\naddresses = %s\n[platform]\naddress = %s\n[operators]\nfirst-key-hash = %s\nfirst-office = kingston\n[backends]\nprogress-timeout = 2s\n",
		i, d.callerAddresses[i], d.peerAddresses[i], strings.Join(d.peerAddresses, ","), d.platform.Address(), config.HashKey(lab.OperatorKey))
	file := filepath.Join(d.t.TempDir(), "router.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(path, "run", "-settings", file)
	if err := cmd.Start(); err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { cmd.Process.Kill(); cmd.Wait() })
	return cmd
}

// waitReady waits until router i completes a request, and fails the test after 1500 attempts.
func (d *deployment) waitReady(i int) {
	d.t.Helper()
	for range 1500 {
		r := d.sendCompletion(i, "readiness check")
		if r.Succeeded() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.t.Fatalf("router %d does not complete requests", i)
}

// sendCompletion sends a streamed completion of at most 16 tokens to router i and returns its
// result; it waits at most 60 s.
func (d *deployment) sendCompletion(i int, prompt string) lab.Result {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	return lab.NewClient().Complete(ctx, d.callerAddresses[i], lab.CustomerName(0), prompt, 16, true)
}

// startLoad sends completions to router i, one at a time, until stop is called. stop returns the
// number of good results, and those that are neither good nor a failure with an outcome.
func (d *deployment) startLoad(i int) (stop func() (good int, bad []lab.Result)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	good := 0
	var bad []lab.Result
	go func() {
		defer close(done)
		for n := 0; ctx.Err() == nil; n++ {
			r := d.sendCompletion(i, fmt.Sprintf("load %d %d", i, n))
			if r.Succeeded() {
				good++
			} else if r.Outcome == "" || r.Status == 200 && r.Err == nil {
				bad = append(bad, r)
			}
		}
	}()
	return func() (int, []lab.Result) { cancel(); <-done; return good, bad }
}

// The test kills and restarts two of three routers, one after the other, under load on the third.
// No request may end without a response or an outcome.
func TestRequestsSucceedWhileOtherRoutersAreKilled(t *testing.T) {
	d := newDeployment(t, 3)
	stop := d.startLoad(0)
	for _, i := range []int{1, 2} {
		d.routers[i].Process.Kill()
		d.routers[i].Wait()
		d.waitReady(0)
		d.routers[i] = d.startRouter(i)
		d.waitReady(i)
	}
	good, bad := stop()
	if good == 0 || len(bad) > 0 {
		t.Errorf("requests to the router that was not killed: %d good, bad: %+v", good, bad)
	}
}

// The test pauses one of two routers past every timeout between them, under load on the other. When
// it continues, the paused router may still act as a leader that was replaced meanwhile; together
// the two leaders must not overload a model server.
func TestRequestsSucceedWhileOtherRouterIsPaused(t *testing.T) {
	d := newDeployment(t, 2)
	stop := d.startLoad(0)
	d.routers[1].Process.Signal(syscall.SIGSTOP)
	time.Sleep(4 * time.Second) // longer than every timeout between routers
	d.waitReady(0)
	d.routers[1].Process.Signal(syscall.SIGCONT)
	d.waitReady(1)
	good, bad := stop()
	if good == 0 || len(bad) > 0 {
		t.Errorf("requests to the router that was not paused: %d good, bad: %+v", good, bad)
	}
	for _, server := range d.modelServers {
		if n := server.Stats().OverloadCrashes; n > 0 {
			t.Errorf("a model server was overloaded and crashed %d times while two routers may both have acted as its leader", n)
		}
	}
}

// A router that gets SIGTERM must complete its requests in flight and exit with status 0.
func TestSIGTERMCompletesRequestsInFlight(t *testing.T) {
	d := newDeployment(t, 2)
	for _, server := range d.modelServers {
		server.SetSlowdown(20)
	}
	result := make(chan lab.Result)
	go func() { result <- d.sendCompletion(1, "a request in flight") }()
	for range 1000 {
		if d.modelServers[0].BatchSize()+d.modelServers[1].BatchSize() > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.routers[1].Process.Signal(syscall.SIGTERM)
	if r := <-result; !r.Succeeded() {
		t.Errorf("request in flight at SIGTERM: %+v", r)
	}
	if err := d.routers[1].Wait(); err != nil {
		t.Errorf("exit after SIGTERM: %v", err)
	}
}

// runCommand runs a command of the program against router 0, and returns its output (both
// streams) and its exit code.
func (d *deployment) runCommand(args ...string) (string, int) {
	path, err := buildProgram()
	if err != nil {
		d.t.Fatal(err)
	}
	cmd := exec.Command(path, args...)
	cmd.Env = append(os.Environ(), "BULRUSHTALLY_URL=http://"+d.callerAddresses[0], "BULRUSHTALLY_KEY="+lab.OperatorKey)
	out, _ := cmd.CombinedOutput()
	return string(out), cmd.ProcessState.ExitCode()
}

func TestOperatorCommands(t *testing.T) {
	d := newDeployment(t, 2)
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
		out, code := d.runCommand(tt.args...)
		if code != tt.code || !strings.Contains(out, tt.want) {
			t.Errorf("%v: exit code %d, want %d, with %q in:\n%s", tt.args, code, tt.code, tt.want, out)
		}
	}
	d.platform.SetFaults(standin.PlatformFaults{Down: true})
	if out, code := d.runCommand("label", "customer", "hanover", "weight=4"); code != 1 || !strings.Contains(out, "platform") {
		t.Errorf("change with the platform down: exit code %d, want 1, with \"platform\" in:\n%s", code, out)
	}
}
