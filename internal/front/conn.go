package front

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
)

// conn is one client's connection. One goroutine reads heads, and finds out when the client goes; the other one works on one request
// after the other. The reader stands still while the worker reads a body, and reads no request before the one before has its answer.
type conn struct {
	s        *Server
	nc       net.Conn
	life     *lifecycle
	listener string // that it came to
	host     string // the client's
	guard    *time.Timer
	home     int // the core that takes what nothing binds to another
	r        *h1.Reader
	requests chan *request
	resume   chan struct{}
	commands chan command
	gone     atomic.Bool
	noBody   bool   // the request being worked on is a HEAD
	id       string // of the request that is open, until its answer begins
	lastID   string // of the request that was read last, for the log
	evicted  bool   // it gives way to another; s.mu
	current  atomic.Pointer[exchange]
	out      []byte // room for what is written to the client
	held     []byte // and for an answer that is held
	body     []byte // and for a request's body
}

type request struct {
	head  *h1.Head
	began float64 // when its first byte was read
	fault error   // in place of a head
}

func (c *conn) read() {
	defer c.s.wg.Done()
	defer close(c.requests)
	for {
		began, ok := c.awaitRequest()
		if !ok {
			return
		}
		c.readBy(c.s.Current().Times.HeaderMs)
		h, err := c.r.Request(c.s.limits)
		if !c.life.taken() {
			return
		}
		if err != nil {
			c.requests <- &request{fault: err}
			return
		}
		body := h.Length != 0
		if !body {
			c.life.whole()
		}
		c.requests <- &request{head: h, began: began}
		if body {
			if _, ok := <-c.resume; !ok {
				return
			}
			c.life.whole()
		}
	}
}

// awaitRequest waits until the first byte of a request has been read and the request before has its answer. It gives the clock's time at
// which that byte was read: the client's time runs from then. False says that the connection ends.
func (c *conn) awaitRequest() (began float64, ok bool) {
	for c.life.await(time.Now(), ms(c.s.Current().Times.IdleMs)) {
		_, err := c.r.Peek(1)
		if err == nil {
			began = c.s.Clock.Now()
			return began, c.life.begin()
		}
		if !back.Timeout(err) {
			c.leave()
			break
		}
	}
	return 0, false
}

// readBy bounds the next read, for a first request by what is left until it must be whole. A server that ends waits for nothing more.
func (c *conn) readBy(within float64) {
	at := time.Now().Add(ms(within))
	if by := c.life.firstDue(); !by.IsZero() && by.Before(at) {
		at = by
	}
	c.nc.SetReadDeadline(at)
	if c.s.aborted.Load() {
		c.nc.SetReadDeadline(past)
	}
}

// leave says that the client has gone.
func (c *conn) leave() {
	c.gone.Store(true)
	if x := c.current.Load(); x != nil && !c.s.Faults.Gone {
		x.lapse()
	}
}

func (c *conn) work() {
	defer c.s.wg.Done()
	for req := range c.requests {
		if ends := c.process(req); ends != keepOpen {
			break
		}
	}
	c.finish()
}

// process works on one request, and says for what the connection ends with it. A request that is owed an answer gets one here if nothing
// else has given it any.
func (c *conn) process(req *request) (ends closeReason) {
	c.s.Counts.Read.Add(1)
	c.lastID = ""
	keep := c.serveSafely(req)
	if c.life.owed() && !c.gone.Load() {
		c.s.Counts.Unanswered.Add(1)
		c.s.Log.Error("a request was given up without an answer", "request", c.lastID, "state", stateTaken.String())
		c.plain(502, Terminated, "terminated: what it did is not known", closeRejected)
		keep = false
	}
	switch {
	case c.life.owed(): // the client has gone, or has only ended its sending: then this reaches it
		c.s.Counts.Left.Add(1)
		c.plain(502, Terminated, "given up: the connection was closed", closeGone)
		ends = closeGone
	case !keep:
		c.s.Counts.Answered.Add(1)
		if ends = c.life.reasonNow(); ends == keepOpen {
			ends = closeWrite
		}
	default:
		c.s.Counts.Answered.Add(1)
	}
	c.life.answered(ends, time.Now(), c.s.Clock.Now(), ms(c.s.Current().Times.IdleMs))
	return ends
}

// beginAnswer is called before the first byte of a final answer. must is for what the connection has to end with it. The result is for what
// it does, which the answer's head has to say; ok is false where no answer is owed, and nothing may be written.
func (c *conn) beginAnswer(must closeReason) (ends closeReason, ok bool) {
	may, more := keepOpen, false
	if s := c.s; s.draining.Load() || s.stopping.Load() {
		may, more = closeStop, !s.aborted.Load() && back.Unread(c.nc)
	}
	ends, was := c.life.answering(must, may, more)
	if was == stateAnswering {
		c.s.Counts.SecondAnswers.Add(1)
		c.s.Log.Error("a second answer was held back", "request", c.lastID)
	}
	return ends, was == stateTaken
}

// serveSafely is serve; a panic costs the connection, not the process and all that it owes to others.
func (c *conn) serveSafely(req *request) (keep bool) {
	defer func() {
		if p := recover(); p != nil {
			keep = false
			c.s.Log.Error("a connection's goroutine panicked", "request", c.lastID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	return c.serve(req)
}

// finish closes the connection once its lifecycle allows it. The reader, if it still waits, ends with it.
func (c *conn) finish() {
	if c.life.reasonNow() == closeRejected || c.s.Faults.Discards {
		c.discardRest()
	}
	c.end(closeGone)
	close(c.resume)
	for range c.requests { // the reader hands on nothing more, and closes this as it ends
		c.s.Counts.Unanswered.Add(1)
		c.s.Log.Error("a request was read and is not answered", "request", c.lastID)
	}
	c.s.remove(c)
}

// end closes the socket without reading from it: what has come unread stays so, and the kernel tells the client.
func (c *conn) end(why closeReason) {
	was, reason := c.life.close(why)
	if was == stateClosed {
		return
	}
	c.nc.Close()
	c.s.Counts.Closed[reason].Add(1)
	if why == closeForced && (was == stateTaken || was == stateAnswering) && !c.gone.Load() {
		c.s.Counts.Unanswered.Add(1)
		c.s.Log.Error("a request was open when its connection was closed", "request", c.openID(), "state", was.String(), "reason", reason.String(), "client", c.nc.RemoteAddr().String())
	}
	if c.s.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.s.Log.Debug("connection closed", "client", c.nc.RemoteAddr().String(), "state", was.String(), "reason", reason.String())
	}
}

// openID is the id of the request that is worked on, empty where it has none.
func (c *conn) openID() string {
	if x := c.current.Load(); x != nil {
		return x.requestID
	}
	return ""
}

// discardRest lets the client read why its request was rejected before the connection is gone: it may still be sending the rest of that
// request, and closing with something unread would reset it.
func (c *conn) discardRest() {
	if t, ok := c.nc.(halfCloser); ok && !c.gone.Load() {
		t.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, c.nc, lingerBytes)
	}
}

type halfCloser interface{ CloseWrite() error }

// interrupt ends what the worker waits for at a node.
func (c *conn) interrupt() {
	if x := c.current.Load(); x != nil {
		x.Abort()
	}
}

// write sends what is in out.
func (c *conn) write() error {
	c.nc.SetWriteDeadline(time.Now().Add(ms(c.s.Current().Times.WriteMs)))
	_, err := c.nc.Write(c.out)
	if cap(c.out) > 1<<16 {
		c.out = nil
	}
	return err
}
