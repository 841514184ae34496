// Package plant makes marshals with one fault each, so that the audit can be seen to find it.
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

// Faults lists the rules for which a marshal that breaks them can be planted.
func Faults() []string { return append(slices.Clone(audit.Rules), "twice") }

// Hooks gives a marshal its fault.
func Hooks(rule string) (serve.Hooks, error) {
	var h serve.Hooks
	if rule == "" {
		return h, nil
	}
	if !slices.Contains(Faults(), rule) {
		return h, fmt.Errorf("no rule is called %q; there are %s", rule, strings.Join(Faults(), ", "))
	}
	switch rule {
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
		f := &faulty{Host: host, rule: rule}
		switch rule {
		case audit.RuleExposure, audit.RuleForwardOnly:
			set["rollout.forward-only"] = false
		}
		f.Module = balance.New(f, set, seed)
		return f
	}
	return h, nil
}

// faulty stands on both sides of a module and lies to it, or leaves undone what it asks.
type faulty struct {
	divide.Module
	balance.Host
	rule  string
	count int
	// released is the newest build that is not on trial.
	released int
	// cold is the node that is to be pushed over, and until when that is tried.
	cold  uint32
	until float64
}

// InvocationArrived loses every thirtieth invocation.
func (f *faulty) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
	f.count++
	if f.rule == audit.RuleAnswered && f.count%30 == 0 {
		return
	}
	f.Module.InvocationArrived(id, op, tenant, key, budget, cost, retry, write)
}

// DispatchEnded says of what may have run that it never did.
func (f *faulty) DispatchEnded(id string, no int, node uint32, how balance.Outcome, took float64, done bool,
	report map[string]float64) {
	if f.rule == audit.RuleEffects && how != balance.Succeeded {
		how = balance.Rejected
	}
	f.Module.DispatchEnded(id, no, node, how, took, done, report)
}

// NodesListed hides that nodes drain, that they are cold, or which build they run.
func (f *faulty) NodesListed(whole bool, list []balance.Node) {
	list = slices.Clone(list)
	for i := range list {
		n := &list[i]
		switch f.rule {
		case audit.RuleDrain:
			n.Health = balance.Serving
		case audit.RuleExposure, audit.RuleForwardOnly:
			n.Ver = 1
		}
	}
	for _, n := range list {
		if f.rule == audit.RuleColdNodes && n.Health == balance.Serving && n.Started > f.Now()-500 && n.Ver <= f.released {
			f.cold, f.until = n.ID, f.Now()+2500
		} else if n.ID == f.cold && n.Health != balance.Serving {
			f.cold = 0
		}
	}
	f.Module.NodesListed(whole && f.rule != audit.RuleDrain, list)
}

// Dispatch sends everything to the node that started last, while it is cold; builds on trial are left to the caps.
func (f *faulty) Dispatch(inv string, node uint32, within float64) {
	if f.cold != 0 && f.Now() < f.until {
		node = f.cold
	}
	f.Host.Dispatch(inv, node, within)
}

// StageUpdate hides builds on trial.
func (f *faulty) StageUpdate(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	if phase == balance.Released {
		f.released = max(f.released, ver)
	}
	if f.rule == audit.RuleExposure || f.rule == audit.RuleForwardOnly {
		phase, cap = balance.Released, 1
	}
	f.Module.StageUpdate(ver, stage, phase, cap, age, reply)
}
