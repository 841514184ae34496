// Package serve assembles a running marshal: its loop, its module, its sockets and what it keeps on disk.
package serve

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/back"
	"arrowcleat/internal/control"
	"arrowcleat/internal/front"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/record"
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

// group is one pool of nodes: its list, its news, and the instances of the module that serve it, one for each core.
// Groups share the loops, the clients' side and the connections to nodes, and nothing that decides.
type group struct {
	m        *Marshal
	number   int
	set      *settings.Settings
	roster   Roster
	conveyor Conveyor
	account  *divide.Account // what the lanes share, nil for a lane alone
	lanes    []*lane

	mu      sync.Mutex // what the lanes are told: by all in the same order
	list    *list
	changed chan struct{} // the list has
	heard   chan struct{} // closed by the roster's first list
	once    sync.Once
	stage   func(*lane) // tells where the newest build stands
	none    int         // the build of which nothing may be exposed, its cap being 0; or -1
	capOf   struct {    // the cap told last
		ver int
		cap float64
	}
}

// lane is one instance of a group's module, on its core's loop.
type lane struct {
	*group
	instance int
	loop     *loop.Loop
	core     *marshal.Core
	part     *divide.Part // nil for a lane alone
	rec      *record.Writer
	begins   []float64 // when it began anew
}

// Hooks are what tests and planted faults put in place of the ordinary parts; all may be nil.
type Hooks struct {
	Clock  loop.Clock
	Module func(h balance.Host, set balance.Settings, seed uint64) divide.Module
	Front  func(*front.Server)
	Ways   *Ways
	// Unguarded leaves out the check that further attempts and refusals keep the rule against double effects.
	Unguarded bool
	// Listen and Connect open sockets; nil: the machine's own.
	Listen  func(network, address string) (net.Listener, error)
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// WriteFile writes a file and has it on disk; nil: the machine's own.
	WriteFile func(path string, b []byte) error
	// Wall is the machine's wall clock, which may be stepped; nil: the machine's own. It only tells how old a node is.
	Wall func() time.Time
}

// Ways are those of another protocol, in place of the project's own lines to roster, conveyor and peers. A nil
// Peers is none; Known is the list that the marshal held last.
type Ways struct {
	Terms           front.Terms
	Settings        balance.Settings  // the module's
	Strict          bool              // back.Pool's
	Reports         map[string]string // its names
	NodeConnections int               // its bound on all
	Settle          time.Duration     // its rest between two requests on a connection
	Known           []control.Line
	FirstList       time.Duration // how long the marshal waits for the roster's first list before it takes invocations
	Roster          func(listed func(whole bool, lines []control.Line), failed func()) Roster
	Conveyor        func(staged func(ver, stage int, phase balance.Phase, cap, age float64, reply bool),
		failed func(balance.Ending)) Conveyor
	Peers func(told func(from int, text string)) (Peers, error)
}

// repeatRules are those of operations.
func repeatRules(operations []*settings.Operation) []marshal.RepeatRule {
	rules := make([]marshal.RepeatRule, len(operations))
	for i, o := range operations {
		switch o.Repeat {
		case settings.Repeat_IDEMPOTENT:
			rules[i].Free = true
		case settings.Repeat_FINGERPRINTED:
			rules[i] = marshal.RepeatRule{Group: marshal.Group(o.Group), WithinMs: o.MemoryMs}
		}
	}
	return rules
}

// Roster brings the list of nodes.
type Roster interface {
	Run(context.Context)
	Fetch()
	Watch(on bool)
}

// Conveyor brings the news of builds and takes votes.
type Conveyor interface {
	Run(context.Context)
	Vote(ver, stage int, verdict balance.Verdict)
}

// Peers are the other marshals.
type Peers interface {
	Run()
	Tell(to int, text string)
	Close() error
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

// How long a start goes on trying where the machine lacks what a socket takes, and how long it waits in between.
const (
	scarceFor   = 5 * time.Second
	scarceEvery = 10 * time.Millisecond
)

// whileScarce opens something, and tries again while the machine lacks what it takes for a moment.
func whileScarce(open func() error) error {
	for end := time.Now().Add(scarceFor); ; time.Sleep(scarceEvery) {
		if err := open(); err == nil || !back.Scarce(err) || time.Now().After(end) {
			return err
		}
	}
}

// open opens the sockets and files; what was opened is closed if one can't be.
func (m *Marshal) open(listenOn func(network, address string) (net.Listener, error)) (err error) {
	listen := func(address string) (ln net.Listener, err error) {
		err = whileScarce(func() error {
			ln, err = listenOn("tcp", address)
			return err
		})
		return ln, err
	}
	defer func() {
		if err != nil {
			m.closeSockets()
		}
	}()
	for _, l := range append([]*settings.Listener{{Name: settings.MainListener, Address: m.Set.Listen.Invocations}}, m.Set.Listener...) {
		ln, err := listen(l.Address)
		if err != nil {
			return fmt.Errorf("listener %s: %w", l.Name, err)
		}
		m.lns = append(m.lns, front.Listener{Listener: ln, Name: l.Name})
	}
	if m.Set.Listen.Peers != "" {
		address, err := net.ResolveUDPAddr("udp", m.Set.Listen.Peers)
		if err != nil {
			return fmt.Errorf("listen.peers: %w", err)
		}
		var conn *net.UDPConn
		if err := whileScarce(func() error { conn, err = net.ListenUDP("udp", address); return err }); err != nil {
			return fmt.Errorf("listen.peers: %w", err)
		}
		peers := &control.Peers{Number: int(m.Set.Instance.Number), Conn: conn, To: map[int]*net.UDPAddr{}, Told: m.told,
			Bad: func(err error) { m.Log.Warn("between marshals", "err", err) }}
		m.peers = peers
		for _, p := range m.Set.Peer {
			if peers.To[int(p.Number)], err = net.ResolveUDPAddr("udp", p.Address); err != nil {
				return fmt.Errorf("peer %d: %w", p.Number, err)
			}
		}
	}
	if m.Set.Listen.Metrics != "" {
		if m.meter, err = listen(m.Set.Listen.Metrics); err != nil {
			return fmt.Errorf("listen.metrics: %w", err)
		}
	}
	for _, l := range m.all() {
		r := l.set.Record
		if r.File == "" {
			continue
		}
		if err = os.MkdirAll(filepath.Dir(r.File), 0o755); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
		if l.rec, err = record.Create(l.recordFile(), int64(r.MostBytes)); err != nil {
			return fmt.Errorf("record.file: %w", err)
		}
	}
	return nil
}

// all are the lanes of all groups.
func (m *Marshal) all() (lanes []*lane) {
	for _, g := range m.groups {
		lanes = append(lanes, g.lanes...)
	}
	return lanes
}

// recordFile is where an instance is recorded: each in a file of its own.
func (l *lane) recordFile() string {
	file := l.set.Record.File
	if len(l.lanes) > 1 {
		ext := filepath.Ext(file)
		file = fmt.Sprintf("%s.core%d%s", strings.TrimSuffix(file, ext), l.instance, ext)
	}
	return file
}

func (m *Marshal) closeSockets() {
	for _, ln := range m.lns {
		ln.Close()
	}
	if m.peers != nil {
		m.peers.Close()
	}
	if m.meter != nil {
		m.meter.Close()
	}
	for _, l := range m.all() {
		if l.rec != nil {
			l.rec.Close()
		}
	}
}

// wire connects what comes from the control sockets to the loops. News of nodes and builds goes before all that waits
// there, and the account knows of a build before any instance does.
func (g *group) wire(ways *Ways) {
	listFailed := func() {
		if g.account != nil {
			g.account.ListFailed()
		}
		g.each(func(l *lane) { l.events().ListFailed() })
	}
	voteFailed := func(how balance.Ending) {
		l := g.voter()
		l.loop.Post(func() { l.events().VoteFailed(how) })
	}
	if ways != nil {
		g.roster, g.conveyor = ways.Roster(g.listed, listFailed), ways.Conveyor(g.staged, voteFailed)
		return
	}
	if r := g.set.Roster; r.Address != "" {
		g.roster = &control.Roster{Address: r.Address, Ask: r.Ask, Number: int(g.set.Instance.Number),
			Wait: dur(r.ReconnectMs), WaitMost: dur(r.ReconnectMostMs), Log: g.m.Log, Listed: g.listed, Failed: listFailed}
	}
	if c := g.set.Conveyor; c.Address != "" {
		g.conveyor = &control.Conveyor{Address: c.Address, Number: int(g.set.Instance.Number), Wait: dur(c.ReconnectMs),
			WaitMost: dur(c.ReconnectMostMs), Patience: dur(g.set.Rollout.VoteTimeoutMs), Log: g.m.Log,
			Staged: g.staged,
			Failed: voteFailed,
			Tallied: func(ver, op, samples, errors int, mean, age float64) {
				g.each(func(l *lane) { l.events().Tallied(ver, op, samples, errors, mean, age) })
			},
			Flagged: func(node uint32, op int, age float64) {
				g.each(func(l *lane) { l.events().Flagged(node, op, age) })
			}}
	}
}

// each tells every lane something.
func (g *group) each(f func(*lane)) {
	for _, l := range g.lanes {
		l.loop.Post(func() { f(l) })
	}
}

// voter is the lane whose vote is answered.
func (g *group) voter() *lane {
	if g.account == nil {
		return g.lanes[0]
	}
	return g.lanes[g.account.Answered()]
}

func (g *group) staged(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	var to *lane
	if g.account != nil {
		g.account.Staged(ver, phase, cap)
	}
	g.closed(ver, cap <= 0 && phase != balance.Released)
	if reply {
		to = g.voter()
	}
	heard := g.m.Loop.Clock().Now()
	g.stage = func(l *lane) { // also to one that begins later
		l.core.Staged(ver, stage, phase, cap, age+max(0, l.loop.Now()-heard), false)
	}
	for _, l := range g.lanes {
		l.loop.News(func() { l.core.Staged(ver, stage, phase, cap, age, l == to) })
	}
	g.capped(ver, phase, cap)
}

// capped keeps from nodes of a build whose cap has fallen what was decided on before. It comes after the news has been queued: what
// is decided later knows it.
func (g *group) capped(ver int, phase balance.Phase, cap float64) {
	if phase == balance.Released {
		cap = 1
	}
	before := g.capOf
	g.capOf.ver, g.capOf.cap = ver, cap
	if before.ver != ver || cap >= before.cap {
		return
	}
	for _, line := range g.list.lines {
		if line.Ver == ver {
			g.m.pool.Lower(line.Address)
		}
	}
}

// closed keeps from nodes of a build whose cap has fallen to nothing what was decided on before and is not written yet.
func (g *group) closed(ver int, closed bool) {
	none := -1
	if closed {
		none = ver
	}
	if none == g.none {
		return
	}
	before := g.none
	g.none = none
	for _, line := range g.list.lines {
		if line.Health != balance.Serving {
			continue
		}
		if line.Ver == none {
			g.m.pool.Shut(line.Address, 0)
		} else if line.Ver == before {
			g.m.pool.Reopen(line.Address)
		}
	}
}

// begin starts the module with the list and the stage that the marshal had last.
func (l *lane) begin(hooks Hooks, seed uint64, nodes []balance.Node, addresses []string) {
	var set balance.Settings
	if hooks.Ways != nil {
		set = hooks.Ways.Settings
	} else {
		set = l.set.ModuleOf(l.instance)
	}
	seed += uint64(l.instance) << 32
	l.core.Start(func(h balance.Host) marshal.Module {
		if l.account != nil {
			l.part = divide.NewPart(l.account, l.instance, len(l.lanes), h, l, set)
			h = l.part
		}
		var module divide.Module
		if l.rec == nil {
			module = hooks.Module(h, set, seed)
		} else {
			tap := record.NewTap(l.rec, h, l.set, l.instance, seed, func(err error) { l.m.Log.Warn("the record ends here", "err", err) })
			module = tap.Before(hooks.Module(tap, set, seed))
		}
		if l.account != nil {
			return l.part.Before(module)
		}
		return module
	})
	if len(nodes) > 0 {
		l.core.Listed(true, nodes, addresses)
	}
}

// again begins a lane's module anew after a panic, with what is known by now.
func (l *lane) again(hooks Hooks, seed uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	nodes, addresses := l.list.nodes(slices.SortedFunc(maps.Values(l.list.lines), byID))
	l.begins = append(l.begins, l.loop.Clock().Now())
	l.begin(hooks, seed+uint64(l.number)+uint64(len(l.begins))<<48, nodes, addresses)
	if l.stage != nil {
		l.stage(l)
	}
}

// Share is divide.Others.
func (l *lane) Share(to int, outcomes []divide.Outcome) {
	other := l.lanes[to]
	other.loop.Post(func() { other.part.Heard(outcomes) })
}

// events gives the module for what needs no care on the way.
func (l *lane) events() marshal.Module { return l.core.Events() }

// last reads the list of the marshal's life before.
func (g *group) last(ways *Ways) ([]balance.Node, []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ways != nil {
		g.list.take(true, ways.Known)
		return g.read(ways.Known)
	}
	lines, err := g.list.load()
	if err != nil {
		g.m.Log.Warn("the last list is of no use", "file", g.set.Roster.File, "err", err)
	}
	return g.read(lines)
}

// heldUp is how long a process may be held up between a look at its clock and a write. The grace of a node that drains covers it.
const heldUp = 150 * time.Millisecond

// read makes nodes of lines, and opens and shuts what is kept for their addresses.
func (g *group) read(lines []control.Line) ([]balance.Node, []string) {
	for _, line := range lines {
		if line.Health == balance.Serving && line.Ver != g.none {
			g.m.pool.Reopen(line.Address)
		} else if line.Health == balance.Serving {
			g.m.pool.Shut(line.Address, 0)
		} else if !g.list.other(line) {
			g.m.pool.Shut(line.Address, max(0, dur(g.set.Rules.GraceMs)-heldUp))
		}
		if line.Health == balance.Gone {
			g.m.pool.Drop(line.Address)
		}
	}
	return g.list.nodes(lines)
}

// listed brings the list to all lanes.
func (g *group) listed(whole bool, lines []control.Line) {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes, addresses := g.read(lines)
	for _, l := range g.lanes {
		l.loop.News(func() { l.core.Listed(whole, nodes, addresses) })
	}
	g.list.take(whole, lines)
	g.once.Do(func() { close(g.heard) })
	select {
	case g.changed <- struct{}{}:
	default: // it will be written anyway
	}
}

// saveEvery is the least time between two writings of a list: a roll changes it hundreds of times a second.
const saveEvery = 50 * time.Millisecond

// saveAgain is between two tries where a list can't be saved.
const saveAgain = 500 * time.Millisecond

// save writes the list away from the loops and from who reads the roster.
func (g *group) save(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.changed:
		}
		g.mu.Lock()
		lines := g.list.copy()
		g.mu.Unlock()
		wait := saveEvery
		if g.list.file != "" {
			if err := g.list.save(written(lines)); err != nil {
				g.m.Log.Warn("the list can't be saved", "file", g.list.file, "err", err, "again_in", saveAgain)
				wait = saveAgain
				select {
				case g.changed <- struct{}{}:
				default: // it has changed since
				}
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
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

// fail ends the marshal: one of its cores has.
func (m *Marshal) fail(err error) {
	m.failed.Do(func() {
		m.endsWith(err)
		for _, l := range m.Loops {
			l.Stop()
		}
		m.Front.Abort()
	})
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

// Ended is closed once the marshal has nothing left to run on: after Stop, Kill, or a panic of its module.
func (m *Marshal) Ended() <-chan struct{} { return m.ended }

// How long the end of a marshal waits for its loops, whose calls it can't break off.
const (
	askWithin     = 100 * time.Millisecond // for what a loop owes, before it is taken to stand still
	loopEndWithin = 200 * time.Millisecond // for it to end
)

// ErrLoopBlocked says that the marshal has ended but a call of one of its loops has not.
var ErrLoopBlocked = errors.New("a call of the loop still blocks: the marshal has ended without it")

// Stop takes nothing new, lets what was taken end within its time, and ends once no connection is left that may still carry a
// request.
func (m *Marshal) Stop() error {
	m.Front.Stop()
	deadline := time.Now().Add(dur(m.Front.Current().Times.StopMs))
	for time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
		if m.Front.Open()+m.Front.Connections() > 0 {
			continue
		}
		if open, err := m.owedByAll(); err != nil || open == 0 {
			break
		}
	}
	return m.End()
}

// End ends at once; what is open is terminated. Clients are answered and left whatever the loops do: before the loops are waited for, and
// once more after, for what the loops were just taking.
func (m *Marshal) End() error {
	m.once.Do(func() {
		m.Front.Abort()
		blocked := !m.stopLoops()
		m.Front.Abort()
		m.Front.Close(2 * time.Second)
		m.cancel()
		if m.peers != nil {
			m.peers.Close()
		}
		m.pool.Close()
		m.wg.Wait()
		if blocked {
			m.endsWith(ErrLoopBlocked)
			return // what it records is its own until it ends
		}
		for _, l := range m.all() {
			if l.rec != nil {
				l.rec.Close()
			}
		}
	})
	m.errs.Lock()
	defer m.errs.Unlock()
	return m.err
}

func (m *Marshal) endsWith(err error) {
	m.errs.Lock()
	defer m.errs.Unlock()
	m.err = errors.Join(m.err, err)
}

// Kill ends like a killed process: sockets close, nothing is answered, nothing is written any more.
func (m *Marshal) Kill() {
	m.once.Do(func() {
		m.Front.Kill()
		m.stopLoops()
		m.cancel()
		m.closeSockets()
		m.Front.Close(0)
		m.pool.Close()
		m.wg.Wait()
	})
}

// stopLoops ends the loops; false says that one has not ended.
func (m *Marshal) stopLoops() bool {
	for _, l := range m.Loops {
		l.Stop()
	}
	select {
	case <-m.ended:
		return true
	case <-time.After(loopEndWithin):
		return false
	}
}

// owedByAll counts the invocations that are open at all cores; the error says that one has ended or stands still.
func (m *Marshal) owedByAll() (open int, err error) {
	ctx, done := context.WithTimeout(context.Background(), askWithin)
	defer done()
	for i, l := range m.Loops {
		n, err := loop.Query(ctx, l, func() int { return m.owed(i) })
		if err != nil {
			return 0, err
		}
		open += n
	}
	return open, nil
}

// owed counts the invocations that are open at a core; to be called on its loop.
func (m *Marshal) owed(core int) (open int) {
	m.lanesOf(core, func(l *lane) { open += l.core.Open() })
	return open
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
	g.each(func(l *lane) { l.events().Told(from, text) })
}

// Now and the methods below are marshal.Outside.
func (l *lane) Now() float64               { return l.loop.Now() }
func (l *lane) After(ms float64, f func()) { l.loop.After(ms, f) }

func (l *lane) Probe(node uint32, address string) {
	if !l.set.Limits.Probes {
		return
	}
	m := l.m
	m.background(func() {
		start := time.Now()
		how, report := m.pool.Probe(context.Background(), address, l.set.Limits.ProbePath)
		took := float64(time.Since(start)) / float64(time.Millisecond)
		l.loop.Post(func() { l.events().Probed(node, how, took, report) })
	})
}

func (l *lane) Fetch() {
	if l.roster != nil {
		l.roster.Fetch()
	}
}

func (l *lane) Watch(on bool) {
	if l.roster != nil {
		l.roster.Watch(on)
	}
}

func (l *lane) Vote(ver, stage int, verdict balance.Verdict) {
	if l.conveyor != nil {
		l.conveyor.Vote(ver, stage, verdict)
	} else {
		l.After(0, func() { l.voter().events().VoteFailed(balance.Ignored) })
	}
}

func (l *lane) Tell(peer int, text string) {
	if l.m.peers == nil {
		return
	}
	if len(l.m.groups) > 1 {
		text = strconv.Itoa(l.number) + " " + text
	}
	l.m.peers.Tell(peer, text)
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
