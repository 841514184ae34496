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
	server        *Server
	nc            net.Conn
	lifecycle     *lifecycle
	listener      string // that it came to
	host          string // the client's
	answerTimer   *time.Timer
	homeCore      int // the core that takes what nothing binds to another
	reader        *h1.Reader
	requests      chan *request
	bodyRead      chan struct{}
	commands      chan command
	clientGone    atomic.Bool
	omitBody      bool   // the request being worked on is a HEAD
	openID        string // of the request that is open, until its answer begins
	lastRequestID string // of the request that was read last, for the log
	evicted       bool   // it gives way to another; s.mu
	exchange      atomic.Pointer[exchange]
	writeBuf      []byte // room for what is written to the client
	responseBuf   []byte // and for an answer that is held
	requestBuf    []byte // and for a request's body
}

type request struct {
	head    *h1.Head
	startMs float64 // when its first byte was read
	err     error   // in place of a head
}

func (c *conn) readLoop() {
	defer c.server.wg.Done()
	defer close(c.requests)
	for {
		startMs, ok := c.awaitRequest()
		if !ok {
			return
		}
		c.setReadDeadline(c.server.CurrentSettings().Times.HeaderMs)
		h, err := c.reader.Request(c.server.limits)
		if !c.lifecycle.requestRead() {
			return
		}
		if err != nil {
			c.requests <- &request{err: err}
			return
		}
		hasBody := h.BodyLength != 0
		if !hasBody {
			c.lifecycle.requestComplete()
		}
		c.requests <- &request{head: h, startMs: startMs}
		if hasBody {
			if _, ok := <-c.bodyRead; !ok {
				return
			}
			c.lifecycle.requestComplete()
		}
	}
}

// awaitRequest waits until the first byte of a request has been read and the request before has its answer. It gives the clock's time at
// which that byte was read: the client's time runs from then. False says that the connection ends.
func (c *conn) awaitRequest() (startMs float64, ok bool) {
	for c.lifecycle.awaitRead(time.Now(), ms(c.server.CurrentSettings().Times.IdleMs)) {
		_, err := c.reader.Peek(1)
		if err == nil {
			startMs = c.server.Clock.Now()
			return startMs, c.lifecycle.beginRequest()
		}
		if !back.Timeout(err) {
			c.noteClientGone()
			break
		}
	}
	return 0, false
}

// readBy bounds the next read, for a first request by what is left until it must be whole. A server that ends waits for nothing more.
func (c *conn) setReadDeadline(timeoutMs float64) {
	deadline := time.Now().Add(ms(timeoutMs))
	if firstDeadline := c.lifecycle.firstRequestDeadline(); !firstDeadline.IsZero() && firstDeadline.Before(deadline) {
		deadline = firstDeadline
	}
	c.nc.SetReadDeadline(deadline)
	if c.server.aborted.Load() {
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// leave says that the client has gone.
func (c *conn) noteClientGone() {
	c.clientGone.Store(true)
	if x := c.exchange.Load(); x != nil && !c.server.Faults.IgnoreClientGone {
		x.reportClientGone()
	}
}

func (c *conn) workLoop() {
	defer c.server.wg.Done()
	for req := range c.requests {
		if reason := c.process(req); reason != keepOpen {
			break
		}
	}
	c.finish()
}

// process works on one request, and says for what the connection ends with it. A request that is owed an answer gets one here if nothing
// else has given it any.
func (c *conn) process(req *request) (reason closeReason) {
	c.server.Counters.RequestsRead.Add(1)
	c.lastRequestID = ""
	keepAlive := c.serveRecovering(req)
	if c.lifecycle.answerPending() && !c.clientGone.Load() {
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was given up without an answer", "request", c.lastRequestID, "state", statePending.String())
		c.writePlain(502, Terminated, "terminated: what it did is not known", closeRejected)
		keepAlive = false
	}
	switch {
	case c.lifecycle.answerPending(): // the client has gone, or has only ended its sending: then this reaches it
		c.server.Counters.ClientsGone.Add(1)
		c.writePlain(502, Terminated, "given up: the connection was closed", closeClientGone)
		reason = closeClientGone
	case !keepAlive:
		c.server.Counters.Answered.Add(1)
		if reason = c.lifecycle.closeReason(); reason == keepOpen {
			reason = closeWriteFailed
		}
	default:
		c.server.Counters.Answered.Add(1)
	}
	c.lifecycle.finishAnswer(reason, time.Now(), c.server.Clock.Now(), ms(c.server.CurrentSettings().Times.IdleMs))
	return reason
}

// beginAnswer is called before the first byte of a final answer. must is for what the connection has to end with it. The result is for what
// it does, which the answer's head has to say; ok is false where no answer is owed, and nothing may be written.
func (c *conn) beginAnswer(required closeReason) (reason closeReason, ok bool) {
	optional, unread := keepOpen, false
	if s := c.server; s.draining.Load() || s.stopping.Load() {
		optional, unread = closeStop, !s.aborted.Load() && back.Unread(c.nc)
	}
	reason, previous := c.lifecycle.beginAnswer(required, optional, unread)
	if previous == stateAnswering {
		c.server.Counters.SecondAnswers.Add(1)
		c.server.Log.Error("a second answer was held back", "request", c.lastRequestID)
	}
	return reason, previous == statePending
}

// serveSafely is serve; a panic costs the connection, not the process and all that it owes to others.
func (c *conn) serveRecovering(req *request) (keepAlive bool) {
	defer func() {
		if p := recover(); p != nil {
			keepAlive = false
			c.server.Log.Error("a connection's goroutine panicked", "request", c.lastRequestID, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	return c.serve(req)
}

// finish closes the connection once its lifecycle allows it. The reader, if it still waits, ends with it.
func (c *conn) finish() {
	if c.lifecycle.closeReason() == closeRejected || c.server.Faults.DiscardUnread {
		c.linger()
	}
	c.closeSocket(closeClientGone)
	close(c.bodyRead)
	for range c.requests { // the reader hands on nothing more, and closes this as it ends
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was read and is not answered", "request", c.lastRequestID)
	}
	c.server.remove(c)
}

// end closes the socket without reading from it: what has come unread stays so, and the kernel tells the client.
func (c *conn) closeSocket(reason closeReason) {
	previous, finalReason := c.lifecycle.close(reason)
	if previous == stateClosed {
		return
	}
	c.nc.Close()
	c.server.Counters.Closed[finalReason].Add(1)
	if reason == closeForced && (previous == statePending || previous == stateAnswering) && !c.clientGone.Load() {
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was open when its connection was closed", "request", c.openRequestID(), "state", previous.String(), "reason", finalReason.String(), "client", c.nc.RemoteAddr().String())
	}
	if c.server.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.server.Log.Debug("connection closed", "client", c.nc.RemoteAddr().String(), "state", previous.String(), "reason", finalReason.String())
	}
}

// openID is the id of the request that is worked on, empty where it has none.
func (c *conn) openRequestID() string {
	if x := c.exchange.Load(); x != nil {
		return x.requestID
	}
	return ""
}

// discardRest lets the client read why its request was rejected before the connection is gone: it may still be sending the rest of that
// request, and closing with something unread would reset it.
func (c *conn) linger() {
	if t, ok := c.nc.(halfCloser); ok && !c.clientGone.Load() {
		t.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.CopyN(io.Discard, c.nc, lingerBytes)
	}
}

type halfCloser interface{ CloseWrite() error }

// interrupt ends what the worker waits for at a node.
func (c *conn) terminateExchange() {
	if x := c.exchange.Load(); x != nil {
		x.Abrupt()
	}
}

// write sends what is in out.
func (c *conn) write() error {
	c.nc.SetWriteDeadline(time.Now().Add(ms(c.server.CurrentSettings().Times.WriteMs)))
	_, err := c.nc.Write(c.writeBuf)
	if cap(c.writeBuf) > 1<<16 {
		c.writeBuf = nil
	}
	return err
}
