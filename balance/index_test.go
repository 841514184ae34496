package balance

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// twin is a Host that notes what its instance does and keeps what is out.
type twin struct {
	calm
	did []string
	out []string
}

func (t *twin) Dispatch(id string, n uint32, _ float64) {
	t.did, t.out = append(t.did, fmt.Sprint(id, " to ", n)), append(t.out, id)
}
func (t *twin) Throttle(id string, _ float64) { t.did = append(t.did, "throttle "+id) }
func (t *twin) Terminate(id string)           { t.did = append(t.did, "terminate "+id) }
func (t *twin) Cancel(id string, no int)      { t.did = append(t.did, fmt.Sprint("cancel ", id, no)) }

// Whatever happens, the index gives what a look at every node gives: two instances that differ in this alone act
// alike, and what is out at living nodes is what a count says.
func TestIndexed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{"limits.most-tries": 3.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
			"rollout.allowance": 3.0, "rollout.cap-scope": "all", "rollout.forward-only": rapid.Bool().Draw(t, "forward"),
			"rollout.most-shares": []float64{0.1, 1}, "rollout.stage-share": []float64{0.1, 1},
			"prices.cross-zone": rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "price"), "operations": []Settings{
				{"repeat": "idempotent", "slo-ms": 60.0}, {"repeat": "side-effecting", "slo-ms": 200.0}}}
		both := [2]*twin{{calm: calm{now: 1e6}}, {calm: calm{now: 1e6}}}
		for i, h := range both {
			h.b = New(h, set, 5)
			h.b.index.scan = i == 1
		}
		each := func(f func(*twin)) {
			for _, h := range both {
				f(h)
			}
			if !slices.Equal(both[0].did, both[1].did) {
				t.Fatalf("with the index %v, without %v", both[0].did, both[1].did)
			}
			b := both[0].b
			out, nodes := 0.0, 0.0
			for _, n := range b.order {
				if n.Health == Serving && !b.sick(n) && !b.silent(n, both[0].now) {
					out, nodes = out+float64(n.inflight), nodes+1
				}
			}
			if o, n := b.living(both[0].now); o != out || n != nodes {
				t.Fatalf("%v out at %v living nodes, it says %v at %v", out, nodes, o, n)
			}
			for _, h := range both {
				h.did = h.did[:0]
			}
		}
		list := func() (nodes []Node) {
			for id := range rapid.IntRange(1, 12).Draw(t, "nodes") {
				nodes = append(nodes, Node{ID: uint32(id + 1), Size: 1, Ver: rapid.IntRange(1, 3).Draw(t, "ver"), Zone: id % 3,
					Health:  rapid.SampledFrom([]Health{Serving, Serving, Serving, Draining, Gone}).Draw(t, "health"),
					Started: rapid.SampledFrom([]float64{0, 0, both[0].now - 3000}).Draw(t, "started")})
			}
			return nodes
		}
		first := list()
		each(func(h *twin) { h.b.NodesListed(true, first) })
		next := 0
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				op, key := rapid.IntRange(0, 1).Draw(t, "op"), rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "key")
				for range rapid.SampledFrom([]int{1, 1, 4, 25}).Draw(t, "many") {
					next++
					each(func(h *twin) { h.b.InvocationArrived(fmt.Sprint(next), op, 0, key, 400, 0, false, false) })
				}
			},
			"end": func(t *rapid.T) {
				if len(both[0].out) == 0 {
					return
				}
				i := rapid.IntRange(0, len(both[0].out)-1).Draw(t, "which")
				how := rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Succeeded, Failed, Rejected, TimedOut, ConnectFailed, ConnectionReset}).Draw(t, "how")
				each(func(h *twin) {
					id := h.out[i]
					h.out = slices.Delete(h.out, i, i+1)
					h.b.DispatchEnded(id, len(h.b.invs[id].sent)-1, 0, how, 20, how == Succeeded, nil)
				})
			},
			"pass": func(t *rapid.T) {
				ms := rapid.SampledFrom([]float64{0.3, 7, 40, 150}).Draw(t, "ms")
				each(func(h *twin) { h.pass(ms) })
			},
			"list": func(t *rapid.T) {
				nodes := list()
				each(func(h *twin) { h.b.NodesListed(true, nodes) })
			},
			"stage": func(t *rapid.T) {
				ver, phase := rapid.IntRange(1, 3).Draw(t, "ver"), rapid.SampledFrom([]Phase{OnTrial, Released, RollingBack}).Draw(t, "phase")
				each(func(h *twin) { h.b.StageUpdate(ver, 1, phase, 0.5, 0, false) })
			},
		})
	})
}
