package balance

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// countsHost is a Host that keeps the messages to the peers.
type countsHost struct {
	benchHost
	told []string
}

func (c *countsHost) SendToPeer(_ int, text string) { c.told = append(c.told, text) }

// newCountsHost starts one of two marshals that tell each other their counts, with one node of build 41.
func newCountsHost() *countsHost {
	c := &countsHost{benchHost: benchHost{now: 1e6}}
	c.b = New(c, Settings{"marshals": 2.0, "limits.may-tell": true, "limits.most-tries": 2.0, "discovery": "automatic",
		"rollout.counted-over-ms": 4000.0, "rollout.allowance": 100.0, "rollout.cap-scope": "all", "rollout.shielded": 0.0,
		"rollout.most-shares": []float64{0.5, 1}, "rollout.stage-share": []float64{0.5, 1},
		"operations": []Settings{{"repeat": "idempotent", "slo-ms": 500.0}}}, 7)
	c.b.NodesListed(false, []Node{{ID: 41, Ver: 41, Size: 1}})
	c.b.StageUpdate(41, 1, Released, 1, 60000, false)
	return c
}

// serve answers n invocations.
func (c *countsHost) serve(n int) {
	for i := range n {
		c.invoke(fmt.Sprint(c.now, i), "")
		c.advance(9.5)
	}
}

// checkTold fails if a marshal has told counts that can't be true: its peers would drop them.
func checkTold(t interface{ Fatalf(string, ...any) }, told []string, ops, answers int) {
	for _, text := range told {
		p, ok := parseCounts(text, ops)
		if !ok {
			t.Fatalf("a marshal told counts that can't be true: %q", text)
		}
		sum := 0.0
		for _, operation := range p.counts {
			for _, count := range operation {
				sum += count
			}
		}
		if sum > float64(answers) {
			t.Fatalf("a marshal told %v outcomes in %q, but there were only %d", sum, text, answers)
		}
	}
}

// TestMissedBuildCountsAreNotNegative guards against a crash: a marshal that missed build 42 and hears of its node after
// build 43 was announced took the counts of build 41 off those of build 42, and told its peers numbers below 0.
func TestMissedBuildCountsAreNotNegative(t *testing.T) {
	c, peer := newCountsHost(), newCountsHost()
	for _, h := range []*countsHost{c, peer} {
		h.serve(200)
		h.b.StageUpdate(43, 0, OnTrial, 0.5, 0, false)
		h.serve(20)
	}
	c.b.NodesListed(false, []Node{{ID: 42, Ver: 42, Size: 1, Health: Draining}, {ID: 43, Ver: 43, Size: 1}})
	peer.b.NodesListed(false, []Node{{ID: 43, Ver: 43, Size: 1}})
	for range 5 {
		c.serve(200)
		for _, text := range c.told {
			peer.b.PeerMessage(1, text)
		}
		peer.serve(200)
	}
	checkTold(t, c.told, 1, 1300)
	if len(c.told) == 0 {
		t.Fatal("the marshal told its peers nothing")
	}
}

// TestForgottenBaselineCountsAreNotNegative guards against a crash: the baseline forgets a build whose nodes are gone for
// a minute, and an earlier build, whose counts began anew, took its place.
func TestForgottenBaselineCountsAreNotNegative(t *testing.T) {
	c := newCountsHost()
	c.serve(200)
	c.b.StageUpdate(43, 0, RollingBack, 0, 0, false)
	c.b.NodesListed(false, []Node{{ID: 42, Ver: 42, Size: 1, Health: Gone}})
	c.advance(1000)
	c.advance(2 * goneNodeMs)
	c.b.NodesListed(false, []Node{{ID: 43, Ver: 43, Size: 1}})
	c.b.StageUpdate(43, 0, OnTrial, 0.5, 0, false)
	for range 10 {
		c.advance(intervalMs)
	}
	c.serve(400)
	if len(c.told) == 0 {
		t.Fatal("the marshal told its peers nothing")
	}
	checkTold(t, c.told, 1, 600)
}

// TestImpossibleCountsAreDropped guards against a crash by counts from outside: a draw from a distribution with a parameter
// that is not above 0 panics.
func TestImpossibleCountsAreDropped(t *testing.T) {
	for _, count := range []string{"-1", "-0.5", "NaN", "nan", "Inf", "-Inf", "1e308", "1099511627777", "0x1p60", "", "x"} {
		for place := range 4 {
			counts := []string{"90", "10", "90", "10"}
			counts[place] = count
			text := "43 " + strings.Join(counts, " ")
			if p, ok := parseCounts(text, 1); ok {
				t.Errorf("%q was taken for %+v", text, p)
			}
		}
	}
	for _, ver := range []string{"-43", "43.5", "NaN", "1e300", "99999999999999999999"} {
		if p, ok := parseCounts(ver+" 90 10 90 10", 1); ok {
			t.Errorf("build %q was taken for %+v", ver, p)
		}
	}
	c := newCountsHost()
	for _, from := range []int{-1, 2, 1 << 40} {
		c.b.PeerMessage(from, "41 1 1 1 1")
	}
	if len(c.b.peers) > 0 {
		t.Errorf("messages from marshals that don't exist were kept: %v", c.b.peers)
	}
	for _, stats := range [][3]int{{0, -5, 0}, {0, 5, -1}, {0, 5, 6}, {-1, 5, 1}, {1, 5, 1}} {
		c.b.BuildStats(41, stats[0], stats[1], stats[2], 10, 0)
	}
	if len(c.b.periodStats) > 0 {
		t.Errorf("counts of the platform that can't be true were kept: %v", c.b.periodStats)
	}
}

// TestGreatestCountsAreHarmless guards against a crash by counts that are believed: in a sum that is too large for one more to
// count, a rate is exactly 0 or 1, and a draw from it panics.
func TestGreatestCountsAreHarmless(t *testing.T) {
	const marshals = 900
	for _, text := range []string{"%d 0 0 %d 0", "%d 0 %[2]d %[2]d 0", "%d %d 0 0 0", "%d 0 %d 0 0", "%d %[2]d %[2]d 0 %[2]d", "%d 0 0 0 %d"} {
		c := newCountsHost()
		c.b.settings["marshals"] = float64(marshals)
		c.b.NodesListed(false, []Node{{ID: 43, Ver: 43, Size: 1}})
		c.b.StageUpdate(43, 0, OnTrial, 0.5, 0, false)
		for from := range marshals {
			c.b.PeerMessage(from, fmt.Sprintf(text, 43, maxCount))
		}
		if len(c.b.peers) != marshals {
			t.Fatalf("%q: counts of %d marshals were kept, want %d", text, len(c.b.peers), marshals)
		}
		c.serve(300)
	}
}

// TestCountsInAnyOrderOfBuilds guards against crashes and untrue counts in any order in which builds are announced, listed,
// missed, forgotten and answer, and by anything that peers tell.
func TestCountsInAnyOrderOfBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := [2]*countsHost{newCountsHost(), newCountsHost()}
		answers := [2]int{}
		ver := rapid.IntRange(40, 44)
		which := rapid.IntRange(0, 1)
		t.Repeat(map[string]func(*rapid.T){
			"serve": func(t *rapid.T) {
				i, n := which.Draw(t, "marshal"), rapid.SampledFrom([]int{1, 20, 250}).Draw(t, "invocations")
				answers[i] += n
				hosts[i].serve(n)
			},
			"announce": func(t *rapid.T) {
				i, phase := which.Draw(t, "marshal"), rapid.SampledFrom([]Phase{OnTrial, OnTrial, OnTrial, RollingBack, Released,
					Withdrawn}).Draw(t, "phase")
				hosts[i].b.StageUpdate(ver.Draw(t, "build"), 0, phase, 0.5, 0, false)
			},
			"list": func(t *rapid.T) {
				v := ver.Draw(t, "build")
				n := Node{ID: uint32(v + 10*rapid.IntRange(0, 1).Draw(t, "node")), Ver: v, Size: 1,
					Health: rapid.SampledFrom([]Health{Serving, Serving, Draining, Gone}).Draw(t, "health")}
				hosts[which.Draw(t, "marshal")].b.NodesListed(false, []Node{n})
			},
			"pass": func(t *rapid.T) {
				ms := rapid.SampledFrom([]float64{intervalMs, peerReportMs, goneNodeMs}).Draw(t, "ms")
				hosts[which.Draw(t, "marshal")].advance(ms)
			},
			"tell": func(t *rapid.T) {
				for i, h := range hosts {
					for _, text := range h.told {
						hosts[1-i].b.PeerMessage(i, text)
					}
				}
			},
			"tell anything": func(t *rapid.T) {
				numbers := rapid.SliceOfN(rapid.Float64(), 4, 4).Draw(t, "counts")
				hosts[which.Draw(t, "marshal")].b.PeerMessage(0, strings.Trim(fmt.Sprint(ver.Draw(t, "build"), numbers), "[]"))
			},
			"": func(t *rapid.T) {
				for i, h := range hosts {
					checkTold(t, h.told, 1, answers[i])
				}
			},
		})
	})
}
