package balance

import "fmt"

// Events and state of an instance whose marshal has several instances, see docs/cores.md. No decisions are made here.

// siblingState is what an instance shares with, or learns from, the other instances of its marshal.
type siblingState struct {
	leases         map[exposureKey]lease
	notCoordinator bool     // another instance votes for the marshal
	siblingScratch struct { // reused by SiblingDispatchEnded
		inv      invocation
		dispatch dispatch
	}
}

// lease allows this instance to send dispatches to a trial build, or to one operation of it.
type lease struct {
	remaining int     // dispatches left
	expires   float64 // clock time
}

// SetLease replaces the instance's lease on a trial build: remaining dispatches of the operation, or of all together if
// op is -1, until the clock time expires.
func (b *Balancer) SetLease(ver, op, remaining int, expires float64) {
	if remaining > 0 {
		b.leases[exposureKey{ver, op}] = lease{remaining, expires}
	} else {
		delete(b.leases, exposureKey{ver, op})
	}
}

// OnTrial reports whether a build is on trial for this instance, so that dispatches to it need a lease.
func (b *Balancer) OnTrial(ver int) bool { return b.isOnTrial(ver) }

// spendLease counts a dispatch against its lease, if there is one.
func (b *Balancer) spendLease(ver, op int) {
	if l, ok := b.leases[exposureKey{ver, op}]; ok {
		l.remaining--
		b.leases[exposureKey{ver, op}] = l
	}
}

// SetCoordinator sets whether this instance votes for its marshal, which is the default.
func (b *Balancer) SetCoordinator(isCoordinator bool) { b.notCoordinator = !isCoordinator }

// SiblingDispatchEnded reports the outcome of a dispatch by another instance of this marshal. It is evidence like that
// of the instance's own dispatches.
func (b *Balancer) SiblingDispatchEnded(nodeID uint32, ver, op int, outcome Outcome, tookMs float64, shortLimit bool,
	report map[string]float64) {
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
	b.siblingScratch.dispatch = dispatch{node: n, ver: ver, recentlyStarted: b.isRecentlyStarted(n, now-tookMs),
		shortLimit: shortLimit}
	b.recordEvidence(&b.siblingScratch.inv, &b.siblingScratch.dispatch, outcome, tookMs, now)
}

// drawWarmUpRounding draws the number in [0, 1) that decides how the fraction of an invocation left in the budget of a
// node that is warming up is rounded. The draws of a marshal's instances are evenly spaced, so that together they round
// as one instance does.
func (b *Balancer) drawWarmUpRounding(l Node) float64 {
	draw := b.rng.Float64()
	if b.cfg.instances > 1 {
		draw = hashToUnit(fmt.Sprint(b.cfg.marshalNumber, " ", l.ID, " ", l.Started, " ", l.ID)) +
			b.cfg.instance/b.cfg.instances
		draw -= float64(int(draw))
	}
	return draw
}
