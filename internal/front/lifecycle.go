package front

import (
	"sync"
	"time"
)

// state is where a client's connection stands between its opening and its end.
type state int

const (
	stateIdle      state = iota // nothing of a request has been read since the last answer
	stateReading                // part of a request has been read
	statePending                // a request has been read and is owed its final answer
	stateAnswering              // its final answer has begun
	stateClosing                // no further request is read, and none is owed an answer
	stateClosed                 // the socket is closed
)

var stateNames = [...]string{"idle", "reading", "taken", "answering", "closing", "closed"}

func (s state) String() string { return stateNames[s] }

// closeReason is why a connection ends.
type closeReason int

const (
	keepOpen         closeReason = iota
	closeStop                    // the server stops or drains
	closeIdle                    // no request for the idle time
	closeEvicted                 // it gives way to a new connection
	closeNoRequest               // no first request in its time
	closeRequested               // its request says Connection: close, or the answer can only end so
	closeRejected                // its request could not be read, or not all of it was
	closeClientGone              // the client closed or broke it
	closeWriteFailed             // an answer could not be written
	closeForced                  // the process ends
	closeReasonCount             // how many there are
)

var reasonNames = [...]string{"open", "stop", "idle", "evicted", "no first request", "asked", "rejected", "client gone", "write failed", "forced"}

func (r closeReason) String() string { return reasonNames[r] }

// How long a connection that is to close is read once more, since a process that was held up may find its deadline past before it has
// looked. One that never asked may have its first request still on its way when the server stops.
const (
	finalReadTimeout      = 5 * time.Millisecond
	finalFirstReadTimeout = 300 * time.Millisecond
)

// deadliner is the part of a connection that wakes its reader.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

var pastDeadline = time.Unix(1, 0)

// lifecycle owns the end of one connection. A connection closes only out of stateClosing, and that is reached only while no request is
// owed an answer: by its reader, out of stateIdle, once a read that took nothing has ended; or by its worker, with an answer that said
// so. All others only ask for the end. Whatever has been read is therefore answered, and what has not stays unread, so that the kernel
// resets the connection and the client can tell.
type lifecycle struct {
	mu            sync.Mutex
	answerDone    sync.Cond // the connection is neither stateTaken nor stateAnswering any more
	socket        readDeadliner
	state         state
	reason        closeReason // for which it is to close, or has; keepOpen: it stays
	finalRead     bool        // it was read once more since that was asked
	nextStarted   bool        // part of the next request was read while one was owed its answer
	served        bool        // it had an answer
	idleSince     time.Time   // it is idle
	idleSinceMs   float64     // the same by the server's clock
	firstDeadline time.Time   // when its first request has to be whole; zero once it is, or for no bound
}

func newLifecycle(socket readDeadliner, now time.Time, nowMs float64) *lifecycle {
	l := &lifecycle{socket: socket, idleSince: now, idleSinceMs: nowMs}
	l.answerDone.L = &l.mu
	return l
}

// await prepares the reader's next wait for the first byte of a request, or for the client's end while a request is owed its answer.
// False says that the connection closes, and that the reader reads nothing more.
func (l *lifecycle) awaitRead(now time.Time, idle time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.state {
	case statePending, stateAnswering:
		l.socket.SetReadDeadline(time.Time{})
		return true
	case stateIdle:
	default:
		return false
	}
	l.checkTimeouts(now, idle)
	if l.reason == keepOpen {
		l.socket.SetReadDeadline(l.idleDeadline(idle))
		return true
	}
	if l.finalRead {
		l.state = stateClosing
		return false
	}
	l.finalRead = true
	timeout := finalReadTimeout
	if l.reason == closeStop && !l.served {
		timeout = finalFirstReadTimeout
	}
	l.socket.SetReadDeadline(now.Add(timeout))
	return true
}

// expire asks for the end of a connection whose time is over; mu is held.
func (l *lifecycle) checkTimeouts(now time.Time, idle time.Duration) {
	switch {
	case l.reason != keepOpen:
	case !l.firstDeadline.IsZero() && !now.Before(l.firstDeadline):
		l.reason = closeNoRequest
	case !now.Before(l.idleSince.Add(idle)):
		l.reason = closeIdle
	}
}

// idleUntil is when a connection that rests is over; mu is held.
func (l *lifecycle) idleDeadline(idle time.Duration) time.Time {
	deadline := l.idleSince.Add(idle)
	if !l.firstDeadline.IsZero() && l.firstDeadline.Before(deadline) {
		return l.firstDeadline
	}
	return deadline
}

// begin is called by the reader with the first byte of a request. It waits until the request before has its answer; false says that the
// connection closes with it, as a client that sends before its answer has to expect.
func (l *lifecycle) beginRequest() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state == statePending || l.state == stateAnswering {
		l.nextStarted = true
		l.answerDone.Wait()
	}
	l.nextStarted = false
	if l.state != stateIdle {
		return false
	}
	l.state = stateReading
	return true
}

// taken is called by the reader once it has read a request or found that it can't. False says that the connection was closed meanwhile.
func (l *lifecycle) requestRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateReading {
		return false
	}
	l.state = statePending
	return true
}

// whole says that the first request has arrived: its bound ends with its last byte. Kept until the answer, it would be long past for a
// client that waits.
func (l *lifecycle) requestComplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstDeadline = time.Time{}
}

// answering is called by the worker before the first byte of a request's final answer. must is for what the connection has to end with
// it, may for what it can; keepOpen: for nothing. more says that bytes of a next request are there: it is answered too where the end can
// wait. The result is for what the answer ends the connection, which its head has to say, and the state before: an answer is owed in stateTaken
// alone.
func (l *lifecycle) beginAnswer(required, optional closeReason, unread bool) (reason closeReason, previous state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != statePending {
		return keepOpen, l.state
	}
	l.state = stateAnswering
	if l.reason != keepOpen {
		optional = l.reason
	}
	chosen := required
	if chosen == keepOpen && !unread && !l.nextStarted {
		chosen = optional
	}
	if chosen != keepOpen {
		l.reason = chosen
	}
	return chosen, statePending
}

// answered is called by the worker after a request: with keepOpen once its answer is written and did not end the connection, else with
// the reason for which it ends.
func (l *lifecycle) finishAnswer(reason closeReason, now time.Time, nowMs float64, idle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == stateClosed {
		return
	}
	l.served, l.finalRead = true, false
	l.idleSince, l.idleSinceMs = now, nowMs
	l.state = stateIdle
	switch {
	case reason != keepOpen:
		l.state, l.reason = stateClosing, reason
	case l.reason != keepOpen: // asked for since the answer began
		l.socket.SetReadDeadline(pastDeadline)
	default:
		l.socket.SetReadDeadline(l.idleDeadline(idle))
	}
	l.answerDone.Broadcast()
}

// owed says that a request has been read and its final answer has not begun.
func (l *lifecycle) answerPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == statePending
}

// end asks for the end of the connection as soon as nothing is owed: with the next answer, or now if it is idle.
func (l *lifecycle) requestClose(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCloseLocked(reason)
}

// ask is end with mu held.
func (l *lifecycle) requestCloseLocked(reason closeReason) {
	if l.reason != keepOpen {
		return
	}
	l.reason = reason
	if l.state == stateIdle {
		l.socket.SetReadDeadline(pastDeadline)
	}
}

// evict asks for the end of a connection that is idle and stays otherwise; false says that it is not.
func (l *lifecycle) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateIdle || l.reason != keepOpen {
		return false
	}
	l.requestCloseLocked(closeEvicted)
	return true
}

// reasonNow is for what the connection is to close, or has.
func (l *lifecycle) closeReason() closeReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// firstDue is when the first request has to be whole; zero for no bound.
func (l *lifecycle) firstRequestDeadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstDeadline
}

// rest describes a connection for the choice of the one that gives way.
func (l *lifecycle) idleState() (idle, served bool, idleSinceMs float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateIdle, l.served, l.idleSinceMs
}

// close ends the lifecycle, whoever closes the socket, and gives the state and the reason in which it was.
func (l *lifecycle) close(reason closeReason) (previous state, finalReason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	previous = l.state
	if previous != stateClosed && previous != stateClosing {
		l.reason = reason
	}
	l.state = stateClosed
	l.answerDone.Broadcast()
	return previous, l.reason
}
