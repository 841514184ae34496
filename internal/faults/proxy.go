package faults

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to a server and injects a fault into some of them. Bytes to the server pass at once or not
// at all, so that the server sees when they were sent. Bytes from the server may be late, cut off, stalled once, or
// never come, and the connection may be reset.
type Proxy struct {
	Target      string  // the server's address
	FaultShare  float64 // of connections that get a fault
	AllowDelays bool    // all kinds of faults; else connections are only reset or cut off
	Seed        uint64

	ln     net.Listener
	wg     sync.WaitGroup
	mu     sync.Mutex
	rnd    *rand.Rand
	conns  map[net.Conn]bool
	closed bool
}

// faultKind says what happens to a connection.
type faultKind int

const (
	faultReset    faultKind = iota // it is reset, before or after some bytes from the server
	faultCut                       // it ends in the middle
	faultLate                      // from some moment on every read from the server is delayed
	faultStall                     // one read from the server is delayed, and for longer
	faultHalfOpen                  // from some moment on nothing comes from the server, and the connection stays open
	faultKinds                     // the number of kinds
)

const (
	maxLateDelay  = 60 * time.Millisecond
	maxStallDelay = 2 * time.Second
	maxFaultBytes = 4000 // from the server, after which a fault occurs at the latest
	noFault       = -1   // in place of the number of bytes: the connection gets no fault
)

// Start listens at a loopback address and returns it.
func (p *Proxy) Start() (address string, err error) {
	if p.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return "", err
	}
	p.rnd, p.conns = rand.New(rand.NewPCG(p.Seed, 22)), map[net.Conn]bool{}
	p.wg.Go(func() {
		for {
			nc, err := p.ln.Accept()
			if err != nil {
				return
			}
			if p.add(nc) {
				p.wg.Go(func() { p.forward(nc.(*net.TCPConn)) })
			}
		}
	})
	return p.ln.Addr().String(), nil
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.closed = true
	for nc := range p.conns {
		nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

// add registers a connection; it closes it and returns false if the proxy is closed.
func (p *Proxy) add(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		nc.Close()
		return false
	}
	p.conns[nc] = true
	return true
}

// remove closes a connection.
func (p *Proxy) remove(nc net.Conn) {
	nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, nc)
}

// draw draws the fault of a connection, the number of bytes after which it occurs, its delay as a share of the longest,
// and whether the connection gets it at all.
func (p *Proxy) draw() (kind faultKind, after int, delayShare float64, faulty bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kinds := int(faultKinds)
	if !p.AllowDelays {
		kinds = int(faultCut) + 1
	}
	return faultKind(p.rnd.IntN(kinds)), p.rnd.IntN(maxFaultBytes), p.rnd.Float64(), p.rnd.Float64() < p.FaultShare
}

// resetOnClose has the close of a connection reset it.
func resetOnClose(nc *net.TCPConn) { nc.SetLinger(0) }

// forward connects a client to the server and copies in both directions.
func (p *Proxy) forward(client *net.TCPConn) {
	defer p.remove(client)
	kind, after, delayShare, faulty := p.draw()
	upstream, err := net.Dial("tcp", p.Target)
	if err != nil {
		resetOnClose(client)
		return
	}
	if !p.add(upstream) {
		return
	}
	defer p.remove(upstream)
	clientGone := make(chan struct{})
	p.wg.Go(func() {
		defer close(clientGone)
		io.Copy(upstream, client)
		upstream.(*net.TCPConn).CloseWrite()
	})
	if !faulty {
		after = noFault
	}
	copyResponse(client, upstream, clientGone, kind, after, delayShare)
}

// copyResponse copies bytes from the server to the client, and injects a fault after a number of them.
func copyResponse(client *net.TCPConn, upstream net.Conn, clientGone <-chan struct{}, kind faultKind, after int,
	delayShare float64) {
	b := make([]byte, 2048)
	for {
		n, err := upstream.Read(b)
		if err != nil {
			if err != io.EOF {
				resetOnClose(client)
			}
			return
		}
		if after == noFault || n <= after {
			if _, err := client.Write(b[:n]); err != nil {
				return
			}
			if after != noFault {
				after -= n
			}
			continue
		}
		after = noFault
		switch kind {
		case faultReset:
			resetOnClose(client)
			return
		case faultCut:
			client.Write(b[:n/2])
			return
		case faultLate:
			time.Sleep(time.Duration(delayShare * float64(maxLateDelay)))
			after = 0 // delay the next read too
		case faultStall:
			time.Sleep(time.Duration(delayShare * float64(maxStallDelay)))
		case faultHalfOpen:
			io.Copy(io.Discard, upstream)
			<-clientGone
			return
		}
		if _, err := client.Write(b[:n]); err != nil {
			return
		}
	}
}
