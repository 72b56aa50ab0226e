package gateway_test

import (
	"strings"
	"testing"
	"time"
)

func TestStoreCallsAreLoggedByPurpose(t *testing.T) {
	s := newTestbed(t, deskService)
	s.startServer("i-1", "desk", 0)
	s.waitReady()
	s.stop()
	wants := []string{`"message":"store-calls"`, `"read servers":1`, `"write routers":1`, `"changes op":`}
	hasAll := func() bool {
		for _, want := range wants {
			if !strings.Contains(s.logs.String(), want) {
				return false
			}
		}
		return true
	}
	if !eventually(5*time.Second, hasAll) {
		t.Errorf("got a log without one of %q after the stop:\n%s", wants, s.logs)
	}
}
