// Package logsink writes log lines to a destination that may be slow, stuck or gone, and never makes who logs wait for it.
package logsink

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// room is how many lines wait for the destination before further ones are dropped.
const room = 512

// Writer is an io.Writer whose lines a goroutine of its own writes on. What finds no room is dropped, and the count is written later.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	waiting atomic.Int64 // lines that are not written yet
	dropped atomic.Int64
}

// New writes to out from now on.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, room)}
	go w.run()
	return w
}

// Write takes a line. It never fails and never waits.
func (w *Writer) Write(line []byte) (int, error) {
	w.waiting.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.waiting.Add(-1)
		w.dropped.Add(1)
	}
	return len(line), nil
}

func (w *Writer) run() {
	for line := range w.lines {
		if n := w.dropped.Swap(0); n > 0 {
			fmt.Fprintf(w.out, "time=%s level=WARN msg=\"log lines dropped\" count=%d\n", time.Now().UTC().Format(time.RFC3339Nano), n)
		}
		w.out.Write(line) // there is nobody to tell that it failed
		w.waiting.Add(-1)
	}
}

// flushEvery is between two looks whether all lines are written.
const flushEvery = time.Millisecond

// Flush waits until all lines are written, but for no longer than within.
func (w *Writer) Flush(within time.Duration) {
	for end := time.Now().Add(within); w.waiting.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushEvery)
	}
}
