package front

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fakeSocket is a connection with a number of requests to read and a read deadline.
type fakeSocket struct {
	mu           sync.Mutex
	readDeadline time.Time
	requests     int
}

func (f *fakeSocket) SetReadDeadline(t time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readDeadline = t
	return nil
}

// unread reports whether a request can be read.
func (f *fakeSocket) unread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests > 0
}

// read waits for a request or for the deadline; false means that it timed out and read nothing.
func (f *fakeSocket) read() bool {
	for ; ; time.Sleep(20 * time.Microsecond) {
		f.mu.Lock()
		expired := !f.readDeadline.IsZero() && !time.Now().Before(f.readDeadline)
		received := !expired && f.requests > 0
		if received {
			f.requests--
		}
		f.mu.Unlock()
		if expired || received {
			return received
		}
	}
}

// A reader, a worker and a goroutine that requests the close interleave at random. The connection closes within 5 s, and only
// while no request that was read lacks its answer.
func TestLifecycleClosesOnlyWithoutPendingAnswer(t *testing.T) {
	const rounds, idleTimeout = 400, time.Hour
	for seed := range uint64(rounds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		socket := &fakeSocket{requests: rnd.IntN(6)}
		l := newLifecycle(socket, time.Now(), 0)
		read, answered := 0, 0
		pending := make(chan struct{}, 1)
		var wg sync.WaitGroup
		wg.Go(func() { // the reader
			defer close(pending)
			for l.awaitRead(time.Now(), idleTimeout) {
				if !socket.read() {
					continue
				}
				if _, ok := l.beginRequest(); !ok {
					t.Errorf("seed %d: a request was read and can't be answered", seed)
					return
				}
				if l.requestRead() {
					read++
					pending <- struct{}{}
				}
			}
		})
		workTime := time.Duration(rnd.IntN(100)) * time.Microsecond
		wg.Go(func() { // the worker
			for range pending {
				time.Sleep(workTime)
				reason, previous := l.beginAnswer(keepOpen, keepOpen, socket.unread())
				if previous != statePending {
					t.Errorf("seed %d: the answer begins in state %v", seed, previous)
				}
				answered++
				l.finishAnswer(reason, time.Now(), 0, idleTimeout)
				if reason != keepOpen {
					socket.SetReadDeadline(pastDeadline) // wakes the reader, as closing the socket does
					return
				}
			}
		})
		closeAfter, evictFirst := time.Duration(rnd.IntN(400))*time.Microsecond, rnd.IntN(2) == 0
		wg.Go(func() { // requests the close
			time.Sleep(closeAfter)
			if evictFirst && l.evict() {
				return
			}
			l.requestClose(closeIdle)
		})
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatalf("seed %d: not closed after 5 s; state %v, reason %v", seed, l.state, l.reason)
		}
		if previous, _ := l.close(closeForced); previous != stateClosing {
			t.Errorf("seed %d: closed from state %v", seed, previous)
		}
		if read != answered {
			t.Errorf("seed %d: %d requests read, %d answered", seed, read, answered)
		}
	}
}

// A forced close while an answer is pending is reported as such, and no answer may begin after it.
func TestLifecycleForcedWhileAnswerPending(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	if _, ok := l.beginRequest(); !ok || !l.requestRead() {
		t.Fatal("no request could be read")
	}
	if previous, reason := l.close(closeForced); previous != statePending || reason != closeForced {
		t.Errorf("closed from state %v with reason %v", previous, reason)
	}
	if _, previous := l.beginAnswer(keepOpen, keepOpen, false); previous != stateClosed {
		t.Errorf("an answer may begin after the close, in state %v", previous)
	}
}

// A second answer to a request finds that the first one has begun.
func TestLifecycleAnswersOnce(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	l.beginRequest()
	l.requestRead()
	l.requestClose(closeStop)
	if reason, previous := l.beginAnswer(keepOpen, keepOpen, false); previous != statePending || reason != closeStop {
		t.Errorf("the answer begins in state %v and closes the connection with reason %v", previous, reason)
	}
	if _, previous := l.beginAnswer(keepOpen, keepOpen, false); previous != stateAnswering {
		t.Errorf("a second answer finds state %v", previous)
	}
}
