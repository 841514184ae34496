package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockedWriter is a destination that blocks until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.unblock
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(b)
}

func (w *blockedWriter) text() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.String()
}

// TestBlockedDestination checks that logging never waits for a blocked destination. Once the destination accepts lines
// again, it gets them in order and the number of dropped lines.
func TestBlockedDestination(t *testing.T) {
	const lines, timeout = 3 * maxQueuedLines, 100 * time.Millisecond
	out := &blockedWriter{unblock: make(chan struct{})}
	w := New(out)
	start := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Flush(timeout)
	if took := time.Since(start); took > 10*timeout {
		t.Errorf("logging and a flush of at most %v took %v", timeout, took)
	}
	close(out.unblock)
	w.Flush(10 * time.Second)
	fmt.Fprintf(w, "line %d\n", lines) // it is written after the number of lines that were dropped before it
	w.Flush(10 * time.Second)
	text, written, dropped, last := out.text(), 0, 0, -1
	for line := range strings.Lines(text) {
		var number, count int
		if _, err := fmt.Sscanf(line, "line %d", &number); err == nil {
			if number <= last {
				t.Errorf("line %d comes after line %d", number, last)
			}
			last = number
			written++
		} else if _, value, found := strings.Cut(line, "count="); !found {
			t.Errorf("unexpected line %q", line)
		} else if _, err := fmt.Sscan(value, &count); err != nil {
			t.Errorf("%q: %v", line, err)
		}
		dropped += count
	}
	if written+dropped != lines+1 || written < maxQueuedLines || dropped == 0 || last != lines {
		t.Errorf("of %d lines %d were written, the last was %d, and %d were reported as dropped", lines+1, written, last, dropped)
	}
}
