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

// TestFailedTasksAreRestarted runs a task that panics, then fails, then runs until it is
// stopped.
func TestFailedTasksAreRestarted(t *testing.T) {
	var log bytes.Buffer
	tree := supervise.New("root", zerolog.New(&log))
	starts := 0
	running := make(chan struct{})
	task := tree.Go("failing-twice", func(ctx context.Context) error {
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
	<-task.Done()
	if got, want := tree.Restarts(), 2; got != want {
		t.Errorf("restarts: %d, want %d", got, want)
	}
	for _, want := range []string{"task-panicked", "first start", "task-failed", "second start"} {
		if !strings.Contains(log.String(), want) {
			t.Errorf("log lacks %q:\n%s", want, log.String())
		}
	}
}

// TestStopEndsNewestSubtreeFirst checks that the newest subtree ends first and the tree's
// own task last.
func TestStopEndsNewestSubtreeFirst(t *testing.T) {
	tree := supervise.New("root", zerolog.Nop())
	ended := make(chan string, 3)
	untilStopped := func(name string) func(context.Context) error {
		return func(ctx context.Context) error {
			<-ctx.Done()
			ended <- name
			return nil
		}
	}
	tree.Go("own", untilStopped("own"))
	tree.Subtree("first").Go("a", untilStopped("first"))
	tree.Subtree("second").Go("b", untilStopped("second"))
	tree.Stop()
	<-tree.Done()
	close(ended)
	var order []string
	for name := range ended {
		order = append(order, name)
	}
	if got, want := strings.Join(order, " "), "second first own"; got != want {
		t.Errorf("tasks ended in the order %s, want %s", got, want)
	}
}
