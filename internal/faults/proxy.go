package faults

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Proxy stands before a server and spoils some of the connections to it. What goes to the server passes at once or not at all, so that who
// looks there sees when it was sent; what comes back may be late, cut, reset, held, or never come.
type Proxy struct {
	Target      string  // the server's address
	FaultShare float64 // the share of connections that are spoilt
	AllowDelays    bool    // what comes back may be late or held; else the connection may only be reset or cut
	Seed    uint64

	ln    net.Listener
	wg    sync.WaitGroup
	mu    sync.Mutex
	rnd   *rand.Rand
	conns map[net.Conn]bool
	done  bool
}

// fault is what happens to a connection.
type fault int

const (
	faultReset    fault = iota // it is reset, before or after some bytes have come back
	faultCut                   // it ends in the middle
	faultLate                  // what comes back is late
	faultHeld                  // what comes back is held for a while, once
	faultHalfOpen              // from some moment on nothing comes back, and the connection stays
	faults                     // how many there are
)

const (
	lateMost   = 60 * time.Millisecond
	heldMost   = 2 * time.Second
	spoilAfter = 4000 // bytes at most that come back before
	never      = -1
)

// Start listens at a loopback address and gives it.
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
			if p.keep(nc) {
				p.wg.Go(func() { p.pass(nc.(*net.TCPConn)) })
			}
		}
	})
	return p.ln.Addr().String(), nil
}

// Close ends it and all its connections.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	p.done = true
	for nc := range p.conns {
		nc.Close()
	}
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *Proxy) keep(nc net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done {
		nc.Close()
		return false
	}
	p.conns[nc] = true
	return true
}

func (p *Proxy) drop(nc net.Conn) {
	nc.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, nc)
}

// draw draws what happens to a connection; spoilt is false for most.
func (p *Proxy) draw() (kind fault, after int, wait float64, spoilt bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kinds := int(faults)
	if !p.AllowDelays {
		kinds = int(faultCut) + 1
	}
	return fault(p.rnd.IntN(kinds)), p.rnd.IntN(spoilAfter), p.rnd.Float64(), p.rnd.Float64() < p.FaultShare
}

// reset has a connection's other side see that it broke.
func reset(nc *net.TCPConn) { nc.SetLinger(0) }

func (p *Proxy) pass(client *net.TCPConn) {
	defer p.drop(client)
	kind, after, wait, spoilt := p.draw()
	up, err := net.Dial("tcp", p.Target)
	if err != nil {
		reset(client)
		return
	}
	if !p.keep(up) {
		return
	}
	defer p.drop(up)
	clientGone := make(chan struct{})
	p.wg.Go(func() {
		defer close(clientGone)
		io.Copy(up, client)
		up.(*net.TCPConn).CloseWrite()
	})
	if !spoilt {
		after = never
	}
	back(client, up, clientGone, kind, after, wait)
}

// back carries what comes back, and spoils it after so many bytes.
func back(client *net.TCPConn, up net.Conn, clientGone <-chan struct{}, kind fault, after int, wait float64) {
	b := make([]byte, 2048)
	for {
		n, err := up.Read(b)
		if err != nil {
			if err != io.EOF {
				reset(client)
			}
			return
		}
		if after == never || n <= after {
			if _, err := client.Write(b[:n]); err != nil {
				return
			}
			if after != never {
				after -= n
			}
			continue
		}
		after = never
		switch kind {
		case faultReset:
			reset(client)
			return
		case faultCut:
			client.Write(b[:n/2])
			return
		case faultLate:
			time.Sleep(time.Duration(wait * float64(lateMost)))
			after = 0 // the next one too
		case faultHeld:
			time.Sleep(time.Duration(wait * float64(heldMost)))
		case faultHalfOpen:
			io.Copy(io.Discard, up)
			<-clientGone
			return
		}
		if _, err := client.Write(b[:n]); err != nil {
			return
		}
	}
}
