package balance

import (
	"fmt"
	"runtime"
	"testing"
)

// calm is a Host that does nothing but keep time and run the instance's timers.
type calm struct {
	b     *Balancer
	now   float64
	wakes []struct {
		at     float64
		handle int64
	}
	node uint32
}

func (c *calm) Now() float64                           { return c.now }
func (c *calm) Dispatch(_ string, n uint32, _ float64) { c.node = n }
func (c *calm) Cancel(string, int)                     {}
func (c *calm) Throttle(string, float64)               {}
func (c *calm) Terminate(string)                       {}
func (c *calm) Probe(uint32)                           {}
func (c *calm) FetchNodes()                            {}
func (c *calm) WatchNodes(bool)                        {}
func (c *calm) Vote(int, int, Verdict)                 {}
func (c *calm) SendToPeer(int, string)                 {}
func (c *calm) Log(string)                             {}
func (c *calm) SetTimer(after float64, handle int64) {
	c.wakes = append(c.wakes, struct {
		at     float64
		handle int64
	}{c.now + after, handle})
}

func (c *calm) pass(ms float64) {
	c.now += ms
	for i := 0; i < len(c.wakes); i++ {
		if w := c.wakes[i]; w.at <= c.now {
			c.wakes = append(c.wakes[:i], c.wakes[i+1:]...)
			i--
			c.b.TimerFired(w.handle)
		}
	}
}

func calmly(nodes int, forward bool) *calm {
	c := &calm{now: 1e6}
	c.b = New(c, Settings{"limits.most-tries": 4.0, "discovery": "automatic", "rollout.counted-over-ms": 4000.0,
		"rollout.allowance": 3.0, "rollout.cap-scope": "all", "rollout.shielded": 0.0, "rollout.forward-only": forward,
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

// invoke sends one invocation through, half a ms after the one before.
func (c *calm) invoke(id, key string) {
	c.b.InvocationArrived(id, 0, 0, key, 1000, 0, false, false)
	c.pass(0.5)
	c.b.DispatchEnded(id, 0, c.node, Succeeded, 20, true, nil)
}

// What one invocation costs the module: arrival, dispatch, answer and its part of the timers.
func BenchmarkInvocation(b *testing.B) {
	for _, nodes := range []int{15, 300, 3000} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := calmly(nodes, false)
			b.ReportAllocs()
			for i := range b.N {
				c.invoke(fmt.Sprint(i), "")
			}
		})
	}
}

// An instance holds no more after hours of nodes, builds and keys that come and go than after minutes.
func TestForgets(t *testing.T) {
	c := calmly(20, true)
	size := func() int {
		return len(c.b.nodes) + len(c.b.order) + len(c.b.bound) + len(c.b.posteriors) + len(c.b.exposed)
	}
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	next, ver, early, bytes := uint32(1000), 1, 0, int64(0)
	for minute := range 120 {
		if minute%10 == 5 { // a build comes, on every node, and is released
			ver++
			c.b.StageUpdate(ver, 0, OnTrial, 0.1, 0, false)
		}
		for range 300 {
			c.invoke(fmt.Sprint(c.now), fmt.Sprint("key", c.now))
			c.pass(190)
		}
		var list []Node
		for range 20 {
			next++
			list = append(list, Node{ID: next, Ver: ver, Size: 1, Started: c.now - 20000})
		}
		c.b.NodesListed(true, list)
		c.b.StageUpdate(ver, 1, Released, 1, 0, false)
		if minute == 20 {
			early, bytes = size(), heap()
		}
	}
	if late := size(); late > early+20 {
		t.Errorf("it held %d things after 20 minutes and %d after two hours", early, late)
	}
	if more := heap() - bytes; more > 1<<20 {
		t.Errorf("its heap grew by %d bytes from 20 minutes to two hours", more)
	}
	runtime.KeepAlive(c)
	for ver, s := range c.b.exposed {
		if len(s.at) > 2000 {
			t.Errorf("%d sends to build %v are remembered", len(s.at), ver)
		}
	}
	if c.b.floor != ver {
		t.Errorf("the floor is build %d, not %d", c.b.floor, ver)
	}
}
