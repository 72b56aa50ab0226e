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

// blocked is an output that nobody reads.
type blocked chan struct{}

func (b blocked) Write([]byte) (int, error) { <-b; return 0, nil }

func TestAReaderThatStopsDelaysNobody(t *testing.T) {
	out := make(blocked)
	w := logline.New(out, logline.Options{QueueBytes: 4096, BytesPerSecond: 1 << 20, Flush: time.Millisecond})
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
		t.Fatal("logging waited for the reader")
	}
	if w.Dropped() == 0 {
		t.Error("got no dropped lines, want those that did not fit counted")
	}
	close(out)
	stop()
	<-w.Done()
}

func TestOrdinaryLinesAreDroppedFirst(t *testing.T) {
	var out bytes.Buffer
	w := logline.New(&out, logline.Options{QueueBytes: 1 << 20, BytesPerSecond: 2000, Flush: time.Hour})
	logger := zerolog.New(w)
	for range 200 {
		logger.Info().Msg("request")
	}
	logger.Warn().Msg("store-lost")
	ctx, stop := context.WithCancel(context.Background())
	stop()
	if err := w.Run(ctx); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"store-lost", "log-lines-dropped"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got no line %q in what was written", want)
		}
	}
	if got := len(out.String()); got > 2500 {
		t.Errorf("got %d bytes in a second, want about 2000", got)
	}
}
