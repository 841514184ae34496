package day

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"arrowcleat/internal/settings"
)

// kind is a trouble: how it begins, what ends it, and what it is like when nobody says.
type kind struct {
	begin func(w *world, t *settings.Trouble, rnd *rand.Rand) (end func())
	usual *settings.Trouble
	hows  []string
}

func usual(forS, part, size, extra float64) *settings.Trouble {
	return &settings.Trouble{ForS: forS, Part: part, Size: size, Extra: extra}
}

var kinds map[string]kind

func init() {
	kinds = map[string]kind{
		"crash":          {crash, usual(4, 0.2, 0, 0), nil},
		"vanish":         {vanish, usual(4, 0.15, 0, 0), nil},
		"slow":           {nodes(func(t *settings.Trouble) string { return fmt.Sprintf("slow %g", t.Size) }), usual(6, 0.2, 5, 0), nil},
		"hang":           {nodes(func(*settings.Trouble) string { return "hang" }), usual(5, 0.15, 0, 0), nil},
		"fast_errors":    {nodes(func(t *settings.Trouble) string { return fmt.Sprintf("errors %g", t.Size) }), usual(6, 0.15, 0.7, 0), nil},
		"pauses":         {nodes(func(t *settings.Trouble) string { return fmt.Sprintf("pause %g %g", t.Size, t.Extra*1000) }), usual(8, 0.4, 300, 2), nil},
		"handshake_slow": {nodes(func(t *settings.Trouble) string { return fmt.Sprintf("dial %g", t.Size) }), usual(8, 0.8, 150, 0), nil},
		"conn_squeeze":   {squeeze, usual(8, 0.8, 3, 0), nil},
		"cut":            {nodes(func(t *settings.Trouble) string { return "cut " + t.How }), usual(3, 0.15, 0, 0), []string{"before", "head", "body", "chunk"}},
		"drain":          {nodes(func(*settings.Trouble) string { return "drain" }), usual(4, 0.2, 0, 0), nil},
		"shared_slow":    {every(func(t *settings.Trouble) string { return fmt.Sprintf("slow %g", t.Size) }), usual(6, 1, 2, 0), nil},
		"burst":          {burst, usual(4, 0, 2, 0), nil},
		"hot_key":        {hotKey, usual(8, 0, 0.2, 2), nil},
		"shift":          {shift, usual(3, 0, 0.6, 0), nil},
		"slow_link":      {slowLink, usual(8, 0, 150, 0.15), nil},
		"bad_requests":   {badRequests, usual(8, 0, 0.3, 0), nil},
		"roster_stale":   {rosterStale, usual(8, 0, 0, 2), nil},
		"conveyor_down":  {conveyorDown, usual(4, 0, 0, 2), []string{"silence", "errors", "stale"}},
		"marshal_roll":   {marshalRoll, usual(6, 1, 0, 0.4), []string{"kill", "term"}},
		"marshal_stall":  {stalls((*aMarshal).stall), usual(8, 0.7, 700, 2.5), nil},
		"core_stall":     {stalls((*aMarshal).stallCore), usual(8, 0.7, 1500, 2.5), nil},
	}
}

// nodes gives some nodes a command, and later the word that they are well.
func nodes(command func(*settings.Trouble) string) func(*world, *settings.Trouble, *rand.Rand) func() {
	return func(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
		some := w.some(t.Part, rnd)
		for _, s := range some {
			w.do(s, command(t))
		}
		return func() {
			for _, s := range some {
				w.do(s, "well")
			}
		}
	}
}

func every(command func(*settings.Trouble) string) func(*world, *settings.Trouble, *rand.Rand) func() {
	return func(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
		all := proto.CloneOf(t)
		all.Part = 1
		return nodes(command)(w, all, rnd)
	}
}

func crash(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.some(t.Part, rnd)
	for _, s := range some {
		w.kill(s)
	}
	return func() {
		for _, s := range some {
			w.revive(s)
		}
	}
}

// vanish makes nodes silent: nothing is refused, nothing answered; they come back as new processes.
func vanish(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.some(t.Part, rnd)
	for _, s := range some {
		w.do(s, "hang")
	}
	return func() {
		for _, s := range some {
			w.kill(s)
			w.revive(s)
		}
	}
}

// squeeze bounds the connections that nodes take: size for each marshal.
func squeeze(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
	some := w.some(t.Part, rnd)
	for _, s := range some {
		w.do(s, fmt.Sprintf("conns %d", max(1, int(t.Size*float64(len(w.marshals))))))
	}
	return func() {
		for _, s := range some {
			w.do(s, "well")
		}
	}
}

func burst(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.set(func(c *clients) { c.times *= t.Size })
	return func() { w.clients.set(func(c *clients) { c.times /= t.Size }) }
}

func hotKey(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.set(func(c *clients) { c.hot, c.hotKeys = t.Size, max(1, int(t.Extra)) })
	return func() { w.clients.set(func(c *clients) { c.hot = 0 }) }
}

// shift moves a share of the traffic to the marshals of one data centre, for good.
func shift(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.set(func(c *clients) { c.shifted = t.Size })
	return func() {}
}

func badRequests(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	w.clients.set(func(c *clients) { c.bad = t.Size })
	return func() { w.clients.set(func(c *clients) { c.bad = 0 }) }
}

// slowLink makes the way between two data centres long and lossy.
func slowLink(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	for _, s := range w.all() {
		line := fmt.Sprintf("link %g %g", t.Size, t.Extra)
		for _, m := range w.marshals {
			if m.zone != s.zone {
				line += fmt.Sprintf(" %d", m.number)
			}
		}
		w.do(s, line)
	}
	return func() {
		for _, s := range w.all() {
			w.do(s, "well")
		}
	}
}

func rosterStale(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	w.lagBy(&w.rosterLag, time.Duration(t.Extra*float64(time.Second)))
	return func() { w.lagBy(&w.rosterLag, 0) }
}

func conveyorDown(w *world, t *settings.Trouble, _ *rand.Rand) func() {
	switch t.How {
	case "errors":
		w.conveyor.SetFaults(false, true)
	case "stale":
		w.lagBy(&w.conveyorLag, time.Duration(t.Extra*float64(time.Second)))
	default:
		w.conveyor.SetFaults(true, false)
	}
	return func() {
		w.conveyor.SetFaults(false, false)
		w.lagBy(&w.conveyorLag, 0)
	}
}

// marshalRoll restarts marshals one after the other, over the time it has.
func marshalRoll(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
	order := rnd.Perm(len(w.marshals))[:max(1, int(t.Part*float64(len(w.marshals))+0.5))]
	step := time.Duration(t.ForS * float64(time.Second) / float64(len(order)))
	down := time.Duration(max(0.05, t.Extra) * float64(time.Second))
	for i, n := range order {
		w.after(time.Duration(i)*step, func() { w.marshals[n].restart(t.How != "term", down) })
	}
	return func() {}
}

// marshalStall lets marshals stand still now and then.
// stalls has some marshals, or a core of each, stand still time and again.
func stalls(stall func(*aMarshal, time.Duration)) func(*world, *settings.Trouble, *rand.Rand) func() {
	return func(w *world, t *settings.Trouble, rnd *rand.Rand) func() {
		done := make(chan struct{})
		for _, n := range rnd.Perm(len(w.marshals))[:max(1, int(t.Part*float64(len(w.marshals))+0.5))] {
			first := time.Duration(rnd.Float64() * t.Extra * float64(time.Second))
			w.background(func() {
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
