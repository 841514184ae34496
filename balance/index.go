package balance

import (
	"math"
	"slices"
)

// The index keeps the serving nodes by class and zone, so that no invocation has to scan all of them. Most nodes are
// regular: warm, healthy and responsive for some time to come. The few irregular nodes are checked for each invocation.
// The result is that of a scan of all nodes, in the same order: TestIndexed compares the two. No decisions are made here.

// nodeClass is the serving nodes of the builds on trial, or those of all other builds.
type nodeClass struct {
	nodes          []*node     // by id
	zones          []zoneNodes // the same nodes, by zone, in the order of the first node of each zone
	minVer, maxVer int         // the oldest and the newest build among them
}

// zoneNodes is the nodes of a class in one zone.
type zoneNodes struct {
	number int
	nodes  []*node // by id
}

// nodeIndex is the serving nodes by class.
type nodeIndex struct {
	stale           bool // the node list or the builds have changed
	trial, baseline nodeClass
	irregular       []*node // by id
	regularUntil    float64 // until then no regular node can become unresponsive
	inFlight        float64 // dispatches in flight at serving nodes
	fullScan        bool    // scan all nodes instead; set by a test only
}

const (
	unresponsiveSoonMs = 2.0  // a node that may be unresponsive within this time is irregular already
	roundingMs         = 0.01 // safety margin for rounding errors in responsiveUntil
)

// refreshIndex brings the index up to date.
func (b *Balancer) refreshIndex(now float64) {
	x := &b.index
	if x.stale {
		b.rebuildIndex(now)
	}
	if !(now < x.regularUntil) {
		x.regularUntil = math.Inf(1)
		for _, c := range [2]*nodeClass{&x.trial, &x.baseline} {
			for _, n := range c.nodes {
				b.recheck(n, now)
			}
		}
	}
	x.irregular = slices.DeleteFunc(x.irregular, func(n *node) bool {
		n.irregular = !b.isRegular(n, now)
		return !n.irregular
	})
}

// rebuildIndex builds the index from the node list.
func (b *Balancer) rebuildIndex(now float64) {
	x := &b.index
	x.stale, x.inFlight, x.regularUntil, x.irregular = false, 0, math.Inf(1), x.irregular[:0]
	for _, c := range [2]*nodeClass{&x.trial, &x.baseline} {
		c.nodes, c.zones, c.minVer, c.maxVer = c.nodes[:0], c.zones[:0], math.MaxInt, -1
	}
	lastVer, isTrial := -1, false
	for _, n := range b.nodesByID {
		n.class, n.irregular = nil, false
		if n.Health != Serving {
			continue
		}
		if n.Ver != lastVer {
			lastVer, isTrial = n.Ver, b.isOnTrial(n.Ver)
		}
		c := &x.baseline
		if isTrial {
			c = &x.trial
		}
		n.class, n.classIndex, c.nodes = c, len(c.nodes), append(c.nodes, n)
		c.minVer, c.maxVer = min(c.minVer, n.Ver), max(c.maxVer, n.Ver)
		i := slices.IndexFunc(c.zones, func(z zoneNodes) bool { return z.number == n.Zone })
		if i < 0 {
			i, c.zones = len(c.zones), append(c.zones, zoneNodes{number: n.Zone})
		}
		z := &c.zones[i]
		n.zoneIndex, z.nodes = len(z.nodes), append(z.nodes, n)
		x.inFlight += float64(n.inFlight)
		b.recheck(n, now)
	}
}

// recheck adds a node to the irregular ones if it is not regular any more.
func (b *Balancer) recheck(n *node, now float64) {
	if n.class == nil || n.irregular || b.isRegular(n, now) {
		return
	}
	n.irregular = true
	i, _ := slices.BinarySearchFunc(b.index.irregular, n.ID, compareID)
	b.index.irregular = slices.Insert(b.index.irregular, i, n)
}

// recheckAll rechecks all nodes after a change of the values they are compared with.
func (b *Balancer) recheckAll(now float64) {
	for _, n := range b.nodesByID {
		b.recheck(n, now)
	}
}

// isRegular reports whether a serving node is warm and healthy and will stay responsive for some time.
func (b *Balancer) isRegular(n *node, now float64) bool {
	if now < n.avoidUntil || b.isOutlier(n) || b.capacityShare(n, now) < 1 {
		return false
	}
	until := b.responsiveUntil(n)
	if !(now+unresponsiveSoonMs < until) {
		return false
	}
	b.index.regularUntil = min(b.index.regularUntil, until)
	return true
}

// responsiveUntil is a time before which a node can't become unresponsive. It follows from responseTimeout, which is
// never less than half the SLO time.
func (b *Balancer) responsiveUntil(n *node) float64 {
	sum, total := 1.0, 0.0
	for _, o := range n.dispatches {
		weight := 2 / b.sloOf(o.inv.op)
		sum += weight * max(n.lastAnswer, o.inv.dispatches[o.attempt].sentAt)
		total += weight
	}
	if total == 0 {
		return math.Inf(1)
	}
	return sum/total - roundingMs
}

// candidates is the nodes to choose from, by id: either a list of nodes, or the nodes of a class or of one of its zones
// without the excluded ones.
type candidates struct {
	nodes    []*node // used if class is nil
	class    *nodeClass
	zone     *zoneNodes // nil: all zones of the class
	excluded []*node    // by id
}

// base is the candidates with the excluded ones.
func (p candidates) base() []*node {
	switch {
	case p.class == nil:
		return p.nodes
	case p.zone != nil:
		return p.zone.nodes
	}
	return p.class.nodes
}

func (p candidates) size() int { return len(p.base()) - len(p.excluded) }

// at returns the k-th candidate.
func (p candidates) at(k int) *node {
	for _, o := range p.excluded {
		position := o.classIndex
		if p.zone != nil {
			position = o.zoneIndex
		}
		if position > k {
			break
		}
		k++
	}
	return p.base()[k]
}

// expand returns the candidates as a list, in a scratch buffer.
func (b *Balancer) expand(buffer int, p candidates) []*node {
	if p.class == nil {
		return p.nodes
	}
	nodes, excluded := b.scratch[buffer][:0], p.excluded
	for _, n := range p.base() {
		if len(excluded) > 0 && excluded[0] == n {
			excluded = excluded[1:]
			continue
		}
		nodes = append(nodes, n)
	}
	b.scratch[buffer] = nodes
	return nodes
}

// exclude leaves out the candidates that drop selects. It uses a scratch buffer. Of the nodes of a class only irregular
// ones are tested, so drop must not select a regular one.
func (b *Balancer) exclude(buffer int, p candidates, drop func(*node) bool) candidates {
	if p.class == nil {
		p.nodes = b.filterNodes(buffer, p.nodes, func(n *node) bool { return !drop(n) })
		return p
	}
	excluded, previous := b.scratch[buffer][:0], p.excluded
	for _, n := range b.index.irregular {
		if n.class != p.class {
			continue
		}
		if len(previous) > 0 && previous[0] == n {
			previous = previous[1:]
			excluded = append(excluded, n)
		} else if drop(n) {
			excluded = append(excluded, n)
		}
	}
	b.scratch[buffer] = excluded
	p.excluded = excluded
	return p
}

// inZone limits candidates to one zone.
func (b *Balancer) inZone(buffer int, p candidates, number int) candidates {
	if p.class == nil {
		p.nodes = b.filterNodes(buffer, p.nodes, func(n *node) bool { return n.Zone == number })
		return p
	}
	i := slices.IndexFunc(p.class.zones, func(z zoneNodes) bool { return z.number == number })
	if i < 0 {
		return candidates{}
	}
	p.zone, p.excluded = &p.class.zones[i], b.filterNodes(buffer, p.excluded, func(n *node) bool { return n.Zone == number })
	return p
}

// otherZones returns the zones of the candidates except the own one, in the order of their first candidates.
func (b *Balancer) otherZones(p candidates, ownZone int) (zones []int) {
	zones = b.scratchZones[:0]
	if p.class == nil {
		last := ownZone
		for _, n := range p.nodes {
			if n.Zone != ownZone && n.Zone != last && !slices.Contains(zones, n.Zone) {
				zones = append(zones, n.Zone)
			}
			last = n.Zone
		}
		b.scratchZones = zones
		return zones
	}
	var first [16]int
	for i := range p.class.zones {
		z := &p.class.zones[i]
		q := candidates{class: p.class, zone: z, excluded: b.filterNodes(6, p.excluded, func(n *node) bool {
			return n.Zone == z.number
		})}
		if z.number == ownZone || q.size() == 0 || len(zones) == len(first) {
			continue
		}
		at, k := q.at(0).classIndex, len(zones)
		zones = append(zones, z.number)
		for ; k > 0 && first[k-1] > at; k-- {
			zones[k], first[k] = zones[k-1], first[k-1]
		}
		zones[k], first[k] = z.number, at
	}
	b.scratchZones = zones
	return zones
}

// indexedCandidates returns the nodes that an invocation may be sent to, by class. ok is unset where the index can't tell
// and all nodes must be scanned: for repeats, several trial builds, keys bound to a build or many zones, and while
// connects often fail.
func (b *Balancer) indexedCandidates(inv *invocation, now float64) (trial, baseline candidates, ok bool) {
	x := &b.index
	b.refreshIndex(now)
	if x.fullScan || len(inv.dispatches) > 0 || b.connectFailureRate >= connectFailureLimit ||
		x.trial.minVer < x.trial.maxVer ||
		b.minVerOf(inv.key) > min(x.baseline.minVer, x.trial.minVer) || len(x.trial.zones)+len(x.baseline.zones) > 15 {
		return trial, baseline, false
	}
	drop := func(n *node) bool { return now < n.avoidUntil || b.warmUpBudgetSpent(n, now) }
	baseline = b.exclude(1, candidates{class: &x.baseline}, drop)
	if trial = b.exclude(0, candidates{class: &x.trial}, drop); trial.size() > 0 &&
		!b.mayExpose(x.trial.minVer, inv.op, now) {
		trial = candidates{}
	}
	return trial, baseline, true
}

// hasLowLoad reports whether one of the first few candidates has at most this load.
func (b *Balancer) hasLowLoad(p candidates, now, maxLoad float64) bool {
	if b.index.fullScan {
		return false
	}
	for k := range min(p.size(), 4) {
		if b.load(p.at(k), now) <= maxLoad {
			return true
		}
	}
	return false
}
