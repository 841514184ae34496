package balance

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"arrowcleat/internal/pcg"
)

// The state, grouped by lifetime, and helpers for it. No decisions are made here.

// Balancer is the decision module of a marshal, or of one of its instances. All of its state is in memory, grouped by
// lifetime.
type Balancer struct {
	host         Host
	settings     Settings
	cfg          config
	ops          []operation
	rng          *rand.Rand
	scratch      [7][]*node // buffers for lists of nodes, valid during one choice of a node
	scratchZones []int      // a buffer for otherZones
	startedAt    float64
	index        nodeIndex

	fleetState
	invocationState
	buildState
	voteState
	trafficState
	siblingState
}

// fleetState is the state of the nodes. It lasts as long as a node is known.
type fleetState struct {
	nodes              map[uint32]*node
	nodesByID          []*node          // ordered, so that nothing depends on map order
	lateShares         map[int]*float64 // recent share of dispatches not answered within the SLO time, by zone
	medianFailureRate  float64          // of the serving nodes
	connectFailureRate float64          // recent share of dispatches that got no connection
	warmNodeRate       float64          // work a warm node does for this marshal, per ms
	completedWork      slidingSum
}

// invocationState is the state of the open invocations.
type invocationState struct {
	invocations map[string]*invocation
	queued      []*invocation // those that can't be dispatched now
}

// buildState is the state of the newest announced build and of earlier builds that still matter.
type buildState struct {
	newestVer       int
	stage           int // stage, phase and cap of the newest build
	phase           Phase
	cap             float64
	stageStarted    float64
	announced       bool                        // a stage update was received
	trialShare      float64                     // share of invocations that go to the trial build
	accepted        map[int]*slidingSum         // recent invocations by operation, and in total under -1
	exposures       map[exposureKey]*slidingSum // recent dispatches
	minVerByKey     map[uint64]int              // by hash: the newest build that has answered a key, which goes to no earlier one
	minVer          int                         // the same for all keys, once no node of an earlier build is left
	evidence        map[int]*buildEvidence      // by build
	periodStats     map[exposureKey]posterior   // the last build statistics of the platform
	fleetPosteriors [2][]posterior              // evidence of the fleet on the newest build and the baseline
	peers           map[int]peerCounts
	nextPeerReport  float64 // clock time of the next message to the peers
	firstAnswerAt   float64 // clock time at which the newest build first answered
	degradedSince   float64 // clock time since which the miss rate is far above the usual
}

// voteState is the state of the vote that stands or is in flight.
type voteState struct {
	vote              Verdict
	voteVer           int
	voteStage         int
	voteExpires       float64
	nextVoteAt        float64
	voteInFlight      bool
	watchRetryPending bool
}

// trafficState describes the traffic as a whole. It lasts as long as the instance; old values decay.
type trafficState struct {
	usualLatency                []float64  // usual latency of the fleet's dispatches by operation
	fleetSlowdown               float64    // present latency over the usual
	lastCheck, lastStall        float64    // clock times of the last check, and of the last one that was late
	recentLatency               []float64  // latency of each operation on the whole fleet
	latencySamples              []float64  // answers that recentLatency is based on
	recentEnds, recentAnswers   slidingSum // dispatches that may have run and ended, and those that were answered
	answerRate                  float64    // recent answers per ms
	throughput, usualThroughput float64    // dispatches ended in the last two intervals, and usually
	throughputDrops             float64    // recent intervals with a drop in throughput
	usualInFlight               float64    // mean dispatches in flight per node while nothing was rejected
	meanSLO, meanCost           float64    // mean SLO time and cost of the invocations
	arrivals                    float64    // invocations since the start
	missRate, usualMissRate     float64    // share of invocations not answered in time, recently and usually
	overloadRatio               float64    // recent share of dispatched invocations that were late or abandoned
	repeatErrorRate             float64    // recent share of invocations with an error that get an error again
	rejectedInInterval          bool       // an invocation exceeded the limit in this interval
}

// dispatch is one attempt to run an invocation on a node.
type dispatch struct {
	node            *node
	ver             int // the build that the node ran when it was sent
	sentAt          float64
	recentlyStarted bool // the node had started too recently to give evidence
	shortLimit      bool // its time limit was less than the SLO time
	inFlight        bool
	noCancel        bool // canceled already, or its answer has started
	failed          bool // it ended in an error
	mayHaveRun      bool // true while it is in flight
}

// invocation lives from its arrival until it is answered and its last dispatch has ended.
type invocation struct {
	id         string
	op         int
	tenant     int
	key        string
	arrivedAt  float64
	deadline   float64 // when the client stops waiting
	cost       float64
	dispatches []dispatch
	finished   bool // it has its final answer
	overflow   bool // too much for the fleet: sent to an idle trial node or abandoned
}

// node is the state of a node while its id is known. It is reset when the node's process restarts.
type node struct {
	Node
	updatedAt         float64 // when the node list last mentioned it
	inFlight          int
	dispatches        []nodeDispatch // those in flight, oldest first
	lastAnswer        float64        // when it last answered a dispatch, or restarted
	successes         float64        // recent outcomes, decaying
	failures          float64
	connectedAt       float64    // when its connection last worked
	warmUpWork        slidingSum // work sent while it warms up
	warmUpRounding    float64    // draw in [0, 1) for this start, rounds its budget while it warms up
	retryAt           float64    // when an outlier is next tried
	workPerInvocation float64    // work of one invocation, by its load reports
	ejectionMs        float64    // length of an ejection, grows with its failures
	avoidUntil        float64    // it gets no dispatches before this time

	class                 *nodeClass // its class in the index, nil if it is not serving
	classIndex, zoneIndex int        // its positions in the class and in the zone of the class
	irregular             bool       // checked for each invocation
}

// nodeDispatch refers to a dispatch in flight at a node.
type nodeDispatch struct {
	inv     *invocation
	attempt int
}

// posterior is the evidence on one operation of a build.
type posterior struct {
	successes, failures       float64
	errors                    float64 // failures that were answered with an error
	samples, mean, sumSquares float64 // latency in ms: Welford's running mean and sum of squares
}

// record counts a failure, or a success with its latency if timed is set.
func (p *posterior) record(outcome Outcome, tookMs float64, timed bool) {
	switch outcome {
	case Succeeded:
		p.successes++
		if timed {
			p.addLatency(tookMs)
		}
	case Failed:
		p.errors++
		p.failures++
	default:
		p.failures++
	}
}

// add adds the evidence of o, multiplied by weight.
func (p *posterior) add(o posterior, weight float64) {
	p.successes += o.successes * weight
	p.failures += o.failures * weight
	if o.mean > 0 && o.successes > 0 {
		p.samples += o.successes * weight
		p.mean += (o.mean - p.mean) * o.successes * weight / p.samples
	}
}

// addLatency updates the running mean and sum of squares.
func (p *posterior) addLatency(tookMs float64) {
	p.samples++
	d := tookMs - p.mean
	p.mean += d / p.samples
	p.sumSquares += d * (tookMs - p.mean)
}

// variance is the sample variance of the latency, 0 for fewer than two samples.
func (p *posterior) variance() float64 {
	if p.samples < 2 {
		return 0
	}
	return p.sumSquares / (p.samples - 1)
}

// NodesListed receives the complete node list, or its changes.
func (b *Balancer) NodesListed(complete bool, list []Node) {
	b.mergeNodes(complete, list, b.host.Now())
}

// ResponseStarted reports that a streamed answer has started. The dispatch must not be canceled any more.
func (b *Balancer) ResponseStarted(id string, attempt int, _ uint32, tookMs float64) {
	if inv := b.invocations[id]; inv != nil && attempt < len(inv.dispatches) {
		inv.dispatches[attempt].noCancel = true
	}
}

// ProbeEnded reports the outcome of a probe. It is ignored: no decision has been shown to gain from it, see
// docs/design.md.
func (b *Balancer) ProbeEnded(nodeID uint32, outcome Outcome, tookMs float64, report map[string]float64) {
}

// WrongAnswer reports that a node gave a wrong answer. It is ignored: no decision has been shown to gain from it, see
// docs/design.md.
func (b *Balancer) WrongAnswer(nodeID uint32, op int, ageMs float64) {}

func newBalancer(h Host, settings Settings, seed uint64) *Balancer {
	b := &Balancer{host: h, settings: settings, rng: rand.New(pcg.New(seed)), startedAt: h.Now()}
	b.cfg = readConfig(settings)
	b.leases = map[exposureKey]lease{}
	b.ops = readOperations(settings)
	n := len(b.ops)
	b.nodes, b.lateShares, b.invocations = map[uint32]*node{}, map[int]*float64{}, map[string]*invocation{}
	b.accepted, b.exposures, b.minVerByKey = map[int]*slidingSum{}, map[exposureKey]*slidingSum{}, map[uint64]int{}
	b.periodStats, b.peers, b.evidence = map[exposureKey]posterior{}, map[int]peerCounts{}, map[int]*buildEvidence{}
	b.lastCheck, b.usualLatency, b.recentLatency, b.latencySamples = h.Now(), make([]float64, n),
		make([]float64, n), make([]float64, n)
	return b
}

// totalCapacity is the number of serving nodes that keep selects, each counted by its capacity share.
func (b *Balancer) totalCapacity(now float64, keep func(*node) bool) (sum float64) {
	for _, n := range b.nodesByID {
		if n.Health == Serving && keep(n) {
			sum += b.capacityShare(n, now)
		}
	}
	return sum
}

// anyNode selects all nodes.
func anyNode(*node) bool { return true }

// runsNewest selects the nodes of the newest build.
func (b *Balancer) runsNewest(n *node) bool { return n.Ver == b.newestVer }

// filterNodes returns the nodes that keep selects, in a scratch buffer.
func (b *Balancer) filterNodes(buffer int, from []*node, keep func(*node) bool) []*node {
	kept := b.scratch[buffer][:0]
	for _, n := range from {
		if keep(n) {
			kept = append(kept, n)
		}
	}
	b.scratch[buffer] = kept
	return kept
}

// updateShare updates an exponential moving average of the share of hits.
func updateShare(share *float64, hit bool, rate float64) {
	target := 0.0
	if hit {
		target = 1
	}
	*share += (target - *share) * rate
}

// recordDispatch records a dispatch that is about to be sent.
func (b *Balancer) recordDispatch(inv *invocation, d dispatch) {
	n := d.node
	d.inFlight, d.mayHaveRun = true, true
	inv.dispatches = append(inv.dispatches, d)
	n.inFlight++
	n.dispatches = append(n.dispatches, nodeDispatch{inv, len(inv.dispatches) - 1})
	if n.class != nil {
		b.index.inFlight++
		b.recheck(n, d.sentAt)
	}
	for _, op := range [2]int{inv.op, -1} {
		s := b.exposureSum(n.Ver, op)
		s.sumSince(d.sentAt - b.cfg.exposureWindowMs - timeMarginMs) // drops what no rule needs any more
		s.add(d.sentAt, 1)
	}
	b.spendLease(n.Ver, b.exposureScope(inv.op))
	if b.capacityShare(n, d.sentAt) < 1 {
		n.warmUpWork.add(d.sentAt, b.costOrOne(inv.cost))
	}
}

// recordEnd records the end of a dispatch.
func (b *Balancer) recordEnd(inv *invocation, attempt int, outcome Outcome, now float64) *dispatch {
	d := &inv.dispatches[attempt]
	d.inFlight, d.failed, d.mayHaveRun = false, outcome == Failed,
		outcome != Rejected && outcome != ConnectFailed && outcome != Ignored
	n := d.node
	n.inFlight--
	if n.class != nil {
		b.index.inFlight--
	}
	n.dispatches = slices.DeleteFunc(n.dispatches, func(o nodeDispatch) bool { return o.inv == inv && o.attempt == attempt })
	if outcome == Succeeded || outcome == Failed {
		b.recentAnswers.add(now, 1)
	}
	if d.mayHaveRun {
		b.recentEnds.add(now, 1)
		if d.ver == b.newestVer {
			b.firstAnswerAt = min(b.firstAnswerAt, now)
		}
	}
	if outcome == Succeeded && inv.key != "" && b.cfg.forwardOnly && d.ver >= b.newestVer && d.ver > b.minVer {
		key := hashKey(inv.key)
		b.minVerByKey[key] = max(b.minVerByKey[key], d.ver) // also after its release: it can still be rolled back
	}
	return d
}

// periodLatency is the mean latency and the number of an operation's successes in the last build statistics.
func (b *Balancer) periodLatency(op int) (mean, n float64) {
	for _, ver := range []int{b.newestVer, b.baseline()} {
		p := b.periodStats[exposureKey{ver, op}]
		mean, n = mean+p.successes*p.mean, n+p.successes
	}
	return mean / max(n, 1), n
}

// hashToUnit hashes a key to [0, 1).
func hashToUnit(key string) float64 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return float64(h.Sum32()) / (1 << 32)
}

// workRatios returns, sorted, the work of an invocation on each of the newest build's nodes over the mean work on nodes
// of earlier builds with the same machine type. Only nodes with load reports that include selects count.
func (b *Balancer) workRatios(include func(*node) bool) (ratios []float64) {
	reporting := func(n *node) bool { return n.Health == Serving && n.workPerInvocation > 0 && include(n) }
	sum, count := map[int]float64{}, map[int]float64{}
	for _, n := range b.nodesByID {
		if n.Ver < b.newestVer && reporting(n) {
			sum[n.Model] += n.workPerInvocation
			count[n.Model]++
		}
	}
	for _, n := range b.nodesByID {
		if n.Ver == b.newestVer && count[n.Model] > 0 && reporting(n) {
			ratios = append(ratios, n.workPerInvocation*count[n.Model]/sum[n.Model])
		}
	}
	slices.Sort(ratios)
	return ratios
}

// routeQueued tries to dispatch all queued invocations.
func (b *Balancer) routeQueued() {
	queued := b.queued
	b.queued = nil
	for _, inv := range queued {
		if !inv.finished {
			b.route(inv)
		}
	}
}

// Handles of the timers.
const (
	timerInterval = iota // sets the trial share and judges the trial build
	timerQueue           // tries queued invocations again
	timerWatch           // subscribes to the node list again
	timerCheck           // checks for unresponsive nodes
)

// minLoads returns the least load of the nodes in the own zone, and of all the nodes; of no nodes it is infinite.
func (b *Balancer) minLoads(nodes []*node, now float64) (own, all float64) {
	own, all = math.Inf(1), math.Inf(1)
	for _, n := range nodes {
		load := b.load(n, now)
		all = min(all, load)
		if n.Zone == b.cfg.zone {
			own = min(own, load)
		}
	}
	return own, all
}

// sloOf is the SLO time of an operation in ms.
func (b *Balancer) sloOf(op int) float64 { return b.ops[op].sloMs }

// resetNewest resets the evidence on the newest build, which is now ver.
func (b *Balancer) resetNewest(ver int, now float64) {
	b.trialShare, b.firstAnswerAt, b.degradedSince = 0, math.Inf(1), now
	b.posterior(b.baselineBefore(ver)) // the baseline is known from now on, whatever becomes of its nodes
	for _, e := range b.evidence {
		e.atNewestStart = slices.Clone(e.posteriors)
	}
	b.fleetPosteriors = [2][]posterior{make([]posterior, len(b.ops)+1), make([]posterior, len(b.ops)+1)}
}

// recordArrival counts an invocation that has arrived.
func (b *Balancer) recordArrival(inv *invocation) {
	b.invocations[inv.id] = inv
	b.countEvent(b.acceptedSum(-1), inv.arrivedAt)
	b.countEvent(b.acceptedSum(inv.op), inv.arrivedAt)
	b.arrivals++
	b.meanSLO += (b.sloOf(inv.op) - b.meanSLO) / min(100, b.arrivals)
	b.meanCost += (b.costOrOne(inv.cost) - b.meanCost) / min(100, b.arrivals)
}

// lateShare is the entry of lateShares for a zone, which it creates if needed.
func (b *Balancer) lateShare(zone int) *float64 {
	if b.lateShares[zone] == nil {
		b.lateShares[zone] = new(float64)
	}
	return b.lateShares[zone]
}

// minVerOf is the oldest build that invocations of a key may go to, 0 for those without a key.
func (b *Balancer) minVerOf(key string) int {
	if key == "" {
		return 0
	}
	return max(b.minVer, b.minVerByKey[hashKey(key)])
}

// hashKey hashes a key, so that one takes the same memory however long it is. Of two keys with the same hash both are bound to
// the later build.
func hashKey(key string) uint64 { return xxhash.Sum64String(key) }

// exposureScope is the scope of the cap: the operation, or -1 for all together.
func (b *Balancer) exposureScope(op int) int {
	if b.cfg.capPerOperation {
		return op
	}
	return -1
}

// ClientTimedOut reports that the client of an invocation doesn't wait any more.
func (b *Balancer) ClientTimedOut(id string) {
	if inv := b.invocations[id]; inv != nil && !inv.finished {
		b.recordMiss(true, true)
		b.finish(inv)
	}
}

// excludeTried leaves out the nodes that an invocation has been sent to.
func excludeTried(nodes []*node, inv *invocation) []*node {
	if len(inv.dispatches) == 0 {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool {
		return slices.ContainsFunc(inv.dispatches, func(d dispatch) bool { return d.node == n })
	})
}

// mayHaveRun reports whether a dispatch of the invocation may have had its effect.
func (inv *invocation) mayHaveRun() bool {
	return slices.ContainsFunc(inv.dispatches, func(d dispatch) bool { return d.mayHaveRun })
}

// countServing counts the serving nodes that keep selects.
func (b *Balancer) countServing(keep func(*node) bool) (count float64) {
	for _, n := range b.nodesByID {
		if n.Health == Serving && keep(n) {
			count++
		}
	}
	return count
}

// medianFailure is the lower median of the failure rates of the serving nodes that keep selects.
func (b *Balancer) medianFailure(keep func(*node) bool) float64 {
	var shares []float64
	for _, n := range b.nodesByID {
		if n.Health == Serving && keep(n) {
			shares = append(shares, n.failureRate())
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// baseline is the version of the build before the newest, or -1.
func (b *Balancer) baseline() int { return b.baselineBefore(b.newestVer) }

// baselineBefore is the newest known version before ver, or -1.
func (b *Balancer) baselineBefore(ver int) int {
	baseline := -1
	for _, n := range b.nodesByID {
		if n.Ver < ver {
			baseline = max(baseline, n.Ver)
		}
	}
	for v := range b.evidence {
		if v < ver {
			baseline = max(baseline, v)
		}
	}
	return baseline
}

// finish marks an invocation as answered. It is removed once its last dispatch has ended.
func (b *Balancer) finish(inv *invocation) {
	inv.finished = true
	for _, d := range inv.dispatches {
		if d.inFlight {
			return
		}
	}
	delete(b.invocations, inv.id)
}

// posterior is the evidence on a build, by operation and for all together in the last element.
func (b *Balancer) posterior(ver int) []posterior { return b.evidenceOn(ver).posteriors }

// evidenceOn is the evidence on a build, which it creates if needed.
func (b *Balancer) evidenceOn(ver int) *buildEvidence {
	if b.evidence[ver] == nil {
		b.evidence[ver] = newBuildEvidence(len(b.ops))
	}
	return b.evidence[ver]
}

// costOrOne is the cost of an invocation, 1 if it is not known.
func (b *Balancer) costOrOne(cost float64) float64 {
	if cost > 0 {
		return cost
	}
	return 1
}

// compareID orders nodes by id, for binary searches.
func compareID(n *node, id uint32) int { return cmp.Compare(n.ID, id) }

// mergeNodes updates the known nodes. A node with a new process is reset.
func (b *Balancer) mergeNodes(complete bool, list []Node, now float64) {
	b.index.stale = true
	listed := map[uint32]bool{}
	for _, l := range list {
		listed[l.ID] = true
		n := b.nodes[l.ID]
		if n == nil {
			n = &node{updatedAt: now, warmUpRounding: b.drawWarmUpRounding(l)}
			b.nodes[l.ID] = n
			i, _ := slices.BinarySearchFunc(b.nodesByID, l.ID, compareID)
			n.Node = l
			b.nodesByID = slices.Insert(b.nodesByID, i, n)
			continue
		}
		if n.Started != l.Started || n.Ver != l.Ver { // a new process, perhaps on another machine
			n.successes, n.failures, n.retryAt, n.ejectionMs, n.workPerInvocation, n.lastAnswer = 0, 0, 0, 0, 0, now
			n.warmUpRounding = b.drawWarmUpRounding(l)
		}
		n.Node, n.updatedAt = l, now
	}
	if complete {
		for _, n := range b.nodesByID {
			if !listed[n.ID] && n.Health != Gone {
				n.Health, n.updatedAt = Gone, now
			}
		}
	}
}
