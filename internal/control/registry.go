package control

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	"arrowcleat/balance"
)

// NodeEntry is a line of the node list: a node, its address and the uptime of its process.
type NodeEntry struct {
	balance.Node
	Address     string
	Incarnation uint64  // identifies the process; the same in every update about it
	UptimeMs    float64 // since the process started; 0: a long time
}

// AppendNode appends a NODE line to b.
func AppendNode(b []byte, n NodeEntry) []byte {
	return fmt.Appendf(b, "NODE %d %s %d %d %d %d %s %g %d %.0f", n.ID, n.Address, n.Ver, n.Zone, n.Model, n.Cell,
		healthNames[n.Health], n.Size, n.Incarnation, n.UptimeMs)
}

// ParseNode decodes a NODE line.
func ParseNode(text string) (n NodeEntry, err error) {
	p := newLineParser(text)
	p.oneOf("message", "NODE")
	n.ID = uint32(p.integer("node", 0, math.MaxUint32))
	n.Address = p.word("address")
	if _, _, err := net.SplitHostPort(n.Address); p.err == nil && err != nil {
		p.err = fmt.Errorf("address: %.60q is not host:port", n.Address)
	}
	n.Ver = int(p.integer("ver", 0, 1<<31))
	n.Zone = int(p.integer("zone", 0, 1<<16))
	n.Model = int(p.integer("model", 0, 1<<16))
	n.Cell = int(p.integer("cell", 0, 1<<31))
	n.Health = balance.Health(p.oneOf("health", healthNames...))
	n.Size = p.float("size", 0, 1e9)
	n.Incarnation = uint64(p.integer("incarnation", 0, math.MaxInt64))
	n.UptimeMs = p.float("up", 0, maxMS)
	return n, p.finish()
}

// ParseListHeader decodes the LIST line that starts a list: whether it is the whole list or changes, the registry's
// epoch, the version that the changes start from, the version of the list, and the number of NODE lines that follow.
func ParseListHeader(text string) (whole bool, epoch, from, version uint64, lines int, err error) {
	p := newLineParser(text)
	p.oneOf("message", "LIST")
	whole = p.oneOf("kind", "whole", "changes") == 0
	epoch = uint64(p.integer("epoch", 0, maxVersion))
	from = uint64(p.integer("from", 0, maxVersion))
	version = uint64(p.integer("version", 0, maxVersion))
	lines = int(p.integer("lines", 0, 1<<20))
	return whole, epoch, from, version, lines, p.finish()
}

// RegistryClient is a marshal's connection to the service registry. It maintains one connection, reconnects with
// jittered exponential backoff, and delivers lists in order: a duplicate or outdated list is dropped, and after a gap
// in the versions the whole list is fetched.
type RegistryClient struct {
	Address          string
	Number           int  // this marshal's
	WatchOnDemand    bool // watch only between Watch(true) and Watch(false); otherwise the list is always watched
	InitialBackoff   time.Duration
	MaxBackoff       time.Duration
	Log              *slog.Logger
	OnNodesListed    func(whole bool, entries []NodeEntry)
	OnNodeListFailed func() // a watch or a fetch failed, or the watch was lost

	mu             sync.Mutex
	conn           *LineConn
	watchRequested bool
	fetchRequested bool
	epoch          uint64 // of the last list that was delivered
	version        uint64 // of the last list that was delivered
}

// NewBackoff returns a jittered exponential backoff that starts at initial and grows to longest.
func NewBackoff(initial, longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initial, longest
	return b
}

// Run maintains the connection until the context ends.
func (r *RegistryClient) Run(ctx context.Context) {
	KeepConnected(ctx, "roster", r.Address, r.InitialBackoff, r.MaxBackoff, r.Log, r.session)
}

// KeepConnected connects to an address, runs session on the connection, and reconnects with backoff when it ends, until
// the context ends. longest bounds both the backoff and the time to connect; a session that lasted longer resets the
// backoff.
func KeepConnected(ctx context.Context, name, address string, initial, longest time.Duration, log *slog.Logger,
	session func(context.Context, net.Conn) error) {
	delays := NewBackoff(initial, longest)
	for ctx.Err() == nil {
		var d net.Dialer
		dialCtx, cancel := context.WithTimeout(ctx, longest)
		nc, err := d.DialContext(dialCtx, "tcp", address)
		cancel()
		if err == nil {
			start := time.Now()
			stop := context.AfterFunc(ctx, func() { nc.Close() })
			err = session(ctx, nc)
			stop()
			nc.Close()
			if time.Since(start) > longest {
				delays.Reset()
			}
		}
		if ctx.Err() != nil {
			return
		}
		delay := delays.NextBackOff()
		log.Warn("connection lost", "to", name, "address", address, "err", err, "again_in", delay)
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// session handles one connection: it sends what was requested and delivers the lists that arrive, until an error.
func (r *RegistryClient) session(_ context.Context, nc net.Conn) error {
	conn := NewLineConn(nc)
	if err := conn.PrintfLine("HELLO %d", r.Number); err != nil {
		return err
	}
	r.mu.Lock()
	r.conn = conn
	watch, fetch := r.watchRequested || !r.WatchOnDemand, r.fetchRequested
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.conn = nil
		requested := r.watchRequested || r.fetchRequested
		if r.WatchOnDemand {
			r.watchRequested, r.fetchRequested = false, false
		}
		r.mu.Unlock()
		if requested && r.WatchOnDemand {
			r.OnNodeListFailed()
		}
	}()
	if fetch {
		r.send("FETCH")
	}
	if watch {
		r.send(r.watchRequest())
	}
	for {
		line, err := conn.NextLine()
		if err != nil {
			return err
		}
		if line == "FAILED" { // the registry could not serve the request
			r.mu.Lock()
			r.watchRequested, r.fetchRequested = false, false
			r.mu.Unlock()
			r.OnNodeListFailed()
			continue
		}
		whole, epoch, from, version, count, err := ParseListHeader(line)
		if err != nil {
			return fmt.Errorf("service registry: %w in %.80q", err, line)
		}
		var entries []NodeEntry
		for range count {
			text, err := conn.FollowingLine()
			if err != nil {
				return err
			}
			n, err := ParseNode(text)
			if err != nil {
				return fmt.Errorf("service registry: %w in %.80q", err, text)
			}
			entries = append(entries, n)
		}
		r.applyList(whole, epoch, from, version, entries)
	}
}

// watchRequest returns the WATCH message that continues from the last list.
func (r *RegistryClient) watchRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("WATCH %d %d", r.epoch, r.version)
}

// applyList delivers a list, unless it is outdated or does not follow the last one.
func (r *RegistryClient) applyList(whole bool, epoch, from, version uint64, entries []NodeEntry) {
	r.mu.Lock()
	sameEpoch := epoch == r.epoch
	switch {
	case sameEpoch && (version < r.version || version == r.version && !whole): // duplicate or outdated
		r.mu.Unlock()
		return
	case !whole && (!sameEpoch || from > r.version): // changes in between are missing
		r.mu.Unlock()
		r.send("FETCH")
		return
	}
	r.epoch, r.version = epoch, version
	if whole {
		r.fetchRequested = false
	}
	r.mu.Unlock()
	r.OnNodesListed(whole, entries)
}

// send sends a message and reports whether it was written.
func (r *RegistryClient) send(line string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil && r.conn.PrintfLine("%s", line) == nil
}

// Fetch requests the whole list once.
func (r *RegistryClient) Fetch() {
	r.mu.Lock()
	r.fetchRequested = true
	r.mu.Unlock()
	if !r.send("FETCH") {
		r.failLater()
	}
}

// Watch starts or stops the watch for changes.
func (r *RegistryClient) Watch(on bool) {
	r.mu.Lock()
	r.watchRequested = on
	r.mu.Unlock()
	if !on {
		r.send("UNWATCH")
	} else if !r.send(r.watchRequest()) {
		r.failLater()
	}
}

// failLater reports a request that could not be sent as failed, after a random delay of 10 to 50 ms, as if the registry
// had answered. A request that a new connection has sent in the meantime has not failed.
func (r *RegistryClient) failLater() {
	time.AfterFunc(time.Duration(10+rand.IntN(40))*time.Millisecond, func() {
		r.mu.Lock()
		failed := r.conn == nil && (r.watchRequested || r.fetchRequested) && r.WatchOnDemand
		if failed {
			r.watchRequested, r.fetchRequested = false, false
		}
		r.mu.Unlock()
		if failed {
			r.OnNodeListFailed()
		}
	})
}
