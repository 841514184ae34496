package serve

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
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

// Start opens the sockets and starts a marshal. On return the marshal takes requests; it dispatches them once it is Ready.
func Start(set *settings.Settings, log *slog.Logger, hooks Hooks) (*Marshal, error) {
	log = log.With("marshal", set.Instance.Number)
	hooks.setDefaults()
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	m := newMarshal(set, log, hooks)
	cores := m.addPools(hooks, seed)
	if err := m.open(hooks); err != nil {
		return nil, err
	}
	m.startModules(hooks, seed)
	m.Front = &front.Server{Settings: set, Clock: hooks.Clock, Loops: m.Loops, Cores: cores, Pool: m.upstream, Log: log, Ready: m.ready}
	if hooks.Transport != nil {
		m.Front.Protocol, m.Front.Memory = hooks.Transport.ProtocolOptions, hooks.Transport.MessageMemory
		m.Front.RequestIDs = hooks.Transport.RequestIDs
	}
	if hooks.ConfigureFront != nil {
		hooks.ConfigureFront(m.Front)
	}
	// Nothing that may take time comes between here and accepting connections: from here on the time limits of clients run.
	if err := m.listenForClients(hooks.Listen); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.holdInvocations(ctx, hooks.Transport, seed)
	m.serveClients()
	m.runTasks(ctx, hooks, seed)
	return m, nil
}

// setDefaults sets the hooks that are needed and not given.
func (h *Hooks) setDefaults() {
	if h.Clock == nil {
		h.Clock = loop.Monotonic()
	}
	if h.NewModule == nil {
		h.NewModule = func(host balance.Host, s balance.Settings, seed uint64) divide.Module {
			return balance.New(host, s, seed)
		}
	}
	if h.Listen == nil {
		h.Listen = net.Listen
	}
}

// newMarshal returns a marshal with its loops and its side of the nodes. Nothing is open or runs yet.
func newMarshal(set *settings.Settings, log *slog.Logger, hooks Hooks) *Marshal {
	m := &Marshal{Settings: set, Log: log, now: loop.WallClock(hooks.Clock), ended: make(chan struct{}), ready: make(chan struct{})}
	for range set.Cores() {
		l := loop.New(hooks.Clock, int(set.Limits.Queue))
		l.Restartable = set.Cores() > 1
		m.Loops = append(m.Loops, l)
	}
	m.Loop = m.Loops[0]
	m.upstream = &back.Pool{Now: m.now,
		Limits:      h1.Limits{LineBytes: int(set.Limits.LineBytes), HeaderBytes: int(set.Limits.HeaderBytes)},
		DialTimeout: milliseconds(set.Times.DialMs), IdleTimeout: milliseconds(set.Times.NodeIdleMs),
		MaxIdlePerNode: int(set.Limits.IdlePerNode), Connect: hooks.Connect}
	if t := hooks.Transport; t != nil {
		m.upstream.Strict, m.upstream.ReportNames, m.upstream.MaxConns, m.upstream.ReuseDelay, m.upstream.Memory =
			t.Strict, t.ReportNames, t.MaxNodeConnections, t.ReuseDelay, t.MessageMemory
	}
	return m
}

// addPools creates the pools of the settings with a worker for each core, and returns the workers' cores by loop and pool.
func (m *Marshal) addPools(hooks Hooks, seed uint64) [][]*marshal.Core {
	cores := make([][]*marshal.Core, len(m.Loops))
	for i, poolSettings := range m.Settings.PoolSettings() {
		p := &nodePool{m: m, number: i, blockedVer: -1, settings: poolSettings,
			list: newNodeList(poolSettings.Roster.File, hooks.Clock), listChanged: make(chan struct{}, 1), firstList: make(chan struct{})}
		if hooks.WriteFile != nil {
			p.list.write = hooks.WriteFile
		}
		prefix, log := strconv.Itoa(int(m.Settings.Instance.Number))+"-"+strconv.FormatUint(seed>>40, 36)+"-", m.Log
		if len(m.Settings.Pool) > 0 {
			prefix, log = prefix+strconv.Itoa(i)+"-", log.With("pool", m.Settings.Pool[i].Name)
		}
		if len(m.Loops) > 1 {
			p.account = divide.NewAccount(hooks.Clock.Now, poolSettings.ModuleSettings(), len(m.Loops))
		}
		for j, l := range m.Loops {
			w, prefix, log := &worker{nodePool: p, instance: j, loop: l}, prefix, log
			if len(m.Loops) > 1 {
				prefix, log = prefix+strconv.Itoa(j)+"-", log.With("core", j)
			}
			w.core = marshal.New(w, log, prefix)
			if !hooks.SkipRepeatRules {
				w.core.RepeatRules = repeatRules(poolSettings.Operation)
			}
			p.workers, cores[j] = append(p.workers, w), append(cores[j], w.core)
		}
		m.pools = append(m.pools, p)
	}
	return cores
}

// startModules has every worker start its module with the node list that is known, before any other call of its loop, and
// creates the clients of the pools' service registries and rollout services.
func (m *Marshal) startModules(hooks Hooks, seed uint64) {
	for _, p := range m.pools {
		nodes, addresses := p.loadList(hooks.Transport)
		for _, w := range p.workers {
			w.loop.PostUrgent(func() { w.start(hooks, seed+uint64(p.number), nodes, addresses) })
		}
		p.connectControl(hooks.Transport)
	}
}

// serveClients starts to accept connections of clients.
func (m *Marshal) serveClients() {
	serving := make(chan struct{})
	m.background(func() {
		close(serving)
		if err := m.Front.Serve(m.listeners); err != nil {
			m.Log.Error("the marshal no longer accepts connections", "err", err)
		}
	})
	<-serving
}

// runTasks runs the loops and the background tasks of the marshal.
func (m *Marshal) runTasks(ctx context.Context, hooks Hooks, seed uint64) {
	if n := runtime.GOMAXPROCS(0); n < len(m.Loops) {
		m.Log.Warn("fewer processors than cores: loops compete for processor time", "processors", n, "cores", len(m.Loops))
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
}

// Ready returns a channel that is closed once the marshal dispatches invocations, or when it ends before that.
func (m *Marshal) Ready() <-chan struct{} { return m.ready }

// holdInvocations lets invocations wait in the loops' queues until each pool has its first node list, for the transport's
// FirstListTimeout at most. A new process would otherwise dispatch by the list it held last, to nodes that the current list
// already excludes. An invocation waits for its client's time at most. Without a transport nothing waits.
func (m *Marshal) holdInvocations(ctx context.Context, transport *Transport, seed uint64) {
	start := func() {
		m.release()
		m.Log.Info("marshal started", "invocations", m.Address(), "cores", len(m.Loops), "seed", seed)
	}
	if transport == nil {
		start()
		return
	}
	for _, l := range m.Loops {
		l.HoldArrivals()
	}
	expired := time.After(transport.FirstListTimeout)
	m.background(func() {
		if m.awaitFirstLists(ctx, expired) {
			start()
		}
	})
}

// awaitFirstLists waits until each pool has its first node list or the time is up. It returns false if the marshal ends
// before that.
func (m *Marshal) awaitFirstLists(ctx context.Context, expired <-chan time.Time) bool {
	for _, p := range m.pools {
		select {
		case <-p.firstList:
		case <-expired:
			return true
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// release lets the loops accept invocations.
func (m *Marshal) release() {
	m.readyOnce.Do(func() {
		for _, l := range m.Loops {
			l.ReleaseArrivals()
		}
		close(m.ready)
	})
}
