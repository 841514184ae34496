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
	c         *conn
	id        string       // given on the loop
	requestID string       // the client's
	at        atomic.Int32 // the core that it was offered to last
	taker     atomic.Int32 // the one that took it, counted from 1
	lapsed    atomic.Bool  // the client has gone
	head      *h1.Head
	began     float64
	limit     float64
	dueAt     float64
	answerBy  float64 // when the connection answers by itself
	last      bool    // the connection ends with it

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
	how     balance.Outcome // of the last dispatch

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
			return x.c.plain(503, Throttled, "throttled: trying again is harmless", x.mustEnd(), s.retryAfter(cmd.retryAfter)...)
		case doTerminate:
			return x.c.plain(x.terminated(), Terminated, "terminated: what it did is not known", x.mustEnd())
		case doLet:
			return false
		}
	}
}

// overdue answers in time when the loop does not: it stands still, or the module has lost the invocation. What the
// loop has not taken yet was never taken; the rest is terminated, which promises nothing.
func (x *exchange) overdue() (answered, keep bool) {
	if state := x.state.Load(); state%states == offered && x.state.CompareAndSwap(state, state+withdrawn) {
		return true, x.c.refuse(503, "this marshal stands still", x.mustEnd(), "Retry-After", "1")
	}
	if x.claimed.Swap(true) {
		return false, false // its answer is on the way
	}
	x.loop().Post(func() { x.core().Overtaken(x.id) })
	return true, x.c.plain(x.terminated(), Terminated, "terminated: what it did is not known", x.mustEnd())
}

// mustEnd is for what the connection can't go on after the answer: part of the request's body is unread, or the client asked so.
func (x *exchange) mustEnd() closeReason {
	switch {
	case x.body != nil && !x.body.Done():
		return closeRejected
	case x.last:
		return closeAsked
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
