package audit

import (
	"slices"
	"strings"
	"testing"

	"arrowcleat/internal/record"
	"arrowcleat/internal/settings"
)

// set holds the settings that all tests use.
var set = &settings.Settings{
	Operation: []*settings.Operation{{Name: "look", Repeat: settings.Repeat_IDEMPOTENT},
		{Name: "book", Repeat: settings.Repeat_FINGERPRINTED, Group: "zone", MemoryMs: 1000},
		{Name: "once", Repeat: settings.Repeat_SIDE_EFFECTING}},
	Rules: &settings.Rules{AnswerSlackMs: 20, GraceMs: 300},
	Rollout: &settings.Rollout{Allowance: 1, CountedOverMs: 1000, CapScope: "all", Shielded: 1, ForwardOnly: true,
		Stage: []*settings.Stage{{Cap: 0.1}, {Cap: 1}}},
}

// at returns an observation at a time in ms, changed by the given functions.
func at(ms int64, kind, inv string, op int64, node uint32, options ...func(*record.Seen)) *record.Seen {
	s := &record.Seen{AtUs: ms * 1000, Kind: kind, Inv: inv, Op: op, Node: node, LimitMs: 500, Ver: 1}
	for _, f := range options {
		f(s)
	}
	return s
}

func final(word string) func(*record.Seen) { return func(s *record.Seen) { s.Final = word } }
func text(word string) func(*record.Seen)  { return func(s *record.Seen) { s.Text = word } }
func ver(v int64) func(*record.Seen)       { return func(s *record.Seen) { s.Ver = v } }
func zone(z int64) func(*record.Seen)      { return func(s *record.Seen) { s.Zone = z } }
func key(k string) func(*record.Seen)      { return func(s *record.Seen) { s.Key = k } }
func stage(n int64, phase int64, cap float64) func(*record.Seen) {
	return func(s *record.Seen) { s.Stage, s.Phase, s.Cap = n, phase, cap }
}

// TestChecks checks that each rule passes what keeps it and finds what breaks it.
func TestChecks(t *testing.T) {
	released := at(0, "staged", "", 0, 0, stage(1, 2, 1))
	var many []*record.Seen // 40 invocations, 30 of them to build 2
	for i := range int64(40) {
		id := string(rune('A' + i))
		many = append(many, at(5000+i*10, "asked", id, 0, 0), at(5100+i*10, "answered", id, 0, 0, final("succeeded")))
		v := int64(1)
		if i >= 10 {
			v = 2
		}
		many = append(many, at(5001+i*10, "got", id, 0, 7, ver(v)), at(5050+i*10, "done", id, 0, 7, text("200")))
	}
	for _, c := range []struct {
		name string
		seen []*record.Seen
		want string // rules broken
	}{
		{"answered in time", []*record.Seen{at(0, "asked", "a", 0, 0), at(1, "got", "a", 0, 1), at(90, "done", "a", 0, 1),
			at(519, "answered", "a", 0, 0, final("succeeded"))}, ""},
		{"answered late", []*record.Seen{at(0, "asked", "a", 0, 0), at(521, "answered", "a", 0, 0, final("succeeded"))}, "answered"},
		{"not answered", []*record.Seen{at(0, "asked", "a", 0, 0), at(500, "silent", "a", 0, 0)}, "answered"},
		{"not answered, marshal killed", []*record.Seen{at(0, "asked", "a", 0, 0), at(200, "killed", "", 0, 0),
			at(201, "broke", "a", 0, 0)}, ""},
		{"connection broken by a stopping marshal", []*record.Seen{at(200, "stopping", "", 0, 0), at(201, "asked", "a", 0, 0), at(202, "got", "a", 0, 1),
			at(203, "broke", "a", 0, 0)}, "answered"},
		{"answered twice", []*record.Seen{at(0, "asked", "a", 0, 0), at(9, "answered", "a", 0, 0, final("succeeded")),
			at(10, "extra", "a", 0, 0)}, "answered"},
		{"unknown final answer", []*record.Seen{at(0, "asked", "a", 0, 0), at(9, "answered", "a", 0, 0, final("maybe"))}, "answered"},
		{"not accepted, but dispatched", []*record.Seen{at(0, "asked", "a", 0, 0), at(1, "got", "a", 0, 1), at(9, "answered", "a", 0, 0, final("not-taken"))},
			"answered"},
		{"side effect after a rejection", []*record.Seen{at(0, "asked", "a", 2, 0), at(1, "got", "a", 2, 1), at(2, "away", "a", 2, 1),
			at(3, "got", "a", 2, 2), at(9, "answered", "a", 2, 0, final("succeeded"))}, ""},
		{"side effect twice", []*record.Seen{at(0, "asked", "a", 2, 0), at(1, "got", "a", 2, 1), at(2, "cut", "a", 2, 1),
			at(3, "got", "a", 2, 2), at(9, "answered", "a", 2, 0, final("succeeded"))}, "effects"},
		{"throttled, but may have run", []*record.Seen{at(0, "asked", "a", 2, 0), at(1, "got", "a", 2, 1), at(2, "cut", "a", 2, 1),
			at(9, "answered", "a", 2, 0, final("throttled"))}, "effects"},
		{"repeated within group and memory", []*record.Seen{at(0, "asked", "a", 1, 0), at(1, "got", "a", 1, 1), at(2, "cut", "a", 1, 1),
			at(400, "got", "a", 1, 2), at(490, "answered", "a", 1, 0, final("succeeded"))}, ""},
		{"repeated outside the group", []*record.Seen{at(0, "asked", "a", 1, 0), at(1, "got", "a", 1, 1), at(2, "cut", "a", 1, 1),
			at(400, "got", "a", 1, 2, zone(1)), at(490, "answered", "a", 1, 0, final("succeeded"))}, "effects"},
		{"repeated after the memory time", []*record.Seen{at(0, "asked", "a", 1, 0), at(1, "got", "a", 1, 1), at(2, "cut", "a", 1, 1),
			at(1200, "got", "a", 1, 2), at(490, "answered", "a", 1, 0, final("succeeded"))}, "effects"},
		{"two dispatches in flight", []*record.Seen{at(0, "asked", "a", 0, 0), at(1, "got", "a", 0, 1), at(3, "got", "a", 0, 2), at(99, "done", "a", 0, 1),
			at(100, "answered", "a", 0, 0, final("succeeded"))}, "one-out"},
		{"first dispatch ended with its node", []*record.Seen{at(0, "asked", "a", 0, 0), at(1, "got", "a", 0, 1), at(2, "dies", "", 0, 1),
			at(3, "got", "a", 0, 2), at(9, "answered", "a", 0, 0, final("succeeded"))}, ""},
		{"sent to a draining node within the grace period", []*record.Seen{at(0, "told", "", 0, 1, text("draining")), at(290, "asked", "a", 0, 0),
			at(295, "got", "a", 0, 1), at(300, "answered", "a", 0, 0, final("succeeded"))}, ""},
		{"sent to a draining node after the grace period", []*record.Seen{at(0, "told", "", 0, 1, text("draining")), at(200, "told", "", 0, 1, text("gone")),
			at(401, "asked", "a", 0, 0), at(402, "got", "a", 0, 1), at(409, "answered", "a", 0, 0, final("succeeded"))}, "drain"},
		{"the node serves again", []*record.Seen{at(0, "told", "", 0, 1, text("gone")), at(200, "told", "", 0, 1, text("serving")),
			at(501, "asked", "a", 0, 0), at(502, "got", "a", 0, 1), at(509, "answered", "a", 0, 0, final("succeeded"))}, ""},
		{"node overloaded while warming up", []*record.Seen{at(5, "fell", "", 0, 1)}, "cold"},
		{"within the cap", append([]*record.Seen{released, at(4000, "staged", "", 0, 0, ver(2), stage(1, 0, 0.8))}, many...), ""},
		{"over the cap", append([]*record.Seen{released, at(4000, "staged", "", 0, 0, ver(2), stage(0, 0, 0.1))}, many...), "exposure"},
		{"build not announced, over the first cap", append([]*record.Seen{released}, many...), "exposure"},
		{"cap lowered within the grace period", append([]*record.Seen{released, at(4000, "staged", "", 0, 0, ver(2), stage(1, 0, 1)),
			at(5050, "staged", "", 0, 0, ver(2), stage(1, 1, 0))}, many...), ""},
		{"cap lowered longer ago than the grace period", append([]*record.Seen{released, at(4000, "staged", "", 0, 0, ver(2), stage(1, 0, 1)),
			at(4500, "staged", "", 0, 0, ver(2), stage(1, 1, 0))}, many...), "exposure"},
		{"side effect in a shielded stage", []*record.Seen{released, at(100, "staged", "", 0, 0, ver(2), stage(0, 0, 0.1)), at(200, "asked", "a", 2, 0),
			at(201, "got", "a", 2, 1, ver(2)), at(209, "answered", "a", 2, 0, final("succeeded"))}, "exposure"},
		{"key returns to an earlier build", []*record.Seen{released, at(100, "staged", "", 0, 0, ver(2), stage(1, 0, 1)),
			at(200, "asked", "a", 0, 0), at(201, "got", "a", 0, 1, ver(2), key("k")), at(202, "done", "a", 0, 1, text("200")),
			at(203, "answered", "a", 0, 0, final("succeeded")), at(400, "asked", "b", 0, 0), at(401, "got", "b", 0, 2, key("k")),
			at(409, "answered", "b", 0, 0, final("succeeded"))}, "forward"},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := Check(set, slices.Clone(c.seen))
			if got := strings.Join(r.RulesBroken, " "); got != c.want {
				t.Errorf("rules broken: %q, want %q: %v", got, c.want, r.Examples)
			}
			if r.Clean() != (c.want == "") {
				t.Errorf("Clean() = %v, want %v", r.Clean(), c.want == "")
			}
		})
	}
}

// TestPlatformBounds checks the rules and tolerances of a platform's protocol: what keeps them passes, and each violation
// is found.
func TestPlatformBounds(t *testing.T) {
	bounds := Bounds{LowerCapGraceMs: 150, ExtraAttempts: 2, ExtraAttemptsShare: 0.04, TimeLimitSlackMs: 150,
		ClientGoneGraceMs: 100, StopGraceMs: 700, ResendOnClose: true}
	timeLimit := func(ms float64) func(*record.Seen) { return func(s *record.Seen) { s.LimitMs = ms } }
	answered := at(90, "answered", "a", 0, 0, final("succeeded"))
	for _, c := range []struct {
		name string
		seen []*record.Seen
		want string
	}{
		{"time limit within what is left", []*record.Seen{at(0, "asked", "a", 0, 0), at(50, "got", "a", 0, 1, timeLimit(480)), at(80, "done", "a", 0, 1), answered}, ""},
		{"time limit beyond what is left", []*record.Seen{at(0, "asked", "a", 0, 0), at(50, "got", "a", 0, 1, timeLimit(750)), at(80, "done", "a", 0, 1), answered}, "budget"},
		{"dispatched as its client disconnected", []*record.Seen{at(0, "asked", "a", 0, 0), at(10, "left", "a", 0, 0), at(180, "got", "a", 0, 1)}, ""},
		{"dispatched long after its client had disconnected", []*record.Seen{at(0, "asked", "a", 0, 0), at(10, "left", "a", 0, 0), at(250, "got", "a", 0, 1)}, "gone"},
		{"connection closed before the request was read, request sent again", []*record.Seen{at(0, "asked", "a", 0, 0), at(5, "crossed", "a", 0, 0), at(6, "asked", "a", 0, 0),
			at(7, "got", "a", 0, 1), at(8, "done", "a", 0, 1), answered}, ""},
		{"connection closed after the request was read", []*record.Seen{at(0, "asked", "a", 0, 0), at(2, "got", "a", 0, 1), at(3, "done", "a", 0, 1),
			at(5, "crossed", "a", 0, 0), at(6, "asked", "a", 0, 0), answered}, "answered"},
		{"connection broken during a stop", []*record.Seen{at(0, "stopping", "", 0, 0), at(50, "asked", "a", 0, 0), at(60, "broke", "a", 0, 0)}, "answered"},
		{"killed soon after the signal to stop", []*record.Seen{at(0, "stopping", "", 0, 0), at(500, "asked", "a", 0, 0), at(900, "killed", "", 0, 0),
			at(901, "broke", "a", 0, 0)}, ""},
		{"killed long after the signal to stop", []*record.Seen{at(0, "stopping", "", 0, 0), at(900, "asked", "a", 0, 0), at(1000, "killed", "", 0, 0),
			at(1001, "broke", "a", 0, 0)}, "answered"},
		{"killed without a signal to stop since its start", []*record.Seen{at(0, "stopping", "", 0, 0), at(500, "up", "", 0, 0),
			at(1900, "asked", "a", 0, 0), at(2000, "killed", "", 0, 0), at(2001, "broke", "a", 0, 0)}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := CheckWithBounds(set, bounds, slices.Clone(c.seen))
			if got := strings.Join(r.RulesBroken, " "); got != c.want {
				t.Errorf("rules broken: %q, want %q: %v", got, c.want, r.Examples)
			}
		})
	}
}
