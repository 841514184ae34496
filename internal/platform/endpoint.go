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

// Bounds of the jittered backoff between connections. maxBackoff is also the timeout for connecting.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 500 * time.Millisecond
)

// errSuperseded ends a session that may not deliver any more.
var errSuperseded = errors.New("superseded by a session with a newer address")

// endpoint is a server whose address can change. A session with the previous address continues until the first message
// from the new address, or until it ends, so that updates keep arriving during the change.
type endpoint struct {
	mu             sync.Mutex
	address        string
	addressChanged chan struct{} // closed by the next SetAddress; nil: nothing waits for it
	latestSession  int           // number of the session that received the last message
}

// session is a connection to one address that is maintained across reconnects.
type session struct {
	endpoint *endpoint
	number   int // counted from 1; a session with a newer address has a higher number
	address  string
	cancel   context.CancelFunc
	previous *session // with the address before, until it is canceled
}

// SetAddress changes the address.
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

// currentAddress returns the address that applies now.
func (e *endpoint) currentAddress() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// watchAddress returns the address, and a channel that is closed when it changes.
func (e *endpoint) watchAddress() (string, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.addressChanged == nil {
		e.addressChanged = make(chan struct{})
	}
	return e.address, e.addressChanged
}

// keepConnected maintains a session with the current address until the context ends. follow handles one connection.
func (e *endpoint) keepConnected(ctx context.Context, name string, log *slog.Logger, follow func(*session, net.Conn) error) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var previous *session
	for number := 1; ctx.Err() == nil; number++ {
		address, changed := e.watchAddress()
		sessionCtx, cancel := context.WithCancel(ctx)
		s := &session{e, number, address, cancel, previous}
		wg.Go(func() {
			control.KeepConnected(sessionCtx, name, address, initialBackoff, maxBackoff, log, func(_ context.Context, nc net.Conn) error {
				err := follow(s, nc)
				select {
				case <-changed: // don't reconnect to the old address
					cancel()
				default:
				}
				return err
			})
		})
		previous = s
		select {
		case <-ctx.Done():
			cancel()
		case <-changed:
		}
	}
}

// withLock calls f while no session of the endpoint delivers a message.
func (s *session) withLock(f func()) {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	f()
}

// deliver calls f for a message of the session, and cancels the sessions with older addresses. It returns false without
// calling f if a session with a newer address has already received a message.
func (s *session) deliver(f func()) bool {
	s.endpoint.mu.Lock()
	defer s.endpoint.mu.Unlock()
	if s.number < s.endpoint.latestSession {
		return false
	}
	s.endpoint.latestSession = s.number
	for p := s.previous; p != nil; p = p.previous {
		p.cancel()
	}
	s.previous = nil
	f()
	return true
}
