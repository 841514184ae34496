// Package front is a marshal's side towards the clients: it takes invocations from connections, carries out what
// the module decides on each, and gives each its one final answer.
package front

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/textproto"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/settings"
)

// AnswerHeader is the header that says which final answer a client got; NotAccepted is the word for none: the invocation
// was turned away before the marshal took it.
const (
	AnswerHeader = "Arrowcleat-Answer"
	Succeeded    = "succeeded"
	Throttled    = "throttled"
	Terminated   = "terminated"
	NotAccepted  = "not-taken"
)

// Server takes connections from clients.
type Server struct {
	Settings *settings.Settings
	Clock    loop.Clock
	Loops    []*loop.Loop      // one for each core
	Cores    [][]*marshal.Core // by core, of the pools
	Pool     *back.Pool
	Log      *slog.Logger
	Protocol ProtocolOptions

	openIDs          sync.Map     // of the requests that are open
	draining         atomic.Bool  // every connection ends with its next answer
	lingering        atomic.Int64 // connections turned away that still hold a descriptor
	updatedSettings  atomic.Pointer[settings.Settings]
	listeners        []Listener
	mu               sync.Mutex
	conns            map[*conn]bool
	evicting         int            // of them, those that give way and are not yet closed
	openListeners    int            // listeners that are not closed
	coreConnections  []atomic.Int64 // connections of each core
	movedInvocations atomic.Int64   // invocations that another core took
	wg               sync.WaitGroup
	openInvocations  atomic.Int64 // invocations between their head and their answer
	stopping         atomic.Bool
	killed           atomic.Bool // nothing is accepted any more, not even what the kernel has
	aborted          atomic.Bool // nothing more is waited for
	viaField         string
	limits           h1.Limits
	headerNames      headerNames
	Counters         Counters
	Faults           InjectedFaults
}

// InjectedFaults are planted, so that an audit can be seen to find them; none is set on a marshal that serves.
type InjectedFaults struct {
	AnswerTwice       bool // answers are written twice
	DuplicateRequests bool // a request goes out on a second connection too
	IgnoreDraining    bool // the word that a node drains does not stop what is about to be written to it
	// NoAnswerDeadline leaves what the loop has lost without an answer.
	NoAnswerDeadline bool
	InflateTimeLeft  bool // nodes are told of a second more than there is
	IgnoreClientGone bool // nobody looks whether a client has left
	// DiscardUnread reads and throws away what comes on a connection that closes.
	DiscardUnread bool
}

// Counters is what never reaches the module. Once nothing is open, Read is Answered and Left together.
type Counters struct {
	Connections, Rejected, Malformed atomic.Int64

	RequestsRead         atomic.Int64 // requests read, also those that could not be used
	Answered             atomic.Int64 // of them, those whose final answer was begun
	ClientsGone          atomic.Int64 // and those whose client had gone before it
	SuppressedDispatches atomic.Int64 // dispatches decided on that the last look before writing held back
	Closed               [closeReasonCount]atomic.Int64

	// Violations of what must hold: each is also logged.
	Unanswered    atomic.Int64 // requests read whose connection was closed without an answer, or would have been
	SecondAnswers atomic.Int64 // answers held back where none was owed
}

// LogValue is the counts as one group of a log line.
func (c *Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("connections", c.Connections.Load()), slog.Int64("turned_away", c.Rejected.Load()),
		slog.Int64("malformed", c.Malformed.Load()), slog.Int64("read", c.RequestsRead.Load()), slog.Int64("answered", c.Answered.Load()),
		slog.Int64("left", c.ClientsGone.Load()), slog.Int64("held_back", c.SuppressedDispatches.Load()), slog.Int64("unanswered", c.Unanswered.Load()),
		slog.Int64("second_answers", c.SecondAnswers.Load()), slog.String("closed", fmt.Sprint(c.ClosedByReason())))
}

// ClosedByReason gives how many connections were closed for each reason.
func (c *Counters) ClosedByReason() map[string]int64 {
	all := map[string]int64{}
	for reason := range closeReasonCount {
		if n := c.Closed[reason].Load(); n > 0 {
			all[reason.String()] = n
		}
	}
	return all
}

// names are the headers that settings name, in canonical form.
type headerNames struct{ tenant, key, idempotencyKey, timeLimitMs, costMs, retry, rejected string }

// Listener is an address that clients call, and the name by which operations are kept to it.
type Listener struct {
	net.Listener
	Name string
}

// Serve takes connections from all listeners until Stop.
func (s *Server) Serve(listeners []Listener) error {
	s.initServing(listeners)
	if s.stopping.Load() { // it was told so before there was a listener
		s.wakeWaiters()
	}
	results := make(chan error, len(listeners))
	for _, ln := range listeners {
		go func() {
			defer s.wg.Done()
			err := s.acceptLoop(ln)
			s.mu.Lock()
			s.openListeners--
			s.mu.Unlock()
			results <- err
		}()
	}
	var errs []error
	for range listeners {
		errs = append(errs, <-results)
	}
	return errors.Join(errs...)
}

func (s *Server) initServing(listeners []Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners, s.conns, s.coreConnections = listeners, map[*conn]bool{}, make([]atomic.Int64, len(s.Loops))
	s.openListeners = len(listeners)
	s.wg.Add(len(listeners)) // whoever waits for the connections waits for those that listeners may still bring
	s.viaField = "1.1 marshal-" + strconv.Itoa(int(s.CurrentSettings().Instance.Number))
	s.limits = h1.Limits{LineBytes: int(s.CurrentSettings().Limits.LineBytes), HeaderBytes: int(s.CurrentSettings().Limits.HeaderBytes)}
	headers, canonical := s.CurrentSettings().Headers, textproto.CanonicalMIMEHeaderKey
	s.headerNames = headerNames{canonical(headers.Tenant), canonical(headers.Key), canonical(headers.Mark), canonical(headers.TimeMs), canonical(headers.CostMs), canonical(headers.Retry),
		canonical(headers.TurnedAway)}
}

// CurrentSettings is the settings as they are now; Change takes others, for what begins from then on.
func (s *Server) CurrentSettings() *settings.Settings {
	if now := s.updatedSettings.Load(); now != nil {
		return now
	}
	return s.Settings
}

func (s *Server) UpdateSettings(set *settings.Settings) { s.updatedSettings.Store(set) }

// Drain lets every connection end with its next answer; all that comes is still served, until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop takes nothing new: no connection, and no invocation on those there are.
func (s *Server) Stop() {
	if s.stopping.Swap(true) {
		return
	}
	s.wakeWaiters()
}

// wake wakes the listeners, and the readers that wait for a request.
func (s *Server) wakeWaiters() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.listeners {
		if d, ok := ln.Listener.(deadlineListener); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
			ln.Close()
		}
	}
	for c := range s.conns {
		c.lifecycle.requestClose(closeStop)
	}
}

// Connections is the number of clients' connections that are not closed, and of listeners that may still bring some.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.openListeners
}

// Close waits for the connections to end, and after a time ends them.
func (s *Server) Close(timeout time.Duration) {
	s.Stop()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-time.After(timeout):
	}
	s.killed.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.closeSocket(closeForced)
		c.terminateExchange()
	}
	s.mu.Unlock()
	<-done
}

// Abort gives every invocation that waits its answer, terminated, and every request that is half read its error.
func (s *Server) Abort() {
	s.Stop()
	s.aborted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.terminateExchange()
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// Kill closes every socket at once, as the end of the process would.
func (s *Server) Kill() {
	s.killed.Store(true)
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.clientGone.Store(true)
		if t, ok := c.nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.closeSocket(closeClientGone)
	}
}

// remove forgets a connection that is closed.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicting--
	}
	s.coreConnections[c.homeCore].Add(-1)
}

// OpenInvocations is the number of invocations between their head and their answer.
func (s *Server) OpenInvocations() int { return int(s.openInvocations.Load()) }

const (
	readBufferBytes = 4096
	// For a client to read why its request was rejected: how long and how much more of it is read.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 1 << 18
	// mostParting are the connections turned away that may linger, and those that give way at once: in a flood they
	// would use up the descriptors.
	maxLingering = 8
)

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func (s *Server) queued(core int) int { return s.Loops[core].Waiting() }

// CoreConnections is the number of connections of each core, Moved that of the invocations that went to another one than their
// connection's because so much more waited there.
func (s *Server) CoreConnections(core int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coreConnections == nil {
		return 0
	}
	return s.coreConnections[core].Load()
}

func (s *Server) MovedInvocations() int64 { return s.movedInvocations.Load() }
