package front

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
)

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
