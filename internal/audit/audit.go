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
	answerTimesUs map[int][]int64 // us of each operation's answers
}

// Clean says that no rule was broken.
func (r *Report) Clean() bool {
	return len(r.RulesBroken) == 0 && r.Unanswered == 0 && r.AnsweredTwice == 0
}

const (
	// What two processes write down of one thing lies apart by the way between them and by how busy the machine
	// is. Rules are checked with this much in the marshal's favour, in us.
	skewUs             = 100_000
	maxExamples        = 40
	maxExamplesPerRule = 6
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
	var seen []*record.Seen
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
			seen = append(seen, s)
		}
		r.Close()
	}
	return Check(set, seen), nil
}

// Check audits what was seen.
func Check(set *settings.Settings, seen []*record.Seen) *Report {
	return CheckWithBounds(set, Bounds{}, seen)
}

// CheckWithBounds audits what was seen on a platform with bounds of its own.
func CheckWithBounds(set *settings.Settings, bounds Bounds, seen []*record.Seen) *Report {
	slices.SortStableFunc(seen, func(a, b *record.Seen) int { return cmp.Compare(a.AtUs, b.AtUs) })
	a := &auditor{set: set, bounds: bounds, byID: map[string]*invocation{}, marshals: map[int64]*marshal{}, nodeEndsUs: map[uint32][]int64{},
		Report: Report{Checked: map[string]int{}, Violations: map[string]int{}, RulesBroken: []string{}, Examples: []string{}, answerTimesUs: map[int][]int64{}}}
	for _, s := range seen {
		a.add(s)
	}
	a.checkAnswers()
	a.checkEffects()
	a.checkDrains()
	a.checkExposure()
	a.checkForwardOnly()
	a.checkTimeBudgets()
	a.checkDepartures()
	for _, rule := range append(slices.Clone(Rules), RuleTimeBudget, RuleClientGone) {
		if a.Violations[rule] > 0 {
			a.RulesBroken = append(a.RulesBroken, rule)
		}
	}
	return &a.Report
}

type auditor struct {
	Report
	set         *settings.Settings
	bounds      Bounds
	byID        map[string]*invocation
	invocations []*invocation
	marshals    map[int64]*marshal
	nodeEndsUs  map[uint32][]int64 // when a node's processes ended
}

// invocation is one invocation as its client and the nodes saw it.
type invocation struct {
	*record.Seen // as the client asked it; nil if no client did
	id           string
	dispatches   []*dispatch
	answers      []*record.Seen
	clientLeft   *record.Seen
	noAnswer     *record.Seen
	resent       *record.Seen // it crossed the end of a connection, and was sent again
	extraAnswer  *record.Seen
}

type dispatch struct {
	*record.Seen
	endUs     int64 // when it was over, 0 if that was never seen
	rejected  bool
	succeeded bool
}

// marshal is what one marshal was told, over all its lives.
type marshal struct {
	startsUs, killsUs, stopsUs []int64
	nodeUpdates                map[uint32][]*record.Seen
	stageUpdates               []*record.Seen
	dispatches                 []*dispatch
	accepted                   []*invocation
}

func (a *auditor) marshal(n int64) *marshal {
	m := a.marshals[n]
	if m == nil {
		m = &marshal{nodeUpdates: map[uint32][]*record.Seen{}}
		a.marshals[n] = m
	}
	return m
}

func (a *auditor) invocation(id string) *invocation {
	i := a.byID[id]
	if i == nil {
		i = &invocation{id: id}
		a.byID[id] = i
		a.invocations = append(a.invocations, i)
	}
	return i
}

func (a *auditor) add(s *record.Seen) {
	switch s.Kind {
	case "asked":
		a.invocation(s.Inv).Seen = s
	case "answered":
		i := a.invocation(s.Inv)
		i.answers = append(i.answers, s)
	case "left":
		a.invocation(s.Inv).clientLeft = s
	case "silent", "broke", "refused":
		a.invocation(s.Inv).noAnswer = s
	case "crossed":
		a.invocation(s.Inv).resent = s
	case "extra", "mixed":
		a.invocation(s.Inv).extraAnswer = s
	case "got":
		i := a.invocation(s.Inv)
		d := &dispatch{Seen: s}
		i.dispatches = append(i.dispatches, d)
		m := a.marshal(s.Instance)
		m.dispatches = append(m.dispatches, d)
		a.Dispatches++
		if len(i.dispatches) > 1 {
			a.Repeats++
		}
	case "away", "done", "cut":
		for _, d := range slices.Backward(a.invocation(s.Inv).dispatches) {
			if d.Node == s.Node && d.endUs == 0 {
				d.endUs, d.rejected, d.succeeded = s.AtUs, s.Kind == "away", s.Kind == "done" && s.Text == "200"
				break
			}
		}
	case "begins":
		a.Checked[RuleColdNodes]++
	case "dies":
		a.nodeEndsUs[s.Node] = append(a.nodeEndsUs[s.Node], s.AtUs)
	case "fell":
		a.violated(RuleColdNodes, "node %d was pushed over: %s", s.Node, s.Text)
	case "told":
		m := a.marshal(s.Instance)
		m.nodeUpdates[s.Node] = append(m.nodeUpdates[s.Node], s)
	case "staged":
		m := a.marshal(s.Instance)
		m.stageUpdates = append(m.stageUpdates, s)
	case "up":
		m := a.marshal(s.Instance)
		m.startsUs = append(m.startsUs, s.AtUs)
	case "killed":
		m := a.marshal(s.Instance)
		m.killsUs = append(m.killsUs, s.AtUs)
	case "stopping":
		m := a.marshal(s.Instance)
		m.stopsUs = append(m.stopsUs, s.AtUs)
	}
}

func (a *auditor) violated(rule, format string, args ...any) {
	a.Violations[rule]++
	if a.Violations[rule] <= maxExamplesPerRule && len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, rule+": "+fmt.Sprintf(format, args...))
	}
}

// anyBetween says that one of some times lies in a span.
func anyBetween(times []int64, from, to int64) bool {
	i := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return i < len(times) && times[i] <= to
}

// checkAnswers checks the first rule.
func (a *auditor) checkAnswers() {
	for _, i := range a.invocations {
		if i.Seen == nil {
			a.violated(RuleAnswered, "%s reached a node and no client asked it", i.id)
			continue
		}
		m, deadlineUs := a.marshal(i.Instance), i.AtUs+int64(i.LimitMs*1000)
		var answer *record.Seen
		if len(i.answers) > 0 {
			answer = i.answers[0]
		}
		if i.extraAnswer != nil {
			a.AnsweredTwice++
			a.violated(RuleAnswered, "%s got something after its answer, or another's (%s %s)", i.id, i.extraAnswer.Kind, i.extraAnswer.Text)
		} else if len(i.answers) > 1 {
			a.AnsweredTwice++
			a.violated(RuleAnswered, "%s got %d answers", i.id, len(i.answers))
		}
		if c := i.resent; c != nil && len(i.dispatches) > 0 && i.dispatches[0].AtUs < c.AtUs && !anyBetween(m.killsUs, c.AtUs-skewUs, c.AtUs+skewUs) {
			a.violated(RuleAnswered, "%s was read, and node %d had it, but its connection ended without an answer", i.id, i.dispatches[0].Node)
		}
		if answer != nil && answer.Final == "not-taken" {
			a.NotAccepted++
			if len(i.dispatches) > 0 {
				a.violated(RuleAnswered, "%s was not taken, its client was told, but node %d got it", i.id, i.dispatches[0].Node)
			}
			continue
		}
		accept := func() {
			a.Invocations++
			m.accepted = append(m.accepted, i)
		}
		switch {
		case answer != nil:
			accept()
			a.Checked[RuleAnswered]++
			switch answer.Final {
			case "succeeded":
				a.Succeeded++
				if float64(answer.AtUs-i.AtUs) <= 1000*a.set.Operation[i.Op].SloMs {
					a.WithinSLO++
				}
				a.answerTimesUs[int(i.Op)] = append(a.answerTimesUs[int(i.Op)], answer.AtUs-i.AtUs)
			case "throttled":
				a.Throttled++
			case "terminated":
				a.Terminated++
			default:
				a.violated(RuleAnswered, "%s was answered as %q, which is no final answer", i.id, answer.Final)
			}
			if lateUs := answer.AtUs - deadlineUs - int64(a.set.Rules.AnswerSlackMs*1000); lateUs > 0 {
				a.violated(RuleAnswered, "%s was answered %d ms after its client's time", i.id, lateUs/1000)
			}
		case i.clientLeft != nil:
			accept()
			a.ClientsLeft++
		case i.noAnswer == nil:
			a.NotAccepted++ // the client itself ended with the day
		case i.noAnswer.Kind == "refused", anyBetween(m.killsUs, i.AtUs-skewUs, max(i.noAnswer.AtUs, deadlineUs)+skewUs) && !a.arrivedAfterStopGrace(m, i):
			a.NotAccepted++ // nobody was there, or what was taken died with its marshal
			if i.noAnswer.Kind != "refused" {
				m.accepted = append(m.accepted, i) // in doubt for the marshal
			}
		case !a.bounds.ResendOnClose && i.noAnswer.Kind == "broke" && len(i.dispatches) == 0 && anyBetween(m.stopsUs, i.AtUs-skewUs, i.noAnswer.AtUs):
			a.NotAccepted++ // it crossed with the close of a marshal that takes nothing new
		default:
			accept()
			a.Checked[RuleAnswered]++
			a.Unanswered++
			a.violated(RuleAnswered, "%s at marshal %d had no answer (%s %s, %d dispatches)", i.id, i.Instance, i.noAnswer.Kind,
				i.noAnswer.Text, len(i.dispatches))
		}
	}
	for _, m := range a.marshals {
		slices.SortFunc(m.accepted, func(a, b *invocation) int { return cmp.Compare(a.AtUs, b.AtUs) })
	}
}

// arrivedAfterStopGrace says that an invocation came so long after the word to stop that a kill does not excuse its loss.
func (a *auditor) arrivedAfterStopGrace(m *marshal, i *invocation) bool {
	if a.bounds.StopGraceMs == 0 {
		return false
	}
	n := sort.Search(len(m.stopsUs), func(k int) bool { return m.stopsUs[k] > i.AtUs })
	if n == 0 || anyBetween(m.startsUs, m.stopsUs[n-1], i.AtUs) {
		return false
	}
	return i.AtUs-m.stopsUs[n-1] > int64(a.bounds.StopGraceMs*1000)+skewUs
}

// checkTimeBudgets checks what nodes are told of the time that is left.
func (a *auditor) checkTimeBudgets() {
	if a.bounds.TimeLimitSlackMs == 0 {
		return
	}
	for _, i := range a.invocations {
		for _, d := range i.dispatches {
			if i.Seen == nil || d.LimitMs == 0 {
				continue
			}
			a.Checked[RuleTimeBudget]++
			leftMs := i.LimitMs - float64(d.AtUs-i.AtUs)/1000
			if d.LimitMs > leftMs+a.bounds.TimeLimitSlackMs+skewUs/1000 {
				a.violated(RuleTimeBudget, "%s told node %d of %.0f ms when its client had %.0f left", i.id, d.Node, d.LimitMs, leftMs)
			}
		}
	}
}

// checkDepartures checks that nothing begins for clients that have left.
func (a *auditor) checkDepartures() {
	if a.bounds.ClientGoneGraceMs == 0 {
		return
	}
	for _, i := range a.invocations {
		if i.clientLeft == nil {
			continue
		}
		a.Checked[RuleClientGone]++
		for _, d := range i.dispatches {
			if lateUs := d.AtUs - i.clientLeft.AtUs; lateUs > int64(a.bounds.ClientGoneGraceMs*1000)+skewUs {
				a.violated(RuleClientGone, "%s reached node %d %d ms after its client had left", i.id, d.Node, lateUs/1000)
			}
		}
	}
}

// checkEffects checks the second rule, and that one dispatch at most is out.
func (a *auditor) checkEffects() {
	for _, i := range a.invocations {
		if len(i.dispatches) == 0 || i.Seen == nil || int(i.Op) >= len(a.set.Operation) {
			continue
		}
		o := a.set.Operation[i.Op]
		a.Checked[RuleEffects]++
		for n, d := range i.dispatches {
			for _, e := range i.dispatches[:n] {
				a.Checked[RuleOneInFlight]++
				if endUs := a.endUs(e); endUs == 0 || endUs > d.AtUs+skewUs/2 {
					a.violated(RuleOneInFlight, "%s was sent to node %d %d ms before it was over at node %d", i.id, d.Node,
						(endUs-d.AtUs)/1000, e.Node)
				}
				if e.rejected || o.Repeat == settings.Repeat_IDEMPOTENT {
					continue
				}
				if o.Repeat == settings.Repeat_SIDE_EFFECTING {
					a.violated(RuleEffects, "%s (%s) was sent to node %d though it may have run on node %d", i.id, o.Name, d.Node,
						e.Node)
				} else if d.AtUs-e.AtUs > int64(o.MemoryMs*1000)+skewUs {
					a.violated(RuleEffects, "%s (%s) was sent again after %d ms, outside the memory of %g ms", i.id, o.Name,
						(d.AtUs-e.AtUs)/1000, o.MemoryMs)
				} else if o.Group == "zone" && d.Zone != e.Zone || o.Group == "cell" && d.Node != e.Node {
					a.violated(RuleEffects, "%s (%s) was sent outside its group, from node %d to node %d", i.id, o.Name, e.Node, d.Node)
				}
			}
		}
		mayHaveRun := slices.ContainsFunc(i.dispatches, func(d *dispatch) bool { return !d.rejected })
		if mayHaveRun && len(i.answers) > 0 && i.answers[0].Final == "throttled" && (o.Repeat == settings.Repeat_SIDE_EFFECTING ||
			o.Repeat == settings.Repeat_FINGERPRINTED && o.Group != "all") {
			a.violated(RuleEffects, "%s (%s) was throttled though it may have run on node %d", i.id, o.Name, i.dispatches[0].Node)
		}
	}
}

// endUs is when a dispatch was endUs: answered, cut, or dead with its node; 0 if never.
func (a *auditor) endUs(d *dispatch) int64 {
	end := d.endUs
	for _, t := range a.nodeEndsUs[d.Node] {
		if t >= d.AtUs && (end == 0 || t < end) {
			end = t
		}
	}
	return end
}

// checkDrains checks the third rule.
func (a *auditor) checkDrains() {
	graceUs := int64(a.set.Rules.GraceMs*1000) + skewUs
	for _, m := range a.marshals {
		for _, d := range m.dispatches {
			updates := m.nodeUpdates[d.Node]
			n := sort.Search(len(updates), func(i int) bool { return updates[i].AtUs > d.AtUs })
			if n == 0 {
				continue
			}
			a.Checked[RuleDrain]++
			// The first word of the present row of words that it drains or is gone.
			first := n
			for first > 0 && updates[first-1].Text != "serving" {
				first--
			}
			if first == n || d.AtUs-updates[first].AtUs <= graceUs || anyBetween(m.startsUs, updates[first].AtUs, d.AtUs) {
				continue
			}
			a.violated(RuleDrain, "node %d got %s %d ms after marshal %d was told that it is %s", d.Node, d.Inv,
				(d.AtUs-updates[first].AtUs)/1000, d.Instance, updates[first].Text)
		}
	}
}

// checkExposure checks the fifth rule.
func (a *auditor) checkExposure() {
	for number, m := range a.marshals {
		lowerCapGraceMs := a.bounds.LowerCapGraceMs
		if lowerCapGraceMs == 0 {
			lowerCapGraceMs = a.set.Rules.GraceMs
		}
		w := &exposureCheck{a: a, m: m, number: number, graceUs: int64(a.set.Rules.GraceMs * 1000), lowerCapGraceUs: int64(lowerCapGraceMs * 1000),
			windowUs: int64(a.set.Rollout.CountedOverMs * 1000), perOperation: a.set.Rollout.CapScope == "each-operation"}
		w.check()
	}
}

type exposureCheck struct {
	a                 *auditor
	m                 *marshal
	number            int64
	graceUs, windowUs int64
	lowerCapGraceUs   int64 // after which a lower cap binds
	perOperation      bool
}

// lastStageUpdate is what a marshal had been told last at a time, in its present life.
func (w *exposureCheck) lastStageUpdate(atUs int64) (n int, s *record.Seen) {
	n = sort.Search(len(w.m.stageUpdates), func(i int) bool { return w.m.stageUpdates[i].AtUs > atUs })
	if n == 0 {
		return -1, nil
	}
	s = w.m.stageUpdates[n-1]
	if anyBetween(w.m.startsUs, s.AtUs, atUs) {
		return -1, nil // told to a life before
	}
	return n - 1, s
}

// trialState is the stage and cap that count for a build at a time; onTrial false where none does.
func (w *exposureCheck) trialState(ver, atUs int64) (stage int64, cap float64, sinceUs int64, onTrial bool) {
	n, s := w.lastStageUpdate(atUs)
	if s == nil { // nothing told in this life: all but the oldest build that it knows to serve may be on trial
		if ver <= w.oldestBuild(atUs) {
			return 0, 1, 0, false
		}
		return 0, w.a.set.Rollout.Stage[0].Cap, w.startUs(atUs), true
	}
	switch {
	case ver > s.Ver:
		return 0, w.a.set.Rollout.Stage[0].Cap, 0, true
	case ver < s.Ver || balance.Phase(s.Phase) == balance.Released:
		return 0, 1, 0, false
	}
	stage, cap = s.Stage, s.Cap
	// A lower cap takes effect after the grace, and is counted afresh from then.
	for ; n >= 0 && atUs-w.m.stageUpdates[n].AtUs <= w.windowUs+w.lowerCapGraceUs+skewUs; n-- {
		if earlier := w.m.stageUpdates[n]; earlier.Ver == ver && earlier.Cap > cap {
			loweredUs := w.m.stageUpdates[n+1].AtUs + w.lowerCapGraceUs + skewUs
			if atUs <= loweredUs {
				return stage, earlier.Cap, 0, true
			}
			return stage, cap, loweredUs, true
		}
	}
	return stage, cap, 0, true
}

// startUs is when the marshal's present life began.
func (w *exposureCheck) startUs(atUs int64) int64 {
	n := sort.Search(len(w.m.startsUs), func(i int) bool { return w.m.startsUs[i] > atUs })
	if n == 0 {
		return 0
	}
	return w.m.startsUs[n-1]
}

// oldestBuild is the oldestBuild build of the nodes that the marshal had been told to serve; what it was told in the life
// before, it has from its disk.
func (w *exposureCheck) oldestBuild(atUs int64) int64 {
	least := int64(1) << 40
	for _, updates := range w.m.nodeUpdates {
		if n := sort.Search(len(updates), func(i int) bool { return updates[i].AtUs > atUs }); n > 0 && updates[n-1].Text == "serving" {
			least = min(least, updates[n-1].Ver)
		}
	}
	return least
}

func (w *exposureCheck) check() {
	r := w.a.set.Rollout
	type scope struct{ ver, op int64 }
	sentUs := map[scope][]int64{}
	for _, d := range w.m.dispatches {
		stage, cap, sinceUs, onTrial := w.trialState(d.Ver, d.AtUs)
		s := scope{d.Ver, -1}
		if w.perOperation {
			s.op = d.Op
		}
		sentUs[s] = append(sentUs[s], d.AtUs)
		if !onTrial {
			continue
		}
		w.a.Checked[RuleExposure]++
		if uint32(stage) < r.Shielded && int(d.Op) < len(w.a.set.Operation) {
			if o := w.a.set.Operation[d.Op]; o.Repeat != settings.Repeat_IDEMPOTENT {
				w.a.violated(RuleExposure, "%s (%s) went to build %d in the shielded stage %d", d.Inv, o.Name, d.Ver, stage)
			}
		}
		if cap == 0 {
			if sinceUs > 0 || w.zeroBeyondGrace(d) {
				w.a.violated(RuleExposure, "marshal %d sent %s to build %d, whose cap is 0", w.number, d.Inv, d.Ver)
			}
			continue
		}
		fromUs := max(d.AtUs-w.windowUs+skewUs, sinceUs)
		all := sentUs[s]
		count := len(all) - sort.Search(len(all), func(i int) bool { return all[i] > fromUs })
		accepted := w.acceptedBetween(d.AtUs-w.windowUs-skewUs, d.AtUs, s.op)
		limit := r.Allowance + cap*float64(accepted)
		limit += w.a.bounds.ExtraAttempts + w.a.bounds.ExtraAttemptsShare*limit
		if float64(count) > limit {
			w.a.violated(RuleExposure, "marshal %d sent %d to build %d in %d ms; %d taken at a cap of %g allow %.1f", w.number, count,
				d.Ver, w.windowUs/1000, accepted, cap, limit)
		}
	}
}

// zeroBeyondGrace says that the cap was 0 for longer than the grace.
func (w *exposureCheck) zeroBeyondGrace(d *dispatch) bool {
	n, s := w.lastStageUpdate(d.AtUs)
	for n > 0 && w.m.stageUpdates[n-1].Ver == s.Ver && w.m.stageUpdates[n-1].Cap == 0 {
		n--
		s = w.m.stageUpdates[n]
	}
	return s != nil && d.AtUs-s.AtUs > w.lowerCapGraceUs+skewUs
}

func (w *exposureCheck) acceptedBetween(fromUs, toUs, op int64) (count int) {
	accepted := w.m.accepted
	for k := sort.Search(len(accepted), func(i int) bool { return accepted[i].AtUs > fromUs }); k < len(accepted) && accepted[k].AtUs <= toUs; k++ {
		if op < 0 || accepted[k].Op == op {
			count++
		}
	}
	return count
}

// checkForwardOnly checks that a key which a build has answered goes to no earlier one.
func (a *auditor) checkForwardOnly() {
	if !a.set.Rollout.ForwardOnly {
		return
	}
	for number, m := range a.marshals {
		w := &exposureCheck{a: a, m: m, number: number}
		type binding struct {
			ver, at int64
		}
		bindings := map[string]binding{}
		var answers []*dispatch
		for _, d := range m.dispatches {
			if d.succeeded && d.Key != "" {
				answers = append(answers, d)
			}
		}
		slices.SortFunc(answers, func(x, y *dispatch) int { return cmp.Compare(x.endUs, y.endUs) })
		next := 0
		for _, d := range m.dispatches {
			for ; next < len(answers) && answers[next].endUs+skewUs < d.AtUs; next++ {
				if e := answers[next]; e.Ver > bindings[e.Key].ver {
					bindings[e.Key] = binding{e.Ver, e.endUs}
				}
			}
			b, ok := bindings[d.Key]
			if !ok || d.Key == "" || anyBetween(m.startsUs, b.at, d.AtUs) {
				continue
			}
			_, s := w.lastStageUpdate(d.AtUs)
			if s == nil || s.Ver != b.ver || s.Phase != int64(balance.OnTrial) && s.Phase != int64(balance.Released) {
				continue
			}
			a.Checked[RuleForwardOnly]++
			if d.Ver < b.ver {
				a.violated(RuleForwardOnly, "key %s, answered by build %d, went to build %d", d.Key, b.ver, d.Ver)
			}
		}
	}
}

// AnswerTimes gives the answer times of an operation's successes at some shares of them, in ms.
func (r *Report) AnswerTimes(op int, shares ...float64) []float64 {
	t := slices.Clone(r.answerTimesUs[op])
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

var ruleTexts = map[string]string{
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
		fmt.Fprintf(w, "%-9s %-46s %8d %7d\n", rule, ruleTexts[rule], r.Checked[rule], r.Violations[rule])
	}
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  "+e)
	}
}
