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

// ReadFunc returns the content of a file, for example os.ReadFile.
type ReadFunc func(path string) ([]byte, error)

// Load reads a file and the files that it includes, and compiles them. Diagnostics are sorted by file, in the order in
// which the files were read, then by line and column. The settings are nil if any diagnostic is more than a warning.
func Load(path string, read ReadFunc) (*settings.Settings, []*Diagnostic) {
	c := newCompiler(read)
	c.include(path, nil, nil)
	if len(c.diagnostics) == 0 && len(c.statements) == 0 {
		c.report(c.locate(""), "AC009", "the file contains no settings: it is empty or has only comments",
			"docs/language.md begins with the shortest working file")
	}
	if len(c.diagnostics) == 0 {
		c.collectDefinitions()
		c.setFields(c.statements, rootSchema, c.out.ProtoReflect(), "", scope{})
	}
	if len(c.diagnostics) == 0 {
		c.checkSettings()
	}
	slices.SortStableFunc(c.diagnostics, func(a, b *Diagnostic) int {
		return cmp.Or(cmp.Compare(c.fileOrder[a.File], c.fileOrder[b.File]),
			cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	if slices.ContainsFunc(c.diagnostics, func(d *Diagnostic) bool { return !d.Warning }) {
		return nil, c.diagnostics
	}
	return c.out, c.diagnostics
}

// Compile compiles a single text. Including another file is an error.
func Compile(name string, text []byte) (*settings.Settings, []*Diagnostic) {
	return Load(name, func(path string) ([]byte, error) {
		if path == name {
			return text, nil
		}
		return nil, os.ErrNotExist
	})
}

// newCompiler returns a compiler that reads files with read.
func newCompiler(read ReadFunc) *compiler {
	return &compiler{read: read, out: &settings.Settings{}, fileOrder: map[string]int{},
		locations: map[string]location{}, sources: map[string]*source{},
		lets: map[string]*definition{}, defines: map[string]*definition{}}
}

// compiler holds the state of compiling one file and the files that it includes.
type compiler struct {
	read        ReadFunc
	out         *settings.Settings
	statements  []fileStatement    // of all files, in order, without the includes
	fileOrder   map[string]int     // by path, from 0
	sources     map[string]*source // by path with symbolic links resolved
	lets        map[string]*definition
	defines     map[string]*definition
	locations   map[string]location // where each field was written, by its path: operation[1].slo_ms[0]
	diagnostics []*Diagnostic
}

// fileStatement is a statement and the file that contains it.
type fileStatement struct {
	*statement
	source *source
}

// location is a position in a file.
type location struct {
	source *source
	pos    lexer.Position
}

// definition is a value defined by let, or a block defined by define.
type definition struct {
	fileStatement
	params    []string
	resolving bool // while it is being expanded; reaching it again means a cycle
	used      bool
}

// scope holds the parameters of the defined block that is being expanded.
type scope struct {
	params map[string]resolvedValue
	depth  int // of nested uses
}

// resolvedValue is a value after named values and parameters have been replaced.
type resolvedValue struct {
	text   string
	quoted bool
	at     location
}

// report adds an error.
func (c *compiler) report(at location, code, message, fix string) {
	c.diagnostics = append(c.diagnostics, at.source.diagnostic(at.pos.Line, at.pos.Column, code, message, fix))
}

// include reads a file and the files that it includes. includedBy is the location of the include, nil for the first
// file; chain is the files on the way to it.
func (c *compiler) include(path string, includedBy *location, chain []string) {
	includedFrom := []string{}
	if includedBy != nil {
		includedFrom = append([]string{fmt.Sprintf("%s:%d", includedBy.source.name, includedBy.pos.Line)},
			includedBy.source.includedFrom...)
	}
	realPath, err := filepath.EvalSymlinks(path)
	if err != nil {
		realPath = path
	}
	if slices.Contains(chain, realPath) {
		c.report(*includedBy, "AC101", "include cycle: "+path+" includes this file, directly or through other files",
			"remove one of the includes of the cycle")
		return
	}
	if earlier := c.sources[realPath]; earlier != nil {
		c.report(*includedBy, "AC102", path+" is included twice",
			"remove this include; the first is at "+strings.Join(earlier.includedFrom[:min(1, len(earlier.includedFrom))], ""))
		return
	}
	text, err := c.read(path)
	if err != nil {
		if includedBy == nil {
			c.diagnostics = append(c.diagnostics, &Diagnostic{File: path, Line: 1, Column: 1, Code: "AC103",
				Message: "can't be read: " + errorReason(err), Fix: "check the name and the permissions of the file"})
		} else {
			c.report(*includedBy, "AC103", path+" can't be read: "+errorReason(err),
				"check the name, which is relative to the folder of this file, and the permissions")
		}
		return
	}
	c.fileOrder[path] = len(c.fileOrder)
	src, syntaxErr := parse(path, text)
	src.includedFrom = includedFrom
	c.sources[realPath] = src
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
				c.report(here, "AC103", "no file matches "+name, "check the pattern, which is relative to the folder of this file")
				continue
			}
			slices.Sort(files)
		}
		for _, f := range files {
			c.include(f, &here, append(slices.Clone(chain), realPath))
		}
	}
}

// errorReason returns the text of an error without the path, which the message already names.
func errorReason(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// collectDefinitions collects the named values and blocks of all files and removes them from the statements. A name may
// be used before its definition.
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
		if len(st.Values) == 0 || st.Values[0].Word == "" || !isLetter(st.Values[0].Word[0]) ||
			keyword == "let" && (len(st.Values) < 2 || st.Block != nil) || keyword == "define" && st.Block == nil {
			c.report(here, "AC105", keyword+" is malformed", map[string]string{"let": "write let NAME VALUE",
				"define": "write define NAME PARAMETER... { ... }"}[keyword])
			continue
		}
		name := st.Values[0].Word
		if earlier := definitions[name]; earlier != nil {
			c.report(location{st.source, st.Values[0].Pos}, "AC106", name+" is already defined",
				fmt.Sprintf("the other definition is at %s:%d", earlier.source.name, earlier.Pos.Line))
			continue
		}
		d := &definition{fileStatement: st}
		if keyword == "define" {
			for _, v := range st.Values[1:] {
				if v.Word == "" || !isLetter(v.Word[0]) || slices.Contains(d.params, v.Word) {
					c.report(location{st.source, v.Pos}, "AC105", "parameters must be distinct names", "write define NAME PARAMETER... { ... }")
					continue
				}
				d.params = append(d.params, v.Word)
			}
		}
		definitions[name] = d
	}
	c.statements = settingStatements
}

// resolveValues replaces named values and parameters by what they stand for.
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
				c.report(at, "AC108", "the value "+name+" is defined in terms of itself",
					fmt.Sprintf("give the let at %s:%d a value of its own", d.source.name, d.Pos.Line))
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

// definedNames returns the names of definitions, sorted.
func definedNames(m map[string]*definition) (all []string) {
	for k := range m {
		all = append(all, k)
	}
	slices.Sort(all)
	return all
}

// suggest returns the fix for an unknown name: the most similar known name or, if none is similar, the given text.
func (c *compiler) suggest(name string, known []string, otherwise string) string {
	slices.Sort(known)
	if best := settings.ClosestName(name, known); best != "" {
		return "did you mean " + best + "?"
	}
	return otherwise
}

// setFields sets the fields of a message from statements. path is the prefix of the field paths.
func (c *compiler) setFields(stmts []fileStatement, schema *blockSchema, m protoreflect.Message, path string, sc scope) {
	for _, st := range stmts {
		here := location{st.source, st.Pos}
		if st.Name == "use" {
			c.expandUse(st, schema, m, path, sc)
			continue
		}
		s := schema.byName[st.Name]
		if s == nil && st.Name == "include" {
			c.report(here, "AC104", "include is not allowed in a block", "move it outside; define and use share statements between blocks")
			continue
		}
		if s == nil {
			allowed := "allowed here: " + strings.Join(schema.names, ", ")
			if schema == rootSchema {
				allowed = "allowed at the top level: let, define, include, " + strings.Join(schema.names, ", ")
			}
			c.report(here, "AC201", "no setting is called "+st.Name+" here",
				c.suggest(st.Name, append(slices.Clone(schema.names), "let", "define", "include", "use"), allowed))
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
		if earlier, twice := c.locations[fieldPath+"[0]"]; twice {
			c.report(here, "AC204", st.Name+" is already set",
				fmt.Sprintf("the other one is at %s:%d", earlier.source.name, earlier.pos.Line))
			continue
		}
		if len(values) != 1 {
			suggested := example(s)
			if len(values) == 2 && slices.ContainsFunc(units[s.kind], func(u unit) bool { return u.name == values[1].text }) {
				suggested = values[0].text + values[1].text // written with a space before the unit
			}
			c.report(here, "AC203", fmt.Sprintf("%s takes one value, not %d", st.Name, len(values)), "write "+st.Name+" "+suggested)
			continue
		}
		c.locations[fieldPath+"[0]"] = values[0].at
		if x, ok := c.parseValue(s, values[0]); ok {
			m.Set(s.field, x)
		}
	}
}

// example returns a value that a setting accepts, for messages.
func example(s *setting) string {
	if s.kind == kindEnum {
		return strings.Join(enumNames(s.field.Enum()), " or ")
	}
	return kindDescriptions[s.kind][1]
}

// setBlock sets a message from a block, which may have a label or be written on one line.
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
		if earlier, twice := c.locations[path]; twice {
			c.report(here, "AC204", st.Name+" is already set",
				fmt.Sprintf("the other one is at %s:%d", earlier.source.name, earlier.pos.Line))
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
		if x, ok := c.parseValue(&setting{kind: kindOf(schema.message, s.labelField), field: s.labelField, name: st.Name},
			values[0]); ok {
			sub.Set(s.labelField, x)
			c.locations[path+"."+string(s.labelField.Name())+"[0]"] = values[0].at
		}
	} else if len(values) > 0 {
		c.report(values[0].at, "AC203", st.Name+" takes no value before its block", "put it inside the block: "+st.Name+" { ... }")
		return
	}
	if st.Block == nil {
		c.report(here, "AC202", st.Name+" has no block", "write "+st.Name+" { ... }")
		return
	}
	c.setFields(c.statementsIn(st.source, st.Block), schema, sub, path+".", sc)
}

// statementsIn returns the statements of a block, without comments and line breaks.
func (c *compiler) statementsIn(src *source, b *block) (all []fileStatement) {
	for _, it := range b.Items {
		if it.Stmt != nil {
			all = append(all, fileStatement{it.Stmt, src})
		}
	}
	return all
}

// setOneLineBlock sets a message from a block that is written as the values of one line.
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
		c.report(here, "AC203", st.Name+" has the wrong values, or a block", "write "+usage)
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
				c.report(v.at, "AC203", "expected "+p.keyword, "write "+usage)
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

const maxUseDepth = 20 // levels of defined blocks that use others

// expandUse applies the statements of a defined block where it is used.
func (c *compiler) expandUse(st fileStatement, schema *blockSchema, m protoreflect.Message, path string, sc scope) {
	here := location{st.source, st.Pos}
	values, ok := c.resolveValues(st.source, st.Values, sc)
	if !ok {
		return
	}
	if len(values) == 0 || st.Block != nil {
		c.report(here, "AC105", "use is malformed", "write use NAME VALUE...")
		return
	}
	d := c.defines[values[0].text]
	if d == nil {
		c.report(values[0].at, "AC107", "no block is named "+values[0].text,
			c.suggest(values[0].text, definedNames(c.defines), "define it: define "+values[0].text+" { ... }"))
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

// parseValue converts a value to the type of its setting's field. A number includes its unit.
func (c *compiler) parseValue(s *setting, v resolvedValue) (x protoreflect.Value, ok bool) {
	fail := func(code, message, fix string) (protoreflect.Value, bool) {
		c.report(v.at, code, message, fix)
		return x, false
	}
	switch s.kind {
	case kindText:
		return protoreflect.ValueOfString(v.text), true
	case kindFlag:
		if v.text != "on" && v.text != "off" {
			return fail("AC205", s.name+" must be on or off, not "+v.text, "write "+s.name+" on")
		}
		return protoreflect.ValueOfBool(v.text == "on"), true
	case kindEnum:
		all := enumNames(s.field.Enum())
		if !slices.Contains(all, v.text) {
			return fail("AC205", s.name+" has an unknown value: "+v.text, c.suggest(v.text, all, "write "+strings.Join(all, " or ")))
		}
		e := s.field.Enum().Values().ByName(protoreflect.Name(strings.ToUpper(strings.ReplaceAll(v.text, "-", "_"))))
		return protoreflect.ValueOfEnum(e.Number()), true
	}
	number := strings.TrimRight(v.text, "%/abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ")
	n, err := strconv.ParseFloat(number, 64)
	suffix := v.text[len(number):]
	if err != nil || v.quoted || math.IsInf(n, 0) || strings.ContainsAny(number, "_xX") {
		return fail("AC206", s.name+" must be "+kindDescriptions[s.kind][0]+", not "+v.text,
			"write "+s.name+" "+kindDescriptions[s.kind][1])
	}
	if list := units[s.kind]; list != nil {
		i := slices.IndexFunc(list, func(u unit) bool { return u.name == suffix })
		if i < 0 {
			return fail(unitCode(suffix), unitMessage(s, v.text, suffix), unitFix(s.kind, number, suffix))
		}
		if n = toBaseUnit(number, list[i]); s.kind == kindShare && (n < 0 || n > 1) {
			return fail("AC209", s.name+" must be a share from 0% to 100%, not "+v.text, "write "+s.name+" 100% for all")
		}
	} else if suffix != "" {
		return fail("AC208", s.name+" must be "+kindDescriptions[s.kind][0]+" without a unit, not "+v.text, "write "+s.name+" "+number)
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
			return fail("AC206", s.name+" must be a whole number, not "+v.text, "write "+s.name+" 3")
		}
		return protoreflect.ValueOfUint64(whole), true
	}
	if n != math.Trunc(n) || n < 0 || n > math.MaxUint32 {
		return fail("AC206", s.name+" must be a whole number from 0 to 4294967295, not "+v.text,
			"write "+s.name+" "+strconv.Itoa(int(min(max(1, math.Abs(n)), 1e9))))
	}
	return protoreflect.ValueOfUint32(uint32(n)), true
}

// toBaseUnit converts a number with a unit to the unit of the protobuf field.
func toBaseUnit(number string, u unit) float64 {
	n, err := strconv.ParseFloat(number+u.exponent, 64)
	if err != nil { // the number has an exponent already
		n, _ = strconv.ParseFloat(number, 64)
		power, _ := strconv.ParseFloat("1"+u.exponent, 64)
		n *= power
	}
	return n * u.factor / u.divisor
}

// unitCode returns the code for a missing or an unknown unit.
func unitCode(suffix string) string {
	if suffix == "" {
		return "AC207"
	}
	return "AC208"
}

// unitMessage returns the message for a missing or an unknown unit.
func unitMessage(s *setting, text, suffix string) string {
	if suffix == "" {
		return s.name + " is " + kindDescriptions[s.kind][0] + " and has no unit: " + text
	}
	if suffix == "m" && s.kind == kindTime {
		return s.name + ": m could mean minutes or milliseconds"
	}
	return s.name + " is " + kindDescriptions[s.kind][0] + "; " + suffix + " is not one of its units"
}

// unitFix returns the fix for a missing or an unknown unit.
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

// checkSettings checks the settings as a whole: it reports the problems that package settings finds at their locations,
// with the fix in the terms of the language, then adds warnings.
func (c *compiler) checkSettings() {
	for _, p := range settings.Check(c.out) {
		at := c.locate(p.Path)
		what, fix, _ := strings.Cut(p.Message, "; ")
		name := displayName(p.Path)
		switch last := name[strings.LastIndex(name, " ")+1:]; { // fixes are reworded in the terms of the language
		case what == "missing" && at.source != nil && c.isWritten(p.Path): // it was written as 0
			what = "0 is too small"
		case strings.HasPrefix(what, "the block is missing"):
			what, fix = "the block is missing", "write "+last+" { ... }"
		case p.Code == "AC301" && last == "zones":
			fix = "name the data centres: write zones NAME..."
		case p.Code == "AC301" && last == "match":
			fix = "write match GET /path, or match /path/* for any method and all paths below"
		case p.Code == "AC301" && last == "stage":
			fix = "describe the stages in order: write stage 10% cap 15%"
		case p.Code == "AC301" && last == "repeat":
			fix = "write repeat idempotent, repeat fingerprinted or, if in doubt, repeat side-effecting"
		case p.Code == "AC307" && strings.HasPrefix(fix, "describe it"):
			fix = "describe it: write pool NAME { roster { ... } }"
		case p.Code == "AC301" && strings.HasSuffix(what, "at the top: write "+last+" { ... }"),
			strings.Contains(what, "here and at the top"):
			what, fix = "the block is missing, here and at the top", "write "+last+" { ... }"
		case p.Code == "AC306" && !strings.HasPrefix(p.Path, "operation"): // the text of package settings is kept
		case p.Code == "AC306" && strings.HasSuffix(p.Path, ".name"):
			what, fix = "another operation has this name", c.locateSameName(p.Path)
		}
		c.report(at, p.Code, name+": "+what, fix)
	}
	c.warnUnused()
	c.warnShadowedMatches()
	c.warnRules()
}

// warnUnused warns about definitions that are never used. An unused value that can't be resolved is still an error.
func (c *compiler) warnUnused() {
	for _, m := range []map[string]*definition{c.lets, c.defines} {
		for _, name := range definedNames(m) {
			d := m[name]
			if d.used {
				continue
			}
			if ok := true; d.Block == nil {
				if _, ok = c.resolveValues(d.source, d.Values[1:], scope{}); !ok {
					continue
				}
			}
			c.warn(location{d.source, d.Pos}, "AC110", name+" is defined but never used", "remove it")
		}
	}
}

// locateSameName returns a text with the location of the earlier operation of the same name.
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

// warn adds a warning.
func (c *compiler) warn(at location, code, message, fix string) {
	c.report(at, code, message, fix)
	c.diagnostics[len(c.diagnostics)-1].Warning = true
}

// warnShadowedMatches warns about matches that are never reached, as an earlier one matches the same requests.
func (c *compiler) warnShadowedMatches() {
	type operationMatch struct {
		*settings.Match
		operation string
		listeners []string
	}
	var earlier []operationMatch
	for i, o := range c.out.Operation {
		for j, m := range o.Match {
			for _, e := range earlier {
				prefix, star := strings.CutSuffix(e.Path, "*")
				if !coversListeners(e.listeners, o.Listener) {
					continue
				}
				if (e.Method == "" || e.Method == m.Method) && (e.Path == m.Path || star && strings.HasPrefix(m.Path, prefix)) {
					c.warn(c.locate(fmt.Sprintf("operation[%d].match[%d].path", i, j)), "AC401",
						o.Name+" can't be reached by "+strings.TrimSpace(m.Method+" "+m.Path)+": "+e.operation+" matches it first",
						"put it before "+e.operation)
					break
				}
			}
			earlier = append(earlier, operationMatch{m, o.Name, o.Listener})
		}
	}
}

// coversListeners reports whether an operation limited to the earlier listeners also gets every request of the later
// ones. An empty list stands for all listeners.
func coversListeners(earlier, later []string) bool {
	if len(earlier) == 0 {
		return true
	}
	return len(later) > 0 && !slices.ContainsFunc(later, func(l string) bool { return !slices.Contains(earlier, l) })
}

// warnRules warns about settings with which a rule can't be kept, or an operation can't be repeated as its settings
// say.
func (c *compiler) warnRules() {
	rollout := c.out.Rollout
	for i, o := range c.out.Operation {
		at := func(name string) location { return c.locate(fmt.Sprintf("operation[%d].%s", i, name)) }
		if o.Repeat == settings.Repeat_FINGERPRINTED && o.MemoryMs > 0 && o.MemoryMs < o.LimitMs {
			c.warn(at("memory_ms"), "AC402", fmt.Sprintf("%s: nodes remember a repeat for %s, less than its time limit of %s",
				o.Name, formatQuantity(kindTime, o.MemoryMs), formatQuantity(kindTime, o.LimitMs)),
				"an invocation that fails after that can't be sent again")
		}
	}
	for i, pool := range c.out.PoolSettings() {
		rolloutPath := "rollout"
		if len(c.out.Pool) > 0 && c.out.Pool[i].Rollout != nil {
			rolloutPath = fmt.Sprintf("pool[%d].rollout", i)
		}
		for _, o := range pool.Operation {
			if o.Repeat != settings.Repeat_IDEMPOTENT && pool.Rollout.Shielded == 0 && !c.isWritten(rolloutPath+"[0].shielded") {
				c.warn(c.locate(rolloutPath), "AC405", o.Name+" is not idempotent and may go to a build in its first stage",
					"write shielded 1 to prevent this, or shielded 0 to allow it")
				break
			}
		}
	}
	if len(rollout.Stage) > 0 && rollout.Allowance < 1 && rollout.Stage[0].Cap*rollout.CountedOverMs < 1 {
		c.warn(c.locate("rollout.allowance"), "AC403",
			"without an allowance and with so small a first cap, a build may never get an invocation", "write allowance 1")
	}
	if c.out.Times.DialMs >= c.out.Rules.GraceMs && c.out.Rules.GraceMs > 0 {
		c.warn(c.locate("times.dial_ms"), "AC403",
			fmt.Sprintf("a connection may open %s after a dispatch, later than the grace of %s for draining nodes",
				formatQuantity(kindTime, c.out.Times.DialMs), formatQuantity(kindTime, c.out.Rules.GraceMs)),
			"write a dial time shorter than the grace")
	}
}

// locate returns where a field was written or, if it was not, the innermost block around it that was.
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

// isWritten reports whether a field itself was written, not only the block around it.
func (c *compiler) isWritten(path string) bool {
	_, ok := c.locations[path+"[0]"]
	return ok
}

// displayName returns the path of a field in the terms of the language: operation 2, slo-time.
func displayName(path string) string {
	schema, names := rootSchema, []string{}
	for part := range strings.SplitSeq(path, ".") {
		name, rest, _ := strings.Cut(part, "[")
		index, _ := strconv.Atoi(strings.TrimSuffix(rest, "]"))
		word := name
		for _, s := range schema.byName {
			if string(s.field.Name()) == name {
				word = s.name
				if s.field.IsList() && rest != "" {
					word += " " + strconv.Itoa(index+1)
				}
				if s.kind == kindBlock {
					schema = schemas[s.field.Message().FullName()]
				}
				break
			}
		}
		names = append(names, word)
	}
	return strings.Join(names, ", ")
}
