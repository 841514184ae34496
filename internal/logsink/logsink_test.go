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
	var want, got strings.Builder
	told := 0
	for line := range strings.Lines(out.text()) {
		if strings.Contains(line, "log lines dropped") { // where it stands depends on when the writer has its first turn
			told++
			continue
		}
		fmt.Fprintf(&want, "line %d\n", strings.Count(got.String(), "\n"))
		got.WriteString(line)
	}
	if got.String() != want.String() || strings.Count(got.String(), "\n") < room || told != 1 {
		t.Errorf("written: %.200q, told %d times of those that were dropped", got.String(), told)
	}
	fmt.Fprintln(w, "last")
	w.Flush(10 * time.Second)
	if !strings.HasSuffix(out.text(), "last\n") {
		t.Error("the last line is missing")
	}
}
