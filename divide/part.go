package divide

import (
	"slices"

	"arrowcleat/balance"
)

const (
	tick     = 20.0 // ms between two times at which a part tells what it has
	askAgain = 5.0  // ms after a lease of nothing
	batch    = 64   // outcomes that are told at once
)

// Module is the instance that a part stands before: balance.Balancer's methods.
type Module interface {
	balance.Module
	OnTrial(ver int) bool
	Leased(ver, op, left int, until float64)
	Chair(votes bool)
	Elsewhere(node uint32, ver, op int, how balance.Ending, took float64, short bool, report map[string]float64)
}

// DispatchOutcome is one dispatch's, as the other instances are told of it.
type DispatchOutcome struct {
	Node    uint32
	Ver, Op int
	Outcome     balance.Ending
	TookMs    float64
	ShortLimit   bool // its time limit was under the SLO time
	Report  map[string]float64
}

// Siblings are the other instances.
type Siblings interface {
	ShareOutcomes(to int, outcomes []DispatchOutcome) // by and by; the slice is not changed any more
}

// Shard is one instance's end of the account: the Host that the module gets and the Module that the marshal calls. All
// its methods are called on the instance's own loop.
type Shard struct {
	balance.Host
	Module
	account  *Account
	others   Siblings
	instance int
	life     int
	slo      []float64

	nodes   map[uint32]balance.Node
	trials  []int // builds on trial, oldest first
	leases  map[Scope]*lease
	took    []int   // by operation, since
	since   float64 // the first of them came
	invs    map[string]*invocation
	free    []*invocation // to be used again
	seen    []DispatchOutcome
	chairs  bool
	members int
}

// lease is one that is being used.
type lease struct {
	Lease
	spent int
	ask   float64 // not before
	open  bool    // drawn and not settled
}

// invocation is one that is open.
type invocation struct {
	op    int
	node  uint32 // of the last dispatch
	ver   int    // that it ran
	short bool
	out   bool
	over  bool // it has its final answer
}

// wakeTick is the handle of a part's own timer; the module's are not negative.
const wakeTick = -1

// NewShard stands between a host and the module that Before is given.
func NewShard(a *Account, instance, instances int, h balance.Host, others Siblings, set balance.Settings) *Shard {
	p := &Shard{Host: h, account: a, others: others, instance: instance, members: instances, life: a.Join(instance),
		nodes: map[uint32]balance.Node{}, leases: map[Scope]*lease{}, invs: map[string]*invocation{}, chairs: true}
	ops, _ := set["operations"].([]balance.Settings)
	for _, o := range ops {
		slo, _ := o["slo-ms"].(float64)
		p.slo = append(p.slo, slo)
	}
	p.took = make([]int, len(p.slo))
	return p
}

// Attach gives the module that the part stands before.
func (p *Shard) Attach(m Module) *Shard {
	p.Module = m
	p.beat()
	p.Host.Wake(tick, wakeTick)
	return p
}

// Arrived counts an invocation as taken and sees to it that the module has a lease on what it may want to expose.
func (p *Shard) Arrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
	if !slices.ContainsFunc(p.took, func(n int) bool { return n > 0 }) {
		p.since = p.Host.Now()
	}
	p.took[op]++
	inv := &invocation{}
	if last := len(p.free) - 1; last >= 0 {
		inv, p.free = p.free[last], p.free[:last]
	}
	*inv = invocation{op: op}
	p.invs[id] = inv
	p.ready(op)
	p.Module.Arrived(id, op, tenant, key, budget, cost, retry, write)
}

// ready draws on the account for what the module has no lease on.
func (p *Shard) ready(op int) {
	for _, ver := range p.trials {
		s := p.account.Scope(ver, op)
		l := p.leases[s]
		if l == nil {
			l = &lease{}
			p.leases[s] = l
		}
		if l.open && l.spent < l.Size && !p.account.Invalid(l.Lease) {
			continue
		}
		if l.open {
			p.settle(s, l)
		}
		now := p.Host.Now()
		if now < l.ask {
			continue
		}
		p.tell()
		l.Lease, l.spent = p.account.Draw(p.instance, p.life, s), 0
		l.open = l.Size > 0
		if !l.open {
			l.ask = now + askAgain
		}
		p.Module.Leased(s.Ver, s.Op, l.Size, l.UntilMs)
	}
}

func (p *Shard) settle(s Scope, l *lease) {
	p.account.Settle(p.instance, p.life, s, l.spent)
	l.open = false
	p.Module.Leased(s.Ver, s.Op, 0, 0)
}

// tell brings what was taken to the account.
func (p *Shard) tell() {
	for op, n := range p.took {
		if n > 0 {
			p.account.RecordAccepted(op, n, p.since)
			p.took[op] = 0
		}
	}
}

// Dispatch notes what is exposed. What would be exposed by a lease that ran out meanwhile, as this instance stood
// still, is given no time, so that it is never sent.
func (p *Shard) Dispatch(id string, node uint32, within float64) {
	ver := p.nodes[node].Ver
	inv := p.invs[id]
	if inv == nil {
		p.Host.Dispatch(id, node, within)
		return
	}
	inv.node, inv.ver, inv.short, inv.out = node, ver, within < p.slo[inv.op], true
	if slices.Contains(p.trials, ver) {
		l := p.leases[p.account.Scope(ver, inv.op)]
		if l == nil || !l.open || l.spent >= l.Size || p.account.Invalid(l.Lease) {
			within = 0
		} else {
			l.spent++
		}
	}
	p.Host.Dispatch(id, node, within)
}

// Ended keeps an outcome for the others. A repeat may want a lease.
func (p *Shard) Ended(id string, no int, node uint32, how balance.Ending, took float64, done bool,
	report map[string]float64) {
	inv := p.invs[id]
	if inv != nil {
		inv.out = false
		inv.over = inv.over || done
		if how != balance.Ignored {
			p.seen = append(p.seen, DispatchOutcome{inv.node, inv.ver, inv.op, how, took, inv.short, report})
		}
		if !inv.over && how != balance.Succeeded {
			p.ready(inv.op)
		}
	}
	p.Module.Ended(id, no, node, how, took, done, report)
	p.forget(id)
	if len(p.seen) >= batch {
		p.share()
	}
}

func (p *Shard) forget(id string) {
	if inv := p.invs[id]; inv != nil && inv.over && !inv.out {
		delete(p.invs, id)
		p.free = append(p.free, inv)
	}
}

func (p *Shard) over(id string) {
	if inv := p.invs[id]; inv != nil {
		inv.over = true
		p.forget(id)
	}
}

// Lapsed and the two after it end an invocation that nothing of is out.
func (p *Shard) Lapsed(id string) {
	p.Module.Lapsed(id)
	p.over(id)
}

func (p *Shard) Throttle(id string, comeBack float64) {
	p.Host.Throttle(id, comeBack)
	p.over(id)
}

func (p *Shard) Terminate(id string) {
	p.Host.Terminate(id)
	p.over(id)
}

// share tells the others what this instance has seen; what stands still is not told: it would be late news.
func (p *Shard) share() {
	if len(p.seen) == 0 {
		return
	}
	outcomes := p.seen
	p.seen = make([]DispatchOutcome, 0, batch)
	for i := range p.members {
		if i != p.instance && p.account.Alive(i) {
			p.others.ShareOutcomes(i, outcomes)
		}
	}
}

// ReceiveOutcomes brings what another instance has seen.
func (p *Shard) ReceiveOutcomes(outcomes []DispatchOutcome) {
	for _, o := range outcomes {
		p.Module.Elsewhere(o.Node, o.Ver, o.Op, o.Outcome, o.TookMs, o.ShortLimit, o.Report)
	}
}

// Listed and Staged keep which builds are on trial.
func (p *Shard) Listed(whole bool, list []balance.Node) {
	if whole {
		clear(p.nodes)
	}
	for _, n := range list {
		if p.nodes[n.ID] = n; n.Health == balance.Gone {
			delete(p.nodes, n.ID)
		}
	}
	p.Module.Listed(whole, list)
	p.sort()
}

func (p *Shard) Staged(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	p.Module.Staged(ver, stage, phase, cap, age, reply)
	p.sort()
}

// sort asks the module which of the builds that serve are on trial.
func (p *Shard) sort() {
	p.trials = p.trials[:0]
	for _, n := range p.nodes {
		if n.Health == balance.Serving && !slices.Contains(p.trials, n.Ver) && p.Module.OnTrial(n.Ver) {
			p.trials = append(p.trials, n.Ver)
		}
	}
	slices.Sort(p.trials)
}

// Woke beats, tells and draws for what is held.
func (p *Shard) Woke(handle int64) {
	if handle != wakeTick {
		for op := range p.took {
			p.ready(op)
		}
		p.Module.Woke(handle)
		return
	}
	p.Host.Wake(tick, wakeTick)
	p.beat()
	p.tell()
	p.share()
	for s, l := range p.leases { // in any order: each is given back for itself
		if l.open && p.account.Invalid(l.Lease) {
			p.settle(s, l)
		}
		if !l.open && !slices.Contains(p.trials, s.Ver) {
			delete(p.leases, s)
		}
	}
}

func (p *Shard) beat() {
	if chairs := p.account.Heartbeat(p.instance); chairs != p.chairs {
		p.chairs = chairs
		p.Module.Chair(chairs)
	}
}

// Vote passes on what the account allows; else it is as though it had never left.
func (p *Shard) Vote(ver, stage int, verdict balance.Verdict) {
	if p.account.StartVote(p.instance) {
		p.Host.Vote(ver, stage, verdict)
		return
	}
	p.Module.VoteFailed(balance.Ignored)
}

// Tell passes on what the chair tells the other marshals: each instance has counted the same.
func (p *Shard) Tell(peer int, text string) {
	if p.chairs {
		p.Host.Tell(peer, text)
	}
}

// Watch passes on one instance's wish for all.
func (p *Shard) Watch(on bool) {
	if p.account.SetWatching(on) {
		p.Host.Watch(on)
	}
}
