package serve

import (
	"context"
	"errors"
	"time"

	"arrowcleat/internal/loop"
)

// fail ends the marshal because the loop of a core has failed.
func (m *Marshal) fail(err error) {
	m.failOnce.Do(func() {
		m.addError(err)
		for _, l := range m.Loops {
			l.Stop()
		}
		m.Front.Abort()
	})
}

// Ended returns a channel that is closed once all loops have ended: after Stop, End, Kill, or a panic of the module.
func (m *Marshal) Ended() <-chan struct{} { return m.ended }

// How long the end of a marshal waits for its loops, whose calls cannot be interrupted.
const (
	queryTimeout    = 100 * time.Millisecond // for the number of open invocations, before a loop counts as stalled
	loopStopTimeout = 200 * time.Millisecond // for the loops to end
)

// ErrLoopBlocked is returned when the marshal has ended but a call of one of its loops has not.
var ErrLoopBlocked = errors.New("a call of an event loop still blocks: the marshal has ended without waiting for it")

// Stop accepts no new invocations and lets open ones complete within the stop time. It ends the marshal once no
// connection is left that may still carry a request.
func (m *Marshal) Stop() error {
	m.Front.Stop()
	deadline := time.Now().Add(milliseconds(m.Front.CurrentSettings().Times.StopMs))
	for time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
		if m.Front.OpenInvocations()+m.Front.Connections() > 0 {
			continue
		}
		if open, err := m.openOnAllCores(); err != nil || open == 0 {
			break
		}
	}
	return m.End()
}

// End ends the marshal at once and terminates open invocations. Clients are answered and disconnected whatever the
// loops do: before waiting for the loops, and once more after, for invocations that a loop was just accepting.
func (m *Marshal) End() error {
	m.endOnce.Do(func() {
		m.Front.Abort()
		m.release() // health checks wait for it
		blocked := !m.stopLoops()
		m.Front.Abort()
		m.Front.Close(2 * time.Second)
		m.cancel()
		if m.peers != nil {
			m.peers.Close()
		}
		m.upstream.Close()
		m.tasks.Wait()
		if blocked {
			m.addError(ErrLoopBlocked)
			return // the recordings belong to the blocked loop until it ends
		}
		for _, w := range m.allWorkers() {
			if w.recorder != nil {
				w.recorder.Close()
			}
		}
	})
	m.errMu.Lock()
	defer m.errMu.Unlock()
	return m.err
}

// addError adds to the error that End returns.
func (m *Marshal) addError(err error) {
	m.errMu.Lock()
	defer m.errMu.Unlock()
	m.err = errors.Join(m.err, err)
}

// Kill ends the marshal like a killed process: sockets close, no request is answered, and nothing more is written.
func (m *Marshal) Kill() {
	m.endOnce.Do(func() {
		m.Front.Kill()
		m.release()
		m.stopLoops()
		m.cancel()
		m.closeSockets()
		m.Front.Close(0)
		m.upstream.Close()
		m.tasks.Wait()
	})
}

// stopLoops stops the loops. It returns false if one has not ended in time.
func (m *Marshal) stopLoops() bool {
	for _, l := range m.Loops {
		l.Stop()
	}
	select {
	case <-m.ended:
		return true
	case <-time.After(loopStopTimeout):
		return false
	}
}

// openOnAllCores counts the open invocations of all cores. It returns an error if a loop has ended or is stalled.
func (m *Marshal) openOnAllCores() (open int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	for i, l := range m.Loops {
		n, err := loop.Query(ctx, l, func() int { return m.openOn(i) })
		if err != nil {
			return 0, err
		}
		open += n
	}
	return open, nil
}

// openOn counts the open invocations of a core. It must run on the loop of that core, or after that loop has ended.
func (m *Marshal) openOn(core int) (open int) {
	m.forEachWorker(core, func(w *worker) { open += w.core.OpenInvocations() })
	return open
}
