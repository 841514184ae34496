package settings

import (
	"strings"
	"testing"
)

const validText = `instance { number: 0 marshals: 2 zone: "here" }
listen { invocations: "127.0.0.1:0" peers: "127.0.0.1:0" }
zone: "here"
operation { name: "look" repeat: IDEMPOTENT slo_ms: 200 limit_ms: 600 match { method: "GET" path: "/look/*" } }
operation { name: "book" repeat: FINGERPRINTED group: "zone" memory_ms: 400 slo_ms: 200 limit_ms: 600 match { path: "/book" } }
limits { connections: 10 open: 10 queue: 10 line_bytes: 2000 header_bytes: 4000 repeat_body_bytes: 1 held_answer_bytes: 1 most_tries: 3 idle_per_node: 8 }
times { header_ms: 3 body_ms: 3 write_ms: 3 idle_ms: 5 dial_ms: 2 node_idle_ms: 5 stop_ms: 1 answer_ms: 10 }
roster { address: "127.0.0.1:1" reconnect_ms: 1 reconnect_most_ms: 5 }
peer { number: 1 address: "127.0.0.1:2" }
rules { answer_slack_ms: 20 grace_ms: 200 cold_from: 0.5 warm_up_ms: 1000 fall_multiple: 3 fall_ms: 500 }
rollout { allowance: 1 counted_over_ms: 1000 cap_scope: "all" gate: "any" vote_ttl_ms: 1000 vote_timeout_ms: 200 votes_per_s: 10
  stage { part: 0.5 cap: 0.5 } stage { part: 1 cap: 1 } }
`

// TestMistakes checks that a mistake is reported first and in one line, with file, line and likely fix.
func TestMistakes(t *testing.T) {
	if _, err := Parse("f", []byte(validText)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"slo_ms: 200 limit", "slo_sm: 200 limit", "f:4: no setting is called slo_sm; did you mean slo_ms?"},
		{"IDEMPOTENT", "IDEMPOTNT", "f:4: invalid value for enum type: IDEMPOTNT; did you mean IDEMPOTENT?"},
		{"repeat: IDEMPOTENT ", "", "f:4: operation[0].repeat: missing; IDEMPOTENT, FINGERPRINTED or, if in doubt, SIDE_EFFECTING"},
		{"limit_ms: 600 match { path", "limit_ms: 100 match { path", "f:5: operation[1].limit_ms: 100 ms is below the SLO time of 200 ms"},
		{`path: "/book"`, `path: "book"`, `f:5: operation[1].match[0].path: "book" does not begin with /`},
		{`path: "/look/*"`, `path: "/*/x"`, `f:4: operation[0].match[0].path: "/*/x": * is allowed only at the end`},
		{`name: "book"`, `name: "look"`, `f:5: operation[1].name: "look" is also the name of the operation on line 4`},
		{`group: "zone"`, `group: "zoen"`, `f:5: operation[1].group: "zoen" is not one of all, zone, cell; did you mean zone?`},
		{`memory_ms: 400 `, "", "f:5: operation[1].memory_ms: missing; give it a value from 1 ms to 86400000 ms"},
		{`marshals: 2 zone: "here"`, `marshals: 2 zone: "hree"`, `f:1: instance.zone: "hree" is not a zone of this file; did you mean here?`},
		{"number: 0 marshals: 2", "number: 2 marshals: 2", "f:1: instance.number: 2 is out of range: 2 marshals are numbered from 0"},
		{"number: 1 address", "number: 0 address", "f:9: peer[0].number: 0 is already the number of this marshal or of another peer"},
		{`invocations: "127.0.0.1:0"`, `invocations: ":80"`, `f:2: listen.invocations: ":80" has no host; for this machine only, write 127.0.0.1:80`},
		{`"127.0.0.1:1"`, `"127.0.0.1"`, `f:8: roster.address: "127.0.0.1" is not of the form host:port`},
		{`name: "book"`, `listener: "mian" name: "book"`, "f:5: operation[1].listener: no listener is called mian; did you mean main?"},
		{"reconnect_ms: 1 ", "", "f:8: roster.reconnect_ms: missing; give it a value from 1 ms to 86400000 ms"},
		{`name: "book"`, `pool: "x" name: "book"`, `f:5: operation[1].pool: no pool is called x; describe it: pool { name: "x" roster { ... } }`},
		{"grace_ms: 200 ", "grace_ms: 1e12 ", "f:10: rules.grace_ms: 1000000000000 ms is too large; the maximum is 86400000 ms"},
		{"cold_from: 0.5", "cold_from: -1", "f:10: rules.cold_from: -1 is too small; the minimum is 0.001"},
		{"part: 1 cap: 1", "part: 1 cap: 0.2", "f:12: rollout.stage[1].cap: 0.2 is below the 0.5 of the previous stage"},
		{`gate: "any"`, `gate: "anny"`, `f:11: rollout.gate: "anny" is not one of any, count, clock; did you mean any?`},
		{"answer_ms: 10", "answer_ms: 700", "f:7: times.answer_ms: 700 ms reserved for the answer's way to the client leave nothing of the 600 ms of look"},
		{"rules { answer", "# rules { answer", "f: rules: the block is missing: write rules { ... }"},
		{"stage { part: 1 cap: 1 } }", "stage { part: 1 cap: 1 }", "f: the file ends inside a block: a closing } is missing"},
		{"queue: 10 ", "queue: 10 probes: true ", `f:6: limits.probe_path: "" is not a path; a node answers probes at, for example, "/healthz"`},
	} {
		text := strings.Replace(validText, c.old, c.new, 1)
		if text == validText {
			t.Fatalf("%q is not in validText", c.old)
		}
		_, err := Parse("f", []byte(text))
		if err == nil {
			t.Errorf("%q instead of %q: no error", c.new, c.old)
		} else if got, _, _ := strings.Cut(err.Error(), "\n"); got != c.want {
			t.Errorf("%q instead of %q:\ngot  %s\nwant %s", c.new, c.old, err, c.want)
		}
	}
	if _, err := Load("nowhere.txtpb"); err == nil || err.Error() != "nowhere.txtpb: can't be read: no such file or directory" {
		t.Error(err)
	}
}

// FuzzParse checks that Parse reads back what Text writes, that it never panics, and that errors name the file.
func FuzzParse(f *testing.F) {
	f.Add(validText)
	f.Add("operation { match { } }")
	f.Fuzz(func(t *testing.T, text string) {
		s, err := Parse("f", []byte(text))
		if err != nil {
			if !strings.HasPrefix(err.Error(), "f:") {
				t.Fatalf("%v", err)
			}
			return
		}
		if again, err := Parse("f", s.Text()); err != nil || string(again.Text()) != string(s.Text()) {
			t.Fatalf("%v: %s", err, s.Text())
		}
	})
}

// TestFind checks which operation a request matches.
func TestFind(t *testing.T) {
	s, err := Parse("f", []byte(validText))
	if err != nil {
		t.Fatal(err)
	}
	for request, want := range map[string]int{"GET /look/1": 0, "POST /look/1": -1, "GET /look": -1,
		"PUT /book": 1, "GET /book/1": -1} {
		method, path, _ := strings.Cut(request, " ")
		if got := s.FindOperation(MainListener, method, path); got != want {
			t.Errorf("%s: got operation %d, want %d", request, got, want)
		}
	}
}
