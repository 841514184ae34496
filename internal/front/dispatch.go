package front

import (
	"context"
	"errors"
	"io"
	"strconv"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/marshal"
)

// dispatch sends the invocation to a node and waits for what becomes of it.
func (x *exchange) dispatch(cmd command) (answered, keepAlive bool) {
	s := x.conn.server
	startMs := s.Clock.Now()
	// The clock that the module decided by may be behind: a dispatch ends before the connection has to answer by itself.
	timeoutMs := min(cmd.timeoutMs, x.answerByMs-startMs)
	deadline := time.Now().Add(ms(timeoutMs))
	outcome := back.Fate{Strict: s.Pool.Strict}
	var node *back.Conn
	var report map[string]float64
	if x.streamed || timeoutMs <= 0 { // what was streamed is gone, or there is no time left: this dispatch is never sent
		outcome.Canceled = true
	} else {
		node = x.sendRequest(cmd.address, deadline, x.writeDeadline(startMs, deadline), cmd.decidedAt, &outcome)
	}
	if node != nil {
		answered, keepAlive, report = x.readAnswer(node, cmd.dispatchNo, startMs, &outcome)
	}
	if answered {
		return answered, keepAlive
	}
	outcome.Expired = outcome.Expired || !time.Now().Before(deadline)
	x.lastOutcome = x.detach(&outcome)
	if x.mayHaveRunMs == 0 && !marshal.NeverRan(x.lastOutcome) {
		x.mayHaveRunMs = startMs
	}
	reported, tookMs := x.lastOutcome, s.Clock.Now()-startMs
	x.loop().Post(func() { x.core().Ended(x.invocationID, cmd.dispatchNo, reported, tookMs, false, report) })
	return false, false
}

// writeBy is until when a dispatch that begins now may be written: the connection to its node may come up late.
func (x *exchange) writeDeadline(nowMs float64, deadline time.Time) time.Time {
	if x.keyMemoryMs == 0 || x.mayHaveRunMs == 0 {
		return deadline
	}
	forgotten := time.Now().Add(ms(x.mayHaveRunMs + x.keyMemoryMs - nowMs))
	if forgotten.Before(deadline) {
		return forgotten
	}
	return deadline
}

// detach ends the dispatch that is out: from here on a cancel finds nothing.
func (x *exchange) detach(outcome *back.Fate) balance.Ending {
	x.mu.Lock()
	defer x.mu.Unlock()
	outcome.Canceled = outcome.Canceled || x.canceled && outcome.Err != nil
	x.inFlight, x.nodeConn, x.cancelDial = false, nil, nil
	return outcome.Ending()
}

// attach makes a connection the one that a cancel breaks; false if it was cancelled already.
func (x *exchange) attach(c *back.Conn, deadline time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.cancelDial = nil
	x.nodeConn = c
	c.SetDeadline(deadline)
	return true
}

// request connects and writes the request. A kept connection that takes no byte of it is replaced by a new one:
// nothing has run. It returns nil where the dispatch has ended, with its fate.
func (x *exchange) sendRequest(address string, deadline, writeDeadline, decidedAt time.Time, outcome *back.Fate) *back.Conn {
	for fresh := false; ; fresh = true {
		var node *back.Conn
		if !fresh {
			node = x.conn.server.Pool.Kept(address)
		}
		if node == nil {
			var err error
			if node, err = x.dial(address, writeDeadline); err != nil {
				outcome.Err = err
				outcome.Canceled = writeDeadline.Before(deadline) && !time.Now().Before(writeDeadline) // not for want of an answer from the node
				return nil
			}
		}
		outcome.Dialed = true
		if !x.attach(node, deadline) {
			x.conn.server.Pool.Put(node)
			outcome.Err = context.Canceled
			return nil
		}
		if err := x.checkBeforeWrite(address, writeDeadline, decidedAt); err != nil {
			x.conn.server.Pool.Put(node)
			outcome.Canceled, outcome.Err = true, err
			x.conn.server.Counters.SuppressedDispatches.Add(1)
			x.conn.server.Log.Debug("dispatch not written", "request", x.requestID, "node", address, "why", err)
			return nil
		}
		outcome.Wrote, outcome.Err = x.writeRequest(node, outcome)
		if outcome.Err == nil {
			return node
		}
		if errors.Is(outcome.Err, errClientGone) {
			outcome.Canceled = true
		} else if outcome.Wrote > 0 && !outcome.Part && back.Gone(outcome.Err) { // it may have answered before it had read all, and closed
			outcome.Err = nil
			return node
		}
		node.Close()
		if outcome.Wrote == 0 && node.Kept && !back.Timeout(outcome.Err) {
			continue
		}
		return nil
	}
}

// dial opens a connection, unless the dispatch is cancelled or its time is up before.
func (x *exchange) dial(address string, deadline time.Time) (*back.Conn, error) {
	ctx, undial := context.WithDeadline(context.Background(), deadline)
	defer undial()
	x.mu.Lock()
	x.cancelDial = undial
	if x.canceled {
		undial()
	}
	x.mu.Unlock()
	return x.conn.server.Pool.Get(ctx, address, true)
}

// Why a dispatch that was decided on is not written.
var (
	errNodeDraining = errors.New("the node drains or is gone")
	errCapLowered   = errors.New("the cap of the node's build has fallen since it was decided on")
	errTooLate      = errors.New("its time, or that in which nodes know the key, is over")
	errClientGone   = errors.New("the client has gone, or broke off its body")
)

// mayWrite is the last look before a dispatch is written: what it was decided on by may be over by now.
func (x *exchange) checkBeforeWrite(address string, writeDeadline, decidedAt time.Time) error {
	pool, faults := x.conn.server.Pool, &x.conn.server.Faults
	switch {
	case pool.Late(address) && !faults.IgnoreDraining:
		return errNodeDraining
	case pool.Superseded(address, decidedAt):
		return errCapLowered
	case !time.Now().Before(writeDeadline):
		return errTooLate
	case back.Ended(x.conn.nc) && !faults.IgnoreClientGone: // its reader, which has its turn after this one, has not noticed yet
		x.conn.noteClientGone()
		return errClientGone
	}
	return nil
}

// writeTo writes the request as it goes on to a node.
func (x *exchange) writeRequest(node *back.Conn, outcome *back.Fate) (int64, error) {
	h := x.head
	b := append(append(append(append(node.Buf[:0], h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
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
		left := max(0, x.deadlineMs-x.conn.server.Clock.Now())
		if x.conn.server.Faults.InflateTimeLeft {
			left += 1000
		}
		b = h1.AppendField(b, name, strconv.FormatFloat(left, 'f', 0, 64))
	}
	trailers := x.body != nil && x.body.Trailers != nil
	switch {
	case x.bodyRetained && h.BodyLength == 0 && h.Header["Content-Length"] == nil:
		b = append(b, "\r\n"...)
	case x.bodyRetained && !trailers:
		b = h1.AppendField(b, "Content-Length", strconv.Itoa(len(x.retained)))
		b = append(append(b, "\r\n"...), x.retained...)
	case h.BodyLength >= 0:
		b = h1.AppendField(b, "Content-Length", strconv.FormatInt(h.BodyLength, 10))
		b = append(append(b, "\r\n"...), x.retained...)
	default:
		b = append(h1.AppendField(b, "Transfer-Encoding", "chunked"), "\r\n"...)
		if len(x.retained) > 0 {
			b = h1.AppendChunk(b, x.retained)
		}
		if x.bodyRetained {
			b = h1.AppendLastChunk(b, x.body.Trailers)
		}
	}
	if cap(b) <= maxReusedBufferBytes {
		node.Buf = b
	}
	if x.conn.server.Faults.DuplicateRequests {
		if duplicate, err := x.conn.server.Pool.Get(context.Background(), node.RemoteAddr().String(), true); err == nil {
			duplicate.Write(b)
			time.AfterFunc(time.Second, func() { duplicate.Close() })
		}
	}
	n, err := node.Write(b)
	wrote := int64(n)
	if err != nil || x.bodyRetained {
		outcome.Part = x.conn.server.Pool.Strict && n < len(b)
		return wrote, err
	}
	return x.streamBody(node, wrote)
}

// stream passes on what of a body is too long to be kept; from here on the invocation can't be sent again.
func (x *exchange) streamBody(node *back.Conn, wrote int64) (int64, error) {
	x.streamed = true
	buf, chunked := make([]byte, streamBufferBytes), x.head.BodyLength == h1.Chunked
	var b []byte
	for {
		wait := min(x.conn.server.CurrentSettings().Times.BodyMs, x.answerByMs-x.conn.server.Clock.Now())
		x.conn.nc.SetReadDeadline(time.Now().Add(ms(wait)))
		n, err := x.body.Read(buf)
		b = b[:0]
		if n > 0 && chunked {
			b = h1.AppendChunk(b, buf[:n])
		} else {
			b = append(b, buf[:n]...)
		}
		if err == io.EOF && chunked {
			b = h1.AppendLastChunk(b, x.body.Trailers)
		}
		if len(b) > 0 {
			n, err := node.Write(b)
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
			if !errors.Is(err, h1.ErrMalformed) && !back.Timeout(err) {
				x.conn.noteClientGone()
			}
			x.closeAfter = true
			return wrote, errors.Join(errClientGone, err)
		}
	}
}
