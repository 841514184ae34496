package marshal

import (
	"log/slog"
	"testing"

	"arrowcleat/balance"
)

// repeatingModule sends an invocation to one node after another, whatever the outcomes, and then refuses it.
type repeatingModule struct {
	Module
	h     balance.Host
	nodes []uint32
}

func (r *repeatingModule) InvocationArrived(id string, _, _ int, _ string, _, _ float64, _, _ bool) {
	r.h.Dispatch(id, r.nodes[0], 100)
}

func (r *repeatingModule) DispatchEnded(id string, no int, _ uint32, outcome balance.Outcome, _ float64, answered bool,
	_ map[string]float64) {
	switch {
	case answered:
	case no+1 < len(r.nodes) && outcome != balance.Ignored:
		r.h.Dispatch(id, r.nodes[no+1], 100)
	default:
		r.h.Throttle(id, 1)
	}
}

func (r *repeatingModule) NodesListed(bool, []balance.Node) {}

// recordingExchange records the calls that an exchange receives.
type recordingExchange struct {
	nodes               []uint32
	refused, terminated bool
}

func (x *recordingExchange) Dispatch(_ int, node uint32, _ string, _ float64) {
	x.nodes = append(x.nodes, node)
}
func (x *recordingExchange) Cancel(int)       {}
func (x *recordingExchange) Throttle(float64) { x.refused = true }
func (x *recordingExchange) Terminate()       { x.terminated = true }
func (x *recordingExchange) Discard()         {}
func (x *recordingExchange) Abort()           {}

// A module requests repeats and refusals that the operation's rule forbids: they are suppressed and counted, and the
// client receives no refusal of an invocation that may have run. What the rule allows is carried out.
func TestRepeatsKeepTheRule(t *testing.T) {
	nodes := []balance.Node{{ID: 1, Size: 1}, {ID: 2, Size: 1, Cell: 1}, {ID: 3, Size: 1, Zone: 1}}
	once := RepeatRule{}
	keyed := func(g DedupGroup) RepeatRule { return RepeatRule{Group: g, DedupWindowMs: 50} }
	for name, c := range map[string]struct {
		rule       RepeatRule
		outcome    balance.Outcome // of the first attempt
		secondNode uint32
		afterMs    float64
		sent       int
		refused    bool
	}{
		"once, may have run":     {once, balance.ConnectionReset, 1, 0, 1, false},
		"once, timed out":        {once, balance.TimedOut, 2, 0, 1, false},
		"once, never ran":        {once, balance.ConnectFailed, 2, 0, 2, true},
		"idempotent":             {RepeatRule{Idempotent: true}, balance.ConnectionReset, 3, 0, 2, true},
		"keyed, all":             {keyed(AllNodes), balance.ConnectionReset, 3, 20, 2, true},
		"keyed, all, too late":   {keyed(AllNodes), balance.ConnectionReset, 1, 60, 1, true},
		"keyed, zone":            {keyed(SameZone), balance.ConnectionReset, 2, 20, 2, false},
		"keyed, another zone":    {keyed(SameZone), balance.ConnectionReset, 3, 20, 1, false},
		"keyed, cell":            {keyed(SameCell), balance.ConnectionReset, 1, 20, 2, false},
		"keyed, another cell":    {keyed(SameCell), balance.Canceled, 2, 20, 1, false},
		"keyed, cell, never ran": {keyed(SameCell), balance.Rejected, 2, 90, 2, true},
		"keyed, unknown group":   {keyed("rack"), balance.Failed, 1, 0, 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &simulator{now: 1e6}
			s.core = New(s, slog.New(slog.DiscardHandler), "m-")
			s.core.RepeatRules = []RepeatRule{c.rule}
			s.core.Start(func(h balance.Host) Module { return &repeatingModule{h: h, nodes: []uint32{1, c.secondNode}} })
			s.core.NodesListed(true, nodes, []string{"a:1", "b:2", "c:3"})
			x := &recordingExchange{}
			id := s.core.InvocationArrived(x, 0, 0, "", 500, 0, false, false)
			s.now += c.afterMs
			s.core.DispatchEnded(id, 0, c.outcome, 5, false, nil)
			s.runUntil(s.now + 1)
			if len(x.nodes) == 2 { // the second attempt never ran
				s.core.DispatchEnded(id, 1, balance.ConnectFailed, 5, false, nil)
			}
			if len(x.nodes) != c.sent || x.refused != c.refused || x.terminated == c.refused {
				t.Errorf("got nodes %v, refused %v, terminated %v; want %d dispatches, refused %v, terminated %v",
					x.nodes, x.refused, x.terminated, c.sent, c.refused, !c.refused)
			}
			v := s.core.Snapshot().Violations
			if (v.Repeats == 0) != (c.sent == 2) || (v.Refusals == 0) != c.refused || v.Copies != 0 {
				t.Errorf("got violations %+v, want repeats: %v, refusals: %v, no copies", v, c.sent != 2, !c.refused)
			}
		})
	}
}
