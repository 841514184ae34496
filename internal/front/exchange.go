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
)

// exchange is one invocation from its head to its answer. The loop calls the methods of marshal.Exchange; the
// connection's worker runs all else.
type exchange struct {
	conn         *conn
	invocationID string       // given on the loop
	requestID    string       // the client's
	offeredCore  atomic.Int32 // the core that it was offered to last
	acceptedBy   atomic.Int32 // the one that took it, counted from 1
	clientGone   atomic.Bool  // the client has gone
	head         *h1.Head
	startMs      float64
	limitMs      float64
	deadlineMs   float64
	answerByMs   float64 // when the connection answers by itself
	closeAfter   bool    // the connection ends with it

	// What the module is told of it, and what binds it to a core: a key, a mark or nothing.
	pool, operation, tenant int
	key, placementKey       string
	costMs                  float64
	isRetry, isWrite        bool

	acceptsTrailers bool // the client takes trailers

	body          *h1.Body // what is still to be read of the request's body, nil for nothing
	retained      []byte   // what of it can be sent again
	bodyRetained  bool     // all of it is in kept
	streamed      bool     // part of the rest has been sent: it can't be sent again
	readerResumed bool
	lastOutcome   balance.Ending // of the last dispatch

	// A dispatch that may have run is sent again only while nodes remember the key: memory ms from when the first such began.
	keyMemoryMs  float64 // 0 for no bound
	mayHaveRunMs float64 // 0 for none that may have run

	state   atomic.Int32 // offered, taken or withdrawn; once more for each time that it was offered
	decided atomic.Bool  // the final answer has been decided on, by a success or by the module

	mu         sync.Mutex
	finished   bool // its connection carries out no further command
	dispatchNo int  // of the dispatch that is out
	inFlight   bool
	nodeConn   *back.Conn
	cancelDial context.CancelFunc
	canceled   bool
}

// Where an exchange stands between its worker, which offered it, and the loop, which takes it.
const (
	offered = iota
	accepted
	withdrawn
	stateCount // how many there are
)

// offer has a core take it; false says that too much waits there.
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
			x.Let()
			return
		}
		// Its time runs while it waits its turn.
		x.invocationID = marshalCore.Arrived(x, x.operation, x.tenant, x.key, x.deadlineMs-coreLoop.Now(), x.costMs, x.isRetry, x.isWrite)
	})
}

// move takes it back from a core that lets it wait, and offers it to another: none has taken it, so it is no second
// copy. What a key or a mark binds to its core stays there. It says whether the other core refused it.
func (x *exchange) offerElsewhere() (rejected bool) {
	s := x.conn.server
	if len(s.Loops) == 1 || x.placementKey != "" {
		return false
	}
	stalled := func(i int) bool { return s.Loops[i].Standing() > reofferAfterMs }
	target, ok := divide.Elsewhere(int(x.offeredCore.Load()), s.queued, stalled, len(s.Loops))
	state := x.state.Load()
	if !ok || state%stateCount != offered || !x.state.CompareAndSwap(state, state+withdrawn) {
		return false
	}
	x.state.Store(state + stateCount) // offered anew: only the call made next can take it
	if !x.offer(target) {
		return true
	}
	s.movedInvocations.Add(1)
	return false
}

// recall is for how many ms an invocation waits at a core before it is looked whether another would take it.
const reofferAfterMs = 50.0

func (x *exchange) core() *marshal.Core { return x.conn.server.Cores[x.offeredCore.Load()][x.pool] }
func (x *exchange) loop() *loop.Loop    { return x.conn.server.Loops[x.offeredCore.Load()] }

type command struct {
	kind         int
	dispatchNo   int
	address      string
	timeoutMs    float64
	retryAfterMs float64
	decidedAt    time.Time
}

const (
	commandDispatch = iota
	commandThrottle
	commandTerminate
	commandRelease
)

// send hands a command to the connection's goroutine; x.mu is held, and the exchange is not over. It never waits: at most a
// dispatch and the last commands are ever in the channel.
func (x *exchange) send(cmd command) { x.conn.commands <- cmd }

// Dispatch and the methods below are marshal.Exchange.
func (x *exchange) Dispatch(dispatchNo int, node uint32, address string, timeoutMs float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.finished {
		x.reportNotSent(dispatchNo)
		return
	}
	x.dispatchNo, x.inFlight, x.canceled = dispatchNo, true, false
	// What has run of the call so far counts as before the decision: a cap that fell meanwhile isn't known to it.
	inCallTime := ms(x.conn.server.Clock.Now() - x.loop().Now())
	x.send(command{kind: commandDispatch, dispatchNo: dispatchNo, address: address, timeoutMs: timeoutMs, decidedAt: x.conn.server.Pool.Time().Add(-inCallTime)})
}

// neverSent tells the module that a dispatch has ended without having begun.
func (x *exchange) reportNotSent(dispatchNo int) {
	x.loop().Post(func() { x.core().Ended(x.invocationID, dispatchNo, balance.Ignored, 0, false, nil) })
}

// finish takes no command any more: the invocation has its answer. A dispatch that was decided on meanwhile is never sent.
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

func (x *exchange) Cancel(dispatchNo int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.inFlight && x.dispatchNo == dispatchNo {
		x.cancelInFlight()
	}
}

// stop ends the dispatch that is out; x.mu is held.
func (x *exchange) cancelInFlight() {
	x.canceled = true
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.nodeConn != nil {
		x.nodeConn.SetDeadline(time.Unix(1, 0))
	}
}

func (x *exchange) Throttle(retryAfter float64) {
	x.decide(command{kind: commandThrottle, retryAfterMs: retryAfter})
}
func (x *exchange) Terminate() { x.decide(command{kind: commandTerminate}) }
func (x *exchange) Abrupt()    { x.decide(command{kind: commandTerminate}) }

// Let gives up what is out: nobody waits for it any more, and a connection that comes up late must carry nothing.
func (x *exchange) Let() { x.endWith(command{kind: commandRelease}) }

// end ends what is still out and has the worker carry out the last command.
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

// final decides on the answer unless a success was faster, and ends what is still out.
func (x *exchange) decide(cmd command) {
	if x.decided.Swap(true) {
		return
	}
	x.endWith(cmd)
}

// lapse tells the module that the client is gone.
func (x *exchange) reportClientGone() {
	x.clientGone.Store(true)
	core := x.offeredCore.Load() // where it is now; if it is moved, whoever takes it sees that the client has gone
	x.conn.server.Loops[core].Post(func() {
		if x.acceptedBy.Load() == core+1 && x.invocationID != "" {
			x.conn.server.Cores[core][x.pool].Lapsed(x.invocationID)
		}
	})
}

// resumeReader lets the connection's reader go on once the body has been read.
func (x *exchange) resumeReader() {
	if x.body != nil && !x.readerResumed && x.body.Done() {
		x.readerResumed = true
		x.conn.bodyRead <- struct{}{}
	}
}

// takeBody reads the request's body as far as it may be kept for a repeat: then a slow client keeps no node
// waiting, and a client that breaks off has cost none anything.
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
	retained, err := x.readUpTo(c.requestBuf[:0], x.body, maxBytes, func() { c.setReadDeadline(c.server.CurrentSettings().Times.BodyMs) })
	x.retained = retained
	if cap(retained) <= maxReusedBufferBytes {
		c.requestBuf = retained
	}
	switch {
	case err == io.EOF:
		x.bodyRetained = true
		x.resumeReader()
		return nil
	case err == nil && x.body.Done(): // just as long as may be kept
		x.bodyRetained = true
		x.resumeReader()
		return nil
	}
	return err
}

// fill reads until the end or until most bytes are held, giving each read its time.
func (x *exchange) readUpTo(buf []byte, from io.Reader, maxBytes int, setDeadline func()) ([]byte, error) {
	for len(buf) < maxBytes {
		if len(buf) == cap(buf) {
			buf = append(buf, 0)[:len(buf)]
		}
		room := buf[len(buf):min(cap(buf), maxBytes)]
		if setDeadline != nil {
			setDeadline()
		}
		n, err := from.Read(room)
		buf = buf[:len(buf)+n]
		if err != nil {
			return buf, err
		}
	}
	return buf, nil
}

// run carries out the module's commands until the final answer; false ends the connection.
func (x *exchange) run() (keepAlive bool) {
	s := x.conn.server
	untilNextCheck := func() time.Duration {
		left := x.answerByMs - s.Clock.Now()
		if len(s.Loops) > 1 && x.state.Load()%stateCount == offered {
			left = min(left, reofferAfterMs)
		}
		return ms(left)
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
			return x.conn.writePlain(503, Throttled, "throttled: trying again is harmless", x.requiredClose(), s.retryAfterFields(cmd.retryAfterMs)...)
		case commandTerminate:
			return x.conn.writePlain(x.terminationStatus(), Terminated, "terminated: what it did is not known", x.requiredClose())
		case commandRelease:
			return false
		}
	}
}

// overdue answers in time when the loop does not: it stands still, or the module has lost the invocation. What the
// loop has not taken yet was never taken; the rest is terminated, which promises nothing.
func (x *exchange) answerOverdue() (answered, keepAlive bool) {
	if state := x.state.Load(); state%stateCount == offered && x.state.CompareAndSwap(state, state+withdrawn) {
		return true, x.conn.reject(503, "this marshal stands still", x.requiredClose(), "Retry-After", "1")
	}
	if x.decided.Swap(true) {
		return false, false // its answer is on the way
	}
	x.loop().Post(func() { x.core().Overtaken(x.invocationID) })
	return true, x.conn.writePlain(x.terminationStatus(), Terminated, "terminated: what it did is not known", x.requiredClose())
}

// mustEnd is for what the connection can't go on after the answer: part of the request's body is unread, or the client asked so.
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

func splitHost(address string) (host, port string, ok bool) {
	for i := len(address) - 1; i > 0; i-- {
		if address[i] == ':' {
			return address[:i], address[i+1:], true
		}
	}
	return "", "", false
}
