// Package balance makes the decisions of one marshal: which node each invocation is dispatched to, when it is
// repeated, throttled or terminated, and how the marshal votes on the trial build.
//
// A Balancer is called from one goroutine, once for each event (its exported methods), and acts by calling its Host.
// The Host interface and the plain types are in host.go, the state is in state.go. The design, Posterior Bayesian
// Routing, is described in docs/design.md, the settings in docs/settings.md.
package balance

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	intervalMs            = 500.0   // interval at which the trial share is set and the trial build is judged
	feasibilityDraws      = 100     // draws from the posteriors in each interval
	verdictDraws          = 400     // draws from the posteriors for a verdict
	confidence            = 0.95    // probability required for a verdict
	minVerdictOutcomes    = 10.0    // outcomes of the trial build required before it is judged
	priorWeight           = 10.0    // weight of the baseline's success rate in the trial build's prior, in outcomes
	maxLatencyRatio       = 1.15    // trial latency over baseline latency up to which a build keeps up
	advanceMargin         = 0.01    // success rate a build may trail the baseline by and still advance
	rollBackMargin        = 0.02    // success rate a build must trail the baseline by to be rolled back
	blindVoteMs           = 4000.0  // time in a stage without a verdict after which the marshal votes to advance
	readyAgeMs            = 5000.0  // time since its start after which a node's outcomes count as evidence
	timeMarginMs          = 10.0    // margin kept before a client's deadline and at the ends of the exposure window
	minInFlightLimit      = 3.0     // dispatches in flight that are never too many
	inFlightMultiple      = 1.5     // limit of dispatches in flight, as a multiple of the usual number
	outlierMargin         = 0.3     // failure rate above the median that makes a node an outlier
	rejectedPauseMs       = 100.0   // pause for a node that rejected a dispatch
	spillLoadRatio        = 2.0     // load of a trial node over a baseline node's at which the baseline node is used
	reportLagMs           = 3000.0  // time that a node's load report may lag behind
	rollBackWorkRatio     = 1.7     // work over the baseline's at which a build is rolled back
	degradedMissRate      = 0.25    // rate of missed SLO times above the usual that counts as degradation
	degradedRollBackMs    = 12000.0 // degradation under a build after which it is rolled back
	unresponsiveLatencies = 7.0     // mean latencies without an answer after which one dispatch marks its node unresponsive
	initialLatencyDivisor = 4.0     // the latency is taken as the SLO time over this before any is known
	overloadFactor        = 1.2     // invocations accepted for each one answered in time before some are rejected
	crossingGain          = 2.0     // share of traffic that crosses zones for each unit of on-time share gained there
	slowFleetRatio        = 2.0     // mean latency of the fleet over the usual from which the fleet counts as slow
	peerReportMs          = 2000.0  // interval between messages to the peers
	checkMs               = 100.0   // interval of the check for unresponsive nodes; a late check reveals a stall
	connectFailureLimit   = 0.15    // rate of connect failures from which known connections are preferred
	marshalsPerVote       = 10.0    // marshals for each vote needed up to which each marshal decides on its own
	worthSpread           = 0.45    // part of the in-flight limit that depends on the worth of the operation
	goneNodeMs            = 60000.0 // time after which a node that is gone is forgotten
	nodeTimeShare         = 0.5     // share of the SLO time that may be spent queueing and working at a node
	throughputDropRatio   = 0.6     // throughput over the usual below which it counts as a drop
	dropsToRollBack       = 3.0     // consecutive intervals with a drop after which a build is rolled back
)

// New creates a Balancer, subscribes to the node list where the settings ask for it and sets the first timers.
func New(h Host, settings Settings, seed uint64) *Balancer {
	b := newBalancer(h, settings, seed)
	for op := range b.ops { // until latencies are known
		b.recentLatency[op], b.latencySamples[op] = b.sloOf(op)/initialLatencyDivisor, 1
	}
	if settings.text("discovery", "subscribe") == "subscribe" {
		h.WatchNodes(true)
	}
	h.SetTimer(intervalMs, timerInterval)
	h.SetTimer(checkMs, timerCheck)
	return b
}

// NodeListFailed reports that a fetch of the node list failed or that a watch has ended; it doesn't say which.
func (b *Balancer) NodeListFailed() {
	if !b.watchRetryPending {
		b.watchRetryPending = true
		b.host.SetTimer(1000+2000*b.rng.Float64(), timerWatch)
	}
}

// StageUpdate reports the stage and phase of the newest build. isVoteReply is set if it answers this instance's vote.
func (b *Balancer) StageUpdate(ver, stage int, phase Phase, cap, ageMs float64, isVoteReply bool) {
	now := b.host.Now()
	if isVoteReply {
		b.voteInFlight = false
		b.voteExpires = now + b.settings.number("rollout.vote-ttl-ms", 0)*0.9
	}
	if ver < b.newestVer {
		return
	}
	if ver > b.newestVer || !b.announced {
		b.resetNewest(ver, now)
	}
	if phase != OnTrial && phase != Released {
		// Keys that a later build has answered stay bound to it.
		maps.DeleteFunc(b.minVerByKey, func(_ uint64, keyVer int) bool { return keyVer <= ver })
		if b.minVer <= ver {
			b.minVer = 0
		}
	}
	b.newestVer, b.stage, b.phase, b.cap, b.announced = ver, stage, phase, cap, true
	b.stageStarted, b.index.stale = now-ageMs, true
}

// VoteFailed reports the outcome of a vote that was not answered.
func (b *Balancer) VoteFailed(outcome Outcome) {
	b.voteInFlight = false
	if outcome == TimedOut { // the vote may have been counted, so it is assumed to stand for a while
		b.voteExpires = b.host.Now() + b.settings.number("rollout.vote-ttl-ms", 0)/2
		return
	}
	b.vote, b.nextVoteAt = NoVote, b.host.Now()+1000
}

// InvocationArrived accepts an invocation, which from now on must get exactly one final answer within budgetMs.
func (b *Balancer) InvocationArrived(id string, op, tenant int, key string, budgetMs, cost float64,
	isRetry, isWrite bool) {
	now := b.host.Now()
	inv := &invocation{id: id, op: op, tenant: tenant, key: key, arrivedAt: now, deadline: now + budgetMs, cost: cost}
	b.recordArrival(inv)
	inv.overflow = b.isOverloaded(inv)
	b.route(inv)
}

// route chooses the build and the node of an invocation and dispatches it. No other dispatch of the invocation is in
// flight: concurrent copies are not used.
func (b *Balancer) route(inv *invocation) {
	now, remaining := b.host.Now(), inv.deadline-b.host.Now()
	if remaining <= timeMarginMs || len(inv.dispatches) >= b.cfg.maxTries {
		b.abandon(inv)
		return
	}
	// Candidates are limited by the node list, the repeat rules, the budgets of nodes warming up and the cap.
	trial, baseline, indexed := b.indexedCandidates(inv, now)
	if !indexed {
		trial.nodes, baseline.nodes = b.scratch[0][:0], b.scratch[1][:0]
		minVer, lastVer, isTrial, mayExpose := b.minVerOf(inv.key), -1, false, false
		for _, n := range b.nodesByID {
			if n.Health != Serving || n.Ver < minVer || now < n.avoidUntil || !b.mayRepeatOn(inv, n, now) ||
				b.warmUpBudgetSpent(n, now) {
				continue
			}
			if n.Ver != lastVer { // most nodes run the same build as the node before them
				lastVer, isTrial = n.Ver, b.isOnTrial(n.Ver)
				mayExpose = isTrial && b.mayExpose(n.Ver, inv.op, now)
			}
			if isTrial {
				if mayExpose {
					trial.nodes = append(trial.nodes, n)
				}
			} else {
				baseline.nodes = append(baseline.nodes, n)
			}
		}
		b.scratch[0], b.scratch[1] = trial.nodes, baseline.nodes
	}
	// Overflow may be sent to an idle trial node; one of many marshals can't tell whether a node is idle. This guards
	// against overload under a bad build in which everything that could speak for the next build is throttled. It may
	// add to the harm.
	first := len(inv.dispatches) == 0
	if first && inv.overflow && (b.manyMarshals() || trial.size() == 0 || b.chooseNode(trial, now).inFlight > 0) {
		b.abandon(inv)
		return
	}
	from := baseline
	if trial.size() > 0 && (baseline.size() == 0 || first && (inv.overflow || b.trialDraw(inv) < b.trialShare)) {
		from = trial
	}
	if from.size() == 0 {
		b.enqueue(inv, now)
		return
	}
	if untried := excludeTried(from.nodes, inv); len(untried) > 0 {
		from.nodes = untried
	}
	n := b.chooseNode(from, now)
	if trial.size() > 0 && b.isEjected(n, now) { // the remaining nodes of the baseline may all be unreachable
		n = b.chooseNode(trial, now)
	}
	if b.isOnTrial(n.Ver) && baseline.size() > 0 { // a busy trial node is evidence on the share, not on the build
		if alternative := b.chooseNode(baseline, now); b.load(n, now) > spillLoadRatio*b.load(alternative, now)+1 &&
			!b.isEjected(alternative, now) {
			n = alternative
		}
	}
	if b.isOutlier(n) {
		n.retryAt = now + n.ejectionMs
	}
	b.recordDispatch(inv, dispatch{node: n, ver: n.Ver, sentAt: now, recentlyStarted: b.isRecentlyStarted(n, now),
		shortLimit: remaining < b.sloOf(inv.op)})
	b.host.Dispatch(inv.id, n.ID, remaining)
}

// trialDraw returns the number in [0, 1) that is compared with the trial share. It is random, or a hash of the key
// where keys only move forward, so that always the same keys go to the trial build. It is -1 for a key that may
// only go to the newest build.
func (b *Balancer) trialDraw(inv *invocation) float64 {
	if inv.key == "" || !b.cfg.forwardOnly {
		return b.rng.Float64()
	}
	if b.minVerOf(inv.key) >= b.newestVer {
		return -1
	}
	return hashToUnit(inv.key)
}

// mayRepeatOn reports whether an invocation with no dispatch in flight may be sent to a node without the risk of a
// second effect.
func (b *Balancer) mayRepeatOn(inv *invocation, n *node, now float64) bool {
	op := &b.ops[inv.op]
	for _, d := range inv.dispatches {
		if d.mayHaveRun && op.repeatPolicy != "idempotent" && (op.repeatPolicy != "fingerprinted" ||
			now >= d.sentAt+op.memoryMs || !n.sharesRepeatGroup(d.node, op.repeatGroup)) {
			return false
		}
	}
	return true
}

// isOnTrial reports whether a build is on trial for this instance.
func (b *Balancer) isOnTrial(ver int) bool {
	if !b.announced { // before the first stage update any listed build but the oldest may be on trial
		return b.countServing(func(n *node) bool { return n.Ver < ver }) > 0
	}
	return ver > b.newestVer || ver == b.newestVer && b.phase != Released
}

// sharesRepeatGroup reports whether two nodes drop repeats of each other's invocations.
func (n *node) sharesRepeatGroup(o *node, group string) bool {
	return group == "all" || group == "zone" && n.Zone == o.Zone ||
		group == "cell" && n.Zone == o.Zone && n.Cell == o.Cell
}

// mayExpose reports whether the rule on exposure allows one more dispatch of an operation to a trial build.
func (b *Balancer) mayExpose(ver, op int, now float64) bool {
	stage, cap := b.stage, b.cap
	if ver != b.newestVer || !b.announced {
		stage, cap = 0, b.cfg.firstStageCap
	}
	if cap <= 0 || float64(stage) < b.cfg.shieldedStages && b.ops[op].repeatPolicy != "idempotent" {
		return false
	}
	windowMs, scope := b.cfg.exposureWindowMs, b.exposureScope(op)
	if b.cfg.instances > 1 { // the rule limits the marshal as a whole: its instances draw leases on the allowance
		l := b.leases[exposureKey{ver, scope}]
		return l.remaining > 0 && now < l.expires
	}
	allowance := b.cfg.exposureAllowance
	if now-b.startedAt < windowMs { // a previous instance may have used up the allowance
		allowance = 0
	}
	used := b.exposureSum(ver, scope).sumSince(now - windowMs - timeMarginMs)
	return used+1 <= allowance+cap*b.acceptedSum(scope).sumSince(now-windowMs+timeMarginMs)
}

// capacityShare is the share of its capacity that a node has while it warms up, 1 once it is warm.
func (b *Balancer) capacityShare(n *node, now float64) float64 {
	if n.Started <= 0 || now-n.Started > 2*b.cfg.warmUpMs {
		return 1
	}
	initial := b.cfg.initialCapacityShare
	return min(1, initial+(1-initial)*max(0, now-n.Started)/b.cfg.warmUpMs)
}

// isRecentlyStarted reports whether a node started too recently for its outcomes to count as evidence.
func (b *Balancer) isRecentlyStarted(n *node, now float64) bool {
	return n.Started > 0 && now-n.Started < readyAgeMs
}

// warmUpBudgetSpent protects a node that is warming up from overload. The work this marshal sends it stays below the
// rule's multiple of the work a warm node does for this marshal, so that all marshals together stay below it too. A
// budget of less than one invocation is rounded by a random draw for each node: if hundreds of marshals all rounded
// up, the node would be overloaded, and if all rounded down it would get nothing.
func (b *Balancer) warmUpBudgetSpent(n *node, now float64) bool {
	share := b.capacityShare(n, now)
	if share >= 1 {
		return false
	}
	windowMs := b.cfg.warmUpWindowMs
	budget := 0.85 * b.cfg.warmUpWorkMultiple * share * windowMs * b.warmNodeRate
	// The mean cost is used because with the invocation's own cost light invocations would fill up the budget.
	return n.warmUpWork.sumSince(now-windowMs)+n.warmUpRounding*b.meanCost > budget
}

// chooseNode draws two random nodes among the healthy and near candidates and returns the less loaded one.
func (b *Balancer) chooseNode(from candidates, now float64) *node {
	from = b.preferOwnZone(b.preferConnected(b.excludeOutliers(from, now), now), now)
	i, j := b.rng.IntN(from.size()), b.rng.IntN(from.size())
	if i == j {
		j = (j + 1) % from.size()
	}
	n, m := from.at(i), from.at(j)
	if b.load(m, now) < b.load(n, now) {
		return m
	}
	return n
}

// preferConnected limits the candidates to nodes with a live connection and fewer than two dispatches in flight once
// new connections fail often. This guards against nodes that accept few connections and against slow handshakes. It
// may hurt where nodes are lost while others join.
func (b *Balancer) preferConnected(from candidates, now float64) candidates {
	connectedSince := max(0, now-b.cfg.connIdleMs)
	if b.connectFailureRate >= connectFailureLimit {
		connected := b.filterNodes(3, from.nodes, func(n *node) bool {
			return n.connectedAt > connectedSince && n.inFlight < 2
		})
		if len(connected) > 0 {
			return candidates{nodes: connected}
		}
	}
	return from
}

// load is the number of dispatches in flight at a node over its size, reduced while it warms up.
func (b *Balancer) load(n *node, now float64) float64 {
	return float64(n.inFlight) / max(n.Size*b.capacityShare(n, now), 0.01)
}

// excludeOutliers leaves out nodes that are ejected or unresponsive. It fails open: if less than a third would remain,
// all candidates stay.
func (b *Balancer) excludeOutliers(from candidates, now float64) candidates {
	healthy := b.exclude(2, from, func(n *node) bool { return b.isEjected(n, now) || b.isUnresponsive(n, now) })
	if healthy.size()*3 < from.size() {
		return from
	}
	return healthy
}

// isOutlier reports whether a node's failure rate is far above the fleet's median.
func (b *Balancer) isOutlier(n *node) bool {
	return n.failureRate() > b.medianFailureRate+outlierMargin
}

// isEjected reports whether a node is an outlier whose time for a retry has not come.
func (b *Balancer) isEjected(n *node, now float64) bool { return b.isOutlier(n) && now < n.retryAt }

// isUnresponsive reports whether a live node would have answered something by now: the probability that it has not
// falls with the sum of the waits at it. This guards against condemning live nodes where a marshal has few dispatches
// in flight.
func (b *Balancer) isUnresponsive(n *node, now float64) bool {
	waits := 0.0
	for _, o := range n.dispatches {
		waits += (now - max(n.lastAnswer, o.inv.dispatches[o.attempt].sentAt)) / b.responseTimeout(o.inv.op)
	}
	return waits >= 1
}

// responseTimeout is the time without an answer after which one dispatch marks its node unresponsive.
func (b *Balancer) responseTimeout(op int) float64 {
	return max(b.sloOf(op)/2, unresponsiveLatencies*b.recentLatency[op])
}

// preferOwnZone limits the candidates to the own zone where crossing zones has a price. It doesn't if no local node is
// free. If another zone answers enough more dispatches on time to justify the price, a part of the traffic crosses.
// This guards against shifting traffic, lost nodes and slow links (behind a slow link no other zone looks better). It
// may hurt where a zone is slow briefly.
func (b *Balancer) preferOwnZone(from candidates, now float64) candidates {
	price, ownZone := b.cfg.crossZonePrice, b.cfg.zone
	if price <= 0 {
		return from
	}
	bestZone := ownZone
	for _, z := range b.otherZones(from, ownZone) {
		if bestZone == ownZone || b.onTimeShare(z) > b.onTimeShare(bestZone) {
			bestZone = z
		}
	}
	if gain := b.onTimeShare(bestZone) - b.onTimeShare(ownZone) - price; gain > 0 && b.rng.Float64() < crossingGain*gain {
		return b.inZone(4, from, bestZone)
	}
	local := b.inZone(4, from, ownZone)
	if !b.hasLowLoad(local, now, 2) { // a local load of at most 2 can't exceed the least load by more than 2
		if ownMin, overallMin := b.minLoads(b.expand(5, from), now); ownMin > overallMin+2 {
			return from
		}
	}
	return local
}

// onTimeShare is the recent share of dispatches to a zone that were answered within the SLO time.
func (b *Balancer) onTimeShare(zone int) float64 { return 1 - *b.lateShare(zone) }

// cancelUnresponsive cancels dispatches at unresponsive nodes that may be repeated elsewhere. A time limit would also
// hit dispatches queued at a busy node. This guards against hung, vanished and paused nodes. It may hurt where answers
// take long.
func (b *Balancer) cancelUnresponsive(now float64) {
	for _, n := range b.nodesByID {
		if !b.isUnresponsive(n, now) {
			continue
		}
		for _, o := range slices.Clone(n.dispatches) {
			d := &o.inv.dispatches[o.attempt]
			if !o.inv.finished && now-d.sentAt > b.responseTimeout(o.inv.op)/2 && b.repeatable(o.inv, now) {
				b.host.Cancel(o.inv.id, o.attempt)
				d.noCancel = true
			}
		}
	}
}

// repeatable reports whether the invocation could be sent to some other node now.
func (b *Balancer) repeatable(inv *invocation, now float64) bool {
	return len(inv.dispatches) < b.cfg.maxTries && !inv.dispatches[len(inv.dispatches)-1].noCancel &&
		b.countServing(func(n *node) bool {
			return !b.isUnresponsive(n, now) && !b.isOnTrial(n.Ver) && b.mayRepeatOn(inv, n, now)
		}) > 0
}

// responsiveInFlight counts the nodes that answer and the dispatches in flight at them. Dispatches at other nodes
// don't count because no answer is expected.
func (b *Balancer) responsiveInFlight(now float64) (inFlight, nodes float64) {
	b.refreshIndex(now)
	inFlight, nodes = b.index.inFlight, float64(len(b.index.trial.nodes)+len(b.index.baseline.nodes))
	for _, n := range b.index.irregular {
		if b.isOutlier(n) || b.isUnresponsive(n, now) {
			inFlight -= float64(n.inFlight)
			nodes--
		}
	}
	return inFlight, nodes
}

// isOverloaded reports whether more is in flight than the fleet answers in the time that may be spent at a node
// (Little's law). The usual number in flight is never too much, or slow answers would leave the fleet idle. This
// guards against bursts, lost machines and a fleet that is slow as a whole. It may hurt when half the fleet is gone.
func (b *Balancer) isOverloaded(inv *invocation) bool {
	inFlight, responsive := b.responsiveInFlight(inv.arrivedAt)
	limit := max(minInFlightLimit, b.usualInFlight*inFlightMultiple*responsive, b.answerRate*b.meanSLO*nodeTimeShare)
	worthFactor := 1 + worthSpread*(b.relativeWorth(inv.op)-0.7)
	overloaded := inFlight >= limit*worthFactor && inv.arrivedAt-b.startedAt >= 2*intervalMs
	// With few dispatches in flight the limit tells nothing: then a share is rejected by the recent overload ratio.
	overloaded = overloaded || b.rng.Float64()*worthFactor < min(0.9, 1-overloadFactor*(1-b.overloadRatio))
	b.rejectedInInterval = b.rejectedInInterval || overloaded
	return overloaded
}

// relativeWorth is the worth of an operation for its work, relative to the operation worth most.
func (b *Balancer) relativeWorth(op int) float64 {
	best, own := math.Inf(-1), 0.0
	for o := range b.ops {
		worth := b.ops[o].billedValue
		if !b.cfg.worthByWork {
			worth /= max(b.recentLatency[o], 1)
		}
		best = max(best, worth)
		if o == op {
			own = worth
		}
	}
	return own / max(best, 1e-9)
}

// enqueue queues an invocation that can't be dispatched now. It abandons the invocation if no node may run it, or once
// it can't be answered in time.
func (b *Balancer) enqueue(inv *invocation, now float64) {
	hopeless := len(inv.dispatches) > 0 && b.countServing(func(n *node) bool { return b.mayRepeatOn(inv, n, now) }) == 0
	if hopeless || now >= min(inv.deadline-timeMarginMs, inv.arrivedAt+b.sloOf(inv.op)-b.recentLatency[inv.op]) {
		b.abandon(inv)
		return
	}
	b.queued = append(b.queued, inv)
	if len(b.queued) == 1 {
		b.host.SetTimer(20, timerQueue)
	}
}

// abandon gives the final answer of an invocation that gets no further dispatch: throttled if a repeat by the client is
// harmless, else terminated.
func (b *Balancer) abandon(inv *invocation) {
	op := &b.ops[inv.op]
	safeToRepeat := op.repeatPolicy == "idempotent" || op.repeatPolicy == "fingerprinted" && op.repeatGroup == "all"
	b.finish(inv)
	if last := len(inv.dispatches) - 1; last < 0 || !inv.dispatches[last].failed {
		b.recordMiss(true, last >= 0)
	}
	if safeToRepeat || !inv.mayHaveRun() {
		b.host.Throttle(inv.id, 200)
	} else {
		b.host.Terminate(inv.id)
	}
}

// DispatchEnded reports the outcome of a dispatch. answered is set if its invocation has its final answer.
func (b *Balancer) DispatchEnded(id string, attempt int, _ uint32, outcome Outcome, tookMs float64, answered bool,
	report map[string]float64) {
	inv := b.invocations[id]
	if inv == nil || attempt >= len(inv.dispatches) || !inv.dispatches[attempt].inFlight {
		return
	}
	now := b.host.Now()
	d := b.recordEnd(inv, attempt, outcome, now)
	// Few marshals get enough reports to wait for those of a warm node.
	if b.manyMarshals() || !b.isRecentlyStarted(d.node, now-reportLagMs) {
		d.node.recordReport(report, b.capacityShare(d.node, now-reportLagMs))
	}
	b.recordEvidence(inv, d, outcome, tookMs, now)
	if answered && !inv.finished {
		b.recordMiss(now-inv.arrivedAt > b.sloOf(inv.op) && now-b.lastCheck <= 3*checkMs, true)
	}
	if answered || inv.finished {
		b.finish(inv)
		return
	}
	b.route(inv)
}

// recordEvidence counts an outcome as evidence on its node, its build and the fleet. After a stall of this marshal it
// counts for nothing.
func (b *Balancer) recordEvidence(inv *invocation, d *dispatch, outcome Outcome, tookMs, now float64) {
	n := d.node
	if now-b.lastCheck > 3*checkMs || now == b.lastStall {
		return
	}
	if last := len(inv.dispatches) - 2; last >= 0 && inv.dispatches[last].failed &&
		(outcome == Failed || outcome == Succeeded) {
		updateShare(&b.repeatErrorRate, outcome == Failed, 0.3)
	}
	if outcome == Succeeded || outcome == Failed || outcome == Rejected || outcome == ConnectionReset {
		updateShare(&b.connectFailureRate, false, 0.02)
		n.lastAnswer, n.connectedAt = now, now
	} else if outcome == ConnectFailed {
		updateShare(&b.connectFailureRate, true, 0.1)
		n.connectedAt = 0
	}
	if outcome != Failed && outcome != Ignored && !d.shortLimit {
		updateShare(b.lateShare(n.Zone), outcome != Succeeded || tookMs > b.sloOf(inv.op), 0.05)
	}
	failed := outcome == Failed || outcome == TimedOut && !d.shortLimit || outcome == ConnectionReset
	if failed || outcome == ConnectFailed || outcome == Canceled {
		n.successes, n.failures = n.successes*0.9, n.failures*0.9+1
		// With little traffic a node gets a dispatch only now and then. A shorter ejection would spare it nothing.
		minEjectionMs := max(500, b.countServing(anyNode)*(now-b.startedAt)/max(b.arrivals, 1))
		n.ejectionMs = min(2*n.ejectionMs+minEjectionMs, max(8000, 2*minEjectionMs))
		n.retryAt = now + n.ejectionMs
	} else if outcome == Rejected {
		n.avoidUntil = now + rejectedPauseMs
	} else if outcome == Succeeded {
		n.successes, n.failures, n.ejectionMs = n.successes*0.9+1, n.failures*0.9, n.ejectionMs/2
		b.latencySamples[inv.op]++
		b.recentLatency[inv.op] += (tookMs - b.recentLatency[inv.op]) * max(0.05, 1/b.latencySamples[inv.op])
		if inv.id != "" { // not from another instance: each instance has its part of the budget of a node warming up
			b.completedWork.add(now, b.costOrOne(inv.cost))
		}
	}
	b.recheck(n, now)
	// A node that is warming up is slow, not wrong. Its answers are evidence on success, or a stage would be over
	// before there is any evidence. Time-outs in another zone may be caused by the link.
	otherZone := n.Zone != b.cfg.zone
	if outcome != Succeeded && outcome != Failed && (d.recentlyStarted || otherZone || !failed) {
		return
	}
	// If a node fails far more often than others of its build, the node is at fault, not the build. If most invocations
	// with an error get an error again elsewhere, the invocations are at fault. This may hide a build that breaks one
	// operation once no other build is left.
	if outcome == Failed && b.repeatErrorRate > 0.5 ||
		failed && n.failureRate() > outlierMargin && // saves computing the median, which is never negative
			n.failureRate() > outlierMargin+b.medianFailure(func(o *node) bool { return o.Ver == d.ver }) {
		return
	}
	posteriors := b.posterior(d.ver)
	posteriors[inv.op].record(outcome, tookMs, !d.recentlyStarted)
	posteriors[len(b.ops)].record(outcome, tookMs, !d.recentlyStarted)
}

// TimerFired reports that the timer with this handle fired.
func (b *Balancer) TimerFired(handle int64) {
	switch handle {
	case timerInterval:
		b.host.SetTimer(intervalMs, timerInterval)
		b.throughput, b.answerRate = b.recentEnds.sumSince(b.host.Now()-2*intervalMs),
			b.recentAnswers.sumSince(b.host.Now()-2*intervalMs)/(2*intervalMs)
		// Nodes that are warming up reduce the throughput to be expected.
		minThroughput := throughputDropRatio * b.usualThroughput * b.totalCapacity(b.host.Now(), anyNode) /
			max(b.countServing(anyNode), 1)
		if !b.rejectedInInterval {
			inFlight, responsive := b.responsiveInFlight(b.host.Now())
			b.usualInFlight += (inFlight/max(responsive, 1) - b.usualInFlight) * 0.1
		}
		b.rejectedInInterval = false
		if b.missRate < b.usualMissRate+degradedMissRate {
			b.usualThroughput, b.throughputDrops = b.usualThroughput+(b.throughput-b.usualThroughput)*0.1, 0
		} else if b.throughput < minThroughput && !b.manyMarshals() { // one of many may only be behind a slow link
			b.throughputDrops++
		}
		b.overloadRatio *= 0.97              // decays also where next to nothing is answered
		for _, share := range b.lateShares { // decays so that a zone is tried again
			*share *= 0.98
		}
		b.evictStale()
		b.measureNodeRate()
		b.setTrialShare()
		b.judge()
		if b.settings.enabled("limits.may-tell") && b.announced && b.phase == OnTrial && b.host.Now() >= b.nextPeerReport {
			b.nextPeerReport = b.host.Now() + peerReportMs
			b.host.SendToPeer(AllPeers, b.countsMessage(b.baseline()))
		}
	case timerQueue:
		b.routeQueued()
	case timerCheck:
		now := b.host.Now()
		b.host.SetTimer(checkMs, timerCheck)
		if now-b.lastCheck > 3*checkMs { // this marshal was stalled: what it finds now says nothing about others
			b.lastStall = now
		} else if now > b.lastStall {
			b.cancelUnresponsive(now)
		}
		b.lastCheck = now
	case timerWatch:
		b.watchRetryPending = false
		b.host.WatchNodes(true)
	}
}

// evictStale removes state that no rule needs any more: nodes that are gone, builds before the baseline and, once no
// node of an earlier build is left, the keys that the newest build has answered, which minVer then stands for.
// This keeps the memory of a marshal bounded. It may hurt where a node long gone comes back as the same process, of
// which nothing is known then, or where one of an earlier build does, which then gets no keys.
func (b *Balancer) evictStale() {
	now, baseline, olderNodes := b.host.Now(), b.baseline(), false
	b.nodesByID = slices.DeleteFunc(b.nodesByID, func(n *node) bool {
		expired := n.Health == Gone && n.inFlight == 0 && now-n.updatedAt > goneNodeMs
		if expired {
			delete(b.nodes, n.ID)
		}
		olderNodes = olderNodes || !expired && n.Ver < b.newestVer && (n.Health != Gone || n.inFlight > 0)
		return expired
	})
	maps.DeleteFunc(b.evidence, func(ver int, _ *buildEvidence) bool { return ver < baseline })
	maps.DeleteFunc(b.exposures, func(e exposureKey, _ *slidingSum) bool { return b.announced && e.ver < b.newestVer })
	if b.announced && b.phase == Released && !olderNodes && len(b.minVerByKey) > 0 {
		b.minVer = b.newestVer
		maps.DeleteFunc(b.minVerByKey, func(_ uint64, ver int) bool { return ver <= b.newestVer })
	}
}

// measureNodeRate measures the work that a warm node does for this marshal, but not while nodes are warming up and
// limited by their budgets.
func (b *Balancer) measureNodeRate() {
	now := b.host.Now()
	const windowMs = 4000
	work := b.completedWork.sumSince(now-windowMs) / min(windowMs, max(now-b.startedAt, intervalMs))
	capacity := b.totalCapacity(now, anyNode)
	b.medianFailureRate = b.medianFailure(anyNode)
	b.recheckAll(now)
	if capacity == b.countServing(anyNode) || now-b.startedAt < windowMs {
		b.warmNodeRate = work / max(capacity, 1)
	}
}

// setTrialShare sets the trial build's share for the next interval: its full cap if that is feasible, else the cap
// times the feasible fraction of the draws. The share at most doubles and doesn't fall below the trial nodes' part of
// the fleet's capacity.
func (b *Balancer) setTrialShare() {
	now := b.host.Now()
	readyShare := b.totalCapacity(now, func(n *node) bool { return b.isOnTrial(n.Ver) }) /
		max(b.totalCapacity(now, anyNode), 1e-9)
	feasible := 0.0
	for range feasibilityDraws {
		drawFeasible := 1.0
		for op, p := range b.posterior(b.newestVer)[:len(b.ops)] {
			if p.samples >= 2 && p.mean+b.rng.NormFloat64()*math.Sqrt(p.variance()/p.samples) > b.sloOf(op) {
				drawFeasible = 0
			}
		}
		feasible += drawFeasible / feasibilityDraws
	}
	target := b.cap
	if feasible < 0.5 {
		target *= feasible
	}
	// The cap of a stage is announced before all of its nodes are listed. Those listed get only their part of it;
	// with all of it they would look slow.
	if stageShares := b.settings.numbers("rollout.stage-share"); b.stage < len(stageShares) && stageShares[b.stage] > 0 {
		target = min(target, b.cap*readyShare/stageShares[b.stage])
	}
	// Where a marshal has next to nothing in flight at a node, a share above the nodes' part would overload them unseen.
	target = readyShare + (target-readyShare)*min(1, b.usualInFlight)
	b.trialShare = max(min(target, 2*b.trialShare), readyShare)
}

// judge votes on the newest build.
func (b *Balancer) judge() {
	now, baselineVer := b.host.Now(), b.baseline()
	if !b.announced || b.phase == RollingBack || b.phase == Withdrawn || baselineVer < 0 {
		return
	}
	if b.missRate < b.usualMissRate+degradedMissRate {
		b.degradedSince = now
	}
	b.updateFleetPosteriors(baselineVer)
	own, baseline := b.posterior(b.newestVer), b.posterior(baselineVer)
	keepsUp, trails, samples, failures := b.compareBuilds(own, baseline, minVerdictOutcomes)
	// Of many marshals the unluckiest one would decide, or one failing node would in the counts of all. So the fleet's
	// outcomes must be conclusive, and the marshal's own, however few, must agree.
	if fleetKeepsUp, fleetTrails, fleetSamples, _ := b.compareBuilds(b.fleetPosteriors[0], b.fleetPosteriors[1],
		minVerdictOutcomes); b.manyMarshals() && fleetSamples >= minVerdictOutcomes {
		keepsUp, trails, _, _ = b.compareBuilds(own, baseline, 2)
		keepsUp, trails, samples = min(fleetKeepsUp, 2*keepsUp), min(fleetTrails, 2*trails), fleetSamples
	}
	rollBackStands := b.vote == RollBack && b.voteVer == b.newestVer && now < b.voteExpires
	calm := b.degradedSince == now && b.fleetSlowdown < slowFleetRatio
	// Degradation that began before the build is not its fault: its own outcomes speak for it. This guards against a
	// bad build that stays because of the degradation it causes. It may hurt when the next build is no better.
	degradedBefore := !b.manyMarshals() && b.firstAnswerAt < now && b.degradedSince < b.firstAnswerAt &&
		samples >= minVerdictOutcomes && trails < 0.5
	// Degradation that a build causes begins soon after the start of a stage.
	degradedSinceBuild := b.degradedSince > b.firstAnswerAt && b.degradedSince < b.stageStarted+2*blindVoteMs
	switch {
	case samples >= minVerdictOutcomes && trails >= confidence:
		b.castVote(RollBack, now, fmt.Sprintf("trails in success, %v of %v failed", failures, samples))
	// Only on trial: later the list may still name baseline nodes that are long gone.
	case b.phase == OnTrial && b.workIncrease(now) >= rollBackWorkRatio:
		b.castVote(RollBack, now, "needs more work")
	case now-b.degradedSince >= degradedRollBackMs && degradedSinceBuild && b.fleetSlowdown >= slowFleetRatio:
		b.castVote(RollBack, now, "long trouble under it")
	// A burst raises the throughput. This may hit the wrong build where many nodes are lost.
	case degradedSinceBuild && b.throughputDrops >= dropsToRollBack:
		b.castVote(RollBack, now, "the fleet answers less under it")
	case b.settings.text("rollout.gate-mode", "") == "clock":
		if samples >= minVerdictOutcomes && failures > 0 && trails > 0.5 {
			b.castVote(Hold, now, "may trail")
		}
	case b.phase != OnTrial:
	// Being as slow as the baseline is no proof of keeping up while the throughput is down.
	case samples >= minVerdictOutcomes && keepsUp >= confidence && (b.throughputDrops == 0 || !degradedSinceBuild):
		b.castVote(Advance, now, "keeps up")
	case now-b.stageStarted >= blindVoteMs && !rollBackStands && (calm || degradedBefore) && b.blindVoteAllowed(now):
		b.castVote(Advance, now, "no verdict")
	}
}

// manyMarshals reports whether so many marshals judge for each vote needed that one of them will be wrong by chance.
func (b *Balancer) manyMarshals() bool {
	return b.settings.number("rollout.noes-needed", 1)*marshalsPerVote < b.settings.number("marshals", 1)
}

// compareBuilds returns the probabilities that the newest build keeps up with the baseline and that it trails it, and
// the numbers of its outcomes and failures.
func (b *Balancer) compareBuilds(trial, baseline []posterior, minSamples float64) (pKeepsUp, pTrails, samples,
	failures float64) {
	pKeepsUp, samples, failures = 1, trial[len(b.ops)].successes+trial[len(b.ops)].failures, trial[len(b.ops)].failures
	if samples < minSamples {
		return 0, 0, samples, failures
	}
	noBaseline := b.manyMarshals() && b.countServing(func(n *node) bool { return n.Ver < b.newestVer }) == 0
	for op := range trial { // each operation, and all of them together
		p, q := trial[op], baseline[op]
		// Errors are also judged on their own: time-outs under overload would hide them.
		for i, failed := range [][2]float64{{p.errors, q.errors}, {p.failures, q.failures}} {
			if i == 1 && noBaseline { // nothing to compare a slow period with
				continue
			}
			baselineSuccess := (1 + q.successes + q.failures - failed[1]) / (2 + q.successes + q.failures)
			trialBeta := distuv.Beta{Alpha: priorWeight*baselineSuccess + p.successes + p.failures - failed[0],
				Beta: priorWeight*(1-baselineSuccess) + failed[0], Src: b.rng}
			baselineBeta := distuv.Beta{Alpha: 1 + q.successes + q.failures - failed[1], Beta: 1 + failed[1], Src: b.rng}
			var keeps, trails float64
			for range verdictDraws {
				s, t := trialBeta.Rand(), baselineBeta.Rand()
				if s < t-rollBackMargin {
					trails++
				}
				l := p.mean + b.rng.NormFloat64()*math.Sqrt(p.variance()/max(p.samples, 1))
				m := q.mean + b.rng.NormFloat64()*math.Sqrt(q.variance()/max(q.samples, 1))
				if s >= t-advanceMargin && l <= maxLatencyRatio*m {
					keeps++
				}
			}
			pKeepsUp = min(pKeepsUp, keeps/verdictDraws)
			if failed[0] > 1 || failed[0] > 0 && minSamples < minVerdictOutcomes {
				pTrails = max(pTrails, trails/verdictDraws)
			}
		}
	}
	return pKeepsUp, pTrails, samples, failures
}

// blindVoteAllowed reports whether the marshal may vote to advance without a verdict. Before the last stage it waits
// until at least half of the newest build's nodes can be judged.
func (b *Balancer) blindVoteAllowed(now float64) bool {
	all, recent := b.countServing(b.runsNewest), b.countServing(func(n *node) bool {
		return b.runsNewest(n) && b.isRecentlyStarted(n, now)
	})
	return b.stage != len(b.settings.numbers("rollout.stage-share"))-2 || recent*2 <= all && all > 0
}

// recordMiss counts an invocation as missed (late or abandoned) or not. An error is neither: it may be the fault of the
// invocation itself.
func (b *Balancer) recordMiss(missed, dispatched bool) {
	if dispatched { // counting rejected invocations would keep the overload ratio up by itself
		updateShare(&b.overloadRatio, missed, 0.03)
	}
	updateShare(&b.missRate, missed, 0.03)
	if b.missRate < b.usualMissRate+degradedMissRate {
		updateShare(&b.usualMissRate, missed, 0.003)
	}
}

// workIncrease is the work of an invocation on the trial build over that on the baseline, by the nodes' load reports.
// It is the lower median over the nodes, so that one slow machine decides nothing. This guards against builds that are
// slow but fail little.
func (b *Balancer) workIncrease(now float64) float64 {
	ratios := b.workRatios(func(n *node) bool { return b.manyMarshals() || !b.isRecentlyStarted(n, now) })
	if len(ratios) < 2 {
		return 0
	}
	// The invocations of this marshal must have taken longer too, else the reports have another cause.
	trial, baseline := b.posterior(b.newestVer)[len(b.ops)], b.posterior(b.baseline())[len(b.ops)]
	if b.manyMarshals() { // the fleet's must have
		trial, baseline = b.fleetPosteriors[0][len(b.ops)], b.fleetPosteriors[1][len(b.ops)]
	}
	if trial.samples < minVerdictOutcomes || trial.mean < maxLatencyRatio*baseline.mean {
		return 0
	}
	return ratios[(len(ratios)-1)/2]
}

// castVote votes when the verdict changes or the last vote has expired, at a rate the rollout service allows.
func (b *Balancer) castVote(verdict Verdict, now float64, reason string) {
	same := b.vote == verdict && b.voteVer == b.newestVer && (verdict == RollBack || b.voteStage == b.stage)
	if b.notCoordinator || b.voteInFlight || now < b.nextVoteAt || same && now < b.voteExpires {
		return
	}
	b.vote, b.voteVer, b.voteStage, b.voteInFlight = verdict, b.newestVer, b.stage, true
	b.nextVoteAt = now + max(intervalMs,
		2000*b.settings.number("marshals", 1)/max(b.settings.number("rollout.api-rate", 1), 0.1))
	b.host.Log(fmt.Sprintf("vote %d on build %d at stage %d: %s", verdict, b.newestVer, b.stage, reason))
	b.host.Vote(b.newestVer, b.stage, verdict)
}

// updateFleetPosteriors adds the last build statistics to the fleet's evidence. Both builds count over the same periods,
// the baseline with at most three times the weight of the newest build. Else a slow period in which one of them had
// most of the traffic would count for or against it.
func (b *Balancer) updateFleetPosteriors(baselineVer int) {
	if b.settings.enabled("limits.may-tell") {
		b.fleetPosteriors = b.aggregateCounts(baselineVer)
		return
	}
	b.updateSlowdown()
	for op := range b.ops {
		p, q := b.periodStats[exposureKey{b.newestVer, op}], b.periodStats[exposureKey{baselineVer, op}]
		n, m := p.successes+p.failures, q.successes+q.failures
		for _, o := range []int{op, len(b.ops)} {
			if n > 0 && m > 0 {
				b.fleetPosteriors[0][o].add(p, 1)
				b.fleetPosteriors[1][o].add(q, min(1, 3*n/m))
			}
		}
	}
	clear(b.periodStats)
}

// updateSlowdown tracks the latency of the fleet's dispatches relative to the usual.
func (b *Balancer) updateSlowdown() {
	totalMs, usualMs := 0.0, 0.0
	for op := range b.ops {
		mean, n := b.periodLatency(op)
		if n > 0 && b.usualLatency[op] == 0 {
			b.usualLatency[op] = mean
		} else if n > 0 && mean < b.usualLatency[op]*slowFleetRatio {
			b.usualLatency[op] += (mean - b.usualLatency[op]) * 0.1
		}
		totalMs, usualMs = totalMs+n*mean, usualMs+n*b.usualLatency[op]
	}
	if usualMs > 0 {
		b.fleetSlowdown = totalMs / usualMs
	}
}

// failureRate is a node's recent share of failures.
func (n *node) failureRate() float64 { return (n.failures + 0.1) / (n.successes + n.failures + 1) }

// recordReport derives the work of one invocation from a node's load report: the busy share over the rate or, where
// these are not reported, the service time, corrected for invocations that share the node's cores.
func (n *node) recordReport(report map[string]float64, capacityShare float64) {
	rate, work := report["rate"], 0.0
	if busy := report["busy"]; busy > 0 && rate > 0 {
		work = busy / rate
	} else if serviceMs := report["service-ms"]; serviceMs > 0 {
		work = serviceMs / (1 + serviceMs*rate/1000)
	}
	work *= capacityShare // the least share of its capacity the node has, so that warming up doesn't look like more work
	if work > 0 {
		n.workPerInvocation += (work - n.workPerInvocation) * map[bool]float64{true: 1, false: 0.2}[n.workPerInvocation == 0]
	}
}
