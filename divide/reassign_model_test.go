package divide

import (
	"fmt"
	"math"
	"testing"
)

// reassignment is a state of a model of how package front moves an invocation between cores (exchange.offer,
// offerElsewhere, answerOverdue): one state word of a round and a phase, and in each queue the offers put there, each
// with its round. All interleavings of three cores are explored: at most one core accepts the invocation, and none does
// after it was refused to the client.
type reassignment struct {
	round, phase int    // phase: 0 offered, 1 accepted, 2 withdrawn
	queues       [3]int // by core: a bit for the round of each offer that waits
	current      int    // the core of the last offer
	accepted     int    // how often
	refused      bool
}

// next returns the states that may follow. With ignoreRounds, a core does not check that an offer is of the current round.
func (m reassignment) next(ignoreRounds bool) (all []reassignment) {
	for core := range 3 {
		for r := range 3 {
			if m.queues[core]&(1<<r) == 0 {
				continue
			}
			n := m
			n.queues[core] &^= 1 << r
			if m.phase == 0 && (m.round == r || ignoreRounds) || ignoreRounds && m.phase == 1 && m.round != r && m.round > r {
				n.phase, n.accepted = 1, m.accepted+1
			}
			all = append(all, n)
		}
		// It is moved: withdrawn, then offered to or refused by another core in a new round.
		if m.phase == 0 && m.round < 2 && core != m.current {
			n := m
			n.round, n.current = m.round+1, core
			full := n
			full.phase, full.refused = 2, true
			n.queues[core] |= 1 << n.round
			all = append(all, n, full)
		}
	}
	if m.phase == 0 { // the deadline passes
		n := m
		n.phase, n.refused = 2, true
		all = append(all, n)
	}
	return all
}

// No interleaving accepts an invocation twice or after a refusal; without rounds, one does.
func TestMovesModel(t *testing.T) {
	explore := func(ignoreRounds bool) (states int, violation string) {
		start := reassignment{queues: [3]int{1, 0, 0}}
		seen, queue := map[reassignment]bool{start: true}, []reassignment{start}
		for ; len(queue) > 0; queue = queue[1:] {
			for _, n := range queue[0].next(ignoreRounds) {
				if n.accepted > 1 || n.accepted > 0 && n.refused {
					violation = fmt.Sprintf("%+v", n)
				}
				if !seen[n] {
					seen[n] = true
					queue = append(queue, n)
				}
			}
		}
		return len(seen), violation
	}
	if n, violation := explore(false); violation != "" || n < 20 {
		t.Errorf("%d states: violation %q", n, violation)
	}
	if _, violation := explore(true); violation == "" {
		t.Error("found no violation without rounds")
	}
}

// Three instances share the budget of a node that is warming up. Their draws are spaced evenly, and each sends while
// the number that it has sent plus its draw is within its share. For all draws and shares: with even shares they send at
// most one more than the budget, with any shares at most one more for each further instance, and on average the budget.
func TestColdModel(t *testing.T) {
	const grid = 24
	for a := 0; a <= 2*grid; a++ {
		for b := a; b <= 2*grid; b += 3 {
			for c := b; c <= 2*grid; c += 3 {
				sum, worst := 0.0, 0.0
				budget := float64(a+b+c) / grid
				for u := range grid * 3 {
					total := 0.0
					for i, share := range [3]float64{float64(a) / grid, float64(b) / grid, float64(c) / grid} {
						draw := math.Mod((float64(u)+0.5)/(grid*3)+float64(i)/3, 1)
						for sent := 0.0; sent+draw <= share; sent++ {
							total++
						}
					}
					sum, worst = sum+total, max(worst, total-budget)
				}
				if mean := sum / (grid * 3); math.Abs(mean-budget) > 0.05 {
					t.Fatalf("shares %d %d %d: sent %v on average, budget %v", a, b, c, mean, budget)
				}
				if worst > 3 || a == c && worst > 1+1e-9 {
					t.Fatalf("shares %d %d %d: sent %v more than the budget", a, b, c, worst)
				}
			}
		}
	}
}
