// Package serve assembles a running marshal from its event loops, decision modules, sockets and files.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/front"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/settings"
)

// Marshal is a running marshal.
type Marshal struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Loop     *loop.Loop   // Loops[0]
	Loops    []*loop.Loop // one per core
	Front    *front.Server

	upstream        *back.Pool
	now             func() time.Time // wall time derived from the clock of the loops
	pools           []*nodePool
	peers           Peers
	listeners       []front.Listener // the main listener first
	metricsListener net.Listener     // serves metrics; nil: none
	cancel          context.CancelFunc
	tasks           sync.WaitGroup // background goroutines
	running         sync.WaitGroup // loops
	ended           chan struct{}  // closed once all loops have ended
	errMu           sync.Mutex
	err             error // returned by End; guarded by errMu
	endOnce         sync.Once
	failOnce        sync.Once
	reloadMu        sync.Mutex
	ready           chan struct{} // closed by release
	readyOnce       sync.Once
}

// milliseconds converts a time in ms to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// background runs f in a goroutine that the end of the marshal waits for.
func (m *Marshal) background(f func()) {
	m.tasks.Add(1)
	go func() { defer m.tasks.Done(); f() }()
}

// minSweepInterval is the shortest interval between two checks for expired connections, for very short idle times.
const minSweepInterval = 100 * time.Millisecond

// sweepPeriodically discards expired connections to nodes until the context ends.
func (m *Marshal) sweepPeriodically(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(m.upstream.IdleTimeout/2, minSweepInterval)):
			m.upstream.Sweep()
		}
	}
}

// runLoop runs the loop of a core. If a module panics, the open invocations of that core are terminated. With several
// cores the core then restarts, unless it panics repeatedly.
func (m *Marshal) runLoop(core int, hooks Hooks, seed uint64) {
	defer m.running.Done()
	l := m.Loops[core]
	var failures []float64
	for {
		err := l.Run()
		var p *loop.Panic
		if errors.As(err, &p) {
			var stats []marshal.Stats
			m.forEachWorker(core, func(w *worker) { stats = append(stats, w.core.Snapshot()) })
			state, stateErr := json.Marshal(stats)
			m.Log.Error("the decision module panicked: open invocations are terminated", "core", core, "err", err, "open", m.openOn(core),
				"stack", string(p.Stack), "state", string(state), "state_err", stateErr)
		}
		m.forEachWorker(core, func(w *worker) { w.core.TerminateAll() })
		failures = append(failures, l.Clock().Now())
		if err != nil && l.Restartable && divide.MayRestart(failures) {
			l.RunFirst(func() { m.forEachWorker(core, func(w *worker) { w.restart(hooks, seed) }) })
			continue
		}
		if err != nil {
			m.running.Go(func() { m.fail(err) })
		}
		return
	}
}

// forEachWorker calls f with each worker of a core. It must run on the loop of that core, or after that loop has ended.
func (m *Marshal) forEachWorker(core int, f func(*worker)) {
	for _, p := range m.pools {
		f(p.workers[core])
	}
}

// Address returns the address of the main listener.
func (m *Marshal) Address() string { return m.AddressOf(settings.MainListener) }

// AddressOf returns the address of the listener with a name, or "" if there is none.
func (m *Marshal) AddressOf(listener string) string {
	for _, ln := range m.listeners {
		if ln.Name == listener {
			return ln.Addr().String()
		}
	}
	return ""
}

// Snapshot returns a copy of the counters of the marshal, or of its first pool if there are several. It returns false
// once the marshal has ended.
func (m *Marshal) Snapshot() (marshal.Stats, bool) {
	r, err := m.PoolSnapshot(context.Background(), 0)
	return r, err == nil
}

// PoolSnapshot returns the counters of one pool, summed over all cores. It waits for each core until the context ends.
func (m *Marshal) PoolSnapshot(ctx context.Context, pool int) (total marshal.Stats, err error) {
	for i, w := range m.pools[pool].workers {
		stats, err := loop.Query(ctx, w.loop, w.core.Snapshot)
		if err != nil {
			return total, fmt.Errorf("reading the statistics of core %d: %w", i, err)
		}
		if i == 0 {
			total = stats
		} else {
			total.Add(stats)
		}
	}
	return total, nil
}

// peerMessage passes a message of a peer to the pool that it is for. With several pools the message begins with the
// pool number.
func (m *Marshal) peerMessage(from int, text string) {
	p := m.pools[0]
	if len(m.pools) > 1 {
		number, rest, _ := strings.Cut(text, " ")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= len(m.pools) {
			m.Log.Warn("message from peer rejected", "err", "the message is for an unknown pool", "from", from)
			return
		}
		p, text = m.pools[n], rest
	}
	p.postAll(func(w *worker) { w.module().PeerMessage(from, text) })
}

// RejectedArrivals returns how many arrivals were rejected because the queue of a core was full.
func (m *Marshal) RejectedArrivals() (count int64) {
	for _, l := range m.Loops {
		count += l.Refused()
	}
	return count
}

// Sweep discards expired state of nodes, such as idle connections. The marshal also does so periodically.
func (m *Marshal) Sweep() { m.upstream.Sweep() }

// NodeConnections returns the number of open connections to nodes.
func (m *Marshal) NodeConnections() int { return m.upstream.OpenConns() }
