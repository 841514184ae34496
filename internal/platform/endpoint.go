package platform

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"arrowcleat/internal/control"
)

// The waits between two connections; each is jittered, and a connection that hangs is given up after the longest.
const (
	waitFirst = 20 * time.Millisecond
	waitMost  = 500 * time.Millisecond
)

var errMoved = errors.New("another address has spoken since")

// endpoint is an address that can change while a session with it is kept. The session with the address before goes on until
// the one with the new has spoken, or until it ends: a marshal hears of changes all the while.
type endpoint struct {
	mu      sync.Mutex
	address string
	moved   chan struct{} // closed at the next Move
	last    int           // number of the session that spoke last
}

// session is what is kept with one address.
type session struct {
	e       *endpoint
	number  int
	address string
	leave   context.CancelFunc
	before  *session
}

// SetAddress goes over to another address.
func (e *endpoint) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address != e.address {
		e.address = address
		if e.moved != nil {
			close(e.moved)
			e.moved = nil
		}
	}
}

func (e *endpoint) at() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// next waits for nothing: it gives the address, and what is closed once it is another.
func (e *endpoint) next() (string, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.moved == nil {
		e.moved = make(chan struct{})
	}
	return e.address, e.moved
}

// keep holds a session with the address there is, again and again, until the context ends.
func (e *endpoint) keep(ctx context.Context, name string, log *slog.Logger, follow func(*session, net.Conn) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var before *session
	for number := 1; ctx.Err() == nil; number++ {
		address, moved := e.next()
		here, leave := context.WithCancel(ctx)
		s := &session{e, number, address, leave, before}
		wg.Go(func() {
			control.KeepConnected(here, name, address, waitFirst, waitMost, log, func(_ context.Context, nc net.Conn) error {
				err := follow(s, nc)
				select {
				case <-moved: // it is not opened again
					leave()
				default:
				}
				return err
			})
		})
		before = s
		select {
		case <-ctx.Done():
			leave()
		case <-moved:
		}
	}
}

// alone does something while no session of the endpoint speaks.
func (s *session) alone(f func()) {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	f()
}

// speak does what the session's news asks for, and ends those with earlier addresses; false says that one with a later
// address has spoken, so that this news is older.
func (s *session) speak(f func()) bool {
	s.e.mu.Lock()
	defer s.e.mu.Unlock()
	if s.number < s.e.last {
		return false
	}
	s.e.last = s.number
	for b := s.before; b != nil; b = b.before {
		b.leave()
	}
	s.before = nil
	f()
	return true
}
