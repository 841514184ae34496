package lang

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// Reader gives the text of a file; os.ReadFile where files are files.
type Reader func(path string) ([]byte, error)

// Load reads a file with all that it includes, and compiles it. All that is wrong comes in the order of the files;
// settings are given where none of it is more than a warning.
func Load(path string, read Reader) (*settings.Settings, []*Diagnostic) {
	c := newCompiler(read)
	c.include(path, nil, nil)
	if len(c.found) == 0 && len(c.all) == 0 {
		c.say(c.place(""), "AC009", "the file says nothing: it is empty, or holds only comments", "docs/language.md begins with the shortest file that runs")
	}
	if len(c.found) == 0 {
		c.names()
		c.block(c.all, top, c.out.ProtoReflect(), "", scope{})
	}
	if len(c.found) == 0 {
		c.meaning()
	}
	slices.SortStableFunc(c.found, func(a, b *Diagnostic) int {
		return cmp.Or(cmp.Compare(c.order[a.File], c.order[b.File]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if slices.ContainsFunc(c.found, func(d *Diagnostic) bool { return !d.Warning }) {
		return nil, c.found
	}
	return c.out, c.found
}

// Compile compiles a text that includes nothing from elsewhere but by read.
func Compile(name string, text []byte) (*settings.Settings, []*Diagnostic) {
	return Load(name, func(path string) ([]byte, error) {
		if path == name {
			return text, nil
		}
		return nil, os.ErrNotExist
	})
}

func newCompiler(read Reader) *compiler {
	return &compiler{read: read, out: &settings.Settings{}, order: map[string]int{}, at: map[string]place{}, sources: map[string]*source{},
		lets: map[string]*definition{}, defines: map[string]*definition{}}
}

type compiler struct {
	read    Reader
	out     *settings.Settings
	all     []placed // the statements of all files, in order
	order   map[string]int
	sources map[string]*source
	lets    map[string]*definition
	defines map[string]*definition
	at      map[string]place // where each setting of the inner form was written, by its path
	found   []*Diagnostic
}

// placed is a statement with the file that it stands in.
type placed struct {
	*statement
	in *source
}

type place struct {
	in  *source
	pos lexer.Position
}

type definition struct {
	placed
	params []string
	busy   bool // being looked up: a cycle comes back here
	used   bool
}

// scope is what the parameters of a used block stand for.
type scope struct {
	params map[string]word
	depth  int
}

// word is a value, with its place, after named values have been put in.
type word struct {
	text   string
	quoted bool
	at     place
}

func (c *compiler) say(at place, code, what, fix string) {
	c.found = append(c.found, at.in.at(at.pos.Line, at.pos.Column, code, what, fix))
}

// include reads a file and what it includes.
func (c *compiler) include(path string, by *place, chain []string) {
	from := []string{}
	if by != nil {
		from = append([]string{fmt.Sprintf("%s:%d", by.in.name, by.pos.Line)}, by.in.from...)
	}
	real, err := filepath.EvalSymlinks(path)
	if err != nil {
		real = path
	}
	if slices.Contains(chain, real) {
		c.say(*by, "AC101", "this include comes back to "+path+", which leads here", "remove one of the includes of the loop")
		return
	}
	if before := c.sources[real]; before != nil {
		c.say(*by, "AC102", path+" is included twice", "remove this include; the first is at "+strings.Join(before.from[:min(1, len(before.from))], ""))
		return
	}
	text, err := c.read(path)
	if err != nil {
		if by == nil {
			c.found = append(c.found, &Diagnostic{File: path, Line: 1, Column: 1, Code: "AC103", What: "can't be read: " + reason(err),
				Fix: "look at the name and its rights"})
		} else {
			c.say(*by, "AC103", path+" can't be read: "+reason(err), "look at the name, which starts from the folder of this file, and its rights")
		}
		return
	}
	c.order[path] = len(c.order)
	s, bad := parse(path, text)
	s.from = from
	c.sources[real] = s
	if bad != nil {
		bad.From = from
		c.found = append(c.found, bad)
		return
	}
	for _, it := range s.tree.Items {
		if it.Stmt == nil {
			continue
		}
		st := placed{it.Stmt, s}
		if st.Name != "include" {
			c.all = append(c.all, st)
			continue
		}
		here := place{s, st.Pos}
		if len(st.Values) != 1 || st.Values[0].Var != "" || st.Block != nil {
			c.say(here, "AC104", "include takes one file or pattern", `write include "pools/*.cleat"`)
			continue
		}
		name := st.Values[0].Word
		if name == "" {
			name = unquote(st.Values[0].Text)
		}
		if !filepath.IsAbs(name) {
			name = filepath.Join(filepath.Dir(path), name)
		}
		files := []string{name}
		if strings.ContainsAny(name, "*?[") {
			if files, err = filepath.Glob(name); err != nil || len(files) == 0 {
				c.say(here, "AC103", "no file matches "+name, "look at the pattern, which starts from the folder of this file")
				continue
			}
			slices.Sort(files)
		}
		for _, f := range files {
			c.include(f, &here, append(slices.Clone(chain), real))
		}
	}
}

func reason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// names collects named values and blocks of all files: where they stand does not matter.
func (c *compiler) names() {
	var rest []placed
	for _, st := range c.all {
		into, what := c.lets, "let"
		switch st.Name {
		case "let":
		case "define":
			into, what = c.defines, "define"
		default:
			rest = append(rest, st)
			continue
		}
		here := place{st.in, st.Pos}
		if len(st.Values) == 0 || st.Values[0].Word == "" || !letter(st.Values[0].Word[0]) || what == "let" && (len(st.Values) < 2 || st.Block != nil) ||
			what == "define" && st.Block == nil {
			c.say(here, "AC105", what+" is not complete", map[string]string{"let": "write let NAME VALUE", "define": "write define NAME PARAMETER... { ... }"}[what])
			continue
		}
		name := st.Values[0].Word
		if before := into[name]; before != nil {
			c.say(place{st.in, st.Values[0].Pos}, "AC106", name+" is defined already", fmt.Sprintf("the other definition is at %s:%d", before.in.name, before.Pos.Line))
			continue
		}
		d := &definition{placed: st}
		if what == "define" {
			for _, v := range st.Values[1:] {
				if v.Word == "" || !letter(v.Word[0]) || slices.Contains(d.params, v.Word) {
					c.say(place{st.in, v.Pos}, "AC105", "a parameter is a name, each another", "write define NAME PARAMETER... { ... }")
					continue
				}
				d.params = append(d.params, v.Word)
			}
		}
		into[name] = d
	}
	c.all = rest
}

// words puts named values in.
func (c *compiler) words(in *source, values []*value, sc scope) (all []word, ok bool) {
	ok = true
	for _, v := range values {
		at := place{in, v.Pos}
		switch {
		case v.Var == "" && v.Word != "":
			all = append(all, word{v.Word, false, at})
		case v.Var == "":
			all = append(all, word{unquote(v.Text), true, at})
		default:
			name := v.Var[1:]
			if w, param := sc.params[name]; param {
				all = append(all, word{w.text, w.quoted, at})
				continue
			}
			d := c.lets[name]
			if d == nil {
				known := keys(c.lets)
				for p := range sc.params {
					known = append(known, p)
				}
				c.say(at, "AC107", "no value is named "+name, c.near(name, known, "define it: let "+name+" VALUE"))
				ok = false
				continue
			}
			if d.busy {
				c.say(at, "AC108", "the value "+name+" is defined by itself", fmt.Sprintf("give the let at %s:%d a value of its own", d.in.name, d.Pos.Line))
				ok = false
				continue
			}
			d.busy = true
			more, fine := c.words(d.in, d.Values[1:], scope{})
			d.busy, d.used = false, true
			for i := range more {
				more[i].at = at
			}
			all, ok = append(all, more...), ok && fine
		}
	}
	return all, ok
}

func keys(m map[string]*definition) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// near words the likely fix for a name that is not known.
func (c *compiler) near(name string, known []string, otherwise string) string {
	slices.Sort(known)
	if best := settings.ClosestName(name, known); best != "" {
		return "did you mean " + best + "?"
	}
	return otherwise
}

// block sets the fields of a message from statements.
func (c *compiler) block(stmts []placed, l *level, m protoreflect.Message, path string, sc scope) {
	for _, st := range stmts {
		here := place{st.in, st.Pos}
		if st.Name == "use" {
			c.use(st, l, m, path, sc)
			continue
		}
		s := l.by[st.Name]
		if s == nil && st.Name == "include" {
			c.say(here, "AC104", "include stands outside of blocks", "move it there; define and use bring lines into a block")
			continue
		}
		if s == nil {
			other := "here stand " + strings.Join(l.names, ", ")
			if l == top {
				other = "at the top stand let, define, include, " + strings.Join(l.names, ", ")
			}
			c.say(here, "AC201", "no setting is called "+st.Name+" here", c.near(st.Name, append(slices.Clone(l.names), "let", "define", "include", "use"), other))
			continue
		}
		values, ok := c.words(st.in, st.Values, sc)
		if !ok {
			continue
		}
		at := path + string(s.field.Name())
		if s.kind == aBlock {
			c.message(st, s, values, m, at, sc)
			continue
		}
		if st.Block != nil {
			c.say(place{st.in, st.Block.Pos}, "AC202", st.Name+" takes no block", "write "+st.Name+" "+example(s))
			continue
		}
		if s.field.IsList() {
			if len(values) == 0 {
				c.say(here, "AC203", st.Name+" has no value", "write "+st.Name+" NAME...")
			}
			for _, v := range values {
				list := m.Mutable(s.field).List()
				if x, ok := c.value(s, v); ok {
					c.at[fmt.Sprintf("%s[%d]", at, list.Len())] = v.at
					list.Append(x)
				}
			}
			continue
		}
		if before, twice := c.at[at+"[0]"]; twice {
			c.say(here, "AC204", st.Name+" is set already", fmt.Sprintf("the other one is at %s:%d", before.in.name, before.pos.Line))
			continue
		}
		if len(values) != 1 {
			like := example(s)
			if len(values) == 2 && slices.ContainsFunc(units[s.kind], func(u unit) bool { return u.name == values[1].text }) {
				like = values[0].text + values[1].text // a space before the unit
			}
			c.say(here, "AC203", fmt.Sprintf("%s takes one value, not %d", st.Name, len(values)), "write "+st.Name+" "+like)
			continue
		}
		c.at[at+"[0]"] = values[0].at
		if x, ok := c.value(s, values[0]); ok {
			m.Set(s.field, x)
		}
	}
}

func example(s *setting) string {
	if s.kind == aWord {
		return strings.Join(words(s.field.Enum()), " or ")
	}
	return says[s.kind][1]
}

// message sets a block: with a label, in one line, or plain.
func (c *compiler) message(st placed, s *setting, values []word, m protoreflect.Message, at string, sc scope) {
	here := place{st.in, st.Pos}
	var sub protoreflect.Message
	index := 0
	if s.field.IsList() {
		list := m.Mutable(s.field).List()
		index = list.Len()
		sub = list.AppendMutable().Message()
	} else {
		sub = m.Mutable(s.field).Message()
	}
	at = fmt.Sprintf("%s[%d]", at, index)
	if !s.field.IsList() {
		if before, twice := c.at[at]; twice {
			c.say(here, "AC204", st.Name+" is set already", fmt.Sprintf("the other one is at %s:%d", before.in.name, before.pos.Line))
			return
		}
	}
	c.at[at] = here
	l := levels[s.field.Message().FullName()]
	if s.line != nil {
		c.oneLine(st, s, values, sub, at)
		return
	}
	if s.label != nil {
		if len(values) != 1 {
			c.say(here, "AC203", fmt.Sprintf("%s takes one name, not %d", st.Name, len(values)), "write "+st.Name+" NAME { ... }")
			return
		}
		if x, ok := c.value(&setting{kind: kindOf(l.message, s.label), field: s.label, name: st.Name}, values[0]); ok {
			sub.Set(s.label, x)
			c.at[at+"."+string(s.label.Name())+"[0]"] = values[0].at
		}
	} else if len(values) > 0 {
		c.say(values[0].at, "AC203", st.Name+" takes no value of its own", "put it in the block: "+st.Name+" { ... }")
		return
	}
	if st.Block == nil {
		c.say(here, "AC202", st.Name+" has no block", "write "+st.Name+" { ... }")
		return
	}
	c.block(c.inside(st.in, st.Block), l, sub, at+".", sc)
}

func (c *compiler) inside(in *source, b *block) (all []placed) {
	for _, it := range b.Items {
		if it.Stmt != nil {
			all = append(all, placed{it.Stmt, in})
		}
	}
	return all
}

// oneLine sets a block that is written as the values of one line.
func (c *compiler) oneLine(st placed, s *setting, values []word, sub protoreflect.Message, at string) {
	here := place{st.in, st.Pos}
	usage := st.Name
	fixed := 0
	for _, p := range s.line {
		switch {
		case p.word != "":
			usage += " " + p.word
		case p.may:
			usage += " [" + strings.ToUpper(string(p.field.Name())) + "]"
			fixed--
		default:
			usage += " " + strings.ToUpper(string(p.field.Name()))
		}
		fixed++
	}
	if st.Block != nil || len(values) < fixed || len(values) > len(s.line) {
		c.say(here, "AC203", st.Name+" is written in one line, with other values than these", "write "+usage)
		return
	}
	skip := len(s.line) - len(values)
	for _, p := range s.line {
		if p.may && skip > 0 {
			skip--
			continue
		}
		v := values[0]
		values = values[1:]
		if p.word != "" {
			if v.text != p.word {
				c.say(v.at, "AC203", "here stands "+p.word, "write "+usage)
				return
			}
			continue
		}
		l := levels[s.field.Message().FullName()]
		c.at[at+"."+string(p.field.Name())+"[0]"] = v.at
		if x, ok := c.value(&setting{name: string(p.field.Name()), kind: kindOf(l.message, p.field), field: p.field}, v); ok {
			sub.Set(p.field, x)
		}
	}
}

const mostUses = 20 // blocks used by blocks

// use puts the statements of a defined block in the place of the use.
func (c *compiler) use(st placed, l *level, m protoreflect.Message, path string, sc scope) {
	here := place{st.in, st.Pos}
	values, ok := c.words(st.in, st.Values, sc)
	if !ok {
		return
	}
	if len(values) == 0 || st.Block != nil {
		c.say(here, "AC105", "use is not complete", "write use NAME VALUE...")
		return
	}
	d := c.defines[values[0].text]
	if d == nil {
		c.say(values[0].at, "AC107", "no block is defined as "+values[0].text, c.near(values[0].text, keys(c.defines), "define it: define "+values[0].text+" { ... }"))
		return
	}
	if len(values)-1 != len(d.params) {
		c.say(here, "AC109", fmt.Sprintf("%s takes %d values, not %d", values[0].text, len(d.params), len(values)-1),
			strings.TrimSpace("write use "+values[0].text+" "+strings.ToUpper(strings.Join(d.params, " "))))
		return
	}
	if sc.depth >= mostUses || d.busy {
		c.say(here, "AC108", "the block "+values[0].text+" uses itself", "remove this use")
		return
	}
	d.busy, d.used = true, true
	inner := scope{params: map[string]word{}, depth: sc.depth + 1}
	for i, p := range d.params {
		inner.params[p] = values[i+1]
	}
	c.block(c.inside(d.in, d.Block), l, m, path, inner)
	d.busy = false
}

// value reads a value as its setting wants it. A unit is part of a figure.
func (c *compiler) value(s *setting, v word) (x protoreflect.Value, ok bool) {
	bad := func(code, what, fix string) (protoreflect.Value, bool) {
		c.say(v.at, code, what, fix)
		return x, false
	}
	switch s.kind {
	case aText:
		return protoreflect.ValueOfString(v.text), true
	case aFlag:
		if v.text != "on" && v.text != "off" {
			return bad("AC205", s.name+" is on or off, not "+v.text, "write "+s.name+" on")
		}
		return protoreflect.ValueOfBool(v.text == "on"), true
	case aWord:
		all := words(s.field.Enum())
		if !slices.Contains(all, v.text) {
			return bad("AC205", s.name+" is none of its words: "+v.text, c.near(v.text, all, "write "+strings.Join(all, " or ")))
		}
		e := s.field.Enum().Values().ByName(protoreflect.Name(strings.ToUpper(strings.ReplaceAll(v.text, "-", "_"))))
		return protoreflect.ValueOfEnum(e.Number()), true
	}
	figure := strings.TrimRight(v.text, "%/abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	n, err := strconv.ParseFloat(figure, 64)
	suffix := v.text[len(figure):]
	if err != nil || v.quoted || math.IsInf(n, 0) || strings.ContainsAny(figure, "_xX") {
		return bad("AC206", s.name+" is "+says[s.kind][0]+", not "+v.text, "write "+s.name+" "+says[s.kind][1])
	}
	if list := units[s.kind]; list != nil {
		i := slices.IndexFunc(list, func(u unit) bool { return u.name == suffix })
		if i < 0 {
			return bad(unitCode(suffix), unitWhat(s, v.text, suffix), unitFix(s.kind, figure, suffix))
		}
		if n = scale(figure, list[i]); s.kind == aShare && (n < 0 || n > 1) {
			return bad("AC209", s.name+" is a share: from 0% to 100%, not "+v.text, "write "+s.name+" 100% for all")
		}
	} else if suffix != "" {
		return bad("AC208", s.name+" is "+says[s.kind][0]+" without a unit, not "+v.text, "write "+s.name+" "+figure)
	}
	switch s.field.Kind() {
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(n), true
	case protoreflect.Uint64Kind:
		whole, err := strconv.ParseUint(figure, 10, 64)
		if s.kind == aSize {
			whole, err = uint64(n), nil
		}
		if err != nil || n < 0 {
			return bad("AC206", s.name+" is a whole number, not "+v.text, "write "+s.name+" 3")
		}
		return protoreflect.ValueOfUint64(whole), true
	}
	if n != math.Trunc(n) || n < 0 || n > math.MaxUint32 {
		return bad("AC206", s.name+" is a whole number from 0 on, not "+v.text, "write "+s.name+" "+strconv.Itoa(int(min(max(1, math.Abs(n)), 1e9))))
	}
	return protoreflect.ValueOfUint32(uint32(n)), true
}

// scale brings a figure to the inner form's unit.
func scale(figure string, u unit) float64 {
	n, err := strconv.ParseFloat(figure+u.ten, 64)
	if err != nil { // it has a power of ten of its own
		n, _ = strconv.ParseFloat(figure, 64)
		ten, _ := strconv.ParseFloat("1"+u.ten, 64)
		n *= ten
	}
	return n * u.times / u.by
}

func unitCode(suffix string) string {
	if suffix == "" {
		return "AC207"
	}
	return "AC208"
}

func unitWhat(s *setting, text, suffix string) string {
	if suffix == "" {
		return s.name + " is " + says[s.kind][0] + " and has no unit: " + text
	}
	if suffix == "m" && s.kind == aTime {
		return s.name + ": m may be minutes or milliseconds"
	}
	return s.name + " is " + says[s.kind][0] + "; " + suffix + " is no unit of that"
}

func unitFix(k kind, figure, suffix string) string {
	for _, u := range units[k] {
		if strings.EqualFold(u.name, suffix) && suffix != "M" {
			return "write " + figure + u.name
		}
	}
	switch {
	case k == aTime && suffix == "m":
		return "write " + figure + "min or " + figure + "ms"
	case k == aTime:
		return "write " + figure + "s for seconds or " + figure + "ms for milliseconds"
	case k == aShare:
		if n, err := strconv.ParseFloat(figure, 64); err == nil && n < 1 && suffix == "" {
			return "write " + strconv.FormatFloat(n*100, 'g', 6, 64) + "%"
		}
		return "write " + figure + "%"
	case k == aRate:
		return "write " + figure + "/s"
	}
	return "write " + figure + "KiB, " + figure + "MiB or " + figure + "B"
}

// meaning checks what each value alone can't show, and finds the places of what is wrong.
func (c *compiler) meaning() {
	for _, p := range settings.Check(c.out) {
		at := c.place(p.Path)
		what, fix, _ := strings.Cut(p.Message, "; ")
		name := spoken(p.Path)
		switch last := name[strings.LastIndex(name, " ")+1:]; { // the fix in the words of the language
		case what == "missing" && at.in != nil && c.written(p.Path): // written as 0
			what = "0 is too little"
		case strings.HasPrefix(what, "the block is missing"):
			what, fix = "the block is missing", "write "+last+" { ... }"
		case p.Code == "AC301" && last == "zones":
			fix = "name the data centres: write zones NAME..."
		case p.Code == "AC301" && last == "match":
			fix = "what calls it? write match GET /path, or match /path/* for any method and all below"
		case p.Code == "AC301" && last == "stage":
			fix = "describe the stages in order: write stage 10% cap 15%"
		case p.Code == "AC301" && last == "repeat":
			fix = "write repeat idempotent, repeat fingerprinted or, if in doubt, repeat side-effecting"
		case p.Code == "AC307" && strings.HasPrefix(fix, "describe it"):
			fix = "describe it: write pool NAME { roster { ... } }"
		case p.Code == "AC301" && strings.HasSuffix(what, "at the top: write "+last+" { ... }"), strings.Contains(what, "here and at the top"):
			what, fix = "the block is missing, here and at the top", "write "+last+" { ... }"
		case p.Code == "AC306" && !strings.HasPrefix(p.Path, "operation"):
		case p.Code == "AC306" && strings.HasSuffix(p.Path, ".name"):
			what, fix = "another operation has this name", c.otherName(p.Path)
		}
		c.say(at, p.Code, name+": "+what, fix)
	}
	c.unused()
	c.shadows()
	c.rules()
}

// unused finds what is defined and used nowhere; a value that leads nowhere is wrong all the same.
func (c *compiler) unused() {
	for _, m := range []map[string]*definition{c.lets, c.defines} {
		for _, name := range keys(m) {
			d := m[name]
			if d.used {
				continue
			}
			if fine := true; d.Block == nil {
				if _, fine = c.words(d.in, d.Values[1:], scope{}); !fine {
					continue
				}
			}
			c.warn(place{d.in, d.Pos}, "AC110", name+" is defined and used nowhere", "remove it")
		}
	}
}

// otherName finds the operation before one that has its name.
func (c *compiler) otherName(path string) string {
	var i int
	fmt.Sscanf(path, "operation[%d]", &i)
	for j := range i {
		if c.out.Operation[j].Name == c.out.Operation[i].Name {
			at := c.place(fmt.Sprintf("operation[%d].name", j))
			return fmt.Sprintf("the other one is at %s:%d", at.in.name, at.pos.Line)
		}
	}
	return ""
}

func (c *compiler) warn(at place, code, what, fix string) {
	c.say(at, code, what, fix)
	c.found[len(c.found)-1].Warning = true
}

// shadows finds matches that come too late: all they match an earlier one has.
func (c *compiler) shadows() {
	type seen struct {
		*settings.Match
		op string
		on []string
	}
	var before []seen
	for i, o := range c.out.Operation {
		for j, m := range o.Match {
			for _, b := range before {
				prefix, star := strings.CutSuffix(b.Path, "*")
				if !together(b.on, o.Listener) {
					continue
				}
				if (b.Method == "" || b.Method == m.Method) && (b.Path == m.Path || star && strings.HasPrefix(m.Path, prefix)) {
					c.warn(c.place(fmt.Sprintf("operation[%d].match[%d].path", i, j)), "AC401",
						o.Name+" can't be reached by "+strings.TrimSpace(m.Method+" "+m.Path)+": "+b.op+" matches it first", "put it before "+b.op)
					break
				}
			}
			before = append(before, seen{m, o.Name, o.Listener})
		}
	}
}

// together says that what is kept to the first listeners takes all that comes to the others.
func together(first, others []string) bool {
	if len(first) == 0 {
		return true
	}
	return len(others) > 0 && !slices.ContainsFunc(others, func(l string) bool { return !slices.Contains(first, l) })
}

// rules finds settings under which a rule could not be kept, or an operation not be repeated as it says.
func (c *compiler) rules() {
	r := c.out.Rollout
	for i, o := range c.out.Operation {
		at := func(name string) place { return c.place(fmt.Sprintf("operation[%d].%s", i, name)) }
		if o.Repeat == settings.Repeat_FINGERPRINTED && o.MemoryMs > 0 && o.MemoryMs < o.LimitMs {
			c.warn(at("memory_ms"), "AC402", fmt.Sprintf("%s: nodes remember a repeat for %s, less than its time limit of %s", o.Name,
				spell(aTime, o.MemoryMs), spell(aTime, o.LimitMs)), "what fails after that can't be sent again")
		}
	}
	for i, of := range c.out.PoolSettings() {
		at := "rollout"
		if len(c.out.Pool) > 0 && c.out.Pool[i].Rollout != nil {
			at = fmt.Sprintf("pool[%d].rollout", i)
		}
		for _, o := range of.Operation {
			if o.Repeat != settings.Repeat_IDEMPOTENT && of.Rollout.Shielded == 0 && !c.written(at+"[0].shielded") {
				c.warn(c.place(at), "AC405", o.Name+" has an effect and may go to a build in its first stage",
					"write shielded 1 to keep it out, or shielded 0 to say that it is meant")
				break
			}
		}
	}
	if len(r.Stage) > 0 && r.Allowance < 1 && r.Stage[0].Cap*r.CountedOverMs < 1 {
		c.warn(c.place("rollout.allowance"), "AC403", "with no allowance and so small a first cap a build may never get an invocation", "write allowance 1")
	}
	if c.out.Times.DialMs >= c.out.Rules.GraceMs && c.out.Rules.GraceMs > 0 {
		c.warn(c.place("times.dial_ms"), "AC403", fmt.Sprintf("a connection may open %s after a dispatch, later than the grace of %s for nodes that drain",
			spell(aTime, c.out.Times.DialMs), spell(aTime, c.out.Rules.GraceMs)), "write a dial time under the grace")
	}
}

// place finds where a setting of the inner form was written, or what it should stand in.
func (c *compiler) place(path string) place {
	parts := strings.Split(path, ".")
	for i := range parts {
		if !strings.HasSuffix(parts[i], "]") {
			parts[i] += "[0]"
		}
	}
	for n := len(parts); n > 0; n-- {
		if at, ok := c.at[strings.Join(parts[:n], ".")]; ok {
			return at
		}
	}
	for _, s := range c.sources {
		if c.order[s.name] == 0 {
			return place{s, lexer.Position{Line: 1, Column: 1}}
		}
	}
	return place{&source{}, lexer.Position{Line: 1, Column: 1}}
}

// written says that a setting itself was written, not only what it stands in.
func (c *compiler) written(path string) bool {
	_, ok := c.at[path+"[0]"]
	return ok
}

// spoken gives a path of the inner form in the words of the language: operation 2, slo-time.
func spoken(path string) string {
	l, out := top, []string{}
	for part := range strings.SplitSeq(path, ".") {
		name, rest, _ := strings.Cut(part, "[")
		index, _ := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		word := name
		for _, s := range l.by {
			if string(s.field.Name()) == name {
				word = s.name
				if s.field.IsList() && rest != "" {
					word += " " + strconv.Itoa(index+1)
				}
				if s.kind == aBlock {
					l = levels[s.field.Message().FullName()]
				}
				break
			}
		}
		out = append(out, word)
	}
	return strings.Join(out, ", ")
}
