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
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

var errSuperseded = errors.New("another address has spoken since")

// endpoint is an address that can change while a session with it is kept. The session with the address before goes on until
// the one with the new has spoken, or until it ends: a marshal hears of changes all the while.
type endpoint struct {
	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed at the next Move
	latestSession  int           // number of the session that spoke last
}

// session is what is kept with one address.
type session struct {
	endpoint *endpoint
	number   int
	address  string
	cancel   context.CancelFunc
	previous *session
}

// SetAddress goes over to another address.
func (e *endpoint) SetAddress(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address != e.address {
		e.address = address
		if e.addressChanged != nil {
			close(e.addressChanged)
			e.addressChanged = nil
		}
	}
}

func (e *endpoint) currentAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// watchAddress waits for nothing: it gives the address, and what is closed once it is another.
func (e *endpoint) watchAddress() (string, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addressChanged == nil {
		e.addressChanged = make(chan struct{})
	}
	return e.address, e.addressChanged
}

// keepConnected holds a session with the address there is, again and again, until the context ends.
func (e *endpoint) keepConnected(ctx context.Context, name string, log *slog.Logger, follow func(*session, net.Conn) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var before *session
	for number := 1; ctx.Err() == nil; number++ {
		address, moved := e.watchAddress()
		here, leave := context.WithCancel(ctx)
		s := &session{e, number, address, leave, before}
		wg.Go(func() {
			control.KeepConnected(here, name, address, initialBackoff, maxBackoff, log, func(_ context.Context, nc net.Conn) error {
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

// withLock does something while no session of the endpoint speaks.
func (s *session) withLock(f func()) {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	f()
}

// deliver does what the session's news asks for, and ends those with earlier addresses; false says that one with a later
// address has spoken, so that this news is older.
func (s *session) deliver(f func()) bool {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	if s.number < s.endpoint.latestSession {
		return false
	}
	s.endpoint.latestSession = s.number
	for b := s.previous; b != nil; b = b.previous {
		b.cancel()
	}
	s.previous = nil
	f()
	return true
}
