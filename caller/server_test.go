package caller_test

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/caller"
	"bulrushtally/config"
)

// TestStopDuringStart checks that a server stops if its context ends before it has begun to
// accept connections. At that moment, shutting down the HTTP server alone has no effect.
func TestStopDuringStart(t *testing.T) {
	e, _, _ := startEntryRouter(t, time.Second)
	for range 500 {
		server, err := caller.NewServer(caller.ServerOptions{
			Listen: "127.0.0.1:0", MaxBodyBytes: 1 << 20, MaxHeaderBytes: 8192, RequestReadTimeout: time.Second,
			Ready: func() error { return nil }, Logger: zerolog.Nop(),
		}, e, config.NewStore(), nil)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		go server.Run(ctx)
		<-server.Done()
	}
}
