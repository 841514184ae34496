package balance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// recordingHost is a Host that records the actions of its instance and the dispatches in flight.
type recordingHost struct {
	benchHost
	actions  []string
	inFlight []string
}

func (t *recordingHost) Dispatch(id string, n uint32, _ float64) {
	t.actions, t.inFlight = append(t.actions, fmt.Sprint(id, " to ", n)), append(t.inFlight, id)
}
func (t *recordingHost) Throttle(id string, _ float64) { t.actions = append(t.actions, "throttle "+id) }
func (t *recordingHost) Terminate(id string)           { t.actions = append(t.actions, "terminate "+id) }
func (t *recordingHost) Cancel(id string, attempt int) {
	t.actions = append(t.actions, fmt.Sprint("cancel ", id, attempt))
}

// TestIndexed compares an instance that uses the index with one that scans all nodes: whatever happens, both act alike,
// and the dispatches in flight at responsive nodes are those that a count over all nodes gives.
func TestIndexed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{"limits.most-tries": 3.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
			"rollout.allowance": 3.0, "rollout.cap-scope": "all", "rollout.forward-only": rapid.Bool().Draw(t, "forward"),
			"rollout.most-shares": []float64{0.1, 1}, "rollout.stage-share": []float64{0.1, 1},
			"prices.cross-zone": rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "price"), "operations": []Settings{
				{"repeat": "idempotent", "slo-ms": 60.0}, {"repeat": "side-effecting", "slo-ms": 200.0}}}
		hosts := [2]*recordingHost{{benchHost: benchHost{now: 1e6}}, {benchHost: benchHost{now: 1e6}}}
		for i, h := range hosts {
			h.b = New(h, settings, 5)
			h.b.index.fullScan = i == 1
		}
		each := func(f func(*recordingHost)) {
			for _, h := range hosts {
				f(h)
			}
			if !slices.Equal(hosts[0].actions, hosts[1].actions) {
				t.Fatalf("actions differ: with the index %v, without %v", hosts[0].actions, hosts[1].actions)
			}
			b := hosts[0].b
			inFlight, nodes := 0.0, 0.0
			for _, n := range b.nodesByID {
				if n.Health == Serving && !b.isOutlier(n) && !b.isUnresponsive(n, hosts[0].now) {
					inFlight, nodes = inFlight+float64(n.inFlight), nodes+1
				}
			}
			if o, n := b.responsiveInFlight(hosts[0].now); o != inFlight || n != nodes {
				t.Fatalf("%v dispatches in flight at %v responsive nodes, the index says %v at %v", inFlight, nodes, o, n)
			}
			for _, h := range hosts {
				h.actions = h.actions[:0]
			}
		}
		list := func() (nodes []Node) {
			for id := range rapid.IntRange(1, 12).Draw(t, "nodes") {
				nodes = append(nodes, Node{ID: uint32(id + 1), Size: 1, Ver: rapid.IntRange(1, 5).Draw(t, "ver"), Zone: id % 3,
					Health:  rapid.SampledFrom([]Health{Serving, Serving, Serving, Draining, Gone}).Draw(t, "health"),
					Started: rapid.SampledFrom([]float64{0, 0, hosts[0].now - 3000}).Draw(t, "started")})
			}
			return nodes
		}
		first := list()
		each(func(h *recordingHost) { h.b.NodesListed(true, first) })
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				op, key := rapid.IntRange(0, 1).Draw(t, "op"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key")
				for range rapid.SampledFrom([]int{1, 1, 4, 25}).Draw(t, "many") {
					next++
					each(func(h *recordingHost) { h.b.InvocationArrived(fmt.Sprint(next), op, 0, key, 400, 0, false, false) })
				}
			},
			"end": func(t *rapid.T) {
				if len(hosts[0].inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(hosts[0].inFlight)-1).Draw(t, "which")
				outcome := rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut,
					ConnectFailed, ConnectionReset}).Draw(t, "how")
				each(func(h *recordingHost) {
					id := h.inFlight[i]
					h.inFlight = slices.Delete(h.inFlight, i, i+1)
					h.b.DispatchEnded(id, len(h.b.invocations[id].dispatches)-1, 0, outcome, 20, outcome == Succeeded, nil)
				})
			},
			"pass": func(t *rapid.T) {
				ms := rapid.SampledFrom([]float64{0.3, 7, 40, 150}).Draw(t, "ms")
				each(func(h *recordingHost) { h.advance(ms) })
			},
			"list": func(t *rapid.T) {
				nodes := list()
				each(func(h *recordingHost) { h.b.NodesListed(true, nodes) })
			},
			"stage": func(t *rapid.T) {
				ver, phase := rapid.IntRange(1, 5).Draw(t, "ver"),
					rapid.SampledFrom([]Phase{OnTrial, Released, RollingBack}).Draw(t, "phase")
				each(func(h *recordingHost) { h.b.StageUpdate(ver, 1, phase, 0.5, 0, false) })
			},
		})
	})
}
