package front

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/marshal"
)

// dispatch sends the invocation to a node and waits for the outcome. A success is answered, any other outcome is reported to
// the module.
func (x *exchange) dispatch(cmd command) (answered, keepAlive bool) {
	s := x.conn.server
	startMs := s.Clock.Now()
	// The module's clock may be behind: a dispatch ends at the latest when the connection answers without the module.
	timeoutMs := min(cmd.timeoutMs, x.answerByMs-startMs)
	deadline := time.Now().Add(ms(timeoutMs))
	outcome := back.DispatchOutcome{Strict: s.Pool.Strict}
	var nodeConn *back.Conn
	var report map[string]float64
	if x.streamed || timeoutMs <= 0 { // the body can't be sent again, or there is no time left: this dispatch is not sent
		outcome.Canceled = true
	} else {
		nodeConn = x.sendRequest(cmd.address, deadline, x.writeDeadline(startMs, deadline), cmd.decidedAt, &outcome)
	}
	if nodeConn != nil {
		answered, keepAlive, report = x.readAnswer(nodeConn, cmd.dispatchNo, startMs, &outcome)
	}
	if answered {
		return answered, keepAlive
	}
	outcome.Expired = outcome.Expired || !time.Now().Before(deadline)
	x.lastOutcome = x.detach(&outcome)
	if x.mayHaveRunSinceMs == 0 && !marshal.NeverRan(x.lastOutcome) {
		x.mayHaveRunSinceMs = startMs
	}
	result, tookMs := x.lastOutcome, s.Clock.Now()-startMs
	x.loop().Post(func() { x.core().DispatchEnded(x.invocationID, cmd.dispatchNo, result, tookMs, false, report) })
	return false, false
}

// writeDeadline returns the time until which a dispatch that begins now may be written. A repeat must not be written once nodes
// have forgotten the idempotency key, and the connection to its node may open late.
func (x *exchange) writeDeadline(nowMs float64, deadline time.Time) time.Time {
	if x.keyMemoryMs == 0 || x.mayHaveRunSinceMs == 0 {
		return deadline
	}
	forgotten := time.Now().Add(ms(x.mayHaveRunSinceMs + x.keyMemoryMs - nowMs))
	if forgotten.Before(deadline) {
		return forgotten
	}
	return deadline
}

// detach ends the dispatch in flight, which can't be canceled any more, and returns its outcome.
func (x *exchange) detach(outcome *back.DispatchOutcome) balance.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	outcome.Canceled = outcome.Canceled || x.canceled && outcome.Err != nil
	x.inFlight, x.nodeConn, x.cancelDial = false, nil, nil
	return outcome.Classify()
}

// attach registers the connection that a cancellation interrupts; false means that the dispatch was canceled already.
func (x *exchange) attach(nodeConn *back.Conn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.cancelDial = nil
	x.nodeConn = nodeConn
	nodeConn.SetDeadline(deadline)
	return true
}

// sendRequest connects to a node and writes the request. A reused connection on which no byte could be written is replaced by
// a new one, since nothing was executed. It returns nil if the dispatch has ended, with its outcome.
func (x *exchange) sendRequest(address string, deadline, writeDeadline, decidedAt time.Time,
	outcome *back.DispatchOutcome) *back.Conn {
	for fresh := false; ; fresh = true {
		var nodeConn *back.Conn
		if !fresh {
			nodeConn = x.conn.server.Pool.IdleConn(address)
		}
		if nodeConn == nil {
			var err error
			if nodeConn, err = x.dial(address, writeDeadline); err != nil {
				outcome.Err = err
				// Only the write deadline passed: the node did not fail to respond.
				outcome.Canceled = writeDeadline.Before(deadline) && !time.Now().Before(writeDeadline)
				return nil
			}
		}
		outcome.Connected = true
		if !x.attach(nodeConn, deadline) {
			x.conn.server.Pool.Put(nodeConn)
			outcome.Err = context.Canceled
			return nil
		}
		if err := x.checkBeforeWrite(address, writeDeadline, decidedAt); err != nil {
			x.conn.server.Pool.Put(nodeConn)
			outcome.Canceled, outcome.Err = true, err
			x.conn.server.Counters.SuppressedDispatches.Add(1)
			x.conn.server.Log.Debug("dispatch not written", "request", x.requestID, "node", address, "why", err)
			return nil
		}
		x.sent = true
		outcome.BytesWritten, outcome.Err = x.writeRequest(nodeConn, outcome)
		if outcome.Err == nil {
			return nodeConn
		}
		if errors.Is(outcome.Err, errClientGone) {
			outcome.Canceled = true
		} else if outcome.BytesWritten > 0 && !outcome.PartialWrite && back.IsDisconnect(outcome.Err) {
			// The node may have answered and closed before it had read everything.
			outcome.Err = nil
			return nodeConn
		}
		nodeConn.Close()
		if outcome.BytesWritten == 0 && nodeConn.Reused && !back.IsTimeout(outcome.Err) {
			continue
		}
		return nil
	}
}

// dial opens a connection, unless the dispatch is canceled or the deadline passes first.
func (x *exchange) dial(address string, deadline time.Time) (*back.Conn, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	x.mu.Lock()
	x.cancelDial = cancel
	if x.canceled {
		cancel()
	}
	x.mu.Unlock()
	return x.conn.server.Pool.Get(ctx, address, true)
}

// Reasons for suppressing a dispatch after it was decided.
var (
	errNodeDraining = errors.New("the node is draining or gone")
	errCapLowered   = errors.New("the cap of the node's build was lowered after the decision")
	errTooLate      = errors.New("its time limit, or the time for which nodes remember the idempotency key, is over")
	errClientGone   = errors.New("the client has disconnected, or did not complete the request's body")
)

// checkBeforeWrite is the final check before a dispatch is written: the conditions under which it was decided may have changed.
func (x *exchange) checkBeforeWrite(address string, writeDeadline, decidedAt time.Time) error {
	pool, faults := x.conn.server.Pool, &x.conn.server.Faults
	switch {
	case pool.Draining(address) && !faults.IgnoreDraining:
		return errNodeDraining
	case pool.Superseded(address, decidedAt):
		return errCapLowered
	case !time.Now().Before(writeDeadline):
		return errTooLate
	case x.clientLeft() && !faults.IgnoreClientGone: // the reader goroutine has not run since and does not know yet
		x.conn.noteClientGone()
		return errClientGone
	}
	return nil
}

// maxUnseenCloseMs is how long ago a client may have closed without having been seen to, when a dispatch begins. A client is
// gone for the platform 100 ms after its close.
const maxUnseenCloseMs = 50.0

// clientLeft reports whether the client has left, or may have left some time ago: where it has sent so much beyond its request
// that its close can't be seen, it may have closed since the request arrived, or before that if the request came early.
func (x *exchange) clientLeft() bool {
	switch back.StateOfPeer(x.conn.nc) {
	case back.PeerClosed:
		return true
	case back.PeerAhead:
		mayHaveLeft := x.isEarly || x.conn.server.Clock.Now()-x.startMs > maxUnseenCloseMs
		return mayHaveLeft && x.bodyRetained // else what is unread is the request's own body
	default:
		return false
	}
}

// writeRequest writes the request to a node, and streams the part of the body that is not retained.
func (x *exchange) writeRequest(nodeConn *back.Conn, outcome *back.DispatchOutcome) (int64, error) {
	h := x.head
	b := append(append(append(append(nodeConn.WriteBuffer[:0], h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	b = h1.AppendHeader(b, h.Header, "Content-Length", "Via", "X-Forwarded-For", x.conn.server.headerNames.timeLimit)
	via := x.conn.server.viaField
	for _, v := range h.Header["Via"] {
		via = v + ", " + via
	}
	b = h1.AppendField(b, "Via", via)
	if host := x.conn.host; host != "" {
		for _, v := range h.Header["X-Forwarded-For"] {
			host = v + ", " + host
		}
		b = h1.AppendField(b, "X-Forwarded-For", host)
	}
	if x.acceptsTrailers {
		b = h1.AppendField(h1.AppendField(b, "Connection", "TE"), "TE", "trailers")
	}
	if name := x.conn.server.headerNames.timeLimit; name != "" {
		leftMs := max(0, x.deadlineMs-x.conn.server.Clock.Now())
		if x.conn.server.Faults.InflateTimeLeft {
			leftMs += 1000
		}
		b = h1.AppendField(b, name, strconv.FormatFloat(leftMs, 'f', 0, 64))
	}
	trailers := x.body != nil && x.body.Trailers != nil
	var request message
	chunked := false
	switch {
	case x.bodyRetained && h.BodyLength == 0 && h.Header["Content-Length"] == nil:
		b = append(b, "\r\n"...)
	case x.bodyRetained && !trailers:
		b = append(h1.AppendField(b, "Content-Length", strconv.Itoa(len(x.retained))), "\r\n"...)
		request.body = x.retained
	case h.BodyLength >= 0:
		b = append(h1.AppendField(b, "Content-Length", strconv.FormatInt(h.BodyLength, 10)), "\r\n"...)
		request.body = x.retained
	default:
		b = append(h1.AppendField(b, "Transfer-Encoding", "chunked"), "\r\n"...)
		request.body = x.retained
		chunked = true
	}
	request.head = b
	switch {
	case chunked && x.bodyRetained:
		request.inOneChunk(x.body.Trailers)
	case chunked:
		request.inChunk()
	}
	if x.conn.server.Faults.DuplicateRequests {
		if duplicate, err := x.conn.server.Pool.Get(context.Background(), nodeConn.RemoteAddr().String(), true); err == nil {
			duplicate.Write(slices.Clone(request.join()))
			time.AfterFunc(time.Second, func() { duplicate.Close() })
		}
	}
	wrote, reusable, err := request.writeTo(nodeConn.Conn)
	nodeConn.WriteBuffer = reusable
	if err != nil || x.bodyRetained {
		outcome.PartialWrite = x.conn.server.Pool.Strict && wrote < int64(request.length())
		return wrote, err
	}
	return x.streamBody(nodeConn, wrote)
}

// streamBody passes on the part of a body that is too long to retain. From here on the invocation can't be sent again.
func (x *exchange) streamBody(nodeConn *back.Conn, wrote int64) (int64, error) {
	x.streamed = true
	buf, chunked := make([]byte, streamBufferBytes), x.head.BodyLength == h1.Chunked
	var out []byte
	for {
		x.paceFraming()
		waitMs := min(x.conn.server.CurrentSettings().Times.BodyMs, x.answerByMs-x.conn.server.Clock.Now())
		x.conn.nc.SetReadDeadline(time.Now().Add(ms(waitMs)))
		n, err := x.body.Read(buf)
		out = out[:0]
		if n > 0 && chunked {
			out = h1.AppendChunk(out, buf[:n])
		} else {
			out = append(out, buf[:n]...)
		}
		if err == io.EOF && chunked {
			out = h1.AppendLastChunk(out, x.body.Trailers)
		}
		if len(out) > 0 {
			n, err := nodeConn.Write(out)
			wrote += int64(n)
			if err != nil {
				return wrote, err
			}
		}
		if err == io.EOF {
			x.resumeReader()
			return wrote, nil
		}
		if err != nil {
			if !errors.Is(err, h1.ErrMalformed) && !back.IsTimeout(err) {
				x.conn.noteClientGone()
			}
			x.closeAfter = true
			return wrote, errors.Join(errClientGone, err)
		}
	}
}
