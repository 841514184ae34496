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

// nodePool is one pool of nodes: its node list, its stage updates, and the instances of the decision module that serve
// it, one per core. Pools share the loops, the client side and the connections to nodes, but no state that decisions
// depend on.
type nodePool struct {
	m        *Marshal
	number   int // index in Marshal.pools
	settings *settings.Settings
	registry Registry
	rollout  RolloutService
	account  *divide.Account // shared by the workers; nil for a single worker
	workers  []*worker

	mu            sync.Mutex // guards the fields below; workers receive updates in the same order
	list          *nodeList
	listChanged   chan struct{} // signals that the node list is to be saved
	firstList     chan struct{} // closed when the first node list arrives
	firstListOnce sync.Once
	replayStage   func(*worker) // repeats the last stage update to a worker
	blockedVer    int           // the build whose cap is 0, so that nothing may be sent to it; -1: none
	lastCap       struct {      // of the last stage update
		ver int
		cap float64
	}
}

// worker is one instance of the decision module of a pool. It runs on the loop of its core.
type worker struct {
	*nodePool
	instance int
	loop     *loop.Loop
	core     *marshal.Core
	shard    *divide.Shard // nil for a single worker
	recorder *record.Writer
	restarts []float64 // clock times in ms of restarts after a panic
}

// repeatRules returns the repeat rules of operations, by their index.
func repeatRules(operations []*settings.Operation) []marshal.RepeatRule {
	rules := make([]marshal.RepeatRule, len(operations))
	for i, o := range operations {
		switch o.Repeat {
		case settings.Repeat_IDEMPOTENT:
			rules[i].Idempotent = true
		case settings.Repeat_FINGERPRINTED:
			rules[i] = marshal.RepeatRule{Group: marshal.DedupGroup(o.Group), DedupWindowMs: o.MemoryMs}
		}
	}
	return rules
}

// connectControl creates the clients of the service registry and the rollout service, and passes their updates to the
// loops. Updates of nodes and builds run before all calls that are already queued there, and the account learns of a
// build before any worker does.
func (p *nodePool) connectControl(transport *Transport) {
	listFailed := func() {
		if p.account != nil {
			p.account.NodeListFailed()
		}
		p.postAll(func(w *worker) { w.module().NodeListFailed() })
	}
	voteFailed := func(outcome balance.Outcome) {
		w := p.finishVote()
		w.loop.Post(func() { w.module().VoteFailed(outcome) })
	}
	if transport != nil {
		p.registry, p.rollout = transport.NewRegistry(p.nodesListed, listFailed),
			transport.NewRolloutService(p.stageUpdate, voteFailed)
		return
	}
	if r := p.settings.Roster; r.Address != "" {
		p.registry = &control.RegistryClient{Address: r.Address, WatchOnDemand: r.Ask, Number: int(p.settings.Instance.Number),
			InitialBackoff: milliseconds(r.ReconnectMs), MaxBackoff: milliseconds(r.ReconnectMostMs), Log: p.m.Log,
			OnNodesListed: p.nodesListed, OnNodeListFailed: listFailed}
	}
	if c := p.settings.Conveyor; c.Address != "" {
		p.rollout = &control.RolloutClient{Address: c.Address, Number: int(p.settings.Instance.Number),
			InitialBackoff: milliseconds(c.ReconnectMs), MaxBackoff: milliseconds(c.ReconnectMostMs),
			VoteTimeout: milliseconds(p.settings.Rollout.VoteTimeoutMs), Log: p.m.Log,
			OnStageUpdate: p.stageUpdate,
			OnVoteFailed:  voteFailed,
			OnBuildStats: func(ver, op, samples, errors int, meanMs, ageMs float64) {
				p.postAll(func(w *worker) { w.module().BuildStats(ver, op, samples, errors, meanMs, ageMs) })
			},
			OnWrongAnswer: func(node uint32, op int, ageMs float64) {
				p.postAll(func(w *worker) { w.module().WrongAnswer(node, op, ageMs) })
			}}
	}
}

// postAll queues a call on the loop of every worker.
func (p *nodePool) postAll(f func(*worker)) {
	for _, w := range p.workers {
		w.loop.Post(func() { f(w) })
	}
}

// finishVote records that the last vote was answered or has failed, and returns the worker that cast it.
func (p *nodePool) finishVote() *worker {
	if p.account == nil {
		return p.workers[0]
	}
	return p.workers[p.account.FinishVote()]
}

// stageUpdate passes a stage update to all workers and suppresses dispatches that it forbids. If isVoteReply is
// set, the update answers a vote.
func (p *nodePool) stageUpdate(ver, stage int, phase balance.Phase, cap, ageMs float64, isVoteReply bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var voting *worker
	if p.account != nil {
		p.account.StageUpdate(ver, phase, cap)
	}
	p.blockBuild(ver, cap <= 0 && phase != balance.Released)
	if isVoteReply {
		voting = p.finishVote()
	}
	receivedAt := p.m.Loop.Clock().Now()
	p.replayStage = func(w *worker) { // also for workers that restart later
		w.core.StageUpdate(ver, stage, phase, cap, ageMs+max(0, w.loop.Now()-receivedAt), false)
	}
	for _, w := range p.workers {
		w.loop.PostUrgent(func() { w.core.StageUpdate(ver, stage, phase, cap, ageMs, w == voting) })
	}
	p.lowerCap(ver, phase, cap)
}

// lowerCap suppresses dispatches to a build whose cap has fallen that were decided on before. It runs after the stage
// update has been queued: later decisions take the new cap into account.
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
			p.m.upstream.RecordCapReduction(line.Address)
		}
	}
}

// blockBuild suppresses dispatches to a build whose cap has fallen to 0 that were decided on before and are not written
// yet. It allows dispatches again to a build that was blocked before and is not any more.
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
			p.m.upstream.MarkDraining(line.Address, 0)
		} else if line.Ver == before {
			p.m.upstream.MarkServing(line.Address)
		}
	}
}

// start starts the decision module of a worker with a node list.
func (w *worker) start(hooks Hooks, seed uint64, nodes []balance.Node, addresses []string) {
	var moduleSettings balance.Settings
	if hooks.Transport != nil {
		moduleSettings = hooks.Transport.ModuleSettings
	} else {
		moduleSettings = w.settings.InstanceSettings(w.instance)
	}
	seed += uint64(w.instance) << 32
	w.core.Start(func(h balance.Host) marshal.Module {
		if w.account != nil {
			w.shard = divide.NewShard(w.account, w.instance, len(w.workers), h, w, moduleSettings)
			h = w.shard
		}
		var module divide.Module
		if w.recorder == nil {
			module = hooks.NewModule(h, moduleSettings, seed)
		} else {
			recording := record.NewRecorder(w.recorder, h, w.settings, w.instance, seed, func(err error) {
				w.m.Log.Warn("recording stopped", "err", err)
			})
			module = recording.SetModule(hooks.NewModule(recording, moduleSettings, seed))
		}
		if w.account != nil {
			return w.shard.Attach(module)
		}
		return module
	})
	if len(nodes) > 0 {
		w.core.NodesListed(true, nodes, addresses)
	}
}

// restart starts the module of a worker again after a panic, with the current node list and stage.
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

// ShareOutcomes passes outcomes of dispatches to another worker, on its loop.
func (w *worker) ShareOutcomes(to int, outcomes []divide.DispatchOutcome) {
	other := w.workers[to]
	other.loop.Post(func() { other.shard.ReceiveOutcomes(outcomes) })
}

// module returns the decision module, for events that need no processing by the core.
func (w *worker) module() marshal.Module { return w.core.Module() }

// loadList returns the nodes that the transport knows, or else those of the list that a previous process of the marshal
// saved.
func (p *nodePool) loadList(transport *Transport) ([]balance.Node, []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if transport != nil {
		p.list.update(true, transport.KnownNodes)
		return p.applyLines(transport.KnownNodes)
	}
	lines, err := p.list.load()
	if err != nil {
		p.m.Log.Warn("the saved node list is unusable", "file", p.settings.Roster.File, "err", err)
	}
	return p.applyLines(lines)
}

// maxSchedulingDelay is how long a process may be delayed between reading its clock and a write. The grace period of a
// draining node covers it.
const maxSchedulingDelay = 150 * time.Millisecond

// applyLines allows or blocks dispatches to the addresses of registry lines, and converts the lines to nodes.
func (p *nodePool) applyLines(lines []control.NodeEntry) ([]balance.Node, []string) {
	for _, line := range lines {
		if line.Health == balance.Serving && line.Ver != p.blockedVer {
			p.m.upstream.MarkServing(line.Address)
		} else if line.Health == balance.Serving {
			p.m.upstream.MarkDraining(line.Address, 0)
		} else if !p.list.servedByOther(line) {
			p.m.upstream.MarkDraining(line.Address, max(0, milliseconds(p.settings.Rules.GraceMs)-maxSchedulingDelay))
		}
		if line.Health == balance.Gone {
			p.m.upstream.CloseIdle(line.Address)
		}
	}
	return p.list.toNodes(lines)
}

// nodesListed passes an update of the node list to all workers and has it saved.
func (p *nodePool) nodesListed(complete bool, lines []control.NodeEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	nodes, addresses := p.applyLines(lines)
	for _, w := range p.workers {
		w.loop.PostUrgent(func() { w.core.NodesListed(complete, nodes, addresses) })
	}
	p.list.update(complete, lines)
	p.firstListOnce.Do(func() { close(p.firstList) })
	select {
	case p.listChanged <- struct{}{}:
	default: // a save is already pending
	}
}

// minSaveInterval is the shortest time between two saves of a list: a rolling restart changes it hundreds of times a
// second.
const minSaveInterval = 50 * time.Millisecond

// saveRetryInterval is the time between two attempts to save a list after a failure.
const saveRetryInterval = 500 * time.Millisecond

// saveChanges saves the node list when it has changed, in a goroutine of its own: neither the loops nor the client of
// the service registry wait for the disk.
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
				p.m.Log.Warn("saving the node list failed", "file", p.list.file, "err", err, "again_in", saveRetryInterval)
				wait = saveRetryInterval
				select {
				case p.listChanged <- struct{}{}:
				default: // another change is already pending
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
