package front

import (
	"context"
	"errors"
	"io"
	"strconv"
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
	c        *conn
	id       string       // given on the loop
	at       atomic.Int32 // the core that it was offered to last
	taker    atomic.Int32 // the one that took it, counted from 1
	lapsed   atomic.Bool  // the client has gone
	head     *h1.Head
	began    float64
	limit    float64
	dueAt    float64
	answerBy float64 // when the connection answers by itself
	last     bool    // the connection ends with it

	// What the module is told of it, and what binds it to a core: a key, a mark or nothing.
	pool, local, tenant int
	key, name           string
	cost                float64
	retry, write        bool

	trailers bool // the client takes trailers

	body    *h1.Body // what is still to be read of the request's body, nil for nothing
	kept    []byte   // what of it can be sent again
	whole   bool     // all of it is in kept
	broken  bool     // part of the rest has been sent: it can't be sent again
	resumed bool
	how     balance.Ending // of the last dispatch

	// A dispatch that may have run is sent again only while nodes remember the key: memory ms from when the first such began.
	memory   float64 // 0 for no bound
	ranSince float64 // 0 for none that may have run

	state   atomic.Int32 // offered, taken or withdrawn; once more for each time that it was offered
	claimed atomic.Bool  // the final answer has been decided on, by a success or by the module

	mu       sync.Mutex
	over     bool // its connection carries out no further command
	no       int  // of the dispatch that is out
	out      bool
	node     *back.Conn
	undial   context.CancelFunc
	canceled bool
}

// Where an exchange stands between its worker, which offered it, and the loop, which takes it.
const (
	offered = iota
	taken
	withdrawn
	states // how many there are
)

// offer has a core take it; false says that too much waits there.
func (x *exchange) offer(at int) bool {
	s, round := x.c.s, x.state.Load()/states*states
	l, core := s.Loops[at], s.Cores[at][x.pool]
	x.at.Store(int32(at))
	return l.Offer(func() {
		if !x.state.CompareAndSwap(round+offered, round+taken) {
			return
		}
		x.taker.Store(int32(at) + 1)
		if x.lapsed.Load() {
			x.Let()
			return
		}
		// Its time runs while it waits its turn.
		x.id = core.Arrived(x, x.local, x.tenant, x.key, x.dueAt-l.Now(), x.cost, x.retry, x.write)
	})
}

// move takes it back from a core that lets it wait, and offers it to another: none has taken it, so it is no second
// copy. What a key or a mark binds to its core stays there. It says whether the other core refused it.
func (x *exchange) move() (refused bool) {
	s := x.c.s
	if len(s.Loops) == 1 || x.name != "" {
		return false
	}
	stands := func(i int) bool { return s.Loops[i].Standing() > recall }
	to, ok := divide.Elsewhere(int(x.at.Load()), s.waiting, stands, len(s.Loops))
	state := x.state.Load()
	if !ok || state%states != offered || !x.state.CompareAndSwap(state, state+withdrawn) {
		return false
	}
	x.state.Store(state + states) // offered anew: only the call made next can take it
	if !x.offer(to) {
		return true
	}
	s.moved.Add(1)
	return false
}

// recall is for how many ms an invocation waits at a core before it is looked whether another would take it.
const recall = 50.0

func (x *exchange) core() *marshal.Core { return x.c.s.Cores[x.at.Load()][x.pool] }
func (x *exchange) loop() *loop.Loop    { return x.c.s.Loops[x.at.Load()] }

type command struct {
	what       int
	no         int
	address    string
	within     float64
	retryAfter float64
	decided    time.Time
}

const (
	doDispatch = iota
	doThrottle
	doTerminate
	doLet
)

// send hands a command to the connection's goroutine; x.mu is held, and the exchange is not over. It never waits: at most a
// dispatch and the last commands are ever in the channel.
func (x *exchange) send(cmd command) { x.c.commands <- cmd }

// Dispatch and the methods below are marshal.Exchange.
func (x *exchange) Dispatch(no int, node uint32, address string, within float64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		x.neverSent(no)
		return
	}
	x.no, x.out, x.canceled = no, true, false
	// What has run of the call so far counts as before the decision: a cap that fell meanwhile isn't known to it.
	inCall := ms(x.c.s.Clock.Now() - x.loop().Now())
	x.send(command{what: doDispatch, no: no, address: address, within: within, decided: x.c.s.Pool.Time().Add(-inCall)})
}

// neverSent tells the module that a dispatch has ended without having begun.
func (x *exchange) neverSent(no int) {
	x.loop().Post(func() { x.core().Ended(x.id, no, balance.Ignored, 0, false, nil) })
}

// finish takes no command any more: the invocation has its answer. A dispatch that was decided on meanwhile is never sent.
func (x *exchange) finish() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	for {
		select {
		case cmd := <-x.c.commands:
			if cmd.what == doDispatch {
				x.neverSent(cmd.no)
			}
		default:
			return
		}
	}
}

func (x *exchange) Cancel(no int) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.out && x.no == no {
		x.stop()
	}
}

// stop ends the dispatch that is out; x.mu is held.
func (x *exchange) stop() {
	x.canceled = true
	if x.undial != nil {
		x.undial()
	}
	if x.node != nil {
		x.node.SetDeadline(time.Unix(1, 0))
	}
}

func (x *exchange) Throttle(retryAfter float64) {
	x.final(command{what: doThrottle, retryAfter: retryAfter})
}
func (x *exchange) Terminate() { x.final(command{what: doTerminate}) }
func (x *exchange) Abrupt()    { x.final(command{what: doTerminate}) }

// Let gives up what is out: nobody waits for it any more, and a connection that comes up late must carry nothing.
func (x *exchange) Let() { x.end(command{what: doLet}) }

// end ends what is still out and has the worker carry out the last command.
func (x *exchange) end(cmd command) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.over {
		return
	}
	if x.out {
		x.stop()
	}
	x.send(cmd)
}

// final decides on the answer unless a success was faster, and ends what is still out.
func (x *exchange) final(cmd command) {
	if x.claimed.Swap(true) {
		return
	}
	x.end(cmd)
}

// lapse tells the module that the client is gone.
func (x *exchange) lapse() {
	x.lapsed.Store(true)
	at := x.at.Load() // where it is now; if it is moved, whoever takes it sees that the client has gone
	x.c.s.Loops[at].Post(func() {
		if x.taker.Load() == at+1 && x.id != "" {
			x.c.s.Cores[at][x.pool].Lapsed(x.id)
		}
	})
}

// resumeReader lets the connection's reader go on once the body has been read.
func (x *exchange) resumeReader() {
	if x.body != nil && !x.resumed && x.body.Done() {
		x.resumed = true
		x.c.resume <- struct{}{}
	}
}

// takeBody reads the request's body as far as it may be kept for a repeat: then a slow client keeps no node
// waiting, and a client that breaks off has cost none anything.
func (x *exchange) takeBody() error {
	h, c := x.head, x.c
	if h.Length == 0 {
		x.whole = true
		return nil
	}
	if h.Expects() {
		c.out = append(c.out[:0], "HTTP/1.1 100 Continue\r\n\r\n"...)
		if err := c.write(); err != nil {
			return err
		}
	}
	x.body = c.r.Body(h, c.s.limits)
	most := int(c.s.Current().Limits.RepeatBodyBytes)
	kept, err := x.fill(c.body[:0], x.body, most, func() { c.readBy(c.s.Current().Times.BodyMs) })
	x.kept = kept
	if cap(kept) <= 1<<16 {
		c.body = kept
	}
	switch {
	case err == io.EOF:
		x.whole = true
		x.resumeReader()
		return nil
	case err == nil && x.body.Done(): // just as long as may be kept
		x.whole = true
		x.resumeReader()
		return nil
	}
	return err
}

// fill reads until the end or until most bytes are held, giving each read its time.
func (x *exchange) fill(to []byte, from io.Reader, most int, deadline func()) ([]byte, error) {
	for len(to) < most {
		if len(to) == cap(to) {
			to = append(to, 0)[:len(to)]
		}
		room := to[len(to):min(cap(to), most)]
		if deadline != nil {
			deadline()
		}
		n, err := from.Read(room)
		to = to[:len(to)+n]
		if err != nil {
			return to, err
		}
	}
	return to, nil
}

// run carries out the module's commands until the final answer; false ends the connection.
func (x *exchange) run() (keep bool) {
	s := x.c.s
	defer x.finish()
	wait := func() time.Duration {
		left := x.answerBy - s.Clock.Now()
		if len(s.Loops) > 1 && x.state.Load()%states == offered {
			left = min(left, recall)
		}
		return ms(left)
	}
	guard := x.c.guard
	if guard == nil {
		guard = time.NewTimer(wait())
		x.c.guard = guard
	} else {
		guard.Reset(wait())
	}
	defer guard.Stop()
	for {
		var cmd command
		select {
		case cmd = <-x.c.commands:
		case <-guard.C:
			if s.Clock.Now() < x.answerBy {
				if x.move() {
					return s.behind(x)
				}
				guard.Reset(wait())
				continue
			}
			if !s.Faults.NoGuard {
				if answered, keep := x.overdue(); answered {
					return keep
				}
			}
			continue
		}
		switch cmd.what {
		case doDispatch:
			if answered, keep := x.dispatch(cmd); answered {
				return keep
			}
		case doThrottle:
			err := x.c.plain(503, Throttled, "throttled: trying again is harmless", x.ends(), s.retryAfter(cmd.retryAfter)...)
			return err == nil && !x.ends()
		case doTerminate:
			err := x.c.plain(x.terminated(), Terminated, "terminated: what it did is not known", x.ends())
			return err == nil && !x.ends()
		case doLet:
			return false
		}
	}
}

// overdue answers in time when the loop does not: it stands still, or the module has lost the invocation. What the
// loop has not taken yet was never taken; the rest is terminated, which promises nothing.
func (x *exchange) overdue() (answered, keep bool) {
	if state := x.state.Load(); state%states == offered && x.state.CompareAndSwap(state, state+withdrawn) {
		return true, x.c.refuse(503, "this marshal stands still", x.ends(), "Retry-After", "1")
	}
	if x.claimed.Swap(true) {
		return false, false // its answer is on the way
	}
	x.loop().Post(func() { x.core().Overtaken(x.id) })
	return true, x.c.plain(x.terminated(), Terminated, "terminated: what it did is not known", x.ends()) == nil && !x.ends()
}

// ends says that the connection can't go on after this answer: the client asked so, or part of the body is unread.
func (x *exchange) ends() bool {
	return x.last || x.body != nil && !x.body.Done() || x.c.s.stopping.Load() || x.c.s.draining.Load()
}

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
	if x.ranSince == 0 && !back.NeverRan(x.how) {
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
func (x *exchange) detach(f *back.Fate) balance.Ending {
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
				return nil
			}
		}
		f.Dialed = true
		if !x.attach(node, until) {
			x.c.s.Pool.Put(node)
			f.Err = context.Canceled
			return nil
		}
		// Decided on before the word that the node drains, or without it; under a cap that has fallen since; or while nodes
		// still knew the key: never sent.
		late := x.c.s.Pool.Late(address) && !x.c.s.Faults.Late
		if late || x.c.s.Pool.Superseded(address, decided) || !time.Now().Before(writeBy) {
			x.c.s.Pool.Put(node)
			f.Canceled, f.Err = true, errLate
			return nil
		}
		// A client that has left may not be noticed yet: its reader has its turn after a marshal that stood still, as this
		// worker has. It costs a look at the socket for each attempt.
		if back.Ended(x.c.nc) && !x.c.s.Faults.Gone {
			x.c.s.Pool.Put(node)
			x.c.leave()
			f.Canceled, f.Err = true, errClient
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

var errLate = errors.New("too late for anything new to this node")

var errClient = errors.New("the client broke off its body")

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

func splitHost(address string) (host, port string, ok bool) {
	for i := len(address) - 1; i > 0; i-- {
		if address[i] == ':' {
			return address[:i], address[i+1:], true
		}
	}
	return "", "", false
}

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
	var how balance.Ending
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
	c.out = x.answerHead(c.out[:0], h, body, len(held))
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
	return true, c.write() == nil && !x.ends(), report
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
// h1's lengths.
func (x *exchange) answerHead(b []byte, h *h1.Head, body *h1.Body, held int) []byte {
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
	if x.ends() {
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
	c.out = x.answerHead(c.out[:0], h, body, length)
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
		x.last = true // cut short: only the end of the connection can tell
	}
	took := s.Clock.Now() - start
	x.loop().Post(func() { x.core().Ended(x.id, no, how, took, true, report) })
	if err == io.EOF {
		x.putBack(node, h)
	} else {
		node.Close()
	}
	return err == io.EOF && !x.ends() && !c.gone.Load()
}
