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
	minAcceptRetry    = time.Millisecond
	maxAcceptRetry    = 20 * time.Millisecond
	acceptLogInterval = time.Second
)

func (s *Server) acceptLoop(ln Listener) error {
	wait := minAcceptRetry
	var lastLogged time.Time
	for {
		nc, err := ln.Accept()
		if err != nil {
			if s.stopping.Load() {
				s.acceptPending(ln)
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed) { // out of descriptors: they come back
				if time.Since(lastLogged) > acceptLogInterval {
					s.Log.Warn("no connection could be accepted", "err", err)
					lastLogged = time.Now()
				}
				time.Sleep(wait)
				wait = min(2*wait, maxAcceptRetry)
				continue
			}
			return fmt.Errorf("accepting connections: %w", err)
		}
		wait = minAcceptRetry
		s.accept(nc, ln.Name)
	}
}

// deadlined is a listener that can be woken without being closed.
type deadlineListener interface{ SetDeadline(time.Time) error }

// lastAcceptsFor is how long connections that go on coming are taken after the word to stop.
const maxFinalAccepts = 10 * finalReadTimeout

// lastAccepts takes what the kernel has accepted already, and closes the listener once nothing has come for a moment: a connection that is in
// its queue then is reset, with whatever request it carries. An accept that fails says nothing of the queue: it is tried again until the
// server has to end.
func (s *Server) acceptPending(ln Listener) {
	defer ln.Close()
	withDeadline, ok := ln.Listener.(deadlineListener)
	end := time.Now().Add(maxFinalAccepts)
	for timeouts := 0; ok && !s.killed.Load() && timeouts < 2 && time.Now().Before(end); { // one that stood still may find its deadline past before it has looked
		withDeadline.SetDeadline(time.Now().Add(finalReadTimeout))
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.accept(nc, ln.Name)
			timeouts = 0
		case back.Timeout(err):
			timeouts++
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(minAcceptRetry)
			if !s.aborted.Load() {
				timeouts, end = 0, time.Now().Add(maxFinalAccepts)
			}
		}
	}
}

func (s *Server) accept(nc net.Conn, listener string) {
	now := time.Now()
	c := &conn{server: s, nc: nc, lifecycle: newLifecycle(nc, now, s.Clock.Now()), listener: listener, reader: h1.NewReader(nc, readBufferBytes),
		requests: make(chan *request, 1), bodyRead: make(chan struct{}, 1), commands: make(chan command, 16)}
	c.host, _, _ = splitHost(nc.RemoteAddr().String())
	if s.Protocol.FirstRequestTimeoutMs > 0 {
		c.lifecycle.firstDeadline = now.Add(ms(s.Protocol.FirstRequestTimeoutMs))
	}
	s.mu.Lock()
	if s.killed.Load() {
		s.mu.Unlock()
		nc.Close()
		return
	}
	full := len(s.conns)-s.evicting >= int(s.CurrentSettings().Limits.Connections)
	if full && s.Protocol.FirstRequestTimeoutMs > 0 && s.evicting < maxLingering {
		full = !s.evict()
	}
	if !full {
		s.conns[c] = true
		c.homeCore = divide.Seat(func(i int) int { return int(s.coreConnections[i].Load()) }, len(s.Loops))
		s.coreConnections[c.homeCore].Add(1)
	}
	if !full {
		s.wg.Add(2)
		if s.stopping.Load() {
			c.lifecycle.requestClose(closeStop)
		}
	}
	s.mu.Unlock()
	s.Counters.Connections.Add(1)
	if full {
		s.Counters.Rejected.Add(1)
		c.rejectConnection()
		return
	}
	go c.readLoop()
	go c.workLoop()
}

// turnAway refuses a connection that there is no room for. In a flood it does so on the goroutine that accepts: else
// hundreds would hold a descriptor each until their own goroutines have had their turn.
func (c *conn) rejectConnection() {
	s := c.server
	c.lifecycle.state = statePending // the answer comes before the request, which need not be waited for
	reject := func(linger bool) {
		c.writePlain(503, NotAccepted, "too many connections", closeRejected)
		if linger {
			c.linger()
		}
		c.closeSocket(closeRejected)
	}
	if s.lingering.Add(1) > maxLingering {
		reject(false)
		s.lingering.Add(-1)
		return
	}
	go func() {
		reject(true)
		s.lingering.Add(-1)
	}()
}

// evict has a connection give way to a new one; s.mu is held. It says whether one does.
func (s *Server) evict() bool {
	now := s.Clock.Now()
	var conns []*conn
	var candidates []connlimit.Conn
	for c := range s.conns {
		if !c.evicted {
			idle, served, since := c.lifecycle.idleState()
			conns = append(conns, c)
			candidates = append(candidates, connlimit.Conn{Since: now - since, Served: served, Busy: !idle})
		}
	}
	chosen := connlimit.Evict(candidates)
	for chosen >= 0 && (back.Unread(conns[chosen].nc) || !conns[chosen].lifecycle.evict()) { // its request is here already
		candidates[chosen].Busy = true
		chosen = connlimit.Evict(candidates)
	}
	if chosen < 0 {
		return false
	}
	c := conns[chosen]
	c.evicted = true
	s.evicting++
	return true
}
