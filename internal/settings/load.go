// Package settings defines the settings of a marshal: it reads and checks them, and converts them to the map that the
// decision module takes. docs/settings.md describes each setting.
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

// Problem is one error in a settings file.
type Problem struct {
	File    string
	Line    int    // 0 if the problem concerns the whole file
	Path    string // path of the setting, such as operation[1].slo_ms; empty if the file could not be parsed
	Code    string // stable code; docs/language.md lists them
	Message string // does not include the path
}

// Error returns file, line, path and message in one line.
func (p Problem) Error() string {
	text := p.Message
	if p.Path != "" {
		text = strings.TrimSuffix(p.Path, "[0]") + ": " + text
	}
	if p.Line == 0 {
		return p.File + ": " + text
	}
	return fmt.Sprintf("%s:%d: %s", p.File, p.Line, text)
}

// Load reads and checks a file in protobuf text format and resolves the file names in it. The error joins one Problem
// for each error found, in the order of lines.
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

// ResolvePaths makes relative file names in the settings relative to dir.
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

// Parse reads and checks settings in protobuf text format; name is the file name used in problems.
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

// Check fills in defaults and returns what is missing, out of range or refers to something undefined. The settings may
// come from any source; their problems have no file and no line.
func Check(s *Settings) []Problem {
	c := &checker{s: s, written: map[string]bool{}}
	c.check()
	return c.problems
}

// Text returns the settings in the format that Parse reads.
func (x *Settings) Text() []byte {
	b, err := prototext.MarshalOptions{Multiline: true}.Marshal(x)
	if err != nil {
		panic(err) // only a message of an invalid type can't be written
	}
	return b
}

var (
	linePattern         = regexp.MustCompile(`\(line (\d+):(\d+)\)`)
	unknownFieldPattern = regexp.MustCompile(`unknown field: (\S+)`)
)

// syntaxProblem converts an error of the prototext parser to a Problem, and suggests the closest known name for an
// unknown field or enum value.
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

// fieldNames returns the names of all fields of a message type and of the types of its fields.
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

// suggestion returns the text that suggests the known name closest to word, or an empty string if there is none.
func suggestion(word string, known []string) string {
	if name := ClosestName(word, known); name != "" {
		return "; did you mean " + name + "?"
	}
	return ""
}

// ClosestName returns the known name with the smallest edit distance to word, ignoring case, or an empty string if none
// is within half of the length of word.
func ClosestName(word string, known []string) string {
	closest, bestDistance := "", 1+len(word)/2
	for _, name := range known {
		if d := levenshtein.ComputeDistance(strings.ToLower(word), strings.ToLower(name)); d < bestDistance {
			closest, bestDistance = name, d
		}
	}
	return closest
}

// fieldLines returns the line of each field in a protobuf text, by path, such as operation[1].slo_ms[0].
func fieldLines(text string) map[string]int {
	lineOf := map[string]int{}
	type block struct {
		path  string
		count map[string]int // fields so far, by name
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
				parent := stack[len(stack)-1]
				name := text[start:i]
				current = fmt.Sprintf("%s%s[%d]", pathPrefix(parent.path), name, parent.count[name])
				parent.count[name]++
				lineOf[current] = line
			}
		default:
			i++
		}
	}
	return lineOf
}

// pathPrefix returns what precedes the name of a field in a block of this path.
func pathPrefix(path string) string {
	if path == "" {
		return ""
	}
	return path + "."
}

// checker collects the problems of one settings file.
type checker struct {
	file     string
	lines    map[string]int // line of each field, by path
	s        *Settings
	written  map[string]bool // top-level blocks that the file contains
	missing  []string        // missing blocks; problems inside them are not reported
	problems []Problem
}

// report adds a problem at a path such as operation[1].slo_ms.
func (c *checker) report(code, path, format string, args ...any) {
	block, _, _ := strings.Cut(path, ".")
	if slices.Contains(c.missing, block) {
		return
	}
	c.problems = append(c.problems, Problem{c.file, c.lineOf(path), path, code, fmt.Sprintf(format, args...)})
}

// lineOf returns the line of a path or, if the setting is not written, of the closest enclosing block; 0 if there is none.
func (c *checker) lineOf(path string) int {
	parts := strings.Split(path, ".")
	for i := range parts {
		if !strings.HasSuffix(parts[i], "]") {
			parts[i] += "[0]"
		}
	}
	for n := len(parts); n > 0; n-- {
		if line, ok := c.lines[strings.Join(parts[:n], ".")]; ok {
			return line
		}
	}
	return 0
}

// checkRange reports a number that is missing (0) or outside of its bounds, which are valid values themselves.
func (c *checker) checkRange(path string, v, lowest, highest float64, unit string) {
	if v >= lowest && v <= highest {
		return
	}
	format := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) + unit }
	if v == 0 {
		c.report("AC301", path, "missing; give it a value from %s to %s", format(lowest), format(highest))
	} else if math.IsNaN(v) || v < lowest {
		c.report("AC302", path, "%s is too small; the minimum is %s", format(v), format(lowest))
	} else {
		c.report("AC303", path, "%s is too large; the maximum is %s", format(v), format(highest))
	}
}

// checkAddress reports an address that is not host:port with a host and a valid port.
func (c *checker) checkAddress(path, address string) {
	if address == "" {
		c.report("AC301", path, `missing; give host and port, such as "127.0.0.1:7000"`)
	} else if host, port, err := net.SplitHostPort(address); err != nil {
		c.report("AC305", path, "%q is not of the form host:port", address)
	} else if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		c.report("AC305", path, "port %q is not a number from 0 to 65535", port)
	} else if host == "" {
		c.report("AC305", path, "%q has no host; for this machine only, write 127.0.0.1:%s", address, port)
	}
}

// checkWord reports a value that is not one of the known words.
func (c *checker) checkWord(path, word string, known ...string) {
	if !slices.Contains(known, word) {
		c.report("AC304", path, "%q is not one of %s%s", word, strings.Join(known, ", "), suggestion(word, known))
	}
}

// dayMs is the upper bound of all times.
const dayMs = 24 * 3600 * 1000.0

// check fills in defaults and missing blocks, and checks all settings.
func (c *checker) check() {
	s := c.s
	fillDefaults(s)
	c.addMissingBlocks()
	c.checkRange("instance.marshals", float64(s.Instance.Marshals), 1, 100000, "")
	if s.Instance.Cores != 0 { // 0 means 1
		c.checkRange("instance.cores", float64(s.Instance.Cores), 1, 64, "")
	}
	if s.Instance.Number >= s.Instance.Marshals && s.Instance.Marshals > 0 {
		c.report("AC307", "instance.number", "%d is out of range: %d marshals are numbered from 0",
			s.Instance.Number, s.Instance.Marshals)
	}
	c.checkAddress("listen.invocations", s.Listen.Invocations)
	if len(s.Zone) == 0 {
		c.report("AC301", "zone", `missing; name at least one data centre: zone: "here"`)
	} else if !slices.Contains(s.Zone, s.Instance.Zone) {
		c.report("AC307", "instance.zone", "%q is not a zone of this file%s", s.Instance.Zone, suggestion(s.Instance.Zone, s.Zone))
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

// checkOverridable checks the blocks that a pool may have of its own. A nil block is not checked. prefix is empty, or
// the path of the pool with a dot.
func (c *checker) checkOverridable(prefix string, registry *Roster, rolloutService *Conveyor, r *Rules, rollout *Rollout) {
	if registry != nil && registry.Address == "" && registry.File == "" {
		c.report("AC301", prefix+"roster.address", "missing, and there is no file with a list either")
	} else if registry != nil && registry.Address != "" {
		c.checkAddress(prefix+"roster.address", registry.Address)
		c.checkRange(prefix+"roster.reconnect_ms", registry.ReconnectMs, 1, dayMs, " ms")
		c.checkRange(prefix+"roster.reconnect_most_ms", registry.ReconnectMostMs, 1, dayMs, " ms")
	}
	if rolloutService != nil && rolloutService.Address != "" {
		c.checkAddress(prefix+"conveyor.address", rolloutService.Address)
		c.checkRange(prefix+"conveyor.reconnect_ms", rolloutService.ReconnectMs, 1, dayMs, " ms")
		c.checkRange(prefix+"conveyor.reconnect_most_ms", rolloutService.ReconnectMostMs, 1, dayMs, " ms")
	}
	if r != nil {
		at := prefix + "rules."
		c.checkRange(at+"answer_slack_ms", r.AnswerSlackMs, 0, dayMs, " ms")
		c.checkRange(at+"grace_ms", r.GraceMs, 1, dayMs, " ms")
		c.checkRange(at+"cold_from", r.ColdFrom, 0.001, 1, "")
		c.checkRange(at+"warm_up_ms", r.WarmUpMs, 1, dayMs, " ms")
		c.checkRange(at+"fall_multiple", r.FallMultiple, 0.1, 1000, "")
		c.checkRange(at+"fall_ms", r.FallMs, 1, dayMs, " ms")
	}
	if rollout != nil {
		c.checkRollout(prefix+"rollout.", rollout)
	}
}

// addMissingBlocks adds an empty block for each top-level block that is missing, and reports those that are required.
func (c *checker) addMissingBlocks() {
	m := c.s.ProtoReflect()
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if f.Kind() != protoreflect.MessageKind || f.IsList() {
			continue
		}
		// An empty block counts as missing, like one that an earlier check added.
		c.written[string(f.Name())] = m.Has(f) && proto.Size(m.Get(f).Message().Interface()) > 0
		if c.written[string(f.Name())] {
			continue
		}
		m.Set(f, protoreflect.ValueOfMessage(m.NewField(f).Message()))
		switch f.Name() {
		case "rules", "rollout", "roster":
			if len(c.s.Pool) > 0 { // checkPools reports it for each pool without its own
				continue
			}
			fallthrough
		case "instance", "listen", "limits", "times":
			c.report("AC301", string(f.Name()), "the block is missing: write %s { ... }", f.Name())
			c.missing = append(c.missing, string(f.Name()))
		}
	}
}

// fillDefaults sets the defaults of optional settings; docs/settings.md lists them.
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

// checkOperations checks the operations and their matches.
func (c *checker) checkOperations() {
	if len(c.s.Operation) == 0 {
		c.report("AC301", "operation", "missing; describe at least one")
	}
	lineByName := map[string]int{}
	for i, o := range c.s.Operation {
		at := fmt.Sprintf("operation[%d].", i)
		if o.Name == "" {
			c.report("AC301", at+"name", "missing")
		} else if line, exists := lineByName[o.Name]; exists {
			c.report("AC306", at+"name", "%q is also the name of the operation on line %d", o.Name, line)
		}
		lineByName[o.Name] = c.lineOf(at + "name")
		if len(o.Match) == 0 {
			c.report("AC301", at+"match", `missing; specify which requests it matches: match { method: "GET" path: "/..." }`)
		}
		for j, m := range o.Match {
			if !strings.HasPrefix(m.Path, "/") {
				c.report("AC308", fmt.Sprintf("%smatch[%d].path", at, j), "%q does not begin with /", m.Path)
			} else if star := strings.IndexByte(m.Path, '*'); star >= 0 && star != len(m.Path)-1 {
				c.report("AC308", fmt.Sprintf("%smatch[%d].path", at, j), "%q: * is allowed only at the end", m.Path)
			}
		}
		c.checkRange(at+"slo_ms", o.SloMs, 0.1, dayMs, " ms")
		c.checkRange(at+"limit_ms", o.LimitMs, 0.1, dayMs, " ms")
		if o.LimitMs > 0 && o.LimitMs < o.SloMs {
			c.report("AC308", at+"limit_ms", "%g ms is below the SLO time of %g ms", o.LimitMs, o.SloMs)
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

// checkLimits checks the blocks limits and times.
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
		c.report("AC308", "limits.probe_path", `%q is not a path; a node answers probes at, for example, "/healthz"`, l.ProbePath)
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
			c.report("AC308", "times.answer_ms", "%g ms reserved for the answer's way to the client leave nothing of the %g ms of %s",
				t.AnswerMs, o.LimitMs, o.Name)
		}
	}
}

// checkPeers checks the peers and the addresses of listen for peers and metrics.
func (c *checker) checkPeers() {
	seen := map[uint32]bool{c.s.Instance.Number: true}
	for i, p := range c.s.Peer {
		at := fmt.Sprintf("peer[%d].", i)
		c.checkAddress(at+"address", p.Address)
		if seen[p.Number] {
			c.report("AC306", at+"number", "%d is already the number of this marshal or of another peer", p.Number)
		} else if p.Number >= c.s.Instance.Marshals {
			c.report("AC307", at+"number", "%d is out of range: %d marshals are numbered from 0", p.Number, c.s.Instance.Marshals)
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

// checkRollout checks a rollout block; path ends with a dot.
func (c *checker) checkRollout(path string, r *Rollout) {
	c.checkWord(path+"cap_scope", r.CapScope, "all", "each-operation")
	c.checkWord(path+"gate", r.Gate, "any", "count", "clock")
	c.checkRange(path+"counted_over_ms", r.CountedOverMs, 1, dayMs, " ms")
	c.checkRange(path+"vote_ttl_ms", r.VoteTtlMs, 1, dayMs, " ms")
	c.checkRange(path+"vote_timeout_ms", r.VoteTimeoutMs, 1, dayMs, " ms")
	c.checkRange(path+"votes_per_s", r.VotesPerS, 1e-3, 1e6, "")
	if r.Allowance < 0 {
		c.report("AC308", path+"allowance", "%g is negative", r.Allowance)
	}
	if len(r.Stage) == 0 {
		c.report("AC301", path+"stage", "missing; describe the stages in order: stage { part: 0.1 cap: 0.15 }")
	}
	for i, stage := range r.Stage {
		at := path + fmt.Sprintf("stage[%d].", i)
		c.checkRange(at+"part", stage.Part, 1e-6, 1, "")
		c.checkRange(at+"cap", stage.Cap, 1e-6, 1, "")
		if i > 0 && stage.Cap < r.Stage[i-1].Cap {
			c.report("AC308", at+"cap", "%g is below the %g of the previous stage", stage.Cap, r.Stage[i-1].Cap)
		}
	}
	if int(r.Shielded) > len(r.Stage) {
		c.report("AC308", path+"shielded", "%d, but there are %d stages", r.Shielded, len(r.Stage))
	}
}

// Copy returns a deep copy.
func (x *Settings) Copy() *Settings { return proto.Clone(x).(*Settings) }
