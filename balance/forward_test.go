package balance

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestAnsweredKeysOnlyGoForward guards against keys that go back: with several builds on trial, or before the first news of a
// build, a key that a later build had answered went to an earlier one that was on trial too. Whatever is listed, announced,
// released and sent back in any order, each dispatch of a key goes to the latest build that has answered it or a later one.
func TestAnsweredKeysOnlyGoForward(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const oldest, newest, nodesPerBuild = 41, 46, 2
		h := &recordingHost{benchHost: benchHost{now: 1e6}}
		h.b = New(h, Settings{"limits.most-tries": 3.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
			"rollout.allowance": rapid.SampledFrom([]float64{2, 1000}).Draw(t, "allowance"), "rollout.cap-scope": "all",
			"rollout.forward-only": true, "rollout.shielded": 0.0, "rollout.most-shares": []float64{0.5, 1},
			"rollout.stage-share": []float64{0.5, 1}, "operations": []Settings{{"repeat": "idempotent", "slo-ms": 200.0}}}, 5)
		verOf := func(id uint32) int { return oldest + int(id)/nodesPerBuild }
		answeredBy := map[string]int{} // the latest build that has answered a key, unless it was sent back since
		announced, next := 0, 0
		keyOf := map[string]string{}
		check := func(t *rapid.T) {
			for _, action := range h.actions {
				var id string
				var node uint32
				if n, _ := fmt.Sscanf(action, "%s to %d", &id, &node); n == 2 && verOf(node) < answeredBy[keyOf[id]] {
					t.Fatalf("key %s went to build %d after build %d had answered it", keyOf[id], verOf(node), answeredBy[keyOf[id]])
				}
			}
			h.actions = h.actions[:0]
		}
		end := func(t *rapid.T, i int, outcome Outcome) {
			id := h.inFlight[i]
			h.inFlight = slices.Delete(h.inFlight, i, i+1)
			inv := h.b.invocations[id]
			attempt := len(inv.dispatches) - 1
			if ver := inv.dispatches[attempt].ver; outcome == Succeeded && ver >= announced {
				answeredBy[keyOf[id]] = max(answeredBy[keyOf[id]], ver)
			}
			h.b.DispatchEnded(id, attempt, 0, outcome, 20, outcome == Succeeded, nil)
		}
		arrive := func(t *rapid.T) {
			next++
			id, key := fmt.Sprint("r", next), rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			keyOf[id] = key
			h.b.InvocationArrived(id, 0, 0, key, 400, 0, false, false)
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive,
			"serve": func(t *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(t, "invocations") {
					arrive(t)
					check(t)
					for len(h.inFlight) > 0 {
						end(t, 0, Succeeded)
					}
					h.advance(5)
				}
			},
			"end": func(t *rapid.T) {
				if len(h.inFlight) > 0 {
					end(t, rapid.IntRange(0, len(h.inFlight)-1).Draw(t, "which"),
						rapid.SampledFrom([]Outcome{Succeeded, Succeeded, Failed, Rejected, ConnectFailed}).Draw(t, "how"))
				}
			},
			"list": func(t *rapid.T) {
				var nodes []Node
				for id := range uint32((newest - oldest + 1) * nodesPerBuild) {
					if rapid.Bool().Draw(t, "listed") {
						nodes = append(nodes, Node{ID: id, Ver: verOf(id), Size: 1,
							Health: rapid.SampledFrom([]Health{Serving, Serving, Draining, Gone}).Draw(t, "health")})
					}
				}
				h.b.NodesListed(rapid.Bool().Draw(t, "whole"), nodes)
			},
			"announce": func(t *rapid.T) {
				ver := rapid.IntRange(oldest, newest).Draw(t, "build")
				phase := rapid.SampledFrom([]Phase{OnTrial, OnTrial, Released, RollingBack, Withdrawn}).Draw(t, "phase")
				h.b.StageUpdate(ver, rapid.IntRange(0, 1).Draw(t, "stage"), phase, 0.5, 0, false)
				if ver < announced {
					return // overtaken news says nothing
				}
				announced = ver
				for key, by := range answeredBy {
					if (phase == RollingBack || phase == Withdrawn) && by <= ver {
						delete(answeredBy, key)
					}
				}
			},
			"pass": func(t *rapid.T) {
				h.advance(rapid.SampledFrom([]float64{7, 40, intervalMs, goneNodeMs}).Draw(t, "ms"))
			},
			"": check,
		})
	})
}

// TestKeyOfAbsentBuildWaits guards against keys that go back where the build that answered them has no node left: neither
// the baseline nor an earlier build on trial gets them.
func TestKeyOfAbsentBuildWaits(t *testing.T) {
	for _, test := range []struct {
		name  string
		nodes []Node // beside that of build 43, which leaves
	}{
		{"baseline and a trial build", []Node{{ID: 1, Ver: 41, Size: 1}, {ID: 2, Ver: 42, Size: 1}}},
		{"a trial build only", []Node{{ID: 2, Ver: 42, Size: 1}}},
		{"the baseline only", []Node{{ID: 1, Ver: 41, Size: 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := &recordingHost{benchHost: benchHost{now: 1e6}}
			h.b = New(h, Settings{"limits.most-tries": 3.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
				"rollout.allowance": 1000.0, "rollout.cap-scope": "all", "rollout.forward-only": true, "rollout.shielded": 0.0,
				"rollout.most-shares": []float64{0.5, 1}, "rollout.stage-share": []float64{0.5, 1},
				"operations": []Settings{{"repeat": "idempotent", "slo-ms": 200.0}}}, 5)
			h.b.NodesListed(true, []Node{{ID: 3, Ver: 43, Size: 1}})
			h.b.StageUpdate(42, 0, OnTrial, 0.5, 0, false)
			h.advance(4000)
			h.advance(4000)
			h.b.InvocationArrived("first", 0, 0, "key", 400, 0, false, false)
			if want := []string{"first to 3"}; !slices.Equal(h.actions, want) {
				t.Fatalf("the marshal did %v, want %v", h.actions, want)
			}
			h.b.DispatchEnded("first", 0, 3, Succeeded, 20, true, nil)
			h.b.NodesListed(true, test.nodes)
			h.b.InvocationArrived("second", 0, 0, "key", 400, 0, false, false)
			for range 30 {
				h.advance(20)
			}
			if want := []string{"first to 3", "throttle second"}; !slices.Equal(h.actions, want) {
				t.Errorf("the marshal did %v, want %v", h.actions, want)
			}
		})
	}
}

// TestLongKeysTakeLittleMemory guards against clients whose keys are as long as a head may be: what an answered key leaves behind
// does not depend on its length.
func TestLongKeysTakeLittleMemory(t *testing.T) {
	const keys, keyBytes, mostPerKey = 2000, 16 << 10, 512
	c := newBenchHost(3, true)
	c.b.StageUpdate(1, 1, OnTrial, 1, 0, false) // keys are kept until the release
	heapBytes := func() int {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int(m.HeapAlloc)
	}
	padding, before := strings.Repeat("k", keyBytes), heapBytes()
	for i := range keys {
		c.invoke(fmt.Sprint(i), fmt.Sprint(padding, i))
	}
	if len(c.b.minVerByKey) != keys {
		t.Fatalf("%d keys are bound, want %d", len(c.b.minVerByKey), keys)
	}
	if each := (heapBytes() - before) / keys; each > mostPerKey {
		t.Errorf("an answered key of %d bytes takes %d bytes, want %d at most", keyBytes, each, mostPerKey)
	}
	runtime.KeepAlive(c)
}
