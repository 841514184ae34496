package balance

import "fmt"

// What an instance is told where one marshal has several, and what it keeps of that; docs/cores.md. Nothing here
// decides.

// sharedState is of the marshal whose instance this is one of.
type sharedState struct {
	leases map[exposure]lease
	mute   bool // another instance votes
	other  struct {
		inv invocation
		d   dispatch
	}
}

// lease is how much of a build, or of one operation at it, this instance may still expose, and until when.
type lease struct {
	left  int
	until float64
}

// SetLease says what the instance may expose by a lease; the one before it is over.
func (b *Balancer) SetLease(ver, op, left int, until float64) {
	if left > 0 {
		b.leases[exposure{ver, op}] = lease{left, until}
	} else {
		delete(b.leases, exposure{ver, op})
	}
}

// OnTrial says whether a build is on trial for this instance: what is sent to it needs a lease.
func (b *Balancer) OnTrial(ver int) bool { return b.onTrial(ver) }

func (b *Balancer) spend(ver, op int) {
	if l, ok := b.leases[exposure{ver, op}]; ok {
		l.left--
		b.leases[exposure{ver, op}] = l
	}
}

// SetCoordinator says whether this instance votes for its marshal; until told it does.
func (b *Balancer) SetCoordinator(votes bool) { b.mute = !votes }

// SiblingDispatchEnded brings how a dispatch ended that another instance of this marshal made: evidence as its own are.
func (b *Balancer) SiblingDispatchEnded(id uint32, ver, op int, how Outcome, took float64, short bool, report map[string]float64) {
	n, now := b.nodes[id], b.h.Now()
	if n == nil || n.Ver != ver || op >= len(b.ops) {
		return
	}
	if b.crowd() || !b.young(n, now-reportLag) {
		n.reported(report, b.cold(n, now-reportLag))
	}
	if ver == b.ver && how != Rejected && how != ConnectFailed {
		b.metAt = min(b.metAt, now)
	}
	b.other.inv = invocation{op: op, sent: b.other.inv.sent[:0]}
	b.other.d = dispatch{to: n, ver: ver, young: b.young(n, now-took), short: short}
	b.learn(&b.other.inv, &b.other.d, how, took, now)
}

// drawLot draws a node's lot for what is left over of its cold budget. Instances of one marshal draw lots that lie
// evenly apart, so that together they round as one does.
func (b *Balancer) drawLot(l Node) float64 {
	lot := b.rnd.Float64()
	if b.fix.instances > 1 {
		lot = place(fmt.Sprint(b.fix.number, " ", l.ID, " ", l.Started, " ", l.ID)) + b.fix.instance/b.fix.instances
		lot -= float64(int(lot))
	}
	return lot
}
