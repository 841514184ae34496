package day

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"arrowcleat/internal/settings"
)

// faultKind is a trouble: how it begins, what ends it, and what it is like when nobody says.
type faultKind struct {
	start    func(w *testbed, t *settings.Trouble, rnd *rand.Rand) (end func())
	defaults *settings.Trouble
	variants []string
}

func params(forS, part, size, extra float64) *settings.Trouble {
	return &settings.Trouble{ForS: forS, Part: part, Size: size, Extra: extra}
}

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

// onNodes gives some onNodes a command, and later the word that they are well.
func onNodes(command func(*settings.Trouble) string) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		some := w.pickSlots(t.Part, rnd)
		for _, s := range some {
			w.command(s, command(t))
		}
		return func() {
			for _, s := range some {
				w.command(s, "well")
			}
		}
	}
}

func onAllNodes(command func(*settings.Trouble) string) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		all := proto.CloneOf(t)
		all.Part = 1
		return onNodes(command)(w, all, rnd)
	}
}

func crash(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.pickSlots(t.Part, rnd)
	for _, s := range some {
		w.killNode(s)
	}
	return func() {
		for _, s := range some {
			w.restartNode(s)
		}
	}
}

// vanish makes nodes silent: nothing is refused, nothing answered; they come back as new processes.
func vanish(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.pickSlots(t.Part, rnd)
	for _, s := range some {
		w.command(s, "hang")
	}
	return func() {
		for _, s := range some {
			w.killNode(s)
			w.restartNode(s)
		}
	}
}

// limitConnections bounds the connections that nodes take: size for each marshal.
func limitConnections(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.pickSlots(t.Part, rnd)
	for _, s := range some {
		w.command(s, fmt.Sprintf("conns %d", max(1, int(t.Size*float64(len(w.marshals))))))
	}
	return func() {
		for _, s := range some {
			w.command(s, "well")
		}
	}
}

func burst(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.update(func(c *clients) { c.rateFactor *= t.Size })
	return func() { w.clients.update(func(c *clients) { c.rateFactor /= t.Size }) }
}

func hotKey(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.update(func(c *clients) { c.hotShare, c.hotKeys = t.Size, max(1, int(t.Extra)) })
	return func() { w.clients.update(func(c *clients) { c.hotShare = 0 }) }
}

// shift moves a share of the traffic to the marshals of one data centre, for good.
func shift(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.update(func(c *clients) { c.shiftedShare = t.Size })
	return func() {}
}

func badRequests(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.update(func(c *clients) { c.badShare = t.Size })
	return func() { w.clients.update(func(c *clients) { c.badShare = 0 }) }
}

// slowLink makes the way between two data centres long and lossy.
func slowLink(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	for _, s := range w.allSlots() {
		line := fmt.Sprintf("link %g %g", t.Size, t.Extra)
		for _, m := range w.marshals {
			if m.zone != s.zone {
				line += fmt.Sprintf(" %d", m.number)
			}
		}
		w.command(s, line)
	}
	return func() {
		for _, s := range w.allSlots() {
			w.command(s, "well")
		}
	}
}

func staleRegistry(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	w.setExtraDelay(&w.extraRegistryDelay, time.Duration(t.Extra*float64(time.Second)))
	return func() { w.setExtraDelay(&w.extraRegistryDelay, 0) }
}

func rolloutServiceDown(w *testbed, t *settings.Trouble, _ *rand.Rand) func() {
	switch t.How {
	case "errors":
		w.rollout.Trouble(false, true)
	case "stale":
		w.setExtraDelay(&w.extraRolloutDelay, time.Duration(t.Extra*float64(time.Second)))
	default:
		w.rollout.Trouble(true, false)
	}
	return func() {
		w.rollout.Trouble(false, false)
		w.setExtraDelay(&w.extraRolloutDelay, 0)
	}
}

// rollMarshals restarts marshals one after the other, over the time it has.
func rollMarshals(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
	order := rnd.Perm(len(w.marshals))[:max(1, int(t.Part*float64(len(w.marshals))+0.5))]
	step := time.Duration(t.ForS * float64(time.Second) / float64(len(order)))
	down := time.Duration(max(0.05, t.Extra) * float64(time.Second))
	for i, n := range order {
		w.after(time.Duration(i)*step, func() { w.marshals[n].restart(t.How != "term", down) })
	}
	return func() {}
}

// marshalStall lets marshals stand still now and then.
// stallRepeatedly has some marshals, or a core of each, stand still time and again.
func stallRepeatedly(stall func(*testMarshal, time.Duration)) func(*testbed, *settings.Trouble, *rand.Rand) func() {
	return func(w *testbed, t *settings.Trouble, rnd *rand.Rand) func() {
		done := make(chan struct{})
		for _, n := range rnd.Perm(len(w.marshals))[:max(1, int(t.Part*float64(len(w.marshals))+0.5))] {
			first := time.Duration(rnd.Float64() * t.Extra * float64(time.Second))
			w.goTask(func() {
				for wait := first; ; wait = time.Duration(t.Extra * float64(time.Second)) {
					select {
					case <-done:
						return
					case <-time.After(wait):
						stall(w.marshals[n], time.Duration(t.Size*float64(time.Millisecond)))
					}
				}
			})
		}
		return func() { close(done) }
	}
}
