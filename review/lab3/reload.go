package main

// This file defines the case in which the settings bring a shorter time until keys that were taken away end, and a router is then
// turned away by the store.

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"bulrushtally/platform/platformtest"
)

const (
	revokeBefore   = 5000 // ms, in the settings at the start
	revokeAfter    = 2000 // ms, in the settings from the reload on
	reloadTime     = 7 * time.Second
	cutTime        = 8 * time.Second
	revokeDelay    = 200 * time.Millisecond // from the cut to the change of the configuration
	reloadPlayTime = 9 * time.Second
)

// playReload plays the case: CONFIG is broken if a request runs that was sent later than revoke_ms after the acknowledgement of the
// configuration that took its key away.
func playReload(r *record, trouble bool) (broken bool, err error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	desk := platformtest.Service("desk", "non_idempotent", 1, map[string]any{"timeout_ms": 3000})
	d.store.Put("op", "config", platformtest.Config(1, []string{"key", "other"}, desk))
	w, err := startWorker(workerOptions{id: "i-desk-0", service: "desk", version: "v1", slots: 6, work: 10 * time.Millisecond})
	if err != nil {
		return false, err
	}
	defer w.close()
	d.store.Put("servers", w.id, w.entry("ready"))
	link, err := platformtest.NewLink(d.store.Address())
	if err != nil {
		return false, err
	}
	defer link.Close()
	var routers []*router
	for n, store := range []string{link.Address(), d.store.Address(), d.store.Address()} {
		router, err := d.startRouter(fmt.Sprintf("router-%d", n+1), settings{revokeMS: revokeBefore, store: store})
		if err != nil {
			return false, err
		}
		defer router.kill()
		routers = append(routers, router)
	}
	bound := time.Duration(revokeBefore) * time.Millisecond
	if trouble && os.Getenv("RELOAD") != "0" { // RELOAD=0 leaves the settings as they are
		bound = revokeAfter * time.Millisecond
		for _, router := range routers {
			router.values.revokeMS = revokeAfter
			if err := router.writeSettings(); err != nil {
				return false, err
			}
			router.signal(syscall.SIGHUP)
			r.printf("platform: the settings of %s have revoke-ms = %d, SIGHUP", router.name, revokeAfter)
		}
	}
	time.Sleep(reloadTime) // longer than any interval at which a router might look at its settings
	for _, line := range routers[0].logLines("settings-re") {
		r.printf("log of router-1: %s", line)
	}
	if trouble {
		link.SetBlocked(platformtest.ToTarget, true)
		link.SetBlocked(platformtest.FromTarget, true)
		r.printf("the store does not answer router-1 any more")
		time.AfterFunc(cutTime, func() {
			link.Reset()
			link.SetBlocked(platformtest.ToTarget, false)
			link.SetBlocked(platformtest.FromTarget, false)
		})
	}
	time.Sleep(revokeDelay)
	d.store.Put("op", "config", platformtest.Config(2, []string{"other"}, desk))
	acknowledged := time.Now()
	r.printf("operator: version 2 without the key is acknowledged; requests with it may run if they are sent within %v", bound)
	c := &client{router: routers[0].front, key: "key"}
	defer c.drop()
	late := 0
	for n := 0; time.Since(acknowledged) < reloadPlayTime; n++ {
		id := fmt.Sprintf("order-%d", n)
		after := time.Since(acknowledged)
		a := c.send(&request{method: http.MethodPost, path: "/desk/order", id: id, deadline: time.Second, body: []byte("order")})
		r.printf("%s: sent to router-1 %.2f s after the acknowledgement, answered %d, run %v", id, after.Seconds(), a.status, w.ran(id))
		if w.ran(id) && after > bound {
			late++
		}
		time.Sleep(100 * time.Millisecond)
	}
	r.printf("%d requests ran that were sent too late", late)
	return late > 0, nil
}
