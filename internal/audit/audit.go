// Package audit checks the rules of a day from what passed on the sockets of clients, nodes, roster and conveyor.
// It knows nothing of what a marshal says of itself.
package audit

import (
	"cmp"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sort"

	"arrowcleat/balance"
	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

// The rules, in the order of the brief's; the fourth is the limit on copies that are out at once.
const (
	RuleAnswered    = "answered" // one final answer in the client's time, and nothing after it
	RuleEffects     = "effects"  // no effect twice
	RuleOneInFlight = "one-out"  // at most one dispatch of an invocation out
	RuleDrain       = "drain"    // nothing new to a node that drains or is gone
	RuleColdNodes   = "cold"     // no cold node pushed over
	RuleExposure    = "exposure" // builds on trial within their caps
	RuleForwardOnly = "forward"  // keys that may only go forward
)

// Rules lists them.
var Rules = []string{RuleAnswered, RuleEffects, RuleOneInFlight, RuleDrain, RuleColdNodes, RuleExposure, RuleForwardOnly}

// The rules that only the operators' platform has; checked where Bounds say so.
const (
	RuleTimeBudget = "budget" // the time that a node is told is no more than what its client has left
	RuleClientGone = "gone"   // nothing begins for a client that has left
)

// Bounds are what a platform's protocol says beyond the settings. The zero Bounds are the project's own protocol.
type Bounds struct {
	LowerCapGraceMs    float64 // ms after which a lower cap binds; 0: the settings' grace
	ExtraAttempts      float64 // attempts over the cap that pass
	ExtraAttemptsShare float64 // and the part of what the cap allows
	TimeLimitSlackMs   float64 // slack on the time that a node is told; 0: not checked
	ClientGoneGraceMs  float64 // after which nothing begins for a client that has left; 0: not checked
	StopGraceMs        float64 // after the word to stop, from which on what a kill leaves unanswered counts as lost; 0: never
	ResendOnClose      bool    // clients send again what crosses the end of a connection: no other loss at a stop is forgiven
}

// Report is what an audit found.
type Report struct {
	Invocations   int             `json:"invocations"` // that a marshal took
	Succeeded     int             `json:"succeeded"`
	WithinSLO     int             `json:"in_time"` // of those that succeeded, within the SLO time
	Throttled     int             `json:"throttled"`
	Terminated    int             `json:"terminated"`
	Unanswered    int             `json:"unanswered"`
	AnsweredTwice int             `json:"answered_twice"`
	ClientsLeft   int             `json:"left"`      // clients that went before their answer
	NotAccepted   int             `json:"not_taken"` // turned away, or lost with a marshal that was killed
	Dispatches    int             `json:"dispatches"`
	Repeats       int             `json:"repeats"`
	Checked       map[string]int  `json:"checked"`      // things a rule was held against
	Violations    map[string]int  `json:"found"`        // and how often it was broken
	Examples      []string        `json:"examples"`     // the first few, for people
	RulesBroken   []string        `json:"rules_broken"` // names of the rules
	took          map[int][]int64 // us of each operation's answers
}

// Clean says that no rule was broken.
func (r *Report) Clean() bool {
	return len(r.RulesBroken) == 0 && r.Unanswered == 0 && r.AnsweredTwice == 0
}

const (
	// What two processes write down of one thing lies apart by the way between them and by how busy the machine
	// is. Rules are checked with this much in the marshal's favour, in us.
	skew         = 100_000
	mostExamples = 40
	perRule      = 6
)

// CheckDir audits a folder: settings.txtpb and every record that ends in .seen.
func CheckDir(dir string) (*Report, error) {
	set, err := settings.Load(filepath.Join(dir, "settings.txtpb"))
	if err != nil {
		return nil, err
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.seen"))
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no record here ends in .seen; is this the folder of a day?", dir)
	}
	var all []*record.Seen
	for _, file := range files {
		r, err := record.Open(file)
		if err != nil {
			return nil, err
		}
		for {
			s := &record.Seen{}
			err := r.Next(s)
			if err == io.EOF {
				break
			}
			if err != nil {
				r.Close()
				return nil, fmt.Errorf("%s: %w", file, err)
			}
			all = append(all, s)
		}
		r.Close()
	}
	return Check(set, all), nil
}

// Check audits what was seen.
func Check(set *settings.Settings, all []*record.Seen) *Report {
	return CheckWithBounds(set, Bounds{}, all)
}

// CheckWithBounds audits what was seen on a platform with bounds of its own.
func CheckWithBounds(set *settings.Settings, bounds Bounds, all []*record.Seen) *Report {
	slices.SortStableFunc(all, func(a, b *record.Seen) int { return cmp.Compare(a.AtUs, b.AtUs) })
	a := &auditor{set: set, bounds: bounds, invs: map[string]*inv{}, marshals: map[int64]*marshal{}, ends: map[uint32][]int64{},
		Report: Report{Checked: map[string]int{}, Violations: map[string]int{}, RulesBroken: []string{}, Examples: []string{}, took: map[int][]int64{}}}
	for _, s := range all {
		a.add(s)
	}
	a.answered()
	a.effects()
	a.drains()
	a.exposure()
	a.forward()
	a.budgets()
	a.departures()
	for _, rule := range append(slices.Clone(Rules), RuleTimeBudget, RuleClientGone) {
		if a.Violations[rule] > 0 {
			a.RulesBroken = append(a.RulesBroken, rule)
		}
	}
	return &a.Report
}

type auditor struct {
	Report
	set      *settings.Settings
	bounds   Bounds
	invs     map[string]*inv
	order    []*inv
	marshals map[int64]*marshal
	ends     map[uint32][]int64 // when a node's processes ended
}

// inv is one invocation as its client and the nodes saw it.
type inv struct {
	*record.Seen // as the client asked it; nil if no client did
	id           string
	sent         []*dispatch
	finals       []*record.Seen
	left         *record.Seen
	lost         *record.Seen
	crossed      *record.Seen // it crossed the end of a connection, and was sent again
	extra        *record.Seen
}

type dispatch struct {
	*record.Seen
	end  int64 // when it was over, 0 if that was never seen
	away bool
	ok   bool
}

// marshal is what one marshal was told, over all its lives.
type marshal struct {
	ups, downs, stops []int64
	told              map[uint32][]*record.Seen
	staged            []*record.Seen
	gots              []*dispatch
	taken             []*inv
}

func (a *auditor) marshal(n int64) *marshal {
	m := a.marshals[n]
	if m == nil {
		m = &marshal{told: map[uint32][]*record.Seen{}}
		a.marshals[n] = m
	}
	return m
}

func (a *auditor) inv(id string) *inv {
	i := a.invs[id]
	if i == nil {
		i = &inv{id: id}
		a.invs[id] = i
		a.order = append(a.order, i)
	}
	return i
}

func (a *auditor) add(s *record.Seen) {
	switch s.Kind {
	case "asked":
		a.inv(s.Inv).Seen = s
	case "answered":
		i := a.inv(s.Inv)
		i.finals = append(i.finals, s)
	case "left":
		a.inv(s.Inv).left = s
	case "silent", "broke", "refused":
		a.inv(s.Inv).lost = s
	case "crossed":
		a.inv(s.Inv).crossed = s
	case "extra", "mixed":
		a.inv(s.Inv).extra = s
	case "got":
		i := a.inv(s.Inv)
		d := &dispatch{Seen: s}
		i.sent = append(i.sent, d)
		m := a.marshal(s.Instance)
		m.gots = append(m.gots, d)
		a.Dispatches++
		if len(i.sent) > 1 {
			a.Repeats++
		}
	case "away", "done", "cut":
		for _, d := range slices.Backward(a.inv(s.Inv).sent) {
			if d.Node == s.Node && d.end == 0 {
				d.end, d.away, d.ok = s.AtUs, s.Kind == "away", s.Kind == "done" && s.Text == "200"
				break
			}
		}
	case "begins":
		a.Checked[RuleColdNodes]++
	case "dies":
		a.ends[s.Node] = append(a.ends[s.Node], s.AtUs)
	case "fell":
		a.broken(RuleColdNodes, "node %d was pushed over: %s", s.Node, s.Text)
	case "told":
		m := a.marshal(s.Instance)
		m.told[s.Node] = append(m.told[s.Node], s)
	case "staged":
		m := a.marshal(s.Instance)
		m.staged = append(m.staged, s)
	case "up":
		m := a.marshal(s.Instance)
		m.ups = append(m.ups, s.AtUs)
	case "killed":
		m := a.marshal(s.Instance)
		m.downs = append(m.downs, s.AtUs)
	case "stopping":
		m := a.marshal(s.Instance)
		m.stops = append(m.stops, s.AtUs)
	}
}

func (a *auditor) broken(rule, format string, args ...any) {
	a.Violations[rule]++
	if a.Violations[rule] <= perRule && len(a.Examples) < mostExamples {
		a.Examples = append(a.Examples, rule+": "+fmt.Sprintf(format, args...))
	}
}

// between says that one of some times lies in a span.
func between(times []int64, from, to int64) bool {
	i := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return i < len(times) && times[i] <= to
}

// answered checks the first rule.
func (a *auditor) answered() {
	for _, i := range a.order {
		if i.Seen == nil {
			a.broken(RuleAnswered, "%s reached a node and no client asked it", i.id)
			continue
		}
		m, due := a.marshal(i.Instance), i.AtUs+int64(i.LimitMs*1000)
		var last *record.Seen
		if len(i.finals) > 0 {
			last = i.finals[0]
		}
		if i.extra != nil {
			a.AnsweredTwice++
			a.broken(RuleAnswered, "%s got something after its answer, or another's (%s %s)", i.id, i.extra.Kind, i.extra.Text)
		} else if len(i.finals) > 1 {
			a.AnsweredTwice++
			a.broken(RuleAnswered, "%s got %d answers", i.id, len(i.finals))
		}
		if c := i.crossed; c != nil && len(i.sent) > 0 && i.sent[0].AtUs < c.AtUs && !between(m.downs, c.AtUs-skew, c.AtUs+skew) {
			a.broken(RuleAnswered, "%s was read, and node %d had it, but its connection ended without an answer", i.id, i.sent[0].Node)
		}
		if last != nil && last.Final == "not-taken" {
			a.NotAccepted++
			if len(i.sent) > 0 {
				a.broken(RuleAnswered, "%s was not taken, its client was told, but node %d got it", i.id, i.sent[0].Node)
			}
			continue
		}
		taken := func() {
			a.Invocations++
			m.taken = append(m.taken, i)
		}
		switch {
		case last != nil:
			taken()
			a.Checked[RuleAnswered]++
			switch last.Final {
			case "succeeded":
				a.Succeeded++
				if float64(last.AtUs-i.AtUs) <= 1000*a.set.Operation[i.Op].SloMs {
					a.WithinSLO++
				}
				a.took[int(i.Op)] = append(a.took[int(i.Op)], last.AtUs-i.AtUs)
			case "throttled":
				a.Throttled++
			case "terminated":
				a.Terminated++
			default:
				a.broken(RuleAnswered, "%s was answered as %q, which is no final answer", i.id, last.Final)
			}
			if over := last.AtUs - due - int64(a.set.Rules.AnswerSlackMs*1000); over > 0 {
				a.broken(RuleAnswered, "%s was answered %d ms after its client's time", i.id, over/1000)
			}
		case i.left != nil:
			taken()
			a.ClientsLeft++
		case i.lost == nil:
			a.NotAccepted++ // the client itself ended with the day
		case i.lost.Kind == "refused", between(m.downs, i.AtUs-skew, max(i.lost.AtUs, due)+skew) && !a.owedAtKill(m, i):
			a.NotAccepted++ // nobody was there, or what was taken died with its marshal
			if i.lost.Kind != "refused" {
				m.taken = append(m.taken, i) // in doubt for the marshal
			}
		case !a.bounds.ResendOnClose && i.lost.Kind == "broke" && len(i.sent) == 0 && between(m.stops, i.AtUs-skew, i.lost.AtUs):
			a.NotAccepted++ // it crossed with the close of a marshal that takes nothing new
		default:
			taken()
			a.Checked[RuleAnswered]++
			a.Unanswered++
			a.broken(RuleAnswered, "%s at marshal %d had no answer (%s %s, %d dispatches)", i.id, i.Instance, i.lost.Kind,
				i.lost.Text, len(i.sent))
		}
	}
	for _, m := range a.marshals {
		slices.SortFunc(m.taken, func(a, b *inv) int { return cmp.Compare(a.AtUs, b.AtUs) })
	}
}

// owedAtKill says that an invocation came so long after the word to stop that a kill does not excuse its loss.
func (a *auditor) owedAtKill(m *marshal, i *inv) bool {
	if a.bounds.StopGraceMs == 0 {
		return false
	}
	n := sort.Search(len(m.stops), func(k int) bool { return m.stops[k] > i.AtUs })
	if n == 0 || between(m.ups, m.stops[n-1], i.AtUs) {
		return false
	}
	return i.AtUs-m.stops[n-1] > int64(a.bounds.StopGraceMs*1000)+skew
}

// budgets checks what nodes are told of the time that is left.
func (a *auditor) budgets() {
	if a.bounds.TimeLimitSlackMs == 0 {
		return
	}
	for _, i := range a.order {
		for _, d := range i.sent {
			if i.Seen == nil || d.LimitMs == 0 {
				continue
			}
			a.Checked[RuleTimeBudget]++
			left := i.LimitMs - float64(d.AtUs-i.AtUs)/1000
			if d.LimitMs > left+a.bounds.TimeLimitSlackMs+skew/1000 {
				a.broken(RuleTimeBudget, "%s told node %d of %.0f ms when its client had %.0f left", i.id, d.Node, d.LimitMs, left)
			}
		}
	}
}

// departures checks that nothing begins for clients that have left.
func (a *auditor) departures() {
	if a.bounds.ClientGoneGraceMs == 0 {
		return
	}
	for _, i := range a.order {
		if i.left == nil {
			continue
		}
		a.Checked[RuleClientGone]++
		for _, d := range i.sent {
			if late := d.AtUs - i.left.AtUs; late > int64(a.bounds.ClientGoneGraceMs*1000)+skew {
				a.broken(RuleClientGone, "%s reached node %d %d ms after its client had left", i.id, d.Node, late/1000)
			}
		}
	}
}

// effects checks the second rule, and that one dispatch at most is out.
func (a *auditor) effects() {
	for _, i := range a.order {
		if len(i.sent) == 0 || i.Seen == nil || int(i.Op) >= len(a.set.Operation) {
			continue
		}
		o := a.set.Operation[i.Op]
		a.Checked[RuleEffects]++
		for n, d := range i.sent {
			for _, e := range i.sent[:n] {
				a.Checked[RuleOneInFlight]++
				if over := a.over(e); over == 0 || over > d.AtUs+skew/2 {
					a.broken(RuleOneInFlight, "%s was sent to node %d %d ms before it was over at node %d", i.id, d.Node,
						(over-d.AtUs)/1000, e.Node)
				}
				if e.away || o.Repeat == settings.Repeat_IDEMPOTENT {
					continue
				}
				if o.Repeat == settings.Repeat_SIDE_EFFECTING {
					a.broken(RuleEffects, "%s (%s) was sent to node %d though it may have run on node %d", i.id, o.Name, d.Node,
						e.Node)
				} else if d.AtUs-e.AtUs > int64(o.MemoryMs*1000)+skew {
					a.broken(RuleEffects, "%s (%s) was sent again after %d ms, outside the memory of %g ms", i.id, o.Name,
						(d.AtUs-e.AtUs)/1000, o.MemoryMs)
				} else if o.Group == "zone" && d.Zone != e.Zone || o.Group == "cell" && d.Node != e.Node {
					a.broken(RuleEffects, "%s (%s) was sent outside its group, from node %d to node %d", i.id, o.Name, e.Node, d.Node)
				}
			}
		}
		ran := slices.ContainsFunc(i.sent, func(d *dispatch) bool { return !d.away })
		if ran && len(i.finals) > 0 && i.finals[0].Final == "throttled" && (o.Repeat == settings.Repeat_SIDE_EFFECTING ||
			o.Repeat == settings.Repeat_FINGERPRINTED && o.Group != "all") {
			a.broken(RuleEffects, "%s (%s) was throttled though it may have run on node %d", i.id, o.Name, i.sent[0].Node)
		}
	}
}

// over is when a dispatch was over: answered, cut, or dead with its node; 0 if never.
func (a *auditor) over(d *dispatch) int64 {
	end := d.end
	for _, t := range a.ends[d.Node] {
		if t >= d.AtUs && (end == 0 || t < end) {
			end = t
		}
	}
	return end
}

// drains checks the third rule.
func (a *auditor) drains() {
	grace := int64(a.set.Rules.GraceMs*1000) + skew
	for _, m := range a.marshals {
		for _, d := range m.gots {
			told := m.told[d.Node]
			n := sort.Search(len(told), func(i int) bool { return told[i].AtUs > d.AtUs })
			if n == 0 {
				continue
			}
			a.Checked[RuleDrain]++
			// The first word of the present row of words that it drains or is gone.
			first := n
			for first > 0 && told[first-1].Text != "serving" {
				first--
			}
			if first == n || d.AtUs-told[first].AtUs <= grace || between(m.ups, told[first].AtUs, d.AtUs) {
				continue
			}
			a.broken(RuleDrain, "node %d got %s %d ms after marshal %d was told that it is %s", d.Node, d.Inv,
				(d.AtUs-told[first].AtUs)/1000, d.Instance, told[first].Text)
		}
	}
}

// exposure checks the fifth rule.
func (a *auditor) exposure() {
	for number, m := range a.marshals {
		lower := a.bounds.LowerCapGraceMs
		if lower == 0 {
			lower = a.set.Rules.GraceMs
		}
		w := &windows{a: a, m: m, number: number, grace: int64(a.set.Rules.GraceMs * 1000), lower: int64(lower * 1000),
			over: int64(a.set.Rollout.CountedOverMs * 1000), each: a.set.Rollout.CapScope == "each-operation"}
		w.check()
	}
}

type windows struct {
	a           *auditor
	m           *marshal
	number      int64
	grace, over int64
	lower       int64 // after which a lower cap binds
	each        bool
}

// news is what a marshal had been told last at a time, in its present life.
func (w *windows) news(at int64) (n int, s *record.Seen) {
	n = sort.Search(len(w.m.staged), func(i int) bool { return w.m.staged[i].AtUs > at })
	if n == 0 {
		return -1, nil
	}
	s = w.m.staged[n-1]
	if between(w.m.ups, s.AtUs, at) {
		return -1, nil // told to a life before
	}
	return n - 1, s
}

// state is the stage and cap that count for a build at a time; onTrial false where none does.
func (w *windows) state(ver, at int64) (stage int64, cap float64, since int64, onTrial bool) {
	n, s := w.news(at)
	if s == nil { // nothing told in this life: all but the oldest build that it knows to serve may be on trial
		if ver <= w.oldest(at) {
			return 0, 1, 0, false
		}
		return 0, w.a.set.Rollout.Stage[0].Cap, w.up(at), true
	}
	switch {
	case ver > s.Ver:
		return 0, w.a.set.Rollout.Stage[0].Cap, 0, true
	case ver < s.Ver || balance.Phase(s.Phase) == balance.Released:
		return 0, 1, 0, false
	}
	stage, cap = s.Stage, s.Cap
	// A lower cap takes effect after the grace, and is counted afresh from then.
	for ; n >= 0 && at-w.m.staged[n].AtUs <= w.over+w.lower+skew; n-- {
		if was := w.m.staged[n]; was.Ver == ver && was.Cap > cap {
			fell := w.m.staged[n+1].AtUs + w.lower + skew
			if at <= fell {
				return stage, was.Cap, 0, true
			}
			return stage, cap, fell, true
		}
	}
	return stage, cap, 0, true
}

// up is when the marshal's present life began.
func (w *windows) up(at int64) int64 {
	n := sort.Search(len(w.m.ups), func(i int) bool { return w.m.ups[i] > at })
	if n == 0 {
		return 0
	}
	return w.m.ups[n-1]
}

// oldest is the oldest build of the nodes that the marshal had been told to serve; what it was told in the life
// before, it has from its disk.
func (w *windows) oldest(at int64) int64 {
	least := int64(1) << 40
	for _, told := range w.m.told {
		if n := sort.Search(len(told), func(i int) bool { return told[i].AtUs > at }); n > 0 && told[n-1].Text == "serving" {
			least = min(least, told[n-1].Ver)
		}
	}
	return least
}

func (w *windows) check() {
	r := w.a.set.Rollout
	type scope struct{ ver, op int64 }
	sent := map[scope][]int64{}
	for _, d := range w.m.gots {
		stage, cap, since, onTrial := w.state(d.Ver, d.AtUs)
		s := scope{d.Ver, -1}
		if w.each {
			s.op = d.Op
		}
		sent[s] = append(sent[s], d.AtUs)
		if !onTrial {
			continue
		}
		w.a.Checked[RuleExposure]++
		if uint32(stage) < r.Shielded && int(d.Op) < len(w.a.set.Operation) {
			if o := w.a.set.Operation[d.Op]; o.Repeat != settings.Repeat_IDEMPOTENT {
				w.a.broken(RuleExposure, "%s (%s) went to build %d in the shielded stage %d", d.Inv, o.Name, d.Ver, stage)
			}
		}
		if cap == 0 {
			if since > 0 || w.longZero(d) {
				w.a.broken(RuleExposure, "marshal %d sent %s to build %d, whose cap is 0", w.number, d.Inv, d.Ver)
			}
			continue
		}
		from := max(d.AtUs-w.over+skew, since)
		all := sent[s]
		count := len(all) - sort.Search(len(all), func(i int) bool { return all[i] > from })
		taken := w.taken(d.AtUs-w.over-skew, d.AtUs, s.op)
		most := r.Allowance + cap*float64(taken)
		most += w.a.bounds.ExtraAttempts + w.a.bounds.ExtraAttemptsShare*most
		if float64(count) > most {
			w.a.broken(RuleExposure, "marshal %d sent %d to build %d in %d ms; %d taken at a cap of %g allow %.1f", w.number, count,
				d.Ver, w.over/1000, taken, cap, most)
		}
	}
}

// longZero says that the cap was 0 for longer than the grace.
func (w *windows) longZero(d *dispatch) bool {
	n, s := w.news(d.AtUs)
	for n > 0 && w.m.staged[n-1].Ver == s.Ver && w.m.staged[n-1].Cap == 0 {
		n--
		s = w.m.staged[n]
	}
	return s != nil && d.AtUs-s.AtUs > w.lower+skew
}

func (w *windows) taken(from, to, op int64) (count int) {
	t := w.m.taken
	for k := sort.Search(len(t), func(i int) bool { return t[i].AtUs > from }); k < len(t) && t[k].AtUs <= to; k++ {
		if op < 0 || t[k].Op == op {
			count++
		}
	}
	return count
}

// forward checks that a key which a build has answered goes to no earlier one.
func (a *auditor) forward() {
	if !a.set.Rollout.ForwardOnly {
		return
	}
	for number, m := range a.marshals {
		w := &windows{a: a, m: m, number: number}
		type bind struct {
			ver, at int64
		}
		bound := map[string]bind{}
		var answers []*dispatch
		for _, d := range m.gots {
			if d.ok && d.Key != "" {
				answers = append(answers, d)
			}
		}
		slices.SortFunc(answers, func(x, y *dispatch) int { return cmp.Compare(x.end, y.end) })
		next := 0
		for _, d := range m.gots {
			for ; next < len(answers) && answers[next].end+skew < d.AtUs; next++ {
				if e := answers[next]; e.Ver > bound[e.Key].ver {
					bound[e.Key] = bind{e.Ver, e.end}
				}
			}
			b, ok := bound[d.Key]
			if !ok || d.Key == "" || between(m.ups, b.at, d.AtUs) {
				continue
			}
			_, s := w.news(d.AtUs)
			if s == nil || s.Ver != b.ver || s.Phase != int64(balance.OnTrial) && s.Phase != int64(balance.Released) {
				continue
			}
			a.Checked[RuleForwardOnly]++
			if d.Ver < b.ver {
				a.broken(RuleForwardOnly, "key %s, answered by build %d, went to build %d", d.Key, b.ver, d.Ver)
			}
		}
	}
}

// AnswerTimes gives the answer times of an operation's successes at some shares of them, in ms.
func (r *Report) AnswerTimes(op int, shares ...float64) []float64 {
	t := slices.Clone(r.took[op])
	slices.Sort(t)
	var out []float64
	for _, s := range shares {
		if len(t) == 0 {
			out = append(out, 0)
			continue
		}
		out = append(out, float64(t[min(len(t)-1, int(s*float64(len(t))))])/1000)
	}
	return out
}

var says = map[string]string{
	RuleAnswered:    "one final answer each, in the client's time",
	RuleEffects:     "no effect twice",
	RuleOneInFlight: "one dispatch out at most",
	RuleDrain:       "nothing new to a node that drains or is gone",
	RuleColdNodes:   "no cold node pushed over",
	RuleExposure:    "builds on trial within their caps",
	RuleForwardOnly: "keys go forward only",
	RuleTimeBudget:  "nodes told of no more time than there is",
	RuleClientGone:  "nothing begun for clients that have left",
}

// WriteTable prints the audit, rule by rule.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "invocations %d: %d succeeded, %d throttled, %d terminated, %d clients left; %d unanswered, %d answered twice\n",
		r.Invocations, r.Succeeded, r.Throttled, r.Terminated, r.ClientsLeft, r.Unanswered, r.AnsweredTwice)
	fmt.Fprintf(w, "not taken %d, dispatches %d, of them repeats %d\n\n", r.NotAccepted, r.Dispatches, r.Repeats)
	fmt.Fprintf(w, "%-9s %-46s %8s %7s\n", "rule", "", "checked", "broken")
	rules := slices.DeleteFunc([]string{RuleTimeBudget, RuleClientGone}, func(rule string) bool { return r.Checked[rule] == 0 })
	for _, rule := range append(slices.Clone(Rules), rules...) {
		fmt.Fprintf(w, "%-9s %-46s %8d %7d\n", rule, says[rule], r.Checked[rule], r.Violations[rule])
	}
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  "+e)
	}
}
