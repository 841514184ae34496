package balance

import (
	"fmt"
	"runtime"
	"testing"
)

// benchHost is a Host that only keeps time, fires the timers and remembers the node of the last dispatch.
type benchHost struct {
	b      *Balancer
	now    float64
	timers []struct {
		at     float64
		handle int64
	}
	lastNode uint32
}

func (c *benchHost) Now() float64                           { return c.now }
func (c *benchHost) Dispatch(_ string, n uint32, _ float64) { c.lastNode = n }
func (c *benchHost) Cancel(string, int)                     {}
func (c *benchHost) Throttle(string, float64)               {}
func (c *benchHost) Terminate(string)                       {}
func (c *benchHost) Probe(uint32)                           {}
func (c *benchHost) FetchNodes()                            {}
func (c *benchHost) WatchNodes(bool)                        {}
func (c *benchHost) Vote(int, int, Verdict)                 {}
func (c *benchHost) SendToPeer(int, string)                 {}
func (c *benchHost) Log(string)                             {}
func (c *benchHost) SetTimer(afterMs float64, handle int64) {
	c.timers = append(c.timers, struct {
		at     float64
		handle int64
	}{c.now + afterMs, handle})
}

// advance advances the clock and fires the timers that are due.
func (c *benchHost) advance(ms float64) {
	c.now += ms
	for i := 0; i < len(c.timers); i++ {
		if timer := c.timers[i]; timer.at <= c.now {
			c.timers = append(c.timers[:i], c.timers[i+1:]...)
			i--
			c.b.TimerFired(timer.handle)
		}
	}
}

// newBenchHost starts a Balancer with warm nodes of build 1 in three zones.
func newBenchHost(nodes int, forwardOnly bool) *benchHost {
	c := &benchHost{now: 1e6}
	c.b = New(c, Settings{"limits.most-tries": 4.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
		"rollout.allowance": 3.0, "rollout.cap-scope": "all", "rollout.shielded": 0.0, "rollout.forward-only": forwardOnly,
		"rollout.most-shares": []float64{0.1, 1}, "rollout.stage-share": []float64{0.1, 1}, "prices.cross-zone": 0.1,
		"operations": []Settings{{"repeat": "idempotent", "slo-ms": 500.0}}}, 7)
	var list []Node
	for i := range nodes {
		list = append(list, Node{ID: uint32(i + 1), Ver: 1, Size: 1, Zone: i % 3})
	}
	c.b.NodesListed(true, list)
	c.b.StageUpdate(1, 0, Released, 1, 60000, false)
	return c
}

// invoke processes one invocation in half a ms.
func (c *benchHost) invoke(id, key string) {
	c.b.InvocationArrived(id, 0, 0, key, 1000, 0, false, false)
	c.advance(0.5)
	c.b.DispatchEnded(id, 0, c.lastNode, Succeeded, 20, true, nil)
}

// BenchmarkInvocation measures the cost of one invocation: arrival, dispatch, answer and its part of the timers.
func BenchmarkInvocation(b *testing.B) {
	for _, nodes := range []int{15, 300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := newBenchHost(nodes, false)
			b.ReportAllocs()
			for i := range b.N {
				c.invoke(fmt.Sprint(i), "")
			}
		})
	}
}

// TestStateBounded checks that an instance holds no more after hours of nodes, builds and keys that come and go than
// after minutes.
func TestStateBounded(t *testing.T) {
	c := newBenchHost(20, true)
	size := func() int {
		return len(c.b.nodes) + len(c.b.nodesByID) + len(c.b.minVerByKey) + len(c.b.evidence) + len(c.b.exposures)
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	next, ver, earlySize, earlyHeap := uint32(1000), 1, 0, int64(0)
	for minute := range 120 {
		if minute%10 == 5 { // a new build comes to every node and is released
			ver++
			c.b.StageUpdate(ver, 0, OnTrial, 0.1, 0, false)
		}
		for range 300 {
			c.invoke(fmt.Sprint(c.now), fmt.Sprint("key", c.now))
			c.advance(190)
		}
		var list []Node
		for range 20 {
			next++
			list = append(list, Node{ID: next, Ver: ver, Size: 1, Started: c.now - 20000})
		}
		c.b.NodesListed(true, list)
		c.b.StageUpdate(ver, 1, Released, 1, 0, false)
		if minute == 20 {
			earlySize, earlyHeap = size(), heap()
		}
	}
	if lateSize := size(); lateSize > earlySize+20 {
		t.Errorf("the instance holds %d entries after 20 minutes and %d after two hours", earlySize, lateSize)
	}
	if growth := heap() - earlyHeap; growth > 1<<20 {
		t.Errorf("the heap grew by %d bytes between 20 minutes and two hours", growth)
	}
	runtime.KeepAlive(c)
	for ver, s := range c.b.exposures {
		if len(s.times) > 2000 {
			t.Errorf("%d dispatches to build %v are kept", len(s.times), ver)
		}
	}
	if c.b.minVer != ver {
		t.Errorf("minVer is build %d, want %d", c.b.minVer, ver)
	}
}
