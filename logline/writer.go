package logline

// This file defines Writer, the queue between loggers and an output that may be slow.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options limit a Writer's memory, output rate and delay.
type Options struct {
	QueueBytes     int           // most bytes queued; lines below level warn may use half of them
	BytesPerSecond int           // most bytes accepted; lines of level warn and above may use twice as many
	FlushInterval  time.Duration // time between writes of the queue
}

// DefaultOptions suit a small VM.
var DefaultOptions = Options{QueueBytes: 256 << 10, BytesPerSecond: 192 << 10, FlushInterval: 100 * time.Millisecond}

// Writer queues log lines for an output. It is safe for concurrent use.
type Writer struct {
	options Options
	out     io.Writer
	done    chan struct{}

	mu           sync.Mutex
	queue        []byte
	freeBuffer   []byte // buffer of the last written batch, reused for the queue
	secondBytes  int    // bytes accepted since secondStart
	secondStart  time.Time
	unreported   int // dropped lines not yet reported in the output
	droppedTotal int // dropped lines since the start
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a Writer for an output. Lines are queued but not written until Run is called.
func New(out io.Writer, o Options) *Writer {
	return &Writer{options: o, out: out, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Dropped returns how many lines have been dropped since the start.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Write queues or drops a line as WriteLevel does for level info. It never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel queues a line, or drops it if it exceeds the limits for its level. It never
// fails and returns len(line) in both cases.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.secondStart) >= time.Second {
		w.secondStart, w.secondBytes = now, 0
	}
	maxSecondBytes, maxQueueBytes := w.options.BytesPerSecond, w.options.QueueBytes/2
	if level >= zerolog.WarnLevel {
		maxSecondBytes, maxQueueBytes = 2*maxSecondBytes, w.options.QueueBytes
	}
	if w.secondBytes+len(line) > maxSecondBytes || len(w.queue)+len(line) > maxQueueBytes {
		w.unreported++
		w.droppedTotal++
		return len(line), nil
	}
	w.secondBytes += len(line)
	w.queue = append(w.queue, line...)
	return len(line), nil
}

// Run writes queued lines until ctx is done, then writes the remaining ones and returns.
// It returns an error if the output does.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	ticker := time.NewTicker(w.options.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-ticker.C:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

// flush writes the queue, and a line with the number of lines dropped since the last one.
func (w *Writer) flush() error {
	w.mu.Lock()
	batch := w.queue
	w.queue, w.freeBuffer = w.freeBuffer[:0], nil
	dropped := w.unreported
	w.unreported = 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log-lines-dropped\"}\n", dropped)
	}
	var err error
	if len(batch) > 0 {
		_, err = w.out.Write(batch)
	}
	w.mu.Lock()
	w.freeBuffer = batch
	w.mu.Unlock()
	return err
}
