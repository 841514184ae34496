// Package settings is a marshal's settings: their schema, how they are read and checked, and the plain map that
// the decision module gets. docs/settings.md says what each is for.
package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/agnivade/levenshtein"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Problem is one thing wrong with a file of settings.
type Problem struct {
	File    string
	Line    int    // 0: of the file as a whole
	Path    string // of the setting: operation[1].slo_ms; empty for what could not be read at all
	Code    string // stable: docs/language.md lists them
	Message string // without the path
}

func (p Problem) Error() string {
	what := p.Message
	if p.Path != "" {
		what = strings.TrimSuffix(p.Path, "[0]") + ": " + what
	}
	if p.Line == 0 {
		return p.File + ": " + what
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, what)
}

// Load reads and checks a file. The error joins one Problem for each thing found wrong, in the file's order.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, Problem{File: path, Message: "can't be read: " + errors.Unwrap(err).Error()}
	}
	s, err := Parse(path, text)
	if err != nil {
		return nil, err
	}
	s.ResolvePaths(filepath.Dir(path))
	return s, nil
}

// ResolvePaths lets relative file names start from a folder.
func (x *Settings) ResolvePaths(dir string) {
	names := []*string{&x.Roster.File, &x.Record.File}
	for _, p := range x.Pool {
		if p.Roster != nil {
			names = append(names, &p.Roster.File)
		}
		if p.Record != nil {
			names = append(names, &p.Record.File)
		}
	}
	for _, name := range names {
		if *name != "" && !filepath.IsAbs(*name) {
			*name = filepath.Join(dir, *name)
		}
	}
}

// Parse reads and checks settings; name stands for the file in what is found wrong.
func Parse(name string, text []byte) (*Settings, error) {
	s := &Settings{}
	if err := (prototext.UnmarshalOptions{}).Unmarshal(text, s); err != nil {
		return nil, syntaxProblem(name, err)
	}
	c := &checker{file: name, lines: fieldLines(string(text)), s: s, written: map[string]bool{}}
	c.check()
	slices.SortStableFunc(c.problems, func(a, b Problem) int { return a.Line - b.Line })
	var errs []error
	for _, p := range c.problems {
		errs = append(errs, p)
	}
	return s, errors.Join(errs...)
}

// Check finds what is missing, absurd or leads nowhere in settings that came from anywhere, and fills in what may be
// left out.
func Check(s *Settings) []Problem {
	c := &checker{s: s, written: map[string]bool{}}
	c.check()
	return c.problems
}

// Text writes settings as they are read.
func (x *Settings) Text() []byte {
	b, err := prototext.MarshalOptions{Multiline: true}.Marshal(x)
	if err != nil {
		panic(err) // a message of ours that can't be written
	}
	return b
}

var (
	linePattern         = regexp.MustCompile(`\(line (\d+):(\d+)\)`)
	unknownFieldPattern = regexp.MustCompile(`unknown field: (\S+)`)
)

// syntaxProblem words an error of the text format, with the name that is nearest where one is not known.
func syntaxProblem(name string, err error) error {
	text := strings.NewReplacer("proto:", "", "\u00a0", " ").Replace(err.Error())
	p := Problem{File: name, Message: strings.TrimSpace(text)}
	if m := linePattern.FindStringSubmatch(text); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = strings.TrimSpace(strings.Replace(p.Message[strings.Index(p.Message, m[0])+len(m[0]):], ":", "", 1))
	}
	if m := unknownFieldPattern.FindStringSubmatch(text); m != nil {
		p.Message = "no setting is called " + m[1] + suggestion(m[1], fieldNames((&Settings{}).ProtoReflect().Descriptor()))
	} else if strings.Contains(text, "invalid value for enum") {
		word := strings.TrimSpace(text[strings.LastIndex(text, ":")+1:])
		p.Message += suggestion(word, []string{"IDEMPOTENT", "FINGERPRINTED", "SIDE_EFFECTING"})
	} else if strings.Contains(text, "unexpected EOF") {
		p.Message = "the file ends inside a block: a closing } is missing"
	}
	return p
}

func fieldNames(d protoreflect.MessageDescriptor) (all []string) {
	for i := range d.Fields().Len() {
		f := d.Fields().Get(i)
		all = append(all, string(f.Name()))
		if f.Message() != nil {
			all = append(all, fieldNames(f.Message())...)
		}
	}
	return all
}

// suggestion words the known name that is most like one not known.
func suggestion(word string, known []string) string {
	if best := ClosestName(word, known); best != "" {
		return "; did you mean " + best + "?"
	}
	return ""
}

// ClosestName is the known name that is most like one not known, or empty where none is like it.
func ClosestName(word string, known []string) string {
	closest, bestDistance := "", 1+len(word)/2
	for _, k := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(k)); d < bestDistance {
			closest, bestDistance = k, d
		}
	}
	return closest
}

// fieldLines finds on which line of a text format each field stands, by its path: operation[1].slo_ms.
func fieldLines(text string) map[string]int {
	lineOf := map[string]int{}
	type block struct {
		path  string
		count map[string]int
	}
	stack := []block{{count: map[string]int{}}}
	line, current := 1, ""
	for i := 0; i < len(text); {
		c := text[i]
		switch {
		case c == '\n':
			line++
			i++
		case c == '#':
			for i < len(text) && text[i] != '\n' {
				i++
			}
		case c == '"' || c == '\'':
			for i++; i < len(text) && text[i] != c && text[i] != '\n'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
			i++
		case c == '{' || c == '<':
			stack = append(stack, block{current, map[string]int{}})
			i++
		case c == '}' || c == '>':
			if len(stack) > 1 {
				stack = stack[:len(stack)-1]
			}
			i++
		case c >= 'a' && c <= 'z':
			start := i
			for i < len(text) && (text[i] == '_' || text[i] >= 'a' && text[i] <= 'z') {
				i++
			}
			rest := strings.TrimLeft(text[i:], " \t")
			if rest != "" && strings.IndexByte(":{<", rest[0]) >= 0 {
				top := stack[len(stack)-1]
				name := text[start:i]
				current = fmt.Sprintf("%s%s[%d]", pathPrefix(top.path), name, top.count[name])
				top.count[name]++
				lineOf[current] = line
			}
		default:
			i++
		}
	}
	return lineOf
}

func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + "."
}

// checker finds what is missing, absurd or leads nowhere.
type checker struct {
	file     string
	lines    map[string]int
	s        *Settings
	written  map[string]bool // blocks that were written at the top
	missing  []string        // blocks that are missing: one message is enough for each
	problems []Problem
}

// report notes a problem at a path such as operation[1].slo_ms; where that is not written, at what it stands in.
func (c *checker) report(code, path, format string, a ...any) {
	block, _, _ := strings.Cut(path, ".")
	if slices.Contains(c.missing, block) {
		return
	}
	c.problems = append(c.problems, Problem{c.file, c.lineOf(path), path, code, fmt.Sprintf(format, a...)})
}

func (c *checker) lineOf(path string) int {
	parts := strings.Split(path, ".")
	for i := range parts {
		if !strings.HasSuffix(parts[i], "]") {
			parts[i] += "[0]"
		}
	}
	for n := len(parts); n > 0; n-- {
		if at, ok := c.lines[strings.Join(parts[:n], ".")]; ok {
			return at
		}
	}
	return 0
}

// checkRange wants a number of a block to be between two bounds.
func (c *checker) checkRange(path string, v, lowest, highest float64, unit string) {
	if v >= lowest && v <= highest {
		return
	}
	format := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) + unit }
	if v == 0 {
		c.report("AC301", path, "missing; give it a value from %s to %s", format(lowest), format(highest))
	} else if math.IsNaN(v) || v < lowest {
		c.report("AC302", path, "%s is too little; the least is %s", format(v), format(lowest))
	} else {
		c.report("AC303", path, "%s is too much; the most is %s", format(v), format(highest))
	}
}

func (c *checker) checkAddress(path, a string) {
	if a == "" {
		c.report("AC301", path, `missing; give host and port, such as "127.0.0.1:7000"`)
	} else if host, port, err := net.SplitHostPort(a); err != nil {
		c.report("AC305", path, "%q is no host:port", a)
	} else if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.report("AC305", path, "port %q is not a number from 0 to 65535", port)
	} else if host == "" {
		c.report("AC305", path, "%q names no host; for this machine alone write 127.0.0.1:%s", a, port)
	}
}

func (c *checker) checkWord(path, v string, known ...string) {
	if !slices.Contains(known, v) {
		c.report("AC304", path, "%q is none of %s%s", v, strings.Join(known, ", "), suggestion(v, known))
	}
}

const dayMs = 24 * 3600 * 1000.0

func (c *checker) check() {
	s := c.s
	fillDefaults(s)
	c.addMissingBlocks()
	c.checkRange("instance.marshals", float64(s.Instance.Marshals), 1, 100000, "")
	if s.Instance.Cores != 0 { // left out is 1
		c.checkRange("instance.cores", float64(s.Instance.Cores), 1, 64, "")
	}
	if s.Instance.Number >= s.Instance.Marshals && s.Instance.Marshals > 0 {
		c.report("AC307", "instance.number", "%d is not among %d marshals, which count from 0", s.Instance.Number, s.Instance.Marshals)
	}
	c.checkAddress("listen.invocations", s.Listen.Invocations)
	if len(s.Zone) == 0 {
		c.report("AC301", "zone", `missing; name the data centres, one at least: zone: "here"`)
	} else if !slices.Contains(s.Zone, s.Instance.Zone) {
		c.report("AC307", "instance.zone", "%q is no zone of this file%s", s.Instance.Zone, suggestion(s.Instance.Zone, s.Zone))
	}
	c.checkOperations()
	c.checkLimits()
	c.checkListeners()
	c.checkPeers()
	c.checkPools()
	c.checkWord("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.checkWord("log.form", s.Log.Form, "text", "json")
	c.checkWord("worth_by", s.WorthBy, "request", "work")
}

// checkOverridable checks what an instance stands on; a block that is nil stands elsewhere.
func (c *checker) checkOverridable(at string, roster *Roster, conveyor *Conveyor, r *Rules, rollout *Rollout) {
	if roster != nil && roster.Address == "" && roster.File == "" {
		c.report("AC301", at+"roster.address", "missing, and there is no file with a list either")
	} else if roster != nil && roster.Address != "" {
		c.checkAddress(at+"roster.address", roster.Address)
		c.checkRange(at+"roster.reconnect_ms", roster.ReconnectMs, 1, dayMs, " ms")
		c.checkRange(at+"roster.reconnect_most_ms", roster.ReconnectMostMs, 1, dayMs, " ms")
	}
	if conveyor != nil && conveyor.Address != "" {
		c.checkAddress(at+"conveyor.address", conveyor.Address)
		c.checkRange(at+"conveyor.reconnect_ms", conveyor.ReconnectMs, 1, dayMs, " ms")
		c.checkRange(at+"conveyor.reconnect_most_ms", conveyor.ReconnectMostMs, 1, dayMs, " ms")
	}
	if r != nil {
		at := at + "rules."
		c.checkRange(at+"answer_slack_ms", r.AnswerSlackMs, 0, dayMs, " ms")
		c.checkRange(at+"grace_ms", r.GraceMs, 1, dayMs, " ms")
		c.checkRange(at+"cold_from", r.ColdFrom, 0.001, 1, "")
		c.checkRange(at+"warm_up_ms", r.WarmUpMs, 1, dayMs, " ms")
		c.checkRange(at+"fall_multiple", r.FallMultiple, 0.1, 1000, "")
		c.checkRange(at+"fall_ms", r.FallMs, 1, dayMs, " ms")
	}
	if rollout != nil {
		c.checkRollout(at+"rollout.", rollout)
	}
}

// addMissingBlocks makes sure that every block is there.
func (c *checker) addMissingBlocks() {
	m := c.s.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Kind() != protoreflect.MessageKind || f.IsList() {
			continue
		}
		// An empty block says nothing: so does one that was filled in before.
		c.written[string(f.Name())] = m.Has(f) && proto.Size(m.Get(f).Message().Interface()) > 0
		if c.written[string(f.Name())] {
			continue
		}
		m.Set(f, protoreflect.ValueOfMessage(m.NewField(f).Message()))
		switch f.Name() {
		case "rules", "rollout", "roster":
			if len(c.s.Pool) > 0 { // each pool may have its own
				continue
			}
			fallthrough
		case "instance", "listen", "limits", "times":
			c.report("AC301", string(f.Name()), "the block is missing: write %s { ... }", f.Name())
			c.missing = append(c.missing, string(f.Name()))
		}
	}
}

// fillDefaults gives what may be left out its plain meaning; docs/settings.md lists each.
func fillDefaults(s *Settings) {
	if s.Log == nil {
		s.Log = &Log{}
	}
	if s.Log.Level == "" {
		s.Log.Level = "info"
	}
	if s.Log.Form == "" {
		s.Log.Form = "text"
	}
	if s.WorthBy == "" {
		s.WorthBy = "request"
	}
	if s.Headers == nil {
		s.Headers = &Headers{}
	}
	if s.Headers.Mark == "" {
		s.Headers.Mark = "Idempotency-Key"
	}
	for _, o := range s.Operation {
		if o.BilledValue == 0 {
			o.BilledValue = 1
		}
	}
}

func (c *checker) checkOperations() {
	if len(c.s.Operation) == 0 {
		c.report("AC301", "operation", "missing; describe one at least")
	}
	seen := map[string]int{}
	for i, o := range c.s.Operation {
		at := fmt.Sprintf("operation[%d].", i)
		if o.Name == "" {
			c.report("AC301", at+"name", "missing")
		} else if before, twice := seen[o.Name]; twice {
			c.report("AC306", at+"name", "%q is the name of the operation on line %d too", o.Name, before)
		}
		seen[o.Name] = c.lineOf(at + "name")
		if len(o.Match) == 0 {
			c.report("AC301", at+"match", `missing; what calls it? match { method: "GET" path: "/..." }`)
		}
		for j, m := range o.Match {
			if !strings.HasPrefix(m.Path, "/") {
				c.report("AC308", fmt.Sprintf("%smatch[%d].path", at, j), "%q does not begin with /", m.Path)
			} else if star := strings.IndexByte(m.Path, '*'); star >= 0 && star != len(m.Path)-1 {
				c.report("AC308", fmt.Sprintf("%smatch[%d].path", at, j), "%q: * stands for the rest, at the end only", m.Path)
			}
		}
		c.checkRange(at+"slo_ms", o.SloMs, 0.1, dayMs, " ms")
		c.checkRange(at+"limit_ms", o.LimitMs, 0.1, dayMs, " ms")
		if o.LimitMs > 0 && o.LimitMs < o.SloMs {
			c.report("AC308", at+"limit_ms", "%g ms is under the SLO time of %g ms", o.LimitMs, o.SloMs)
		}
		c.checkRange(at+"billed_value", o.BilledValue, 1e-9, 1e9, "")
		switch o.Repeat {
		case Repeat_REPEAT_UNSET:
			c.report("AC301", at+"repeat", "missing; IDEMPOTENT, FINGERPRINTED or, if in doubt, SIDE_EFFECTING")
		case Repeat_FINGERPRINTED:
			c.checkWord(at+"group", o.Group, "all", "zone", "cell")
			c.checkRange(at+"memory_ms", o.MemoryMs, 1, dayMs, " ms")
		default:
			if o.Group != "" || o.MemoryMs != 0 {
				c.report("AC308", at+"group", "only a fingerprinted operation has a group and a memory")
			}
		}
	}
}

func (c *checker) checkLimits() {
	l, t := c.s.Limits, c.s.Times
	c.checkRange("limits.connections", float64(l.Connections), 1, 1e6, "")
	c.checkRange("limits.open", float64(l.Open), 1, 1e6, "")
	c.checkRange("limits.queue", float64(l.Queue), 1, 1e6, "")
	c.checkRange("limits.line_bytes", float64(l.LineBytes), 64, 1<<20, " bytes")
	c.checkRange("limits.header_bytes", float64(l.HeaderBytes), 128, 16<<20, " bytes")
	c.checkRange("limits.repeat_body_bytes", float64(l.RepeatBodyBytes), 1, 1<<30, " bytes")
	c.checkRange("limits.held_answer_bytes", float64(l.HeldAnswerBytes), 1, 1<<30, " bytes")
	c.checkRange("limits.most_tries", float64(l.MostTries), 1, 100, "")
	c.checkRange("limits.idle_per_node", float64(l.IdlePerNode), 1, 1e5, "")
	if l.Probes && !strings.HasPrefix(l.ProbePath, "/") {
		c.report("AC308", "limits.probe_path", `%q is no path; a node answers a probe at, for example, "/healthz"`, l.ProbePath)
	}
	c.checkRange("times.header_ms", t.HeaderMs, 1, dayMs, " ms")
	c.checkRange("times.body_ms", t.BodyMs, 1, dayMs, " ms")
	c.checkRange("times.write_ms", t.WriteMs, 1, dayMs, " ms")
	c.checkRange("times.idle_ms", t.IdleMs, 1, dayMs, " ms")
	c.checkRange("times.dial_ms", t.DialMs, 1, dayMs, " ms")
	c.checkRange("times.node_idle_ms", t.NodeIdleMs, 1, dayMs, " ms")
	c.checkRange("times.stop_ms", t.StopMs, 1, dayMs, " ms")
	c.checkRange("times.answer_ms", t.AnswerMs, 0, dayMs, " ms")
	for _, o := range c.s.Operation {
		if o.LimitMs > 0 && t.AnswerMs >= o.LimitMs {
			c.report("AC308", "times.answer_ms", "%g ms kept for the answer's way leave nothing of the %g ms of %s",
				t.AnswerMs, o.LimitMs, o.Name)
		}
	}
}

func (c *checker) checkPeers() {
	seen := map[uint32]bool{c.s.Instance.Number: true}
	for i, p := range c.s.Peer {
		at := fmt.Sprintf("peer[%d].", i)
		c.checkAddress(at+"address", p.Address)
		if seen[p.Number] {
			c.report("AC306", at+"number", "%d is this marshal's own number or another peer's", p.Number)
		} else if p.Number >= c.s.Instance.Marshals {
			c.report("AC307", at+"number", "%d is not among %d marshals, which count from 0", p.Number, c.s.Instance.Marshals)
		}
		seen[p.Number] = true
	}
	if len(c.s.Peer) > 0 {
		c.checkAddress("listen.peers", c.s.Listen.Peers)
	}
	if c.s.Listen.Metrics != "" {
		c.checkAddress("listen.metrics", c.s.Listen.Metrics)
	}
}

func (c *checker) checkRollout(path string, r *Rollout) {
	c.checkWord(path+"cap_scope", r.CapScope, "all", "each-operation")
	c.checkWord(path+"gate", r.Gate, "any", "count", "clock")
	c.checkRange(path+"counted_over_ms", r.CountedOverMs, 1, dayMs, " ms")
	c.checkRange(path+"vote_ttl_ms", r.VoteTtlMs, 1, dayMs, " ms")
	c.checkRange(path+"vote_timeout_ms", r.VoteTimeoutMs, 1, dayMs, " ms")
	c.checkRange(path+"votes_per_s", r.VotesPerS, 1e-3, 1e6, "")
	if r.Allowance < 0 {
		c.report("AC308", path+"allowance", "%g is under 0", r.Allowance)
	}
	if len(r.Stage) == 0 {
		c.report("AC301", path+"stage", "missing; describe the stages in order: stage { part: 0.1 cap: 0.15 }")
	}
	for i, g := range r.Stage {
		at := path + fmt.Sprintf("stage[%d].", i)
		c.checkRange(at+"part", g.Part, 1e-6, 1, "")
		c.checkRange(at+"cap", g.Cap, 1e-6, 1, "")
		if i > 0 && g.Cap < r.Stage[i-1].Cap {
			c.report("AC308", at+"cap", "%g is under the %g of the stage before", g.Cap, r.Stage[i-1].Cap)
		}
	}
	if int(r.Shielded) > len(r.Stage) {
		c.report("AC308", path+"shielded", "%d, but there are %d stages", r.Shielded, len(r.Stage))
	}
}

// Copy is a copy that shares nothing.
func (x *Settings) Copy() *Settings { return proto.Clone(x).(*Settings) }
