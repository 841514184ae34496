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
	"arrowcleat/internal/tcpstate"
)

// conn is the connection of one client. Its reader goroutine reads request heads and notices when the client disconnects; its
// worker goroutine processes one request after the other. The reader pauses while the worker reads a body, and reads no
// request before the previous one has its answer.
type conn struct {
	server        *Server
	nc            net.Conn
	socket        *tcpstate.Socket // nil if nc has none; used by the reader only
	lifecycle     *lifecycle
	listener      string      // name of the listener that accepted it
	host          string      // the client's address without the port
	answerTimer   *time.Timer // fires when run has to answer or to offer the invocation elsewhere; reused
	homeCore      int         // the core of the invocations that no key binds to another one
	reader        *h1.Reader
	requests      chan *request            // from the reader to the worker
	bodyRead      chan struct{}            // the worker has read the request's body
	commands      chan command             // from the loop to the worker
	clientGone    atomic.Bool              // the client has disconnected
	omitBody      bool                     // the current request is a HEAD
	idHolder      *exchange                // the exchange that holds the id of the open request, until its answer begins
	lastRequestID string                   // id of the request read last, for the log
	evicted       bool                     // it closes in favour of a new connection; guarded by s.mu
	exchange      atomic.Pointer[exchange] // the invocation in progress, nil for none
	writeBuf      []byte                   // buffer for what is written to the client
	responseBuf   []byte                   // buffer for a response that is held until it is complete
	requestBuf    []byte                   // buffer for a request's body
}

// request is what the reader hands to the worker: a head, or the error that took its place.
type request struct {
	head    *h1.Head
	startMs float64 // when it arrived; see conn.arrivalMs
	err     error   // why there is no head
	isEarly bool    // it came before the answer to the one before it
	isAhead bool    // something came right behind it, though it has no body
}

// release gives back the memory of a request that has been processed.
func (r *request) release() {
	if r.head != nil {
		r.head.Release()
	}
}

// readLoop is the reader goroutine: it passes requests to the worker until the connection closes.
func (c *conn) readLoop() {
	defer c.server.wg.Done()
	defer close(c.requests)
	isAhead := false // something came right behind the previous request
	for {
		startMs, early, ok := c.awaitRequest()
		if !ok {
			return
		}
		early = early || isAhead
		if early { // a client that does not wait for answers never runs out of requests
			c.server.pacer.Wait()
		}
		c.setReadDeadline(c.server.CurrentSettings().Times.HeaderMs)
		h, err := c.reader.Request(c.server.limits)
		if !c.lifecycle.requestRead() {
			(&request{head: h}).release()
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
		isAhead = !hasBody && c.reader.Buffered() > 0
		c.requests <- &request{head: h, startMs: startMs, isEarly: early, isAhead: isAhead}
		if hasBody {
			if _, ok := <-c.bodyRead; !ok {
				return
			}
			c.lifecycle.requestComplete()
			isAhead = c.reader.Buffered() > 0
		}
	}
}

// awaitRequest waits until the first byte of a request has been read and the previous request has its answer. It returns the
// clock's time at which the request arrived, from which the client's time limit runs, and whether that was before the previous
// request's answer. ok is false if the connection closes.
func (c *conn) awaitRequest() (startMs float64, early, ok bool) {
	for c.lifecycle.awaitRead(time.Now(), ms(c.server.CurrentSettings().Times.IdleMs)) {
		_, err := c.reader.Peek(1)
		if err == nil {
			startMs = c.arrivalMs()
			early, ok = c.lifecycle.beginRequest()
			return startMs, early, ok
		}
		if !back.IsTimeout(err) {
			c.noteClientGone()
			break
		}
	}
	return 0, false, false
}

// arrivalMs returns the clock's time at which the data that has just been read arrived at this machine. Until it was read it
// may have waited in the accept queue, or because the process was not scheduled: that time is the client's too. Where the
// kernel does not know, it is the current time.
func (c *conn) arrivalMs() float64 {
	nowMs := c.server.Clock.Now()
	if c.socket == nil {
		return nowMs
	}
	waited, err := c.socket.SinceLastData()
	if err != nil || waited <= 0 {
		return nowMs
	}
	c.server.Counters.noteUnread(waited)
	return nowMs - float64(waited)/float64(time.Millisecond)
}

// setReadDeadline bounds the next read, for a first request also by the deadline for its arrival. An aborted server does not
// wait at all.
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

// noteClientGone records that the client has disconnected, and reports it to the module.
func (c *conn) noteClientGone() {
	c.clientGone.Store(true)
	if x := c.exchange.Load(); x != nil && !c.server.Faults.IgnoreClientGone {
		x.reportClientGone()
	}
}

// workLoop is the worker goroutine: it processes requests until the connection closes.
func (c *conn) workLoop() {
	defer c.server.wg.Done()
	for req := range c.requests {
		reason := c.process(req)
		req.release()
		if reason != keepOpen {
			break
		}
	}
	c.finish()
}

// process handles one request, and returns the reason for which the connection closes after it. It answers a request that
// nothing else has answered.
func (c *conn) process(req *request) (reason closeReason) {
	c.server.Counters.RequestsRead.Add(1)
	c.lastRequestID = ""
	keepAlive := c.serveRecovering(req)
	if c.lifecycle.answerPending() && !c.clientGone.Load() {
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was abandoned without an answer", "request", c.lastRequestID, "state", statePending.String())
		c.writePlain(502, Terminated, "terminated: what it did is not known", closeRejected)
		keepAlive = false
	}
	switch {
	case c.lifecycle.answerPending(): // the client is gone, or has only closed its sending side: then this answer reaches it
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

// beginAnswer is called before the first byte of a final answer. required is the reason for which the connection has to close
// after it, keepOpen for none. The result is the reason for which it does close, which the answer's head has to announce.
// ok is false if no answer is pending: then nothing may be written.
func (c *conn) beginAnswer(required closeReason) (reason closeReason, ok bool) {
	optional, unread := keepOpen, false
	if s := c.server; s.draining.Load() || s.stopping.Load() {
		optional, unread = closeStop, !s.aborted.Load() && back.HasUnread(c.nc)
	}
	reason, previous := c.lifecycle.beginAnswer(required, optional, unread)
	if previous == stateAnswering {
		c.server.Counters.SecondAnswers.Add(1)
		c.server.Log.Error("a second answer was suppressed", "request", c.lastRequestID)
	}
	return reason, previous == statePending
}

// serveRecovering calls serve and recovers from a panic, which then costs this connection only and not the process with
// its other pending answers.
func (c *conn) serveRecovering(req *request) (keepAlive bool) {
	defer func() {
		if p := recover(); p != nil {
			keepAlive = false
			c.server.Log.Error("a connection's goroutine panicked", "request", c.lastRequestID,
				"panic", fmt.Sprint(p), "stack", string(debug.Stack()))
		}
	}()
	return c.serve(req)
}

// finish closes the connection after its last request, which also ends a reader that still waits.
func (c *conn) finish() {
	if c.lifecycle.closeReason() == closeRejected || c.server.Faults.DiscardUnread {
		c.linger()
	}
	c.closeSocket(closeClientGone)
	close(c.bodyRead)
	for req := range c.requests { // the reader should send nothing more, and closes the channel when it ends
		req.release()
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was read but not answered", "request", c.lastRequestID)
	}
	c.server.remove(c)
}

// closeSocket closes the socket without reading from it: if unread data has arrived, the kernel resets the connection, so that
// the client can tell.
func (c *conn) closeSocket(reason closeReason) {
	previous, finalReason := c.lifecycle.close(reason)
	if previous == stateClosed {
		return
	}
	c.nc.Close()
	c.server.Counters.Closed[finalReason].Add(1)
	if reason == closeForced && (previous == statePending || previous == stateAnswering) && !c.clientGone.Load() {
		c.server.Counters.Unanswered.Add(1)
		c.server.Log.Error("a request was open when its connection was closed", "request", c.openRequestID(),
			"state", previous.String(), "reason", finalReason.String(),
			"client", c.nc.RemoteAddr().String())
	}
	if c.server.Log.Enabled(context.Background(), slog.LevelDebug) {
		c.server.Log.Debug("connection closed", "client", c.nc.RemoteAddr().String(),
			"state", previous.String(), "reason", finalReason.String())
	}
}

// openRequestID returns the id of the request in progress, empty if it has none.
func (c *conn) openRequestID() string {
	if x := c.exchange.Load(); x != nil {
		return x.requestID
	}
	return ""
}

// linger lets the client read why its request was rejected before the connection closes: the client may still be sending the
// rest of that request, and closing with unread data would reset the connection.
func (c *conn) linger() {
	if t, ok := c.nc.(halfCloser); ok && !c.clientGone.Load() {
		t.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(lingerTimeout))
		for range lingerBytes / lingerTurnBytes {
			if _, err := io.CopyN(io.Discard, c.nc, lingerTurnBytes); err != nil {
				return
			}
			c.server.pacer.Wait()
		}
	}
}

// halfCloser is a connection whose sending side can be closed alone.
type halfCloser interface{ CloseWrite() error }

// terminateExchange terminates the invocation in progress, so that the worker stops waiting for a node.
func (c *conn) terminateExchange() {
	if x := c.exchange.Load(); x != nil {
		x.Abort()
	}
}

// write sends the contents of writeBuf to the client.
func (c *conn) write() error { return c.writeMessage(message{head: c.writeBuf}) }

// writeMessage sends a message, whose head is in writeBuf, to the client.
func (c *conn) writeMessage(m message) (err error) {
	c.nc.SetWriteDeadline(time.Now().Add(ms(c.server.CurrentSettings().Times.WriteMs)))
	_, c.writeBuf, err = m.writeTo(c.nc)
	return err
}
