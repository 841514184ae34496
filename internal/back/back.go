// Package back is the upstream side of a marshal: it pools connections to nodes, probes nodes, parses load reports and
// classifies the outcome of a dispatch.
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
	"arrowcleat/internal/membudget"
)

// Pool keeps idle connections to nodes for reuse.
type Pool struct {
	Now         func() time.Time // nil: the machine's clock
	Limits      h1.Limits
	Memory      *membudget.Budget // for the heads of responses; nil: no limit
	DialTimeout time.Duration     // also the time limit of a probe, from when its connection is open
	// Connect opens a connection; nil: a net.Dialer.
	Connect        func(ctx context.Context, network, address string) (net.Conn, error)
	IdleTimeout    time.Duration // how long an idle connection is kept
	MaxIdlePerNode int
	// ReuseDelay is how long a connection stays unused after a response: bytes that the node sends unasked behind it
	// must not be taken for the next response.
	ReuseDelay time.Duration
	MaxConns   int // to all nodes together; beyond it the connection idle for longest is closed; 0: no limit

	Strict      bool              // only status 200 is a success; any other is a failure
	ReportNames map[string]string // names in load reports -> names that the module uses; nil: those of ORCA

	openConns    atomic.Int64 // open or being opened
	idleLists    sync.Map     // address -> *idleList
	drainingFrom sync.Map     // address -> time.Time from which no new request is written
	capReducedAt sync.Map     // address -> time.Time at which the cap of its build was last reduced
	closed       atomic.Bool
}

// CurrentTime returns the time of the pool's clock.
func (p *Pool) CurrentTime() time.Time {
	if p.Now != nil {
		return p.Now()
	}
	return time.Now()
}

// MarkDraining records the first report that a node is draining or gone: after the grace period, no new request is
// written to it. Later reports don't move that time until MarkServing clears it. The report may be here before a
// stalled core has it, or come while a dispatch waits to be written, so the pool is asked by Draining before each
// write.
func (p *Pool) MarkDraining(address string, grace time.Duration) {
	p.drainingFrom.LoadOrStore(address, p.CurrentTime().Add(grace))
}

// MarkServing records that a node is serving, and clears what MarkDraining recorded.
func (p *Pool) MarkServing(address string) { p.drainingFrom.Delete(address) }

// Draining reports whether a node is marked as draining and its grace period is over.
func (p *Pool) Draining(address string) bool {
	from, ok := p.drainingFrom.Load(address)
	return ok && !p.CurrentTime().Before(from.(time.Time))
}

// RecordCapReduction records that the cap of the build that runs at this address was reduced.
func (p *Pool) RecordCapReduction(address string) { p.capReducedAt.Store(address, p.CurrentTime()) }

// Superseded reports whether a dispatch that was decided at that time must not be written any more, since the cap of the
// node's build was reduced after it. It may have waited for its connection until long after the lower cap applies.
func (p *Pool) Superseded(address string, decided time.Time) bool {
	reducedAt, ok := p.capReducedAt.Load(address)
	return ok && decided.Before(reducedAt.(time.Time))
}

// idleList holds the idle connections to one node.
type idleList struct {
	mu      sync.Mutex
	conns   []*Conn // the most recently used is last
	removed bool    // no longer in Pool.idleLists: whoever holds it has to look the address up again
}

// Conn is one connection to a node.
type Conn struct {
	net.Conn
	Reader      *h1.Reader
	Reused      bool // it has carried a request before
	address     string
	pool        *Pool
	closed      atomic.Bool
	idleSince   time.Time
	raw         syscall.RawConn
	quiet       bool                  // open, and nothing unread has been received
	checkQuiet  func(fd uintptr) bool // checks the socket and sets quiet
	WriteBuffer []byte                // reused for the requests
}

const (
	readBufferBytes = 4096
	nodeRecordTTL   = 5 * time.Minute // for drainingFrom and capReducedAt: by then every core has the update
)

// IdleConn returns an idle connection to a node that is still usable, or nil.
func (p *Pool) IdleConn(address string) *Conn {
	v, ok := p.idleLists.Load(address)
	if !ok {
		return nil
	}
	list := v.(*idleList)
	for {
		list.mu.Lock()
		var c *Conn
		last := len(list.conns) - 1
		for last >= 0 && p.CurrentTime().Sub(list.conns[last].idleSince) < p.ReuseDelay {
			last--
		}
		if last >= 0 {
			c = list.conns[last]
			list.conns = slices.Delete(list.conns, last, last+1)
		}
		list.mu.Unlock()
		if c == nil || p.CurrentTime().Sub(c.idleSince) < p.IdleTimeout && c.usable() {
			return c
		}
		c.Close()
	}
}

// Get returns a connection to a node, idle or new. With fresh it is always a new one.
func (p *Pool) Get(ctx context.Context, address string, fresh bool) (*Conn, error) {
	if !fresh {
		if c := p.IdleConn(address); c != nil {
			return c, nil
		}
	}
	if p.MaxConns > 0 && p.openConns.Load() >= int64(p.MaxConns) {
		p.dropOldest()
	}
	p.openConns.Add(1) // dialing holds a descriptor already
	nc, err := p.dial(ctx, address)
	if err != nil {
		p.openConns.Add(-1)
		return nil, err
	}
	c := &Conn{Conn: nc, address: address, pool: p, Reader: h1.NewReader(nc, readBufferBytes)}
	c.Reader.Memory = p.Memory
	if t, ok := nc.(syscall.Conn); ok {
		c.raw, _ = t.SyscallConn()
	}
	c.checkQuiet = func(fd uintptr) bool {
		c.quiet = wouldBlock(fd)
		return true
	}
	return c, nil
}

// Delay before dialing again after a shortage on this machine: it begins at the minimum and doubles up to the maximum.
const (
	minShortageDelay = time.Millisecond
	maxShortageDelay = 20 * time.Millisecond
)

// dial opens a connection within DialTimeout and the context's deadline. It retries while this machine is short of a
// resource: nothing has been sent, and the shortage says nothing about the node.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, p.DialTimeout)
		defer cancel()
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	for delay := minShortageDelay; ; delay = min(2*delay, maxShortageDelay) {
		nc, err := connect(ctx, "tcp", address)
		if err == nil || !IsResourceShortage(err) {
			return nc, err
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(delay):
		}
	}
}

// Close closes the connection and stops counting it as open.
func (c *Conn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.openConns.Add(-1)
	}
	return c.Conn.Close()
}

// OpenConns returns the number of connections that are open or being opened.
func (p *Pool) OpenConns() int { return int(p.openConns.Load()) }

// dropOldest closes the connection that has been idle for longest.
func (p *Pool) dropOldest() {
	var oldest *idleList
	var idleSince time.Time
	p.idleLists.Range(func(_, v any) bool {
		list := v.(*idleList)
		list.mu.Lock()
		defer list.mu.Unlock()
		if len(list.conns) > 0 && (oldest == nil || list.conns[0].idleSince.Before(idleSince)) {
			oldest, idleSince = list, list.conns[0].idleSince
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

// usable reports whether the node has neither closed the connection nor sent anything unasked on it.
func (c *Conn) usable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	c.quiet = false
	if err := c.raw.Read(c.checkQuiet); err != nil {
		return false
	}
	return c.quiet
}

// Put returns a connection with no request in flight to the pool.
func (p *Pool) Put(c *Conn) {
	c.Reused, c.idleSince = true, p.CurrentTime()
	c.SetDeadline(time.Time{})
	list := p.lockedIdleList(c.address)
	keep := len(list.conns) < p.MaxIdlePerNode
	if keep {
		list.conns = append(list.conns, c)
	}
	list.mu.Unlock()
	if !keep {
		c.Close()
	} else if p.closed.Load() {
		p.CloseIdle(c.address)
	}
}

// lockedIdleList returns the list of idle connections to an address, locked. It creates one if there is none.
func (p *Pool) lockedIdleList(address string) *idleList {
	for {
		v, ok := p.idleLists.Load(address)
		if !ok {
			v, _ = p.idleLists.LoadOrStore(address, &idleList{})
		}
		list := v.(*idleList)
		list.mu.Lock()
		if !list.removed {
			return list
		}
		list.mu.Unlock()
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	v, ok := p.idleLists.Load(address)
	if !ok {
		return
	}
	list := v.(*idleList)
	list.mu.Lock()
	defer list.mu.Unlock()
	for _, c := range list.conns {
		c.Close()
	}
	list.conns = nil
	p.remove(address, list)
}

// remove deletes the list of an address without idle connections. list.mu is held.
func (p *Pool) remove(address string, list *idleList) {
	list.removed = true
	p.idleLists.CompareAndDelete(address, list)
}

// Sweep closes the connections that have been idle for too long, and deletes expired records about nodes.
func (p *Pool) Sweep() {
	for _, records := range []*sync.Map{&p.drainingFrom, &p.capReducedAt} {
		records.Range(func(address, at any) bool {
			if p.CurrentTime().Sub(at.(time.Time)) > nodeRecordTTL {
				records.Delete(address)
			}
			return true
		})
	}
	p.idleLists.Range(func(address, v any) bool {
		list := v.(*idleList)
		list.mu.Lock()
		defer list.mu.Unlock()
		expired := 0
		for expired < len(list.conns) && p.CurrentTime().Sub(list.conns[expired].idleSince) >= p.IdleTimeout {
			list.conns[expired].Close()
			expired++
		}
		list.conns = slices.Delete(list.conns, 0, expired)
		if len(list.conns) == 0 && !list.removed {
			p.remove(address.(string), list)
		}
		return true
	})
}

// Close closes all idle connections, and from then on each one that is put back.
func (p *Pool) Close() {
	p.closed.Store(true)
	p.idleLists.Range(func(address, _ any) bool { p.CloseIdle(address.(string)); return true })
}

// DispatchOutcome describes how far one dispatch got on the wire.
type DispatchOutcome struct {
	Connected    bool  // a connection was open
	BytesWritten int64 // of the request
	PartialWrite bool  // only part of the request was written, and the node starts only on complete requests
	Err          error // what ended the dispatch, nil for a complete response
	Status       int   // of the response, 0 for none
	Rejected     bool  // the response states that the node rejected the work before it started
	Strict       bool  // only status 200 is a success
	Canceled     bool  // the module canceled the dispatch
	Expired      bool  // its time limit had passed
}

// Classify returns the outcome that is proved; the table is in docs/protocol.md. An invocation counts as never run only
// on proof: no connection, no byte written (or not all of them, where nodes start only on complete requests), or the
// node's own statement. In all other cases it may have run.
func (o DispatchOutcome) Classify() balance.Outcome {
	switch {
	case o.Status != 0 && o.Err == nil && o.Rejected && (o.Status == 429 || o.Status == 503 || o.Status == 504):
		return balance.Rejected
	case o.Status != 0 && o.Err == nil && (o.Status == 200 || o.Status < 500 && !o.Strict):
		return balance.Succeeded
	case o.Status != 0 && o.Err == nil:
		return balance.Failed
	case o.PartialWrite && !o.Canceled && !o.Expired:
		return balance.ConnectFailed
	case o.PartialWrite:
		return balance.Ignored
	case o.BytesWritten == 0 && (o.Canceled || o.Expired && o.Connected):
		return balance.Ignored
	case o.BytesWritten == 0:
		return balance.ConnectFailed
	case o.Canceled:
		return balance.Canceled
	case o.Expired || IsTimeout(o.Err):
		return balance.TimedOut
	case errors.Is(o.Err, h1.ErrMalformed) || errors.Is(o.Err, h1.ErrTooLarge) || errors.Is(o.Err, h1.ErrTransferCoding) ||
		errors.Is(o.Err, h1.ErrVersion):
		return balance.Failed // there was a response, but no valid HTTP
	default:
		return balance.ConnectionReset
	}
}

// orcaNames maps the names in ORCA's text header, endpoint-load-metrics (the TEXT form of the xDS ORCA proposal), to
// those that the module uses. Other names are skipped.
var orcaNames = map[string]string{"cpu_utilization": "busy", "rps_fractional": "rate", "eps": "errors",
	"named_metrics.service_ms": "service-ms", "named_metrics.held": "held", "named_metrics.waiting": "waiting"}

// ParseReport parses a node's load report from the header of a response. It returns nil if there is none.
func (p *Pool) ParseReport(header textproto.MIMEHeader) map[string]float64 {
	names := p.ReportNames
	if names == nil {
		names = orcaNames
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
		if moduleName, known := names[name]; known {
			if v, err := strconv.ParseFloat(value, 64); err == nil && v >= 0 && v < 1e12 {
				report[moduleName] = v
			}
		}
	}
	return report
}

// Probe sends a request to a node over a new connection, and returns its outcome and the node's load report.
func (p *Pool) Probe(ctx context.Context, address, path string) (balance.Outcome, map[string]float64) {
	o := DispatchOutcome{Strict: p.Strict}
	c, err := p.Get(ctx, address, true)
	if err != nil {
		o.Err = err
		return o.Classify(), nil
	}
	defer c.Close()
	o.Connected = true
	c.SetDeadline(time.Now().Add(p.DialTimeout))
	n, err := c.Write([]byte("GET " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n\r\n"))
	o.BytesWritten, o.Err = int64(n), err
	if err != nil {
		return o.Classify(), nil
	}
	h, err := c.Reader.Response("GET", p.Limits)
	if o.Err = err; err != nil {
		return o.Classify(), nil
	}
	defer h.Release()
	o.Status = h.Status
	return o.Classify(), p.ParseReport(h.Header)
}
