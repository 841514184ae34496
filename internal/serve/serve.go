// Package serve assembles a running marshal: its loop, its module, its sockets and what it keeps on disk.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/front"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/settings"
)

// Marshal is one that runs.
type Marshal struct {
	Settings *settings.Settings
	Log      *slog.Logger
	Loop     *loop.Loop   // the first of
	Loops    []*loop.Loop // one for each core
	Front    *front.Server

	upstream        *back.Pool
	now             func() time.Time // by the loops' clock
	pools           []*nodePool
	peers           Peers
	listeners       []front.Listener // the main one first
	metricsListener net.Listener     // of the metrics
	cancel          context.CancelFunc
	tasks           sync.WaitGroup
	running         sync.WaitGroup
	ended           chan struct{} // the loops have ended
	errMu           sync.Mutex
	err             error // that it ends with; errs
	endOnce         sync.Once
	failOnce        sync.Once
	reloadMu        sync.Mutex
}

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Start opens the sockets and starts a marshal. It takes invocations from then on.
func Start(set *settings.Settings, log *slog.Logger, hooks Hooks) (*Marshal, error) {
	log = log.With("marshal", set.Instance.Number)
	if hooks.Clock == nil {
		hooks.Clock = loop.Monotonic()
	}
	if hooks.NewModule == nil {
		hooks.NewModule = func(h balance.Host, s balance.Settings, seed uint64) divide.Module {
			return balance.New(h, s, seed)
		}
	}
	m := &Marshal{Settings: set, Log: log, ended: make(chan struct{})}
	for range set.Cores() {
		l := loop.New(hooks.Clock, int(set.Limits.Queue))
		l.Again = set.Cores() > 1
		m.Loops = append(m.Loops, l)
	}
	m.Loop = m.Loops[0]
	m.now = loop.WallClock(hooks.Clock)
	m.upstream = &back.Pool{Now: m.now, Limits: h1.Limits{Line: int(set.Limits.LineBytes), Header: int(set.Limits.HeaderBytes)},
		Dial: milliseconds(set.Times.DialMs), Idle: milliseconds(set.Times.NodeIdleMs), Most: int(set.Limits.IdlePerNode)}
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	cores := make([][]*marshal.Core, len(m.Loops))
	for i, poolSettings := range set.Pools() {
		p := &nodePool{m: m, number: i, blockedVer: -1, settings: poolSettings, list: newNodeList(poolSettings.Roster.File, hooks.Clock), listChanged: make(chan struct{}, 1),
			firstList: make(chan struct{})}
		if hooks.WriteFile != nil {
			p.list.write = hooks.WriteFile
		}
		prefix, log := strconv.Itoa(int(set.Instance.Number))+"-"+strconv.FormatUint(seed>>40, 36)+"-", log
		if len(set.Pool) > 0 {
			prefix, log = prefix+strconv.Itoa(i)+"-", log.With("pool", set.Pool[i].Name)
		}
		if len(m.Loops) > 1 {
			p.account = divide.NewAccount(hooks.Clock.Now, poolSettings.Module(), len(m.Loops))
		}
		for j, l := range m.Loops {
			w, prefix, log := &worker{nodePool: p, instance: j, loop: l}, prefix, log
			if len(m.Loops) > 1 {
				prefix, log = prefix+strconv.Itoa(j)+"-", log.With("core", j)
			}
			w.core = marshal.New(w, log, prefix)
			if !hooks.SkipRepeatRules {
				w.core.Rules = repeatRules(poolSettings.Operation)
			}
			p.workers, cores[j] = append(p.workers, w), append(cores[j], w.core)
		}
		m.pools = append(m.pools, p)
	}
	if hooks.Listen == nil {
		hooks.Listen = net.Listen
	}
	if err := m.open(hooks.Listen); err != nil {
		return nil, err
	}
	m.upstream.Connect = hooks.Connect
	if t := hooks.Transport; t != nil {
		m.upstream.Strict, m.upstream.Names, m.upstream.All, m.upstream.Settle = t.Strict, t.ReportNames, t.MaxNodeConnections, t.ReuseDelay
		if t.NewPeers != nil {
			err := retryOnShortage(func() (err error) {
				m.peers, err = t.NewPeers(m.peerMessage)
				return err
			})
			if err != nil {
				m.peers = nil // not a nil of another type
				m.closeSockets()
				return nil, err
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	for _, p := range m.pools {
		nodes, addresses := p.loadList(hooks.Transport)
		for _, w := range p.workers {
			w.loop.News(func() { w.start(hooks, seed+uint64(p.number), nodes, addresses) }) // before any other
		}
		p.connectControl(hooks.Transport)
	}
	m.Front = &front.Server{Set: set, Clock: hooks.Clock, Loops: m.Loops, Cores: cores, Pool: m.upstream, Log: log}
	if hooks.Transport != nil {
		m.Front.Terms = hooks.Transport.ProtocolOptions
	}
	if hooks.ConfigureFront != nil {
		hooks.ConfigureFront(m.Front)
	}
	for i := range m.Loops {
		m.running.Add(1)
		go m.runLoop(i, hooks, seed)
	}
	go func() { m.running.Wait(); close(m.ended) }()
	for _, p := range m.pools {
		if p.registry != nil {
			m.background(func() { p.registry.Run(ctx) })
		}
		if p.rollout != nil {
			m.background(func() { p.rollout.Run(ctx) })
		}
		m.background(func() { p.saveChanges(ctx) })
	}
	if m.peers != nil {
		m.background(m.peers.Run)
	}
	m.background(func() { m.sweepPeriodically(ctx) })
	if m.metricsListener != nil {
		m.serveMetrics(ctx)
	}
	if hooks.Transport != nil {
		m.awaitFirstLists(hooks.Transport.FirstListTimeout)
	}
	serving := make(chan struct{})
	m.background(func() {
		close(serving)
		if err := m.Front.Serve(m.listeners); err != nil {
			m.Log.Error("no more connections", "err", err)
		}
	})
	<-serving
	if n := runtime.GOMAXPROCS(0); n < len(m.Loops) {
		log.Warn("fewer processors than cores: they will wait for each other", "processors", n, "cores", len(m.Loops))
	}
	log.Info("marshal runs", "invocations", m.Address(), "cores", len(m.Loops), "seed", seed)
	return m, nil
}

// hear waits for the first lists, but not for long. It guards against a new process that sends by the list it held last what
// the list there is already forbids; it may hurt where no list comes: then it serves that much later.
func (m *Marshal) awaitFirstLists(timeout time.Duration) {
	expired := time.After(timeout)
	for _, p := range m.pools {
		select {
		case <-p.firstList:
		case <-expired:
			return
		}
	}
}

func (m *Marshal) background(f func()) {
	m.tasks.Add(1)
	go func() { defer m.tasks.Done(); f() }()
}

// sweepLeast is between two looks at unused connections, where they are hardly kept at all.
const minSweepInterval = 100 * time.Millisecond

func (m *Marshal) sweepPeriodically(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(m.upstream.Idle/2, minSweepInterval)):
			m.upstream.Sweep()
		}
	}
}

// run runs a core's loop. Where a module panics, what is open there is terminated; one of several begins anew, unless
// it does so time and again.
func (m *Marshal) runLoop(core int, hooks Hooks, seed uint64) {
	defer m.running.Done()
	l := m.Loops[core]
	var failures []float64
	for {
		err := l.Run()
		var p *loop.Panic
		if errors.As(err, &p) {
			var records []marshal.Record
			m.forEachWorker(core, func(w *worker) { records = append(records, w.core.Look()) })
			state, stateErr := json.Marshal(records)
			m.Log.Error("the decision module panicked: what is open is terminated", "core", core, "err", err, "open", m.openOn(core),
				"stack", string(p.Stack), "state", string(state), "state_err", stateErr)
		}
		m.forEachWorker(core, func(w *worker) { w.core.EndAll() })
		failures = append(failures, l.Clock().Now())
		if err != nil && l.Again && divide.Again(failures) {
			l.First(func() { m.forEachWorker(core, func(w *worker) { w.restart(hooks, seed) }) })
			continue
		}
		if err != nil {
			m.running.Go(func() { m.fail(err) })
		}
		return
	}
}

// lanesOf does something with the lanes of a core, on its loop or when that has ended.
func (m *Marshal) forEachWorker(core int, f func(*worker)) {
	for _, p := range m.pools {
		f(p.workers[core])
	}
}

// Address is where invocations are taken; AddressOf is that of a listener by its name.
func (m *Marshal) Address() string { return m.AddressOf(settings.MainListener) }

func (m *Marshal) AddressOf(listener string) string {
	for _, ln := range m.listeners {
		if ln.Name == listener {
			return ln.Addr().String()
		}
	}
	return ""
}

// Snapshot gives a copy of the marshal's own record, of the first pool where there are several; false once it has ended.
func (m *Marshal) Snapshot() (marshal.Record, bool) {
	r, err := m.PoolSnapshot(context.Background(), 0)
	return r, err == nil
}

// PoolSnapshot gives a copy of the record of one pool, of all cores together. It waits for each core until the context ends.
func (m *Marshal) PoolSnapshot(ctx context.Context, pool int) (total marshal.Record, err error) {
	for i, w := range m.pools[pool].workers {
		record, err := loop.Query(ctx, w.loop, w.core.Look)
		if err != nil {
			return total, fmt.Errorf("the record of core %d: %w", i, err)
		}
		if i == 0 {
			total = record
		} else {
			total.Add(record)
		}
	}
	return total, nil
}

// told hands a peer's message to the pool that it is for: where there are several, its number stands before it.
func (m *Marshal) peerMessage(from int, text string) {
	p := m.pools[0]
	if len(m.pools) > 1 {
		number, rest, _ := strings.Cut(text, " ")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= len(m.pools) {
			m.Log.Warn("between marshals", "err", "a message for a pool that there is not", "from", from)
			return
		}
		p, text = m.pools[n], rest
	}
	p.postAll(func(w *worker) { w.events().Told(from, text) })
}

// RejectedArrivals counts the arrivals that were refused because too many waited, at any core.
func (m *Marshal) RejectedArrivals() (count int64) {
	for _, l := range m.Loops {
		count += l.Behind()
	}
	return count
}

// Sweep lets go of what is kept for nodes and whose time is over; it happens by itself now and then.
func (m *Marshal) Sweep() { m.upstream.Sweep() }

// NodeConnections is the number of connections to nodes that are open.
func (m *Marshal) NodeConnections() int { return m.upstream.Open() }
