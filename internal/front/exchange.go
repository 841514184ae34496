package front

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/membudget"
)

// exchange is one invocation, from its request head to its final answer. The loop calls the methods of marshal.Exchange;
// everything else runs on the connection's worker.
type exchange struct {
	conn         *conn
	invocationID string       // assigned by the core; used on its loop only
	requestID    string       // the id that the client gave, may be empty
	offeredCore  atomic.Int32 // the core that it was last offered to
	acceptedBy   atomic.Int32 // the core that accepted it plus 1, 0 for none
	clientGone   atomic.Bool  // the client has disconnected
	head         *h1.Head
	startMs      float64 // when it arrived
	limitMs      float64 // the client's time limit, from startMs
	deadlineMs   float64 // when its time limit is over, less a reserve for the answer
	answerByMs   float64 // when the connection answers without the module
	closeAfter   bool    // the connection closes after it
	isEarly      bool    // it came before the answer to the request before it

	// Parameters that the core gets, and what binds the invocation to a core: its key, its idempotency key or nothing.
	pool, operation, tenant int
	key, placementKey       string
	costMs                  float64
	isRetry, isWrite        bool

	acceptsTrailers bool // the client accepts trailers

	body          *h1.Body // the request's body, nil for an empty one
	retained      []byte   // the part of the body that can be sent again
	bodyMemory    membudget.Reservation
	bodyRetained  bool            // the whole body is in retained
	pacedFraming  int64           // bytes of the body's framing, beyond freeFramingBytes, that turns were taken for
	streamed      bool            // part of the rest has been sent: the request can't be sent again
	sent          bool            // the request has been written to a node, at least in part
	readerResumed bool            // the reader was notified that the body has been read
	lastOutcome   balance.Outcome // how the last dispatch ended

	// A dispatch that may have been executed is repeated only while nodes remember the idempotency key: keyMemoryMs from the
	// start of the first such dispatch.
	keyMemoryMs       float64 // 0: no limit
	mayHaveRunSinceMs float64 // start of the first dispatch that may have been executed, 0 for none

	state   atomic.Int32 // offered, accepted or withdrawn, plus stateCount for each further offer
	decided atomic.Bool  // the final answer has been decided, by a successful dispatch or by the module

	mu         sync.Mutex
	finished   bool               // the connection executes no further commands
	dispatchNo int                // number of the dispatch in flight
	inFlight   bool               // a dispatch is in flight
	nodeConn   *back.Conn         // the connection that carries it, once there is one
	cancelDial context.CancelFunc // cancels the opening of that connection
	canceled   bool               // the dispatch in flight was canceled
}

// States of an exchange between its worker, which offers it, and the loop, which accepts it.
const (
	offered    = iota // queued at a core
	accepted          // its core has accepted it
	withdrawn         // it is not to be accepted
	stateCount        // number of states
)

// offer queues the exchange at a core; false means that the core's queue is full.
func (x *exchange) offer(core int) bool {
	s, round := x.conn.server, x.state.Load()/stateCount*stateCount
	coreLoop, marshalCore := s.Loops[core], s.Cores[core][x.pool]
	x.offeredCore.Store(int32(core))
	return coreLoop.Offer(func() {
		if !x.state.CompareAndSwap(round+offered, round+accepted) {
			return
		}
		x.acceptedBy.Store(int32(core) + 1)
		if x.clientGone.Load() {
			x.Discard()
			return
		}
		// The time limit runs while the exchange is queued.
		x.invocationID = marshalCore.InvocationArrived(x, x.operation, x.tenant, x.key, x.deadlineMs-coreLoop.Now(), x.costMs,
			x.isRetry, x.isWrite)
	})
}

// offerElsewhere withdraws the exchange from a core that lets it wait, and offers it to another one. No core has accepted it
// yet, so this makes no second copy. An exchange that a key binds to its core stays there. It reports whether the other core
// rejected it.
func (x *exchange) offerElsewhere() (rejected bool) {
	s := x.conn.server
	if len(s.Loops) == 1 || x.placementKey != "" {
		return false
	}
	stalled := func(i int) bool { return s.Loops[i].CurrentCallMs() > reofferAfterMs }
	target, ok := divide.Reassign(int(x.offeredCore.Load()), s.queued, stalled, len(s.Loops))
	state := x.state.Load()
	if !ok || state%stateCount != offered || !x.state.CompareAndSwap(state, state+withdrawn) {
		return false
	}
	x.state.Store(state + stateCount) // offered anew: only the call that is queued next can accept it
	if !x.offer(target) {
		return true
	}
	s.movedInvocations.Add(1)
	return false
}

// reofferAfterMs is how long an invocation waits at a core before it may be offered to another one.
const reofferAfterMs = 50.0

// core returns the core that the exchange was last offered to, and loop that core's event loop.
func (x *exchange) core() *marshal.Core { return x.conn.server.Cores[x.offeredCore.Load()][x.pool] }
func (x *exchange) loop() *loop.Loop    { return x.conn.server.Loops[x.offeredCore.Load()] }

// command is what the loop asks the connection's worker to do. dispatchNo, address, timeoutMs and decidedAt belong to
// commandDispatch, retryAfterMs to commandThrottle.
type command struct {
	kind         int // one of the constants below
	dispatchNo   int
	address      string
	timeoutMs    float64
	retryAfterMs float64
	decidedAt    time.Time // when the module decided the dispatch
}

// Kinds of commands.
const (
	commandDispatch = iota
	commandThrottle
	commandTerminate
	commandDiscard // end without an answer
)

// send passes a command to the connection's worker. x.mu is held, and the exchange is not finished. It never blocks: the
// channel never holds more than a dispatch and the last commands.
func (x *exchange) send(cmd command) { x.conn.commands <- cmd }

// Dispatch sends the invocation to a node. It implements marshal.Exchange, as do the other exported methods.
func (x *exchange) Dispatch(dispatchNo int, node uint32, address string, timeoutMs float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		x.reportNotSent(dispatchNo)
		return
	}
	x.dispatchNo, x.inFlight, x.canceled = dispatchNo, true, false
	// The decision counts as made when the current call on the loop began: it can't know of a cap lowered since then.
	inCallTime := ms(x.conn.server.Clock.Now() - x.loop().Now())
	x.send(command{kind: commandDispatch, dispatchNo: dispatchNo, address: address, timeoutMs: timeoutMs,
		decidedAt: x.conn.server.Pool.CurrentTime().Add(-inCallTime)})
}

// reportNotSent reports to the module that a dispatch has ended without having been sent.
func (x *exchange) reportNotSent(dispatchNo int) {
	x.loop().Post(func() { x.core().DispatchEnded(x.invocationID, dispatchNo, balance.Ignored, 0, false, nil) })
}

// finish ends the exchange once it has its answer: no further command is executed, and a dispatch that was decided in the
// meantime is reported as not sent.
func (x *exchange) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.finished = true
	for {
		select {
		case cmd := <-x.conn.commands:
			if cmd.kind == commandDispatch {
				x.reportNotSent(cmd.dispatchNo)
			}
		default:
			return
		}
	}
}

// Cancel ends the dispatch of this number if it is in flight.
func (x *exchange) Cancel(dispatchNo int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight && x.dispatchNo == dispatchNo {
		x.cancelInFlight()
	}
}

// cancelInFlight ends the dispatch in flight; x.mu is held.
func (x *exchange) cancelInFlight() {
	x.canceled = true
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.nodeConn != nil {
		x.nodeConn.SetDeadline(time.Unix(1, 0))
	}
}

// Throttle answers that retrying is harmless.
func (x *exchange) Throttle(retryAfterMs float64) {
	x.decide(command{kind: commandThrottle, retryAfterMs: retryAfterMs})
}

// Terminate answers that it is unknown whether the invocation was executed.
func (x *exchange) Terminate() { x.decide(command{kind: commandTerminate}) }

// Abort terminates the invocation when the marshal ends.
func (x *exchange) Abort() { x.decide(command{kind: commandTerminate}) }

// Discard abandons the dispatch in flight: nobody waits for it any more, and a connection that opens late must not carry it.
func (x *exchange) Discard() { x.endWith(command{kind: commandDiscard}) }

// endWith cancels the dispatch in flight and sends the worker the last command.
func (x *exchange) endWith(cmd command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		return
	}
	if x.inFlight {
		x.cancelInFlight()
	}
	x.send(cmd)
}

// decide decides the final answer, unless a successful dispatch was faster, and cancels the dispatch in flight.
func (x *exchange) decide(cmd command) {
	if x.decided.Swap(true) {
		return
	}
	x.endWith(cmd)
}

// reportClientGone reports to the module that the client has disconnected.
func (x *exchange) reportClientGone() {
	x.clientGone.Store(true)
	core := x.offeredCore.Load() // if it is offered elsewhere, the accepting core sees clientGone
	x.conn.server.Loops[core].Post(func() {
		if x.acceptedBy.Load() == core+1 && x.invocationID != "" {
			x.conn.server.Cores[core][x.pool].ClientTimedOut(x.invocationID)
		}
	})
}

// resumeReader lets the connection's reader continue once the body has been read.
func (x *exchange) resumeReader() {
	if x.body != nil && !x.readerResumed && x.body.Done() {
		x.readerResumed = true
		x.conn.bodyRead <- struct{}{}
	}
}

// retainBody reads the request's body up to the size that is retained for a repeat. A slow client then keeps no node
// waiting, and a client that aborts its upload has cost no node anything.
func (x *exchange) retainBody() error {
	h, c := x.head, x.conn
	if h.BodyLength == 0 {
		x.bodyRetained = true
		return nil
	}
	if h.ExpectsContinue() {
		c.writeBuf = append(c.writeBuf[:0], "HTTP/1.1 100 Continue\r\n\r\n"...)
		if err := c.write(); err != nil {
			return err
		}
	}
	x.body = c.reader.Body(h, c.server.limits)
	maxBytes := int(c.server.CurrentSettings().Limits.RepeatBodyBytes)
	retained, err := readUpTo(c.requestBuf[:0], x.body, maxBytes, x.bodyMemory.GrowPartial,
		func() {
			x.paceFraming()
			c.setReadDeadline(c.server.CurrentSettings().Times.BodyMs)
		})
	x.retained = retained
	if cap(retained) <= maxReusedBufferBytes {
		c.requestBuf = retained
	}
	switch {
	case err == io.EOF:
		x.bodyRetained = true
		x.resumeReader()
		return nil
	case err == nil && x.body.Done(): // exactly as long as may be retained
		x.bodyRetained = true
		x.resumeReader()
		return nil
	}
	return err
}

// Framing of a body that is read without a pause: what chunks of a usual size need for a body of any size that is retained, and
// how much comes between two turns after that.
const (
	freeFramingBytes = 8 << 10
	framingTurnBytes = readBufferBytes
)

// paceFraming waits for a turn where much of a body is framing: many small chunks take far more processor time than their bytes.
func (x *exchange) paceFraming() {
	if framing := x.body.FramingBytes(); framing > freeFramingBytes+x.pacedFraming {
		x.pacedFraming = framing - freeFramingBytes + framingTurnBytes
		x.conn.server.pacer.Wait()
	}
}

// releaseBody gives back the memory of the request's body.
func (x *exchange) releaseBody() {
	x.bodyMemory.Release()
	if x.body != nil {
		x.body.Release()
	}
}

// minBodyBuffer is the least size of a buffer for a body, in bytes.
const minBodyBuffer = 512

// readUpTo reads until the end or until buf holds maxBytes, and sets the deadline before each read. reserve is called with the
// new size of buf before it grows.
func readUpTo(buf []byte, source io.Reader, maxBytes int, reserve func(int64) error, setDeadline func()) ([]byte, error) {
	for len(buf) < maxBytes {
		if len(buf) == cap(buf) {
			size := min(max(minBodyBuffer, 2*cap(buf)), maxBytes)
			if err := reserve(int64(size)); err != nil {
				return buf, err
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		free := buf[len(buf):min(cap(buf), maxBytes)]
		if setDeadline != nil {
			setDeadline()
		}
		n, err := source.Read(free)
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// run executes the module's commands until the final answer; false closes the connection.
func (x *exchange) run() (keepAlive bool) {
	s := x.conn.server
	untilNextCheck := func() time.Duration {
		leftMs := x.answerByMs - s.Clock.Now()
		if len(s.Loops) > 1 && x.state.Load()%stateCount == offered {
			leftMs = min(leftMs, reofferAfterMs)
		}
		return ms(leftMs)
	}
	timer := x.conn.answerTimer
	if timer == nil {
		timer = time.NewTimer(untilNextCheck())
		x.conn.answerTimer = timer
	} else {
		timer.Reset(untilNextCheck())
	}
	defer timer.Stop()
	for {
		var cmd command
		select {
		case cmd = <-x.conn.commands:
		case <-timer.C:
			if s.Clock.Now() < x.answerByMs {
				if x.offerElsewhere() {
					return s.rejectOverloaded(x)
				}
				timer.Reset(untilNextCheck())
				continue
			}
			if !s.Faults.NoAnswerDeadline {
				if answered, keepAlive := x.answerOverdue(); answered {
					return keepAlive
				}
			}
			continue
		}
		switch cmd.kind {
		case commandDispatch:
			if answered, keepAlive := x.dispatch(cmd); answered {
				return keepAlive
			}
		case commandThrottle:
			return x.conn.writePlain(503, Throttled, "throttled: trying again is harmless", x.requiredClose(),
				s.retryAfterFields(cmd.retryAfterMs)...)
		case commandTerminate:
			return x.conn.writePlain(x.terminationStatus(), Terminated, "terminated: what it did is not known", x.requiredClose())
		case commandDiscard:
			return false
		}
	}
}

// answerOverdue answers in time when the loop does not, because it holds arrivals, is stalled, or the module has lost the
// invocation. An invocation that the loop has not accepted yet is rejected; any other is terminated, which promises nothing.
func (x *exchange) answerOverdue() (answered, keepAlive bool) {
	if state := x.state.Load(); state%stateCount == offered && x.state.CompareAndSwap(state, state+withdrawn) {
		text := "this marshal stands still"
		if !x.conn.server.isReady() {
			text = "this marshal is starting"
		}
		return true, x.conn.reject(503, text, x.requiredClose(), "Retry-After", "1")
	}
	if x.decided.Swap(true) {
		return false, false // its answer has been decided
	}
	x.loop().Post(func() { x.core().TerminatedByExchange(x.invocationID) })
	return true, x.conn.writePlain(x.terminationStatus(), Terminated, "terminated: what it did is not known", x.requiredClose())
}

// requiredClose returns the reason for which the connection has to close after the answer, keepOpen for none: part of the
// request's body is unread, or the client asked for it.
func (x *exchange) requiredClose() closeReason {
	switch {
	case x.body != nil && !x.body.Done():
		return closeRejected
	case x.closeAfter:
		return closeRequested
	default:
		return keepOpen
	}
}

// splitHost splits an address at its last colon.
func splitHost(address string) (host, port string, ok bool) {
	for i := len(address) - 1; i > 0; i-- {
		if address[i] == ':' {
			return address[:i], address[i+1:], true
		}
	}
	return "", "", false
}
