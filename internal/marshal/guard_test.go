package marshal

import (
	"log/slog"
	"testing"

	"arrowcleat/balance"
)

// repeating is a module that sends an invocation on to one node after another, whatever became of it, and then refuses it.
type repeating struct {
	Module
	h     balance.Host
	nodes []uint32
}

func (r *repeating) InvocationArrived(id string, _, _ int, _ string, _, _ float64, _, _ bool) {
	r.h.Dispatch(id, r.nodes[0], 100)
}

func (r *repeating) DispatchEnded(id string, no int, _ uint32, how balance.Outcome, _ float64, done bool, _ map[string]float64) {
	switch {
	case done:
	case no+1 < len(r.nodes) && how != balance.Ignored:
		r.h.Dispatch(id, r.nodes[no+1], 100)
	default:
		r.h.Throttle(id, 1)
	}
}

func (r *repeating) NodesListed(bool, []balance.Node) {}

// taken notes what an exchange is asked for.
type taken struct {
	nodes               []uint32
	refused, terminated bool
}

func (t *taken) Dispatch(_ int, node uint32, _ string, _ float64) { t.nodes = append(t.nodes, node) }
func (t *taken) Cancel(int)                                       {}
func (t *taken) Throttle(float64)                                 { t.refused = true }
func (t *taken) Terminate()                                       { t.terminated = true }
func (t *taken) Let()                                             {}
func (t *taken) Abrupt()                                          {}

// A module asks for what the rule against double effects forbids: it is held back and counted, and the client hears no promise that does
// not hold. What the rule allows goes through.
func TestRepeatsKeepTheRule(t *testing.T) {
	nodes := []balance.Node{{ID: 1, Size: 1}, {ID: 2, Size: 1, Cell: 1}, {ID: 3, Size: 1, Zone: 1}}
	once := RepeatRule{}
	keyed := func(g Group) RepeatRule { return RepeatRule{Group: g, WithinMs: 50} }
	for name, c := range map[string]struct {
		rule   RepeatRule
		ending balance.Outcome // of the first attempt
		to     uint32          // the second one's node
		after  float64         // ms
		sent   int
		refuse bool
	}{
		"once, may have run":        {once, balance.ConnectionReset, 1, 0, 1, false},
		"once, timed out":           {once, balance.TimedOut, 2, 0, 1, false},
		"once, never ran":           {once, balance.ConnectFailed, 2, 0, 2, true},
		"free":                      {RepeatRule{Free: true}, balance.ConnectionReset, 3, 0, 2, true},
		"keyed, all":                {keyed(AllNodes), balance.ConnectionReset, 3, 20, 2, true},
		"keyed, all, too late":      {keyed(AllNodes), balance.ConnectionReset, 1, 60, 1, true},
		"keyed, zone":               {keyed(SameZone), balance.ConnectionReset, 2, 20, 2, false},
		"keyed, another zone":       {keyed(SameZone), balance.ConnectionReset, 3, 20, 1, false},
		"keyed, cell":               {keyed(SameCell), balance.ConnectionReset, 1, 20, 2, false},
		"keyed, another cell":       {keyed(SameCell), balance.Canceled, 2, 20, 1, false},
		"keyed, cell, never ran":    {keyed(SameCell), balance.Rejected, 2, 90, 2, true},
		"keyed, of an unknown kind": {keyed("rack"), balance.Failed, 1, 0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := &world{now: 1e6}
			w.core = New(w, slog.New(slog.DiscardHandler), "m-")
			w.core.Rules = []RepeatRule{c.rule}
			w.core.Start(func(h balance.Host) Module { return &repeating{h: h, nodes: []uint32{1, c.to}} })
			w.core.Listed(true, nodes, []string{"a:1", "b:2", "c:3"})
			x := &taken{}
			id := w.core.Arrived(x, 0, 0, "", 500, 0, false, false)
			w.now += c.after
			w.core.Ended(id, 0, c.ending, 5, false, nil)
			w.until(w.now + 1)
			if len(x.nodes) == 2 { // the second one never ran
				w.core.Ended(id, 1, balance.ConnectFailed, 5, false, nil)
			}
			if len(x.nodes) != c.sent || x.refused != c.refuse || x.terminated == c.refuse {
				t.Errorf("sent to %v, refused %v, terminated %v", x.nodes, x.refused, x.terminated)
			}
			v := w.core.Look().Violations
			if (v.Repeats == 0) != (c.sent == 2) || (v.Refusals == 0) != c.refuse || v.Copies != 0 {
				t.Errorf("counted %+v", v)
			}
		})
	}
}
