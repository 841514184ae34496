package balance

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"arrowcleat/internal/pcg"
)

// State by how long it lives, and the plain helpers it needs. Nothing here decides.

// Balancer is one marshal's instance; all of its state dies with it. What it holds is grouped by how long it lasts.
type Balancer struct {
	host         Host
	settings     Settings
	cfg          config
	ops          []operation
	rng          *rand.Rand
	scratch      [7][]*node // for choosing among nodes: what is in them lasts for one choice
	scratchZones []int      // and this
	startedAt    float64
	index        nodeIndex

	fleetState
	invocationState
	buildState
	voteState
	trafficState
	siblingState
}

// fixed are the settings that each invocation asks for, read once.
type config struct {
	coldShare, warmUpMs, coldWindowMs, coldWorkMultiple             float64
	exposureWindowMs, exposureAllowance, crossZonePrice, connIdleMs float64
	shieldedStages                                                  float64
	maxTries, zone                                                  int
	forwardOnly, worthByWork, capPerOperation                       bool
	firstStageCap                                                   float64 // of a build not yet announced
	marshalNumber, instance, instances                              float64 // of the marshal, and within it
}

// operation is one kind of invocation.
type operation struct {
	repeatPolicy, repeatGroup    string
	memoryMs, sloMs, billedValue float64
}

// fleetState is of the nodes: as long as each of them is known.
type fleetState struct {
	nodes              map[uint32]*node
	nodesByID          []*node          // by id, so that nothing hangs on map order
	lateShares         map[int]*float64 // share of dispatches to a zone not answered soon, lately
	medianFailureRate  float64          // of the nodes' shares of failures
	connectFailureRate float64          // share of dispatches that got no connection, lately
	warmNodeRate       float64          // work a warm node does for this marshal, a ms
	completedWork      slidingSum
}

// invState is of the invocations that are open.
type invocationState struct {
	invocations map[string]*invocation
	queued      []*invocation
}

// buildState is of the newest build told of, and of those before it that still matter.
type buildState struct {
	newestVer       int // its stage, phase, cap and when that began
	stage           int
	phase           Phase
	cap             float64
	stageStarted    float64
	announced       bool
	trialShare      float64 // of invocations that go to the trial build
	accepted        map[int]*slidingSum
	exposures       map[exposureKey]*slidingSum
	minVerByKey     map[string]int            // the newest build that has answered a key
	minVer          int                       // a build that stands for all keys: no earlier one is left
	posteriors      map[int][]posterior       // by build, one for each operation
	periodStats     map[exposureKey]posterior // the platform's last counts
	fleetPosteriors [2][]posterior            // what the fleet knows of the newest build, and of the earlier one meanwhile
	baselineAtStart []posterior               // of the earlier build, when the newest came
	peers           map[int]peerCounts
	nextPeerReport  float64
	firstAnswerAt   float64 // when the newest build first answered
	degradedSince   float64 // since when misses are far over the usual
}

// voteState is of the vote that stands or is on its way.
type voteState struct {
	vote              Verdict
	voteVer           int
	voteStage         int
	voteExpires       float64
	nextVoteAt        float64
	voteInFlight      bool
	watchRetryPending bool
}

// traffic is what the whole of the traffic is like, fading: as long as the instance.
type trafficState struct {
	usualLatency                []float64  // what the fleet's dispatches of an operation take usually
	fleetSlowdown               float64    // and how much longer they take now
	lastCheck, lastStall        float64    // when the last look was, and the last that came late
	recentLatency               []float64  // latency of each operation on the whole fleet
	latencySamples              []float64  // and of how many answers it is
	recentEnds, recentAnswers   slidingSum // those that have, lately, and of them those that were answered
	answerRate                  float64    // and how many a ms were
	throughput, usualThroughput float64    // how many have in a second, now and in untroubled times
	throughputDrops             float64    // the intervals of late in which that sagged
	usualInFlight               float64    // what was out at a node while nothing was turned away
	meanSLO, meanCost           float64    // the mean SLO time and cost of what arrives
	arrivals                    float64
	missRate, usualMissRate     float64 // share of invocations not answered in time, lately and usually
	overloadRatio               float64 // share of invocations late or given up, lately
	repeatErrorRate             float64 // share of invocations that, having erred, err again, lately
	rejectedInInterval          bool    // something was turned away in this interval
}

// dispatch is one sending of an invocation.
type dispatch struct {
	node            *node
	ver             int // the build the node ran when it was sent
	sentAt          float64
	recentlyStarted bool // the node was too young to give evidence
	shortLimit      bool // its time limit was cut below the SLO time
	inFlight        bool
	noCancel        bool // it was cancelled
	failed          bool // it ended in an error
	mayHaveRun      bool // it may have run (true while it is open)
}

// invocation lives from its arrival until it is answered and its last dispatch has ended.
type invocation struct {
	id         string
	op         int
	tenant     int
	key        string
	arrivedAt  float64
	deadline   float64 // when the client gives up
	cost       float64
	dispatches []dispatch
	finished   bool
	overflow   bool // it goes to the build on trial instead of being turned away
}

// node lives as long as the instance knows its id; it starts over when its process does.
type node struct {
	Node
	updatedAt         float64 // when the list last said something new of it
	inFlight          int
	dispatches        []nodeDispatch // what is out, oldest first
	lastAnswer        float64        // when it last answered anything
	successes         float64        // recent outcomes, fading
	failures          float64
	connectedAt       float64    // when its connection was last seen to work
	coldWork          slidingSum // work sent while cold
	coldRounding      float64    // drawn for this start of it, for what is left over of its budget
	retryAt           float64    // when a sick node is next tried
	workPerInvocation float64    // what an invocation is for it, by its reports
	ejectionMs        float64    // and how long after that again
	avoidUntil        float64    // until when it is left alone

	class                 *nodeClass // it is listed in, with its places there
	classIndex, zoneIndex int
	irregular             bool
}

// opening is a dispatch that is out, as its node sees it.
type nodeDispatch struct {
	inv     *invocation
	attempt int
}

// posterior is what is known of one build at one operation.
type posterior struct {
	successes, failures       float64
	errors                    float64 // of bad, what was answered with an error
	samples, mean, sumSquares float64 // latency: Welford's running mean and sum of squares
}

// outcome counts a success with its latency, if that is to count, or a failure.
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

func (p *posterior) add(o posterior, weight float64) {
	p.successes += o.successes * weight
	p.failures += o.failures * weight
	if o.mean > 0 && o.successes > 0 {
		p.samples += o.successes * weight
		p.mean += (o.mean - p.mean) * o.successes * weight / p.samples
	}
}

func (p *posterior) addLatency(tookMs float64) {
	p.samples++
	d := tookMs - p.mean
	p.mean += d / p.samples
	p.sumSquares += d * (tookMs - p.mean)
}

func (p *posterior) variance() float64 {
	if p.samples < 2 {
		return 0
	}
	return p.sumSquares / (p.samples - 1)
}

// Listed brings the list of nodes, or what has changed of it.
func (b *Balancer) NodesListed(complete bool, list []Node) {
	b.mergeNodes(complete, list, b.host.Now())
}

// ResponseStarted says that a streamed answer has started; the dispatch is the client's from here on.
func (b *Balancer) ResponseStarted(id string, attempt int, _ uint32, tookMs float64) {
	if inv := b.invocations[id]; inv != nil && attempt < len(inv.dispatches) {
		inv.dispatches[attempt].noCancel = true // never to be cancelled
	}
}

// BuildStats brings what the platform counted of all marshals' dispatches, a build and operation at a time.
func (b *Balancer) BuildStats(ver, op, samples, errors int, meanMs, ageMs float64) {
	if op < len(b.ops) {
		if ver == b.newestVer && samples > 0 { // its first answers, whoever got them
			b.firstAnswerAt = min(b.firstAnswerAt, b.host.Now()-ageMs-b.settings.number("rollout.metrics-period-ms", 0))
		}
		b.periodStats[exposureKey{ver, op}] = posterior{successes: float64(samples - errors), failures: float64(errors), mean: meanMs}
	}
}

// PeerMessage brings a peer's counts.
func (b *Balancer) PeerMessage(from int, text string) {
	if p, ok := parseCounts(text, len(b.ops)); ok {
		b.peers[from] = p
	}
}

// ProbeEnded and Flagged bring what no decision has been shown to gain from yet: docs/design.md.
func (b *Balancer) ProbeEnded(nodeID uint32, outcome Outcome, tookMs float64, report map[string]float64) {
}
func (b *Balancer) WrongAnswer(nodeID uint32, op int, ageMs float64) {}

func newBalancer(h Host, settings Settings, seed uint64) *Balancer {
	b := &Balancer{host: h, settings: settings, rng: rand.New(pcg.New(seed)), startedAt: h.Now()}
	b.cfg = config{coldShare: settings.number("rules.cold-from", 0.1), warmUpMs: settings.number("rules.warm-up-ms", 10000),
		coldWindowMs: settings.number("rules.fall-ms", 2000), coldWorkMultiple: settings.number("rules.fall-multiple", 1),
		exposureWindowMs: settings.number("rollout.counted-over-ms", 0), exposureAllowance: settings.number("rollout.allowance", 0),
		crossZonePrice: settings.number("prices.cross-zone", 0), connIdleMs: settings.number("limits.conn-idle-ms", 10000),
		shieldedStages: settings.number("rollout.shielded", math.Inf(1)), maxTries: int(settings.number("limits.most-tries", 1)),
		zone: int(settings.number("zone", 0)), forwardOnly: settings.enabled("rollout.forward-only"),
		worthByWork: settings.text("worth-by", "") == "work", capPerOperation: settings.text("rollout.cap-scope", "each_class") == "each_class",
		firstStageCap: append(slices.Clone(settings.numbers("rollout.most-shares")), 0)[0],
		marshalNumber: settings.number("number", 0), instance: settings.number("instance", 0), instances: settings.number("instances", 1)}
	b.leases = map[exposureKey]lease{}
	for _, o := range settings.children("operations") {
		b.ops = append(b.ops, operation{o.text("repeat", ""), o.text("group", ""), o.number("memory-ms", 0),
			o.number("slo-ms", 0), o.number("billed-value", 1)})
	}
	n := len(b.ops)
	b.nodes, b.lateShares, b.invocations = map[uint32]*node{}, map[int]*float64{}, map[string]*invocation{}
	b.accepted, b.exposures, b.minVerByKey = map[int]*slidingSum{}, map[exposureKey]*slidingSum{}, map[string]int{}
	b.periodStats, b.peers, b.posteriors = map[exposureKey]posterior{}, map[int]peerCounts{}, map[int][]posterior{}
	b.lastCheck, b.usualLatency, b.recentLatency, b.latencySamples = h.Now(), make([]float64, n), make([]float64, n), make([]float64, n)
	return b
}

// capacity adds up what the serving nodes for which something holds can do while some are cold.
func (b *Balancer) totalCapacity(now float64, keep func(*node) bool) (sum float64) {
	for _, n := range b.nodesByID {
		if n.Health == Serving && keep(n) {
			sum += b.capacityShare(n, now)
		}
	}
	return sum
}

func anyNode(*node) bool { return true }

func (b *Balancer) runsNewest(n *node) bool { return n.Ver == b.newestVer }

// those picks the nodes for which something holds, into a room of the Balancer's.
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

// fade moves a share towards yes or no.
func updateShare(share *float64, hit bool, rate float64) {
	target := 0.0
	if hit {
		target = 1
	}
	*share += (target - *share) * rate
}

// opened records a dispatch that goes out.
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
		s.sumSince(d.sentAt - b.cfg.exposureWindowMs - timeMarginMs) // what is older no rule asks for
		s.add(d.sentAt, 1)
	}
	b.spendLease(n.Ver, b.exposureScope(inv.op))
	if b.capacityShare(n, d.sentAt) < 1 {
		n.coldWork.add(d.sentAt, b.costOrOne(inv.cost))
	}
}

// closed records how it ended.
func (b *Balancer) recordEnd(inv *invocation, attempt int, outcome Outcome, now float64) *dispatch {
	d := &inv.dispatches[attempt]
	d.inFlight, d.failed, d.mayHaveRun = false, outcome == Failed, outcome != Rejected && outcome != ConnectFailed && outcome != Ignored
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
		b.minVerByKey[inv.key] = max(b.minVerByKey[inv.key], d.ver) // also after its release: it can still go back
	}
	return d
}

// counted is the mean time and the number of an operation's answers by the platform's last counts.
func (b *Balancer) periodLatency(op int) (mean, n float64) {
	for _, ver := range []int{b.newestVer, b.baseline()} {
		p := b.periodStats[exposureKey{ver, op}]
		mean, n = mean+p.successes*p.mean, n+p.successes
	}
	return mean / max(n, 1), n
}

// place puts a key between 0 and 1.
func hashToUnit(key string) float64 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return float64(h.Sum32()) / (1 << 32)
}

// workRatios are, sorted, what an invocation is for each of the newest build's nodes that tell and may, against the mean of
// the earlier builds' nodes of its model.
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

// sendHeld sends on what has been held.
func (b *Balancer) routeQueued() {
	queued := b.queued
	b.queued = nil
	for _, inv := range queued {
		if !inv.finished {
			b.route(inv)
		}
	}
}

// The handles of the instance's timers.
const (
	timerInterval = iota
	timerQueue
	timerWatch
	timerCheck
)

// leastLoads are the least in the own zone and among all of some nodes, of none without bound.
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

func (b *Balancer) sloOf(op int) float64 { return b.ops[op].sloMs }

// renew starts over what is known of the newest build.
func (b *Balancer) resetNewest(ver int, now float64) {
	b.trialShare, b.firstAnswerAt, b.degradedSince = 0, math.Inf(1), now
	b.baselineAtStart = slices.Clone(b.posterior(b.baselineBefore(ver)))
	b.fleetPosteriors = [2][]posterior{make([]posterior, len(b.ops)+1), make([]posterior, len(b.ops)+1)}
}

// take counts an invocation that has arrived.
func (b *Balancer) recordArrival(inv *invocation) {
	b.invocations[inv.id] = inv
	b.countEvent(b.acceptedSum(-1), inv.arrivedAt)
	b.countEvent(b.acceptedSum(inv.op), inv.arrivedAt)
	b.arrivals++
	b.meanSLO += (b.sloOf(inv.op) - b.meanSLO) / min(100, b.arrivals)
	b.meanCost += (b.costOrOne(inv.cost) - b.meanCost) / min(100, b.arrivals)
}

func (b *Balancer) lateShare(zone int) *float64 {
	if b.lateShares[zone] == nil {
		b.lateShares[zone] = new(float64)
	}
	return b.lateShares[zone]
}

// scope is what exposure is counted by: the operation, or all together.
func (b *Balancer) exposureScope(op int) int {
	if b.cfg.capPerOperation {
		return op
	}
	return -1
}

// ClientTimedOut says that the client of an invocation is gone.
func (b *Balancer) ClientTimedOut(id string) {
	if inv := b.invocations[id]; inv != nil && !inv.finished {
		b.recordMiss(true, true)
		b.finish(inv)
	}
}

// untried leaves out the nodes that an invocation has been sent to.
func excludeTried(nodes []*node, inv *invocation) []*node {
	if len(inv.dispatches) == 0 {
		return nodes
	}
	return slices.DeleteFunc(slices.Clone(nodes), func(n *node) bool {
		return slices.ContainsFunc(inv.dispatches, func(d dispatch) bool { return d.node == n })
	})
}

// mayHaveRun says that a dispatch of it may have had its effect.
func (inv *invocation) mayHaveRun() bool {
	return slices.ContainsFunc(inv.dispatches, func(d dispatch) bool { return d.mayHaveRun })
}

// serving counts the nodes listed as serving for which something holds.
func (b *Balancer) countServing(keep func(*node) bool) (count float64) {
	for _, n := range b.nodesByID {
		if n.Health == Serving && keep(n) {
			count++
		}
	}
	return count
}

// medianFailing is the lower median of the shares of failures of the serving nodes for which something holds.
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

// earlier is the build before the newest, or -1.
func (b *Balancer) baseline() int { return b.baselineBefore(b.newestVer) }

func (b *Balancer) baselineBefore(ver int) int {
	baseline := -1
	for _, n := range b.nodesByID {
		if n.Ver < ver {
			baseline = max(baseline, n.Ver)
		}
	}
	for v := range b.posteriors {
		if v < ver {
			baseline = max(baseline, v)
		}
	}
	return baseline
}

// peer is what another marshal has counted: by operation the newest build's successes and failures, and the
// earlier one's meanwhile.
type peerCounts struct {
	ver    int
	counts [][4]float64
}

func (b *Balancer) ownCounts(baselineVer int) [][4]float64 {
	c := make([][4]float64, len(b.ops))
	newest, baseline := b.posterior(b.newestVer), b.posterior(baselineVer)
	for op := range c {
		c[op] = [4]float64{newest[op].successes, newest[op].failures, baseline[op].successes, baseline[op].failures}
		if op < len(b.baselineAtStart) {
			c[op][2] -= b.baselineAtStart[op].successes
			c[op][3] -= b.baselineAtStart[op].failures
		}
	}
	return c
}

func (b *Balancer) countsMessage(baselineVer int) string {
	text := strconv.AppendInt(nil, int64(b.newestVer), 10)
	for _, c := range b.ownCounts(baselineVer) {
		for _, v := range c {
			text = strconv.AppendFloat(append(text, ' '), v, 'f', -1, 64)
		}
	}
	return string(text)
}

func parseCounts(text string, ops int) (p peerCounts, ok bool) {
	f := strings.Fields(text)
	if len(f) != 1+4*ops {
		return p, false
	}
	v := make([]float64, len(f))
	for i := range f {
		var err error
		if v[i], err = strconv.ParseFloat(f[i], 64); err != nil {
			return p, false
		}
	}
	p.ver = int(v[0])
	for op := range ops {
		p.counts = append(p.counts, [4]float64(v[1+4*op:]))
	}
	return p, true
}

// heard adds up what the peers tell of the newest build and what this marshal has counted itself.
func (b *Balancer) aggregateCounts(baselineVer int) (fleet [2][]posterior) {
	fleet = [2][]posterior{make([]posterior, len(b.ops)+1), make([]posterior, len(b.ops)+1)}
	add := func(counts [][4]float64) {
		for op, c := range counts {
			for _, o := range []int{op, len(b.ops)} {
				fleet[0][o].add(posterior{successes: c[0], failures: c[1]}, 1)
				fleet[1][o].add(posterior{successes: c[2], failures: c[3]}, 1)
			}
		}
	}
	add(b.ownCounts(baselineVer))
	for from := range int(b.settings.number("marshals", 1)) {
		if p, ok := b.peers[from]; ok && p.ver == b.newestVer {
			add(p.counts)
		}
	}
	return fleet
}

// sliding adds up what happened within a window that slides.
type slidingSum struct {
	times  []float64
	values []float64
	sum    float64
	head   int
}

func (s *slidingSum) add(now, value float64) {
	s.times, s.values = append(s.times, now), append(s.values, value)
	s.sum += value
}

// since drops all that is older than from and gives the sum of the rest.
func (s *slidingSum) sumSince(from float64) float64 {
	for s.head < len(s.times) && s.times[s.head] < from {
		s.sum -= s.values[s.head]
		s.head++
	}
	if s.head == len(s.times) {
		s.times, s.values, s.head, s.sum = s.times[:0], s.values[:0], 0, 0
	} else if s.head > 256 && s.head*2 > len(s.times) {
		s.times = append(s.times[:0], s.times[s.head:]...)
		s.values = append(s.values[:0], s.values[s.head:]...)
		s.head = 0
	}
	return s.sum
}

// exposure is what one build, or one operation at it, was sent within the rule's window.
type exposureKey struct{ ver, op int }

func (b *Balancer) acceptedSum(op int) *slidingSum {
	if b.accepted[op] == nil {
		b.accepted[op] = &slidingSum{}
	}
	return b.accepted[op]
}

func (b *Balancer) countEvent(s *slidingSum, now float64) {
	s.sumSince(now - b.cfg.exposureWindowMs)
	s.add(now, 1)
}

// finish marks an invocation as answered; it is forgotten once its last dispatch has ended.
func (b *Balancer) finish(inv *invocation) {
	inv.finished = true
	for _, d := range inv.dispatches {
		if d.inFlight {
			return
		}
	}
	delete(b.invocations, inv.id)
}

func (b *Balancer) posterior(ver int) []posterior {
	if b.posteriors[ver] == nil {
		b.posteriors[ver] = make([]posterior, len(b.ops)+1)
	}
	return b.posteriors[ver]
}

func (b *Balancer) costOrOne(cost float64) float64 {
	if cost > 0 {
		return cost
	}
	return 1
}

func compareID(n *node, id uint32) int { return cmp.Compare(n.ID, id) }

// merge brings the known nodes up to date; one whose process is another starts over.
func (b *Balancer) mergeNodes(complete bool, list []Node, now float64) {
	b.index.stale = true
	listed := map[uint32]bool{}
	for _, l := range list {
		listed[l.ID] = true
		n := b.nodes[l.ID]
		if n == nil {
			n = &node{updatedAt: now, coldRounding: b.drawColdRounding(l)}
			b.nodes[l.ID] = n
			i, _ := slices.BinarySearchFunc(b.nodesByID, l.ID, compareID)
			n.Node = l
			b.nodesByID = slices.Insert(b.nodesByID, i, n)
			continue
		}
		if n.Started != l.Started || n.Ver != l.Ver { // another process, perhaps another machine
			n.successes, n.failures, n.retryAt, n.ejectionMs, n.workPerInvocation, n.lastAnswer = 0, 0, 0, 0, 0, now
			n.coldRounding = b.drawColdRounding(l)
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

func (b *Balancer) exposureSum(ver, op int) *slidingSum {
	e := exposureKey{ver, op}
	if b.exposures[e] == nil {
		b.exposures[e] = &slidingSum{}
	}
	return b.exposures[e]
}

func (s Settings) number(name string, fallback float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return fallback
}

func (s Settings) text(name, fallback string) string {
	if v, ok := s[name].(string); ok {
		return v
	}
	return fallback
}

func (s Settings) enabled(name string) bool {
	v, _ := s[name].(bool)
	return v
}

func (s Settings) numbers(name string) []float64 {
	v, _ := s[name].([]float64)
	return v
}

func (s Settings) children(name string) []Settings {
	v, _ := s[name].([]Settings)
	return v
}
