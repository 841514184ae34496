package divide

import (
	"slices"

	"arrowcleat/balance"
)

const (
	tickIntervalMs = 20.0 // between two reports of a shard
	drawRetryMs    = 5.0  // until the next draw after one that gave no lease
	maxOutcomes    = 64   // that wait to be shared
)

// Module is the instance of the decision module that a shard belongs to: balance.Balancer's methods.
type Module interface {
	balance.Module
	OnTrial(ver int) bool
	SetLease(ver, op, remaining int, untilMs float64)
	SetCoordinator(isCoordinator bool)
	SiblingDispatchEnded(node uint32, ver, op int, outcome balance.Outcome, tookMs float64, shortLimit bool,
		report map[string]float64)
}

// DispatchOutcome is how one dispatch ended, as the instances report it to each other.
type DispatchOutcome struct {
	Node       uint32
	Ver, Op    int
	Outcome    balance.Outcome
	TookMs     float64
	ShortLimit bool // its time limit was under the SLO time
	Report     map[string]float64
}

// Siblings are the other instances of the marshal.
type Siblings interface {
	ShareOutcomes(to int, outcomes []DispatchOutcome) // asynchronously; the slice is not changed afterwards
}

// Shard is one instance's part in the account. It is the Host of the instance's module and the Module of the marshal,
// and passes calls on in both directions. All its methods are called on the instance's own event loop.
type Shard struct {
	balance.Host
	Module
	account     *Account
	siblings    Siblings
	instance    int
	incarnation int
	sloMs       []float64 // by operation

	nodes         map[uint32]balance.Node
	trialBuilds   []int // in ascending order
	leases        map[Scope]*lease
	accepted      []int   // invocations not yet reported, by operation
	acceptedSince float64 // when the first of them arrived
	invocations   map[string]*invocation
	reusable      []*invocation // finished ones, kept to save allocations
	outcomes      []DispatchOutcome
	isCoordinator bool
	instances     int
}

// lease is what the shard knows of its lease on a scope.
type lease struct {
	Lease
	exposed     int     // under it
	nextDrawMs  float64 // no draw before this time
	outstanding bool    // drawn and not settled
}

// invocation is one that is open.
type invocation struct {
	op         int
	node       uint32 // of the last dispatch
	ver        int    // the build that node ran
	shortLimit bool
	inFlight   bool // a dispatch
	answered   bool // it has its final answer
}

// tickHandle is the handle of the shard's own timer. Those of the module are not negative.
const tickHandle = -1

// NewShard makes the shard of an instance. Attach gives it its module.
func NewShard(a *Account, instance, instances int, h balance.Host, siblings Siblings, set balance.Settings) *Shard {
	s := &Shard{Host: h, account: a, siblings: siblings, instance: instance, instances: instances, incarnation: a.Join(instance),
		nodes: map[uint32]balance.Node{}, leases: map[Scope]*lease{}, invocations: map[string]*invocation{}, isCoordinator: true}
	ops, _ := set["operations"].([]balance.Settings)
	for _, o := range ops {
		slo, _ := o["slo-ms"].(float64)
		s.sloMs = append(s.sloMs, slo)
	}
	s.accepted = make([]int, len(s.sloMs))
	return s
}

// Attach sets the module that the shard belongs to, and starts the shard's timer.
func (s *Shard) Attach(m Module) *Shard {
	s.Module = m
	s.heartbeat()
	s.Host.SetTimer(tickIntervalMs, tickHandle)
	return s
}

// InvocationArrived counts an invocation as accepted and draws the leases that the module may need for it.
func (s *Shard) InvocationArrived(id string, op, tenant int, key string, budgetMs, cost float64,
	isRetry, isWrite bool) {
	if !slices.ContainsFunc(s.accepted, func(n int) bool { return n > 0 }) {
		s.acceptedSince = s.Host.Now()
	}
	s.accepted[op]++
	inv := &invocation{}
	if last := len(s.reusable) - 1; last >= 0 {
		inv, s.reusable = s.reusable[last], s.reusable[:last]
	}
	*inv = invocation{op: op}
	s.invocations[id] = inv
	s.ensureLeases(op)
	s.Module.InvocationArrived(id, op, tenant, key, budgetMs, cost, isRetry, isWrite)
}

// ensureLeases draws a lease on each trial build for which the module has no usable one.
func (s *Shard) ensureLeases(op int) {
	for _, ver := range s.trialBuilds {
		scope := s.account.Scope(ver, op)
		l := s.leases[scope]
		if l == nil {
			l = &lease{}
			s.leases[scope] = l
		}
		if l.outstanding && l.exposed < l.Size && !s.account.Invalid(l.Lease) {
			continue
		}
		if l.outstanding {
			s.settle(scope, l)
		}
		now := s.Host.Now()
		if now < l.nextDrawMs {
			continue
		}
		s.reportAccepted()
		l.Lease, l.exposed = s.account.Draw(s.instance, s.incarnation, scope), 0
		l.outstanding = l.Size > 0
		if !l.outstanding {
			l.nextDrawMs = now + drawRetryMs
		}
		s.Module.SetLease(scope.Ver, scope.Op, l.Size, l.UntilMs)
	}
}

// settle returns a lease to the account and notifies the module that it has none.
func (s *Shard) settle(scope Scope, l *lease) {
	s.account.Settle(s.instance, s.incarnation, scope, l.exposed)
	l.outstanding = false
	s.Module.SetLease(scope.Ver, scope.Op, 0, 0)
}

// reportAccepted adds the accepted invocations to the account.
func (s *Shard) reportAccepted() {
	for op, n := range s.accepted {
		if n > 0 {
			s.account.RecordAccepted(op, n, s.acceptedSince)
			s.accepted[op] = 0
		}
	}
}

// Dispatch counts exposures. An exposure without a valid lease, for example because the lease expired while this
// instance was stalled, is given a time limit of 0, so that it is never sent.
func (s *Shard) Dispatch(id string, node uint32, timeLimitMs float64) {
	ver := s.nodes[node].Ver
	inv := s.invocations[id]
	if inv == nil {
		s.Host.Dispatch(id, node, timeLimitMs)
		return
	}
	inv.node, inv.ver, inv.shortLimit, inv.inFlight = node, ver, timeLimitMs < s.sloMs[inv.op], true
	if slices.Contains(s.trialBuilds, ver) {
		l := s.leases[s.account.Scope(ver, inv.op)]
		if l == nil || !l.outstanding || l.exposed >= l.Size || s.account.Invalid(l.Lease) {
			timeLimitMs = 0
		} else {
			l.exposed++
		}
	}
	s.Host.Dispatch(id, node, timeLimitMs)
}

// DispatchEnded keeps the outcome for the other instances. Unless the invocation is answered, it draws leases for a repeat.
func (s *Shard) DispatchEnded(id string, no int, node uint32, outcome balance.Outcome, tookMs float64, answered bool,
	report map[string]float64) {
	inv := s.invocations[id]
	if inv != nil {
		inv.inFlight = false
		inv.answered = inv.answered || answered
		if outcome != balance.Ignored {
			s.outcomes = append(s.outcomes, DispatchOutcome{inv.node, inv.ver, inv.op, outcome, tookMs, inv.shortLimit, report})
		}
		if !inv.answered && outcome != balance.Succeeded {
			s.ensureLeases(inv.op)
		}
	}
	s.Module.DispatchEnded(id, no, node, outcome, tookMs, answered, report)
	s.deleteIfDone(id)
	if len(s.outcomes) >= maxOutcomes {
		s.shareOutcomes()
	}
}

// deleteIfDone deletes an invocation that has its answer and no dispatch in flight.
func (s *Shard) deleteIfDone(id string) {
	if inv := s.invocations[id]; inv != nil && inv.answered && !inv.inFlight {
		delete(s.invocations, id)
		s.reusable = append(s.reusable, inv)
	}
}

func (s *Shard) setAnswered(id string) {
	if inv := s.invocations[id]; inv != nil {
		inv.answered = true
		s.deleteIfDone(id)
	}
}

// ClientTimedOut notes that the invocation needs no answer any more.
func (s *Shard) ClientTimedOut(id string) {
	s.Module.ClientTimedOut(id)
	s.setAnswered(id)
}

// Throttle notes that the invocation has its final answer.
func (s *Shard) Throttle(id string, retryAfterMs float64) {
	s.Host.Throttle(id, retryAfterMs)
	s.setAnswered(id)
}

// Terminate notes that the invocation has its final answer.
func (s *Shard) Terminate(id string) {
	s.Host.Terminate(id)
	s.setAnswered(id)
}

// shareOutcomes sends the collected outcomes to the other instances. Stalled ones are left out: they would receive them
// too late.
func (s *Shard) shareOutcomes() {
	if len(s.outcomes) == 0 {
		return
	}
	outcomes := s.outcomes
	s.outcomes = make([]DispatchOutcome, 0, maxOutcomes)
	for i := range s.instances {
		if i != s.instance && s.account.Alive(i) {
			s.siblings.ShareOutcomes(i, outcomes)
		}
	}
}

// ReceiveOutcomes passes the outcomes of another instance's dispatches to the module.
func (s *Shard) ReceiveOutcomes(outcomes []DispatchOutcome) {
	for _, o := range outcomes {
		s.Module.SiblingDispatchEnded(o.Node, o.Ver, o.Op, o.Outcome, o.TookMs, o.ShortLimit, o.Report)
	}
}

// NodesListed keeps the node list and updates which builds are on trial.
func (s *Shard) NodesListed(complete bool, list []balance.Node) {
	if complete {
		clear(s.nodes)
	}
	for _, n := range list {
		if s.nodes[n.ID] = n; n.Health == balance.Gone {
			delete(s.nodes, n.ID)
		}
	}
	s.Module.NodesListed(complete, list)
	s.updateTrialBuilds()
}

// StageUpdate updates which builds are on trial.
func (s *Shard) StageUpdate(ver, stage int, phase balance.Phase, cap, ageMs float64, isVoteReply bool) {
	s.Module.StageUpdate(ver, stage, phase, cap, ageMs, isVoteReply)
	s.updateTrialBuilds()
}

// updateTrialBuilds asks the module which builds of serving nodes are on trial.
func (s *Shard) updateTrialBuilds() {
	s.trialBuilds = s.trialBuilds[:0]
	for _, n := range s.nodes {
		if n.Health == balance.Serving && !slices.Contains(s.trialBuilds, n.Ver) && s.Module.OnTrial(n.Ver) {
			s.trialBuilds = append(s.trialBuilds, n.Ver)
		}
	}
	slices.Sort(s.trialBuilds)
}

// TimerFired handles a timer. Before one of the module's, it draws leases, as the module may dispatch waiting invocations.
// On its own, it sends a heartbeat, reports accepted invocations and outcomes, and settles leases that became invalid.
func (s *Shard) TimerFired(handle int64) {
	if handle != tickHandle {
		for op := range s.accepted {
			s.ensureLeases(op)
		}
		s.Module.TimerFired(handle)
		return
	}
	s.Host.SetTimer(tickIntervalMs, tickHandle)
	s.heartbeat()
	s.reportAccepted()
	s.shareOutcomes()
	for scope, l := range s.leases { // the order doesn't matter: each lease is settled on its own
		if l.outstanding && s.account.Invalid(l.Lease) {
			s.settle(scope, l)
		}
		if !l.outstanding && !slices.Contains(s.trialBuilds, scope.Ver) {
			delete(s.leases, scope)
		}
	}
}

// heartbeat sends a heartbeat and notifies the module when this instance becomes the coordinator or ceases to be it.
func (s *Shard) heartbeat() {
	if isCoordinator := s.account.Heartbeat(s.instance); isCoordinator != s.isCoordinator {
		s.isCoordinator = isCoordinator
		s.Module.SetCoordinator(isCoordinator)
	}
}

// Vote sends a vote that the account allows. To the module, any other vote has failed without being sent.
func (s *Shard) Vote(ver, stage int, verdict balance.Verdict) {
	if s.account.StartVote(s.instance) {
		s.Host.Vote(ver, stage, verdict)
		return
	}
	s.Module.VoteFailed(balance.Ignored)
}

// SendToPeer sends the coordinator's messages to other marshals. Those of the other instances are dropped: all instances have
// counted the same.
func (s *Shard) SendToPeer(peer int, text string) {
	if s.isCoordinator {
		s.Host.SendToPeer(peer, text)
	}
}

// WatchNodes requests or cancels notifications of changes to the node list, once for all instances.
func (s *Shard) WatchNodes(on bool) {
	if s.account.SetWatching(on) {
		s.Host.WatchNodes(on)
	}
}
