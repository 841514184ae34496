package balance

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

// Counts of outcomes: by build, as told to and by other marshals, and as told by the platform. No decisions are made here.

// buildEvidence is the evidence on one build. Each list has an element for each operation and one for all together.
type buildEvidence struct {
	posteriors    []posterior
	atNewestStart []posterior // posteriors when the newest build came; zero for a build that was not known then
}

func newBuildEvidence(ops int) *buildEvidence {
	return &buildEvidence{posteriors: make([]posterior, ops+1), atNewestStart: make([]posterior, ops+1)}
}

// sinceNewestStart returns the successes and failures of an operation since the newest build came.
func (e *buildEvidence) sinceNewestStart(op int) (successes, failures float64) {
	now, start := e.posteriors[op], e.atNewestStart[op]
	return now.successes - start.successes, now.failures - start.failures
}

// peerCounts is the counts of another marshal: for each operation the successes and failures of its newest build, then
// those of the baseline over the same time.
type peerCounts struct {
	ver    int
	counts [][4]float64
}

// maxCount is the greatest count that is believed. One more still counts in a sum over thousands of marshals: where it does not,
// a rate of exactly 0 or 1 leaves nothing to draw from.
const maxCount = 1 << 40

// isCount reports whether a number received from outside can be a count.
func isCount(v float64) bool { return v >= 0 && v <= maxCount }

// BuildStats receives the platform's counts of all marshals' dispatches for one build and operation. Counts that can't
// be true are dropped.
func (b *Balancer) BuildStats(ver, op, samples, errors int, meanMs, ageMs float64) {
	if op < 0 || op >= len(b.ops) || errors < 0 || errors > samples || !isCount(float64(samples)) ||
		!(meanMs >= 0) || math.IsInf(meanMs, 0) {
		return
	}
	if ver == b.newestVer && samples > 0 { // its first answers, whichever marshal got them
		b.firstAnswerAt = min(b.firstAnswerAt, b.host.Now()-ageMs-b.settings.number("rollout.metrics-period-ms", 0))
	}
	b.periodStats[exposureKey{ver, op}] = posterior{successes: float64(samples - errors), failures: float64(errors),
		mean: meanMs}
}

// PeerMessage receives the counts of another marshal. A message that can't be parsed, or is from none of the marshals,
// is dropped.
func (b *Balancer) PeerMessage(from int, text string) {
	if from < 0 || from >= b.marshals() {
		return
	}
	if p, ok := parseCounts(text, len(b.ops)); ok {
		b.peers[from] = p
	}
}

// marshals is the number of marshals, whose numbers begin with 0.
func (b *Balancer) marshals() int { return int(b.settings.number("marshals", 1)) }

// ownCounts is this marshal's counts in the form of peerCounts.
func (b *Balancer) ownCounts(baselineVer int) [][4]float64 {
	counts := make([][4]float64, len(b.ops))
	newest, baseline := b.posterior(b.newestVer), b.evidenceOn(baselineVer)
	for op := range counts {
		successes, failures := baseline.sinceNewestStart(op)
		counts[op] = [4]float64{newest[op].successes, newest[op].failures, successes, failures}
	}
	return counts
}

// countsMessage is the message with ownCounts that is sent to the peers.
func (b *Balancer) countsMessage(baselineVer int) string {
	text := strconv.AppendInt(nil, int64(b.newestVer), 10)
	for _, c := range b.ownCounts(baselineVer) {
		for _, v := range c {
			text = strconv.AppendFloat(append(text, ' '), v, 'f', -1, 64)
		}
	}
	return string(text)
}

// parseCounts parses a peer's message for a number of operations. One number that can't be a count makes the whole
// message invalid.
func parseCounts(text string, ops int) (p peerCounts, ok bool) {
	fields := strings.Fields(text)
	if len(fields) != 1+4*ops {
		return p, false
	}
	ver, err := strconv.Atoi(fields[0])
	if err != nil || ver < 0 {
		return p, false
	}
	p.ver = ver
	for operation := range slices.Chunk(fields[1:], 4) {
		var counts [4]float64
		for i, field := range operation {
			v, err := strconv.ParseFloat(field, 64)
			if err != nil || !isCount(v) {
				return p, false
			}
			counts[i] = v
		}
		p.counts = append(p.counts, counts)
	}
	return p, true
}

// aggregateCounts adds up the counts of the peers with the same newest build and those of this marshal.
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
	for from := range b.marshals() {
		if p, ok := b.peers[from]; ok && p.ver == b.newestVer {
			add(p.counts)
		}
	}
	return fleet
}
