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
func (x *exchange) dispatch(cmd command) (answered, keep bool) {
	s := x.c.s
	start := s.Clock.Now()
	// The clock that the module decided by may be behind: a dispatch ends before the connection has to answer by itself.
	within := min(cmd.within, x.answerBy-start)
	until := time.Now().Add(ms(within))
	f := back.Fate{Strict: s.Pool.Strict}
	var node *back.Conn
	var report map[string]float64
	if x.broken || within <= 0 { // what was streamed is gone, or there is no time left: this dispatch is never sent
		f.Canceled = true
	} else {
		node = x.request(cmd.address, until, x.writeBy(start, until), cmd.decided, &f)
	}
	if node != nil {
		answered, keep, report = x.answer(node, cmd.no, start, &f)
	}
	if answered {
		return answered, keep
	}
	f.Expired = f.Expired || !time.Now().Before(until)
	x.how = x.detach(&f)
	if x.ranSince == 0 && !marshal.NeverRan(x.how) {
		x.ranSince = start
	}
	how, took := x.how, s.Clock.Now()-start
	x.loop().Post(func() { x.core().Ended(x.id, cmd.no, how, took, false, report) })
	return false, false
}

// writeBy is until when a dispatch that begins now may be written: the connection to its node may come up late.
func (x *exchange) writeBy(now float64, until time.Time) time.Time {
	if x.memory == 0 || x.ranSince == 0 {
		return until
	}
	end := time.Now().Add(ms(x.ranSince + x.memory - now))
	if end.Before(until) {
		return end
	}
	return until
}

// detach ends the dispatch that is out: from here on a cancel finds nothing.
func (x *exchange) detach(f *back.Fate) balance.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	f.Canceled = f.Canceled || x.canceled && f.Err != nil
	x.out, x.node, x.undial = false, nil, nil
	return f.Ending()
}

// attach makes a connection the one that a cancel breaks; false if it was cancelled already.
func (x *exchange) attach(c *back.Conn, until time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.canceled {
		return false
	}
	x.undial = nil
	x.node = c
	c.SetDeadline(until)
	return true
}

// request connects and writes the request. A kept connection that takes no byte of it is replaced by a new one:
// nothing has run. It returns nil where the dispatch has ended, with its fate.
func (x *exchange) request(address string, until, writeBy, decided time.Time, f *back.Fate) *back.Conn {
	for fresh := false; ; fresh = true {
		var node *back.Conn
		if !fresh {
			node = x.c.s.Pool.Kept(address)
		}
		if node == nil {
			var err error
			if node, err = x.dial(address, writeBy); err != nil {
				f.Err = err
				f.Canceled = writeBy.Before(until) && !time.Now().Before(writeBy) // not for want of an answer from the node
				return nil
			}
		}
		f.Dialed = true
		if !x.attach(node, until) {
			x.c.s.Pool.Put(node)
			f.Err = context.Canceled
			return nil
		}
		if err := x.mayWrite(address, writeBy, decided); err != nil {
			x.c.s.Pool.Put(node)
			f.Canceled, f.Err = true, err
			x.c.s.Counts.HeldBack.Add(1)
			x.c.s.Log.Debug("dispatch not written", "request", x.requestID, "node", address, "why", err)
			return nil
		}
		f.Wrote, f.Err = x.writeTo(node, f)
		if f.Err == nil {
			return node
		}
		if errors.Is(f.Err, errClient) {
			f.Canceled = true
		} else if f.Wrote > 0 && !f.Part && back.Gone(f.Err) { // it may have answered before it had read all, and closed
			f.Err = nil
			return node
		}
		node.Close()
		if f.Wrote == 0 && node.Kept && !back.Timeout(f.Err) {
			continue
		}
		return nil
	}
}

// dial opens a connection, unless the dispatch is cancelled or its time is up before.
func (x *exchange) dial(address string, until time.Time) (*back.Conn, error) {
	ctx, undial := context.WithDeadline(context.Background(), until)
	defer undial()
	x.mu.Lock()
	x.undial = undial
	if x.canceled {
		undial()
	}
	x.mu.Unlock()
	return x.c.s.Pool.Get(ctx, address, true)
}

// Why a dispatch that was decided on is not written.
var (
	errDrains  = errors.New("the node drains or is gone")
	errCapFell = errors.New("the cap of the node's build has fallen since it was decided on")
	errWindow  = errors.New("its time, or that in which nodes know the key, is over")
	errClient  = errors.New("the client has gone, or broke off its body")
)

// mayWrite is the last look before a dispatch is written: what it was decided on by may be over by now.
func (x *exchange) mayWrite(address string, writeBy, decided time.Time) error {
	pool, faults := x.c.s.Pool, &x.c.s.Faults
	switch {
	case pool.Late(address) && !faults.Late:
		return errDrains
	case pool.Superseded(address, decided):
		return errCapFell
	case !time.Now().Before(writeBy):
		return errWindow
	case back.Ended(x.c.nc) && !faults.Gone: // its reader, which has its turn after this one, has not noticed yet
		x.c.leave()
		return errClient
	}
	return nil
}

// writeTo writes the request as it goes on to a node.
func (x *exchange) writeTo(node *back.Conn, f *back.Fate) (int64, error) {
	h := x.head
	b := append(append(append(append(node.Buf[:0], h.Method...), ' '), h.Target...), " HTTP/1.1\r\n"...)
	b = h1.AppendHeader(b, h.Header, "Content-Length", "Via", "X-Forwarded-For", x.c.s.names.time)
	via := x.c.s.via
	for _, v := range h.Header["Via"] {
		via = v + ", " + via
	}
	b = h1.AppendField(b, "Via", via)
	if host := x.c.host; host != "" {
		for _, v := range h.Header["X-Forwarded-For"] {
			host = v + ", " + host
		}
		b = h1.AppendField(b, "X-Forwarded-For", host)
	}
	if x.trailers {
		b = h1.AppendField(h1.AppendField(b, "Connection", "TE"), "TE", "trailers")
	}
	if name := x.c.s.names.time; name != "" {
		left := max(0, x.dueAt-x.c.s.Clock.Now())
		if x.c.s.Faults.Budget {
			left += 1000
		}
		b = h1.AppendField(b, name, strconv.FormatFloat(left, 'f', 0, 64))
	}
	trailers := x.body != nil && x.body.Trailers != nil
	switch {
	case x.whole && h.Length == 0 && h.Header["Content-Length"] == nil:
		b = append(b, "\r\n"...)
	case x.whole && !trailers:
		b = h1.AppendField(b, "Content-Length", strconv.Itoa(len(x.kept)))
		b = append(append(b, "\r\n"...), x.kept...)
	case h.Length >= 0:
		b = h1.AppendField(b, "Content-Length", strconv.FormatInt(h.Length, 10))
		b = append(append(b, "\r\n"...), x.kept...)
	default:
		b = append(h1.AppendField(b, "Transfer-Encoding", "chunked"), "\r\n"...)
		if len(x.kept) > 0 {
			b = h1.AppendChunk(b, x.kept)
		}
		if x.whole {
			b = h1.AppendLastChunk(b, x.body.Trailers)
		}
	}
	if cap(b) <= 1<<16 {
		node.Buf = b
	}
	if x.c.s.Faults.Copies {
		if twin, err := x.c.s.Pool.Get(context.Background(), node.RemoteAddr().String(), true); err == nil {
			twin.Write(b)
			time.AfterFunc(time.Second, func() { twin.Close() })
		}
	}
	n, err := node.Write(b)
	wrote := int64(n)
	if err != nil || x.whole {
		f.Part = x.c.s.Pool.Strict && n < len(b)
		return wrote, err
	}
	return x.stream(node, wrote)
}

// stream passes on what of a body is too long to be kept; from here on the invocation can't be sent again.
func (x *exchange) stream(node *back.Conn, wrote int64) (int64, error) {
	x.broken = true
	room, chunked := make([]byte, 32<<10), x.head.Length == h1.Chunked
	var b []byte
	for {
		wait := min(x.c.s.Current().Times.BodyMs, x.answerBy-x.c.s.Clock.Now())
		x.c.nc.SetReadDeadline(time.Now().Add(ms(wait)))
		n, err := x.body.Read(room)
		b = b[:0]
		if n > 0 && chunked {
			b = h1.AppendChunk(b, room[:n])
		} else {
			b = append(b, room[:n]...)
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
				x.c.leave()
			}
			x.last = true
			return wrote, errors.Join(errClient, err)
		}
	}
}
