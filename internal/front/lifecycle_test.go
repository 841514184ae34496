package front

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fakeSocket has requests of a client to read, and a read deadline.
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

// more says that a request can be read.
func (f *fakeSocket) unread() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests > 0
}

// read waits for a request or for the deadline; false is a timeout that took nothing.
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

// A reader, a worker and those that ask for the end cross each other at random. A connection closes, soon, and only while nothing that was
// read is owed an answer.
func TestLifecycleClosesOnlyWithoutPendingAnswer(t *testing.T) {
	const rounds, idle = 400, time.Hour
	for seed := range uint64(rounds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		socket := &fakeSocket{requests: rnd.IntN(6)}
		l := newLifecycle(socket, time.Now(), 0)
		read, answered := 0, 0
		pending := make(chan struct{}, 1)
		var wg sync.WaitGroup
		wg.Go(func() { // the reader
			defer close(pending)
			for l.awaitRead(time.Now(), idle) {
				if !socket.read() {
					continue
				}
				if !l.beginRequest() {
					t.Errorf("seed %d: what was read has to be dropped", seed)
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
					t.Errorf("seed %d: an answer in state %v", seed, previous)
				}
				answered++
				l.finishAnswer(reason, time.Now(), 0, idle)
				if reason != keepOpen {
					socket.SetReadDeadline(pastDeadline) // as closing it does
					return
				}
			}
		})
		closeAfter, evictFirst := time.Duration(rnd.IntN(400))*time.Microsecond, rnd.IntN(2) == 0
		wg.Go(func() { // whoever asks for the end
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
			t.Fatalf("seed %d: it does not end; state %v, reason %v", seed, l.state, l.reason)
		}
		if previous, _ := l.close(closeForced); previous != stateClosing {
			t.Errorf("seed %d: it ended in state %v", seed, previous)
		}
		if read != answered {
			t.Errorf("seed %d: %d requests read, %d answered", seed, read, answered)
		}
	}
}

func TestLifecycleForcedWhileAnswerPending(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	if !l.beginRequest() || !l.requestRead() {
		t.Fatal("no request could be taken")
	}
	if was, reason := l.close(closeForced); was != statePending || reason != closeForced {
		t.Errorf("closed in state %v for %v", was, reason)
	}
	if _, was := l.beginAnswer(keepOpen, keepOpen, false); was != stateClosed {
		t.Errorf("an answer may begin in state %v", was)
	}
}

func TestLifecycleAnswersOnce(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	l.beginRequest()
	l.requestRead()
	l.requestClose(closeStop)
	if ends, was := l.beginAnswer(keepOpen, keepOpen, false); was != statePending || ends != closeStop {
		t.Errorf("the answer begins in state %v and ends for %v", was, ends)
	}
	if _, was := l.beginAnswer(keepOpen, keepOpen, false); was != stateAnswering {
		t.Errorf("a second answer finds state %v", was)
	}
}
