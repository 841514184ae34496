// Package pace spreads requests that cost processor time and earn nothing over time. Go polls the network only when no
// goroutine can run, so connections whose input never ends would keep all others waiting.
package pace

import (
	"sync"
	"time"
)

const (
	// turnInterval is the time between two turns: a thousand requests a second that are rejected or not due yet take a
	// small part of one core.
	turnInterval = time.Millisecond
	// maxWait bounds the wait for a turn. A connection waits for one turn at a time, so hundreds of them wait for less;
	// a rejected client is owed an answer within 3 s.
	maxWait = time.Second
)

// Pacer gives out turns, one each turnInterval, in the order in which they are asked for. The zero value is ready for
// use. Its methods may be called from any goroutine.
type Pacer struct {
	mu      sync.Mutex
	next    time.Time     // when the next turn is free
	ended   chan struct{} // closed by End; nil until it is needed
	isEnded bool          // End was called
}

// Wait takes a turn and waits for it.
func (p *Pacer) Wait() {
	wait := p.reserve(time.Now())
	if wait <= 0 {
		return
	}
	select {
	case <-time.After(wait):
	case <-p.end():
	}
}

// End ends all waits, and those that begin later.
func (p *Pacer) End() {
	ended := p.end()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isEnded {
		p.isEnded = true
		close(ended)
	}
}

// end returns the channel that End closes.
func (p *Pacer) end() chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = make(chan struct{})
	}
	return p.ended
}

// reserve takes a turn and returns how long to wait for it: not at all if no turn was taken recently, and maxWait at most.
func (p *Pacer) reserve(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.Before(now) {
		p.next = now
	}
	wait := p.next.Sub(now)
	if wait >= maxWait {
		return maxWait
	}
	p.next = p.next.Add(turnInterval)
	return wait
}
