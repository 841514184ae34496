package marshal

import (
	"arrowcleat/balance"
)

// RepeatRule says when an operation may be sent again after an attempt that may have run. The zero value forbids it.
type RepeatRule struct {
	Idempotent    bool       // running twice does no harm
	Group         DedupGroup // the nodes that drop each other's repeats
	DedupWindowMs float64    // how long they drop them, counted from when the first such attempt was sent
}

// DedupGroup is a set of nodes that drop each other's repeats.
type DedupGroup string

// The groups. With any other value no node drops repeats, so that a repeat takes effect again.
const (
	SameCell DedupGroup = "cell"
	SameZone DedupGroup = "zone"
	AllNodes DedupGroup = "all"
)

// Violations counts what the module requested against the rules and the Core suppressed. Each count must stay 0.
type Violations struct {
	Repeats  int64 // attempts after one that may have run, against the operation's rule
	Copies   int64 // attempts while another one was in flight
	Refusals int64 // refusals, which promise that nothing ran, of invocations that may have run
}

func (v *Violations) add(o Violations) {
	v.Repeats += o.Repeats
	v.Copies += o.Copies
	v.Refusals += o.Refusals
}

// attempt is a dispatch that was sent to a node.
type attempt struct {
	zone, cell int // of its node
	sentMs     float64
}

// NeverRan reports whether an outcome proves that the dispatch did not run.
func NeverRan(outcome balance.Outcome) bool {
	return outcome == balance.Rejected || outcome == balance.ConnectFailed || outcome == balance.Ignored
}

// repeatRule returns the rule of an invocation's operation.
func (c *Core) repeatRule(inv *invocation) RepeatRule {
	if inv.op < len(c.RepeatRules) {
		return c.RepeatRules[inv.op]
	}
	return RepeatRule{Idempotent: c.RepeatRules == nil}
}

// mayRepeat reports whether the operation's rule allows a further attempt at a node.
func (c *Core) mayRepeat(inv *invocation, node balance.Node) bool {
	rule, now := c.repeatRule(inv), c.env.Now()
	for _, earlier := range inv.mayHaveRun {
		if !rule.Idempotent && (now-earlier.sentMs > rule.DedupWindowMs || !rule.Group.drops(earlier, node)) {
			return false
		}
	}
	return true
}

// mayRefuse reports whether an invocation may be refused: a refusal promises the client that a retry is harmless.
func (c *Core) mayRefuse(inv *invocation) bool {
	rule := c.repeatRule(inv)
	return len(inv.mayHaveRun) == 0 || rule.Idempotent || rule.Group == AllNodes
}

// drops reports whether a node drops a repeat of an earlier attempt.
func (g DedupGroup) drops(earlier attempt, node balance.Node) bool {
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
