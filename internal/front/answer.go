package front

import (
	"errors"
	"io"
	"slices"
	"strconv"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/membudget"
)

// readAnswer reads a node's response. A success is passed on to the client, any other outcome is left to the module.
func (x *exchange) readAnswer(nodeConn *back.Conn, dispatchNo int, startMs float64, outcome *back.DispatchOutcome) (
	answered, keepAlive bool, report map[string]float64) {
	s, c := x.conn.server, x.conn
	h, err := x.readResponseHead(nodeConn)
	if err != nil {
		outcome.Err = err
		nodeConn.Close()
		return false, false, nil
	}
	defer h.Release()
	report = s.Pool.ParseReport(h.Header)
	outcome.Rejected = s.headerNames.rejected != "" && h.Header.Get(s.headerNames.rejected) != ""
	if s.tooLong(h.BodyLength) {
		outcome.Err = h1.ErrTooLarge
		nodeConn.Close()
		return false, false, report
	}
	body := nodeConn.Reader.Body(h, s.limits)
	defer body.Release()
	memory := membudget.Reservation{Budget: s.Memory}
	defer memory.Release()
	maxHeld := int(s.CurrentSettings().Limits.HeldAnswerBytes)
	buffer, err := responseBuffer(c.responseBuf, min(h.BodyLength+1, int64(maxHeld)), &memory) // one byte more shows the end
	if err != nil {
		outcome.Err = err
		nodeConn.Close()
		return false, false, report
	}
	held, err := readUpTo(buffer, body, maxHeld, memory.Grow, nil)
	if cap(held) <= maxReusedBufferBytes {
		c.responseBuf = held
	}
	complete := err == io.EOF || err == nil && body.Done()
	if err != nil && err != io.EOF {
		outcome.Err = err
		nodeConn.Close()
		return false, false, report
	}
	outcome.Status = h.Status
	var result balance.Outcome
	if !complete && s.Protocol.MaxBodyBytes > 0 {
		outcome.Err = h1.ErrTooLarge
		nodeConn.Close()
		return false, false, report
	}
	if !complete { // too long to hold: it is streamed to the client
		if outcome.Classify() != balance.Succeeded || x.decided.Swap(true) {
			nodeConn.Close()
			return false, false, report
		}
		return true, x.streamAnswer(nodeConn, h, body, held, dispatchNo, startMs, report), report
	}
	if result = x.detach(outcome); result != balance.Succeeded || x.decided.Swap(true) {
		x.returnNodeConn(nodeConn, h)
		return false, false, report
	}
	// The module gets the outcome before the client does, so that it is known when the client's next request arrives.
	tookMs := s.Clock.Now() - startMs
	x.loop().Post(func() { x.core().DispatchEnded(x.invocationID, dispatchNo, balance.Succeeded, tookMs, true, report) })
	x.returnNodeConn(nodeConn, h)
	reason, pending := c.beginAnswer(x.requiredClose())
	if !pending {
		return true, false, report
	}
	answer := message{head: x.appendAnswerHead(c.writeBuf[:0], h, body, len(held), reason)}
	if x.head.Method != "HEAD" {
		answer.body = held
		if body.Trailers != nil && x.head.MinorVersion > 0 {
			answer.inOneChunk(body.Trailers)
		}
	}
	if s.Faults.AnswerTwice {
		answer = message{head: slices.Repeat(answer.join(), 2)}
	}
	c.settleID()
	return true, c.writeMessage(answer) == nil && reason == keepOpen, report
}

// responseBuffer returns an empty buffer for a response, of the given size if that is known: buf if it is large enough, else a
// new one.
func responseBuffer(buf []byte, size int64, memory *membudget.Reservation) ([]byte, error) {
	if size <= int64(cap(buf)) {
		return buf[:0], nil
	}
	if err := memory.Grow(size); err != nil {
		return nil, err
	}
	return make([]byte, 0, max(size, minBodyBuffer)), nil
}

// returnNodeConn returns a connection to the pool, or closes it if it can't carry another request.
func (x *exchange) returnNodeConn(nodeConn *back.Conn, h *h1.Head) {
	if h.Close || !x.bodyRetained && !x.readerResumed {
		nodeConn.Close()
		return
	}
	x.conn.server.Pool.Put(nodeConn)
}

// readResponseHead reads heads up to the final one. Interim responses are passed on (RFC 9110, 15.2), except 100, which the
// client got from the marshal, and 101, which nobody requested.
func (x *exchange) readResponseHead(nodeConn *back.Conn) (*h1.Head, error) {
	for {
		h, err := nodeConn.Reader.Response(x.head.Method, x.conn.server.limits)
		if err != nil {
			return nil, err
		}
		if h.Status >= 200 {
			return h, nil
		}
		h.Release() // it is passed on or dropped before the next one is read
		if h.Status == 101 {
			return nil, errors.Join(h1.ErrMalformed, errors.New("101 without Upgrade"))
		}
		if h.Status != 100 && !x.conn.server.Protocol.DropInterimResponses && x.head.MinorVersion > 0 && !x.decided.Load() {
			h.RemoveHopByHop()
			x.conn.writeBuf = append(h1.AppendHeader(x.appendStatusLine(x.conn.writeBuf[:0], h), h.Header), "\r\n"...)
			if err := x.conn.write(); err != nil {
				x.conn.noteClientGone()
			}
		}
	}
}

// appendStatusLine appends the status line of a node's response.
func (x *exchange) appendStatusLine(b []byte, h *h1.Head) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(h.Status), 10)
	return append(append(append(b, ' '), h.Reason...), "\r\n"...)
}

// appendAnswerHead appends the head of a node's response as the client gets it. bodyLength is the length of its body, or one of
// h1's special lengths; reason is the reason for which the connection closes after it, keepOpen for none.
func (x *exchange) appendAnswerHead(b []byte, h *h1.Head, body *h1.Body, bodyLength int, reason closeReason) []byte {
	length := h.Header["Content-Length"]
	h.RemoveHopByHop()
	b = h1.AppendHeader(x.appendStatusLine(b, h), h.Header, "Content-Length", AnswerHeader)
	b = h1.AppendField(b, AnswerHeader, Succeeded)
	switch {
	case x.head.Method == "HEAD" || h.Status == 304:
		if len(length) == 1 {
			b = h1.AppendField(b, "Content-Length", length[0])
		}
	case h.Status == 204:
	case bodyLength >= 0 && (body.Trailers == nil || x.head.MinorVersion == 0):
		b = h1.AppendField(b, "Content-Length", strconv.Itoa(bodyLength))
	case x.head.MinorVersion > 0:
		b = h1.AppendField(b, "Transfer-Encoding", "chunked")
	}
	if reason != keepOpen {
		b = h1.AppendField(b, "Connection", "close")
	} else if x.head.MinorVersion == 0 {
		b = h1.AppendField(b, "Connection", "keep-alive")
	}
	return append(b, "\r\n"...)
}

// streamAnswer streams a response that is too long to hold. Once it has begun, the client's time limit no longer ends it; a
// node that stalls does.
func (x *exchange) streamAnswer(nodeConn *back.Conn, h *h1.Head, body *h1.Body, held []byte, dispatchNo int, startMs float64,
	report map[string]float64) (keepAlive bool) {
	s, c := x.conn.server, x.conn
	coreLoop := x.loop()
	coreLoop.Post(func() { x.core().ResponseStarted(x.invocationID, dispatchNo, coreLoop.Now()-startMs) })
	x.mu.Lock() // an answer that the client has begun to read can't be canceled
	x.nodeConn, x.cancelDial = nil, nil
	x.mu.Unlock()
	length := int(h.BodyLength)
	if h.BodyLength == h1.UntilClose {
		length = h1.Chunked
	}
	chunked := length < 0 && x.head.MinorVersion > 0
	x.closeAfter = x.closeAfter || length < 0 && !chunked
	reason, pending := c.beginAnswer(x.requiredClose())
	if !pending {
		nodeConn.Close()
		return false
	}
	c.writeBuf = x.appendAnswerHead(c.writeBuf[:0], h, body, length, reason)
	var err error
	buf, chunk := make([]byte, streamBufferBytes), held
	for {
		if len(chunk) > 0 && chunked {
			c.writeBuf = h1.AppendChunk(c.writeBuf, chunk)
		} else {
			c.writeBuf = append(c.writeBuf, chunk...)
		}
		if err == io.EOF && chunked {
			c.writeBuf = h1.AppendLastChunk(c.writeBuf, body.Trailers)
		}
		if len(c.writeBuf) > 0 {
			if writeErr := c.write(); writeErr != nil {
				c.noteClientGone()
				err = nil // the node did not fail
				break
			}
			c.writeBuf = c.writeBuf[:0]
		}
		if err == io.EOF {
			break
		}
		nodeConn.SetDeadline(time.Now().Add(ms(s.CurrentSettings().Times.BodyMs)))
		var n int
		n, err = body.Read(buf)
		chunk = buf[:n]
		if err != nil && err != io.EOF {
			break
		}
	}
	result := balance.Succeeded
	if err != nil && err != io.EOF {
		result = back.DispatchOutcome{Connected: true, BytesWritten: 1, Err: err}.Classify()
		reason = closeWriteFailed // truncated: only closing the connection can tell the client
	}
	tookMs := s.Clock.Now() - startMs
	x.loop().Post(func() { x.core().DispatchEnded(x.invocationID, dispatchNo, result, tookMs, true, report) })
	if err == io.EOF {
		x.returnNodeConn(nodeConn, h)
	} else {
		nodeConn.Close()
	}
	return err == io.EOF && reason == keepOpen && !c.clientGone.Load()
}
