package supervise_test

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"bulrushtally/supervise"
)

// TestPartsAreRestarted has a part panic, then fail, then run until it is stopped.
func TestPartsAreRestarted(t *testing.T) {
	var log bytes.Buffer
	tree := supervise.New("root", zerolog.New(&log))
	starts := 0
	running := make(chan struct{})
	p := tree.Go("shaky", func(ctx context.Context) error {
		starts++
		switch starts {
		case 1:
			panic("first start")
		case 2:
			return errors.New("second start")
		}
		close(running)
		<-ctx.Done()
		return nil
	})
	<-running
	tree.Stop()
	<-p.Done()
	if got, want := tree.Restarts(), 2; got != want {
		t.Errorf("restarts: %d, want %d", got, want)
	}
	for _, want := range []string{"part-panicked", "first start", "part-failed", "second start"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("log lacks %q:\n%s", want, log.String())
		}
	}
}

// TestStopGoesFromTheLeaves stops a tree whose subtrees must end in the reverse order of their making.
func TestStopGoesFromTheLeaves(t *testing.T) {
	tree := supervise.New("root", zerolog.Nop())
	ended := make(chan string, 3)
	part := func(name string) func(context.Context) error {
		return func(ctx context.Context) error {
			<-ctx.Done()
			ended <- name
			return nil
		}
	}
	tree.Go("own", part("own"))
	tree.Subtree("first").Go("a", part("first"))
	tree.Subtree("second").Go("b", part("second"))
	tree.Stop()
	<-tree.Done()
	close(ended)
	var order []string
	for name := range ended {
		order = append(order, name)
	}
	if got, want := strings.Join(order, " "), "second first own"; got != want {
		t.Errorf("order of ends: %s, want %s", got, want)
	}
}
