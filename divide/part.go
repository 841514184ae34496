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
	SetLease(ver, op, left int, until float64)
	SetCoordinator(votes bool)
	SiblingDispatchEnded(node uint32, ver, op int, how balance.Outcome, took float64, short bool, report map[string]float64)
}

// Outcome is one dispatch's, as the other instances are told of it.
type Outcome struct {
	Node    uint32
	Ver, Op int
	How     balance.Outcome
	Took    float64
	Short   bool // its time limit was under the SLO time
	Report  map[string]float64
}

// Others are the other instances.
type Others interface {
	Share(to int, outcomes []Outcome) // by and by; the slice is not changed any more
}

// Part is one instance's end of the account: the Host that the module gets and the Module that the marshal calls. All
// its methods are called on the instance's own loop.
type Part struct {
	balance.Host
	Module
	account  *Account
	others   Others
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
	seen    []Outcome
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

// NewPart stands between a host and the module that Before is given.
func NewPart(a *Account, instance, instances int, h balance.Host, others Others, set balance.Settings) *Part {
	p := &Part{Host: h, account: a, others: others, instance: instance, members: instances, life: a.Join(instance),
		nodes: map[uint32]balance.Node{}, leases: map[Scope]*lease{}, invs: map[string]*invocation{}, chairs: true}
	ops, _ := set["operations"].([]balance.Settings)
	for _, o := range ops {
		slo, _ := o["slo-ms"].(float64)
		p.slo = append(p.slo, slo)
	}
	p.took = make([]int, len(p.slo))
	return p
}

// Before gives the module that the part stands before.
func (p *Part) Before(m Module) *Part {
	p.Module = m
	p.beat()
	p.Host.SetTimer(tick, wakeTick)
	return p
}

// InvocationArrived counts an invocation as taken and sees to it that the module has a lease on what it may want to expose.
func (p *Part) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
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
	p.Module.InvocationArrived(id, op, tenant, key, budget, cost, retry, write)
}

// ready draws on the account for what the module has no lease on.
func (p *Part) ready(op int) {
	for _, ver := range p.trials {
		s := p.account.Scope(ver, op)
		l := p.leases[s]
		if l == nil {
			l = &lease{}
			p.leases[s] = l
		}
		if l.open && l.spent < l.N && !p.account.Void(l.Lease) {
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
		l.open = l.N > 0
		if !l.open {
			l.ask = now + askAgain
		}
		p.Module.SetLease(s.Ver, s.Op, l.N, l.Until)
	}
}

func (p *Part) settle(s Scope, l *lease) {
	p.account.Settle(p.instance, p.life, s, l.spent)
	l.open = false
	p.Module.SetLease(s.Ver, s.Op, 0, 0)
}

// tell brings what was taken to the account.
func (p *Part) tell() {
	for op, n := range p.took {
		if n > 0 {
			p.account.Took(op, n, p.since)
			p.took[op] = 0
		}
	}
}

// Dispatch notes what is exposed. What would be exposed by a lease that ran out meanwhile, as this instance stood
// still, is given no time, so that it is never sent.
func (p *Part) Dispatch(id string, node uint32, within float64) {
	ver := p.nodes[node].Ver
	inv := p.invs[id]
	if inv == nil {
		p.Host.Dispatch(id, node, within)
		return
	}
	inv.node, inv.ver, inv.short, inv.out = node, ver, within < p.slo[inv.op], true
	if slices.Contains(p.trials, ver) {
		l := p.leases[p.account.Scope(ver, inv.op)]
		if l == nil || !l.open || l.spent >= l.N || p.account.Void(l.Lease) {
			within = 0
		} else {
			l.spent++
		}
	}
	p.Host.Dispatch(id, node, within)
}

// DispatchEnded keeps an outcome for the others. A repeat may want a lease.
func (p *Part) DispatchEnded(id string, no int, node uint32, how balance.Outcome, took float64, done bool,
	report map[string]float64) {
	inv := p.invs[id]
	if inv != nil {
		inv.out = false
		inv.over = inv.over || done
		if how != balance.Ignored {
			p.seen = append(p.seen, Outcome{inv.node, inv.ver, inv.op, how, took, inv.short, report})
		}
		if !inv.over && how != balance.Succeeded {
			p.ready(inv.op)
		}
	}
	p.Module.DispatchEnded(id, no, node, how, took, done, report)
	p.forget(id)
	if len(p.seen) >= batch {
		p.share()
	}
}

func (p *Part) forget(id string) {
	if inv := p.invs[id]; inv != nil && inv.over && !inv.out {
		delete(p.invs, id)
		p.free = append(p.free, inv)
	}
}

func (p *Part) over(id string) {
	if inv := p.invs[id]; inv != nil {
		inv.over = true
		p.forget(id)
	}
}

// ClientTimedOut and the two after it end an invocation that nothing of is out.
func (p *Part) ClientTimedOut(id string) {
	p.Module.ClientTimedOut(id)
	p.over(id)
}

func (p *Part) Throttle(id string, comeBack float64) {
	p.Host.Throttle(id, comeBack)
	p.over(id)
}

func (p *Part) Terminate(id string) {
	p.Host.Terminate(id)
	p.over(id)
}

// share tells the others what this instance has seen; what stands still is not told: it would be late news.
func (p *Part) share() {
	if len(p.seen) == 0 {
		return
	}
	outcomes := p.seen
	p.seen = make([]Outcome, 0, batch)
	for i := range p.members {
		if i != p.instance && p.account.Lives(i) {
			p.others.Share(i, outcomes)
		}
	}
}

// Heard brings what another instance has seen.
func (p *Part) Heard(outcomes []Outcome) {
	for _, o := range outcomes {
		p.Module.SiblingDispatchEnded(o.Node, o.Ver, o.Op, o.How, o.Took, o.Short, o.Report)
	}
}

// NodesListed and StageUpdate keep which builds are on trial.
func (p *Part) NodesListed(whole bool, list []balance.Node) {
	if whole {
		clear(p.nodes)
	}
	for _, n := range list {
		if p.nodes[n.ID] = n; n.Health == balance.Gone {
			delete(p.nodes, n.ID)
		}
	}
	p.Module.NodesListed(whole, list)
	p.sort()
}

func (p *Part) StageUpdate(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	p.Module.StageUpdate(ver, stage, phase, cap, age, reply)
	p.sort()
}

// sort asks the module which of the builds that serve are on trial.
func (p *Part) sort() {
	p.trials = p.trials[:0]
	for _, n := range p.nodes {
		if n.Health == balance.Serving && !slices.Contains(p.trials, n.Ver) && p.Module.OnTrial(n.Ver) {
			p.trials = append(p.trials, n.Ver)
		}
	}
	slices.Sort(p.trials)
}

// TimerFired beats, tells and draws for what is held.
func (p *Part) TimerFired(handle int64) {
	if handle != wakeTick {
		for op := range p.took {
			p.ready(op)
		}
		p.Module.TimerFired(handle)
		return
	}
	p.Host.SetTimer(tick, wakeTick)
	p.beat()
	p.tell()
	p.share()
	for s, l := range p.leases { // in any order: each is given back for itself
		if l.open && p.account.Void(l.Lease) {
			p.settle(s, l)
		}
		if !l.open && !slices.Contains(p.trials, s.Ver) {
			delete(p.leases, s)
		}
	}
}

func (p *Part) beat() {
	if chairs := p.account.Beat(p.instance); chairs != p.chairs {
		p.chairs = chairs
		p.Module.SetCoordinator(chairs)
	}
}

// Vote passes on what the account allows; else it is as though it had never left.
func (p *Part) Vote(ver, stage int, verdict balance.Verdict) {
	if p.account.Vote(p.instance) {
		p.Host.Vote(ver, stage, verdict)
		return
	}
	p.Module.VoteFailed(balance.Ignored)
}

// SendToPeer passes on what the chair tells the other marshals: each instance has counted the same.
func (p *Part) SendToPeer(peer int, text string) {
	if p.chairs {
		p.Host.SendToPeer(peer, text)
	}
}

// WatchNodes passes on one instance's wish for all.
func (p *Part) WatchNodes(on bool) {
	if p.account.Watch(on) {
		p.Host.WatchNodes(on)
	}
}
