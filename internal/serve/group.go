package serve

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/control"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

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
		g.roster = &control.RegistryClient{Address: r.Address, WatchOnDemand: r.Ask, Number: int(g.set.Instance.Number),
			InitialBackoff: dur(r.ReconnectMs), MaxBackoff: dur(r.ReconnectMostMs), Log: g.m.Log, OnNodesListed: g.listed, OnNodeListFailed: listFailed}
	}
	if c := g.set.Conveyor; c.Address != "" {
		g.conveyor = &control.RolloutClient{Address: c.Address, Number: int(g.set.Instance.Number), InitialBackoff: dur(c.ReconnectMs),
			MaxBackoff: dur(c.ReconnectMostMs), VoteTimeout: dur(g.set.Rollout.VoteTimeoutMs), Log: g.m.Log,
			OnStageUpdate: g.staged,
			OnVoteFailed: voteFailed,
			OnBuildStats: func(ver, op, samples, errors int, mean, age float64) {
				g.each(func(l *lane) { l.events().Tallied(ver, op, samples, errors, mean, age) })
			},
			OnWrongAnswer: func(node uint32, op int, age float64) {
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
func (g *group) read(lines []control.NodeEntry) ([]balance.Node, []string) {
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
func (g *group) listed(whole bool, lines []control.NodeEntry) {
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
