package front

import (
	"errors"
	"fmt"
	"net"
	"runtime"
	"time"

	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/connlimit"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/tcpstate"
)

// Backoff between accepts while descriptors are exhausted, and how often that is logged. Nothing signals that a descriptor is
// free again, and the time limits of requests in the accept queue are running: the longest wait is short compared with any
// client's time limit.
const (
	minAcceptRetry    = time.Millisecond
	maxAcceptRetry    = 20 * time.Millisecond
	acceptLogInterval = time.Second
)

// Where connections come so fast that accepting never waits, a pause after each batch lets the others run and the network be
// polled.
const (
	acceptBatch     = 16
	acceptBatchTime = 10 * time.Millisecond
	acceptPause     = 100 * time.Microsecond
)

// acceptLoop accepts connections on one listener until the server stops or the listener fails.
func (s *Server) acceptLoop(ln Listener) error {
	wait := minAcceptRetry
	var lastLogged time.Time
	batch, batchStart := 0, time.Now()
	for {
		if batch++; batch > acceptBatch {
			if time.Since(batchStart) < acceptBatchTime {
				runtime.Gosched()
				time.Sleep(acceptPause)
			}
			batch, batchStart = 1, time.Now()
		}
		nc, err := ln.Accept()
		if err != nil {
			if s.stopping.Load() {
				s.acceptPending(ln)
				return nil
			}
			var netErr net.Error
			if errors.As(err, &netErr) && !errors.Is(err, net.ErrClosed) { // descriptors are exhausted, which passes
				if time.Since(lastLogged) > acceptLogInterval {
					s.Log.Warn("no connection could be accepted", "err", err)
					lastLogged = time.Now()
				}
				if back.IsResourceShortage(err) {
					s.freeDescriptor()
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

// deadlineListener is a listener that can be woken without being closed.
type deadlineListener interface{ SetDeadline(time.Time) error }

// maxFinalAcceptTime bounds how long a stopping server accepts connections that keep arriving.
const maxFinalAcceptTime = 10 * finalReadTimeout

// acceptPending accepts the connections in the kernel's accept queue, and closes the listener once none has arrived for a
// moment: closing it resets a connection that is still queued, with whatever request it carries. A failed accept says
// nothing about the queue, so it is retried until the server is aborted.
func (s *Server) acceptPending(ln Listener) {
	defer ln.Close()
	withDeadline, ok := ln.Listener.(deadlineListener)
	end := time.Now().Add(maxFinalAcceptTime)
	// Two timeouts in a row are needed: a process that was not scheduled may find its deadline past before it has tried.
	for timeouts := 0; ok && !s.killed.Load() && timeouts < 2 && time.Now().Before(end); {
		withDeadline.SetDeadline(time.Now().Add(finalReadTimeout))
		nc, err := ln.Accept()
		switch {
		case err == nil:
			s.accept(nc, ln.Name)
			timeouts = 0
		case back.IsTimeout(err):
			timeouts++
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(minAcceptRetry)
			if !s.aborted.Load() {
				timeouts, end = 0, time.Now().Add(maxFinalAcceptTime)
			}
		}
	}
}

// accept registers a new connection and starts its goroutines, or rejects it if the limit of connections is reached.
func (s *Server) accept(nc net.Conn, listener string) {
	now := time.Now()
	reader := h1.NewReader(nc, readBufferBytes)
	reader.Memory = s.Memory
	c := &conn{server: s, nc: nc, lifecycle: newLifecycle(nc, now, s.Clock.Now()), listener: listener,
		reader: reader, requests: make(chan *request, 1), bodyRead: make(chan struct{}, 1),
		commands: make(chan command, 16)}
	if t, ok := nc.(*net.TCPConn); ok && s.Protocol.MaxBodyBytes > 0 { // bodies that are streamed may need more
		t.SetReadBuffer(back.ReceiveBufferBytes) // if the kernel refuses, it keeps its own bound
	}
	c.socket, _ = tcpstate.NewSocket(nc) // nil for a connection of another kind
	c.host, _, _ = splitHost(nc.RemoteAddr().String())
	if s.Protocol.FirstRequestTimeoutMs > 0 {
		c.lifecycle.firstDeadline = now.Add(ms(s.Protocol.FirstRequestTimeoutMs))
	}
	admitted := s.admit(c)
	if !admitted && !s.killed.Load() {
		time.Sleep(fullPause)
		admitted = s.admit(c)
	}
	if !admitted && s.killed.Load() {
		nc.Close()
		return
	}
	s.Counters.Connections.Add(1)
	if !admitted {
		s.Counters.Rejected.Add(1)
		c.rejectConnection()
		return
	}
	go c.readLoop()
	go c.workLoop()
}

// fullPause is how long a new connection waits when the limit of connections is reached: those whose clients have left close
// meanwhile.
const fullPause = time.Millisecond

// admit registers a new connection, if need be in place of an idle one. False means that the limit of connections is reached,
// or that the server is killed.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.killed.Load() {
		return false
	}
	full := len(s.conns)-s.evicting >= int(s.CurrentSettings().Limits.Connections)
	if full && !s.evict() {
		return false
	}
	s.conns[c] = true
	c.homeCore = divide.AssignConnection(func(i int) int { return int(s.coreConnections[i].Load()) }, len(s.Loops))
	s.coreConnections[c.homeCore].Add(1)
	s.wg.Add(2)
	if s.stopping.Load() {
		c.lifecycle.requestClose(closeStop)
	}
	return true
}

// rejectConnection answers a connection beyond the limit and closes it. In a connection flood it does so on the accepting
// goroutine: otherwise hundreds of connections would each hold a descriptor until their own goroutines are scheduled.
func (c *conn) rejectConnection() {
	s := c.server
	c.lifecycle.state = statePending // the answer does not wait for the request
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

// freeDescriptor evicts an idle connection, if there is one, for a connection that can't be accepted because descriptors are
// exhausted: the time limit of the request that it may carry is running.
func (s *Server) freeDescriptor() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
}

// evict asks an idle connection to close in favour of a new one, and reports whether it found one. It finds none in a protocol
// without a time limit for first requests. s.mu is held.
func (s *Server) evict() bool {
	if s.Protocol.FirstRequestTimeoutMs <= 0 || s.evicting >= maxLingering {
		return false
	}
	now := s.Clock.Now()
	var conns []*conn
	var candidates []connlimit.Conn
	for c := range s.conns {
		if !c.evicted {
			idle, served, since := c.lifecycle.idleState()
			conns = append(conns, c)
			candidates = append(candidates, connlimit.Conn{IdleMs: now - since, Served: served, Busy: !idle})
		}
	}
	for range maxEvictionTries {
		chosen := connlimit.SelectVictim(candidates)
		if chosen < 0 {
			return false
		}
		if conns[chosen].giveWay() {
			conns[chosen].evicted = true
			s.evicting++
			return true
		}
		candidates[chosen].Busy = true
	}
	return false
}

// maxEvictionTries bounds the search for a connection to evict, during which nothing is accepted.
const maxEvictionTries = 32

// giveWay makes an idle connection close, unless its next request has arrived. One whose client has left closes by itself.
func (c *conn) giveWay() bool {
	return back.StateOfPeer(c.nc) == back.PeerClosed || !back.HasUnread(c.nc) && c.lifecycle.evict()
}
