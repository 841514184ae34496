package front

import (
	"sync"
	"time"
)

// state is the state of a client connection.
type state int

const (
	stateIdle      state = iota // no part of a request has been read since the last answer
	stateReading                // part of a request has been read
	statePending                // a request has been read, and its final answer is pending
	stateAnswering              // its final answer has begun
	stateClosing                // no further request is read, and no answer is pending
	stateClosed                 // the socket is closed
)

var stateNames = [...]string{"idle", "reading", "taken", "answering", "closing", "closed"}

// String returns the name of the state as it appears in logs.
func (s state) String() string { return stateNames[s] }

// closeReason is the reason for which a connection closes.
type closeReason int

const (
	keepOpen         closeReason = iota // the connection stays open
	closeStop                           // the server stops or drains
	closeIdle                           // no request within the idle timeout
	closeEvicted                        // evicted in favour of a new connection
	closeNoRequest                      // no first request within its timeout
	closeRequested                      // its request says Connection: close, or only closing can end the answer's body
	closeRejected                       // its request could not be read, or only partly
	closeClientGone                     // the client disconnected
	closeWriteFailed                    // an answer could not be written
	closeForced                         // the process ends
	closeReasonCount                    // number of reasons
)

var reasonNames = [...]string{"open", "stop", "idle", "evicted", "no first request", "asked", "rejected",
	"client gone", "write failed", "forced"}

// String returns the name of the reason as it appears in logs and metrics.
func (r closeReason) String() string { return reasonNames[r] }

// Timeouts of the final read of a connection that is to close. It is needed because a process that was not scheduled may find
// its deadline past before it has read. The first request of a new connection may still be on its way when the server stops.
const (
	finalReadTimeout      = 5 * time.Millisecond
	finalFirstReadTimeout = 300 * time.Millisecond
)

// readDeadliner is a connection whose reader can be woken by a deadline.
type readDeadliner interface{ SetReadDeadline(time.Time) error }

// pastDeadline is a deadline that wakes a reader at once.
var pastDeadline = time.Unix(1, 0)

// lifecycle controls the closing of one connection. A connection closes only from stateClosing, which is reached only while no
// answer is pending: by the reader, from stateIdle, after a read that returned nothing; or by the worker, after an answer that
// announced it. Everyone else only requests the close. So every request that has been read is answered, and data that arrives
// later stays unread, so that the kernel resets the connection and the client can tell.
type lifecycle struct {
	mu            sync.Mutex
	answerDone    sync.Cond // signals that the state is neither statePending nor stateAnswering any more
	socket        readDeadliner
	state         state
	reason        closeReason // why it is to close or has closed; keepOpen: it stays open
	finalRead     bool        // the final read after a requested close has begun
	nextStarted   bool        // part of the next request was read while an answer was pending
	served        bool        // at least one request has been answered
	idleSince     time.Time   // start of the current idle time
	idleSinceMs   float64     // the same by the server's clock, in ms
	firstDeadline time.Time   // when its first request has to be complete; zero once it is, or for no limit
}

// newLifecycle returns the lifecycle of a connection opened now; nowMs is the same time by the server's clock.
func newLifecycle(socket readDeadliner, now time.Time, nowMs float64) *lifecycle {
	l := &lifecycle{socket: socket, idleSince: now, idleSinceMs: nowMs}
	l.answerDone.L = &l.mu
	return l
}

// awaitRead prepares the reader's next wait, for the first byte of a request or, while an answer is pending, for the client to
// disconnect. False means that the connection closes and the reader must not read any more.
func (l *lifecycle) awaitRead(now time.Time, idleTimeout time.Duration) bool {
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
	l.checkTimeouts(now, idleTimeout)
	if l.reason == keepOpen {
		l.socket.SetReadDeadline(l.idleDeadline(idleTimeout))
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

// checkTimeouts requests the close of a connection whose time is over; mu is held.
func (l *lifecycle) checkTimeouts(now time.Time, idleTimeout time.Duration) {
	switch {
	case l.reason != keepOpen:
	case !l.firstDeadline.IsZero() && !now.Before(l.firstDeadline):
		l.reason = closeNoRequest
	case !now.Before(l.idleSince.Add(idleTimeout)):
		l.reason = closeIdle
	}
}

// idleDeadline returns the time at which an idle connection times out; mu is held.
func (l *lifecycle) idleDeadline(idleTimeout time.Duration) time.Time {
	deadline := l.idleSince.Add(idleTimeout)
	if !l.firstDeadline.IsZero() && l.firstDeadline.Before(deadline) {
		return l.firstDeadline
	}
	return deadline
}

// beginRequest is called by the reader with the first byte of a request. It waits until the previous request has its answer.
// early says that the request came before that answer had begun. ok is false if the connection closes after that answer, which
// a client that sends early has to expect.
func (l *lifecycle) beginRequest() (early, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	early = l.state == statePending
	for l.state == statePending || l.state == stateAnswering {
		l.nextStarted = true
		l.answerDone.Wait()
	}
	l.nextStarted = false
	if l.state != stateIdle {
		return early, false
	}
	l.state = stateReading
	return early, true
}

// requestRead is called by the reader once it has read a request or failed to. False means that the connection was closed in
// the meantime.
func (l *lifecycle) requestRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateReading {
		return false
	}
	l.state = statePending
	return true
}

// requestComplete clears the deadline for the first request with its last byte. If it were kept until the answer, it would have
// passed for a client that waits.
func (l *lifecycle) requestComplete() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstDeadline = time.Time{}
}

// beginAnswer is called by the worker before the first byte of a request's final answer. required is the reason for which the
// connection has to close after it, optional one for which it may close; keepOpen means none. unread says that bytes of a next
// request have arrived: it is answered too if closing can wait. The results are the reason for which the connection closes
// after the answer, which its head has to announce, and the previous state: an answer is pending in statePending alone.
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

// finishAnswer is called by the worker after a request: with keepOpen if its answer is written and the connection stays open,
// else with the reason for which the connection closes.
func (l *lifecycle) finishAnswer(reason closeReason, now time.Time, nowMs float64, idleTimeout time.Duration) {
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
	case l.reason != keepOpen: // requested since the answer began
		l.socket.SetReadDeadline(pastDeadline)
	default:
		l.socket.SetReadDeadline(l.idleDeadline(idleTimeout))
	}
	l.answerDone.Broadcast()
}

// answerPending reports whether a request has been read and its final answer has not begun.
func (l *lifecycle) answerPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == statePending
}

// requestClose requests that the connection closes as soon as no answer is pending: after the next answer, or now if it is
// idle.
func (l *lifecycle) requestClose(reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestCloseLocked(reason)
}

// requestCloseLocked is requestClose with mu held.
func (l *lifecycle) requestCloseLocked(reason closeReason) {
	if l.reason != keepOpen {
		return
	}
	l.reason = reason
	if l.state == stateIdle {
		l.socket.SetReadDeadline(pastDeadline)
	}
}

// evict requests the close of an idle connection. False means that it is not idle, or is to close already.
func (l *lifecycle) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateIdle || l.reason != keepOpen {
		return false
	}
	l.requestCloseLocked(closeEvicted)
	return true
}

// closeReason returns the reason for which the connection is to close or has closed.
func (l *lifecycle) closeReason() closeReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// firstRequestDeadline returns the time by which the first request has to be complete, zero for no limit.
func (l *lifecycle) firstRequestDeadline() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstDeadline
}

// idleState describes the connection for the choice of the one to evict.
func (l *lifecycle) idleState() (idle, served bool, idleSinceMs float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateIdle, l.served, l.idleSinceMs
}

// close ends the lifecycle, whoever closes the socket, and returns the previous state and the reason of the close.
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
