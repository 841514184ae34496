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
	interval    = 500.0   // ms between two settings of the trial share
	draws       = 100     // draws of the posteriors each interval
	judgeDraws  = 400     // draws for a verdict
	confidence  = 0.95    // what a chance has to reach for a verdict
	leastJudge  = 10.0    // outcomes of the trial build before it is judged
	priorWeight = 10.0    // outcomes that the earlier build's success is worth as the prior of the next
	slower      = 1.15    // the latency at which a build still counts as keeping up
	pointsOn    = 0.01    // success a build may trail by and still go on
	pointsBack  = 0.02    // success it must trail by to go back
	blindAfter  = 4000.0  // ms of a stage without verdict until it is voted on
	readyAge    = 5000.0  // ms since its start until a node's outcomes are evidence
	margin      = 10.0    // ms kept before a client's own time is up
	leastOut    = 3.0     // dispatches out that are never too many
	calmTimes   = 1.5     // what may be out, against the mean of calm times
	sickBy      = 0.3     // share of failures over the median that makes a node sick
	fullFor     = 100.0   // ms a node is left alone that turned something away unseen
	spillAt     = 2.0     // load of a trial node against an earlier one's at which the earlier takes over
	reportLag   = 3000.0  // ms that a node's report may tell of
	heavy       = 1.7     // times the work of the earlier build at which a build goes back
	strained    = 0.25    // share of invocations missing their SLO time over the usual that is trouble
	strainFor   = 12000.0 // ms of it under a build until that goes back
	silence     = 7.0     // mean latencies after which one dispatch unanswered makes its node silent
	firstGuess  = 4.0     // of the SLO time one part is taken for the latency before any is known
	jamTimes    = 1.2     // invocations taken for one answered in time, beyond which some are turned away
	crossing    = 2.0     // part that crosses, for each part more that is answered soon there
	slowed      = 2.0     // what the fleet's dispatches take against the usual, from which on it has trouble
	tellEvery   = 2000.0  // ms between two messages to the peers
	lookEvery   = 100.0   // ms between two looks for silent nodes, and the measure of a stall of this marshal
	linkTrouble = 0.15    // share of dispatches without connection from which on known connections are kept to
	fewMarshals = 10.0    // marshals for each whose vote is needed, up to which each is sure by itself
	spared      = 0.45    // of the bound that is kept for the operations worth most
	goneFor     = 60000.0 // ms that a node which is gone is remembered
	queueFor    = 0.5     // of the SLO time that may be spent in work and waiting at a node
	sagged      = 0.6     // of the usual pace of answers, under which the fleet sags
	sagsBack    = 3.0     // intervals in a row of that under a build until it goes back
)

// New starts an instance.
func New(h Host, settings Settings, seed uint64) *Balancer {
	b := newBalancer(h, settings, seed)
	for op := range b.ops { // until told better
		b.recent[op], b.seenOf[op] = b.sloOf(op)/firstGuess, 1
	}
	if settings.text("discovery", "subscribe") == "subscribe" {
		h.WatchNodes(true)
	}
	h.SetTimer(interval, wakeInterval)
	h.SetTimer(lookEvery, wakeSilent)
	return b
}

// NodeListFailed says that asking for the list failed or a watch has ended, without saying which.
func (b *Balancer) NodeListFailed() {
	if !b.watchDue {
		b.watchDue = true
		b.h.SetTimer(1000+2000*b.rnd.Float64(), wakeWatch)
	}
}

// StageUpdate tells where the newest build stands; reply says that it answers this instance's vote.
func (b *Balancer) StageUpdate(ver, stage int, phase Phase, cap, age float64, reply bool) {
	now := b.h.Now()
	if reply {
		b.voteOut = false
		b.voteUntil = now + b.set.num("rollout.vote-ttl-ms", 0)*0.9
	}
	if ver < b.ver {
		return
	}
	if ver > b.ver || !b.announced {
		b.renew(ver, now)
	}
	if phase != OnTrial && phase != Released {
		maps.DeleteFunc(b.bound, func(_ string, to int) bool { return to <= ver }) // not those of a later one
		if b.floor <= ver {
			b.floor = 0
		}
	}
	b.ver, b.stage, b.phase, b.cap, b.announced = ver, stage, phase, cap, true
	b.stageSince, b.index.stale = now-age, true
}

// VoteFailed says how a vote ended that was not answered.
func (b *Balancer) VoteFailed(ending Outcome) {
	b.voteOut = false
	if ending == TimedOut { // it may count, so it is taken to stand for a while
		b.voteUntil = b.h.Now() + b.set.num("rollout.vote-ttl-ms", 0)/2
		return
	}
	b.vote, b.voteNext = NoVote, b.h.Now()+1000
}

// InvocationArrived takes an invocation: from here on it is owed one final answer within budget.
func (b *Balancer) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
	now := b.h.Now()
	inv := &invocation{id: id, op: op, tenant: tenant, key: key, came: now, due: now + budget, cost: cost}
	b.take(inv)
	inv.spare = b.overloaded(inv)
	b.send(inv)
}

// send is the ordinary path of an invocation, from the choice of its build to its dispatch.
func (b *Balancer) send(inv *invocation) { // nothing of it is out: two copies at once are not made use of
	now, left := b.h.Now(), inv.due-b.h.Now()
	if left <= margin || len(inv.sent) >= b.fix.mostTries {
		b.giveUp(inv)
		return
	}
	trial, earlier, known := b.known(inv, now) // by list, repeat rules, the cold nodes' budget and the cap
	if !known {
		trial.some, earlier.some = b.room[0][:0], b.room[1][:0]
		bound, seen, tried, exposes := max(b.floor, b.bound[inv.key]), -1, false, false
		for _, n := range b.order {
			if n.Health != Serving || now < n.full || !b.mayFollow(inv, n, now) || b.tooCold(n, now) {
				continue
			}
			if n.Ver != seen { // most nodes run the build that the one before runs
				seen, tried = n.Ver, b.onTrial(n.Ver)
				exposes = tried && b.mayExpose(n.Ver, inv.op, now)
			}
			if tried {
				if exposes {
					trial.some = append(trial.some, n)
				}
			} else if bound <= n.Ver || inv.key == "" {
				earlier.some = append(earlier.some, n)
			}
		}
		b.room[0], b.room[1] = trial.some, earlier.some
	}
	// What is too much for the fleet may try an idle trial node; one of many marshals can't tell one. It guards
	// against overload under a bad build that throttles all that speaks for the next; it may add to harm.
	first := len(inv.sent) == 0
	if first && inv.spare && (b.crowd() || trial.size() == 0 || b.pick(trial, now).inflight > 0) {
		b.giveUp(inv)
		return
	}
	pool := earlier
	if trial.size() > 0 && (earlier.size() == 0 || first && (inv.spare || b.draw(inv) < b.share)) {
		pool = trial
	}
	if pool.size() == 0 {
		b.hold(inv, now)
		return
	}
	if fresh := untried(pool.some, inv); len(fresh) > 0 {
		pool.some = fresh
	}
	n := b.pick(pool, now)
	if trial.size() > 0 && b.shunned(n, now) { // all that is left of the earlier build may be lost nodes
		n = b.pick(trial, now)
	}
	if b.onTrial(n.Ver) && earlier.size() > 0 { // a busy trial node judges the share, not the build
		if e := b.pick(earlier, now); b.load(n, now) > spillAt*b.load(e, now)+1 && !b.shunned(e, now) {
			n = e
		}
	}
	if b.sick(n) {
		n.retest = now + n.penalty
	}
	b.opened(inv, dispatch{to: n, ver: n.Ver, sent: now, young: b.young(n, now), short: left < b.sloOf(inv.op)})
	b.h.Dispatch(inv.id, n.ID, left)
}

// draw places an invocation between 0 and 1; by its key where keys only go forward: always the same ones.
func (b *Balancer) draw(inv *invocation) float64 {
	if inv.key == "" || !b.fix.forwardOnly {
		return b.rnd.Float64()
	}
	if max(b.floor, b.bound[inv.key]) >= b.ver {
		return -1
	}
	return place(inv.key)
}

// mayFollow keeps the rule against double effects, once nothing of the invocation is out any more.
func (b *Balancer) mayFollow(inv *invocation, n *node, now float64) bool {
	op := &b.ops[inv.op]
	for _, d := range inv.sent {
		if d.ran && op.repeat != "idempotent" && (op.repeat != "fingerprinted" || now >= d.sent+op.memory ||
			!n.groupedWith(d.to, op.group)) {
			return false
		}
	}
	return true
}

// onTrial says whether a build is on trial for this instance.
func (b *Balancer) onTrial(ver int) bool {
	if !b.announced { // nothing told yet: all but the oldest build listed may be on trial
		return b.serving(func(n *node) bool { return n.Ver < ver }) > 0
	}
	return ver > b.ver || ver == b.ver && b.phase != Released
}

// groupedWith says that two nodes drop repeats of each other's invocations.
func (n *node) groupedWith(o *node, group string) bool {
	return group == "all" || group == "zone" && n.Zone == o.Zone ||
		group == "cell" && n.Zone == o.Zone && n.Cell == o.Cell
}

// mayExpose keeps the rule on a trial build's exposure.
func (b *Balancer) mayExpose(ver, op int, now float64) bool {
	stage, cap := b.stage, b.cap
	if ver != b.ver || !b.announced {
		stage, cap = 0, b.fix.firstCap
	}
	if cap <= 0 || float64(stage) < b.fix.shielded && b.ops[op].repeat != "idempotent" {
		return false
	}
	over, scope := b.fix.countedOver, b.scope(op)
	if b.fix.instances > 1 { // what counts is what all instances of this marshal expose: they draw leases on it
		l := b.leases[exposure{ver, scope}]
		return l.left > 0 && now < l.until
	}
	free := b.fix.allowance
	if now-b.begun < over { // an instance that was here before may have used its allowance up
		free = 0
	}
	used := b.exposedTo(ver, scope).since(now - over - margin)
	return used+1 <= free+cap*b.takenBy(scope).since(now-over+margin)
}

// cold is the share of its capacity that a node may count on by now.
func (b *Balancer) cold(n *node, now float64) float64 {
	if n.Started <= 0 || now-n.Started > 2*b.fix.warmUp {
		return 1
	}
	from := b.fix.coldFrom
	return min(1, from+(1-from)*max(0, now-n.Started)/b.fix.warmUp)
}

func (b *Balancer) young(n *node, now float64) bool { return n.Started > 0 && now-n.Started < readyAge }

// tooCold keeps a starting node from being pushed over: what this marshal sends it stays under the rule's
// multiple of what a warm node does for it, so all together do. What is less than one invocation goes by a
// lot drawn for each node: that guards against hundreds of marshals that each round up, and against none
// daring.
func (b *Balancer) tooCold(n *node, now float64) bool {
	part := b.cold(n, now)
	if part >= 1 {
		return false
	}
	over := b.fix.fallOver
	room := 0.85 * b.fix.fallTimes * part * over * b.served
	return n.pushed.since(now-over)+n.lot*b.usualCost > room // not by its own cost: the light would fill it up
}

// pick makes two random choices among the healthy and near by what is in flight.
func (b *Balancer) pick(from pool, now float64) *node {
	from = b.nearby(b.linked(b.healthy(from, now), now), now)
	i, j := b.rnd.IntN(from.size()), b.rnd.IntN(from.size())
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
func (b *Balancer) linked(from pool, now float64) pool {
	since := max(0, now-b.fix.connFor)
	if b.noLink >= linkTrouble {
		there := b.those(3, from.some, func(n *node) bool { return n.link > since && n.inflight < 2 })
		if len(there) > 0 {
			return pool{some: there}
		}
	}
	return from
}

// load is what is in flight at a node against its size, and what of that it has while cold.
func (b *Balancer) load(n *node, now float64) float64 {
	return float64(n.inflight) / max(n.Size*b.cold(n, now), 0.01)
}

// healthy leaves out nodes that fail more than the fleet's median or do not answer; it fails open.
func (b *Balancer) healthy(from pool, now float64) pool {
	well := b.but(2, from, func(n *node) bool { return b.shunned(n, now) || b.silent(n, now) })
	if well.size()*3 < from.size() {
		return from
	}
	return well
}

func (b *Balancer) sick(n *node) bool { return n.failing() > b.median+sickBy }

func (b *Balancer) shunned(n *node, now float64) bool { return b.sick(n) && now < n.retest }

// silent says that a node that lives would have answered something by now: the chance that it has not falls
// with the sum of the waits at it. It guards against striking living nodes where a marshal has a trickle out.
func (b *Balancer) silent(n *node, now float64) bool {
	waits := 0.0
	for _, o := range n.open {
		waits += (now - max(n.answered, o.inv.sent[o.no].sent)) / b.patience(o.inv.op)
	}
	return waits >= 1
}

func (b *Balancer) patience(op int) float64 { return max(b.sloOf(op)/2, silence*b.recent[op]) }

// nearby keeps to the own zone where crossing has a price, unless nothing there is free or another zone
// answers so much more in time that crossing pays; then a part crosses. It guards against traffic that moves,
// lost nodes and slow links: behind one nothing looks better. It may hurt where a zone is slow briefly.
func (b *Balancer) nearby(from pool, now float64) pool {
	price, own := b.fix.price, b.fix.zone
	if price <= 0 {
		return from
	}
	far := own
	for _, z := range b.others(from, own) {
		if far == own || b.soon(z) > b.soon(far) {
			far = z
		}
	}
	if gain := b.soon(far) - b.soon(own) - price; gain > 0 && b.rnd.Float64() < crossing*gain {
		return b.within(4, from, far)
	}
	near := b.within(4, from, own)
	if !b.loose(near, now, 2) { // else none is loaded by more than that over another
		if here, all := b.leastLoads(b.all(5, from), now); here > all+2 {
			return from
		}
	}
	return near
}

// soon is the share of dispatches to a zone that are answered within the SLO time, lately.
func (b *Balancer) soon(zone int) float64 { return 1 - *b.lateAt(zone) }

// desert stops waiting at silent nodes for what may be sent again: a time limit would also strike what waits
// its turn at a busy node. It guards against hung, vanished and paused nodes; it may hurt where an answer
// takes long.
func (b *Balancer) desert(now float64) {
	for _, n := range b.order {
		if !b.silent(n, now) {
			continue
		}
		for _, o := range slices.Clone(n.open) {
			d := &o.inv.sent[o.no]
			if !o.inv.finished && now-d.sent > b.patience(o.inv.op)/2 && b.repeatable(o.inv, now) {
				b.h.Cancel(o.inv.id, o.no)
				d.left = true
			}
		}
	}
}

// repeatable says that some other node could be sent this invocation now.
func (b *Balancer) repeatable(inv *invocation, now float64) bool {
	return len(inv.sent) < b.fix.mostTries && !inv.sent[len(inv.sent)-1].left &&
		b.serving(func(n *node) bool {
			return !b.silent(n, now) && !b.onTrial(n.Ver) && b.mayFollow(inv, n, now)
		}) > 0
}

// living counts the nodes that answer, and what is out there: what is out at others waits for nothing.
func (b *Balancer) living(now float64) (out, nodes float64) {
	b.indexed(now)
	out, nodes = b.index.out, float64(len(b.index.trial.list)+len(b.index.earlier.list))
	for _, n := range b.index.odd {
		if b.sick(n) || b.silent(n, now) {
			out -= float64(n.inflight)
			nodes--
		}
	}
	return out, nodes
}

// overloaded says that more is out than the fleet answers in the time that may be spent at a node (Little's
// law); what was out in calm times is never too much, or slow answers would leave the fleet idle. It guards
// against bursts, machines lost and a fleet slowed as a whole. It may hurt when half the fleet is gone.
func (b *Balancer) overloaded(inv *invocation) bool {
	out, living := b.living(inv.came)
	room := max(leastOut, b.calm*calmTimes*living, b.pace*b.slo*queueFor)
	part := 1 + spared*(b.yield(inv.op)-0.7)
	over := out >= room*part && inv.came-b.begun >= 2*interval
	// Of few out a bound tells nothing: then part goes by what came to nothing of late.
	over = over || b.rnd.Float64()*part < min(0.9, 1-jamTimes*(1-b.jam))
	b.turned = b.turned || over
	return over
}

// yield is what an operation is worth for its work, against the operation worth most.
func (b *Balancer) yield(op int) float64 {
	most, mine := math.Inf(-1), 0.0
	for o := range b.ops {
		worth := b.ops[o].value
		if !b.fix.byWork {
			worth /= max(b.recent[o], 1)
		}
		most = max(most, worth)
		if o == op {
			mine = worth
		}
	}
	return mine / max(most, 1e-9)
}

// hold keeps an invocation that can be sent nowhere now, as long as it could still be answered in time.
func (b *Balancer) hold(inv *invocation, now float64) {
	hopeless := len(inv.sent) > 0 && b.serving(func(n *node) bool { return b.mayFollow(inv, n, now) }) == 0
	if hopeless || now >= min(inv.due-margin, inv.came+b.sloOf(inv.op)-b.recent[inv.op]) {
		b.giveUp(inv)
		return
	}
	b.held = append(b.held, inv)
	if len(b.held) == 1 {
		b.h.SetTimer(20, wakeHeld)
	}
}

// giveUp gives the final answer of an invocation that will get no further dispatch.
func (b *Balancer) giveUp(inv *invocation) {
	op := &b.ops[inv.op]
	harmless := op.repeat == "idempotent" || op.repeat == "fingerprinted" && op.group == "all"
	b.finish(inv)
	if last := len(inv.sent) - 1; last < 0 || !inv.sent[last].erred {
		b.missed(true, last >= 0)
	}
	if harmless || !inv.mayHaveRun() {
		b.h.Throttle(inv.id, 200)
	} else {
		b.h.Terminate(inv.id)
	}
}

// DispatchEnded says how a dispatch ended; done, that its invocation has its final answer.
func (b *Balancer) DispatchEnded(id string, no int, _ uint32, how Outcome, took float64, done bool,
	report map[string]float64) {
	inv := b.invs[id]
	if inv == nil || no >= len(inv.sent) || !inv.sent[no].open {
		return
	}
	now := b.h.Now()
	d := b.closed(inv, no, how, now)
	if b.crowd() || !b.young(d.to, now-reportLag) { // few can wait for what tells of a warm node
		d.to.reported(report, b.cold(d.to, now-reportLag))
	}
	b.learn(inv, d, how, took, now)
	if done && !inv.finished {
		b.missed(now-inv.came > b.sloOf(inv.op) && now-b.looked <= 3*lookEvery, true)
	}
	if done || inv.finished {
		b.finish(inv)
		return
	}
	b.send(inv)
}

// learn takes an outcome as evidence on node, build and fleet; after an own stall, as evidence of nothing.
func (b *Balancer) learn(inv *invocation, d *dispatch, how Outcome, took, now float64) {
	n := d.to
	if now-b.looked > 3*lookEvery || now == b.stalled {
		return
	}
	if last := len(inv.sent) - 2; last >= 0 && inv.sent[last].erred && (how == Failed || how == Succeeded) {
		fade(&b.again, how == Failed, 0.3)
	}
	if how == Succeeded || how == Failed || how == Rejected || how == ConnectionReset {
		fade(&b.noLink, false, 0.02)
		n.answered, n.link = now, now
	} else if how == ConnectFailed {
		fade(&b.noLink, true, 0.1)
		n.link = 0
	}
	if how != Failed && how != Ignored && !d.short {
		fade(b.lateAt(n.Zone), how != Succeeded || took > b.sloOf(inv.op), 0.05)
	}
	failed := how == Failed || how == TimedOut && !d.short || how == ConnectionReset
	if failed || how == ConnectFailed || how == Canceled {
		n.good, n.bad = n.good*0.9, n.bad*0.9+1
		// Of a trickle each node gets one in a while; a wait under that would spare it nothing.
		least := max(500, b.serving(every)*(now-b.begun)/max(b.arrived, 1))
		n.penalty = min(2*n.penalty+least, max(8000, 2*least))
		n.retest = now + n.penalty
	} else if how == Rejected {
		n.full = now + fullFor
	} else if how == Succeeded {
		n.good, n.bad, n.penalty = n.good*0.9+1, n.bad*0.9, n.penalty/2
		b.seenOf[inv.op]++
		b.recent[inv.op] += (took - b.recent[inv.op]) * max(0.05, 1/b.seenOf[inv.op])
		if inv.id != "" { // its own, not that of another instance: each has its part of a cold node's budget
			b.work.add(now, b.weigh(inv.cost))
		}
	}
	b.doubt(n, now)
	// A cold node is slow, not wrong: its answers are evidence on success, or a stage would be over before there
	// is any. Time-outs in another zone may be the link's.
	far := n.Zone != b.fix.zone
	if how != Succeeded && how != Failed && (d.young || far || !failed) {
		return
	}
	// A node that fails far more than others of its build is at fault itself, not its build; so are invocations
	// of which most that err err again elsewhere. It may hide a build that breaks one operation, once alone.
	if how == Failed && b.again > 0.5 ||
		failed && n.failing() > sickBy && // which no median is under
			n.failing() > sickBy+b.medianFailing(func(o *node) bool { return o.Ver == d.ver }) {
		return
	}
	all := b.posterior(d.ver)
	all[inv.op].outcome(how, took, !d.young)
	all[len(b.ops)].outcome(how, took, !d.young)
}

// TimerFired is a timer's end.
func (b *Balancer) TimerFired(handle int64) {
	switch handle {
	case wakeInterval:
		b.h.SetTimer(interval, wakeInterval)
		b.flow, b.pace = b.ends.since(b.h.Now()-2*interval), b.answers.since(b.h.Now()-2*interval)/(2*interval)
		due := sagged * b.flowUsual * b.capacity(b.h.Now(), every) / max(b.serving(every), 1)
		if !b.turned {
			out, living := b.living(b.h.Now())
			b.calm += (out/max(living, 1) - b.calm) * 0.1
		}
		b.turned = false
		if b.misses < b.missesUsual+strained {
			b.flowUsual, b.sags = b.flowUsual+(b.flow-b.flowUsual)*0.1, 0
		} else if b.flow < due && !b.crowd() { // one of many may just be behind a slow link; cold nodes owe less
			b.sags++
		}
		b.jam *= 0.97                 // forgotten bit by bit, by those too that answer next to nothing
		for _, late := range b.late { // so that a zone is tried again
			*late *= 0.98
		}
		b.forget()
		b.measure()
		b.setShare()
		b.judge()
		if b.set.is("limits.may-tell") && b.announced && b.phase == OnTrial && b.h.Now() >= b.tellNext {
			b.tellNext = b.h.Now() + tellEvery
			b.h.SendToPeer(AllPeers, b.counts(b.earlier()))
		}
	case wakeHeld:
		b.sendHeld()
	case wakeSilent:
		now := b.h.Now()
		b.h.SetTimer(lookEvery, wakeSilent)
		if now-b.looked > 3*lookEvery { // this marshal stood still: what it finds now says nothing of others
			b.stalled = now
		} else if now > b.stalled {
			b.desert(now)
		}
		b.looked = now
	case wakeWatch:
		b.watchDue = false
		b.h.WatchNodes(true)
	}
}

// forget lets go of what no rule asks for any more: nodes that are gone, builds before the earlier one and,
// once no node of an earlier build is left, the keys the newest has answered: one floor then stands for all.
// It guards against a marshal that grows with its age; it may hurt where a node long gone comes back as the
// same process, of which nothing is known then, or one of an earlier build does, which then gets no keys.
func (b *Balancer) forget() {
	now, before, older := b.h.Now(), b.earlier(), false
	b.order = slices.DeleteFunc(b.order, func(n *node) bool {
		old := n.Health == Gone && n.inflight == 0 && now-n.told > goneFor
		if old {
			delete(b.nodes, n.ID)
		}
		older = older || !old && n.Ver < b.ver && (n.Health != Gone || n.inflight > 0)
		return old
	})
	maps.DeleteFunc(b.posteriors, func(ver int, _ []posterior) bool { return ver < before })
	maps.DeleteFunc(b.exposed, func(e exposure, _ *sliding) bool { return b.announced && e.ver < b.ver })
	if b.announced && b.phase == Released && !older && len(b.bound) > 0 {
		b.floor = b.ver
		maps.DeleteFunc(b.bound, func(_ string, to int) bool { return to <= b.ver })
	}
}

// measure finds what a warm node does for this marshal, but not while nodes are cold and go by their budget.
func (b *Balancer) measure() {
	now := b.h.Now()
	const over = 4000
	work := b.work.since(now-over) / min(over, max(now-b.begun, interval))
	parts := b.capacity(now, every)
	b.median = b.medianFailing(every)
	b.doubtAll(now)
	if parts == b.serving(every) || now-b.begun < over {
		b.served = work / max(parts, 1)
	}
}

// setShare sets the trial build's share for the next interval: its full cap if feasible, else the feasible
// fraction of the draws; at most doubling, and not below its share of the ready nodes.
func (b *Balancer) setShare() {
	now := b.h.Now()
	ready := b.capacity(now, func(n *node) bool { return b.onTrial(n.Ver) }) / max(b.capacity(now, every), 1e-9)
	feasible := 0.0
	for range draws {
		within := 1.0
		for op, p := range b.posterior(b.ver)[:len(b.ops)] {
			if p.n >= 2 && p.mean+b.rnd.NormFloat64()*math.Sqrt(p.variance()/p.n) > b.sloOf(op) {
				within = 0
			}
		}
		feasible += within / draws
	}
	target := b.cap
	if feasible < 0.5 {
		target *= feasible
	}
	// The cap comes before the stage's machines: those there take their part, or would look slow for the rest.
	if plan := b.set.nums("rollout.stage-share"); b.stage < len(plan) && plan[b.stage] > 0 {
		target = min(target, b.cap*ready/plan[b.stage])
	}
	// More than the ready nodes' part would jam them unseen where a marshal has next to nothing out at a node.
	target = ready + (target-ready)*min(1, b.calm)
	b.share = max(min(target, 2*b.share), ready)
}

// judge votes on the newest build.
func (b *Balancer) judge() {
	now, before := b.h.Now(), b.earlier()
	if !b.announced || b.phase == RollingBack || b.phase == Withdrawn || before < 0 {
		return
	}
	if b.misses < b.missesUsual+strained {
		b.strainSince = now
	}
	b.settle(before)
	own, then := b.posterior(b.ver), b.posterior(before)
	fine, worse, n, bad := b.compare(own, then, leastJudge)
	// Of a crowd the marshal with the worst luck would decide, or one failing node in all that is counted: there
	// the fleet's outcomes have to be sure, and the marshal's own, however few, to agree.
	if fine2, worse2, n2, _ := b.compare(b.fleet[0], b.fleet[1], leastJudge); b.crowd() && n2 >= leastJudge {
		fine, worse, _, _ = b.compare(own, then, 2)
		fine, worse, n = min(fine2, 2*fine), min(worse2, 2*worse), n2
	}
	standing := b.vote == RollBack && b.voteVer == b.ver && now < b.voteUntil
	calm := b.strainSince == now && b.slowBy < slowed
	// Trouble older than the build is not its own: what it does itself speaks for it. It guards against one bad
	// build that is kept by the trouble it makes; it may hurt when the next one is no better.
	older := !b.crowd() && b.metAt < now && b.strainSince < b.metAt && n >= leastJudge && worse < 0.5
	under := b.strainSince > b.metAt && b.strainSince < b.stageSince+2*blindAfter // begins with a stage
	switch {
	case n >= leastJudge && worse >= confidence:
		b.cast(RollBack, now, fmt.Sprintf("trails in success, %v of %v failed", bad, n))
	case b.phase == OnTrial && b.heavier(now) >= heavy: // later the list may name earlier nodes long gone
		b.cast(RollBack, now, "needs more work")
	case now-b.strainSince >= strainFor && under && b.slowBy >= slowed:
		b.cast(RollBack, now, "long trouble under it")
	case under && b.sags >= sagsBack: // a burst has more answered; it may strike where many nodes are lost
		b.cast(RollBack, now, "the fleet answers less under it")
	case b.set.text("rollout.gate-mode", "") == "clock":
		if n >= leastJudge && bad > 0 && worse > 0.5 {
			b.cast(Hold, now, "may trail")
		}
	case b.phase != OnTrial:
	case n >= leastJudge && fine >= confidence && (b.sags == 0 || !under): // slow alike is no keeping up
		b.cast(Advance, now, "keeps up")
	case now-b.stageSince >= blindAfter && !standing && (calm || older) && b.seen(now):
		b.cast(Advance, now, "no verdict")
	}
}

// crowd says that so many marshals judge for each vote needed that one of them will have bad luck.
func (b *Balancer) crowd() bool {
	return b.set.num("rollout.noes-needed", 1)*fewMarshals < b.set.num("marshals", 1)
}

// compare gives the chances that the newest build keeps up and that it is worse, its outcomes and failures.
func (b *Balancer) compare(now, then []posterior, least float64) (fine, worse, n, bad float64) {
	fine, n, bad = 1, now[len(b.ops)].good+now[len(b.ops)].bad, now[len(b.ops)].bad
	if n < least {
		return 0, 0, n, bad
	}
	alone := b.crowd() && b.serving(func(n *node) bool { return n.Ver < b.ver }) == 0
	for op := range now { // each operation, and all of them together
		p, q := now[op], then[op]
		// Errors are also judged alone: time-outs of an overload would drown them.
		for i, failed := range [][2]float64{{p.errors, q.errors}, {p.bad, q.bad}} {
			if i == 1 && alone { // nothing to tell a slow spell by
				continue
			}
			usual := (1 + q.good + q.bad - failed[1]) / (2 + q.good + q.bad)
			new := distuv.Beta{Alpha: priorWeight*usual + p.good + p.bad - failed[0],
				Beta: priorWeight*(1-usual) + failed[0], Src: b.rnd}
			old := distuv.Beta{Alpha: 1 + q.good + q.bad - failed[1], Beta: 1 + failed[1], Src: b.rnd}
			var keeps, trails float64
			for range judgeDraws {
				s, t := new.Rand(), old.Rand()
				if s < t-pointsBack {
					trails++
				}
				l := p.mean + b.rnd.NormFloat64()*math.Sqrt(p.variance()/max(p.n, 1))
				m := q.mean + b.rnd.NormFloat64()*math.Sqrt(q.variance()/max(q.n, 1))
				if s >= t-pointsOn && l <= slower*m {
					keeps++
				}
			}
			fine = min(fine, keeps/judgeDraws)
			if failed[0] > 1 || failed[0] > 0 && least < leastJudge {
				worse = max(worse, trails/judgeDraws)
			}
		}
	}
	return fine, worse, n, bad
}

// seen says that the blind vote need not wait for nodes to judge: before the last stage it does.
func (b *Balancer) seen(now float64) bool {
	all, young := b.serving(b.newest), b.serving(func(n *node) bool { return b.newest(n) && b.young(n, now) })
	return b.stage != len(b.set.nums("rollout.stage-share"))-2 || young*2 <= all && all > 0
}

// missed counts an invocation as late or given up, or not. An error is neither: it may be the invocation's
// own.
func (b *Balancer) missed(yes, sent bool) {
	if sent { // not what was turned away: that would go on for its own sake
		fade(&b.jam, yes, 0.03)
	}
	fade(&b.misses, yes, 0.03)
	if b.misses < b.missesUsual+strained {
		fade(&b.missesUsual, yes, 0.003)
	}
}

// heavier is how much more work an invocation is for the build on trial by its nodes' reports, the lower
// median: one slow machine decides nothing. It guards against builds that are slow but fail little.
func (b *Balancer) heavier(now float64) float64 {
	ratios := b.workRatios(func(n *node) bool { return b.crowd() || !b.young(n, now) })
	if len(ratios) < 2 {
		return 0
	}
	// The invocations of this marshal must have taken longer too, or the reports tell of something else.
	mine, before := b.posterior(b.ver)[len(b.ops)], b.posterior(b.earlier())[len(b.ops)]
	if b.crowd() { // or those of the fleet
		mine, before = b.fleet[0][len(b.ops)], b.fleet[1][len(b.ops)]
	}
	if mine.n < leastJudge || mine.mean < slower*before.mean {
		return 0
	}
	return ratios[(len(ratios)-1)/2]
}

// cast votes on a change or when the vote has lapsed, paced within the platform's allowance.
func (b *Balancer) cast(v Verdict, now float64, why string) {
	same := b.vote == v && b.voteVer == b.ver && (v == RollBack || b.voteStage == b.stage)
	if b.mute || b.voteOut || now < b.voteNext || same && now < b.voteUntil {
		return
	}
	b.vote, b.voteVer, b.voteStage, b.voteOut = v, b.ver, b.stage, true
	b.voteNext = now + max(interval, 2000*b.set.num("marshals", 1)/max(b.set.num("rollout.api-rate", 1), 0.1))
	b.h.Log(fmt.Sprintf("vote %d on build %d at stage %d: %s", v, b.ver, b.stage, why))
	b.h.Vote(b.ver, b.stage, v)
}

// settle takes the last tallies as the fleet's evidence, both builds over the same periods and the earlier
// one at a few times the newest: else a slow spell while one of them had the traffic would speak for or
// against it.
func (b *Balancer) settle(before int) {
	if b.set.is("limits.may-tell") {
		b.fleet = b.heard(before)
		return
	}
	b.slow()
	for op := range b.ops {
		p, q := b.period[exposure{b.ver, op}], b.period[exposure{before, op}]
		n, m := p.good+p.bad, q.good+q.bad
		for _, o := range []int{op, len(b.ops)} {
			if n > 0 && m > 0 {
				b.fleet[0][o].add(p, 1)
				b.fleet[1][o].add(q, min(1, 3*n/m))
			}
		}
	}
	clear(b.period)
}

// slow follows what the fleet's dispatches take, against the usual.
func (b *Balancer) slow() {
	took, usual := 0.0, 0.0
	for op := range b.ops {
		mean, n := b.counted(op)
		if n > 0 && b.usualTime[op] == 0 {
			b.usualTime[op] = mean
		} else if n > 0 && mean < b.usualTime[op]*slowed {
			b.usualTime[op] += (mean - b.usualTime[op]) * 0.1
		}
		took, usual = took+n*mean, usual+n*b.usualTime[op]
	}
	if usual > 0 {
		b.slowBy = took / usual
	}
}

// failing is a node's share of failures, lately.
func (n *node) failing() float64 { return (n.bad + 0.1) / (n.good + n.bad + 1) }

// reported takes from a load report what one invocation is for the node: its busy share at its rate or, where
// that is not told, its service time, less what comes of sharing its cores with as many as are there at once.
func (n *node) reported(report map[string]float64, part float64) {
	rate, work := report["rate"], 0.0
	if busy := report["busy"]; busy > 0 && rate > 0 {
		work = busy / rate
	} else if service := report["service-ms"]; service > 0 {
		work = service / (1 + service*rate/1000)
	}
	work *= part // of its capacity that it has at least: a cold one looks no heavier than it is
	if work > 0 {
		n.work += (work - n.work) * map[bool]float64{true: 1, false: 0.2}[n.work == 0]
	}
}
