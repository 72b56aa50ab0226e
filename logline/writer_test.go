package logline_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"bulrushtally/logline"
)

// blockedWriter is an output whose Write blocks until the channel is closed.
type blockedWriter chan struct{}

func (b blockedWriter) Write([]byte) (int, error) { <-b; return 0, nil }

// TestBlockedOutputDoesNotBlockLogging logs while the output blocks, as a pipe does whose
// reader has stopped.
func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	out := make(blockedWriter)
	w := logline.New(out, logline.Options{QueueBytes: 4096, BytesPerSecond: 1 << 20, FlushInterval: time.Millisecond})
	ctx, stop := context.WithCancel(context.Background())
	go w.Run(ctx)
	logger := zerolog.New(w)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 10000 {
			logger.Info().Str("request", "x").Msg("request")
		}
	}()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("logging did not finish within 5 s while the output was blocked")
	}
	if w.Dropped() == 0 {
		t.Error("got 0 dropped lines, want the number of lines that exceeded the queue")
	}
	close(out)
	stop()
	<-w.Done()
}

func TestInfoLinesAreDroppedBeforeWarnings(t *testing.T) {
	var out bytes.Buffer
	w := logline.New(&out, logline.Options{QueueBytes: 1 << 20, BytesPerSecond: 2000, FlushInterval: time.Hour})
	logger := zerolog.New(w)
	for range 200 {
		logger.Info().Msg("request")
	}
	logger.Warn().Msg("store-unavailable")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"store-unavailable", "log-lines-dropped"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks a line %q", want)
		}
	}
	if got := len(out.String()); got > 2500 {
		t.Errorf("got %d bytes written within a second, want at most 2500", got)
	}
}
