// Package schedlag measures the scheduling delay: for how long a process that could run does not run, because the machine
// or the process itself is busy, or because it is stopped.
package schedlag

import "time"

// interval is the time between two wake-ups of the measuring goroutine.
const interval = 5 * time.Millisecond

// Watch starts a measurement. Calling longest ends it, and returns the longest time for which a goroutine that was due
// to run did not run.
func Watch() (longest func() time.Duration) {
	done, result := make(chan struct{}), make(chan time.Duration)
	due := time.Now().Add(interval)
	go func() {
		var longest time.Duration
		for {
			ended := false
			select {
			case <-done:
				ended = true
			case <-time.After(time.Until(due)):
			}
			longest = max(longest, time.Since(due))
			if ended {
				result <- longest
				return
			}
			due = time.Now().Add(interval)
		}
	}()
	return func() time.Duration {
		close(done)
		return <-result
	}
}
