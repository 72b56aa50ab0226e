package logline

// This file defines Writer, the queue between loggers and a slow output.

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Options bound a Writer.
type Options struct {
	QueueBytes     int           // lines that wait to be written
	BytesPerSecond int           // budget; lines of level warn and above may use twice as much
	Flush          time.Duration // longest time that a line waits
}

// DefaultOptions fit a small VM.
var DefaultOptions = Options{QueueBytes: 256 << 10, BytesPerSecond: 192 << 10, Flush: 100 * time.Millisecond}

// Writer queues lines for an output; it may be used from many goroutines.
type Writer struct {
	options Options
	out     io.Writer
	done    chan struct{}

	mu      sync.Mutex
	queue   []byte
	spare   []byte
	spent   int // bytes taken in this second
	second  time.Time
	dropped int
	total   int // lines dropped since the start
}

var _ zerolog.LevelWriter = (*Writer)(nil)

// New returns a Writer for an output. Nothing is written before Run.
func New(out io.Writer, o Options) *Writer {
	return &Writer{options: o, out: out, done: make(chan struct{})}
}

// Done returns a channel that is closed when Run has returned.
func (w *Writer) Done() <-chan struct{} { return w.done }

// Dropped returns how many lines were dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Write queues an ordinary line. It never fails.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, line) }

// WriteLevel queues a line or drops it, and never fails.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.second) >= time.Second {
		w.second, w.spent = now, 0
	}
	budget, room := w.options.BytesPerSecond, w.options.QueueBytes/2
	if level >= zerolog.WarnLevel {
		budget, room = 2*budget, w.options.QueueBytes
	}
	if w.spent+len(line) > budget || len(w.queue)+len(line) > room {
		w.dropped++
		w.total++
		return len(line), nil
	}
	w.spent += len(line)
	w.queue = append(w.queue, line...)
	return len(line), nil
}

// Run writes queued lines until the context ends, and then what is left.
func (w *Writer) Run(ctx context.Context) error {
	defer close(w.done)
	t := time.NewTicker(w.options.Flush)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return w.flush()
		case <-t.C:
			if err := w.flush(); err != nil {
				return err
			}
		}
	}
}

func (w *Writer) flush() error {
	w.mu.Lock()
	batch := w.queue
	w.queue, w.spare = w.spare[:0], nil
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warn\",\"lines\":%d,\"message\":\"log-lines-dropped\"}\n", dropped)
	}
	var err error
	if len(batch) > 0 {
		_, err = w.out.Write(batch)
	}
	w.mu.Lock()
	w.spare = batch
	w.mu.Unlock()
	return err
}
