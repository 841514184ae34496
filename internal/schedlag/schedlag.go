// Package schedlag measures scheduling lag: for how long a process is held up, by a machine that is busy or by itself.
package schedlag

import "time"

const every = 5 * time.Millisecond

// Watch measures until longest is called, which gives the longest time in between that a goroutine which was due did not run.
func Watch() (longest func() time.Duration) {
	done, most := make(chan struct{}), make(chan time.Duration)
	due := time.Now().Add(every)
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
				most <- longest
				return
			}
			due = time.Now().Add(every)
		}
	}()
	return func() time.Duration {
		close(done)
		return <-most
	}
}
