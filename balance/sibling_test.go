package balance

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// TestColdRoundingAddsUp checks that the instances of one marshal together round the budget of a node that is warming
// up as one does: whatever their draws, together they differ from the whole budget by at most one invocation.
func TestColdRoundingAddsUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(2, 16).Draw(t, "instances")
		l := Node{ID: rapid.Uint32().Draw(t, "node"), Started: rapid.Float64Range(1, 1e9).Draw(t, "started")}
		fraction := rapid.Float64Range(0, 1).Draw(t, "fraction") // of one invocation that each may send
		sending := 0
		for i := range instances {
			b := newBalancer(&benchHost{now: 1e6}, Settings{"number": 3.0, "instance": float64(i),
				"instances": float64(instances)}, uint64(i))
			if b.drawWarmUpRounding(l) < fraction {
				sending++
			}
		}
		if expected := fraction * float64(instances); math.Abs(float64(sending)-expected) > 1+1e-9 {
			t.Fatalf("%d of %d instances may send; the budget is %g", sending, instances, expected)
		}
	})
}

// Outcomes that another instance of the marshal saw count like its own: a failing node is ejected as soon. Dispatches to
// a build on trial need a lease.
func Example_siblingDispatchEnded() {
	c := &benchHost{now: 1e6}
	c.b = New(c, Settings{"instance": 1.0, "instances": 2.0, "limits.most-tries": 2.0, "rollout.counted-over-ms": 4000.0,
		"rollout.cap-scope": "all", "discovery": "automatic",
		"operations": []Settings{{"repeat": "idempotent", "slo-ms": 500.0}}}, 7)
	c.b.NodesListed(true, []Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1}, {ID: 3, Ver: 2, Size: 1}})
	c.b.StageUpdate(2, 0, OnTrial, 0.5, 0, false)
	for range 20 {
		c.advance(50)
	}
	for range 8 {
		c.b.SiblingDispatchEnded(1, 1, 0, Failed, 5, false, nil)
		c.b.SiblingDispatchEnded(2, 1, 0, Succeeded, 5, false, nil)
	}
	to := map[uint32]int{}
	for i := range 40 {
		c.invoke(fmt.Sprint(i), "")
		to[c.lastNode]++
	}
	fmt.Println("without a lease:", to)
	c.b.SetLease(2, -1, 2, c.now+100)
	c.b.trialShare, to = 1, map[uint32]int{}
	for i := range 5 {
		c.invoke(fmt.Sprint(i), "")
		to[c.lastNode]++
	}
	fmt.Println("with one of 2:  ", to)
	// Output:
	// without a lease: map[2:40]
	// with one of 2:   map[2:3 3:2]
}
