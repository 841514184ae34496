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

	ids       sync.Map     // of the requests that are open
	draining  atomic.Bool  // every connection ends with its next answer
	parting   atomic.Int64 // connections turned away that still hold a descriptor
	now       atomic.Pointer[settings.Settings]
	lns       []Listener
	mu        sync.Mutex
	conns     map[*conn]bool
	evicting  int            // of them, those that give way and are not yet closed
	listening int            // listeners that are not closed
	homes     []atomic.Int64 // connections of each core
	moved     atomic.Int64   // invocations that another core took
	wg        sync.WaitGroup
	open      atomic.Int64 // invocations between their head and their answer
	stopping  atomic.Bool
	killed    atomic.Bool // nothing is accepted any more, not even what the kernel has
	aborted   atomic.Bool // nothing more is waited for
	via       string
	limits    h1.Limits
	names     names
	Counters  Counters
	Faults    InjectedFaults
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
	Closed               [closeReasons]atomic.Int64

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
	for reason := range closeReasons {
		if n := c.Closed[reason].Load(); n > 0 {
			all[reason.String()] = n
		}
	}
	return all
}

// names are the headers that settings name, in canonical form.
type names struct{ tenant, key, mark, time, cost, retry, away string }

// Listener is an address that clients call, and the name by which operations are kept to it.
type Listener struct {
	net.Listener
	Name string
}

// Serve takes connections from all listeners until Stop.
func (s *Server) Serve(lns []Listener) error {
	s.prepare(lns)
	if s.stopping.Load() { // it was told so before there was a listener
		s.wake()
	}
	ends := make(chan error, len(lns))
	for _, ln := range lns {
		go func() {
			defer s.wg.Done()
			err := s.listen(ln)
			s.mu.Lock()
			s.listening--
			s.mu.Unlock()
			ends <- err
		}()
	}
	var all []error
	for range lns {
		all = append(all, <-ends)
	}
	return errors.Join(all...)
}

func (s *Server) prepare(lns []Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lns, s.conns, s.homes = lns, map[*conn]bool{}, make([]atomic.Int64, len(s.Loops))
	s.listening = len(lns)
	s.wg.Add(len(lns)) // whoever waits for the connections waits for those that listeners may still bring
	s.via = "1.1 marshal-" + strconv.Itoa(int(s.CurrentSettings().Instance.Number))
	s.limits = h1.Limits{LineBytes: int(s.CurrentSettings().Limits.LineBytes), HeaderBytes: int(s.CurrentSettings().Limits.HeaderBytes)}
	h, canon := s.CurrentSettings().Headers, textproto.CanonicalMIMEHeaderKey
	s.names = names{canon(h.Tenant), canon(h.Key), canon(h.Mark), canon(h.TimeMs), canon(h.CostMs), canon(h.Retry),
		canon(h.TurnedAway)}
}

// CurrentSettings is the settings as they are now; Change takes others, for what begins from then on.
func (s *Server) CurrentSettings() *settings.Settings {
	if now := s.now.Load(); now != nil {
		return now
	}
	return s.Settings
}

func (s *Server) UpdateSettings(set *settings.Settings) { s.now.Store(set) }

// Drain lets every connection end with its next answer; all that comes is still served, until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop takes nothing new: no connection, and no invocation on those there are.
func (s *Server) Stop() {
	if s.stopping.Swap(true) {
		return
	}
	s.wake()
}

// wake wakes the listeners, and the readers that wait for a request.
func (s *Server) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ln := range s.lns {
		if d, ok := ln.Listener.(deadlined); !ok || d.SetDeadline(time.Unix(1, 0)) != nil {
			ln.Close()
		}
	}
	for c := range s.conns {
		c.life.end(closeStop)
	}
}

// Connections is the number of clients' connections that are not closed, and of listeners that may still bring some.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.listening
}

// Close waits for the connections to end, and after a time ends them.
func (s *Server) Close(within time.Duration) {
	s.Stop()
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return
	case <-time.After(within):
	}
	s.killed.Store(true)
	s.mu.Lock()
	for c := range s.conns {
		c.end(closeForced)
		c.interrupt()
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
		c.interrupt()
		c.nc.SetReadDeadline(past)
	}
}

// Kill closes every socket at once, as the end of the process would.
func (s *Server) Kill() {
	s.killed.Store(true)
	s.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.gone.Store(true)
		if t, ok := c.nc.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.end(closeGone)
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
	s.homes[c.home].Add(-1)
}

// OpenInvocations is the number of invocations between their head and their answer.
func (s *Server) OpenInvocations() int { return int(s.open.Load()) }

const (
	readBuffer = 4096
	// For a client to read why its request was rejected: how long and how much more of it is read.
	lingerFor   = 300 * time.Millisecond
	lingerBytes = 1 << 18
	// mostParting are the connections turned away that may linger, and those that give way at once: in a flood they
	// would use up the descriptors.
	mostParting = 8
)

func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

func (s *Server) waiting(core int) int { return s.Loops[core].Waiting() }

// CoreConnections is the number of connections of each core, Moved that of the invocations that went to another one than their
// connection's because so much more waited there.
func (s *Server) CoreConnections(core int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.homes == nil {
		return 0
	}
	return s.homes[core].Load()
}

func (s *Server) MovedInvocations() int64 { return s.moved.Load() }
