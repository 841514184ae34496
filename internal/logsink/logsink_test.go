package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// gated is a destination that takes nothing until its gate opens.
type gated struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (g *gated) Write(b []byte) (int, error) {
	<-g.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.Write(b)
}

func (g *gated) text() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.got.String()
}

// Nobody who logs waits for a destination that is stuck; once it takes lines again it has them in order, and how many were dropped.
func TestStuckDestination(t *testing.T) {
	const lines, within = 3 * room, 100 * time.Millisecond
	out := &gated{gate: make(chan struct{})}
	w := New(out)
	begun := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %d\n", i)
	}
	w.Flush(within)
	if took := time.Since(begun); took > 10*within {
		t.Errorf("logging and a flush took %v", took)
	}
	close(out.gate)
	w.Flush(10 * time.Second)
	fmt.Fprintf(w, "line %d\n", lines) // what was dropped before it is told
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
		} else if _, told, found := strings.Cut(line, "count="); !found {
			t.Errorf("written: %q", line)
		} else if _, err := fmt.Sscan(told, &count); err != nil {
			t.Errorf("%q: %v", line, err)
		}
		dropped += count
	}
	if written+dropped != lines+1 || written < room || dropped == 0 || last != lines {
		t.Errorf("of %d lines %d were written, the last was %d, and %d were told as dropped", lines+1, written, last, dropped)
	}
}
