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

// ReadFunc gives the text of a file; os.ReadFile where files are files.
type ReadFunc func(path string) ([]byte, error)

// Load reads a file with all that it includes, and compiles it. All that is wrong comes in the order of the files;
// settings are given where none of it is more than a warning.
func Load(path string, read ReadFunc) (*settings.Settings, []*Diagnostic) {
	c := newCompiler(read)
	c.include(path, nil, nil)
	if len(c.diagnostics) == 0 && len(c.statements) == 0 {
		c.report(c.locate(""), "AC009", "the file says nothing: it is empty, or holds only comments", "docs/language.md begins with the shortest file that runs")
	}
	if len(c.diagnostics) == 0 {
		c.collectDefinitions()
		c.setFields(c.statements, rootSchema, c.out.ProtoReflect(), "", scope{})
	}
	if len(c.diagnostics) == 0 {
		c.checkSettings()
	}
	slices.SortStableFunc(c.diagnostics, func(a, b *Diagnostic) int {
		return cmp.Or(cmp.Compare(c.fileOrder[a.File], c.fileOrder[b.File]), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if slices.ContainsFunc(c.diagnostics, func(d *Diagnostic) bool { return !d.Warning }) {
		return nil, c.diagnostics
	}
	return c.out, c.diagnostics
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

func newCompiler(read ReadFunc) *compiler {
	return &compiler{read: read, out: &settings.Settings{}, fileOrder: map[string]int{}, locations: map[string]location{}, sources: map[string]*source{},
		lets: map[string]*definition{}, defines: map[string]*definition{}}
}

type compiler struct {
	read        ReadFunc
	out         *settings.Settings
	statements  []fileStatement // the statements of all files, in order
	fileOrder   map[string]int
	sources     map[string]*source
	lets        map[string]*definition
	defines     map[string]*definition
	locations   map[string]location // where each setting of the inner form was written, by its path
	diagnostics []*Diagnostic
}

// fileStatement is a statement with the file that it stands in.
type fileStatement struct {
	*statement
	source *source
}

type location struct {
	source *source
	pos    lexer.Position
}

type definition struct {
	fileStatement
	params    []string
	resolving bool // being looked up: a cycle comes back here
	used      bool
}

// scope is what the parameters of a used block stand for.
type scope struct {
	params map[string]resolvedValue
	depth  int
}

// resolvedValue is a value, with its place, after named values have been put in.
type resolvedValue struct {
	text   string
	quoted bool
	at     location
}

func (c *compiler) report(at location, code, what, fix string) {
	c.diagnostics = append(c.diagnostics, at.source.diagnostic(at.pos.Line, at.pos.Column, code, what, fix))
}

// include reads a file and what it includes.
func (c *compiler) include(path string, includedBy *location, chain []string) {
	includedFrom := []string{}
	if includedBy != nil {
		includedFrom = append([]string{fmt.Sprintf("%s:%d", includedBy.source.name, includedBy.pos.Line)}, includedBy.source.includedFrom...)
	}
	real, err := filepath.EvalSymlinks(path)
	if err != nil {
		real = path
	}
	if slices.Contains(chain, real) {
		c.report(*includedBy, "AC101", "this include comes back to "+path+", which leads here", "remove one of the includes of the loop")
		return
	}
	if earlier := c.sources[real]; earlier != nil {
		c.report(*includedBy, "AC102", path+" is included twice", "remove this include; the first is at "+strings.Join(earlier.includedFrom[:min(1, len(earlier.includedFrom))], ""))
		return
	}
	text, err := c.read(path)
	if err != nil {
		if includedBy == nil {
			c.diagnostics = append(c.diagnostics, &Diagnostic{File: path, Line: 1, Column: 1, Code: "AC103", Message: "can't be read: " + errorReason(err),
				Fix: "look at the name and its rights"})
		} else {
			c.report(*includedBy, "AC103", path+" can't be read: "+errorReason(err), "look at the name, which starts from the folder of this file, and its rights")
		}
		return
	}
	c.fileOrder[path] = len(c.fileOrder)
	src, syntaxErr := parse(path, text)
	src.includedFrom = includedFrom
	c.sources[real] = src
	if syntaxErr != nil {
		syntaxErr.IncludedFrom = includedFrom
		c.diagnostics = append(c.diagnostics, syntaxErr)
		return
	}
	for _, it := range src.tree.Items {
		if it.Stmt == nil {
			continue
		}
		st := fileStatement{it.Stmt, src}
		if st.Name != "include" {
			c.statements = append(c.statements, st)
			continue
		}
		here := location{src, st.Pos}
		if len(st.Values) != 1 || st.Values[0].Var != "" || st.Block != nil {
			c.report(here, "AC104", "include takes one file or pattern", `write include "pools/*.cleat"`)
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
				c.report(here, "AC103", "no file matches "+name, "look at the pattern, which starts from the folder of this file")
				continue
			}
			slices.Sort(files)
		}
		for _, f := range files {
			c.include(f, &here, append(slices.Clone(chain), real))
		}
	}
}

func errorReason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// collectDefinitions collects named values and blocks of all files: where they stand does not matter.
func (c *compiler) collectDefinitions() {
	var settingStatements []fileStatement
	for _, st := range c.statements {
		definitions, keyword := c.lets, "let"
		switch st.Name {
		case "let":
		case "define":
			definitions, keyword = c.defines, "define"
		default:
			settingStatements = append(settingStatements, st)
			continue
		}
		here := location{st.source, st.Pos}
		if len(st.Values) == 0 || st.Values[0].Word == "" || !isLetter(st.Values[0].Word[0]) || keyword == "let" && (len(st.Values) < 2 || st.Block != nil) ||
			keyword == "define" && st.Block == nil {
			c.report(here, "AC105", keyword+" is not complete", map[string]string{"let": "write let NAME VALUE", "define": "write define NAME PARAMETER... { ... }"}[keyword])
			continue
		}
		name := st.Values[0].Word
		if earlier := definitions[name]; earlier != nil {
			c.report(location{st.source, st.Values[0].Pos}, "AC106", name+" is defined already", fmt.Sprintf("the other definition is at %s:%d", earlier.source.name, earlier.Pos.Line))
			continue
		}
		d := &definition{fileStatement: st}
		if keyword == "define" {
			for _, v := range st.Values[1:] {
				if v.Word == "" || !isLetter(v.Word[0]) || slices.Contains(d.params, v.Word) {
					c.report(location{st.source, v.Pos}, "AC105", "a parameter is a name, each another", "write define NAME PARAMETER... { ... }")
					continue
				}
				d.params = append(d.params, v.Word)
			}
		}
		definitions[name] = d
	}
	c.statements = settingStatements
}

// resolveValues puts named values in.
func (c *compiler) resolveValues(src *source, values []*value, sc scope) (all []resolvedValue, ok bool) {
	ok = true
	for _, v := range values {
		at := location{src, v.Pos}
		switch {
		case v.Var == "" && v.Word != "":
			all = append(all, resolvedValue{v.Word, false, at})
		case v.Var == "":
			all = append(all, resolvedValue{unquote(v.Text), true, at})
		default:
			name := v.Var[1:]
			if w, param := sc.params[name]; param {
				all = append(all, resolvedValue{w.text, w.quoted, at})
				continue
			}
			d := c.lets[name]
			if d == nil {
				known := definedNames(c.lets)
				for p := range sc.params {
					known = append(known, p)
				}
				c.report(at, "AC107", "no value is named "+name, c.suggest(name, known, "define it: let "+name+" VALUE"))
				ok = false
				continue
			}
			if d.resolving {
				c.report(at, "AC108", "the value "+name+" is defined by itself", fmt.Sprintf("give the let at %s:%d a value of its own", d.source.name, d.Pos.Line))
				ok = false
				continue
			}
			d.resolving = true
			resolved, resolvedOK := c.resolveValues(d.source, d.Values[1:], scope{})
			d.resolving, d.used = false, true
			for i := range resolved {
				resolved[i].at = at
			}
			all, ok = append(all, resolved...), ok && resolvedOK
		}
	}
	return all, ok
}

func definedNames(m map[string]*definition) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// suggest words the likely fix for a name that is not known.
func (c *compiler) suggest(name string, known []string, otherwise string) string {
	slices.Sort(known)
	if best := settings.Nearest(name, known); best != "" {
		return "did you mean " + best + "?"
	}
	return otherwise
}

// setFields sets the fields of a message from statements.
func (c *compiler) setFields(stmts []fileStatement, schema *blockSchema, m protoreflect.Message, path string, sc scope) {
	for _, st := range stmts {
		here := location{st.source, st.Pos}
		if st.Name == "use" {
			c.expandUse(st, schema, m, path, sc)
			continue
		}
		s := schema.byName[st.Name]
		if s == nil && st.Name == "include" {
			c.report(here, "AC104", "include stands outside of blocks", "move it there; define and use bring lines into a block")
			continue
		}
		if s == nil {
			other := "here stand " + strings.Join(schema.names, ", ")
			if schema == rootSchema {
				other = "at the top stand let, define, include, " + strings.Join(schema.names, ", ")
			}
			c.report(here, "AC201", "no setting is called "+st.Name+" here", c.suggest(st.Name, append(slices.Clone(schema.names), "let", "define", "include", "use"), other))
			continue
		}
		values, ok := c.resolveValues(st.source, st.Values, sc)
		if !ok {
			continue
		}
		fieldPath := path + string(s.field.Name())
		if s.kind == kindBlock {
			c.setBlock(st, s, values, m, fieldPath, sc)
			continue
		}
		if st.Block != nil {
			c.report(location{st.source, st.Block.Pos}, "AC202", st.Name+" takes no block", "write "+st.Name+" "+example(s))
			continue
		}
		if s.field.IsList() {
			if len(values) == 0 {
				c.report(here, "AC203", st.Name+" has no value", "write "+st.Name+" NAME...")
			}
			for _, v := range values {
				list := m.Mutable(s.field).List()
				if x, ok := c.parseValue(s, v); ok {
					c.locations[fmt.Sprintf("%s[%d]", fieldPath, list.Len())] = v.at
					list.Append(x)
				}
			}
			continue
		}
		if before, twice := c.locations[fieldPath+"[0]"]; twice {
			c.report(here, "AC204", st.Name+" is set already", fmt.Sprintf("the other one is at %s:%d", before.source.name, before.pos.Line))
			continue
		}
		if len(values) != 1 {
			like := example(s)
			if len(values) == 2 && slices.ContainsFunc(units[s.kind], func(u unit) bool { return u.name == values[1].text }) {
				like = values[0].text + values[1].text // a space before the unit
			}
			c.report(here, "AC203", fmt.Sprintf("%s takes one value, not %d", st.Name, len(values)), "write "+st.Name+" "+like)
			continue
		}
		c.locations[fieldPath+"[0]"] = values[0].at
		if x, ok := c.parseValue(s, values[0]); ok {
			m.Set(s.field, x)
		}
	}
}

func example(s *setting) string {
	if s.kind == kindEnum {
		return strings.Join(enumNames(s.field.Enum()), " or ")
	}
	return kindDescriptions[s.kind][1]
}

// setBlock sets a block: with a label, in one line, or plain.
func (c *compiler) setBlock(st fileStatement, s *setting, values []resolvedValue, m protoreflect.Message, path string, sc scope) {
	here := location{st.source, st.Pos}
	var sub protoreflect.Message
	index := 0
	if s.field.IsList() {
		list := m.Mutable(s.field).List()
		index = list.Len()
		sub = list.AppendMutable().Message()
	} else {
		sub = m.Mutable(s.field).Message()
	}
	path = fmt.Sprintf("%s[%d]", path, index)
	if !s.field.IsList() {
		if before, twice := c.locations[path]; twice {
			c.report(here, "AC204", st.Name+" is set already", fmt.Sprintf("the other one is at %s:%d", before.source.name, before.pos.Line))
			return
		}
	}
	c.locations[path] = here
	schema := schemas[s.field.Message().FullName()]
	if s.lineElements != nil {
		c.setOneLineBlock(st, s, values, sub, path)
		return
	}
	if s.labelField != nil {
		if len(values) != 1 {
			c.report(here, "AC203", fmt.Sprintf("%s takes one name, not %d", st.Name, len(values)), "write "+st.Name+" NAME { ... }")
			return
		}
		if x, ok := c.parseValue(&setting{kind: kindOf(schema.message, s.labelField), field: s.labelField, name: st.Name}, values[0]); ok {
			sub.Set(s.labelField, x)
			c.locations[path+"."+string(s.labelField.Name())+"[0]"] = values[0].at
		}
	} else if len(values) > 0 {
		c.report(values[0].at, "AC203", st.Name+" takes no value of its own", "put it in the block: "+st.Name+" { ... }")
		return
	}
	if st.Block == nil {
		c.report(here, "AC202", st.Name+" has no block", "write "+st.Name+" { ... }")
		return
	}
	c.setFields(c.statementsIn(st.source, st.Block), schema, sub, path+".", sc)
}

func (c *compiler) statementsIn(src *source, b *block) (all []fileStatement) {
	for _, it := range b.Items {
		if it.Stmt != nil {
			all = append(all, fileStatement{it.Stmt, src})
		}
	}
	return all
}

// setOneLineBlock sets a block that is written as the values of one line.
func (c *compiler) setOneLineBlock(st fileStatement, s *setting, values []resolvedValue, sub protoreflect.Message, path string) {
	here := location{st.source, st.Pos}
	usage := st.Name
	required := 0
	for _, p := range s.lineElements {
		switch {
		case p.keyword != "":
			usage += " " + p.keyword
		case p.optional:
			usage += " [" + strings.ToUpper(string(p.field.Name())) + "]"
			required--
		default:
			usage += " " + strings.ToUpper(string(p.field.Name()))
		}
		required++
	}
	if st.Block != nil || len(values) < required || len(values) > len(s.lineElements) {
		c.report(here, "AC203", st.Name+" is written in one line, with other values than these", "write "+usage)
		return
	}
	omitted := len(s.lineElements) - len(values)
	for _, p := range s.lineElements {
		if p.optional && omitted > 0 {
			omitted--
			continue
		}
		v := values[0]
		values = values[1:]
		if p.keyword != "" {
			if v.text != p.keyword {
				c.report(v.at, "AC203", "here stands "+p.keyword, "write "+usage)
				return
			}
			continue
		}
		schema := schemas[s.field.Message().FullName()]
		c.locations[path+"."+string(p.field.Name())+"[0]"] = v.at
		if x, ok := c.parseValue(&setting{name: string(p.field.Name()), kind: kindOf(schema.message, p.field), field: p.field}, v); ok {
			sub.Set(p.field, x)
		}
	}
}

const maxUseDepth = 20 // blocks used by blocks

// expandUse puts the statements of a defined block in the place of the expandUse.
func (c *compiler) expandUse(st fileStatement, schema *blockSchema, m protoreflect.Message, path string, sc scope) {
	here := location{st.source, st.Pos}
	values, ok := c.resolveValues(st.source, st.Values, sc)
	if !ok {
		return
	}
	if len(values) == 0 || st.Block != nil {
		c.report(here, "AC105", "use is not complete", "write use NAME VALUE...")
		return
	}
	d := c.defines[values[0].text]
	if d == nil {
		c.report(values[0].at, "AC107", "no block is defined as "+values[0].text, c.suggest(values[0].text, definedNames(c.defines), "define it: define "+values[0].text+" { ... }"))
		return
	}
	if len(values)-1 != len(d.params) {
		c.report(here, "AC109", fmt.Sprintf("%s takes %d values, not %d", values[0].text, len(d.params), len(values)-1),
			strings.TrimSpace("write use "+values[0].text+" "+strings.ToUpper(strings.Join(d.params, " "))))
		return
	}
	if sc.depth >= maxUseDepth || d.resolving {
		c.report(here, "AC108", "the block "+values[0].text+" uses itself", "remove this use")
		return
	}
	d.resolving, d.used = true, true
	inner := scope{params: map[string]resolvedValue{}, depth: sc.depth + 1}
	for i, p := range d.params {
		inner.params[p] = values[i+1]
	}
	c.setFields(c.statementsIn(d.source, d.Block), schema, m, path, inner)
	d.resolving = false
}

// parseValue reads a parseValue as its setting wants it. A unit is part of a figure.
func (c *compiler) parseValue(s *setting, v resolvedValue) (x protoreflect.Value, ok bool) {
	fail := func(code, what, fix string) (protoreflect.Value, bool) {
		c.report(v.at, code, what, fix)
		return x, false
	}
	switch s.kind {
	case kindText:
		return protoreflect.ValueOfString(v.text), true
	case kindFlag:
		if v.text != "on" && v.text != "off" {
			return fail("AC205", s.name+" is on or off, not "+v.text, "write "+s.name+" on")
		}
		return protoreflect.ValueOfBool(v.text == "on"), true
	case kindEnum:
		all := enumNames(s.field.Enum())
		if !slices.Contains(all, v.text) {
			return fail("AC205", s.name+" is none of its words: "+v.text, c.suggest(v.text, all, "write "+strings.Join(all, " or ")))
		}
		e := s.field.Enum().Values().ByName(protoreflect.Name(strings.ToUpper(strings.ReplaceAll(v.text, "-", "_"))))
		return protoreflect.ValueOfEnum(e.Number()), true
	}
	number := strings.TrimRight(v.text, "%/abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	n, err := strconv.ParseFloat(number, 64)
	suffix := v.text[len(number):]
	if err != nil || v.quoted || math.IsInf(n, 0) || strings.ContainsAny(number, "_xX") {
		return fail("AC206", s.name+" is "+kindDescriptions[s.kind][0]+", not "+v.text, "write "+s.name+" "+kindDescriptions[s.kind][1])
	}
	if list := units[s.kind]; list != nil {
		i := slices.IndexFunc(list, func(u unit) bool { return u.name == suffix })
		if i < 0 {
			return fail(unitCode(suffix), unitMessage(s, v.text, suffix), unitFix(s.kind, number, suffix))
		}
		if n = toBaseUnit(number, list[i]); s.kind == kindShare && (n < 0 || n > 1) {
			return fail("AC209", s.name+" is a share: from 0% to 100%, not "+v.text, "write "+s.name+" 100% for all")
		}
	} else if suffix != "" {
		return fail("AC208", s.name+" is "+kindDescriptions[s.kind][0]+" without a unit, not "+v.text, "write "+s.name+" "+number)
	}
	switch s.field.Kind() {
	case protoreflect.DoubleKind:
		return protoreflect.ValueOfFloat64(n), true
	case protoreflect.Uint64Kind:
		whole, err := strconv.ParseUint(number, 10, 64)
		if s.kind == kindSize {
			whole, err = uint64(n), nil
		}
		if err != nil || n < 0 {
			return fail("AC206", s.name+" is a whole number, not "+v.text, "write "+s.name+" 3")
		}
		return protoreflect.ValueOfUint64(whole), true
	}
	if n != math.Trunc(n) || n < 0 || n > math.MaxUint32 {
		return fail("AC206", s.name+" is a whole number from 0 on, not "+v.text, "write "+s.name+" "+strconv.Itoa(int(min(max(1, math.Abs(n)), 1e9))))
	}
	return protoreflect.ValueOfUint32(uint32(n)), true
}

// toBaseUnit brings a figure to the inner form's unit.
func toBaseUnit(number string, u unit) float64 {
	n, err := strconv.ParseFloat(number+u.exponent, 64)
	if err != nil { // it has a power of ten of its own
		n, _ = strconv.ParseFloat(number, 64)
		ten, _ := strconv.ParseFloat("1"+u.exponent, 64)
		n *= ten
	}
	return n * u.factor / u.divisor
}

func unitCode(suffix string) string {
	if suffix == "" {
		return "AC207"
	}
	return "AC208"
}

func unitMessage(s *setting, text, suffix string) string {
	if suffix == "" {
		return s.name + " is " + kindDescriptions[s.kind][0] + " and has no unit: " + text
	}
	if suffix == "m" && s.kind == kindTime {
		return s.name + ": m may be minutes or milliseconds"
	}
	return s.name + " is " + kindDescriptions[s.kind][0] + "; " + suffix + " is no unit of that"
}

func unitFix(k kind, number, suffix string) string {
	for _, u := range units[k] {
		if strings.EqualFold(u.name, suffix) && suffix != "M" {
			return "write " + number + u.name
		}
	}
	switch {
	case k == kindTime && suffix == "m":
		return "write " + number + "min or " + number + "ms"
	case k == kindTime:
		return "write " + number + "s for seconds or " + number + "ms for milliseconds"
	case k == kindShare:
		if n, err := strconv.ParseFloat(number, 64); err == nil && n < 1 && suffix == "" {
			return "write " + strconv.FormatFloat(n*100, 'g', 6, 64) + "%"
		}
		return "write " + number + "%"
	case k == kindRate:
		return "write " + number + "/s"
	}
	return "write " + number + "KiB, " + number + "MiB or " + number + "B"
}

// checkSettings checks what each value alone can't show, and finds the places of what is wrong.
func (c *compiler) checkSettings() {
	for _, p := range settings.Check(c.out) {
		at := c.locate(p.Path)
		what, fix, _ := strings.Cut(p.What, "; ")
		name := displayName(p.Path)
		switch last := name[strings.LastIndex(name, " ")+1:]; { // the fix in the words of the language
		case what == "missing" && at.source != nil && c.isWritten(p.Path): // written as 0
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
			what, fix = "another operation has this name", c.locateSameName(p.Path)
		}
		c.report(at, p.Code, name+": "+what, fix)
	}
	c.warnUnused()
	c.warnShadowedMatches()
	c.warnRules()
}

// warnUnused finds what is defined and used nowhere; a value that leads nowhere is wrong all the same.
func (c *compiler) warnUnused() {
	for _, m := range []map[string]*definition{c.lets, c.defines} {
		for _, name := range definedNames(m) {
			d := m[name]
			if d.used {
				continue
			}
			if fine := true; d.Block == nil {
				if _, fine = c.resolveValues(d.source, d.Values[1:], scope{}); !fine {
					continue
				}
			}
			c.warn(location{d.source, d.Pos}, "AC110", name+" is defined and used nowhere", "remove it")
		}
	}
}

// locateSameName finds the operation before one that has its name.
func (c *compiler) locateSameName(path string) string {
	var i int
	fmt.Sscanf(path, "operation[%d]", &i)
	for j := range i {
		if c.out.Operation[j].Name == c.out.Operation[i].Name {
			at := c.locate(fmt.Sprintf("operation[%d].name", j))
			return fmt.Sprintf("the other one is at %s:%d", at.source.name, at.pos.Line)
		}
	}
	return ""
}

func (c *compiler) warn(at location, code, what, fix string) {
	c.report(at, code, what, fix)
	c.diagnostics[len(c.diagnostics)-1].Warning = true
}

// warnShadowedMatches finds matches that come too late: all they match an earlier one has.
func (c *compiler) warnShadowedMatches() {
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
				if !coversListeners(b.on, o.Listener) {
					continue
				}
				if (b.Method == "" || b.Method == m.Method) && (b.Path == m.Path || star && strings.HasPrefix(m.Path, prefix)) {
					c.warn(c.locate(fmt.Sprintf("operation[%d].match[%d].path", i, j)), "AC401",
						o.Name+" can't be reached by "+strings.TrimSpace(m.Method+" "+m.Path)+": "+b.op+" matches it first", "put it before "+b.op)
					break
				}
			}
			before = append(before, seen{m, o.Name, o.Listener})
		}
	}
}

// coversListeners says that what is kept to the first listeners takes all that comes to the others.
func coversListeners(earlier, later []string) bool {
	if len(earlier) == 0 {
		return true
	}
	return len(later) > 0 && !slices.ContainsFunc(later, func(l string) bool { return !slices.Contains(earlier, l) })
}

// warnRules finds settings under which a rule could not be kept, or an operation not be repeated as it says.
func (c *compiler) warnRules() {
	r := c.out.Rollout
	for i, o := range c.out.Operation {
		at := func(name string) location { return c.locate(fmt.Sprintf("operation[%d].%s", i, name)) }
		if o.Repeat == settings.Repeat_FINGERPRINTED && o.MemoryMs > 0 && o.MemoryMs < o.LimitMs {
			c.warn(at("memory_ms"), "AC402", fmt.Sprintf("%s: nodes remember a repeat for %s, less than its time limit of %s", o.Name,
				formatQuantity(kindTime, o.MemoryMs), formatQuantity(kindTime, o.LimitMs)), "what fails after that can't be sent again")
		}
	}
	for i, of := range c.out.Pools() {
		at := "rollout"
		if len(c.out.Pool) > 0 && c.out.Pool[i].Rollout != nil {
			at = fmt.Sprintf("pool[%d].rollout", i)
		}
		for _, o := range of.Operation {
			if o.Repeat != settings.Repeat_IDEMPOTENT && of.Rollout.Shielded == 0 && !c.isWritten(at+"[0].shielded") {
				c.warn(c.locate(at), "AC405", o.Name+" has an effect and may go to a build in its first stage",
					"write shielded 1 to keep it out, or shielded 0 to say that it is meant")
				break
			}
		}
	}
	if len(r.Stage) > 0 && r.Allowance < 1 && r.Stage[0].Cap*r.CountedOverMs < 1 {
		c.warn(c.locate("rollout.allowance"), "AC403", "with no allowance and so small a first cap a build may never get an invocation", "write allowance 1")
	}
	if c.out.Times.DialMs >= c.out.Rules.GraceMs && c.out.Rules.GraceMs > 0 {
		c.warn(c.locate("times.dial_ms"), "AC403", fmt.Sprintf("a connection may open %s after a dispatch, later than the grace of %s for nodes that drain",
			formatQuantity(kindTime, c.out.Times.DialMs), formatQuantity(kindTime, c.out.Rules.GraceMs)), "write a dial time under the grace")
	}
}

// locate finds where a setting of the inner form was written, or what it should stand in.
func (c *compiler) locate(path string) location {
	parts := strings.Split(path, ".")
	for i := range parts {
		if !strings.HasSuffix(parts[i], "]") {
			parts[i] += "[0]"
		}
	}
	for n := len(parts); n > 0; n-- {
		if at, ok := c.locations[strings.Join(parts[:n], ".")]; ok {
			return at
		}
	}
	for _, s := range c.sources {
		if c.fileOrder[s.name] == 0 {
			return location{s, lexer.Position{Line: 1, Column: 1}}
		}
	}
	return location{&source{}, lexer.Position{Line: 1, Column: 1}}
}

// isWritten says that a setting itself was isWritten, not only what it stands in.
func (c *compiler) isWritten(path string) bool {
	_, ok := c.locations[path+"[0]"]
	return ok
}

// displayName gives a path of the inner form in the words of the language: operation 2, slo-time.
func displayName(path string) string {
	l, out := rootSchema, []string{}
	for part := range strings.SplitSeq(path, ".") {
		name, rest, _ := strings.Cut(part, "[")
		index, _ := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		word := name
		for _, s := range l.byName {
			if string(s.field.Name()) == name {
				word = s.name
				if s.field.IsList() && rest != "" {
					word += " " + strconv.Itoa(index+1)
				}
				if s.kind == kindBlock {
					l = schemas[s.field.Message().FullName()]
				}
				break
			}
		}
		out = append(out, word)
	}
	return strings.Join(out, ", ")
}
