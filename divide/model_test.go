package divide

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"arrowcleat/balance"
)

// A model of three instances that share one account. All interleavings of their actions between two steps of the clock
// are explored, up to the bounds below. The model keeps its own list of accepted invocations and exposures and checks
// the rule at every exposure.

const (
	tickMs    = 20.0
	windowMs  = 40.0
	instances = 3
)

// The bounds. With -deep they are larger, and the test takes some minutes.
var maxAccepted, maxTicks = 2, 3

var deep = flag.Bool("deep", false, "let TestModel explore more states")

var modelScope = Scope{2, -1}

// instanceModel is the state of one instance.
type instanceModel struct {
	incarnation, unreported int
	unreportedSince         float64
	outstanding             bool // a lease is drawn and not settled
	lease                   Lease
	used                    int // of the lease
}

type model struct {
	now               float64
	account           *Account
	instances         [instances]instanceModel
	accepted, exposed []float64               // the times at which they really were
	perInstance       [instances][2][]float64 // accepted and exposed by instance, kept for the fault ownShares only
	ticks, capChanges int
	restarted         bool // an instance has restarted
}

// fault is an error of an account or its user that the model must find.
type fault string

const (
	noFault              fault = ""
	countedWhenSettled   fault = "a lease counts only once it is settled"
	returnedTwice        fault = "unused exposures are returned twice"
	usedAfterExpiry      fault = "a lease is used after it has expired"
	usedAfterCapFell     fault = "a lease is used although the cap has fallen"
	ownShares            fault = "each instance applies the cap to the invocations that it accepted itself"
	forgottenWithRestart fault = "the lease of an instance is forgotten when it restarts"
)

func newModel() *model {
	m := &model{now: 1000}
	m.account = NewAccount(func() float64 { return m.now }, balance.Settings{"rollout.counted-over-ms": windowMs,
		"rollout.allowance": 1.0, "rollout.cap-scope": "all"}, instances)
	return m
}

func (w *window) copy() *window {
	c := *w
	c.steps = slices.Clone(w.steps)
	return &c
}

func (m *model) copy() *model {
	c := *m
	c.accepted, c.exposed = slices.Clone(m.accepted), slices.Clone(m.exposed)
	for i := range c.perInstance {
		c.perInstance[i] = [2][]float64{slices.Clone(m.perInstance[i][0]), slices.Clone(m.perInstance[i][1])}
	}
	a := m.account
	c.account = &Account{windowMs: a.windowMs, allowance: a.allowance, firstCap: a.firstCap, leaseMs: a.leaseMs,
		windowSteps: a.windowSteps, startMs: a.startMs, heartbeats: a.heartbeats, ver: a.ver, cap: a.cap, phase: a.phase,
		announced: a.announced, accepted: map[int]*window{}, exposed: map[Scope]*window{}, unsettled: map[Scope][]unsettledLease{},
		incarnations: slices.Clone(a.incarnations)}
	c.account.now = func() float64 { return c.now }
	c.account.stageChanges.Store(a.stageChanges.Load())
	for k, w := range a.accepted {
		c.account.accepted[k] = w.copy()
	}
	for k, w := range a.exposed {
		c.account.exposed[k] = w.copy()
	}
	for k, l := range a.unsettled {
		c.account.unsettled[k] = slices.Clone(l)
	}
	return &c
}

// key identifies a state: two states with the same key have the same possible futures.
func (m *model) key() string {
	b := fmt.Appendf(nil, "%v %v %v|", m.ticks, m.capChanges, m.restarted)
	var parts []string // sorted below, as the instances are interchangeable
	for i, in := range m.instances {
		if m.perInstance[i][0] != nil || m.perInstance[i][1] != nil {
			parts = append(parts, fmt.Sprint(i, m.recent(m.perInstance[i][0]), m.recent(m.perInstance[i][1])))
		}
		k := fmt.Appendf(nil, "%d %v %v|", in.unreported, in.unreportedSince, in.outstanding)
		if in.outstanding {
			k = fmt.Appendf(k, "%d %v %v %d|", in.lease.Size, in.lease.UntilMs,
				in.lease.stageChanges == m.account.stageChanges.Load(), in.used)
		}
		for _, l := range m.account.unsettled[modelScope] {
			if l.instance == i {
				k = fmt.Appendf(k, "%d %v %v|", l.size, l.untilMs, l.incarnation == in.incarnation)
			}
		}
		parts = append(parts, string(k))
	}
	slices.Sort(parts)
	b = fmt.Appendf(b, "%v %v %v %v|", parts, m.recent(m.accepted), m.recent(m.exposed), m.account.cap)
	for _, w := range []*window{m.account.accepted[-1], m.account.exposed[modelScope]} {
		if w != nil {
			b = fmt.Appendf(b, "%v %v|", w.firstStep, w.steps)
		}
	}
	return string(b)
}

// recent returns the times that are in the window.
func (m *model) recent(times []float64) []float64 {
	i := 0
	for i < len(times) && times[i] <= m.now-windowMs {
		i++
	}
	return times[i:]
}

// next returns the states that may follow, by the action that leads there. violation describes an exposure that breaks
// the rule.
func (m *model) next(f fault) (all map[string]*model, violation string) {
	all = map[string]*model{}
	add := func(action string, do func(*model)) {
		c := m.copy()
		do(c)
		all[action] = c
	}
	if m.ticks < maxTicks {
		add("tick", func(c *model) { c.now, c.ticks = c.now+tickMs, c.ticks+1 })
	}
	if m.capChanges == 0 && !m.restarted {
		add("the cap falls", func(c *model) { c.capChanges++; c.account.StageUpdate(2, balance.RollingBack, 0) })
		add("the cap rises", func(c *model) { c.capChanges++; c.account.StageUpdate(2, balance.OnTrial, 1) })
	}
	for i := range instances {
		prefix := fmt.Sprint(i, " ")
		own := m.instances[i]
		if len(m.accepted) < maxAccepted {
			add(prefix+"starts an invocation", func(c *model) {
				in := &c.instances[i]
				if in.unreported == 0 {
					in.unreportedSince = c.now
				}
				in.unreported++
				c.accepted = append(c.accepted, c.now)
				if f == ownShares {
					c.perInstance[i][0] = append(c.perInstance[i][0], c.now)
				}
			})
		}
		if !own.outstanding || own.used == own.lease.Size || m.account.Invalid(own.lease) {
			add(prefix+"draws", func(c *model) { c.draw(i, f) })
		}
		if own.outstanding {
			add(prefix+"settles", func(c *model) { c.settle(i, f) })
		}
		invalid := m.account.Invalid(own.lease)
		if f == usedAfterExpiry {
			invalid = own.lease.stageChanges != m.account.stageChanges.Load()
		} else if f == usedAfterCapFell {
			invalid = m.now >= own.lease.UntilMs
		}
		may := own.outstanding && own.used < own.lease.Size && !invalid
		if f == ownShares { // the first instance has the allowance
			share := m.account.cap*float64(len(m.recent(m.perInstance[i][0]))) - float64(len(m.recent(m.perInstance[i][1])))
			may = share >= 1 || i == 0 && share >= 0
		}
		if may {
			add(prefix+"exposes", func(c *model) {
				c.instances[i].used++
				c.exposed = append(c.exposed, c.now)
				if f == ownShares {
					c.perInstance[i][1] = append(c.perInstance[i][1], c.now)
				}
				allowed := 1 + c.account.cap*float64(len(c.recent(c.accepted)))
				if n := len(c.recent(c.exposed)); float64(n) > allowed {
					violation = fmt.Sprintf("instance %d: %d exposures, %g allowed", i, n, allowed)
				}
			})
		}
		if !m.restarted && m.capChanges == 0 {
			add(prefix+"crashes and restarts", func(c *model) {
				c.restarted = true
				c.instances[i] = instanceModel{incarnation: c.account.Join(i)}
				if f == forgottenWithRestart {
					c.account.unsettled[modelScope] = slices.DeleteFunc(c.account.unsettled[modelScope],
						func(l unsettledLease) bool { return l.instance == i })
				}
			})
		}
		if violation != "" {
			return all, violation
		}
	}
	return all, ""
}

func (m *model) settle(i int, f fault) {
	in := &m.instances[i]
	m.account.Settle(i, in.incarnation, modelScope, in.used)
	if f == countedWhenSettled && in.used > 0 { // Settle found no lease to count them for
		m.account.exposed[modelScope].add(m.now, float64(in.used))
	}
	if f == returnedTwice && in.used < in.lease.Size {
		m.account.exposed[modelScope].add(m.now, -float64(in.lease.Size-in.used))
	}
	in.outstanding = false
}

func (m *model) draw(i int, f fault) {
	in := &m.instances[i]
	if in.outstanding {
		m.settle(i, f)
	}
	if in.unreported > 0 {
		m.account.RecordAccepted(0, in.unreported, in.unreportedSince)
		in.unreported = 0
	}
	in.lease, in.used = m.account.Draw(i, in.incarnation, modelScope), 0
	if in.outstanding = in.lease.Size > 0; in.outstanding && f == countedWhenSettled {
		m.account.unsettled[modelScope] = nil
	}
}

// explore visits all states, breadth first. It returns the actions that lead to the first violation of the rule, or why
// it could not visit all states.
func explore(f fault, maxStates int) (states int, failure string) {
	start := newModel()
	start.account.leaseMs, start.account.windowSteps, start.account.startMs = 1.5*tickMs, windowMs/10, 0
	start.account.StageUpdate(2, balance.OnTrial, 0.5)
	for i := range start.instances {
		start.instances[i].incarnation = start.account.Join(i)
	}
	type step struct {
		m      *model
		from   *step
		action string
	}
	seen := map[string]bool{start.key(): true}
	queue := []*step{{m: start}}
	for ; len(queue) > 0 && len(seen) < maxStates; queue = queue[1:] {
		s := queue[0]
		next, violation := s.m.next(f)
		if violation != "" {
			path := ""
			for ; s != nil; s = s.from {
				path = s.action + "; " + path
			}
			return len(seen), path + violation
		}
		for _, action := range slices.Sorted(maps.Keys(next)) {
			if k := next[action].key(); !seen[k] {
				seen[k] = true
				queue = append(queue, &step{next[action], s, action})
			}
		}
		s.m = nil
	}
	if len(queue) > 0 {
		return len(seen), "not all states were visited: the limit was reached"
	}
	return len(seen), ""
}

// The rule holds in all states of the model, and the model finds each injected fault.
func TestModel(t *testing.T) {
	if *deep {
		maxAccepted, maxTicks = 3, 4
	}
	n, failure := explore(noFault, 3_000_000)
	t.Logf("%d states", n)
	if failure != "" {
		t.Errorf("after %d states: %s", n, failure)
	}
	for _, f := range []fault{countedWhenSettled, returnedTwice, usedAfterExpiry, usedAfterCapFell, forgottenWithRestart,
		ownShares} {
		n, failure := explore(f, 3_000_000)
		if failure == "" {
			t.Errorf("%s: not found in %d states", f, n)
		}
		t.Logf("%s: found after %d states: %s", f, n, failure)
	}
}
