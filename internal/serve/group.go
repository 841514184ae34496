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
type nodePool struct {
	m        *Marshal
	number   int
	settings *settings.Settings
	registry Registry
	rollout  RolloutService
	account  *divide.Account // what the lanes share, nil for a lane alone
	workers  []*worker

	mu            sync.Mutex // what the lanes are told: by all in the same order
	list          *nodeList
	listChanged   chan struct{} // the list has
	firstList     chan struct{} // closed by the roster's first list
	firstListOnce sync.Once
	replayStage   func(*worker) // tells where the newest build stands
	blockedVer    int           // the build of which nothing may be exposed, its cap being 0; or -1
	lastCap       struct {      // the cap told last
		ver int
		cap float64
	}
}

// lane is one instance of a group's module, on its core's loop.
type worker struct {
	*nodePool
	instance int
	loop     *loop.Loop
	core     *marshal.Core
	shard    *divide.Part // nil for a lane alone
	recorder *record.Writer
	restarts []float64 // when it began anew
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
func (p *nodePool) connectControl(transport *Transport) {
	listFailed := func() {
		if p.account != nil {
			p.account.ListFailed()
		}
		p.postAll(func(w *worker) { w.events().ListFailed() })
	}
	voteFailed := func(outcome balance.Ending) {
		w := p.votingWorker()
		w.loop.Post(func() { w.events().VoteFailed(outcome) })
	}
	if transport != nil {
		p.registry, p.rollout = transport.NewRegistry(p.nodesListed, listFailed), transport.NewRolloutService(p.stageUpdate, voteFailed)
		return
	}
	if r := p.settings.Roster; r.Address != "" {
		p.registry = &control.Roster{Address: r.Address, Ask: r.Ask, Number: int(p.settings.Instance.Number),
			Wait: milliseconds(r.ReconnectMs), WaitMost: milliseconds(r.ReconnectMostMs), Log: p.m.Log, Listed: p.nodesListed, Failed: listFailed}
	}
	if c := p.settings.Conveyor; c.Address != "" {
		p.rollout = &control.Conveyor{Address: c.Address, Number: int(p.settings.Instance.Number), Wait: milliseconds(c.ReconnectMs),
			WaitMost: milliseconds(c.ReconnectMostMs), Patience: milliseconds(p.settings.Rollout.VoteTimeoutMs), Log: p.m.Log,
			Staged: p.stageUpdate,
			Failed: voteFailed,
			Tallied: func(ver, op, samples, errors int, mean, age float64) {
				p.postAll(func(w *worker) { w.events().Tallied(ver, op, samples, errors, mean, age) })
			},
			Flagged: func(node uint32, op int, age float64) {
				p.postAll(func(w *worker) { w.events().Flagged(node, op, age) })
			}}
	}
}

// each tells every lane something.
func (p *nodePool) postAll(f func(*worker)) {
	for _, w := range p.workers {
		w.loop.Post(func() { f(w) })
	}
}

// voter is the lane whose vote is answered.
func (p *nodePool) votingWorker() *worker {
	if p.account == nil {
		return p.workers[0]
	}
	return p.workers[p.account.Answered()]
}

func (p *nodePool) stageUpdate(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var voting *worker
	if p.account != nil {
		p.account.Staged(ver, phase, cap)
	}
	p.blockBuild(ver, cap <= 0 && phase != balance.Released)
	if reply {
		voting = p.votingWorker()
	}
	receivedAt := p.m.Loop.Clock().Now()
	p.replayStage = func(w *worker) { // also to one that begins later
		w.core.Staged(ver, stage, phase, cap, age+max(0, w.loop.Now()-receivedAt), false)
	}
	for _, w := range p.workers {
		w.loop.News(func() { w.core.Staged(ver, stage, phase, cap, age, w == voting) })
	}
	p.lowerCap(ver, phase, cap)
}

// capped keeps from nodes of a build whose cap has fallen what was decided on before. It comes after the news has been queued: what
// is decided later knows it.
func (p *nodePool) lowerCap(ver int, phase balance.Phase, cap float64) {
	if phase == balance.Released {
		cap = 1
	}
	before := p.lastCap
	p.lastCap.ver, p.lastCap.cap = ver, cap
	if before.ver != ver || cap >= before.cap {
		return
	}
	for _, line := range p.list.lines {
		if line.Ver == ver {
			p.m.upstream.Lower(line.Address)
		}
	}
}

// closed keeps from nodes of a build whose cap has fallen to nothing what was decided on before and is not written yet.
func (p *nodePool) blockBuild(ver int, blocked bool) {
	blockedVer := -1
	if blocked {
		blockedVer = ver
	}
	if blockedVer == p.blockedVer {
		return
	}
	before := p.blockedVer
	p.blockedVer = blockedVer
	for _, line := range p.list.lines {
		if line.Health != balance.Serving {
			continue
		}
		if line.Ver == blockedVer {
			p.m.upstream.Shut(line.Address, 0)
		} else if line.Ver == before {
			p.m.upstream.Reopen(line.Address)
		}
	}
}

// begin starts the module with the list and the stage that the marshal had last.
func (w *worker) start(hooks Hooks, seed uint64, nodes []balance.Node, addresses []string) {
	var moduleSettings balance.Settings
	if hooks.Transport != nil {
		moduleSettings = hooks.Transport.ModuleSettings
	} else {
		moduleSettings = w.settings.ModuleOf(w.instance)
	}
	seed += uint64(w.instance) << 32
	w.core.Start(func(h balance.Host) marshal.Module {
		if w.account != nil {
			w.shard = divide.NewPart(w.account, w.instance, len(w.workers), h, w, moduleSettings)
			h = w.shard
		}
		var module divide.Module
		if w.recorder == nil {
			module = hooks.NewModule(h, moduleSettings, seed)
		} else {
			recording := record.NewTap(w.recorder, h, w.settings, w.instance, seed, func(err error) { w.m.Log.Warn("the record ends here", "err", err) })
			module = recording.Before(hooks.NewModule(recording, moduleSettings, seed))
		}
		if w.account != nil {
			return w.shard.Before(module)
		}
		return module
	})
	if len(nodes) > 0 {
		w.core.Listed(true, nodes, addresses)
	}
}

// again begins a lane's module anew after a panic, with what is known by now.
func (w *worker) restart(hooks Hooks, seed uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	nodes, addresses := w.list.toNodes(slices.SortedFunc(maps.Values(w.list.lines), byID))
	w.restarts = append(w.restarts, w.loop.Clock().Now())
	w.start(hooks, seed+uint64(w.number)+uint64(len(w.restarts))<<48, nodes, addresses)
	if w.replayStage != nil {
		w.replayStage(w)
	}
}

// Share is divide.Others.
func (w *worker) Share(to int, outcomes []divide.Outcome) {
	other := w.workers[to]
	other.loop.Post(func() { other.shard.Heard(outcomes) })
}

// events gives the module for what needs no care on the way.
func (w *worker) events() marshal.Module { return w.core.Events() }

// last reads the list of the marshal's life before.
func (p *nodePool) loadList(transport *Transport) ([]balance.Node, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if transport != nil {
		p.list.update(true, transport.KnownNodes)
		return p.applyLines(transport.KnownNodes)
	}
	lines, err := p.list.load()
	if err != nil {
		p.m.Log.Warn("the last list is of no use", "file", p.settings.Roster.File, "err", err)
	}
	return p.applyLines(lines)
}

// heldUp is how long a process may be held up between a look at its clock and a write. The grace of a node that drains covers it.
const maxSchedulingDelay = 150 * time.Millisecond

// read makes nodes of lines, and opens and shuts what is kept for their addresses.
func (p *nodePool) applyLines(lines []control.Line) ([]balance.Node, []string) {
	for _, line := range lines {
		if line.Health == balance.Serving && line.Ver != p.blockedVer {
			p.m.upstream.Reopen(line.Address)
		} else if line.Health == balance.Serving {
			p.m.upstream.Shut(line.Address, 0)
		} else if !p.list.servedByOther(line) {
			p.m.upstream.Shut(line.Address, max(0, milliseconds(p.settings.Rules.GraceMs)-maxSchedulingDelay))
		}
		if line.Health == balance.Gone {
			p.m.upstream.Drop(line.Address)
		}
	}
	return p.list.toNodes(lines)
}

// listed brings the list to all lanes.
func (p *nodePool) nodesListed(whole bool, lines []control.Line) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes, addresses := p.applyLines(lines)
	for _, w := range p.workers {
		w.loop.News(func() { w.core.Listed(whole, nodes, addresses) })
	}
	p.list.update(whole, lines)
	p.firstListOnce.Do(func() { close(p.firstList) })
	select {
	case p.listChanged <- struct{}{}:
	default: // it will be written anyway
	}
}

// saveEvery is the least time between two writings of a list: a roll changes it hundreds of times a second.
const minSaveInterval = 50 * time.Millisecond

// saveAgain is between two tries where a list can't be saved.
const saveRetryInterval = 500 * time.Millisecond

// save writes the list away from the loops and from who reads the roster.
func (p *nodePool) saveChanges(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.listChanged:
		}
		p.mu.Lock()
		lines := p.list.snapshot()
		p.mu.Unlock()
		wait := minSaveInterval
		if p.list.file != "" {
			if err := p.list.save(encodeList(lines)); err != nil {
				p.m.Log.Warn("the list can't be saved", "file", p.list.file, "err", err, "again_in", saveRetryInterval)
				wait = saveRetryInterval
				select {
				case p.listChanged <- struct{}{}:
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
