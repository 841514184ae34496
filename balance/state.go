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
	h     Host
	set   Settings
	fix   fixed
	ops   []operation
	rnd   *rand.Rand
	room  [7][]*node // for choosing among nodes: what is in them lasts for one choice
	zones []int      // and this
	begun float64
	index index

	fleetState
	invState
	buildState
	voteState
	traffic
	sharedState
}

// fixed are the settings that each invocation asks for, read once.
type fixed struct {
	coldFrom, warmUp, fallOver, fallTimes  float64
	countedOver, allowance, price, connFor float64
	shielded                               float64
	mostTries, zone                        int
	forwardOnly, byWork, each              bool
	firstCap                               float64 // of a build not yet announced
	number, instance, instances            float64 // of the marshal, and within it
}

// operation is one kind of invocation.
type operation struct {
	repeat, group      string
	memory, slo, value float64
}

// fleetState is of the nodes: as long as each of them is known.
type fleetState struct {
	nodes  map[uint32]*node
	order  []*node          // by id, so that nothing hangs on map order
	late   map[int]*float64 // share of dispatches to a zone not answered soon, lately
	median float64          // of the nodes' shares of failures
	noLink float64          // share of dispatches that got no connection, lately
	served float64          // work a warm node does for this marshal, a ms
	work   sliding
}

// invState is of the invocations that are open.
type invState struct {
	invs map[string]*invocation
	held []*invocation
}

// buildState is of the newest build told of, and of those before it that still matter.
type buildState struct {
	ver         int // its stage, phase, cap and when that began
	stage       int
	phase       Phase
	cap         float64
	stageSince  float64
	announced   bool
	share       float64 // of invocations that go to the trial build
	taken       map[int]*sliding
	exposed     map[exposure]*sliding
	bound       map[string]int         // the newest build that has answered a key
	floor       int                    // a build that stands for all keys: no earlier one is left
	posteriors  map[int][]posterior    // by build, one for each operation
	period      map[exposure]posterior // the platform's last counts
	fleet       [2][]posterior         // what the fleet knows of the newest build, and of the earlier one meanwhile
	atStart     []posterior            // of the earlier build, when the newest came
	peers       map[int]peer
	tellNext    float64
	metAt       float64 // when the newest build first answered
	strainSince float64 // since when misses are far over the usual
}

// voteState is of the vote that stands or is on its way.
type voteState struct {
	vote      Verdict
	voteVer   int
	voteStage int
	voteUntil float64
	voteNext  float64
	voteOut   bool
	watchDue  bool
}

// traffic is what the whole of the traffic is like, fading: as long as the instance.
type traffic struct {
	usualTime           []float64 // what the fleet's dispatches of an operation take usually
	slowBy              float64   // and how much longer they take now
	looked, stalled     float64   // when the last look was, and the last that came late
	recent              []float64 // latency of each operation on the whole fleet
	seenOf              []float64 // and of how many answers it is
	ends, answers       sliding   // those that have, lately, and of them those that were answered
	pace                float64   // and how many a ms were
	flow, flowUsual     float64   // how many have in a second, now and in untroubled times
	sags                float64   // the intervals of late in which that sagged
	calm                float64   // what was out at a node while nothing was turned away
	slo, usualCost      float64   // the mean SLO time and cost of what arrives
	arrived             float64
	misses, missesUsual float64 // share of invocations not answered in time, lately and usually
	jam                 float64 // share of invocations late or given up, lately
	again               float64 // share of invocations that, having erred, err again, lately
	turned              bool    // something was turned away in this interval
}

// dispatch is one sending of an invocation.
type dispatch struct {
	to    *node
	ver   int // the build the node ran when it was sent
	sent  float64
	young bool // the node was too young to give evidence
	short bool // its time limit was cut below the SLO time
	open  bool
	left  bool // it was cancelled
	erred bool // it ended in an error
	ran   bool // it may have run (true while it is open)
}

// invocation lives from its arrival until it is answered and its last dispatch has ended.
type invocation struct {
	id       string
	op       int
	tenant   int
	key      string
	came     float64
	due      float64 // when the client gives up
	cost     float64
	sent     []dispatch
	finished bool
	spare    bool // it goes to the build on trial instead of being turned away
}

// node lives as long as the instance knows its id; it starts over when its process does.
type node struct {
	Node
	told     float64 // when the list last said something new of it
	inflight int
	open     []opening // what is out, oldest first
	answered float64   // when it last answered anything
	good     float64   // recent outcomes, fading
	bad      float64
	link     float64 // when its connection was last seen to work
	pushed   sliding // work sent while cold
	lot      float64 // drawn for this start of it, for what is left over of its budget
	retest   float64 // when a sick node is next tried
	work     float64 // what an invocation is for it, by its reports
	penalty  float64 // and how long after that again
	full     float64 // until when it is left alone

	class      *class // it is listed in, with its places there
	at, atZone int
	odd        bool
}

// opening is a dispatch that is out, as its node sees it.
type opening struct {
	inv *invocation
	no  int
}

// posterior is what is known of one build at one operation.
type posterior struct {
	good, bad        float64
	errors           float64 // of bad, what was answered with an error
	n, mean, squares float64 // latency: Welford's running mean and sum of squares
}

// outcome counts a success with its latency, if that is to count, or a failure.
func (p *posterior) outcome(how Outcome, took float64, timed bool) {
	switch how {
	case Succeeded:
		p.good++
		if timed {
			p.took(took)
		}
	case Failed:
		p.errors++
		p.bad++
	default:
		p.bad++
	}
}

func (p *posterior) add(o posterior, part float64) {
	p.good += o.good * part
	p.bad += o.bad * part
	if o.mean > 0 && o.good > 0 {
		p.n += o.good * part
		p.mean += (o.mean - p.mean) * o.good * part / p.n
	}
}

func (p *posterior) took(ms float64) {
	p.n++
	d := ms - p.mean
	p.mean += d / p.n
	p.squares += d * (ms - p.mean)
}

func (p *posterior) variance() float64 {
	if p.n < 2 {
		return 0
	}
	return p.squares / (p.n - 1)
}

// Listed brings the list of nodes, or what has changed of it.
func (b *Balancer) NodesListed(whole bool, list []Node) { b.merge(whole, list, b.h.Now()) }

// ResponseStarted says that a streamed answer has started; the dispatch is the client's from here on.
func (b *Balancer) ResponseStarted(id string, no int, _ uint32, took float64) {
	if inv := b.invs[id]; inv != nil && no < len(inv.sent) {
		inv.sent[no].left = true // never to be cancelled
	}
}

// BuildStats brings what the platform counted of all marshals' dispatches, a build and operation at a time.
func (b *Balancer) BuildStats(ver, op, samples, errors int, mean, age float64) {
	if op < len(b.ops) {
		if ver == b.ver && samples > 0 { // its first answers, whoever got them
			b.metAt = min(b.metAt, b.h.Now()-age-b.set.num("rollout.metrics-period-ms", 0))
		}
		b.period[exposure{ver, op}] = posterior{good: float64(samples - errors), bad: float64(errors), mean: mean}
	}
}

// PeerMessage brings a peer's counts.
func (b *Balancer) PeerMessage(from int, text string) {
	if p, ok := parseCounts(text, len(b.ops)); ok {
		b.peers[from] = p
	}
}

// ProbeEnded and Flagged bring what no decision has been shown to gain from yet: docs/design.md.
func (b *Balancer) ProbeEnded(id uint32, how Outcome, took float64, report map[string]float64) {}
func (b *Balancer) WrongAnswer(id uint32, op int, age float64)                                 {}

func newBalancer(h Host, settings Settings, seed uint64) *Balancer {
	b := &Balancer{h: h, set: settings, rnd: rand.New(pcg.New(seed)), begun: h.Now()}
	b.fix = fixed{coldFrom: settings.num("rules.cold-from", 0.1), warmUp: settings.num("rules.warm-up-ms", 10000),
		fallOver: settings.num("rules.fall-ms", 2000), fallTimes: settings.num("rules.fall-multiple", 1),
		countedOver: settings.num("rollout.counted-over-ms", 0), allowance: settings.num("rollout.allowance", 0),
		price: settings.num("prices.cross-zone", 0), connFor: settings.num("limits.conn-idle-ms", 10000),
		shielded: settings.num("rollout.shielded", math.Inf(1)), mostTries: int(settings.num("limits.most-tries", 1)),
		zone: int(settings.num("zone", 0)), forwardOnly: settings.is("rollout.forward-only"),
		byWork: settings.text("worth-by", "") == "work", each: settings.text("rollout.cap-scope", "each_class") == "each_class",
		firstCap: append(slices.Clone(settings.nums("rollout.most-shares")), 0)[0],
		number:   settings.num("number", 0), instance: settings.num("instance", 0), instances: settings.num("instances", 1)}
	b.leases = map[exposure]lease{}
	for _, o := range settings.parts("operations") {
		b.ops = append(b.ops, operation{o.text("repeat", ""), o.text("group", ""), o.num("memory-ms", 0),
			o.num("slo-ms", 0), o.num("billed-value", 1)})
	}
	n := len(b.ops)
	b.nodes, b.late, b.invs = map[uint32]*node{}, map[int]*float64{}, map[string]*invocation{}
	b.taken, b.exposed, b.bound = map[int]*sliding{}, map[exposure]*sliding{}, map[string]int{}
	b.period, b.peers, b.posteriors = map[exposure]posterior{}, map[int]peer{}, map[int][]posterior{}
	b.looked, b.usualTime, b.recent, b.seenOf = h.Now(), make([]float64, n), make([]float64, n), make([]float64, n)
	return b
}

// capacity adds up what the serving nodes for which something holds can do while some are cold.
func (b *Balancer) capacity(now float64, holds func(*node) bool) (sum float64) {
	for _, n := range b.order {
		if n.Health == Serving && holds(n) {
			sum += b.cold(n, now)
		}
	}
	return sum
}

func every(*node) bool { return true }

func (b *Balancer) newest(n *node) bool { return n.Ver == b.ver }

// those picks the nodes for which something holds, into a room of the Balancer's.
func (b *Balancer) those(room int, pool []*node, holds func(*node) bool) []*node {
	some := b.room[room][:0]
	for _, n := range pool {
		if holds(n) {
			some = append(some, n)
		}
	}
	b.room[room] = some
	return some
}

// fade moves a share towards yes or no.
func fade(share *float64, yes bool, rate float64) {
	to := 0.0
	if yes {
		to = 1
	}
	*share += (to - *share) * rate
}

// opened records a dispatch that goes out.
func (b *Balancer) opened(inv *invocation, d dispatch) {
	n := d.to
	d.open, d.ran = true, true
	inv.sent = append(inv.sent, d)
	n.inflight++
	n.open = append(n.open, opening{inv, len(inv.sent) - 1})
	if n.class != nil {
		b.index.out++
		b.doubt(n, d.sent)
	}
	for _, op := range [2]int{inv.op, -1} {
		s := b.exposedTo(n.Ver, op)
		s.since(d.sent - b.fix.countedOver - margin) // what is older no rule asks for
		s.add(d.sent, 1)
	}
	b.spend(n.Ver, b.scope(inv.op))
	if b.cold(n, d.sent) < 1 {
		n.pushed.add(d.sent, b.weigh(inv.cost))
	}
}

// closed records how it ended.
func (b *Balancer) closed(inv *invocation, no int, how Outcome, now float64) *dispatch {
	d := &inv.sent[no]
	d.open, d.erred, d.ran = false, how == Failed, how != Rejected && how != ConnectFailed && how != Ignored
	n := d.to
	n.inflight--
	if n.class != nil {
		b.index.out--
	}
	n.open = slices.DeleteFunc(n.open, func(o opening) bool { return o.inv == inv && o.no == no })
	if how == Succeeded || how == Failed {
		b.answers.add(now, 1)
	}
	if d.ran {
		b.ends.add(now, 1)
		if d.ver == b.ver {
			b.metAt = min(b.metAt, now)
		}
	}
	if how == Succeeded && inv.key != "" && b.fix.forwardOnly && d.ver >= b.ver && d.ver > b.floor {
		b.bound[inv.key] = max(b.bound[inv.key], d.ver) // also after its release: it can still go back
	}
	return d
}

// counted is the mean time and the number of an operation's answers by the platform's last counts.
func (b *Balancer) counted(op int) (mean, n float64) {
	for _, ver := range []int{b.ver, b.earlier()} {
		p := b.period[exposure{ver, op}]
		mean, n = mean+p.good*p.mean, n+p.good
	}
	return mean / max(n, 1), n
}

// place puts a key between 0 and 1.
func place(key string) float64 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return float64(h.Sum32()) / (1 << 32)
}

// workRatios are, sorted, what an invocation is for each of the newest build's nodes that tell and may, against the mean of
// the earlier builds' nodes of its model.
func (b *Balancer) workRatios(may func(*node) bool) (ratios []float64) {
	tells := func(n *node) bool { return n.Health == Serving && n.work > 0 && may(n) }
	sum, count := map[int]float64{}, map[int]float64{}
	for _, n := range b.order {
		if n.Ver < b.ver && tells(n) {
			sum[n.Model] += n.work
			count[n.Model]++
		}
	}
	for _, n := range b.order {
		if n.Ver == b.ver && count[n.Model] > 0 && tells(n) {
			ratios = append(ratios, n.work*count[n.Model]/sum[n.Model])
		}
	}
	slices.Sort(ratios)
	return ratios
}

// sendHeld sends on what has been held.
func (b *Balancer) sendHeld() {
	waiting := b.held
	b.held = nil
	for _, inv := range waiting {
		if !inv.finished {
			b.send(inv)
		}
	}
}

// The handles of the instance's timers.
const (
	wakeInterval = iota
	wakeHeld
	wakeWatch
	wakeSilent
)

// leastLoads are the least in the own zone and among all of some nodes, of none without bound.
func (b *Balancer) leastLoads(some []*node, now float64) (here, all float64) {
	here, all = math.Inf(1), math.Inf(1)
	for _, n := range some {
		load := b.load(n, now)
		all = min(all, load)
		if n.Zone == b.fix.zone {
			here = min(here, load)
		}
	}
	return here, all
}

func (b *Balancer) sloOf(op int) float64 { return b.ops[op].slo }

// renew starts over what is known of the newest build.
func (b *Balancer) renew(ver int, now float64) {
	b.share, b.metAt, b.strainSince = 0, math.Inf(1), now
	b.atStart = slices.Clone(b.posterior(b.earlierThan(ver)))
	b.fleet = [2][]posterior{make([]posterior, len(b.ops)+1), make([]posterior, len(b.ops)+1)}
}

// take counts an invocation that has arrived.
func (b *Balancer) take(inv *invocation) {
	b.invs[inv.id] = inv
	b.count(b.takenBy(-1), inv.came)
	b.count(b.takenBy(inv.op), inv.came)
	b.arrived++
	b.slo += (b.sloOf(inv.op) - b.slo) / min(100, b.arrived)
	b.usualCost += (b.weigh(inv.cost) - b.usualCost) / min(100, b.arrived)
}

func (b *Balancer) lateAt(zone int) *float64 {
	if b.late[zone] == nil {
		b.late[zone] = new(float64)
	}
	return b.late[zone]
}

// scope is what exposure is counted by: the operation, or all together.
func (b *Balancer) scope(op int) int {
	if b.fix.each {
		return op
	}
	return -1
}

// ClientTimedOut says that the client of an invocation is gone.
func (b *Balancer) ClientTimedOut(id string) {
	if inv := b.invs[id]; inv != nil && !inv.finished {
		b.missed(true, true)
		b.finish(inv)
	}
}

// untried leaves out the nodes that an invocation has been sent to.
func untried(pool []*node, inv *invocation) []*node {
	if len(inv.sent) == 0 {
		return pool
	}
	return slices.DeleteFunc(slices.Clone(pool), func(n *node) bool {
		return slices.ContainsFunc(inv.sent, func(d dispatch) bool { return d.to == n })
	})
}

// mayHaveRun says that a dispatch of it may have had its effect.
func (inv *invocation) mayHaveRun() bool {
	return slices.ContainsFunc(inv.sent, func(d dispatch) bool { return d.ran })
}

// serving counts the nodes listed as serving for which something holds.
func (b *Balancer) serving(holds func(*node) bool) (count float64) {
	for _, n := range b.order {
		if n.Health == Serving && holds(n) {
			count++
		}
	}
	return count
}

// medianFailing is the lower median of the shares of failures of the serving nodes for which something holds.
func (b *Balancer) medianFailing(holds func(*node) bool) float64 {
	var shares []float64
	for _, n := range b.order {
		if n.Health == Serving && holds(n) {
			shares = append(shares, n.failing())
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// earlier is the build before the newest, or -1.
func (b *Balancer) earlier() int { return b.earlierThan(b.ver) }

func (b *Balancer) earlierThan(ver int) int {
	before := -1
	for _, n := range b.order {
		if n.Ver < ver {
			before = max(before, n.Ver)
		}
	}
	for v := range b.posteriors {
		if v < ver {
			before = max(before, v)
		}
	}
	return before
}

// peer is what another marshal has counted: by operation the newest build's successes and failures, and the
// earlier one's meanwhile.
type peer struct {
	ver    int
	counts [][4]float64
}

func (b *Balancer) ownCounts(before int) [][4]float64 {
	c := make([][4]float64, len(b.ops))
	now, then := b.posterior(b.ver), b.posterior(before)
	for op := range c {
		c[op] = [4]float64{now[op].good, now[op].bad, then[op].good, then[op].bad}
		if op < len(b.atStart) {
			c[op][2] -= b.atStart[op].good
			c[op][3] -= b.atStart[op].bad
		}
	}
	return c
}

func (b *Balancer) counts(before int) string {
	text := strconv.AppendInt(nil, int64(b.ver), 10)
	for _, c := range b.ownCounts(before) {
		for _, v := range c {
			text = strconv.AppendFloat(append(text, ' '), v, 'f', -1, 64)
		}
	}
	return string(text)
}

func parseCounts(text string, ops int) (p peer, ok bool) {
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
func (b *Balancer) heard(before int) (fleet [2][]posterior) {
	fleet = [2][]posterior{make([]posterior, len(b.ops)+1), make([]posterior, len(b.ops)+1)}
	add := func(counts [][4]float64) {
		for op, c := range counts {
			for _, o := range []int{op, len(b.ops)} {
				fleet[0][o].add(posterior{good: c[0], bad: c[1]}, 1)
				fleet[1][o].add(posterior{good: c[2], bad: c[3]}, 1)
			}
		}
	}
	add(b.ownCounts(before))
	for from := range int(b.set.num("marshals", 1)) {
		if p, ok := b.peers[from]; ok && p.ver == b.ver {
			add(p.counts)
		}
	}
	return fleet
}

// sliding adds up what happened within a window that slides.
type sliding struct {
	at   []float64
	what []float64
	sum  float64
	head int
}

func (s *sliding) add(now, what float64) {
	s.at, s.what = append(s.at, now), append(s.what, what)
	s.sum += what
}

// since drops all that is older than from and gives the sum of the rest.
func (s *sliding) since(from float64) float64 {
	for s.head < len(s.at) && s.at[s.head] < from {
		s.sum -= s.what[s.head]
		s.head++
	}
	if s.head == len(s.at) {
		s.at, s.what, s.head, s.sum = s.at[:0], s.what[:0], 0, 0
	} else if s.head > 256 && s.head*2 > len(s.at) {
		s.at = append(s.at[:0], s.at[s.head:]...)
		s.what = append(s.what[:0], s.what[s.head:]...)
		s.head = 0
	}
	return s.sum
}

// exposure is what one build, or one operation at it, was sent within the rule's window.
type exposure struct{ ver, op int }

func (b *Balancer) takenBy(op int) *sliding {
	if b.taken[op] == nil {
		b.taken[op] = &sliding{}
	}
	return b.taken[op]
}

func (b *Balancer) count(s *sliding, now float64) {
	s.since(now - b.fix.countedOver)
	s.add(now, 1)
}

// finish marks an invocation as answered; it is forgotten once its last dispatch has ended.
func (b *Balancer) finish(inv *invocation) {
	inv.finished = true
	for _, d := range inv.sent {
		if d.open {
			return
		}
	}
	delete(b.invs, inv.id)
}

func (b *Balancer) posterior(ver int) []posterior {
	if b.posteriors[ver] == nil {
		b.posteriors[ver] = make([]posterior, len(b.ops)+1)
	}
	return b.posteriors[ver]
}

func (b *Balancer) weigh(cost float64) float64 {
	if cost > 0 {
		return cost
	}
	return 1
}

func byID(n *node, id uint32) int { return cmp.Compare(n.ID, id) }

// merge brings the known nodes up to date; one whose process is another starts over.
func (b *Balancer) merge(whole bool, list []Node, now float64) {
	b.index.stale = true
	named := map[uint32]bool{}
	for _, l := range list {
		named[l.ID] = true
		n := b.nodes[l.ID]
		if n == nil {
			n = &node{told: now, lot: b.drawLot(l)}
			b.nodes[l.ID] = n
			i, _ := slices.BinarySearchFunc(b.order, l.ID, byID)
			n.Node = l
			b.order = slices.Insert(b.order, i, n)
			continue
		}
		if n.Started != l.Started || n.Ver != l.Ver { // another process, perhaps another machine
			n.good, n.bad, n.retest, n.penalty, n.work, n.answered = 0, 0, 0, 0, 0, now
			n.lot = b.drawLot(l)
		}
		n.Node, n.told = l, now
	}
	if whole {
		for _, n := range b.order {
			if !named[n.ID] && n.Health != Gone {
				n.Health, n.told = Gone, now
			}
		}
	}
}

func (b *Balancer) exposedTo(ver, op int) *sliding {
	e := exposure{ver, op}
	if b.exposed[e] == nil {
		b.exposed[e] = &sliding{}
	}
	return b.exposed[e]
}

func (s Settings) num(name string, absent float64) float64 {
	if v, ok := s[name].(float64); ok {
		return v
	}
	return absent
}

func (s Settings) text(name, absent string) string {
	if v, ok := s[name].(string); ok {
		return v
	}
	return absent
}

func (s Settings) is(name string) bool {
	v, _ := s[name].(bool)
	return v
}

func (s Settings) nums(name string) []float64 {
	v, _ := s[name].([]float64)
	return v
}

func (s Settings) parts(name string) []Settings {
	v, _ := s[name].([]Settings)
	return v
}
