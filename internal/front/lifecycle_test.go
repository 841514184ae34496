package front

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// fakeSocket has requests of a client to read, and a read deadline.
type fakeSocket struct {
	mu       sync.Mutex
	at       time.Time
	requests int
}

func (f *fakeSocket) SetReadDeadline(t time.Time) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.at = t
	return nil
}

// more says that a request can be read.
func (f *fakeSocket) more() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.requests > 0
}

// read waits for a request or for the deadline; false is a timeout that took nothing.
func (f *fakeSocket) read() bool {
	for ; ; time.Sleep(20 * time.Microsecond) {
		f.mu.Lock()
		late := !f.at.IsZero() && !time.Now().Before(f.at)
		got := !late && f.requests > 0
		if got {
			f.requests--
		}
		f.mu.Unlock()
		if late || got {
			return got
		}
	}
}

// A reader, a worker and those that ask for the end cross each other at random. A connection closes, soon, and only while nothing that was
// read is owed an answer.
func TestLifecycleClosesOnlyWhenNothingIsOwed(t *testing.T) {
	const rounds, idle = 400, time.Hour
	for seed := range uint64(rounds) {
		rnd := rand.New(rand.NewPCG(seed, 1))
		socket := &fakeSocket{requests: rnd.IntN(6)}
		l := newLifecycle(socket, time.Now(), 0)
		read, answered := 0, 0
		taken := make(chan struct{}, 1)
		var wg sync.WaitGroup
		wg.Go(func() { // the reader
			defer close(taken)
			for l.await(time.Now(), idle) {
				if !socket.read() {
					continue
				}
				if !l.begin() {
					t.Errorf("seed %d: what was read has to be dropped", seed)
					return
				}
				if l.taken() {
					read++
					taken <- struct{}{}
				}
			}
		})
		workFor := time.Duration(rnd.IntN(100)) * time.Microsecond
		wg.Go(func() { // the worker
			for range taken {
				time.Sleep(workFor)
				ends, was := l.answering(keepOpen, keepOpen, socket.more())
				if was != stateTaken {
					t.Errorf("seed %d: an answer in state %v", seed, was)
				}
				answered++
				l.answered(ends, time.Now(), 0, idle)
				if ends != keepOpen {
					socket.SetReadDeadline(past) // as closing it does
					return
				}
			}
		})
		after, evicts := time.Duration(rnd.IntN(400))*time.Microsecond, rnd.IntN(2) == 0
		wg.Go(func() { // whoever asks for the end
			time.Sleep(after)
			if evicts && l.evict() {
				return
			}
			l.end(closeIdle)
		})
		done := make(chan struct{})
		go func() { wg.Wait(); close(done) }()
		select {
		case <-done:
		case <-time.After(5 * time.Second):
			t.Fatalf("seed %d: it does not end; state %v, reason %v", seed, l.state, l.reason)
		}
		if was, _ := l.close(closeForced); was != stateClosing {
			t.Errorf("seed %d: it ended in state %v", seed, was)
		}
		if read != answered {
			t.Errorf("seed %d: %d requests read, %d answered", seed, read, answered)
		}
	}
}

func TestLifecycleForcedWhileOwed(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	if !l.begin() || !l.taken() {
		t.Fatal("no request could be taken")
	}
	if was, reason := l.close(closeForced); was != stateTaken || reason != closeForced {
		t.Errorf("closed in state %v for %v", was, reason)
	}
	if _, was := l.answering(keepOpen, keepOpen, false); was != stateClosed {
		t.Errorf("an answer may begin in state %v", was)
	}
}

func TestLifecycleAnswersOnce(t *testing.T) {
	l := newLifecycle(&fakeSocket{}, time.Now(), 0)
	l.begin()
	l.taken()
	l.end(closeStop)
	if ends, was := l.answering(keepOpen, keepOpen, false); was != stateTaken || ends != closeStop {
		t.Errorf("the answer begins in state %v and ends for %v", was, ends)
	}
	if _, was := l.answering(keepOpen, keepOpen, false); was != stateAnswering {
		t.Errorf("a second answer finds state %v", was)
	}
}
