package schedlag

import (
	"fmt"
	"os/exec"
	"testing"
	"time"
)

// A process that is stopped for a while finds that out, also where the watch ends before its next look.
func TestWatch(t *testing.T) {
	const held = 100 * time.Millisecond
	for _, before := range []time.Duration{0, 30 * time.Millisecond} {
		longest := Watch()
		time.Sleep(before)
		stop := fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", held.Seconds())
		if err := exec.Command("/bin/sh", "-c", stop).Run(); err != nil {
			t.Fatal(err)
		}
		if got := longest(); got < held/2 {
			t.Errorf("stopped for %v, it says it was held up for %v", held, got)
		}
	}
}
