// Package back is a marshal's side towards the nodes: connections that are kept, one request written, its answer
// read, and a word on what the ending of it proves.
package back

import (
	"context"
	"errors"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/h1"
)

// Pool keeps connections to nodes between requests.
type Pool struct {
	Now    func() time.Time // nil: the machine's clock
	Limits h1.Limits
	DialTimeout   time.Duration // the longest a connection may take to open
	// Connect opens a connection; nil: the machine's own.
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	IdleTimeout    time.Duration // how long one is kept unused
	MaxIdlePerNode    int           // unused ones kept for a node
	ReuseDelay  time.Duration // how long one rests after its answer: what comes unasked behind it must not be the next one's
	MaxConns     int           // connections to all nodes together, beyond which an unused one gives way; 0: no bound

	Strict bool              // an answer is 200, all else is a failure
	ReportNames  map[string]string // of what nodes report, as the module knows them; nil: ORCA's own

	total atomic.Int64
	nodes sync.Map // address -> *idle
	shut  sync.Map // address -> time.Time from which on nothing new goes there
	fell  sync.Map // address -> time.Time at which the cap of its build fell last
	done  atomic.Bool
}

// CurrentTime is the time by which the pool keeps and forgets.
func (p *Pool) CurrentTime() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// MarkDraining notes the first word that a node drains or is gone, after which it gets nothing new once a grace is over; Reopen,
// that it serves. The word may be here before a core that stands still has it, or come while a dispatch waits to be
// written: Late says that it must not be any more.
func (p *Pool) MarkDraining(address string, grace time.Duration) {
	p.shut.LoadOrStore(address, p.CurrentTime().Add(grace))
}

func (p *Pool) MarkServing(address string) { p.shut.Delete(address) }

func (p *Pool) Draining(address string) bool {
	from, ok := p.shut.Load(address)
	return ok && !p.CurrentTime().Before(from.(time.Time))
}

// RecordCapReduction notes that the cap of a build fell whose node has this address. What was decided on before must not be written any
// more: it may have waited for its connection until long after the lower cap binds. Superseded says so of a decision.
func (p *Pool) RecordCapReduction(address string) { p.fell.Store(address, p.CurrentTime()) }

func (p *Pool) Superseded(address string, decided time.Time) bool {
	at, ok := p.fell.Load(address)
	return ok && decided.Before(at.(time.Time))
}

type idle struct {
	mu      sync.Mutex
	conns   []*Conn // the last one used is at the end
	removed bool    // it is no longer among the pool's: whoever holds it looks again
}

// Conn is one connection to a node.
type Conn struct {
	net.Conn
	Reader       *h1.Reader
	Reused    bool // it has carried a request before
	address string
	pool    *Pool
	closed  atomic.Bool
	since   time.Time
	raw     syscall.RawConn
	alive   bool
	peek    func(fd uintptr) bool
	WriteBuffer     []byte // room to write requests
}

const (
	readBuffer = 4096
	keepShut   = 5 * time.Minute // by then every core knows
)

// IdleConn gives a connection that was put back and is still open, or nil.
func (p *Pool) IdleConn(address string) *Conn {
	v, ok := p.nodes.Load(address)
	if !ok {
		return nil
	}
	n := v.(*idle)
	for {
		n.mu.Lock()
		var c *Conn
		last := len(n.conns) - 1
		for last >= 0 && p.CurrentTime().Sub(n.conns[last].since) < p.ReuseDelay {
			last--
		}
		if last >= 0 {
			c = n.conns[last]
			n.conns = slices.Delete(n.conns, last, last+1)
		}
		n.mu.Unlock()
		if c == nil || p.CurrentTime().Sub(c.since) < p.IdleTimeout && c.open() {
			return c
		}
		c.Close()
	}
}

// Get gives a connection: a kept one, or a new one. fresh leaves kept ones out.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.IdleConn(address); c != nil {
			return c, nil
		}
	}
	if p.MaxConns > 0 && p.total.Load() >= int64(p.MaxConns) {
		p.dropOldest()
	}
	p.total.Add(1) // it holds a descriptor from here on
	nc, err := p.dial(ctx, address)
	if err != nil {
		p.total.Add(-1)
		return nil, err
	}
	c := &Conn{Conn: nc, address: address, pool: p, Reader: h1.NewReader(nc, readBuffer)}
	if t, ok := nc.(syscall.Conn); ok {
		c.raw, _ = t.SyscallConn()
	}
	c.peek = func(fd uintptr) bool {
		c.alive = waits(fd)
		return true
	}
	return c, nil
}

// How long connecting waits where this machine lacks what it takes: it begins with the first and doubles up to the most.
const (
	scarceWait     = time.Millisecond
	scarceWaitMost = 20 * time.Millisecond
)

// dial opens a connection within the pool's time and the context's. What this machine lacks for a moment is waited for: nothing has been
// sent, and the node has no part in it.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.DialTimeout > 0 {
		var done context.CancelFunc
		ctx, done = context.WithTimeout(ctx, p.DialTimeout)
		defer done()
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	for wait := scarceWait; ; wait = min(2*wait, scarceWaitMost) {
		nc, err := connect(ctx, "tcp", address)
		if err == nil || !IsResourceShortage(err) {
			return nc, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(wait):
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.total.Add(-1)
	}
	return c.Conn.Close()
}

// OpenConns is the number of connections that are open or being opened.
func (p *Pool) OpenConns() int { return int(p.total.Load()) }

// dropOldest closes the connection that has been unused for longest.
func (p *Pool) dropOldest() {
	var oldest *idle
	var since time.Time
	p.nodes.Range(func(_, v any) bool {
		n := v.(*idle)
		n.mu.Lock()
		defer n.mu.Unlock()
		if len(n.conns) > 0 && (oldest == nil || n.conns[0].since.Before(since)) {
			oldest, since = n, n.conns[0].since
		}
		return true
	})
	if oldest == nil {
		return
	}
	oldest.mu.Lock()
	defer oldest.mu.Unlock()
	if len(oldest.conns) > 0 {
		oldest.conns[0].Close()
		oldest.conns = slices.Delete(oldest.conns, 0, 1)
	}
}

// open says that the node has neither closed the connection nor sent something unasked on it.
func (c *Conn) open() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.alive = false
	if err := c.raw.Read(c.peek); err != nil {
		return false
	}
	return c.alive
}

// Put takes back a connection on which nothing is out.
func (p *Pool) Put(c *Conn) {
	c.Reused, c.since = true, p.CurrentTime()
	c.SetDeadline(time.Time{})
	n := p.idleOf(c.address)
	keep := len(n.conns) < p.MaxIdlePerNode
	if keep {
		n.conns = append(n.conns, c)
	}
	n.mu.Unlock()
	if !keep {
		c.Close()
	} else if p.done.Load() {
		p.CloseIdle(c.address)
	}
}

// idleOf gives the connections kept for an address, locked.
func (p *Pool) idleOf(address string) *idle {
	for {
		v, ok := p.nodes.Load(address)
		if !ok {
			v, _ = p.nodes.LoadOrStore(address, &idle{})
		}
		n := v.(*idle)
		n.mu.Lock()
		if !n.removed {
			return n
		}
		n.mu.Unlock()
	}
}

// CloseIdle closes what is kept for an address.
func (p *Pool) CloseIdle(address string) {
	v, ok := p.nodes.Load(address)
	if !ok {
		return
	}
	n := v.(*idle)
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close()
	}
	n.conns = nil
	p.remove(address, n)
}

// remove forgets an address for which nothing is kept; its lock is held.
func (p *Pool) remove(address string, n *idle) {
	n.removed = true
	p.nodes.CompareAndDelete(address, n)
}

// Sweep closes what has been unused for too long.
func (p *Pool) Sweep() {
	for _, noted := range []*sync.Map{&p.shut, &p.fell} {
		noted.Range(func(address, from any) bool {
			if p.CurrentTime().Sub(from.(time.Time)) > keepShut {
				noted.Delete(address)
			}
			return true
		})
	}
	p.nodes.Range(func(address, v any) bool {
		n := v.(*idle)
		n.mu.Lock()
		defer n.mu.Unlock()
		old := 0
		for old < len(n.conns) && p.CurrentTime().Sub(n.conns[old].since) >= p.IdleTimeout {
			n.conns[old].Close()
			old++
		}
		n.conns = slices.Delete(n.conns, 0, old)
		if len(n.conns) == 0 && !n.removed {
			p.remove(address.(string), n)
		}
		return true
	})
}

// Close closes all that is kept, and all that comes back.
func (p *Pool) Close() {
	p.done.Store(true)
	p.nodes.Range(func(address, _ any) bool { p.CloseIdle(address.(string)); return true })
}

// DispatchOutcome is what became of one dispatch on the wire, as far as it got.
type DispatchOutcome struct {
	Connected   bool  // there was a connection
	BytesWritten    int64 // bytes of the request that left
	PartialWrite     bool  // some did not, and the node begins only what it has whole
	Err      error // what ended it, nil for a whole answer
	Status   int   // of the answer, 0 for none
	Rejected     bool  // the node says that it turned the work away before it began
	Strict   bool  // only 200 is an answer
	Canceled bool  // the module gave it up
	Expired  bool  // its time limit had passed
}

// Classify is what a fate proves; the table is in docs/protocol.md. Only proof counts as never having run: no
// connection, no byte written (or, where nodes begin only what they have whole, not all), or the node's own word. All else
// may have run.
func (f DispatchOutcome) Classify() balance.Outcome {
	switch {
	case f.Status != 0 && f.Err == nil && f.Rejected && (f.Status == 429 || f.Status == 503 || f.Status == 504):
		return balance.Rejected
	case f.Status != 0 && f.Err == nil && (f.Status == 200 || f.Status < 500 && !f.Strict):
		return balance.Succeeded
	case f.Status != 0 && f.Err == nil:
		return balance.Failed
	case f.PartialWrite && !f.Canceled && !f.Expired:
		return balance.ConnectFailed
	case f.PartialWrite:
		return balance.Ignored
	case f.BytesWritten == 0 && (f.Canceled || f.Expired && f.Connected):
		return balance.Ignored
	case f.BytesWritten == 0:
		return balance.ConnectFailed
	case f.Canceled:
		return balance.Canceled
	case f.Expired || IsTimeout(f.Err):
		return balance.TimedOut
	case errors.Is(f.Err, h1.ErrMalformed) || errors.Is(f.Err, h1.ErrTooLarge) || errors.Is(f.Err, h1.ErrTransferCoding) ||
		errors.Is(f.Err, h1.ErrVersion):
		return balance.Failed // it spoke, but not HTTP
	default:
		return balance.ConnectionReset
	}
}

// The names of ORCA's text header, endpoint-load-metrics (the xDS ORCA proposal's TEXT form), as the module
// knows them; the others are skipped.
var orca = map[string]string{"cpu_utilization": "busy", "rps_fractional": "rate", "eps": "errors",
	"named_metrics.service_ms": "service-ms", "named_metrics.held": "held", "named_metrics.waiting": "waiting"}

// ParseReport reads a node's load report from an answer's header.
func (p *Pool) ParseReport(header textproto.MIMEHeader) map[string]float64 {
	names := p.ReportNames
	if names == nil {
		names = orca
	}
	values := header["Endpoint-Load-Metrics"]
	if len(values) == 0 {
		return nil
	}
	text, ok := strings.CutPrefix(values[0], "TEXT ")
	if !ok {
		return nil
	}
	report := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if ours, known := names[name]; known {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e12 {
				report[ours] = v
			}
		}
	}
	return report
}

// Probe asks a node over its own connection whether it answers, and how loaded it is.
func (p *Pool) Probe(ctx context.Context, address, path string) (balance.Outcome, map[string]float64) {
	f := DispatchOutcome{Strict: p.Strict}
	c, err := p.Get(ctx, address, true)
	if err != nil {
		f.Err = err
		return f.Classify(), nil
	}
	defer c.Close()
	f.Connected = true
	c.SetDeadline(time.Now().Add(p.DialTimeout))
	n, err := c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n"))
	f.BytesWritten, f.Err = int64(n), err
	if err != nil {
		return f.Classify(), nil
	}
	h, err := c.Reader.Response("GET", p.Limits)
	if f.Err = err; err != nil {
		return f.Classify(), nil
	}
	f.Status = h.Status
	return f.Classify(), p.ParseReport(h.Header)
}
