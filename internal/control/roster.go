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

// NodeEntry is one line of the roster as it is sent: a node, where it is reached, and how long its process has run.
// Two tells of one process carry the same incarnation.
type NodeEntry struct {
	balance.Node
	Address     string
	Incarnation uint64
	UptimeMs    float64 // ms since its process started, 0: a long time
}

// AppendNode writes a line of the roster.
func AppendNode(b []byte, l NodeEntry) []byte {
	return fmt.Appendf(b, "NODE %d %s %d %d %d %d %s %g %d %.0f", l.ID, l.Address, l.Ver, l.Zone, l.Model, l.Cell,
		healthNames[l.Health], l.Size, l.Incarnation, l.UptimeMs)
}

// ParseNode reads a line of the roster.
func ParseNode(text string) (l NodeEntry, err error) {
	w := newLineParser(text)
	w.oneOf("message", "NODE")
	l.ID = uint32(w.integer("node", 0, math.MaxUint32))
	l.Address = w.word("address")
	if _, _, err := net.SplitHostPort(l.Address); w.err == nil && err != nil {
		w.err = fmt.Errorf("address: %.60q is no host:port", l.Address)
	}
	l.Ver = int(w.integer("ver", 0, 1<<31))
	l.Zone = int(w.integer("zone", 0, 1<<16))
	l.Model = int(w.integer("model", 0, 1<<16))
	l.Cell = int(w.integer("cell", 0, 1<<31))
	l.Health = balance.Health(w.oneOf("health", healthNames...))
	l.Size = w.float("size", 0, 1e9)
	l.Incarnation = uint64(w.integer("incarnation", 0, math.MaxInt64))
	l.UptimeMs = w.float("up", 0, maxMS)
	return l, w.finish()
}

// ParseListHeader reads the head of a list: its kind, the roster's epoch, the version it starts from and its own, and
// how many lines follow.
func ParseListHeader(text string) (whole bool, epoch, from, version uint64, lines int, err error) {
	w := newLineParser(text)
	w.oneOf("message", "LIST")
	whole = w.oneOf("kind", "whole", "changes") == 0
	epoch = uint64(w.integer("epoch", 0, maxVersion))
	from = uint64(w.integer("from", 0, maxVersion))
	version = uint64(w.integer("version", 0, maxVersion))
	lines = int(w.integer("lines", 0, 1<<20))
	return whole, epoch, from, version, lines, w.finish()
}

// RegistryClient is a marshal's connection to the roster. It keeps one connection, opens it again with growing, jittered
// waits, and hands on every list whose turn it is: what was had already is dropped, and after a gap the whole
// list is asked for.
type RegistryClient struct {
	Address          string
	Number           int  // the marshal's
	WatchOnDemand    bool // the module says when to watch; otherwise the list is watched all the time
	InitialBackoff   time.Duration
	MaxBackoff       time.Duration
	Log              *slog.Logger
	OnNodesListed    func(whole bool, lines []NodeEntry)
	OnNodeListFailed func() // a watch or a fetch failed, or the watch was lost

	mu             sync.Mutex
	conn           *LineConn
	watchRequested bool
	fetchRequested bool
	epoch          uint64 // of the list that is held
	version        uint64
}

// NewBackoff gives growing, jittered waits between two bounds.
func NewBackoff(first, most time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = first, most
	return b
}

// Run keeps the connection until the context ends.
func (r *RegistryClient) Run(ctx context.Context) {
	KeepConnected(ctx, "roster", r.Address, r.InitialBackoff, r.MaxBackoff, r.Log, r.session)
}

// KeepConnected holds a session with an address, again and again.
func KeepConnected(ctx context.Context, name, address string, first, most time.Duration, log *slog.Logger,
	session func(context.Context, net.Conn) error) {
	waits := NewBackoff(first, most)
	for ctx.Err() == nil {
		var d net.Dialer
		dial, done := context.WithTimeout(ctx, most)
		nc, err := d.DialContext(dial, "tcp", address)
		done()
		if err == nil {
			began := time.Now()
			stop := context.AfterFunc(ctx, func() { nc.Close() })
			err = session(ctx, nc)
			stop()
			nc.Close()
			if time.Since(began) > most {
				waits.Reset()
			}
		}
		if ctx.Err() != nil {
			return
		}
		wait := waits.NextBackOff()
		log.Warn("connection lost", "to", name, "address", address, "err", err, "again_in", wait)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (r *RegistryClient) session(_ context.Context, nc net.Conn) error {
	t := NewLineConn(nc)
	if err := t.PrintfLine("HELLO %d", r.Number); err != nil {
		return err
	}
	r.mu.Lock()
	r.conn = t
	watch, fetch := r.watchRequested || !r.WatchOnDemand, r.fetchRequested
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.conn = nil
		asked := r.watchRequested || r.fetchRequested
		if r.WatchOnDemand {
			r.watchRequested, r.fetchRequested = false, false
		}
		r.mu.Unlock()
		if asked && r.WatchOnDemand {
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
		line, err := t.NextLine()
		if err != nil {
			return err
		}
		if line == "FAILED" { // what was asked for could not be had
			r.mu.Lock()
			r.watchRequested, r.fetchRequested = false, false
			r.mu.Unlock()
			r.OnNodeListFailed()
			continue
		}
		whole, epoch, from, version, count, err := ParseListHeader(line)
		if err != nil {
			return fmt.Errorf("roster: %w in %.80q", err, line)
		}
		var lines []NodeEntry
		for range count {
			text, err := t.NextLine()
			if err != nil {
				return err
			}
			l, err := ParseNode(text)
			if err != nil {
				return fmt.Errorf("roster: %w in %.80q", err, text)
			}
			lines = append(lines, l)
		}
		r.applyList(whole, epoch, from, version, lines)
	}
}

func (r *RegistryClient) watchRequest() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("WATCH %d %d", r.epoch, r.version)
}

// applyList hands on a list whose turn it is.
func (r *RegistryClient) applyList(whole bool, epoch, from, version uint64, lines []NodeEntry) {
	r.mu.Lock()
	same := epoch == r.epoch
	switch {
	case same && (version < r.version || version == r.version && !whole): // had already, or overtaken
		r.mu.Unlock()
		return
	case !whole && (!same || from > r.version): // something in between is missing
		r.mu.Unlock()
		r.send("FETCH")
		return
	}
	r.epoch, r.version = epoch, version
	if whole {
		r.fetchRequested = false
	}
	r.mu.Unlock()
	r.OnNodesListed(whole, lines)
}

func (r *RegistryClient) send(line string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.conn != nil && r.conn.PrintfLine("%s", line) == nil
}

// Fetch asks for the whole list once.
func (r *RegistryClient) Fetch() {
	r.mu.Lock()
	r.fetchRequested = true
	r.mu.Unlock()
	if !r.send("FETCH") {
		r.failLater()
	}
}

// Watch asks for changes from now on, or for no more.
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

// failLater says that the call failed, as the roster would, not at once.
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
