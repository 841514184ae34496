package front

import (
	"errors"
	"fmt"
	"net"
	"time"

	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/connlimit"
	"arrowcleat/internal/h1"
)

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

// lastAcceptsFor is how long connections that go on coming are taken after the word to stop.
const lastAcceptsFor = 10 * lastLook

// lastAccepts takes what the kernel has accepted already, and closes the listener once nothing has come for a moment: a connection that is in
// its queue then is reset, with whatever request it carries. An accept that fails says nothing of the queue: it is tried again until the
// server has to end.
func (s *Server) lastAccepts(ln Listener) {
	defer ln.Close()
	d, ok := ln.Listener.(deadlined)
	end := time.Now().Add(lastAcceptsFor)
	for idle := 0; ok && !s.killed.Load() && idle < 2 && time.Now().Before(end); { // one that stood still may find its deadline past before it has looked
		d.SetDeadline(time.Now().Add(lastLook))
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.accept(nc, ln.Name)
			idle = 0
		case back.Timeout(err):
			idle++
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptWait)
			if !s.aborted.Load() {
				idle, end = 0, time.Now().Add(lastAcceptsFor)
			}
		}
	}
}

func (s *Server) accept(nc net.Conn, listener string) {
	now := time.Now()
	c := &conn{s: s, nc: nc, life: newLifecycle(nc, now, s.Clock.Now()), listener: listener, r: h1.NewReader(nc, readBuffer),
		requests: make(chan *request, 1), resume: make(chan struct{}, 1), commands: make(chan command, 16)}
	c.host, _, _ = splitHost(nc.RemoteAddr().String())
	if s.Terms.FirstMs > 0 {
		c.life.firstBy = now.Add(ms(s.Terms.FirstMs))
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
		c.home = divide.AssignConnection(func(i int) int { return int(s.homes[i].Load()) }, len(s.Loops))
		s.homes[c.home].Add(1)
	}
	if !full {
		s.wg.Add(2)
		if s.stopping.Load() {
			c.life.end(closeStop)
		}
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

// turnAway refuses a connection that there is no room for. In a flood it does so on the goroutine that accepts: else
// hundreds would hold a descriptor each until their own goroutines have had their turn.
func (c *conn) turnAway() {
	s := c.s
	c.life.state = stateTaken // the answer comes before the request, which need not be waited for
	part := func(wait bool) {
		c.plain(503, NotTaken, "too many connections", closeRejected)
		if wait {
			c.discardRest()
		}
		c.end(closeRejected)
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
	now := s.Clock.Now()
	var conns []*conn
	var all []connlimit.Conn
	for c := range s.conns {
		if !c.evicted {
			idle, served, since := c.life.rest()
			conns = append(conns, c)
			all = append(all, connlimit.Conn{Since: now - since, Served: served, Busy: !idle})
		}
	}
	i := connlimit.Evict(all)
	for i >= 0 && (back.Unread(conns[i].nc) || !conns[i].life.evict()) { // its request is here already
		all[i].Busy = true
		i = connlimit.Evict(all)
	}
	if i < 0 {
		return false
	}
	c := conns[i]
	c.evicted = true
	s.evicting++
	return true
}
