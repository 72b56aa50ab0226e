package main

// This file defines deployment: the store's stand-in and the routers, which run as processes of their own with the command, the
// template and the environment of the deploy file.

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
)

const (
	deployFile   = "deploy/system.toml"
	startTimeout = 10 * time.Second
	restartDelay = 500 * time.Millisecond // from the end of a process until the platform starts it again
	zoneName     = "kgn-a"
)

// bounds are those of a small deployment, by their placeholders in the settings template.
var bounds = map[string]string{
	"bounds.contact_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.revoke_ms": "5000", "bounds.grace_s": "8",
	"bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_slack": "52", "bounds.cold_over": "1.5", "bounds.cold_slack": "5",
	"limits.max_fds": "4100",
}

// deployment is a store, and routers on loopback addresses of their own.
type deployment struct {
	record   *record
	store    *platformtest.Store
	folder   string
	command  []string
	template string
	env      string
	memoryMB int
	routers  []*router
	stopping chan struct{}
	watchers sync.WaitGroup
}

// router is one machine with its router process.
type router struct {
	name, ip     string
	front, ready string // addresses
	settingsPath string

	mu        sync.Mutex
	process   *exec.Cmd
	startedAt time.Time
	ownEnds   int // ends of the process
}

// fill returns the template with the values in place of its placeholders.
func fill(template string, values map[string]string) string {
	return regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`).ReplaceAllStringFunc(template, func(m string) string {
		return values[strings.Trim(m, "{}")]
	})
}

// entryOf returns the value of the first entry of a key in the deploy file.
func entryOf(text, key string) (string, error) {
	m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindStringSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("%w: %s has no %s", errSetUp, deployFile, key)
	}
	return m[1], nil
}

// newDeployment starts a store that holds a configuration. Routers are started by startRouters.
func newDeployment(r *record, memoryMB int, config map[string]any) (*deployment, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, fmt.Errorf("%w: %w; run it in the root of the repository", errSetUp, err)
	}
	run, err := entryOf(string(text), "run")
	if err != nil {
		return nil, err
	}
	path, err := entryOf(string(text), "template")
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errSetUp, err)
	}
	d := &deployment{record: r, command: strings.Fields(run), template: string(template), memoryMB: memoryMB, stopping: make(chan struct{})}
	if m := regexp.MustCompile(`env = \{ (\w+) = "([^"]*)" \}`).FindStringSubmatch(string(text)); m != nil {
		d.env = m[1] + "=" + fill(m[2], nil)
	}
	if d.folder, err = os.MkdirTemp("", "lab2-"); err != nil {
		return nil, fmt.Errorf("%w: %w", errSetUp, err)
	}
	d.store = platformtest.NewStore()
	d.configure(config)
	return d, nil
}

// configure writes a configuration to the store, as the operator does.
func (d *deployment) configure(config map[string]any) {
	d.store.Put(platform.OperatorTable, platform.ConfigKey, config)
	d.record.say("operator: configuration %v is acknowledged", config["version"])
}

// freePort returns a port that is free at an address.
func freePort(ip string) (string, error) {
	ln, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return strconv.Itoa(ln.Addr().(*net.TCPAddr).Port), nil
}

// startRouters starts n routers and waits until all are ready.
func (d *deployment) startRouters(n int) error {
	network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	peers, err := freePort(network + ".1")
	if err != nil {
		return fmt.Errorf("%w: %w", errSetUp, err)
	}
	for i := range n {
		r := &router{name: fmt.Sprint("front-", zoneName, "-", i+1), ip: fmt.Sprint(network, ".", i+1)}
		front, err := freePort(r.ip)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetUp, err)
		}
		ready, err := freePort(r.ip)
		if err != nil {
			return fmt.Errorf("%w: %w", errSetUp, err)
		}
		r.front, r.ready = r.ip+":"+front, r.ip+":"+ready
		values := map[string]string{
			"node": r.name, "zone": zoneName, "ip": r.ip, "bootstrap": "true", "limits.memory_mb": strconv.Itoa(d.memoryMB),
			"listen.front": r.front, "listen.ready": r.ready, "port_range.0": peers, "provider.addr": d.store.Address(),
		}
		for k, v := range bounds {
			values[k] = v
		}
		r.settingsPath = filepath.Join(d.folder, r.name+".ini")
		if err := os.WriteFile(r.settingsPath, []byte(fill(d.template, values)), 0o600); err != nil {
			return fmt.Errorf("%w: %w", errSetUp, err)
		}
		d.routers = append(d.routers, r)
		if err := d.start(r); err != nil {
			return err
		}
	}
	for _, r := range d.routers {
		if !r.awaitReady(startTimeout) {
			return fmt.Errorf("%w: %s is not ready after %v", errSetUp, r.name, startTimeout)
		}
	}
	return nil
}

// start starts the process of a router. A goroutine waits for its end and starts it again, as the platform does.
func (d *deployment) start(r *router) error {
	c := exec.Command(d.command[0], d.command[1:]...)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.folder, "BULRUSHTALLY_BOOT=" + r.settingsPath, d.env}
	log, err := os.OpenFile(filepath.Join(d.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("%w: %w", errSetUp, err)
	}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return fmt.Errorf("%w: %w; build it with the build line of %s", errSetUp, err, deployFile)
	}
	r.mu.Lock()
	r.process, r.startedAt = c, time.Now()
	r.mu.Unlock()
	d.record.say("platform: %s is started, process %d", r.name, c.Process.Pid)
	d.watchers.Go(func() { d.watch(r, c, log) })
	return nil
}

// watch waits for the end of a process, and starts it again unless the deployment stops.
func (d *deployment) watch(r *router, c *exec.Cmd, log *os.File) {
	err := c.Wait()
	log.Close()
	select {
	case <-d.stopping:
		return
	default:
	}
	r.mu.Lock()
	r.ownEnds++
	r.mu.Unlock()
	d.record.say("platform: the process of %s has ended (%v); last lines of its output:\n%s", r.name, err, lastLines(log.Name(), 12))
	select {
	case <-d.stopping:
	case <-time.After(restartDelay):
		if err := d.start(r); err != nil {
			d.record.say("platform: %v", err)
		}
	}
}

// lastLines returns the lines of a crash in a log, or the last lines.
func lastLines(path string, n int) string {
	b, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(b)), "\n")
	first := max(0, len(lines)-n)
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			first = i
		}
	}
	return "    " + strings.Join(lines[first:min(len(lines), first+n)], "\n    ")
}

// runningFor returns how long the process has run, and how often it ended by itself.
func (r *router) runningFor() (time.Duration, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.startedAt), r.ownEnds
}

// pid returns the process ID.
func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process.Process.Pid
}

// isReady asks a router as the platform's balancer does.
func (r *router) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.ready+platform.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the router is ready, and returns false if it is not within d.
func (r *router) awaitReady(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}

// stop ends all processes and the store.
func (d *deployment) stop() {
	close(d.stopping)
	for _, r := range d.routers {
		r.mu.Lock()
		if r.process != nil {
			r.process.Process.Signal(syscall.SIGKILL)
		}
		r.mu.Unlock()
	}
	d.watchers.Wait()
	d.store.Close()
	os.RemoveAll(d.folder)
}
