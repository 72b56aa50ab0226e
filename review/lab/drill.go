package main

// This file plays a drill of the store, from which it comes back as an older copy, while a router is stopped and started as planned.

import (
	"fmt"
	"sync"
	"time"

	"bulrushtally/platform/platformtest"
)

// Times of the case. The drill's copy is copyAge + drillTime old when the store is back.
const (
	revokeTime    = 5 * time.Second // revoke_ms
	revokedBefore = 6 * time.Second // drill, by the operator
	copyAge       = 7 * time.Second // at the drill
	drillTime     = time.Second     // for which the store is away
	startDelay    = 100 * time.Millisecond
	rewriteDelay  = heartbeat // from the store's return until the operator has written its configuration again, as soon as servers write their entries
	afterRewrite  = 3 * time.Second
	lookupPeriod  = 40 * time.Millisecond
	lookupPath    = "/desk/lookup"
	lookupTime    = 3 * time.Second // deadline
)

// revokedKey is the key that the operator takes away; the customer keeps the other one.
const revokedKey = "key-2"

// playDrill has a caller use a key that was taken away, at a router that starts when the store is back.
func playDrill(f *fleet, trouble bool) (broken int, err error) {
	desk := func() map[string]any { return platformtest.Service("desk", "read_only", 2, nil) }
	f.store.Put("op", "config", platformtest.Config(1, []string{key, revokedKey}, desk()))
	for i, zone := range zones {
		s := &server{id: fmt.Sprintf("i-desk-%d", i+1), service: "desk", zone: zone, events: 1, gap: 20 * time.Millisecond}
		if err := f.startServer(s); err != nil {
			return 0, err
		}
	}
	if err := f.startRouters(3); err != nil {
		return 0, err
	}
	restarted := f.routers[2]
	calm := time.Now()
	if o := f.lookUp(restarted, "before", revokedKey, 1); o.status != 200 {
		return 0, errNoTraffic
	}
	restore := f.store.Copy()
	f.record.printf("the platform makes a copy of the store")
	time.Sleep(time.Until(calm.Add(copyAge - revokedBefore)))
	f.store.Put("op", "config", platformtest.Config(2, []string{key}, desk()))
	revokedAt := time.Now()
	f.record.printf("the store acknowledges configuration 2, which takes %s away", revokedKey)
	time.Sleep(revokedBefore - grace/2)
	f.record.printf("SIGTERM to %s", restarted.name)
	restarted.stop()
	time.Sleep(time.Until(revokedAt.Add(revokedBefore)))
	if trouble {
		f.record.printf("the drill begins")
		f.store.SetFault(platformtest.Unavailable)
	}
	time.Sleep(drillTime)
	if trouble {
		restore()
		f.store.SetFault(platformtest.NoFault)
		f.record.printf("the store is back, from the copy")
	}
	<-restarted.ended
	time.Sleep(startDelay)
	if err := restarted.start(); err != nil {
		return 0, err
	}
	f.record.printf("%s is started again", restarted.name)
	end := time.Now().Add(rewriteDelay + afterRewrite)
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		time.Sleep(rewriteDelay)
		f.store.Put("op", "config", platformtest.Config(2, []string{key}, desk()))
		f.record.printf("the operator has written configuration 2 again")
	}()
	sound := 0
	for n := 1; time.Now().Before(end); n++ {
		o := f.lookUp(restarted, "revoked", revokedKey, n)
		if f.ran(o.id) && o.sentAt.Sub(revokedAt) > revokeTime {
			broken++
			f.record.printf("BROKEN: %s, sent %v after the key was taken away, ran", o.id, o.sentAt.Sub(revokedAt).Round(time.Millisecond))
		}
		if f.lookUp(restarted, "sound", key, n).status == 200 {
			sound++
		}
		time.Sleep(lookupPeriod)
	}
	wait.Wait()
	if sound == 0 {
		return 0, errNoTraffic
	}
	f.record.printf("%d requests with the key that the customer kept were served", sound)
	return broken, nil
}

// lookUp sends a request with a key to a router on a new connection.
func (f *fleet) lookUp(r *router, kind, key string, n int) *outcome {
	c := &caller{record: f.record, address: r.address, key: key}
	defer c.leave()
	return c.send(fmt.Sprintf("lookup-%s-%d", kind, n), lookupPath, lookupTime)
}
