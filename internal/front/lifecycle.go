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
	stateTaken                  // a request has been read and is owed its final answer
	stateAnswering              // its final answer has begun
	stateClosing                // no further request is read, and none is owed an answer
	stateClosed                 // the socket is closed
)

var stateNames = [...]string{"idle", "reading", "taken", "answering", "closing", "closed"}

func (s state) String() string { return stateNames[s] }

// closeReason is why a connection ends.
type closeReason int

const (
	keepOpen       closeReason = iota
	closeStop                  // the server stops or drains
	closeIdle                  // no request for the idle time
	closeEvicted               // it gives way to a new connection
	closeNoRequest             // no first request in its time
	closeAsked                 // its request says Connection: close, or the answer can only end so
	closeRejected              // its request could not be read, or not all of it was
	closeGone                  // the client closed or broke it
	closeWrite                 // an answer could not be written
	closeForced                // the process ends
	closeReasons               // how many there are
)

var reasonNames = [...]string{"open", "stop", "idle", "evicted", "no first request", "asked", "rejected", "client gone", "write failed", "forced"}

func (r closeReason) String() string { return reasonNames[r] }

// How long a connection that is to close is read once more, since a process that was held up may find its deadline past before it has
// looked. One that never asked may have its first request still on its way when the server stops.
const (
	lastLook      = 5 * time.Millisecond
	lastLookFirst = 300 * time.Millisecond
)

// deadliner is the part of a connection that wakes its reader.
type deadliner interface{ SetReadDeadline(time.Time) error }

var past = time.Unix(1, 0)

// lifecycle owns the end of one connection. A connection closes only out of stateClosing, and that is reached only while no request is
// owed an answer: by its reader, out of stateIdle, once a read that took nothing has ended; or by its worker, with an answer that said
// so. All others only ask for the end. Whatever has been read is therefore answered, and what has not stays unread, so that the kernel
// resets the connection and the client can tell.
type lifecycle struct {
	mu      sync.Mutex
	rests   sync.Cond // the connection is neither stateTaken nor stateAnswering any more
	socket  deadliner
	state   state
	reason  closeReason // for which it is to close, or has; keepOpen: it stays
	looked  bool        // it was read once more since that was asked
	next    bool        // part of the next request was read while one was owed its answer
	served  bool        // it had an answer
	since   time.Time   // it is idle
	sinceMs float64     // the same by the server's clock
	firstBy time.Time   // when its first request has to be whole; zero once it is, or for no bound
}

func newLifecycle(socket deadliner, now time.Time, nowMs float64) *lifecycle {
	l := &lifecycle{socket: socket, since: now, sinceMs: nowMs}
	l.rests.L = &l.mu
	return l
}

// await prepares the reader's next wait for the first byte of a request, or for the client's end while a request is owed its answer.
// False says that the connection closes, and that the reader reads nothing more.
func (l *lifecycle) await(now time.Time, idle time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.state {
	case stateTaken, stateAnswering:
		l.socket.SetReadDeadline(time.Time{})
		return true
	case stateIdle:
	default:
		return false
	}
	l.expire(now, idle)
	if l.reason == keepOpen {
		l.socket.SetReadDeadline(l.idleUntil(idle))
		return true
	}
	if l.looked {
		l.state = stateClosing
		return false
	}
	l.looked = true
	look := lastLook
	if l.reason == closeStop && !l.served {
		look = lastLookFirst
	}
	l.socket.SetReadDeadline(now.Add(look))
	return true
}

// expire asks for the end of a connection whose time is over; mu is held.
func (l *lifecycle) expire(now time.Time, idle time.Duration) {
	switch {
	case l.reason != keepOpen:
	case !l.firstBy.IsZero() && !now.Before(l.firstBy):
		l.reason = closeNoRequest
	case !now.Before(l.since.Add(idle)):
		l.reason = closeIdle
	}
}

// idleUntil is when a connection that rests is over; mu is held.
func (l *lifecycle) idleUntil(idle time.Duration) time.Time {
	until := l.since.Add(idle)
	if !l.firstBy.IsZero() && l.firstBy.Before(until) {
		return l.firstBy
	}
	return until
}

// begin is called by the reader with the first byte of a request. It waits until the request before has its answer; false says that the
// connection closes with it, as a client that sends before its answer has to expect.
func (l *lifecycle) begin() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.state == stateTaken || l.state == stateAnswering {
		l.next = true
		l.rests.Wait()
	}
	l.next = false
	if l.state != stateIdle {
		return false
	}
	l.state = stateReading
	return true
}

// taken is called by the reader once it has read a request or found that it can't. False says that the connection was closed meanwhile.
func (l *lifecycle) taken() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateReading {
		return false
	}
	l.state = stateTaken
	return true
}

// whole says that the first request has arrived: its bound ends with its last byte. Kept until the answer, it would be long past for a
// client that waits.
func (l *lifecycle) whole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstBy = time.Time{}
}

// answering is called by the worker before the first byte of a request's final answer. must is for what the connection has to end with
// it, may for what it can; keepOpen: for nothing. more says that bytes of a next request are there: it is answered too where the end can
// wait. The result is for what the answer ends the connection, which its head has to say, and the state before: an answer is owed in stateTaken
// alone.
func (l *lifecycle) answering(must, may closeReason, more bool) (ends closeReason, was state) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateTaken {
		return keepOpen, l.state
	}
	l.state = stateAnswering
	if l.reason != keepOpen {
		may = l.reason
	}
	why := must
	if why == keepOpen && !more && !l.next {
		why = may
	}
	if why != keepOpen {
		l.reason = why
	}
	return why, stateTaken
}

// answered is called by the worker after a request: with keepOpen once its answer is written and did not end the connection, else with
// the reason for which it ends.
func (l *lifecycle) answered(ends closeReason, now time.Time, nowMs float64, idle time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == stateClosed {
		return
	}
	l.served, l.looked = true, false
	l.since, l.sinceMs = now, nowMs
	l.state = stateIdle
	switch {
	case ends != keepOpen:
		l.state, l.reason = stateClosing, ends
	case l.reason != keepOpen: // asked for since the answer began
		l.socket.SetReadDeadline(past)
	default:
		l.socket.SetReadDeadline(l.idleUntil(idle))
	}
	l.rests.Broadcast()
}

// owed says that a request has been read and its final answer has not begun.
func (l *lifecycle) owed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateTaken
}

// end asks for the end of the connection as soon as nothing is owed: with the next answer, or now if it is idle.
func (l *lifecycle) end(why closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ask(why)
}

// ask is end with mu held.
func (l *lifecycle) ask(why closeReason) {
	if l.reason != keepOpen {
		return
	}
	l.reason = why
	if l.state == stateIdle {
		l.socket.SetReadDeadline(past)
	}
}

// evict asks for the end of a connection that is idle and stays otherwise; false says that it is not.
func (l *lifecycle) evict() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != stateIdle || l.reason != keepOpen {
		return false
	}
	l.ask(closeEvicted)
	return true
}

// reasonNow is for what the connection is to close, or has.
func (l *lifecycle) reasonNow() closeReason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reason
}

// firstDue is when the first request has to be whole; zero for no bound.
func (l *lifecycle) firstDue() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstBy
}

// rest describes a connection for the choice of the one that gives way.
func (l *lifecycle) rest() (idle, served bool, sinceMs float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == stateIdle, l.served, l.sinceMs
}

// close ends the lifecycle, whoever closes the socket, and gives the state and the reason in which it was.
func (l *lifecycle) close(why closeReason) (was state, reason closeReason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	was = l.state
	if was != stateClosed && was != stateClosing {
		l.reason = why
	}
	l.state = stateClosed
	l.rests.Broadcast()
	return was, l.reason
}
