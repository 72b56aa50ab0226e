package main

// This file defines deployment, the routers of a case and the store that they follow.

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
)

// program is the router's program, as the deploy file builds it.
const program = "target/bulrushtally"

// template is the template of a router's settings, of which the platform fills in the placeholders.
const template = "deploy/gateway.ini.tmpl"

// settings are the values of the placeholders that differ between the cases.
type settings struct {
	revokeMS int
	store    string // address of the store
}

// deployment is the routers of a case and their store.
type deployment struct {
	record *record
	store  *platformtest.Store
	dir    string // temporary
}

// newDeployment starts a store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lab3-")
	if err != nil {
		return nil, err
	}
	started.Lock()
	started.dirs = append(started.dirs, dir)
	started.Unlock()
	return &deployment{record: r, store: platformtest.NewStore(), dir: dir}, nil
}

// close ends the store.
func (d *deployment) close() { d.store.Close() }

// router is one router's process. It is started again when it ends, as the platform does.
type router struct {
	name          string
	front, ready  string
	deployment    *deployment
	settingsPath  string
	values        settings
	peerPort      int
	metricsListen string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// startTries is how often a router is started on other ports, since another process may take a port that was free.
const startTries = 3

// startRouter starts a router and waits until it is ready.
func (d *deployment) startRouter(name string, s settings) (r *router, err error) {
	for range startTries {
		r = &router{
			name: name, front: loopback(freePort()), ready: loopback(freePort()), deployment: d, values: s,
			settingsPath: filepath.Join(d.dir, name+".ini"), peerPort: freePort(), metricsListen: loopback(freePort()),
		}
		if err = r.writeSettings(); err != nil {
			return nil, err
		}
		if err = r.start(); err != nil {
			return nil, err
		}
		if err = r.awaitReady(5 * time.Second); err == nil {
			return r, nil
		}
		r.kill()
	}
	return nil, err
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

// freePort returns a TCP port that is free.
func freePort() int {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return 0
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// writeSettings writes the settings file of the router from the template. The bounds are those of the small deployments.
func (r *router) writeSettings() error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": r.name, "zone": "zone-a", "ip": "127.0.0.1", "bootstrap": "true", "limits.memory_mb": "284",
		"limits.max_fds": "4100", "listen.front": r.front, "listen.ready": r.ready, "port_range.0": strconv.Itoa(r.peerPort), "provider.addr": r.values.store,
		"bounds.contact_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.revoke_ms": strconv.Itoa(r.values.revokeMS), "bounds.grace_s": "8",
		"bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_slack": "52", "bounds.cold_over": "1.5", "bounds.cold_slack": "5",
	}
	out := string(text)
	for name, value := range values {
		out = strings.ReplaceAll(out, "{{"+name+"}}", value)
	}
	out = strings.ReplaceAll(out, "127.0.0.1:9464", r.metricsListen) // all routers of a case share one address
	if at := strings.Index(out, "{{"); at >= 0 {
		return fmt.Errorf("settings template has a placeholder that the case does not fill in: %.40q", out[at:])
	}
	return os.WriteFile(r.settingsPath, []byte(out), 0o600)
}

// started is what was started or made, to be ended or deleted with the program.
var started struct {
	sync.Mutex
	processes []*os.Process
	dirs      []string // temporary
}

// cleanUp kills all routers' processes that still run, and deletes the temporary files.
func cleanUp() {
	started.Lock()
	defer started.Unlock()
	for _, p := range started.processes {
		p.Kill()
	}
	for _, dir := range started.dirs {
		os.RemoveAll(dir)
	}
}

// start starts the process.
func (r *router) start() error {
	log, err := os.OpenFile(filepath.Join(r.deployment.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, "gateway")
	c.Env = append(os.Environ(), "BULRUSHTALLY_BOOT="+r.settingsPath, "BULRUSHTALLY_BOUNDS=expose-share= expose-slack= rollback-ms=")
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	started.Lock()
	started.processes = append(started.processes, c.Process)
	started.Unlock()
	r.mu.Lock()
	r.command, r.ended = c, make(chan struct{})
	ended := r.ended
	r.mu.Unlock()
	go func() {
		c.Wait()
		close(ended)
	}()
	r.deployment.record.printf("%s starts", r.name)
	return nil
}

// signal sends a signal to the router's process.
func (r *router) signal(s syscall.Signal) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.command.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (r *router) kill() {
	r.signal(syscall.SIGKILL)
	r.mu.Lock()
	ended := r.ended
	r.mu.Unlock()
	<-ended
}

// isReady asks the router, as the load balancer does, whether it takes new connections.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + r.ready + platform.ReadyPath)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready.
func (r *router) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return nil
		}
	}
	return fmt.Errorf("router %s is not ready within %v", r.name, limit)
}

// logLines returns the lines of the router's log that contain a text.
func (r *router) logLines(text string) []string {
	data, err := os.ReadFile(filepath.Join(r.deployment.dir, r.name+".log"))
	if err != nil {
		return nil
	}
	var lines []string
	for line := range bytes.Lines(data) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, strings.TrimSpace(string(line)))
		}
	}
	return lines
}
