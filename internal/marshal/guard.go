package marshal

import (
	"arrowcleat/balance"
)

// RepeatRule is what an operation allows after an attempt that may have run. The zero value allows nothing.
type RepeatRule struct {
	Idempotent     bool    // an effect twice does no harm
	Group    DedupGroup   // of nodes that drop each other's repeats
	DedupWindowMs float64 // for how long they do, from when the first such attempt was sent
}

// DedupGroup is a set of nodes that drop each other's repeats.
type DedupGroup string

// The groups; in none but these a repeat has its effect again.
const (
	SameCell DedupGroup = "cell"
	SameZone DedupGroup = "zone"
	AllNodes DedupGroup = "all"
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
func NeverRan(how balance.Ending) bool {
	return how == balance.Full || how == balance.NoConnect || how == balance.Ignored
}

// rule is that of an invocation's operation.
func (c *Core) rule(inv *invocation) RepeatRule {
	if inv.op < len(c.RepeatRules) {
		return c.RepeatRules[inv.op]
	}
	return RepeatRule{Idempotent: c.RepeatRules == nil}
}

// mayRepeat says whether a further attempt at a node keeps the rule against double effects.
func (c *Core) mayRepeat(inv *invocation, node balance.Node) bool {
	rule, now := c.rule(inv), c.out.Now()
	for _, earlier := range inv.ran {
		if !rule.Idempotent && (now-earlier.sentMs > rule.DedupWindowMs || !rule.Group.holds(earlier, node)) {
			return false
		}
	}
	return true
}

// mayRefuse says whether a refusal keeps its promise, that asking again is harmless.
func (c *Core) mayRefuse(inv *invocation) bool {
	rule := c.rule(inv)
	return len(inv.ran) == 0 || rule.Idempotent || rule.Group == AllNodes
}

// holds says that a node drops a repeat of an attempt.
func (g DedupGroup) holds(earlier attempt, node balance.Node) bool {
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
