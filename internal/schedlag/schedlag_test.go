package schedlag

import (
	"fmt"
	"os/exec"
	"testing"
	"time"
)

// TestWatch checks that the delay of a stopped process is measured, also if the measurement ends before the goroutine
// runs again.
func TestWatch(t *testing.T) {
	const stoppedFor = 100 * time.Millisecond
	for _, before := range []time.Duration{0, 30 * time.Millisecond} {
		longest := Watch()
		time.Sleep(before)
		script := fmt.Sprintf("kill -STOP $PPID; sleep %g; kill -CONT $PPID", stoppedFor.Seconds())
		if err := exec.Command("/bin/sh", "-c", script).Run(); err != nil {
			t.Fatal(err)
		}
		if got := longest(); got < stoppedFor/2 {
			t.Errorf("stopped for %v, the measured delay is %v", stoppedFor, got)
		}
	}
}
