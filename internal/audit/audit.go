// Package audit checks the rules that marshals must keep, from the records of a test run or of a soak. The records hold
// what clients, nodes, the service registry and the rollout service observed on their sockets. Nothing that a marshal
// reports about itself is used.
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

// The rules, in the order of the project's requirements. RuleOneInFlight is the limit on concurrent copies.
const (
	RuleAnswered    = "answered" // exactly one final answer within the client's time limit, and nothing after it
	RuleEffects     = "effects"  // no effect happens twice
	RuleOneInFlight = "one-out"  // at most one dispatch of an invocation in flight
	RuleDrain       = "drain"    // no new dispatches to nodes that are draining or gone
	RuleColdNodes   = "cold"     // no node overloaded while warming up
	RuleExposure    = "exposure" // traffic to trial builds stays within their caps
	RuleForwardOnly = "forward"  // a key never returns to an earlier build
)

// Rules lists the rules that are always checked.
var Rules = []string{RuleAnswered, RuleEffects, RuleOneInFlight, RuleDrain, RuleColdNodes, RuleExposure, RuleForwardOnly}

// The rules that only the operators' platform has. They are checked where Bounds ask for it.
const (
	RuleTimeBudget = "budget" // the time limit passed to a node is within what its client has left
	RuleClientGone = "gone"   // no dispatch starts for a client that has disconnected
)

// Bounds are tolerances and rules of a platform's protocol that the settings do not contain. The zero value stands for
// the project's own protocol.
type Bounds struct {
	LowerCapGraceMs    float64 // time after which a lowered cap must be kept; 0: grace_ms of the settings
	ExtraAttempts      float64 // dispatches allowed above the cap
	ExtraAttemptsShare float64 // further dispatches allowed, as a share of what the cap allows
	TimeLimitSlackMs   float64 // tolerance of RuleTimeBudget; 0: not checked
	ClientGoneGraceMs  float64 // tolerance of RuleClientGone; 0: not checked
	// StopGraceMs is how long after the signal to stop an invocation may still be lost to a kill. One that arrives later
	// and gets no answer counts as unanswered. 0: a kill excuses every loss.
	StopGraceMs float64
	// ResendOnClose says that clients send a request again if its connection was closed while it was under way. Any other
	// loss when a marshal stops is then a violation.
	ResendOnClose bool
}

// Report is the result of an audit.
type Report struct {
	Invocations   int             `json:"invocations"` // accepted by a marshal
	Succeeded     int             `json:"succeeded"`
	WithinSLO     int             `json:"in_time"` // succeeded within the SLO time
	Throttled     int             `json:"throttled"`
	Terminated    int             `json:"terminated"`
	Unanswered    int             `json:"unanswered"`
	AnsweredTwice int             `json:"answered_twice"`
	ClientsLeft   int             `json:"left"`      // clients that disconnected before their answer
	NotAccepted   int             `json:"not_taken"` // rejected, or lost with a marshal that was killed
	Dispatches    int             `json:"dispatches"`
	Repeats       int             `json:"repeats"`
	Checked       map[string]int  `json:"checked"`      // by rule: how often it was checked
	Violations    map[string]int  `json:"found"`        // by rule: how often it was broken
	Examples      []string        `json:"examples"`     // descriptions of the first violations
	RulesBroken   []string        `json:"rules_broken"` // rules with violations
	answerTimesUs map[int][]int64 // by operation, of the invocations that succeeded
}

// Clean reports whether no rule was broken.
func (r *Report) Clean() bool {
	return len(r.RulesBroken) == 0 && r.Unanswered == 0 && r.AnsweredTwice == 0
}

const (
	// skewUs is a tolerance in favour of the marshal. The times that two processes record for the same event differ by
	// the latency between them and by scheduling delays on a busy machine.
	skewUs = 100_000

	maxExamples        = 40
	maxExamplesPerRule = 6
)

// CheckDir audits the records of a folder: settings.txtpb and all *.seen files.
func CheckDir(dir string) (*Report, error) {
	set, err := settings.Load(filepath.Join(dir, "settings.txtpb"))
	if err != nil {
		return nil, err
	}
	files, _ := filepath.Glob(filepath.Join(dir, "*.seen"))
	if len(files) == 0 {
		return nil, fmt.Errorf("%s: no *.seen files; is this the folder of a recorded scenario?", dir)
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

// Check audits observations under the project's own protocol.
func Check(set *settings.Settings, seen []*record.Seen) *Report {
	return CheckWithBounds(set, Bounds{}, seen)
}

// CheckWithBounds audits observations under the protocol of a platform with bounds of its own.
func CheckWithBounds(set *settings.Settings, bounds Bounds, seen []*record.Seen) *Report {
	slices.SortStableFunc(seen, func(a, b *record.Seen) int { return cmp.Compare(a.AtUs, b.AtUs) })
	a := &auditor{set: set, bounds: bounds, byID: map[string]*invocation{}, marshals: map[int64]*marshal{},
		nodeEndsUs: map[uint32][]int64{}, Report: Report{Checked: map[string]int{}, Violations: map[string]int{},
			RulesBroken: []string{}, Examples: []string{}, answerTimesUs: map[int][]int64{}}}
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

// auditor collects the observations by invocation and by marshal, and checks the rules on them.
type auditor struct {
	Report
	set         *settings.Settings
	bounds      Bounds
	byID        map[string]*invocation
	invocations []*invocation
	marshals    map[int64]*marshal
	nodeEndsUs  map[uint32][]int64 // by node: when its processes ended
}

// invocation is one invocation as its client and the nodes observed it.
type invocation struct {
	*record.Seen // the client's request; nil if no client sent one
	id           string
	dispatches   []*dispatch
	answers      []*record.Seen // final answers, in the order of arrival
	clientLeft   *record.Seen   // the client disconnected
	noAnswer     *record.Seen   // time-out, broken connection or refused connection
	resent       *record.Seen   // the connection was closed meanwhile, and the client sent the request again
	extraAnswer  *record.Seen   // data after the final answer, or the answer to another request
}

// dispatch is one dispatch as the node observed it.
type dispatch struct {
	*record.Seen
	endUs     int64 // when the node saw it end; 0 if it did not
	rejected  bool  // the node answered that it did not start it
	succeeded bool  // answered with status 200
}

// marshal is what is known of one marshal, over all its restarts.
type marshal struct {
	startsUs, killsUs, stopsUs []int64
	nodeUpdates                map[uint32][]*record.Seen // by node: the states that the registry reported
	stageUpdates               []*record.Seen
	dispatches                 []*dispatch
	accepted                   []*invocation
}

// marshal returns the entry of a marshal, which it creates if there is none.
func (a *auditor) marshal(n int64) *marshal {
	m := a.marshals[n]
	if m == nil {
		m = &marshal{nodeUpdates: map[uint32][]*record.Seen{}}
		a.marshals[n] = m
	}
	return m
}

// invocation returns the entry of an invocation, which it creates if there is none.
func (a *auditor) invocation(id string) *invocation {
	i := a.byID[id]
	if i == nil {
		i = &invocation{id: id}
		a.byID[id] = i
		a.invocations = append(a.invocations, i)
	}
	return i
}

// add adds an observation. Nodes overloaded while warming up are counted here, since nodes report that themselves.
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
		a.violated(RuleColdNodes, "node %d was overloaded while warming up: %s", s.Node, s.Text)
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

// violated counts a violation of a rule, and describes it if it is one of the first.
func (a *auditor) violated(rule, format string, args ...any) {
	a.Violations[rule]++
	if a.Violations[rule] <= maxExamplesPerRule && len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, rule+": "+fmt.Sprintf(format, args...))
	}
}

// anyBetween reports whether one of the sorted times lies within [from, to].
func anyBetween(times []int64, from, to int64) bool {
	i := sort.Search(len(times), func(i int) bool { return times[i] >= from })
	return i < len(times) && times[i] <= to
}

// checkAnswers checks RuleAnswered and counts the outcomes.
func (a *auditor) checkAnswers() {
	for _, i := range a.invocations {
		if i.Seen == nil {
			a.violated(RuleAnswered, "%s reached a node, but no client sent it", i.id)
			continue
		}
		m, deadlineUs := a.marshal(i.Instance), i.AtUs+int64(i.LimitMs*1000)
		var answer *record.Seen
		if len(i.answers) > 0 {
			answer = i.answers[0]
		}
		if i.extraAnswer != nil {
			a.AnsweredTwice++
			a.violated(RuleAnswered, "%s got data after its final answer, or the answer to another request (%s %s)", i.id,
				i.extraAnswer.Kind, i.extraAnswer.Text)
		} else if len(i.answers) > 1 {
			a.AnsweredTwice++
			a.violated(RuleAnswered, "%s got %d answers", i.id, len(i.answers))
		}
		if c := i.resent; c != nil && len(i.dispatches) > 0 && i.dispatches[0].AtUs < c.AtUs &&
			!anyBetween(m.killsUs, c.AtUs-skewUs, c.AtUs+skewUs) {
			a.violated(RuleAnswered, "%s was read and dispatched to node %d, but its connection was closed without an answer", i.id,
				i.dispatches[0].Node)
		}
		if answer != nil && answer.Final == "not-taken" {
			a.NotAccepted++
			if len(i.dispatches) > 0 {
				a.violated(RuleAnswered, "%s was answered as not accepted, but node %d received it", i.id, i.dispatches[0].Node)
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
				a.violated(RuleAnswered, "%s was answered %d ms after its client's deadline", i.id, lateUs/1000)
			}
		case i.clientLeft != nil:
			accept()
			a.ClientsLeft++
		case i.noAnswer == nil:
			a.NotAccepted++ // the client ended with the run
		case i.noAnswer.Kind == "refused", anyBetween(m.killsUs, i.AtUs-skewUs, max(i.noAnswer.AtUs, deadlineUs)+skewUs) &&
			!a.arrivedAfterStopGrace(m, i):
			a.NotAccepted++ // the marshal was down, or was killed after it had accepted the invocation
			if i.noAnswer.Kind != "refused" {
				m.accepted = append(m.accepted, i) // counted towards the caps in favour of the marshal
			}
		case !a.bounds.ResendOnClose && i.noAnswer.Kind == "broke" && len(i.dispatches) == 0 &&
			anyBetween(m.stopsUs, i.AtUs-skewUs, i.noAnswer.AtUs):
			a.NotAccepted++ // the request was under way while a stopping marshal closed the connection
		default:
			accept()
			a.Checked[RuleAnswered]++
			a.Unanswered++
			a.violated(RuleAnswered, "%s got no answer from marshal %d (%s %s, %d dispatches)", i.id, i.Instance, i.noAnswer.Kind,
				i.noAnswer.Text, len(i.dispatches))
		}
	}
	for _, m := range a.marshals {
		slices.SortFunc(m.accepted, func(a, b *invocation) int { return cmp.Compare(a.AtUs, b.AtUs) })
	}
}

// arrivedAfterStopGrace reports whether an invocation arrived so long after the signal to stop that a kill does not
// excuse its loss.
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

// checkTimeBudgets checks RuleTimeBudget.
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
				a.violated(RuleTimeBudget, "%s gave node %d %.0f ms when its client had %.0f ms left", i.id, d.Node, d.LimitMs,
					leftMs)
			}
		}
	}
}

// checkDepartures checks RuleClientGone.
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
				a.violated(RuleClientGone, "%s reached node %d %d ms after its client had disconnected", i.id, d.Node, lateUs/1000)
			}
		}
	}
}

// checkEffects checks RuleEffects and RuleOneInFlight.
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
					a.violated(RuleOneInFlight, "%s was sent to node %d %d ms before its dispatch to node %d ended", i.id, d.Node,
						(endUs-d.AtUs)/1000, e.Node)
				}
				if e.rejected || o.Repeat == settings.Repeat_IDEMPOTENT {
					continue
				}
				if o.Repeat == settings.Repeat_SIDE_EFFECTING {
					a.violated(RuleEffects, "%s (%s) was sent to node %d though it may have run on node %d", i.id, o.Name, d.Node,
						e.Node)
				} else if d.AtUs-e.AtUs > int64(o.MemoryMs*1000)+skewUs {
					a.violated(RuleEffects, "%s (%s) was repeated after %d ms; nodes remember idempotency keys for %g ms", i.id,
						o.Name, (d.AtUs-e.AtUs)/1000, o.MemoryMs)
				} else if o.Group == "zone" && d.Zone != e.Zone || o.Group == "cell" && d.Node != e.Node {
					a.violated(RuleEffects, "%s (%s) was repeated outside its group: node %d, then node %d", i.id, o.Name, e.Node,
						d.Node)
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

// endUs returns when a dispatch ended: answered, cut off, or with the process of its node; 0 if it did not end.
func (a *auditor) endUs(d *dispatch) int64 {
	end := d.endUs
	for _, t := range a.nodeEndsUs[d.Node] {
		if t >= d.AtUs && (end == 0 || t < end) {
			end = t
		}
	}
	return end
}

// checkDrains checks RuleDrain.
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
			// Find the update since which the node has not been serving.
			first := n
			for first > 0 && updates[first-1].Text != "serving" {
				first--
			}
			if first == n || d.AtUs-updates[first].AtUs <= graceUs || anyBetween(m.startsUs, updates[first].AtUs, d.AtUs) {
				continue
			}
			a.violated(RuleDrain, "node %d received %s %d ms after marshal %d was notified that it is %s", d.Node, d.Inv,
				(d.AtUs-updates[first].AtUs)/1000, d.Instance, updates[first].Text)
		}
	}
}

// checkExposure checks RuleExposure.
func (a *auditor) checkExposure() {
	for number, m := range a.marshals {
		lowerCapGraceMs := a.bounds.LowerCapGraceMs
		if lowerCapGraceMs == 0 {
			lowerCapGraceMs = a.set.Rules.GraceMs
		}
		c := &exposureCheck{auditor: a, marshal: m, number: number, graceUs: int64(a.set.Rules.GraceMs * 1000),
			lowerCapGraceUs: int64(lowerCapGraceMs * 1000), windowUs: int64(a.set.Rollout.CountedOverMs * 1000),
			perOperation: a.set.Rollout.CapScope == "each-operation"}
		c.check()
	}
}

// exposureCheck checks the traffic of one marshal to trial builds.
type exposureCheck struct {
	auditor           *auditor
	marshal           *marshal
	number            int64
	graceUs, windowUs int64
	lowerCapGraceUs   int64 // time after which a lowered cap must be kept
	perOperation      bool
}

// lastStageUpdate returns the last stage update that the marshal had received by a time, and its index, or -1 and nil if
// it had received none since its last start.
func (c *exposureCheck) lastStageUpdate(atUs int64) (n int, s *record.Seen) {
	n = sort.Search(len(c.marshal.stageUpdates), func(i int) bool { return c.marshal.stageUpdates[i].AtUs > atUs })
	if n == 0 {
		return -1, nil
	}
	s = c.marshal.stageUpdates[n-1]
	if anyBetween(c.marshal.startsUs, s.AtUs, atUs) {
		return -1, nil // received before the restart
	}
	return n - 1, s
}

// trialState returns the stage and cap that apply to a build at a time; onTrial is false if the build has no cap. Where
// sinceUs is not 0, only dispatches after it count.
func (c *exposureCheck) trialState(ver, atUs int64) (stage int64, cap float64, sinceUs int64, onTrial bool) {
	n, s := c.lastStageUpdate(atUs)
	if s == nil { // no update since the start: every build but the oldest that serves may be on trial
		if ver <= c.oldestBuild(atUs) {
			return 0, 1, 0, false
		}
		return 0, c.auditor.set.Rollout.Stage[0].Cap, c.startUs(atUs), true
	}
	switch {
	case ver > s.Ver:
		return 0, c.auditor.set.Rollout.Stage[0].Cap, 0, true
	case ver < s.Ver || balance.Phase(s.Phase) == balance.Released:
		return 0, 1, 0, false
	}
	stage, cap = s.Stage, s.Cap
	// A lowered cap takes effect after its grace period, and only dispatches after that count.
	for ; n >= 0 && atUs-c.marshal.stageUpdates[n].AtUs <= c.windowUs+c.lowerCapGraceUs+skewUs; n-- {
		if earlier := c.marshal.stageUpdates[n]; earlier.Ver == ver && earlier.Cap > cap {
			loweredUs := c.marshal.stageUpdates[n+1].AtUs + c.lowerCapGraceUs + skewUs
			if atUs <= loweredUs {
				return stage, earlier.Cap, 0, true
			}
			return stage, cap, loweredUs, true
		}
	}
	return stage, cap, 0, true
}

// startUs returns when the marshal was last started before a time.
func (c *exposureCheck) startUs(atUs int64) int64 {
	n := sort.Search(len(c.marshal.startsUs), func(i int) bool { return c.marshal.startsUs[i] > atUs })
	if n == 0 {
		return 0
	}
	return c.marshal.startsUs[n-1]
}

// oldestBuild returns the oldest build among the nodes that were serving by the marshal's last updates at a time. Updates
// from before a restart count too: the marshal saves its list on disk.
func (c *exposureCheck) oldestBuild(atUs int64) int64 {
	oldest := int64(1) << 40
	for _, updates := range c.marshal.nodeUpdates {
		if n := sort.Search(len(updates), func(i int) bool { return updates[i].AtUs > atUs }); n > 0 && updates[n-1].Text == "serving" {
			oldest = min(oldest, updates[n-1].Ver)
		}
	}
	return oldest
}

// check checks each dispatch against the stage and cap of its build at that time.
func (c *exposureCheck) check() {
	rollout := c.auditor.set.Rollout
	type scope struct{ ver, op int64 }
	sentUs := map[scope][]int64{}
	for _, d := range c.marshal.dispatches {
		stage, cap, sinceUs, onTrial := c.trialState(d.Ver, d.AtUs)
		s := scope{d.Ver, -1}
		if c.perOperation {
			s.op = d.Op
		}
		sentUs[s] = append(sentUs[s], d.AtUs)
		if !onTrial {
			continue
		}
		c.auditor.Checked[RuleExposure]++
		if uint32(stage) < rollout.Shielded && int(d.Op) < len(c.auditor.set.Operation) {
			if o := c.auditor.set.Operation[d.Op]; o.Repeat != settings.Repeat_IDEMPOTENT {
				c.auditor.violated(RuleExposure, "%s (%s) went to build %d in the shielded stage %d", d.Inv, o.Name, d.Ver, stage)
			}
		}
		if cap == 0 {
			if sinceUs > 0 || c.zeroBeyondGrace(d) {
				c.auditor.violated(RuleExposure, "marshal %d sent %s to build %d, whose cap is 0", c.number, d.Inv, d.Ver)
			}
			continue
		}
		fromUs := max(d.AtUs-c.windowUs+skewUs, sinceUs)
		all := sentUs[s]
		count := len(all) - sort.Search(len(all), func(i int) bool { return all[i] > fromUs })
		accepted := c.acceptedBetween(d.AtUs-c.windowUs-skewUs, d.AtUs, s.op)
		limit := rollout.Allowance + cap*float64(accepted)
		limit += c.auditor.bounds.ExtraAttempts + c.auditor.bounds.ExtraAttemptsShare*limit
		if float64(count) > limit {
			c.auditor.violated(RuleExposure, "marshal %d sent %d dispatches to build %d in %d ms; %d accepted at a cap of %g allow %.1f",
				c.number, count, d.Ver, c.windowUs/1000, accepted, cap, limit)
		}
	}
}

// zeroBeyondGrace reports whether the cap had been 0 for longer than the grace period when d was sent.
func (c *exposureCheck) zeroBeyondGrace(d *dispatch) bool {
	n, s := c.lastStageUpdate(d.AtUs)
	for n > 0 && c.marshal.stageUpdates[n-1].Ver == s.Ver && c.marshal.stageUpdates[n-1].Cap == 0 {
		n--
		s = c.marshal.stageUpdates[n]
	}
	return s != nil && d.AtUs-s.AtUs > c.lowerCapGraceUs+skewUs
}

// acceptedBetween counts the invocations of an operation, or of all with op -1, that the marshal accepted in a time span.
func (c *exposureCheck) acceptedBetween(fromUs, toUs, op int64) (count int) {
	accepted := c.marshal.accepted
	for k := sort.Search(len(accepted), func(i int) bool { return accepted[i].AtUs > fromUs }); k < len(accepted) &&
		accepted[k].AtUs <= toUs; k++ {
		if op < 0 || accepted[k].Op == op {
			count++
		}
	}
	return count
}

// checkForwardOnly checks RuleForwardOnly: a key that one build has answered is not sent to an earlier one.
func (a *auditor) checkForwardOnly() {
	if !a.set.Rollout.ForwardOnly {
		return
	}
	for number, m := range a.marshals {
		c := &exposureCheck{auditor: a, marshal: m, number: number}
		type binding struct {
			ver, atUs int64
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
			if !ok || d.Key == "" || anyBetween(m.startsUs, b.atUs, d.AtUs) {
				continue
			}
			_, s := c.lastStageUpdate(d.AtUs)
			if s == nil || s.Ver != b.ver || s.Phase != int64(balance.OnTrial) && s.Phase != int64(balance.Released) {
				continue
			}
			a.Checked[RuleForwardOnly]++
			if d.Ver < b.ver {
				a.violated(RuleForwardOnly, "key %s was answered by build %d and then sent to build %d", d.Key, b.ver, d.Ver)
			}
		}
	}
}

// AnswerTimes returns quantiles, in ms, of the answer times of an operation's successful invocations.
func (r *Report) AnswerTimes(op int, quantiles ...float64) []float64 {
	t := slices.Clone(r.answerTimesUs[op])
	slices.Sort(t)
	var out []float64
	for _, q := range quantiles {
		if len(t) == 0 {
			out = append(out, 0)
			continue
		}
		out = append(out, float64(t[min(len(t)-1, int(q*float64(len(t))))])/1000)
	}
	return out
}

// ruleTexts describes the rules in the table.
var ruleTexts = map[string]string{
	RuleAnswered:    "exactly one final answer within the time limit",
	RuleEffects:     "no effect happens twice",
	RuleOneInFlight: "at most one dispatch in flight",
	RuleDrain:       "no dispatch to draining or gone nodes",
	RuleColdNodes:   "no node overloaded while warming up",
	RuleExposure:    "trial builds within their caps",
	RuleForwardOnly: "no key returns to an earlier build",
	RuleTimeBudget:  "nodes get no more time than is left",
	RuleClientGone:  "no dispatch for disconnected clients",
}

// WriteTable writes the report as text, with a line for each rule.
func (r *Report) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "invocations %d: %d succeeded, %d throttled, %d terminated, %d clients disconnected; %d unanswered, %d answered twice\n",
		r.Invocations, r.Succeeded, r.Throttled, r.Terminated, r.ClientsLeft, r.Unanswered, r.AnsweredTwice)
	fmt.Fprintf(w, "not accepted %d, dispatches %d, of which repeats %d\n\n", r.NotAccepted, r.Dispatches, r.Repeats)
	fmt.Fprintf(w, "%-9s %-46s %8s %7s\n", "rule", "", "checked", "broken")
	rules := slices.DeleteFunc([]string{RuleTimeBudget, RuleClientGone}, func(rule string) bool { return r.Checked[rule] == 0 })
	for _, rule := range append(slices.Clone(Rules), rules...) {
		fmt.Fprintf(w, "%-9s %-46s %8d %7d\n", rule, ruleTexts[rule], r.Checked[rule], r.Violations[rule])
	}
	for _, e := range r.Examples {
		fmt.Fprintln(w, "  "+e)
	}
}
