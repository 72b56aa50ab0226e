package main

// This file defines fleet, which starts routers and holds what runs beside them.

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"bulrushtally/platform"
	"bulrushtally/platform/platformtest"
)

// Files of the project, from its root.
const (
	programPath  = "target/bulrushtally"
	programRole  = "gateway"
	templatePath = "deploy/gateway.ini.tmpl"
	settingsEnv  = "BULRUSHTALLY_BOOT"
)

// bounds are those of the small deployment bmsw-quotes, by their names in the settings template.
var bounds = map[string]string{
	"limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.contact_ms": "3000", "bounds.config_apply_ms": "2000", "bounds.revoke_ms": "5000",
	"bounds.grace_s": "8", "bounds.retry_ratio": "0.2", "bounds.retry_window_s": "10", "bounds.retry_slack": "52", "bounds.cold_over": "1.5", "bounds.cold_slack": "5",
}

// Times from the page of the deployment.
const (
	grace     = 8 * time.Second
	heartbeat = 1200 * time.Millisecond // between two writes of a server's entry
)

// zones are the availability zones of the deployment.
var zones = []string{"kgn-a", "kgn-b", "spn-c"}

// fleet is a store, backend servers and routers.
type fleet struct {
	record  *record
	store   *platformtest.Store
	folder  string // for settings files and logs
	network int    // second number of the routers' loopback addresses
	ports   map[string]int
	routers []*router
	servers []*server
}

// newFleet starts a store.
func newFleet(recordPath string) (*fleet, error) {
	if _, err := os.Stat(programPath); err != nil {
		return nil, errors.New("build the program by the line of the deploy file first")
	}
	r, err := newRecord(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-lab-")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, store: platformtest.NewStore(), folder: folder, network: 10 + rand.IntN(200), ports: map[string]int{}}, nil
}

// close ends all processes that the fleet started.
func (f *fleet) close() {
	for _, r := range f.routers {
		r.kill()
	}
	for _, s := range f.servers {
		s.close()
	}
	f.store.Close()
	f.record.close()
	os.RemoveAll(f.folder)
}

// port returns the free port of a purpose, which is the same on all VMs.
func (f *fleet) port(purpose string) (int, error) {
	if p, ok := f.ports[purpose]; ok {
		return p, nil
	}
	ln, err := net.Listen("tcp4", f.ip(1)+":0")
	if err != nil {
		return 0, err
	}
	defer ln.Close()
	f.ports[purpose] = ln.Addr().(*net.TCPAddr).Port
	return f.ports[purpose], nil
}

func (f *fleet) ip(vm int) string { return fmt.Sprintf("127.%d.0.%d", f.network, vm) }

// router is a router process.
type router struct {
	name, address, readyAddress string

	settingsPath, folder string
	command              *exec.Cmd
	ended                chan struct{} // closed when the process has ended
}

// startRouters starts n routers at once and waits until all are ready.
func (f *fleet) startRouters(n int) error {
	for i := range n {
		if err := f.startRouter(i + 1); err != nil {
			return err
		}
	}
	for _, r := range f.routers {
		if !r.awaitReady(10 * time.Second) {
			return fmt.Errorf("router %s is not ready", r.name)
		}
	}
	time.Sleep(time.Second) // in which routers find each other
	return nil
}

// startRouter starts a router with settings from the template of the deploy file.
func (f *fleet) startRouter(vm int) error {
	r := &router{name: fmt.Sprintf("vm-%d", vm)}
	values := map[string]string{"node": r.name, "zone": zones[(vm-1)%len(zones)], "ip": f.ip(vm), "bootstrap": "true", "provider.addr": f.store.Address()}
	for name, value := range bounds {
		values[name] = value
	}
	for _, purpose := range []string{"front", "ready", "peers"} {
		port, err := f.port(purpose)
		if err != nil {
			return err
		}
		values["listen."+purpose] = fmt.Sprintf("%s:%d", f.ip(vm), port)
		if purpose == "peers" {
			values["port_range.0"] = fmt.Sprint(port)
		}
	}
	r.address, r.readyAddress = values["listen.front"], values["listen.ready"]
	path := filepath.Join(f.folder, r.name+".ini")
	if err := writeSettings(path, values); err != nil {
		return err
	}
	r.settingsPath, r.folder = path, f.folder
	if err := r.start(); err != nil {
		return err
	}
	f.routers = append(f.routers, r)
	f.record.printf("router %s started at %s", r.name, r.address)
	return nil
}

// start starts the process of the router.
func (r *router) start() error {
	log, err := os.OpenFile(filepath.Join(r.folder, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c, ended := exec.Command(programPath, programRole), make(chan struct{})
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + r.folder, settingsEnv + "=" + r.settingsPath}
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	go func() {
		c.Wait()
		close(ended)
	}()
	r.command, r.ended = c, ended
	return nil
}

// writeSettings fills the template in.
func writeSettings(path string, values map[string]string) error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	text := string(template)
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return fmt.Errorf("settings template has names that the case does not know:\n%s", text)
	}
	return os.WriteFile(path, []byte(text), 0o600)
}

// awaitReady reports whether the router says within d that it is ready.
func (r *router) awaitReady(d time.Duration) bool {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.readyAddress + platform.ReadyPath)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// stop sends SIGTERM, as the platform does, and SIGKILL after the time of grace.
func (r *router) stop() {
	r.command.Process.Signal(syscall.SIGTERM)
	go func() {
		select {
		case <-r.ended:
		case <-time.After(grace):
			r.command.Process.Kill()
		}
	}()
}

// kill ends the process and waits for its end.
func (r *router) kill() {
	r.command.Process.Kill()
	<-r.ended
}
