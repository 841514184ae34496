// Package plant injects one fault at a time into a marshal, so that tests can show that the audit finds it.
package plant

import (
	"fmt"
	"slices"
	"strings"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/audit"
	"arrowcleat/internal/front"
	"arrowcleat/internal/serve"
)

// Faults returns the names of the faults that can be injected: one for each of audit.Rules, named after the rule that it
// breaks, and "twice", with which every answer is sent twice.
func Faults() []string { return append(slices.Clone(audit.Rules), "twice") }

// Hooks returns the hooks that inject a fault into a marshal; without a name they inject none.
func Hooks(fault string) (serve.Hooks, error) {
	var h serve.Hooks
	if fault == "" {
		return h, nil
	}
	if !slices.Contains(Faults(), fault) {
		return h, fmt.Errorf("unknown fault %q; known faults: %s", fault, strings.Join(Faults(), ", "))
	}
	switch fault {
	case "twice":
		h.ConfigureFront = func(s *front.Server) { s.Faults.AnswerTwice = true }
	case audit.RuleAnswered:
		h.ConfigureFront = func(s *front.Server) { s.Faults.NoAnswerDeadline = true }
	case audit.RuleDrain:
		h.ConfigureFront = func(s *front.Server) { s.Faults.IgnoreDraining = true }
	case audit.RuleEffects:
		h.SkipRepeatRules = true
	case audit.RuleOneInFlight:
		h.ConfigureFront = func(s *front.Server) { s.Faults.DuplicateRequests = true }
	}
	h.NewModule = func(host balance.Host, set balance.Settings, seed uint64) divide.Module {
		f := &faultyModule{Host: host, fault: fault}
		switch fault {
		case audit.RuleExposure, audit.RuleForwardOnly:
			set["rollout.forward-only"] = false
		}
		f.Module = balance.New(f, set, seed)
		return f
	}
	return h, nil
}

// faultyModule wraps a module and its host. It falsifies or drops calls in both directions.
type faultyModule struct {
	divide.Module
	balance.Host
	fault    string
	arrivals int
	// newestReleased is the newest build that was reported as released.
	newestReleased int
	// warmingNode is the node to overload while it warms up, 0 for none; overloadUntilMs is when that ends.
	warmingNode     uint32
	overloadUntilMs float64
}

// InvocationArrived drops every thirtieth invocation with the fault of audit.RuleAnswered.
func (f *faultyModule) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
	f.arrivals++
	if f.fault == audit.RuleAnswered && f.arrivals%30 == 0 {
		return
	}
	f.Module.InvocationArrived(id, op, tenant, key, budget, cost, retry, write)
}

// DispatchEnded reports dispatches that may have run as rejected, which says that they never ran.
func (f *faultyModule) DispatchEnded(id string, no int, node uint32, how balance.Outcome, took float64, done bool,
	report map[string]float64) {
	if f.fault == audit.RuleEffects && how != balance.Succeeded {
		how = balance.Rejected
	}
	f.Module.DispatchEnded(id, no, node, how, took, done, report)
}

// NodesListed hides that nodes drain or which build they run, or selects the node to overload while it warms up.
func (f *faultyModule) NodesListed(whole bool, list []balance.Node) {
	list = slices.Clone(list)
	for i := range list {
		n := &list[i]
		switch f.fault {
		case audit.RuleDrain:
			n.Health = balance.Serving
		case audit.RuleExposure, audit.RuleForwardOnly:
			n.Ver = 1
		}
	}
	for _, n := range list {
		if f.fault == audit.RuleColdNodes && n.Health == balance.Serving && n.Started > f.Now()-500 && n.Ver <= f.newestReleased {
			f.warmingNode, f.overloadUntilMs = n.ID, f.Now()+2500
		} else if n.ID == f.warmingNode && n.Health != balance.Serving {
			f.warmingNode = 0
		}
	}
	f.Module.NodesListed(whole && f.fault != audit.RuleDrain, list)
}

// Dispatch sends everything to the node that started last while it warms up. Nodes of trial builds are never selected
// for that, so that no build exceeds its cap.
func (f *faultyModule) Dispatch(inv string, node uint32, within float64) {
	if f.warmingNode != 0 && f.Now() < f.overloadUntilMs {
		node = f.warmingNode
	}
	f.Host.Dispatch(inv, node, within)
}

// StageUpdate reports trial builds as released.
func (f *faultyModule) StageUpdate(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	if phase == balance.Released {
		f.newestReleased = max(f.newestReleased, ver)
	}
	if f.fault == audit.RuleExposure || f.fault == audit.RuleForwardOnly {
		phase, cap = balance.Released, 1
	}
	f.Module.StageUpdate(ver, stage, phase, cap, age, reply)
}
