package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/caller"
	"bulrushtally/config"
)

// TestStopAtOnce stops servers in the moment of their start.
func TestStopAtOnce(t *testing.T) {
	e, _, _ := start(t, time.Second)
	for range 500 {
		v, err := caller.NewServer(caller.ServerOptions{
			Listen: "127.0.0.1:0", MaxBody: 1 << 20, MaxHeaders: 8192, Timeout: time.Second,
			Ready: func() error { return nil }, Logger: zerolog.Nop(),
		}, e, config.NewStore(), nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		go v.Run(ctx)
		<-v.Done()
	}
}
