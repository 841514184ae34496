package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// slowLink is the way to a node behind a slow and lossy link. What is lost is sent again by TCP, and what comes behind it
// waits.
type slowLink struct {
	ln     net.Listener
	target string
	delay  time.Duration
	loss   float64 // share of the pieces that are lost once
	again  time.Duration
	slow   atomic.Bool // else it delays and loses nothing
}

func (g *rig) newSlowLink(target string, delay time.Duration, loss float64) (*slowLink, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &slowLink{ln: ln, target: target, delay: delay, loss: loss, again: 200 * time.Millisecond}
	g.atEnd(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.carry(c)
		}
	}()
	return s, nil
}

// carry carries one connection.
func (s *slowLink) carry(c net.Conn) {
	defer c.Close()
	n, err := net.Dial("tcp", s.target)
	if err != nil {
		return
	}
	defer n.Close()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); s.copy(n, c) }()
	go func() { defer wg.Done(); s.copy(c, n) }()
	wg.Wait()
}

// copy carries one direction, in order.
func (s *slowLink) copy(to, from net.Conn) {
	type piece struct {
		due  time.Time
		text []byte
	}
	pieces := make(chan piece, 4096)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 4096)
			n, err := from.Read(b)
			if err != nil {
				return
			}
			var late time.Duration
			if s.slow.Load() {
				for late = s.delay; rand.Float64() < s.loss; {
					late += s.again
				}
			}
			pieces <- piece{time.Now().Add(late), b[:n]}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.text); err != nil {
			io.Copy(io.Discard, from)
			return
		}
	}
	if t, ok := to.(*net.TCPConn); ok {
		t.CloseWrite()
	}
}

// playDup has nodes send some answers twice, the second one 5 ms behind, when nothing else waits on the connection. The
// way to one zone is slow for 38 s and loses some of what is sent.
func playDup(g *rig) (broken bool, err error) {
	d := smallDeployment()
	d.marshals, d.crossZone = 3, 0
	seen, answered := &arrivals{}, &arrivals{}
	sites := []string{"north", "middle", "south"}
	var hosts []host
	var links []*slowLink
	for i := range 9 {
		n, err := g.newNode(fmt.Sprintf("s-%d", i), sites[i%3], 41, seen, answered, 180*time.Millisecond)
		if err != nil {
			return false, err
		}
		n.again = func() bool { return rand.IntN(3) == 0 }
		if i%3 == 2 {
			link, err := g.newSlowLink(n.address(), 380*time.Millisecond, 0.3)
			if err != nil {
				return false, err
			}
			links = append(links, link)
			n.host.address = link.ln.Addr().String()
		}
		hosts = append(hosts, n.host)
	}
	live := stage{build: 41, wave: 3, state: "live", cap: 1, since: time.Now().Add(-time.Minute)}
	var marshals []*marshal
	var loads []*load
	for i := range d.marshals {
		a, err := g.newAgent(i, hosts...)
		if err != nil {
			return false, err
		}
		p, err := g.newReleaseAPI(i, live)
		if err != nil {
			return false, err
		}
		m, err := g.startMarshal(i, d, a, p, hosts, nil)
		if err != nil {
			return false, err
		}
		marshals = append(marshals, m)
	}
	for _, m := range marshals {
		loads = append(loads, g.startLoad(m, 20, 200))
	}
	setSlow := func(slow bool) {
		g.add("the way to zone south is slow: %v", slow)
		for _, l := range links {
			l.slow.Store(slow)
		}
	}
	time.Sleep(5 * time.Second)
	setSlow(g.trouble)
	time.Sleep(38 * time.Second)
	setSlow(false)
	time.Sleep(5 * time.Second)
	var sent, served, foreign int64
	for i, l := range loads {
		l.end()
		if marshals[i].hasEnded() {
			return false, fmt.Errorf("a marshal has ended")
		}
		sent, served, foreign = sent+l.sent.Load(), served+l.served.Load(), foreign+l.foreign.Load()
	}
	g.add("requests sent: %d; served: %d; answers made for another request: %d", sent, served, foreign)
	return foreign > 0, nil
}
