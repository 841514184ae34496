package day

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"arrowcleat/internal/settings"
)

// faultKind is a kind of fault. start injects it into the testbed and returns the function that ends it.
type faultKind struct {
	start    func(tb *testbed, t *settings.Trouble, rnd *rand.Rand) (end func())
	defaults *settings.Trouble // parameters in DefaultWithFault
	variants []string          // values of the field how
}

// params returns the parameters of a fault: its duration, the share of what it affects, and what size and extra mean for
// its kind.
func params(forS, part, size, extra float64) *settings.Trouble {
	return &settings.Trouble{ForS: forS, Part: part, Size: size, Extra: extra}
}

// faultKinds are all kinds, by the names that scenarios use.
var faultKinds map[string]faultKind

func init() {
	faultKinds = map[string]faultKind{
		"crash":          {crash, params(4, 0.2, 0, 0), nil},
		"vanish":         {vanish, params(4, 0.15, 0, 0), nil},
		"slow":           {onNodes(func(t *settings.Trouble) string { return fmt.Sprintf("slow %g", t.Size) }), params(6, 0.2, 5, 0), nil},
		"hang":           {onNodes(func(*settings.Trouble) string { return "hang" }), params(5, 0.15, 0, 0), nil},
		"fast_errors":    {onNodes(func(t *settings.Trouble) string { return fmt.Sprintf("errors %g", t.Size) }), params(6, 0.15, 0.7, 0), nil},
		"pauses":         {onNodes(func(t *settings.Trouble) string { return fmt.Sprintf("pause %g %g", t.Size, t.Extra*1000) }), params(8, 0.4, 300, 2), nil},
		"handshake_slow": {onNodes(func(t *settings.Trouble) string { return fmt.Sprintf("dial %g", t.Size) }), params(8, 0.8, 150, 0), nil},
		"conn_squeeze":   {limitConnections, params(8, 0.8, 3, 0), nil},
		"cut":            {onNodes(func(t *settings.Trouble) string { return "cut " + t.How }), params(3, 0.15, 0, 0), []string{"before", "head", "body", "chunk"}},
		"drain":          {onNodes(func(*settings.Trouble) string { return "drain" }), params(4, 0.2, 0, 0), nil},
		"shared_slow":    {onAllNodes(func(t *settings.Trouble) string { return fmt.Sprintf("slow %g", t.Size) }), params(6, 1, 2, 0), nil},
		"burst":          {burst, params(4, 0, 2, 0), nil},
		"hot_key":        {hotKey, params(8, 0, 0.2, 2), nil},
		"shift":          {shift, params(3, 0, 0.6, 0), nil},
		"slow_link":      {slowLink, params(8, 0, 150, 0.15), nil},
		"bad_requests":   {badRequests, params(8, 0, 0.3, 0), nil},
		"roster_stale":   {staleRegistry, params(8, 0, 0, 2), nil},
		"conveyor_down":  {rolloutServiceDown, params(4, 0, 0, 2), []string{"silence", "errors", "stale"}},
		"marshal_roll":   {rollMarshals, params(6, 1, 0, 0.4), []string{"kill", "term"}},
		"marshal_stall":  {stallRepeatedly((*testMarshal).stall), params(8, 0.7, 700, 2.5), nil},
		"core_stall":     {stallRepeatedly((*testMarshal).stallCore), params(8, 0.7, 1500, 2.5), nil},
	}
}

// onNodes returns the start of a fault that sends a command to a share of the nodes, and ends it with "well".
func onNodes(command func(*settings.Trouble) string) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		some := tb.pickSlots(t.Part, rnd)
		for _, s := range some {
			tb.command(s, command(t))
		}
		return func() {
			for _, s := range some {
				tb.command(s, "well")
			}
		}
	}
}

// onAllNodes is onNodes for all nodes.
func onAllNodes(command func(*settings.Trouble) string) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		all := proto.CloneOf(t)
		all.Part = 1
		return onNodes(command)(tb, all, rnd)
	}
}

// crash kills a share of the nodes and starts them again.
func crash(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := tb.pickSlots(t.Part, rnd)
	for _, s := range some {
		tb.killNode(s)
	}
	return func() {
		for _, s := range some {
			tb.restartNode(s)
		}
	}
}

// vanish makes a share of the nodes unresponsive: they refuse and answer nothing. They come back as new processes.
func vanish(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := tb.pickSlots(t.Part, rnd)
	for _, s := range some {
		tb.command(s, "hang")
	}
	return func() {
		for _, s := range some {
			tb.killNode(s)
			tb.restartNode(s)
		}
	}
}

// limitConnections limits the connections that a share of the nodes accept, to size for each marshal.
func limitConnections(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := tb.pickSlots(t.Part, rnd)
	for _, s := range some {
		tb.command(s, fmt.Sprintf("conns %d", max(1, int(t.Size*float64(len(tb.marshals))))))
	}
	return func() {
		for _, s := range some {
			tb.command(s, "well")
		}
	}
}

// burst multiplies the rate of the clients.
func burst(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	tb.clients.update(func(c *clients) { c.rateFactor *= t.Size })
	return func() { tb.clients.update(func(c *clients) { c.rateFactor /= t.Size }) }
}

// hotKey directs a share of the traffic to a few keys.
func hotKey(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	tb.clients.update(func(c *clients) { c.hotShare, c.hotKeys = t.Size, max(1, int(t.Extra)) })
	return func() { tb.clients.update(func(c *clients) { c.hotShare = 0 }) }
}

// shift moves a share of the traffic to the marshals of one zone, permanently.
func shift(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	tb.clients.update(func(c *clients) { c.shiftedShare = t.Size })
	return func() {}
}

// badRequests makes a share of the requests invalid.
func badRequests(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	tb.clients.update(func(c *clients) { c.badShare = t.Size })
	return func() { tb.clients.update(func(c *clients) { c.badShare = 0 }) }
}

// slowLink makes the link between zones slow and lossy.
func slowLink(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	for _, s := range tb.allSlots() {
		line := fmt.Sprintf("link %g %g", t.Size, t.Extra)
		for _, m := range tb.marshals {
			if m.zone != s.zone {
				line += fmt.Sprintf(" %d", m.number)
			}
		}
		tb.command(s, line)
	}
	return func() {
		for _, s := range tb.allSlots() {
			tb.command(s, "well")
		}
	}
}

// staleRegistry delays the updates of the service registry.
func staleRegistry(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	tb.setExtraDelay(&tb.extraRegistryDelay, time.Duration(t.Extra*float64(time.Second)))
	return func() { tb.setExtraDelay(&tb.extraRegistryDelay, 0) }
}

// rolloutServiceDown makes the rollout service unresponsive, failing or late with its updates.
func rolloutServiceDown(tb *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	switch t.How {
	case "errors":
		tb.rollout.Trouble(false, true)
	case "stale":
		tb.setExtraDelay(&tb.extraRolloutDelay, time.Duration(t.Extra*float64(time.Second)))
	default:
		tb.rollout.Trouble(true, false)
	}
	return func() {
		tb.rollout.Trouble(false, false)
		tb.setExtraDelay(&tb.extraRolloutDelay, 0)
	}
}

// rollMarshals restarts a share of the marshals one after the other, spread over the duration of the fault.
func rollMarshals(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	order := rnd.Perm(len(tb.marshals))[:max(1, int(t.Part*float64(len(tb.marshals))+0.5))]
	step := time.Duration(t.ForS * float64(time.Second) / float64(len(order)))
	down := time.Duration(max(0.05, t.Extra) * float64(time.Second))
	for i, n := range order {
		tb.after(time.Duration(i)*step, func() { tb.marshals[n].restart(t.How != "term", down) })
	}
	return func() {}
}

// stallRepeatedly stalls a share of the marshals, or a core of each, at regular intervals.
func stallRepeatedly(stall func(*testMarshal, time.Duration)) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(tb *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		done := make(chan struct{})
		for _, n := range rnd.Perm(len(tb.marshals))[:max(1, int(t.Part*float64(len(tb.marshals))+0.5))] {
			first := time.Duration(rnd.Float64() * t.Extra * float64(time.Second))
			tb.goTask(func() {
				for wait := first; ; wait = time.Duration(t.Extra * float64(time.Second)) {
					select {
					case <-done:
						return
					case <-time.After(wait):
						stall(tb.marshals[n], time.Duration(t.Size*float64(time.Millisecond)))
					}
				}
			})
		}
		return func() { close(done) }
	}
}
