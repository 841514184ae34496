package balance

import (
	"math"
	"slices"
)

// The index keeps the serving nodes by class and zone, so that no invocation has to look at all of them. Most nodes
// are plain: warm, well, and not to be doubted for a while. The few that are not are the odd ones, and each is looked
// at every time. What comes of it is what a look at every node would give, in the same order: TestIndexed holds both
// side by side. Nothing here decides.

// class is the serving nodes of the build on trial, or of all others.
type nodeClass struct {
	nodes          []*node     // by id
	zones          []zoneNodes // the same, in the order in which the zones first appear
	minVer, maxVer int         // the least and the newest build among them
}

type zoneNodes struct {
	number int
	nodes  []*node
}

type nodeIndex struct {
	stale           bool // the list or the builds have changed
	trial, baseline nodeClass
	irregular       []*node // by id
	regularUntil    float64 // until then none of the others can have fallen silent
	inFlight        float64 // dispatches out at serving nodes
	fullScan        bool    // only a test sets it: every node is looked at
}

const (
	unresponsiveSoonMs = 2.0  // ms; a node that may be silent by then is odd already
	roundingMs         = 0.01 // ms; the bound on a silence is taken lower by this
)

// indexed brings the index up to date for now.
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

// reindex sorts the nodes anew.
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

// doubt takes a node among the odd ones if it is not plain.
func (b *Balancer) recheck(n *node, now float64) {
	if n.class == nil || n.irregular || b.isRegular(n, now) {
		return
	}
	n.irregular = true
	i, _ := slices.BinarySearchFunc(b.index.irregular, n.ID, compareID)
	b.index.irregular = slices.Insert(b.index.irregular, i, n)
}

// doubtAll is for when what all nodes are measured by has changed.
func (b *Balancer) recheckAll(now float64) {
	for _, n := range b.nodesByID {
		b.recheck(n, now)
	}
}

// plain says that a serving node is warm and well and will not be silent for a while.
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

// quietUntil is a time before which a node can't be silent: patience is never under half the SLO time.
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

// pool is nodes to choose from, by id: some, or those of a class or of one of its zones but for a few.
type candidates struct {
	nodes    []*node
	class    *nodeClass
	zone     *zoneNodes
	excluded []*node // by id
}

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

// at is the k-th of the pool.
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

// all are the nodes of a pool, in a room of the Balancer's.
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

// but is a pool without the odd ones for which something holds, in a room of the Balancer's; no other may be such.
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

// within is what a pool has in one zone.
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

// others are the zones of a pool but one, in the order in which they first appear.
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
		q := candidates{class: p.class, zone: z, excluded: b.filterNodes(6, p.excluded, func(n *node) bool { return n.Zone == z.number })}
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

// known gives the nodes an invocation may have, of each class, where the index can tell: of the first dispatch, and
// of few builds.
func (b *Balancer) indexedCandidates(inv *invocation, now float64) (trial, baseline candidates, ok bool) {
	x := &b.index
	b.refreshIndex(now)
	minVer := max(b.minVer, b.minVerByKey[inv.key])
	if x.fullScan || len(inv.dispatches) > 0 || b.connectFailureRate >= connectFailureLimit || x.trial.minVer < x.trial.maxVer ||
		inv.key != "" && minVer > x.baseline.minVer || len(x.trial.zones)+len(x.baseline.zones) > 15 {
		return trial, baseline, false
	}
	drop := func(n *node) bool { return now < n.avoidUntil || b.coldBudgetSpent(n, now) }
	baseline = b.exclude(1, candidates{class: &x.baseline}, drop)
	if trial = b.exclude(0, candidates{class: &x.trial}, drop); trial.size() > 0 && !b.mayExpose(x.trial.minVer, inv.op, now) {
		trial = candidates{}
	}
	return trial, baseline, true
}

// loose says that some node of a pool has next to nothing to do; it looks at a few.
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
