// Package front is the client-facing side of a marshal: it accepts invocations from client connections, carries out the
// module's decisions on each of them and writes exactly one final answer to each.
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
	"arrowcleat/internal/membudget"
	"arrowcleat/internal/pace"
	"arrowcleat/internal/requestids"
	"arrowcleat/internal/settings"
)

// The response header that tells a client which final answer it got, and the values of that header.
const (
	// AnswerHeader is the name of the header.
	AnswerHeader = "Arrowcleat-Answer"
	// Succeeded says that the response of a node is passed on.
	Succeeded = "succeeded"
	// Throttled says that retrying is harmless.
	Throttled = "throttled"
	// Terminated says that the effect of the invocation is unknown.
	Terminated = "terminated"
	// NotAccepted says that the marshal rejected the request before it accepted an invocation.
	NotAccepted = "not-taken"
)

// Server serves the connections of clients.
type Server struct {
	Settings *settings.Settings // at the start; CurrentSettings returns those that apply
	Clock    loop.Clock
	Loops    []*loop.Loop      // one per core
	Cores    [][]*marshal.Core // by core, then by pool
	Pool     *back.Pool        // connections to nodes
	Log      *slog.Logger
	Protocol ProtocolOptions
	Memory   *membudget.Budget // for what clients and nodes send; nil: no limit
	// RequestIDs are the ids of requests that are open or over; nil: requests have no ids that must not come again.
	RequestIDs *requestids.Registry
	// Ready is closed once the loops accept invocations, or when the server ends before that; nil: they accept them from the
	// start. Until then invocations wait in the loops' queues, each for its client's time at most.
	Ready <-chan struct{}

	draining         atomic.Bool                       // every connection closes after its next answer
	lingering        atomic.Int64                      // rejected connections that still hold a descriptor
	updatedSettings  atomic.Pointer[settings.Settings] // nil until the first update
	listeners        []Listener
	mu               sync.Mutex
	conns            map[*conn]bool // those that are not closed; guarded by mu
	evicting         int            // entries of conns that are being evicted and are not closed yet
	openListeners    int            // listeners that may still accept connections
	coreConnections  []atomic.Int64 // connections assigned to each core
	movedInvocations atomic.Int64   // invocations accepted by another core than their connection's
	wg               sync.WaitGroup // listeners, and the goroutines of connections
	openInvocations  atomic.Int64   // invocations between request head and final answer
	stopping         atomic.Bool    // no new connections and invocations are accepted
	killed           atomic.Bool    // no connection is accepted any more, not even those in the kernel's accept queue
	aborted          atomic.Bool    // nothing is waited for any more
	viaField         string         // this marshal's entry in the Via header
	limits           h1.Limits
	pacer            pace.Pacer // turns of connections whose requests are rejected, or come before the answer to the last
	headerNames      headerNames
	Counters         Counters
	Faults           InjectedFaults
}

// InjectedFaults are faults that tests inject to check that an audit finds them; a marshal in service has none set.
type InjectedFaults struct {
	AnswerTwice       bool // every answer is written twice
	DuplicateRequests bool // every request is also sent on a second connection
	IgnoreDraining    bool // a dispatch is written although its node is draining
	// NoAnswerDeadline leaves an invocation that the loop has lost without an answer.
	NoAnswerDeadline bool
	InflateTimeLeft  bool // nodes are sent a time limit that is a second too high
	IgnoreClientGone bool // clients that have disconnected go unnoticed
	// DiscardUnread reads and discards what arrives on a connection that is closing.
	DiscardUnread bool
}

// Counters counts events that the module does not see. Once nothing is open, RequestsRead equals Answered plus ClientsGone.
type Counters struct {
	// Connections that arrived, connections and requests that were rejected, and requests that could not be read.
	Connections, Rejected, Malformed atomic.Int64

	RequestsRead         atomic.Int64                   // requests read, including malformed ones
	Answered             atomic.Int64                   // requests whose final answer was begun
	ClientsGone          atomic.Int64                   // requests whose client had disconnected before the answer
	LongestUnread        atomic.Int64                   // the longest time, as a time.Duration, that a request waited unread
	SuppressedDispatches atomic.Int64                   // dispatches suppressed by the final check before writing
	Closed               [closeReasonCount]atomic.Int64 // connections closed, by reason

	// Violations of invariants; each is also logged as an error.
	Unanswered    atomic.Int64 // requests whose connection was closed without an answer, or would have been
	SecondAnswers atomic.Int64 // answers suppressed because none was pending
}

// LogValue returns the counters as one group of a log line.
func (c *Counters) LogValue() slog.Value {
	return slog.GroupValue(slog.Int64("connections", c.Connections.Load()), slog.Int64("turned_away", c.Rejected.Load()),
		slog.Int64("malformed", c.Malformed.Load()), slog.Int64("read", c.RequestsRead.Load()),
		slog.Int64("answered", c.Answered.Load()), slog.Int64("left", c.ClientsGone.Load()),
		slog.Duration("longest_unread", time.Duration(c.LongestUnread.Load())),
		slog.Int64("held_back", c.SuppressedDispatches.Load()), slog.Int64("unanswered", c.Unanswered.Load()),
		slog.Int64("second_answers", c.SecondAnswers.Load()), slog.String("closed", fmt.Sprint(c.ClosedByReason())))
}

// noteUnread records that a request waited unread.
func (c *Counters) noteUnread(waited time.Duration) {
	for {
		longest := c.LongestUnread.Load()
		if int64(waited) <= longest || c.LongestUnread.CompareAndSwap(longest, int64(waited)) {
			return
		}
	}
}

// ClosedByReason returns the number of connections closed for each reason.
func (c *Counters) ClosedByReason() map[string]int64 {
	byReason := map[string]int64{}
	for reason := range closeReasonCount {
		if n := c.Closed[reason].Load(); n > 0 {
			byReason[reason.String()] = n
		}
	}
	return byReason
}

// headerNames are the request and response headers named in the settings, in canonical form.
type headerNames struct{ tenant, key, idempotencyKey, timeLimit, cost, retry, rejected string }

// Listener is an address that clients connect to, with the name by which operations are restricted to it.
type Listener struct {
	net.Listener
	Name string
}

// Serve accepts connections on all listeners until Stop is called.
func (s *Server) Serve(listeners []Listener) error {
	s.initServing(listeners)
	if s.stopping.Load() { // Stop was called before there was a listener
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

// initServing sets up what connections need before the first one is accepted.
func (s *Server) initServing(listeners []Listener) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners, s.conns, s.coreConnections = listeners, map[*conn]bool{}, make([]atomic.Int64, len(s.Loops))
	s.openListeners = len(listeners)
	s.wg.Add(len(listeners)) // waiting for the connections includes those that listeners may still accept
	s.viaField = "1.1 marshal-" + strconv.Itoa(int(s.CurrentSettings().Instance.Number))
	s.limits = h1.Limits{LineBytes: int(s.CurrentSettings().Limits.LineBytes),
		HeaderBytes: int(s.CurrentSettings().Limits.HeaderBytes)}
	headers, canonical := s.CurrentSettings().Headers, textproto.CanonicalMIMEHeaderKey
	s.headerNames = headerNames{canonical(headers.Tenant), canonical(headers.Key), canonical(headers.Mark),
		canonical(headers.TimeMs), canonical(headers.CostMs), canonical(headers.Retry), canonical(headers.TurnedAway)}
}

// CurrentSettings returns the settings that apply now.
func (s *Server) CurrentSettings() *settings.Settings {
	if updated := s.updatedSettings.Load(); updated != nil {
		return updated
	}
	return s.Settings
}

// isReady reports whether the loops accept invocations.
func (s *Server) isReady() bool {
	if s.Ready == nil {
		return true
	}
	select {
	case <-s.Ready:
		return true
	default:
		return false
	}
}

// UpdateSettings replaces the settings for whatever begins from now on.
func (s *Server) UpdateSettings(set *settings.Settings) { s.updatedSettings.Store(set) }

// Drain makes every connection close after its next answer. New connections and requests are still served until Stop.
func (s *Server) Drain() { s.draining.Store(true) }

// Stop makes the server accept no new connections, and no new invocations on existing ones.
func (s *Server) Stop() {
	if s.stopping.Swap(true) {
		return
	}
	s.wakeWaiters()
}

// wakeWaiters wakes the listeners and the readers that wait for a request.
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

// Connections returns the number of client connections that are not closed plus the number of listeners that may still
// accept some.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns) + s.openListeners
}

// Close waits for the connections to close, and closes those that are left after the timeout.
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
	s.pacer.End()
	s.mu.Lock()
	for c := range s.conns {
		c.closeSocket(closeForced)
		c.terminateExchange()
	}
	s.mu.Unlock()
	<-done
}

// Abort answers every pending invocation with Terminated and every partly read request with its error.
func (s *Server) Abort() {
	s.Stop()
	s.aborted.Store(true)
	s.pacer.End()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.terminateExchange()
		c.nc.SetReadDeadline(pastDeadline)
	}
}

// Kill closes every socket at once, as if the process had ended.
func (s *Server) Kill() {
	s.killed.Store(true)
	s.pacer.End()
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

// remove unregisters a closed connection.
func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	if c.evicted {
		s.evicting--
	}
	s.coreConnections[c.homeCore].Add(-1)
}

// OpenInvocations returns the number of invocations between request head and final answer.
func (s *Server) OpenInvocations() int { return int(s.openInvocations.Load()) }

const (
	readBufferBytes = 4096
	// lingerTimeout and lingerBytes bound what is read of a rejected request after its answer, so that the client can read
	// why it was rejected. There is a turn after each lingerTurnBytes.
	lingerTimeout   = 300 * time.Millisecond
	lingerBytes     = 1 << 18
	lingerTurnBytes = 1 << 14
	// maxLingering bounds the rejected connections that linger, and the concurrent evictions: in a connection flood they
	// would use up the descriptors.
	maxLingering = 8

	maxReusedBufferBytes = 4096 // larger buffers are not kept for the next request, as connections may rest for long
	streamBufferBytes    = 32 << 10
)

// ms converts milliseconds to a duration.
func ms(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// queued returns the number of arrivals that wait at a core.
func (s *Server) queued(core int) int { return s.Loops[core].Waiting() }

// CoreConnections returns the number of connections assigned to a core.
func (s *Server) CoreConnections(core int) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.coreConnections == nil {
		return 0
	}
	return s.coreConnections[core].Load()
}

// MovedInvocations returns the number of invocations accepted by another core than their connection's because so many
// more waited at that one.
func (s *Server) MovedInvocations() int64 { return s.movedInvocations.Load() }
