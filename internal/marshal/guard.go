package marshal

import (
	"arrowcleat/balance"
)

// RepeatRule is what an operation allows after an attempt that may have run. The zero value allows nothing.
type RepeatRule struct {
	Free     bool    // an effect twice does no harm
	Group    Group   // of nodes that drop each other's repeats
	WithinMs float64 // for how long they do, from when the first such attempt was sent
}

// Group is a set of nodes that drop each other's repeats.
type Group string

// The groups; in none but these a repeat has its effect again.
const (
	SameCell Group = "cell"
	SameZone Group = "zone"
	AllNodes Group = "all"
)

// Violations counts what the guard held back: what a decision asked for and the rules forbid. Each must stay 0.
type Violations struct {
	Repeats  int64 // attempts after one that may have run, against the operation's rule
	Copies   int64 // attempts beside one that was out
	Refusals int64 // refusals, which promise that nothing ran, of what may have run
}

func (v *Violations) add(o Violations) {
	v.Repeats += o.Repeats
	v.Copies += o.Copies
	v.Refusals += o.Refusals
}

// attempt is one that may have run.
type attempt struct {
	zone, cell int // of its node
	sentMs     float64
}

// NeverRan says that an ending proves that nothing ran.
func NeverRan(how balance.Outcome) bool {
	return how == balance.Rejected || how == balance.ConnectFailed || how == balance.Ignored
}

// rule is that of an invocation's operation.
func (c *Core) rule(inv *invocation) RepeatRule {
	if inv.op < len(c.Rules) {
		return c.Rules[inv.op]
	}
	return RepeatRule{Free: c.Rules == nil}
}

// mayRepeat says whether a further attempt at a node keeps the rule against double effects.
func (c *Core) mayRepeat(inv *invocation, node balance.Node) bool {
	rule, now := c.rule(inv), c.out.Now()
	for _, earlier := range inv.ran {
		if !rule.Free && (now-earlier.sentMs > rule.WithinMs || !rule.Group.holds(earlier, node)) {
			return false
		}
	}
	return true
}

// mayRefuse says whether a refusal keeps its promise, that asking again is harmless.
func (c *Core) mayRefuse(inv *invocation) bool {
	rule := c.rule(inv)
	return len(inv.ran) == 0 || rule.Free || rule.Group == AllNodes
}

// holds says that a node drops a repeat of an attempt.
func (g Group) holds(earlier attempt, node balance.Node) bool {
	switch g {
	case AllNodes:
		return true
	case SameZone:
		return earlier.zone == node.Zone
	case SameCell:
		return earlier.zone == node.Zone && earlier.cell == node.Cell
	default:
		return false
	}
}
