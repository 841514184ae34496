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
	Set   *settings.Settings
	Log   *slog.Logger
	Loop  *loop.Loop   // the first of
	Loops []*loop.Loop // one for each core
	Front *front.Server

	pool   *back.Pool
	now    func() time.Time // by the loops' clock
	groups []*group
	peers  Peers
	lns    []front.Listener // the main one first
	meter  net.Listener     // of the metrics
	cancel context.CancelFunc
	wg     sync.WaitGroup
	loops  sync.WaitGroup
	ended  chan struct{} // the loops have ended
	errs   sync.Mutex
	err    error // that it ends with; errs
	once   sync.Once
	failed sync.Once
	reload sync.Mutex
}

func dur(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Start opens the sockets and starts a marshal. It takes invocations from then on.
func Start(set *settings.Settings, log *slog.Logger, hooks Hooks) (*Marshal, error) {
	log = log.With("marshal", set.Instance.Number)
	if hooks.Clock == nil {
		hooks.Clock = loop.Monotonic()
	}
	if hooks.Module == nil {
		hooks.Module = func(h balance.Host, s balance.Settings, seed uint64) divide.Module {
			return balance.New(h, s, seed)
		}
	}
	m := &Marshal{Set: set, Log: log, ended: make(chan struct{})}
	for range set.Cores() {
		l := loop.New(hooks.Clock, int(set.Limits.Queue))
		l.Again = set.Cores() > 1
		m.Loops = append(m.Loops, l)
	}
	m.Loop = m.Loops[0]
	m.now = loop.WallClock(hooks.Clock)
	m.pool = &back.Pool{Now: m.now, Limits: h1.Limits{Line: int(set.Limits.LineBytes), Header: int(set.Limits.HeaderBytes)},
		Dial: dur(set.Times.DialMs), Idle: dur(set.Times.NodeIdleMs), Most: int(set.Limits.IdlePerNode)}
	seed := set.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	cores := make([][]*marshal.Core, len(m.Loops))
	for i, of := range set.Pools() {
		g := &group{m: m, number: i, none: -1, set: of, list: newList(of.Roster.File, hooks.Clock), changed: make(chan struct{}, 1),
			heard: make(chan struct{})}
		if hooks.WriteFile != nil {
			g.list.write = hooks.WriteFile
		}
		prefix, log := strconv.Itoa(int(set.Instance.Number))+"-"+strconv.FormatUint(seed>>40, 36)+"-", log
		if len(set.Pool) > 0 {
			prefix, log = prefix+strconv.Itoa(i)+"-", log.With("pool", set.Pool[i].Name)
		}
		if len(m.Loops) > 1 {
			g.account = divide.NewAccount(hooks.Clock.Now, of.Module(), len(m.Loops))
		}
		for j, at := range m.Loops {
			l, prefix, log := &lane{group: g, instance: j, loop: at}, prefix, log
			if len(m.Loops) > 1 {
				prefix, log = prefix+strconv.Itoa(j)+"-", log.With("core", j)
			}
			l.core = marshal.New(l, log, prefix)
			if !hooks.Unguarded {
				l.core.Rules = repeatRules(of.Operation)
			}
			g.lanes, cores[j] = append(g.lanes, l), append(cores[j], l.core)
		}
		m.groups = append(m.groups, g)
	}
	if hooks.Listen == nil {
		hooks.Listen = net.Listen
	}
	if err := m.open(hooks.Listen); err != nil {
		return nil, err
	}
	m.pool.Connect = hooks.Connect
	if w := hooks.Ways; w != nil {
		m.pool.Strict, m.pool.Names, m.pool.All, m.pool.Settle = w.Strict, w.Reports, w.NodeConnections, w.Settle
		if w.Peers != nil {
			err := whileScarce(func() (err error) {
				m.peers, err = w.Peers(m.told)
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
	for _, g := range m.groups {
		nodes, addresses := g.last(hooks.Ways)
		for _, l := range g.lanes {
			l.loop.News(func() { l.begin(hooks, seed+uint64(g.number), nodes, addresses) }) // before any other
		}
		g.wire(hooks.Ways)
	}
	m.Front = &front.Server{Set: set, Clock: hooks.Clock, Loops: m.Loops, Cores: cores, Pool: m.pool, Log: log}
	if hooks.Ways != nil {
		m.Front.Terms = hooks.Ways.Terms
	}
	if hooks.Front != nil {
		hooks.Front(m.Front)
	}
	for i := range m.Loops {
		m.loops.Add(1)
		go m.run(i, hooks, seed)
	}
	go func() { m.loops.Wait(); close(m.ended) }()
	for _, g := range m.groups {
		if g.roster != nil {
			m.background(func() { g.roster.Run(ctx) })
		}
		if g.conveyor != nil {
			m.background(func() { g.conveyor.Run(ctx) })
		}
		m.background(func() { g.save(ctx) })
	}
	if m.peers != nil {
		m.background(m.peers.Run)
	}
	m.background(func() { m.sweep(ctx) })
	if m.meter != nil {
		m.meterOn(ctx)
	}
	if hooks.Ways != nil {
		m.hear(hooks.Ways.FirstList)
	}
	served := make(chan struct{})
	m.background(func() {
		close(served)
		if err := m.Front.Serve(m.lns); err != nil {
			m.Log.Error("no more connections", "err", err)
		}
	})
	<-served
	if n := runtime.GOMAXPROCS(0); n < len(m.Loops) {
		log.Warn("fewer processors than cores: they will wait for each other", "processors", n, "cores", len(m.Loops))
	}
	log.Info("marshal runs", "invocations", m.Address(), "cores", len(m.Loops), "seed", seed)
	return m, nil
}

// hear waits for the first lists, but not for long. It guards against a new process that sends by the list it held last what
// the list there is already forbids; it may hurt where no list comes: then it serves that much later.
func (m *Marshal) hear(within time.Duration) {
	late := time.After(within)
	for _, g := range m.groups {
		select {
		case <-g.heard:
		case <-late:
			return
		}
	}
}

func (m *Marshal) background(f func()) {
	m.wg.Add(1)
	go func() { defer m.wg.Done(); f() }()
}

// sweepLeast is between two looks at unused connections, where they are hardly kept at all.
const sweepLeast = 100 * time.Millisecond

func (m *Marshal) sweep(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(m.pool.Idle/2, sweepLeast)):
			m.pool.Sweep()
		}
	}
}

// run runs a core's loop. Where a module panics, what is open there is terminated; one of several begins anew, unless
// it does so time and again.
func (m *Marshal) run(core int, hooks Hooks, seed uint64) {
	defer m.loops.Done()
	l := m.Loops[core]
	var begins []float64
	for {
		err := l.Run()
		var p *loop.Panic
		if errors.As(err, &p) {
			var looks []marshal.Record
			m.lanesOf(core, func(l *lane) { looks = append(looks, l.core.Look()) })
			state, jerr := json.Marshal(looks)
			m.Log.Error("the decision module panicked: what is open is terminated", "core", core, "err", err, "open", m.owed(core),
				"stack", string(p.Stack), "state", string(state), "state_err", jerr)
		}
		m.lanesOf(core, func(l *lane) { l.core.EndAll() })
		begins = append(begins, l.Clock().Now())
		if err != nil && l.Again && divide.Again(begins) {
			l.First(func() { m.lanesOf(core, func(a *lane) { a.again(hooks, seed) }) })
			continue
		}
		if err != nil {
			m.loops.Go(func() { m.fail(err) })
		}
		return
	}
}

// lanesOf does something with the lanes of a core, on its loop or when that has ended.
func (m *Marshal) lanesOf(core int, f func(*lane)) {
	for _, g := range m.groups {
		f(g.lanes[core])
	}
}

// Address is where invocations are taken; AddressOf is that of a listener by its name.
func (m *Marshal) Address() string { return m.AddressOf(settings.MainListener) }

func (m *Marshal) AddressOf(listener string) string {
	for _, ln := range m.lns {
		if ln.Name == listener {
			return ln.Addr().String()
		}
	}
	return ""
}

// Look gives a copy of the marshal's own record, of the first pool where there are several; false once it has ended.
func (m *Marshal) Look() (marshal.Record, bool) {
	r, err := m.LookAt(context.Background(), 0)
	return r, err == nil
}

// LookAt gives a copy of the record of one pool, of all cores together. It waits for each core until the context ends.
func (m *Marshal) LookAt(ctx context.Context, pool int) (r marshal.Record, err error) {
	for i, l := range m.groups[pool].lanes {
		one, err := loop.Query(ctx, l.loop, l.core.Look)
		if err != nil {
			return r, fmt.Errorf("the record of core %d: %w", i, err)
		}
		if i == 0 {
			r = one
		} else {
			r.Add(one)
		}
	}
	return r, nil
}

// told hands a peer's message to the pool that it is for: where there are several, its number stands before it.
func (m *Marshal) told(from int, text string) {
	g := m.groups[0]
	if len(m.groups) > 1 {
		number, rest, _ := strings.Cut(text, " ")
		n, err := strconv.Atoi(number)
		if err != nil || n < 0 || n >= len(m.groups) {
			m.Log.Warn("between marshals", "err", "a message for a pool that there is not", "from", from)
			return
		}
		g, text = m.groups[n], rest
	}
	g.each(func(l *lane) { l.events().PeerMessage(from, text) })
}

// Behind counts the arrivals that were refused because too many waited, at any core.
func (m *Marshal) Behind() (count int64) {
	for _, l := range m.Loops {
		count += l.Behind()
	}
	return count
}

// Sweep lets go of what is kept for nodes and whose time is over; it happens by itself now and then.
func (m *Marshal) Sweep() { m.pool.Sweep() }

// NodeConnections is the number of connections to nodes that are open.
func (m *Marshal) NodeConnections() int { return m.pool.Open() }
