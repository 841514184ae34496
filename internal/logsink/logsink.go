// Package logsink writes log lines to a destination that may be slow, blocked or closed, without ever blocking the
// logger.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// maxQueuedLines is how many lines wait for the destination before further lines are dropped.
const maxQueuedLines = 512

// Writer is an io.Writer that queues lines, which a goroutine of its own writes to the destination. When the queue is
// full, lines are dropped, and their number is written later.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	pending atomic.Int64 // lines that are not written yet
	dropped atomic.Int64
}

// New returns a Writer to out, and starts its goroutine, which never ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, maxQueuedLines)}
	go w.run()
	return w
}

// Write queues a line. It never fails and never blocks.
func (w *Writer) Write(line []byte) (int, error) {
	w.pending.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.pending.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines to the destination.
func (w *Writer) run() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), n)
		}
		w.out.Write(line) // there is nowhere to report an error
		w.pending.Add(-1)
	}
}

// flushPollInterval is the interval at which Flush checks whether all lines are written.
const flushPollInterval = time.Millisecond

// Flush waits until all lines are written, for at most the given time.
func (w *Writer) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); w.pending.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}
