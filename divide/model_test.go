package divide

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"arrowcleat/balance"
)

// A model of three instances on one account, every interleaving of which is gone through: what they do in between two
// steps of the clock, in any order, up to the bounds below. What was really taken and exposed is kept beside it, and
// the rule is checked at every exposure.

const (
	tickMs    = 20.0
	windowMs  = 40.0
	instances = 3
)

// The bounds; -deep goes through more, in some minutes.
var mostTakes, mostTicks = 2, 3

var deep = flag.Bool("deep", false, "let TestModel go through more states")

var scope = Scope{2, -1}

type core struct {
	life, pending int
	since         float64
	open          bool
	l             Lease
	spent         int
}

type model struct {
	now            float64
	a              *Account
	cores          [instances]core
	taken, exposed []float64               // truly, and when
	own            [instances][2][]float64 // the same by instance, where that is looked at
	ticks, caps    int
	begun          bool // an instance has begun anew
}

// fault is a way in which an account or its user is wrong.
type fault string

const (
	sound       fault = ""
	countedLate fault = "a lease counts only once it is settled"
	twiceBack   fault = "what was not exposed is given back twice"
	pastEnd     fault = "a lease is used past its end"
	oldCap      fault = "a lease is used though the cap has fallen"
	divided     fault = "each instance keeps to the cap of what it took itself"
	forgotten   fault = "what an instance had drawn is forgotten when it begins anew"
)

func begin() *model {
	m := &model{now: 1000}
	m.a = NewAccount(func() float64 { return m.now }, balance.Settings{"rollout.counted-over-ms": windowMs, "rollout.allowance": 1.0,
		"rollout.cap-scope": "all"}, instances)
	return m
}

func (w *window) copy() *window {
	c := *w
	c.of = slices.Clone(w.of)
	return &c
}

func (m *model) copy() *model {
	c := *m
	c.taken, c.exposed = slices.Clone(m.taken), slices.Clone(m.exposed)
	for i := range c.own {
		c.own[i] = [2][]float64{slices.Clone(m.own[i][0]), slices.Clone(m.own[i][1])}
	}
	a := m.a
	c.a = &Account{over: a.over, allowance: a.allowance, firstCap: a.firstCap, life: a.life, steps: a.steps, begun: a.begun,
		beats: a.beats, ver: a.ver, cap: a.cap, phase: a.phase, announced: a.announced, taken: map[int]*window{},
		exposed: map[Scope]*window{}, out: map[Scope][]drawn{}, lives: slices.Clone(a.lives)}
	c.a.now = func() float64 { return c.now }
	c.a.version.Store(a.version.Load())
	for k, w := range a.taken {
		c.a.taken[k] = w.copy()
	}
	for k, w := range a.exposed {
		c.a.exposed[k] = w.copy()
	}
	for k, d := range a.out {
		c.a.out[k] = slices.Clone(d)
	}
	return &c
}

// key is what of a state the future hangs on.
func (m *model) key() string {
	b := fmt.Appendf(nil, "%v %v %v|", m.ticks, m.caps, m.begun)
	var each []string // which of them is which does not matter
	for i, c := range m.cores {
		if m.own[i][0] != nil || m.own[i][1] != nil {
			each = append(each, fmt.Sprint(i, m.recent(m.own[i][0]), m.recent(m.own[i][1])))
		}
		k := fmt.Appendf(nil, "%d %v %v|", c.pending, c.since, c.open)
		if c.open {
			k = fmt.Appendf(k, "%d %v %v %d|", c.l.N, c.l.Until, c.l.version == m.a.version.Load(), c.spent)
		}
		for _, d := range m.a.out[scope] {
			if d.instance == i {
				k = fmt.Appendf(k, "%d %v %v|", d.n, d.until, d.life == c.life)
			}
		}
		each = append(each, string(k))
	}
	slices.Sort(each)
	b = fmt.Appendf(b, "%v %v %v %v|", each, m.recent(m.taken), m.recent(m.exposed), m.a.cap)
	for _, w := range []*window{m.a.taken[-1], m.a.exposed[scope]} {
		if w != nil {
			b = fmt.Appendf(b, "%v %v|", w.first, w.of)
		}
	}
	return string(b)
}

func (m *model) recent(at []float64) []float64 {
	i := 0
	for i < len(at) && at[i] <= m.now-windowMs {
		i++
	}
	return at[i:]
}

// next gives the states that may follow, with what leads there; wrong is one in which the rule is broken.
func (m *model) next(f fault) (all map[string]*model, wrong string) {
	all = map[string]*model{}
	can := func(what string, do func(*model)) {
		c := m.copy()
		do(c)
		all[what] = c
	}
	if m.ticks < mostTicks {
		can("tick", func(c *model) { c.now, c.ticks = c.now+tickMs, c.ticks+1 })
	}
	if m.caps == 0 && !m.begun {
		can("the cap falls", func(c *model) { c.caps++; c.a.Staged(2, balance.RollingBack, 0) })
		can("the cap rises", func(c *model) { c.caps++; c.a.Staged(2, balance.OnTrial, 1) })
	}
	for i := range instances {
		who := fmt.Sprint(i, " ")
		mine := m.cores[i]
		if len(m.taken) < mostTakes {
			can(who+"takes", func(c *model) {
				k := &c.cores[i]
				if k.pending == 0 {
					k.since = c.now
				}
				k.pending++
				c.taken = append(c.taken, c.now)
				if f == divided {
					c.own[i][0] = append(c.own[i][0], c.now)
				}
			})
		}
		if !mine.open || mine.spent == mine.l.N || m.a.Void(mine.l) {
			can(who+"draws", func(c *model) { c.draw(i, f) })
		}
		if mine.open {
			can(who+"settles", func(c *model) { c.settle(i, f) })
		}
		void := m.a.Void(mine.l)
		if f == pastEnd {
			void = mine.l.version != m.a.version.Load()
		} else if f == oldCap {
			void = m.now >= mine.l.Until
		}
		may := mine.open && mine.spent < mine.l.N && !void
		if f == divided { // the allowance is the first one's
			share := m.a.cap*float64(len(m.recent(m.own[i][0]))) - float64(len(m.recent(m.own[i][1])))
			may = share >= 1 || i == 0 && share >= 0
		}
		if may {
			can(who+"exposes", func(c *model) {
				c.cores[i].spent++
				c.exposed = append(c.exposed, c.now)
				if f == divided {
					c.own[i][1] = append(c.own[i][1], c.now)
				}
				allowed := 1 + c.a.cap*float64(len(c.recent(c.taken)))
				if n := len(c.recent(c.exposed)); float64(n) > allowed {
					wrong = fmt.Sprintf("instance %d: %d exposed where %g may be", i, n, allowed)
				}
			})
		}
		if !m.begun && m.caps == 0 {
			can(who+"begins anew", func(c *model) {
				c.begun = true
				c.cores[i] = core{life: c.a.Join(i)}
				if f == forgotten {
					c.a.out[scope] = slices.DeleteFunc(c.a.out[scope], func(d drawn) bool { return d.instance == i })
				}
			})
		}
		if wrong != "" {
			return all, wrong
		}
	}
	return all, ""
}

func (m *model) settle(i int, f fault) {
	k := &m.cores[i]
	m.a.Settle(i, k.life, scope, k.spent)
	if f == countedLate && k.spent > 0 { // it was not there to be settled
		m.a.exposed[scope].add(m.now, float64(k.spent))
	}
	if f == twiceBack && k.spent < k.l.N {
		m.a.exposed[scope].add(m.now, -float64(k.l.N-k.spent))
	}
	k.open = false
}

func (m *model) draw(i int, f fault) {
	k := &m.cores[i]
	if k.open {
		m.settle(i, f)
	}
	if k.pending > 0 {
		m.a.Took(0, k.pending, k.since)
		k.pending = 0
	}
	k.l, k.spent = m.a.Draw(i, k.life, scope), 0
	if k.open = k.l.N > 0; k.open && f == countedLate {
		m.a.out[scope] = nil
	}
}

// explore goes through all states, breadth first, and gives the way to the first in which the rule is broken.
func explore(f fault, most int) (states int, broken string) {
	start := begin()
	start.a.life, start.a.steps, start.a.begun = 1.5*tickMs, windowMs/10, 0
	start.a.Staged(2, balance.OnTrial, 0.5)
	for i := range start.cores {
		start.cores[i].life = start.a.Join(i)
	}
	type step struct {
		m    *model
		from *step
		what string
	}
	seen := map[string]bool{start.key(): true}
	queue := []*step{{m: start}}
	for ; len(queue) > 0 && len(seen) < most; queue = queue[1:] {
		s := queue[0]
		next, wrong := s.m.next(f)
		if wrong != "" {
			way := ""
			for ; s != nil; s = s.from {
				way = s.what + "; " + way
			}
			return len(seen), way + wrong
		}
		for _, what := range slices.Sorted(maps.Keys(next)) {
			if k := next[what].key(); !seen[k] {
				seen[k] = true
				queue = append(queue, &step{next[what], s, what})
			}
		}
		s.m = nil
	}
	if len(queue) > 0 {
		return len(seen), "there were more states than could be gone through"
	}
	return len(seen), ""
}

func TestModel(t *testing.T) {
	if *deep {
		mostTakes, mostTicks = 3, 4
	}
	n, broken := explore(sound, 3_000_000)
	t.Logf("%d states", n)
	if broken != "" {
		t.Errorf("after %d states: %s", n, broken)
	}
	for _, f := range []fault{countedLate, twiceBack, pastEnd, oldCap, forgotten, divided} {
		n, broken := explore(f, 3_000_000)
		if broken == "" {
			t.Errorf("%s: not found in %d states", f, n)
		}
		t.Logf("%s: found after %d states: %s", f, n, broken)
	}
}
