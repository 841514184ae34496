package front

import (
	"errors"
	"io"
	"strconv"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
)

// answer reads what the node answers; a success goes to the client, all else to the module.
func (x *exchange) answer(node *back.Conn, no int, start float64, f *back.Fate) (answered, keep bool,
	report map[string]float64) {
	s, c := x.c.s, x.c
	h, err := x.responseHead(node)
	if err != nil {
		f.Err = err
		node.Close()
		return false, false, nil
	}
	report = s.Pool.Report(h.Header)
	f.Away = s.names.away != "" && h.Header.Get(s.names.away) != ""
	if s.tooLong(h.Length) {
		f.Err = h1.ErrTooLarge
		node.Close()
		return false, false, report
	}
	body := node.R.Body(h, s.limits)
	held, err := x.fill(c.held[:0], body, int(s.Current().Limits.HeldAnswerBytes), nil)
	if cap(held) <= 1<<16 {
		c.held = held
	}
	whole := err == io.EOF || err == nil && body.Done()
	if err != nil && err != io.EOF {
		f.Err = err
		node.Close()
		return false, false, report
	}
	f.Status = h.Status
	var how balance.Outcome
	if !whole && s.Terms.MostBody > 0 {
		f.Err = h1.ErrTooLarge
		node.Close()
		return false, false, report
	}
	if !whole { // too long to be held: it goes to the client as it comes
		if f.Ending() != balance.Succeeded || x.claimed.Swap(true) {
			node.Close()
			return false, false, report
		}
		return true, x.passOn(node, h, body, held, no, start, report), report
	}
	if how = x.detach(f); how != balance.Succeeded || x.claimed.Swap(true) {
		x.putBack(node, h)
		return false, false, report
	}
	// The module learns of it before the client does: what the client asks next, it asks a marshal that knows.
	took := s.Clock.Now() - start
	x.loop().Post(func() { x.core().Ended(x.id, no, balance.Succeeded, took, true, report) })
	x.putBack(node, h)
	ends, owed := c.beginAnswer(x.mustEnd())
	if !owed {
		return true, false, report
	}
	c.out = x.answerHead(c.out[:0], h, body, len(held), ends)
	if x.head.Method != "HEAD" {
		if body.Trailers != nil && x.head.Minor > 0 {
			if len(held) > 0 {
				c.out = h1.AppendChunk(c.out, held)
			}
			c.out = h1.AppendLastChunk(c.out, body.Trailers)
		} else {
			c.out = append(c.out, held...)
		}
	}
	if s.Faults.Twice {
		c.out = append(c.out, c.out...)
	}
	c.release()
	return true, c.write() == nil && ends == keepOpen, report
}

func (x *exchange) putBack(node *back.Conn, h *h1.Head) {
	if h.Close || !x.whole && !x.resumed {
		node.Close()
		return
	}
	x.c.s.Pool.Put(node)
}

// responseHead reads heads up to the final one; an interim one is passed on (RFC 9110, 15.2), but for 100, which
// the client has had from the marshal, and 101, which nobody asked for.
func (x *exchange) responseHead(node *back.Conn) (*h1.Head, error) {
	for {
		h, err := node.R.Response(x.head.Method, x.c.s.limits)
		if err != nil {
			return nil, err
		}
		if h.Status >= 200 {
			return h, nil
		}
		if h.Status == 101 {
			return nil, errors.Join(h1.ErrMalformed, errors.New("101 without Upgrade"))
		}
		if h.Status != 100 && !x.c.s.Terms.Quiet && x.head.Minor > 0 && !x.claimed.Load() {
			h.DropHops()
			x.c.out = append(h1.AppendHeader(x.statusLine(x.c.out[:0], h), h.Header), "\r\n"...)
			if err := x.c.write(); err != nil {
				x.c.leave()
			}
		}
	}
}

func (x *exchange) statusLine(b []byte, h *h1.Head) []byte {
	b = strconv.AppendInt(append(b, "HTTP/1.1 "...), int64(h.Status), 10)
	return append(append(append(b, ' '), h.Reason...), "\r\n"...)
}

// answerHead writes the head of a node's answer as the client gets it. held is the length of its body, or one of
// h1's lengths; ends is for what the connection ends with it.
func (x *exchange) answerHead(b []byte, h *h1.Head, body *h1.Body, held int, ends closeReason) []byte {
	length := h.Header["Content-Length"]
	h.DropHops()
	b = h1.AppendHeader(x.statusLine(b, h), h.Header, "Content-Length", Final)
	b = h1.AppendField(b, Final, Succeeded)
	switch {
	case x.head.Method == "HEAD" || h.Status == 304:
		if len(length) == 1 {
			b = h1.AppendField(b, "Content-Length", length[0])
		}
	case h.Status == 204:
	case held >= 0 && (body.Trailers == nil || x.head.Minor == 0):
		b = h1.AppendField(b, "Content-Length", strconv.Itoa(held))
	case x.head.Minor > 0:
		b = h1.AppendField(b, "Transfer-Encoding", "chunked")
	}
	if ends != keepOpen {
		b = h1.AppendField(b, "Connection", "close")
	} else if x.head.Minor == 0 {
		b = h1.AppendField(b, "Connection", "keep-alive")
	}
	return append(b, "\r\n"...)
}

// passOn streams an answer that is too long to be held. Once it has begun it is the client's, and the client's
// time no longer ends it; a node that stands still does.
func (x *exchange) passOn(node *back.Conn, h *h1.Head, body *h1.Body, held []byte, no int, start float64,
	report map[string]float64) (keep bool) {
	s, c := x.c.s, x.c
	l := x.loop()
	l.Post(func() { x.core().Began(x.id, no, l.Now()-start) })
	x.mu.Lock() // no cancel ends what the client has begun to read
	x.node, x.undial = nil, nil
	x.mu.Unlock()
	length := int(h.Length)
	if h.Length == h1.ToEnd {
		length = h1.Chunked
	}
	chunked := length < 0 && x.head.Minor > 0
	x.last = x.last || length < 0 && !chunked
	ends, owed := c.beginAnswer(x.mustEnd())
	if !owed {
		node.Close()
		return false
	}
	c.out = x.answerHead(c.out[:0], h, body, length, ends)
	var err error
	room, piece := make([]byte, 32<<10), held
	for {
		if len(piece) > 0 && chunked {
			c.out = h1.AppendChunk(c.out, piece)
		} else {
			c.out = append(c.out, piece...)
		}
		if err == io.EOF && chunked {
			c.out = h1.AppendLastChunk(c.out, body.Trailers)
		}
		if len(c.out) > 0 {
			if werr := c.write(); werr != nil {
				c.leave()
				err = nil // the node did its part
				break
			}
			c.out = c.out[:0]
		}
		if err == io.EOF {
			break
		}
		node.SetDeadline(time.Now().Add(ms(s.Current().Times.BodyMs)))
		var n int
		n, err = body.Read(room)
		piece = room[:n]
		if err != nil && err != io.EOF {
			break
		}
	}
	how := balance.Succeeded
	if err != nil && err != io.EOF {
		how = back.Fate{Dialed: true, Wrote: 1, Err: err}.Ending()
		ends = closeWrite // cut short: only the end of the connection can tell
	}
	took := s.Clock.Now() - start
	x.loop().Post(func() { x.core().Ended(x.id, no, how, took, true, report) })
	if err == io.EOF {
		x.putBack(node, h)
	} else {
		node.Close()
	}
	return err == io.EOF && ends == keepOpen && !c.gone.Load()
}
