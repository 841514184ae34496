package balance

import "fmt"

// What an instance is told where one marshal has several, and what it keeps of that; docs/cores.md. Nothing here
// decides.

// sharedState is of the marshal whose instance this is one of.
type siblingState struct {
	leases         map[exposureKey]lease
	notCoordinator bool // another instance votes
	siblingScratch struct {
		inv invocation
		d   dispatch
	}
}

// lease is how much of a build, or of one operation at it, this instance may still expose, and until when.
type lease struct {
	remaining int
	expires   float64
}

// SetLease says what the instance may expose by a lease; the one before it is over.
func (b *Balancer) SetLease(ver, op, remaining int, expires float64) {
	if remaining > 0 {
		b.leases[exposureKey{ver, op}] = lease{remaining, expires}
	} else {
		delete(b.leases, exposureKey{ver, op})
	}
}

// OnTrial says whether a build is on trial for this instance: what is sent to it needs a lease.
func (b *Balancer) OnTrial(ver int) bool { return b.isOnTrial(ver) }

func (b *Balancer) spendLease(ver, op int) {
	if l, ok := b.leases[exposureKey{ver, op}]; ok {
		l.remaining--
		b.leases[exposureKey{ver, op}] = l
	}
}

// SetCoordinator says whether this instance votes for its marshal; until told it does.
func (b *Balancer) SetCoordinator(isCoordinator bool) { b.notCoordinator = !isCoordinator }

// SiblingDispatchEnded brings how a dispatch ended that another instance of this marshal made: evidence as its own are.
func (b *Balancer) SiblingDispatchEnded(nodeID uint32, ver, op int, outcome Outcome, tookMs float64, shortLimit bool, report map[string]float64) {
	n, now := b.nodes[nodeID], b.host.Now()
	if n == nil || n.Ver != ver || op >= len(b.ops) {
		return
	}
	if b.manyMarshals() || !b.isRecentlyStarted(n, now-reportLagMs) {
		n.recordReport(report, b.capacityShare(n, now-reportLagMs))
	}
	if ver == b.newestVer && outcome != Rejected && outcome != ConnectFailed {
		b.firstAnswerAt = min(b.firstAnswerAt, now)
	}
	b.siblingScratch.inv = invocation{op: op, dispatches: b.siblingScratch.inv.dispatches[:0]}
	b.siblingScratch.d = dispatch{node: n, ver: ver, recentlyStarted: b.isRecentlyStarted(n, now-tookMs), shortLimit: shortLimit}
	b.recordEvidence(&b.siblingScratch.inv, &b.siblingScratch.d, outcome, tookMs, now)
}

// drawLot draws a node's lot for what is left over of its cold budget. Instances of one marshal draw lots that lie
// evenly apart, so that together they round as one does.
func (b *Balancer) drawColdRounding(l Node) float64 {
	draw := b.rng.Float64()
	if b.cfg.instances > 1 {
		draw = hashToUnit(fmt.Sprint(b.cfg.marshalNumber, " ", l.ID, " ", l.Started, " ", l.ID)) + b.cfg.instance/b.cfg.instances
		draw -= float64(int(draw))
	}
	return draw
}
