// Package balance decides for one marshal: where each invocation goes, when it goes again, when it is
// throttled or terminated, and how the marshal votes on the build on trial.
//
// A Balancer is called, from one goroutine, once for each thing that happens (the exported methods below) and
// acts by calling the Host it was given, whose interface and plain types are in host.go; state.go holds the
// state. The design it follows is Posterior Bayesian Routing, docs/design.md; its settings, docs/settings.md.
package balance

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat/distuv"
)

const (
	intervalMs            = 500.0   // ms between two settings of the trial share
	feasibilityDraws      = 100     // draws of the posteriors each interval
	verdictDraws          = 400     // draws for a verdict
	confidence            = 0.95    // what a chance has to reach for a verdict
	minVerdictOutcomes    = 10.0    // outcomes of the trial build before it is judged
	priorWeight           = 10.0    // outcomes that the earlier build's success is worth as the prior of the next
	maxLatencyRatio       = 1.15    // the latency at which a build still counts as keeping up
	advanceMargin         = 0.01    // success a build may trail by and still go on
	rollBackMargin        = 0.02    // success it must trail by to go back
	blindVoteMs           = 4000.0  // ms of a stage without verdict until it is voted on
	readyAgeMs            = 5000.0  // ms since its start until a node's outcomes are evidence
	timeMarginMs          = 10.0    // ms kept before a client's own time is up
	minInFlightLimit      = 3.0     // dispatches out that are never too many
	inFlightMultiple      = 1.5     // what may be out, against the mean of calm times
	outlierMargin         = 0.3     // share of failures over the median that makes a node sick
	rejectedPauseMs       = 100.0   // ms a node is left alone that turned something away unseen
	spillLoadRatio        = 2.0     // load of a trial node against an earlier one's at which the earlier takes over
	reportLagMs           = 3000.0  // ms that a node's report may tell of
	rollBackWorkRatio     = 1.7     // times the work of the earlier build at which a build goes back
	degradedMissRate      = 0.25    // share of invocations missing their SLO time over the usual that is trouble
	degradedRollBackMs    = 12000.0 // ms of it under a build until that goes back
	unresponsiveLatencies = 7.0     // mean latencies after which one dispatch unanswered makes its node silent
	initialLatencyDivisor = 4.0     // of the SLO time one part is taken for the latency before any is known
	overloadFactor        = 1.2     // invocations taken for one answered in time, beyond which some are turned away
	crossingGain          = 2.0     // part that crosses, for each part more that is answered soon there
	slowFleetRatio        = 2.0     // what the fleet's dispatches take against the usual, from which on it has trouble
	peerReportMs          = 2000.0  // ms between two messages to the peers
	checkMs               = 100.0   // ms between two looks for silent nodes, and the measure of a stall of this marshal
	connectFailureLimit   = 0.15    // share of dispatches without connection from which on known connections are kept to
	marshalsPerVote       = 10.0    // marshals for each whose vote is needed, up to which each is sure by itself
	worthSpread           = 0.45    // of the bound that is kept for the operations worth most
	goneNodeMs            = 60000.0 // ms that a node which is gone is remembered
	nodeTimeShare         = 0.5     // of the SLO time that may be spent in work and waiting at a node
	throughputDropRatio   = 0.6     // of the usual pace of answers, under which the fleet sags
	dropsToRollBack       = 3.0     // intervals in a row of that under a build until it goes back
)

// New starts an instance.
func New(h Host, settings Settings, seed uint64) *Balancer {
	b := newBalancer(h, settings, seed)
	for op := range b.ops { // until told better
		b.recentLatency[op], b.latencySamples[op] = b.sloOf(op)/initialLatencyDivisor, 1
	}
	if settings.text("discovery", "subscribe") == "subscribe" {
		h.WatchNodes(true)
	}
	h.SetTimer(intervalMs, timerInterval)
	h.SetTimer(checkMs, timerCheck)
	return b
}

// NodeListFailed says that asking for the list failed or a watch has ended, without saying which.
func (b *Balancer) NodeListFailed() {
	if !b.watchRetryPending {
		b.watchRetryPending = true
		b.host.SetTimer(1000+2000*b.rng.Float64(), timerWatch)
	}
}

// StageUpdate tells where the newest build stands; reply says that it answers this instance's vote.
func (b *Balancer) StageUpdate(ver, stage int, phase Phase, cap, age float64, isVoteReply bool) {
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
		maps.DeleteFunc(b.minVerByKey, func(_ string, keyVer int) bool { return keyVer <= ver }) // not those of a later one
		if b.minVer <= ver {
			b.minVer = 0
		}
	}
	b.newestVer, b.stage, b.phase, b.cap, b.announced = ver, stage, phase, cap, true
	b.stageStarted, b.index.stale = now-age, true
}

// VoteFailed says how a vote ended that was not answered.
func (b *Balancer) VoteFailed(outcome Outcome) {
	b.voteInFlight = false
	if outcome == TimedOut { // it may count, so it is taken to stand for a while
		b.voteExpires = b.host.Now() + b.settings.number("rollout.vote-ttl-ms", 0)/2
		return
	}
	b.vote, b.nextVoteAt = NoVote, b.host.Now()+1000
}

// InvocationArrived takes an invocation: from here on it is owed one final answer within budget.
func (b *Balancer) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, isRetry, isWrite bool) {
	now := b.host.Now()
	inv := &invocation{id: id, op: op, tenant: tenant, key: key, arrivedAt: now, deadline: now + budget, cost: cost}
	b.recordArrival(inv)
	inv.overflow = b.isOverloaded(inv)
	b.route(inv)
}

// send is the ordinary path of an invocation, from the choice of its build to its dispatch.
func (b *Balancer) route(inv *invocation) { // nothing of it is out: two copies at once are not made use of
	now, remaining := b.host.Now(), inv.deadline-b.host.Now()
	if remaining <= timeMarginMs || len(inv.dispatches) >= b.cfg.maxTries {
		b.abandon(inv)
		return
	}
	trial, baseline, indexed := b.indexedCandidates(inv, now) // by list, repeat rules, the cold nodes' budget and the cap
	if !indexed {
		trial.nodes, baseline.nodes = b.scratch[0][:0], b.scratch[1][:0]
		minVer, lastVer, isTrial, mayExpose := max(b.minVer, b.minVerByKey[inv.key]), -1, false, false
		for _, n := range b.nodesByID {
			if n.Health != Serving || now < n.avoidUntil || !b.mayRepeatOn(inv, n, now) || b.coldBudgetSpent(n, now) {
				continue
			}
			if n.Ver != lastVer { // most nodes run the build that the one before runs
				lastVer, isTrial = n.Ver, b.isOnTrial(n.Ver)
				mayExpose = isTrial && b.mayExpose(n.Ver, inv.op, now)
			}
			if isTrial {
				if mayExpose {
					trial.nodes = append(trial.nodes, n)
				}
			} else if minVer <= n.Ver || inv.key == "" {
				baseline.nodes = append(baseline.nodes, n)
			}
		}
		b.scratch[0], b.scratch[1] = trial.nodes, baseline.nodes
	}
	// What is too much for the fleet may try an idle trial node; one of many marshals can't tell one. It guards
	// against overload under a bad build that throttles all that speaks for the next; it may add to harm.
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
	if trial.size() > 0 && b.isEjected(n, now) { // all that is left of the earlier build may be lost nodes
		n = b.chooseNode(trial, now)
	}
	if b.isOnTrial(n.Ver) && baseline.size() > 0 { // a busy trial node judges the share, not the build
		if alternative := b.chooseNode(baseline, now); b.load(n, now) > spillLoadRatio*b.load(alternative, now)+1 && !b.isEjected(alternative, now) {
			n = alternative
		}
	}
	if b.isOutlier(n) {
		n.retryAt = now + n.ejectionMs
	}
	b.recordDispatch(inv, dispatch{node: n, ver: n.Ver, sentAt: now, recentlyStarted: b.isRecentlyStarted(n, now), shortLimit: remaining < b.sloOf(inv.op)})
	b.host.Dispatch(inv.id, n.ID, remaining)
}

// draw places an invocation between 0 and 1; by its key where keys only go forward: always the same ones.
func (b *Balancer) trialDraw(inv *invocation) float64 {
	if inv.key == "" || !b.cfg.forwardOnly {
		return b.rng.Float64()
	}
	if max(b.minVer, b.minVerByKey[inv.key]) >= b.newestVer {
		return -1
	}
	return hashToUnit(inv.key)
}

// mayFollow keeps the rule against double effects, once nothing of the invocation is out any more.
func (b *Balancer) mayRepeatOn(inv *invocation, n *node, now float64) bool {
	op := &b.ops[inv.op]
	for _, d := range inv.dispatches {
		if d.mayHaveRun && op.repeatPolicy != "idempotent" && (op.repeatPolicy != "fingerprinted" || now >= d.sentAt+op.memoryMs ||
			!n.sharesRepeatGroup(d.node, op.repeatGroup)) {
			return false
		}
	}
	return true
}

// onTrial says whether a build is on trial for this instance.
func (b *Balancer) isOnTrial(ver int) bool {
	if !b.announced { // nothing told yet: all but the oldest build listed may be on trial
		return b.countServing(func(n *node) bool { return n.Ver < ver }) > 0
	}
	return ver > b.newestVer || ver == b.newestVer && b.phase != Released
}

// groupedWith says that two nodes drop repeats of each other's invocations.
func (n *node) sharesRepeatGroup(o *node, group string) bool {
	return group == "all" || group == "zone" && n.Zone == o.Zone ||
		group == "cell" && n.Zone == o.Zone && n.Cell == o.Cell
}

// mayExpose keeps the rule on a trial build's exposure.
func (b *Balancer) mayExpose(ver, op int, now float64) bool {
	stage, cap := b.stage, b.cap
	if ver != b.newestVer || !b.announced {
		stage, cap = 0, b.cfg.firstStageCap
	}
	if cap <= 0 || float64(stage) < b.cfg.shieldedStages && b.ops[op].repeatPolicy != "idempotent" {
		return false
	}
	windowMs, scope := b.cfg.exposureWindowMs, b.exposureScope(op)
	if b.cfg.instances > 1 { // what counts is what all instances of this marshal expose: they draw leases on it
		l := b.leases[exposureKey{ver, scope}]
		return l.remaining > 0 && now < l.expires
	}
	allowance := b.cfg.exposureAllowance
	if now-b.startedAt < windowMs { // an instance that was here before may have used its allowance up
		allowance = 0
	}
	used := b.exposureSum(ver, scope).sumSince(now - windowMs - timeMarginMs)
	return used+1 <= allowance+cap*b.acceptedSum(scope).sumSince(now-windowMs+timeMarginMs)
}

// cold is the share of its capacity that a node may count on by now.
func (b *Balancer) capacityShare(n *node, now float64) float64 {
	if n.Started <= 0 || now-n.Started > 2*b.cfg.warmUpMs {
		return 1
	}
	initial := b.cfg.coldShare
	return min(1, initial+(1-initial)*max(0, now-n.Started)/b.cfg.warmUpMs)
}

func (b *Balancer) isRecentlyStarted(n *node, now float64) bool {
	return n.Started > 0 && now-n.Started < readyAgeMs
}

// tooCold keeps a starting node from being pushed over: what this marshal sends it stays under the rule's
// multiple of what a warm node does for it, so all together do. What is less than one invocation goes by a
// lot drawn for each node: that guards against hundreds of marshals that each round up, and against none
// daring.
func (b *Balancer) coldBudgetSpent(n *node, now float64) bool {
	share := b.capacityShare(n, now)
	if share >= 1 {
		return false
	}
	windowMs := b.cfg.coldWindowMs
	budget := 0.85 * b.cfg.coldWorkMultiple * share * windowMs * b.warmNodeRate
	return n.coldWork.sumSince(now-windowMs)+n.coldRounding*b.meanCost > budget // not by its own cost: the light would fill it up
}

// pick makes two random choices among the healthy and near by what is in flight.
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

// linked keeps to nodes whose connection lasts and with under two out, once new ones fail often: it guards
// against nodes that accept few and slow handshakes. It may hurt where nodes are lost while others join.
func (b *Balancer) preferConnected(from candidates, now float64) candidates {
	connectedSince := max(0, now-b.cfg.connIdleMs)
	if b.connectFailureRate >= connectFailureLimit {
		connected := b.filterNodes(3, from.nodes, func(n *node) bool { return n.connectedAt > connectedSince && n.inFlight < 2 })
		if len(connected) > 0 {
			return candidates{nodes: connected}
		}
	}
	return from
}

// load is what is in flight at a node against its size, and what of that it has while cold.
func (b *Balancer) load(n *node, now float64) float64 {
	return float64(n.inFlight) / max(n.Size*b.capacityShare(n, now), 0.01)
}

// healthy leaves out nodes that fail more than the fleet's median or do not answer; it fails open.
func (b *Balancer) excludeOutliers(from candidates, now float64) candidates {
	healthy := b.exclude(2, from, func(n *node) bool { return b.isEjected(n, now) || b.isUnresponsive(n, now) })
	if healthy.size()*3 < from.size() {
		return from
	}
	return healthy
}

func (b *Balancer) isOutlier(n *node) bool {
	return n.failureRate() > b.medianFailureRate+outlierMargin
}

func (b *Balancer) isEjected(n *node, now float64) bool { return b.isOutlier(n) && now < n.retryAt }

// silent says that a node that lives would have answered something by now: the chance that it has not falls
// with the sum of the waits at it. It guards against striking living nodes where a marshal has a trickle out.
func (b *Balancer) isUnresponsive(n *node, now float64) bool {
	waits := 0.0
	for _, o := range n.dispatches {
		waits += (now - max(n.lastAnswer, o.inv.dispatches[o.attempt].sentAt)) / b.responseTimeout(o.inv.op)
	}
	return waits >= 1
}

func (b *Balancer) responseTimeout(op int) float64 {
	return max(b.sloOf(op)/2, unresponsiveLatencies*b.recentLatency[op])
}

// nearby keeps to the own zone where crossing has a price, unless nothing there is free or another zone
// answers so much more in time that crossing pays; then a part crosses. It guards against traffic that moves,
// lost nodes and slow links: behind one nothing looks better. It may hurt where a zone is slow briefly.
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
	if !b.hasLowLoad(local, now, 2) { // else none is loaded by more than that over another
		if ownMin, overallMin := b.minLoads(b.expand(5, from), now); ownMin > overallMin+2 {
			return from
		}
	}
	return local
}

// soon is the share of dispatches to a zone that are answered within the SLO time, lately.
func (b *Balancer) onTimeShare(zone int) float64 { return 1 - *b.lateShare(zone) }

// desert stops waiting at silent nodes for what may be sent again: a time limit would also strike what waits
// its turn at a busy node. It guards against hung, vanished and paused nodes; it may hurt where an answer
// takes long.
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

// repeatable says that some other node could be sent this invocation now.
func (b *Balancer) repeatable(inv *invocation, now float64) bool {
	return len(inv.dispatches) < b.cfg.maxTries && !inv.dispatches[len(inv.dispatches)-1].noCancel &&
		b.countServing(func(n *node) bool {
			return !b.isUnresponsive(n, now) && !b.isOnTrial(n.Ver) && b.mayRepeatOn(inv, n, now)
		}) > 0
}

// living counts the nodes that answer, and what is out there: what is out at others waits for nothing.
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

// overloaded says that more is out than the fleet answers in the time that may be spent at a node (Little's
// law); what was out in calm times is never too much, or slow answers would leave the fleet idle. It guards
// against bursts, machines lost and a fleet slowed as a whole. It may hurt when half the fleet is gone.
func (b *Balancer) isOverloaded(inv *invocation) bool {
	inFlight, responsive := b.responsiveInFlight(inv.arrivedAt)
	limit := max(minInFlightLimit, b.usualInFlight*inFlightMultiple*responsive, b.answerRate*b.meanSLO*nodeTimeShare)
	worthFactor := 1 + worthSpread*(b.relativeWorth(inv.op)-0.7)
	overloaded := inFlight >= limit*worthFactor && inv.arrivedAt-b.startedAt >= 2*intervalMs
	// Of few out a bound tells nothing: then part goes by what came to nothing of late.
	overloaded = overloaded || b.rng.Float64()*worthFactor < min(0.9, 1-overloadFactor*(1-b.overloadRatio))
	b.rejectedInInterval = b.rejectedInInterval || overloaded
	return overloaded
}

// yield is what an operation is worth for its work, against the operation worth most.
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

// hold keeps an invocation that can be sent nowhere now, as long as it could still be answered in time.
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

// giveUp gives the final answer of an invocation that will get no further dispatch.
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

// DispatchEnded says how a dispatch ended; done, that its invocation has its final answer.
func (b *Balancer) DispatchEnded(id string, attempt int, _ uint32, outcome Outcome, tookMs float64, answered bool,
	report map[string]float64) {
	inv := b.invocations[id]
	if inv == nil || attempt >= len(inv.dispatches) || !inv.dispatches[attempt].inFlight {
		return
	}
	now := b.host.Now()
	d := b.recordEnd(inv, attempt, outcome, now)
	if b.manyMarshals() || !b.isRecentlyStarted(d.node, now-reportLagMs) { // few can wait for what tells of a warm node
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

// learn takes an outcome as evidence on node, build and fleet; after an own stall, as evidence of nothing.
func (b *Balancer) recordEvidence(inv *invocation, d *dispatch, outcome Outcome, tookMs, now float64) {
	n := d.node
	if now-b.lastCheck > 3*checkMs || now == b.lastStall {
		return
	}
	if last := len(inv.dispatches) - 2; last >= 0 && inv.dispatches[last].failed && (outcome == Failed || outcome == Succeeded) {
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
		// Of a trickle each node gets one in a while; a wait under that would spare it nothing.
		minEjectionMs := max(500, b.countServing(anyNode)*(now-b.startedAt)/max(b.arrivals, 1))
		n.ejectionMs = min(2*n.ejectionMs+minEjectionMs, max(8000, 2*minEjectionMs))
		n.retryAt = now + n.ejectionMs
	} else if outcome == Rejected {
		n.avoidUntil = now + rejectedPauseMs
	} else if outcome == Succeeded {
		n.successes, n.failures, n.ejectionMs = n.successes*0.9+1, n.failures*0.9, n.ejectionMs/2
		b.latencySamples[inv.op]++
		b.recentLatency[inv.op] += (tookMs - b.recentLatency[inv.op]) * max(0.05, 1/b.latencySamples[inv.op])
		if inv.id != "" { // its own, not that of another instance: each has its part of a cold node's budget
			b.completedWork.add(now, b.costOrOne(inv.cost))
		}
	}
	b.recheck(n, now)
	// A cold node is slow, not wrong: its answers are evidence on success, or a stage would be over before there
	// is any. Time-outs in another zone may be the link's.
	otherZone := n.Zone != b.cfg.zone
	if outcome != Succeeded && outcome != Failed && (d.recentlyStarted || otherZone || !failed) {
		return
	}
	// A node that fails far more than others of its build is at fault itself, not its build; so are invocations
	// of which most that err err again elsewhere. It may hide a build that breaks one operation, once alone.
	if outcome == Failed && b.repeatErrorRate > 0.5 ||
		failed && n.failureRate() > outlierMargin && // which no median is under
			n.failureRate() > outlierMargin+b.medianFailure(func(o *node) bool { return o.Ver == d.ver }) {
		return
	}
	posteriors := b.posterior(d.ver)
	posteriors[inv.op].record(outcome, tookMs, !d.recentlyStarted)
	posteriors[len(b.ops)].record(outcome, tookMs, !d.recentlyStarted)
}

// TimerFired is a timer's end.
func (b *Balancer) TimerFired(handle int64) {
	switch handle {
	case timerInterval:
		b.host.SetTimer(intervalMs, timerInterval)
		b.throughput, b.answerRate = b.recentEnds.sumSince(b.host.Now()-2*intervalMs), b.recentAnswers.sumSince(b.host.Now()-2*intervalMs)/(2*intervalMs)
		minThroughput := throughputDropRatio * b.usualThroughput * b.totalCapacity(b.host.Now(), anyNode) / max(b.countServing(anyNode), 1)
		if !b.rejectedInInterval {
			inFlight, responsive := b.responsiveInFlight(b.host.Now())
			b.usualInFlight += (inFlight/max(responsive, 1) - b.usualInFlight) * 0.1
		}
		b.rejectedInInterval = false
		if b.missRate < b.usualMissRate+degradedMissRate {
			b.usualThroughput, b.throughputDrops = b.usualThroughput+(b.throughput-b.usualThroughput)*0.1, 0
		} else if b.throughput < minThroughput && !b.manyMarshals() { // one of many may just be behind a slow link; cold nodes owe less
			b.throughputDrops++
		}
		b.overloadRatio *= 0.97              // forgotten bit by bit, by those too that answer next to nothing
		for _, share := range b.lateShares { // so that a zone is tried again
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
		if now-b.lastCheck > 3*checkMs { // this marshal stood still: what it finds now says nothing of others
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

// forget lets go of what no rule asks for any more: nodes that are gone, builds before the earlier one and,
// once no node of an earlier build is left, the keys the newest has answered: one floor then stands for all.
// It guards against a marshal that grows with its age; it may hurt where a node long gone comes back as the
// same process, of which nothing is known then, or one of an earlier build does, which then gets no keys.
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
	maps.DeleteFunc(b.posteriors, func(ver int, _ []posterior) bool { return ver < baseline })
	maps.DeleteFunc(b.exposures, func(e exposureKey, _ *slidingSum) bool { return b.announced && e.ver < b.newestVer })
	if b.announced && b.phase == Released && !olderNodes && len(b.minVerByKey) > 0 {
		b.minVer = b.newestVer
		maps.DeleteFunc(b.minVerByKey, func(_ string, ver int) bool { return ver <= b.newestVer })
	}
}

// measure finds what a warm node does for this marshal, but not while nodes are cold and go by their budget.
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

// setShare sets the trial build's share for the next interval: its full cap if feasible, else the feasible
// fraction of the draws; at most doubling, and not below its share of the ready nodes.
func (b *Balancer) setTrialShare() {
	now := b.host.Now()
	readyShare := b.totalCapacity(now, func(n *node) bool { return b.isOnTrial(n.Ver) }) / max(b.totalCapacity(now, anyNode), 1e-9)
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
	// The cap comes before the stage's machines: those there take their part, or would look slow for the rest.
	if stageShares := b.settings.numbers("rollout.stage-share"); b.stage < len(stageShares) && stageShares[b.stage] > 0 {
		target = min(target, b.cap*readyShare/stageShares[b.stage])
	}
	// More than the ready nodes' part would jam them unseen where a marshal has next to nothing out at a node.
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
	// Of a crowd the marshal with the worst luck would decide, or one failing node in all that is counted: there
	// the fleet's outcomes have to be sure, and the marshal's own, however few, to agree.
	if fleetKeepsUp, fleetTrails, fleetSamples, _ := b.compareBuilds(b.fleetPosteriors[0], b.fleetPosteriors[1], minVerdictOutcomes); b.manyMarshals() && fleetSamples >= minVerdictOutcomes {
		keepsUp, trails, _, _ = b.compareBuilds(own, baseline, 2)
		keepsUp, trails, samples = min(fleetKeepsUp, 2*keepsUp), min(fleetTrails, 2*trails), fleetSamples
	}
	rollBackStands := b.vote == RollBack && b.voteVer == b.newestVer && now < b.voteExpires
	calm := b.degradedSince == now && b.fleetSlowdown < slowFleetRatio
	// Trouble older than the build is not its own: what it does itself speaks for it. It guards against one bad
	// build that is kept by the trouble it makes; it may hurt when the next one is no better.
	degradedBefore := !b.manyMarshals() && b.firstAnswerAt < now && b.degradedSince < b.firstAnswerAt && samples >= minVerdictOutcomes && trails < 0.5
	degradedSinceBuild := b.degradedSince > b.firstAnswerAt && b.degradedSince < b.stageStarted+2*blindVoteMs // begins with a stage
	switch {
	case samples >= minVerdictOutcomes && trails >= confidence:
		b.castVote(RollBack, now, fmt.Sprintf("trails in success, %v of %v failed", failures, samples))
	case b.phase == OnTrial && b.workIncrease(now) >= rollBackWorkRatio: // later the list may name earlier nodes long gone
		b.castVote(RollBack, now, "needs more work")
	case now-b.degradedSince >= degradedRollBackMs && degradedSinceBuild && b.fleetSlowdown >= slowFleetRatio:
		b.castVote(RollBack, now, "long trouble under it")
	case degradedSinceBuild && b.throughputDrops >= dropsToRollBack: // a burst has more answered; it may strike where many nodes are lost
		b.castVote(RollBack, now, "the fleet answers less under it")
	case b.settings.text("rollout.gate-mode", "") == "clock":
		if samples >= minVerdictOutcomes && failures > 0 && trails > 0.5 {
			b.castVote(Hold, now, "may trail")
		}
	case b.phase != OnTrial:
	case samples >= minVerdictOutcomes && keepsUp >= confidence && (b.throughputDrops == 0 || !degradedSinceBuild): // slow alike is no keeping up
		b.castVote(Advance, now, "keeps up")
	case now-b.stageStarted >= blindVoteMs && !rollBackStands && (calm || degradedBefore) && b.blindVoteAllowed(now):
		b.castVote(Advance, now, "no verdict")
	}
}

// crowd says that so many marshals judge for each vote needed that one of them will have bad luck.
func (b *Balancer) manyMarshals() bool {
	return b.settings.number("rollout.noes-needed", 1)*marshalsPerVote < b.settings.number("marshals", 1)
}

// compare gives the chances that the newest build keeps up and that it is worse, its outcomes and failures.
func (b *Balancer) compareBuilds(trial, baseline []posterior, minSamples float64) (pKeepsUp, pTrails, samples, failures float64) {
	pKeepsUp, samples, failures = 1, trial[len(b.ops)].successes+trial[len(b.ops)].failures, trial[len(b.ops)].failures
	if samples < minSamples {
		return 0, 0, samples, failures
	}
	noBaseline := b.manyMarshals() && b.countServing(func(samples *node) bool { return samples.Ver < b.newestVer }) == 0
	for op := range trial { // each operation, and all of them together
		p, q := trial[op], baseline[op]
		// Errors are also judged alone: time-outs of an overload would drown them.
		for i, failed := range [][2]float64{{p.errors, q.errors}, {p.failures, q.failures}} {
			if i == 1 && noBaseline { // nothing to tell a slow spell by
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

// seen says that the blind vote need not wait for nodes to judge: before the last stage it does.
func (b *Balancer) blindVoteAllowed(now float64) bool {
	all, recent := b.countServing(b.runsNewest), b.countServing(func(n *node) bool { return b.runsNewest(n) && b.isRecentlyStarted(n, now) })
	return b.stage != len(b.settings.numbers("rollout.stage-share"))-2 || recent*2 <= all && all > 0
}

// missed counts an invocation as late or given up, or not. An error is neither: it may be the invocation's
// own.
func (b *Balancer) recordMiss(missed, dispatched bool) {
	if dispatched { // not what was turned away: that would go on for its own sake
		updateShare(&b.overloadRatio, missed, 0.03)
	}
	updateShare(&b.missRate, missed, 0.03)
	if b.missRate < b.usualMissRate+degradedMissRate {
		updateShare(&b.usualMissRate, missed, 0.003)
	}
}

// heavier is how much more work an invocation is for the build on trial by its nodes' reports, the lower
// median: one slow machine decides nothing. It guards against builds that are slow but fail little.
func (b *Balancer) workIncrease(now float64) float64 {
	ratios := b.workRatios(func(n *node) bool { return b.manyMarshals() || !b.isRecentlyStarted(n, now) })
	if len(ratios) < 2 {
		return 0
	}
	// The invocations of this marshal must have taken longer too, or the reports tell of something else.
	trial, baseline := b.posterior(b.newestVer)[len(b.ops)], b.posterior(b.baseline())[len(b.ops)]
	if b.manyMarshals() { // or those of the fleet
		trial, baseline = b.fleetPosteriors[0][len(b.ops)], b.fleetPosteriors[1][len(b.ops)]
	}
	if trial.samples < minVerdictOutcomes || trial.mean < maxLatencyRatio*baseline.mean {
		return 0
	}
	return ratios[(len(ratios)-1)/2]
}

// cast votes on a change or when the vote has lapsed, paced within the platform's allowance.
func (b *Balancer) castVote(verdict Verdict, now float64, reason string) {
	same := b.vote == verdict && b.voteVer == b.newestVer && (verdict == RollBack || b.voteStage == b.stage)
	if b.notCoordinator || b.voteInFlight || now < b.nextVoteAt || same && now < b.voteExpires {
		return
	}
	b.vote, b.voteVer, b.voteStage, b.voteInFlight = verdict, b.newestVer, b.stage, true
	b.nextVoteAt = now + max(intervalMs, 2000*b.settings.number("marshals", 1)/max(b.settings.number("rollout.api-rate", 1), 0.1))
	b.host.Log(fmt.Sprintf("vote %d on build %d at stage %d: %s", verdict, b.newestVer, b.stage, reason))
	b.host.Vote(b.newestVer, b.stage, verdict)
}

// settle takes the last tallies as the fleet's evidence, both builds over the same periods and the earlier
// one at a few times the newest: else a slow spell while one of them had the traffic would speak for or
// against it.
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

// slow follows what the fleet's dispatches take, against the usual.
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

// failing is a node's share of failures, lately.
func (n *node) failureRate() float64 { return (n.failures + 0.1) / (n.successes + n.failures + 1) }

// reported takes from a load report what one invocation is for the node: its busy share at its rate or, where
// that is not told, its service time, less what comes of sharing its cores with as many as are there at once.
func (n *node) recordReport(report map[string]float64, capacityShare float64) {
	rate, work := report["rate"], 0.0
	if busy := report["busy"]; busy > 0 && rate > 0 {
		work = busy / rate
	} else if serviceMs := report["service-ms"]; serviceMs > 0 {
		work = serviceMs / (1 + serviceMs*rate/1000)
	}
	work *= capacityShare // of its capacity that it has at least: a cold one looks no heavier than it is
	if work > 0 {
		n.workPerInvocation += (work - n.workPerInvocation) * map[bool]float64{true: 1, false: 0.2}[n.workPerInvocation == 0]
	}
}
