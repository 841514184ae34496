// Package front is a marshal's side towards the clients: it takes invocations from connections, carries out what
// the module decides on each, and gives each its one final answer.
package front

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/connlimit"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/settings"
)

// Final is the header that says which final answer a client got; NotTaken is the word for none: the invocation
// was turned away before the marshal took it.
const (
	Final      = "Arrowcleat-Answer"
	Succeeded  = "succeeded"
	Throttled  = "throttled"
	Terminated = "terminated"
	NotTaken   = "not-taken"
)

// Server takes connections from clients.
type Server struct {
	Set   *settings.Settings
	Clock loop.Clock
	Loops []*loop.Loop      // one for each core
	Cores [][]*marshal.Core // by core, of the pools
	Pool  *back.Pool
	Log   *slog.Logger
	Terms Terms

	ids       sync.Map     // of the requests that are open
	draining  atomic.Bool  // every connection ends with its next answer
	parting   atomic.Int64 // connections turned away that still hold a descriptor
	now       atomic.Pointer[settings.Settings]
	lns       []Listener
	mu        sync.Mutex
	conns     map[*conn]bool
	evicting  int            // of them, those that give way and are not yet closed
	listening int            // listeners that are not closed
	homes     []atomic.Int64 // connections of each core
	moved     atomic.Int64   // invocations that another core took
	wg        sync.WaitGroup
	open      atomic.Int64 // invocations between their head and their answer
	stopping  atomic.Bool
	killed    atomic.Bool // nothing is accepted any more, not even what the kernel has
	via       string
	limits    h1.Limits
	names     names
	Counts    Counts
	Faults    Faults
}

// Faults are planted, so that an audit can be seen to find them; none is set on a marshal that serves.
type Faults struct {
	Twice  bool // answers are written twice
	Copies bool // a request goes out on a second connection too
	Late   bool // the word that a node drains does not stop what is about to be written to it
	// NoGuard leaves what the loop has lost without an answer.
	NoGuard bool
	Budget  bool // nodes are told of a second more than there is
	Gone    bool // nobody looks whether a client has left
}

// Counts is what never reaches the module.
type Counts struct {
	Connections, TurnedAway, Malformed atomic.Int64
}

// names are the headers that settings name, in canonical form.
type names struct{ tenant, key, mark, time, cost, retry, away string }

// Listener is an address that clients call, and the name by which operations are kept to it.
type Listener struct {
	net.Listener
	Name string
}

// Serve takes connections from all listeners until Stop.
func (s *Server) Serve(lns []Listener) error {
	s.prepare(lns)
	if s.stopping.Load() { // it was told so before there was a listener
		s.wake()
	}
	ends := make(chan error, len(lns))
	for _, ln := range lns {
		go func() {
			defer s.wg.Done()
			err := s.listen(ln)
			s.mu.Lock()
			s.listening--
			s.mu.Unlock()
			ends <- err
		}()
	}
	var all []error
	for range lns {
		all = append(all, <-ends)
	}
	return errors.Join(all...)
}

// How long accepting waits where descriptors have run out, and how often it says so. Nobody tells when one is free again, and what
// waits in the accept queue has its time running: the longest wait is short beside any time that a client gives.
const (
	acceptWait     = time.Millisecond
	acceptWaitMost = 20 * time.Millisecond
	acceptSays     = time.Second
)

func (s *Server) listen(ln Listener) error {
	wait := acceptWait
	var said time.Time
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.stopping.Load() {
				s.lastAccepts(ln)
				return nil
			}
			var n net.Error
			if errors.As(err, &n) && !errors.Is(err, net.ErrClosed) { // out of descriptors: they come back
				if time.Since(said) > acceptSays {
					s.Log.Warn("no connection could be accepted", "err", err)
					said = time.Now()
				}
				time.Sleep(wait)
				wait = min(2*wait, acceptWaitMost)
				continue
			}
			return fmt.Errorf("accepting connections: %w", err)
		}
		wait = acceptWait
		s.accept(nc, ln.Name)
	}
}

// deadlined is a listener that can be woken without being closed.
type deadlined interface{ SetDeadline(time.Time) error }

// lastAccepts takes what the kernel has accepted already, and closes the listener once nothing has come for a moment: a
// connection that is in its queue then is reset, with whatever request it carries.
func (s *Server) lastAccepts(ln Listener) {
	defer ln.Close()
	d, ok := ln.Listener.(deadlined)
	end := time.Now().Add(10 * lastCall)
	for idle := 0; ok && !s.killed.Load() && idle < 2 && time.Now().Before(end); { // one that stood still may find its deadline past before it has looked
		d.SetDeadline(time.Now().Add(lastCall))
		if nc, err := ln.Accept(); err == nil {
			s.accept(nc, ln.Name)
			idle = 0
		} else if back.Timeout(err) {
			idle++
		} else { // out of descriptors: what waits is still there
			time.Sleep(acceptWait)
		}
	}
}

func (s *Server) prepare(lns []Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lns, s.conns, s.homes = lns, map[*conn]bool{}, make([]atomic.Int64, len(s.Loops))
	s.listening = len(lns)
	s.wg.Add(len(lns)) // whoever waits for the connections waits for those that listeners may still bring
	s.via = "1.1 marshal-" + strconv.Itoa(int(s.Current().Instance.Number))
	s.limits = h1.Limits{Line: int(s.Current().Limits.LineBytes), Header: int(s.Current().Limits.HeaderBytes)}
	h, canon := s.Current().Headers, textproto.CanonicalMIMEHeaderKey
	s.names = names{canon(h.Tenant), canon(h.Key), canon(h.Mark), canon(h.TimeMs), canon(h.CostMs), canon(h.Retry),
		canon(h.TurnedAway)}
}

func (s *Server) accept(nc net.Conn, listener string) {
	c := &conn{s: s, nc: nc, listener: listener, r: h1.NewReader(nc, readBuffer), requests: make(chan *request, 1),
		resume: make(chan struct{}, 1), commands: make(chan command, 16)}
	c.host, _, _ = splitHost(nc.RemoteAddr().String())
	c.quietSince.Store(int64(s.Clock.Now()))
	if s.Terms.FirstMs > 0 {
		c.by = time.Now().Add(ms(s.Terms.FirstMs))
	}
	s.mu.Lock()
	if s.killed.Load() {
		s.mu.Unlock()
		nc.Close()
		return
	}
	full := len(s.conns)-s.evicting >= int(s.Current().Limits.Connections)
	if full && s.Terms.FirstMs > 0 && s.evicting < mostParting {
		full = !s.evict()
	}
	if !full {
		s.conns[c] = true
		c.home = divide.Seat(func(i int) int { return int(s.homes[i].Load()) }, len(s.Loops))
		s.homes[c.home].Add(1)
	}
	if !full {
		s.wg.Add(2)
	}
	s.mu.Unlock()
	s.Counts.Connections.Add(1)
	if full {
		s.Counts.TurnedAway.Add(1)
		c.turnAway()
		return
	}
	go c.read()
	go c.work()
}

// Current is the settings as they are now; Change takes others, for what begins from then on.
func (s *Server) Current() *settings.Settings {
	if now := s.now.Load(); now != nil {
		return now
	}
	return s.Set
}

func (s *Server) Change(set *settings.Settings) { s.now.Store(set) }

// turnAway refuses a connection that there is no room for. In a flood it does so on the goroutine that accepts: else
// hundreds would hold a descriptor each until their own goroutines have had their turn.
func (c *conn) turnAway() {
	s := c.s
	part := func(linger bool) {
		c.plain(503, NotTaken, "too many connections", true)
		if linger {
			c.linger()
		}
		back.Drain(c.nc)
		c.nc.Close()
	}
	if s.parting.Add(1) > mostParting {
		part(false)
		s.parting.Add(-1)
		return
	}
	go func() {
		part(true)
		s.parting.Add(-1)
	}()
}

// evict has a connection give way to a new one; s.mu is held. It says whether one does.
func (s *Server) evict() bool {
	now := int64(s.Clock.Now())
	var conns []*conn
	var all []connlimit.Conn
	for c := range s.conns {
		if !c.evicted {
			conns = append(conns, c)
			all = append(all, connlimit.Conn{Since: float64(now - c.quietSince.Load()), Served: c.served.Load(), Busy: c.open.Load() > 0})
		}
	}
	i := connlimit.Evict(all)
	for i >= 0 && back.Unread(conns[i].nc) { // its request is here already
		all[i].Busy = true
		i = connlimit.Evict(all)
	}
	if i < 0 {
		return false
	}
	c := conns[i]
	c.evicted = true
	s.evicting++
	c.ended.Store(true)
	c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the reader, which then closes
	return true
}

// Drain lets every connection end with its next answer; all that comes is still served, until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop takes nothing new: no connection, and no invocation on those there are.
func (s *Server) Stop() {
	if s.stopping.Swap(true) {
		return
	}
	s.wake()
}

// wake wakes the listeners, and the readers that wait for a request.
func (s *Server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.lns {
		if d, ok := ln.Listener.(deadlined); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
			ln.Close()
		}
	}
	for c := range s.conns {
		c.wake()
	}
}

// Connections is the number of clients' connections that are not closed, and of listeners that may still bring some.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.listening
}

// Close waits for the connections to end, and after a time ends them.
func (s *Server) Close(within time.Duration) {
	s.Stop()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-time.After(within):
	}
	s.killed.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.nc.Close()
		c.interrupt()
	}
	s.mu.Unlock()
	<-done
}

// Abort gives every invocation that waits its answer, terminated; for when the loop has ended.
func (s *Server) Abort() {
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
}

// Kill closes every socket at once, as the end of the process would.
func (s *Server) Kill() {
	s.killed.Store(true)
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.gone.Store(true)
		if t, ok := c.nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.nc.Close()
	}
}

// Open is the number of invocations between their head and their answer.
func (s *Server) Open() int { return int(s.open.Load()) }

const (
	readBuffer = 4096
	lingerFor  = 300 * time.Millisecond // for a client to read why its connection ends
	// lastCall is how long a marshal that stops looks once more for what was on its way when it stopped; for a connection that
	// has never asked, firstCall.
	lastCall  = 5 * time.Millisecond
	firstCall = 300 * time.Millisecond
	// mostParting are the connections turned away that may linger, and those that give way at once: in a flood they
	// would use up the descriptors.
	mostParting = 8
)

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// conn is one client's connection. One goroutine reads heads, and finds out when the client goes; the other one
// works on one invocation after the other. The reader stands still while the worker reads a body.
type conn struct {
	s        *Server
	nc       net.Conn
	listener string // that it came to
	host     string // the client's
	guard    *time.Timer
	home     int // the core that takes what nothing binds to another
	r        *h1.Reader
	waking   sync.Mutex
	waiting  bool // the reader waits for the first byte of a request; with called, under waking
	called   bool // it does so for the last time, since the marshal stops
	requests chan *request
	resume   chan struct{}
	commands chan command
	open     atomic.Int32 // requests read and not answered
	gone     atomic.Bool
	ended    atomic.Bool // the worker takes no further request
	noBody   bool        // the request being worked on is a HEAD
	id       string      // of the request that is open, until its answer begins
	by       time.Time   // when the first request must be whole; zero once it is, or for no bound
	evicted  bool        // it gives way to another; s.mu
	served   atomic.Bool // it had an answer
	// quietSince is when it was opened or had its last answer, in ms of the clock.
	quietSince atomic.Int64
	current    atomic.Pointer[exchange]
	out        []byte // room for what is written to the client
	held       []byte // and for an answer that is held
	body       []byte // and for a request's body
}

type request struct {
	head  *h1.Head
	began float64 // when its first byte was read
	fault error   // in place of a head
}

func (c *conn) read() {
	defer c.s.wg.Done()
	defer close(c.requests)
	t := c.s.Current().Times
	for {
		c.await(t.IdleMs)
		if c.ended.Load() {
			return
		}
		if _, err := c.r.Peek(1); err != nil {
			if back.Timeout(err) && !c.ended.Load() && (c.open.Load() > 0 || c.s.stopping.Load() && !c.called) {
				continue // it waits for its answer, or is asked a last time
			}
			if !back.Timeout(err) {
				c.leave()
			}
			return
		}
		c.begin()
		began := c.s.Clock.Now()
		c.readBy(t.HeaderMs)
		h, err := c.r.Request(c.s.limits)
		c.open.Add(1)
		if err != nil {
			c.requests <- &request{fault: err}
			return
		}
		last, body := h.Close, h.Length != 0
		if !body {
			c.by = time.Time{}
		}
		c.requests <- &request{head: h, began: began}
		if body {
			if _, ok := <-c.resume; !ok {
				return
			}
			c.by = time.Time{}
		}
		if last { // nothing more is read, but that the client goes
			c.nc.SetReadDeadline(time.Time{})
			if _, err := c.r.Peek(1); err != nil && c.open.Load() > 0 && !back.Timeout(err) {
				c.leave()
			}
			return
		}
	}
}

// readBy bounds the next read, for a first request by what is left until it must be whole. That bound ends with the
// request's last byte: kept until the answer, it would be long past for a client that waits, and the reader, which waits
// for that client to go, would take its core for itself.
func (c *conn) readBy(within float64) {
	at := time.Now().Add(ms(within))
	if !c.by.IsZero() && c.by.Before(at) {
		at = c.by
	}
	c.nc.SetReadDeadline(at)
}

// await is before the reader waits for the first byte of a request: where the marshal stops, for the last time.
func (c *conn) await(idleMs float64) {
	c.waking.Lock()
	defer c.waking.Unlock()
	c.waiting = true
	c.readBy(idleMs)
	if c.s.stopping.Load() && c.open.Load() == 0 {
		c.called = true
		c.nc.SetReadDeadline(time.Now().Add(c.lastCall()))
	}
}

// begin is when that byte has come.
func (c *conn) begin() {
	c.waking.Lock()
	defer c.waking.Unlock()
	c.waiting = false
}

// wake has a reader that waits for a request look once more, and then close. One that has begun to read a request goes on: what
// is half read when the marshal stops is taken like the rest.
func (c *conn) wake() {
	c.waking.Lock()
	defer c.waking.Unlock()
	if c.waiting && !c.called && c.open.Load() == 0 {
		c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// lastCall is how long what may be on its way when the marshal stops is waited for. A request that the kernel has is read and
// answered; one that crosses the close after that is not, and its client sends it again.
func (c *conn) lastCall() time.Duration {
	if c.served.Load() {
		return lastCall
	}
	return firstCall
}

// leave says that the client has gone.
func (c *conn) leave() {
	c.gone.Store(true)
	if x := c.current.Load(); x != nil && !c.s.Faults.Gone {
		x.lapse()
	}
}

func (c *conn) work() {
	defer c.s.wg.Done()
	keep := true
	for req := range c.requests {
		if keep {
			keep = c.serve(req) && !c.gone.Load() && !c.s.stopping.Load()
			c.served.Store(true)
			c.quietSince.Store(int64(c.s.Clock.Now()))
			c.open.Add(-1)
			if !keep {
				c.ended.Store(true)
				close(c.resume)
				c.linger()
			}
		}
	}
	if keep && c.s.stopping.Load() {
		c.linger() // a request that crosses the close must not reset it
	}
	back.Drain(c.nc)
	c.nc.Close()
	c.s.mu.Lock()
	delete(c.s.conns, c)
	if c.evicted {
		c.s.evicting--
	}
	c.s.homes[c.home].Add(-1)
	c.s.mu.Unlock()
}

// linger lets the client read the last answer before the connection is gone: closing with something unread
// would reset it.
func (c *conn) linger() {
	if t, ok := c.nc.(*net.TCPConn); ok && !c.gone.Load() {
		t.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(lingerFor))
		io.CopyN(io.Discard, c.nc, 1<<18)
	}
	c.nc.Close()
}

// interrupt ends what the worker waits for at a node.
func (c *conn) interrupt() {
	if x := c.current.Load(); x != nil {
		x.Abrupt()
	}
}

// write sends what is in out.
func (c *conn) write() error {
	c.nc.SetWriteDeadline(time.Now().Add(ms(c.s.Current().Times.WriteMs)))
	_, err := c.nc.Write(c.out)
	if cap(c.out) > 1<<16 {
		c.out = nil
	}
	return err
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed",
	408: "Request Timeout", 409: "Conflict", 413: "Content Too Large",
	417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large", 501: "Not Implemented",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout", 505: "HTTP Version Not Supported"}

// plain writes an answer of the marshal's own.
func (c *conn) plain(status int, final, text string, last bool, fields ...string) error {
	c.release()
	b := append(strconv.AppendInt(append(c.out[:0], "HTTP/1.1 "...), int64(status), 10), ' ')
	b = append(append(b, reasons[status]...), "\r\n"...)
	b = h1.AppendField(b, Final, final)
	for i := 0; i+1 < len(fields); i += 2 {
		b = h1.AppendField(b, fields[i], fields[i+1])
	}
	if last {
		b = h1.AppendField(b, "Connection", "close")
	}
	b = h1.AppendField(b, "Content-Type", "text/plain; charset=utf-8")
	b = append(h1.AppendField(b, "Content-Length", strconv.Itoa(len(text)+1)), "\r\n"...)
	if !c.noBody {
		b = append(append(b, text...), '\n')
	}
	c.out = b
	return c.write()
}

// refuse turns a request away before it is taken.
func (c *conn) refuse(status int, text string, last bool, fields ...string) bool {
	c.s.Counts.TurnedAway.Add(1)
	return c.plain(status, NotTaken, text, last, fields...) == nil && !last
}

func (c *conn) fault(err error) bool {
	c.s.Counts.Malformed.Add(1)
	switch {
	case errors.Is(err, h1.ErrTooLarge):
		return c.refuse(431, err.Error(), true)
	case errors.Is(err, h1.ErrCoding):
		return c.refuse(501, err.Error(), true)
	case errors.Is(err, h1.ErrVersion):
		return c.refuse(505, err.Error(), true)
	case errors.Is(err, h1.ErrMalformed):
		return c.refuse(400, err.Error(), true)
	case back.Timeout(err):
		return c.refuse(408, "the request took too long to arrive", true)
	}
	return false // the connection broke
}

// serve works on one request; false ends the connection.
func (c *conn) serve(req *request) (keep bool) {
	if req.fault != nil {
		return c.fault(req.fault)
	}
	h, s := req.head, c.s
	x := &exchange{c: c, head: h, began: req.began, last: h.Close}
	defer x.resumeReader()
	c.noBody = h.Method == "HEAD"
	if s.Terms.Health != "" && h.Target == s.Terms.Health && h.Method == "GET" && h.Length == 0 {
		return c.plain(200, NotTaken, "serving", x.ends()) == nil && !x.ends()
	}
	// What the head asks for: operation, tenant, key, mark, time. Nothing has been taken yet.
	absolute(h)
	asked, err := c.asked(h)
	var why refusal
	if errors.As(err, &why) {
		return c.refuse(why.status, why.text, h.Length != 0 || x.last)
	}
	if s.tooLong(h.Length) {
		return c.refuse(413, "the body is too long", true)
	}
	if !s.claim(asked.ID) {
		return c.refuse(409, "a request of this id is open", h.Length != 0 || x.last)
	}
	c.id = asked.ID
	defer c.release()
	x.limit = asked.Limit
	if s.open.Add(1) > int64(s.Current().Limits.Open) {
		s.open.Add(-1)
		return c.refuse(503, "too many invocations are open", h.Length != 0 || x.last, "Retry-After", "1")
	}
	defer s.open.Add(-1)
	if err := x.takeBody(); err != nil {
		if errors.Is(err, h1.ErrMalformed) || back.Timeout(err) {
			return c.fault(err)
		}
		c.gone.Store(true)
		return false
	}
	if s.Terms.MostBody > 0 && !x.whole {
		return c.refuse(413, "the body is too long", true)
	}
	x.trailers = h1.Listed(h.Header["Te"], "trailers")
	h.DropHops()
	budget := x.limit - s.Current().Times.AnswerMs - (s.Clock.Now() - x.began)
	if budget <= 0 {
		return c.refuse(503, "no time left when it had arrived", x.last || !x.whole)
	}
	x.pool, x.local = s.Set.Place(asked.Op)
	c.current.Store(x)
	defer func() {
		c.current.Store(nil)
		x.finish()
	}()
	if c.gone.Load() {
		return false
	}
	x.tenant, x.cost, x.write, x.key, x.retry = asked.Tenant, asked.Cost, asked.Write, asked.Key, asked.Retry
	if o := s.Set.Operation[asked.Op]; o.Repeat == settings.Repeat_FINGERPRINTED {
		x.memory = o.MemoryMs
	}
	x.dueAt = s.Clock.Now() + budget
	x.answerBy = x.dueAt + s.Current().Times.AnswerMs/2
	at := 0
	if len(s.Loops) > 1 {
		if s.Set.RolloutOf(x.pool).ForwardOnly {
			x.name = x.key
		}
		if x.name == "" && s.names.mark != "" {
			x.name = h.Header.Get(s.names.mark)
		}
		at = divide.Place(x.name, c.home, s.waiting, len(s.Loops))
		if at != c.home && x.name == "" {
			s.moved.Add(1)
		}
	}
	if !x.offer(at) {
		return s.behind(x)
	}
	return x.run()
}

// behind turns away what no core has taken.
func (s *Server) behind(x *exchange) bool {
	return x.c.refuse(503, "this marshal is behind", x.last || !x.whole, "Retry-After", "1")
}

func (s *Server) waiting(core int) int { return s.Loops[core].Waiting() }

// Homes is the number of connections of each core, Moved that of the invocations that went to another one than their
// connection's because so much more waited there.
func (s *Server) Homes(core int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.homes == nil {
		return 0
	}
	return s.homes[core].Load()
}

func (s *Server) Moved() int64 { return s.moved.Load() }

func number(h textproto.MIMEHeader, name string, absent float64) (float64, error) {
	if name == "" {
		return absent, nil
	}
	text := h.Get(name)
	if text == "" {
		return absent, nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v < 1e12) {
		return 0, fmt.Errorf("%s: %.40q is no time in milliseconds", name, text)
	}
	return v, nil
}

// status of a termination: the nodes' fault, or time that ran out.
func (x *exchange) terminated() int {
	if x.how == balance.TimedOut {
		return 504
	}
	return 502
}
