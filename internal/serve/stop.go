package serve

import (
	"context"
	"errors"
	"time"

	"arrowcleat/internal/loop"
)

// fail ends the marshal: one of its cores has.
func (m *Marshal) fail(err error) {
	m.failed.Do(func() {
		m.endsWith(err)
		for _, l := range m.Loops {
			l.Stop()
		}
		m.Front.Abort()
	})
}

// Ended is closed once the marshal has nothing left to run on: after Stop, Kill, or a panic of its module.
func (m *Marshal) Ended() <-chan struct{} { return m.ended }

// How long the end of a marshal waits for its loops, whose calls it can't break off.
const (
	askWithin     = 100 * time.Millisecond // for what a loop owes, before it is taken to stand still
	loopEndWithin = 200 * time.Millisecond // for it to end
)

// ErrLoopBlocked says that the marshal has ended but a call of one of its loops has not.
var ErrLoopBlocked = errors.New("a call of the loop still blocks: the marshal has ended without it")

// Stop takes nothing new, lets what was taken end within its time, and ends once no connection is left that may still carry a
// request.
func (m *Marshal) Stop() error {
	m.Front.Stop()
	deadline := time.Now().Add(dur(m.Front.Current().Times.StopMs))
	for time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
		if m.Front.Open()+m.Front.Connections() > 0 {
			continue
		}
		if open, err := m.owedByAll(); err != nil || open == 0 {
			break
		}
	}
	return m.End()
}

// End ends at once; what is open is terminated. Clients are answered and left whatever the loops do: before the loops are waited for, and
// once more after, for what the loops were just taking.
func (m *Marshal) End() error {
	m.once.Do(func() {
		m.Front.Abort()
		blocked := !m.stopLoops()
		m.Front.Abort()
		m.Front.Close(2 * time.Second)
		m.cancel()
		if m.peers != nil {
			m.peers.Close()
		}
		m.pool.Close()
		m.wg.Wait()
		if blocked {
			m.endsWith(ErrLoopBlocked)
			return // what it records is its own until it ends
		}
		for _, l := range m.all() {
			if l.rec != nil {
				l.rec.Close()
			}
		}
	})
	m.errs.Lock()
	defer m.errs.Unlock()
	return m.err
}

func (m *Marshal) endsWith(err error) {
	m.errs.Lock()
	defer m.errs.Unlock()
	m.err = errors.Join(m.err, err)
}

// Kill ends like a killed process: sockets close, nothing is answered, nothing is written any more.
func (m *Marshal) Kill() {
	m.once.Do(func() {
		m.Front.Kill()
		m.stopLoops()
		m.cancel()
		m.closeSockets()
		m.Front.Close(0)
		m.pool.Close()
		m.wg.Wait()
	})
}

// stopLoops ends the loops; false says that one has not ended.
func (m *Marshal) stopLoops() bool {
	for _, l := range m.Loops {
		l.Stop()
	}
	select {
	case <-m.ended:
		return true
	case <-time.After(loopEndWithin):
		return false
	}
}

// owedByAll counts the invocations that are open at all cores; the error says that one has ended or stands still.
func (m *Marshal) owedByAll() (open int, err error) {
	ctx, done := context.WithTimeout(context.Background(), askWithin)
	defer done()
	for i, l := range m.Loops {
		n, err := loop.Query(ctx, l, func() int { return m.owed(i) })
		if err != nil {
			return 0, err
		}
		open += n
	}
	return open, nil
}

// owed counts the invocations that are open at a core; to be called on its loop.
func (m *Marshal) owed(core int) (open int) {
	m.lanesOf(core, func(l *lane) { open += l.core.OpenInvocations() })
	return open
}
