// Package lang implements the settings language: it parses, checks, formats and compares files, and compiles them to
// the protobuf message settings.Settings. docs/language.md has the grammar.
package lang

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// file is the syntax tree of one file, with comments and line breaks. The names of this type and of those below appear
// in the grammar that docs/language.md shows (see Grammar).
type file struct {
	Items []*item `parser:"@@*"`
}

// item is a comment, a line break or semicolon, or a statement.
type item struct {
	Pos     lexer.Position
	Comment string     `parser:"( @Comment"`
	Break   string     `parser:"| @Break"`
	Stmt    *statement `parser:"| @@ )"`
}

// statement is a name, its values and an optional block.
type statement struct {
	Pos    lexer.Position
	Name   string   `parser:"@Word"`
	Values []*value `parser:"@@*"`
	Block  *block   `parser:"@@?"`
}

// value is a quoted string, a $name or a bare word.
type value struct {
	Pos  lexer.Position
	Text string `parser:"( @String"`
	Var  string `parser:"| @Var"`
	Word string `parser:"| @Word )"`
}

// block is the items between { and }.
type block struct {
	Pos   lexer.Position
	Items []*item `parser:"Open @@* Close"`
}

// lexerRules are the tokens of the language.
var lexerRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Break", Pattern: `[\n;]`},
	{Name: "Space", Pattern: `[ \t\r]+`},
	{Name: "String", Pattern: `"(\\["\\]|[^"\\\n])*"`},
	{Name: "Var", Pattern: `\$[A-Za-z][A-Za-z0-9-]*`},
	{Name: "Open", Pattern: `\{`},
	{Name: "Close", Pattern: `\}`},
	{Name: "Word", Pattern: `[^\s{}"#;$]+`},
})

var parser = participle.MustBuild[file](participle.Lexer(lexerRules), participle.Elide("Space"))

const (
	maxFileBytes  = 4 << 20 // size of one file
	maxBlockDepth = 40      // levels of nested blocks
)

// source is one file that was read, and how it was included.
type source struct {
	name         string
	text         []byte
	includedFrom []string // file:line of each include on the way to this file, the nearest first
	tree         *file
}

// parse builds the syntax tree of one file. It stops at the first error.
func parse(name string, text []byte) (*source, *Diagnostic) {
	s := &source{name: name, text: bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))}
	if d := s.checkLexical(); d != nil {
		return s, d
	}
	tree, err := parser.ParseBytes(name, s.text)
	var syntaxErr participle.Error
	if errors.As(err, &syntaxErr) {
		pos := syntaxErr.Position()
		return s, s.diagnostic(pos.Line, pos.Column, "AC007", "a statement must begin with a name",
			"write the name of a setting first, for example slo-time 250ms")
	} else if err != nil {
		return s, s.diagnostic(1, 1, "AC007", err.Error(), "")
	}
	s.tree = tree
	return s, nil
}

// checkLexical finds errors that need no grammar, before parsing: file size, invalid bytes, strings, escapes and
// unbalanced braces.
func (s *source) checkLexical() *Diagnostic {
	if len(s.text) > maxFileBytes {
		return s.diagnostic(1, 1, "AC001", fmt.Sprintf("the file has %d bytes; the limit is %d", len(s.text), maxFileBytes),
			"split it into several files with include")
	}
	type brace struct{ line, lineStart, offset int }
	var openBraces []brace
	line, lineStart := 1, 0
	for i := 0; i < len(s.text); {
		c := s.text[i]
		column := func() int { return utf8.RuneCount(s.text[lineStart:i]) + 1 }
		switch {
		case c == '\n':
			line, lineStart = line+1, i+1
		case c == '#':
			for i+1 < len(s.text) && s.text[i+1] != '\n' {
				i++
			}
			if !utf8.Valid(s.text[lineStart : i+1]) {
				return s.diagnostic(line, 1, "AC002", "this line is not valid UTF-8", "save the file as UTF-8")
			}
		case c == '"':
			opening := column()
			for i++; i < len(s.text) && s.text[i] != '"'; i++ {
				if s.text[i] == '\n' || i == len(s.text)-1 {
					return s.diagnostic(line, opening, "AC003", "this string is not terminated", `add a closing " on the same line`)
				}
				if s.text[i] == '\\' {
					if i+1 >= len(s.text) || s.text[i+1] != '"' && s.text[i+1] != '\\' {
						return s.diagnostic(line, utf8.RuneCount(s.text[lineStart:i])+1, "AC004", "invalid escape sequence",
							`write \\ for a backslash`)
					}
					i++
				}
			}
			if i >= len(s.text) {
				return s.diagnostic(line, opening, "AC003", "this string is not terminated", `add a closing " on the same line`)
			}
		case c == '{':
			if openBraces = append(openBraces, brace{line, lineStart, i}); len(openBraces) > maxBlockDepth {
				return s.diagnostic(line, column(), "AC005", fmt.Sprintf("blocks are nested more than %d levels deep", maxBlockDepth),
					"no setting needs that depth")
			}
		case c == '}':
			if len(openBraces) == 0 {
				return s.diagnostic(line, column(), "AC006", "this } has no matching {", "remove it, or add the missing { above")
			}
			openBraces = openBraces[:len(openBraces)-1]
		case c == '$' && (i+1 >= len(s.text) || !isLetter(s.text[i+1])):
			return s.diagnostic(line, column(), "AC008", "$ is not followed by a name",
				`write $name for a named value, or put the text in "quotes"`)
		case c < ' ' && c != '\t' && c != '\r' || c == 0x7f:
			return s.diagnostic(line, column(), "AC002", fmt.Sprintf("the control character 0x%02x is not allowed", c), "remove it")
		case c >= utf8.RuneSelf:
			if r, n := utf8.DecodeRune(s.text[i:]); r == utf8.RuneError && n == 1 {
				return s.diagnostic(line, column(), "AC002", "this is not valid UTF-8", "save the file as UTF-8")
			} else {
				i += n - 1
			}
		}
		i++
	}
	if len(openBraces) > 0 {
		last := openBraces[len(openBraces)-1]
		return s.diagnostic(last.line, utf8.RuneCount(s.text[last.lineStart:last.offset])+1, "AC006",
			"this { has no matching }", "add a } at the end of the block")
	}
	return nil
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

// Diagnostic is an error or a warning, with its location in a file.
type Diagnostic struct {
	File         string   `json:"file"`
	Line         int      `json:"line"`   // from 1
	Column       int      `json:"column"` // in characters, from 1
	Code         string   `json:"code"`   // stable; see Explain
	Message      string   `json:"what"`
	Fix          string   `json:"fix,omitempty"` // the suggested fix
	Warning      bool     `json:"warning,omitempty"`
	SourceLine   string   `json:"text,omitempty"`          // the line itself; empty where it is too long to show
	IncludedFrom []string `json:"included_from,omitempty"` // file:line of each include, the nearest first
}

const maxSourceLineBytes = 160 // longer lines are not shown

// diagnostic makes a Diagnostic for a location in the file, with the text of its line.
func (s *source) diagnostic(line, column int, code, message, fix string) *Diagnostic {
	d := &Diagnostic{File: s.name, Line: line, Column: column, Code: code, Message: message, Fix: fix, IncludedFrom: s.includedFrom}
	rest := s.text // from the start of the requested line
	for n := 1; n < line; n++ {
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			return d
		}
		rest = rest[i+1:]
	}
	if i := bytes.IndexByte(rest, '\n'); i >= 0 {
		rest = rest[:i]
	}
	if text := strings.ToValidUTF8(strings.TrimRight(string(rest), "\r"), "?"); len(text) <= maxSourceLineBytes {
		d.SourceLine = text
	}
	return d
}

// Error formats the diagnostic for a terminal: the message, the line with a marker under the column, and the fix.
func (d *Diagnostic) Error() string {
	kind := ""
	if d.Warning {
		kind = "warning "
	}
	b := fmt.Sprintf("%s:%d:%d: %s%s %s", d.File, d.Line, d.Column, kind, d.Code, d.Message)
	if d.SourceLine != "" {
		padding := strings.Map(func(r rune) rune {
			if r == '\t' {
				return r
			}
			return ' '
		}, string([]rune(d.SourceLine)[:min(max(d.Column-1, 0), len([]rune(d.SourceLine)))]))
		number := fmt.Sprintf("%5d | ", d.Line)
		b += "\n" + number + d.SourceLine + "\n" + strings.Repeat(" ", len(number)-2) + "| " + padding + "^"
	}
	if d.Fix != "" {
		b += "\n        " + d.Fix
	}
	for _, f := range d.IncludedFrom {
		b += "\n        included from " + f
	}
	return b
}

// unquote returns the text that a quoted string stands for.
func unquote(s string) string {
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(s[1 : len(s)-1])
}

// quote writes a text as a value: unchanged if it is a single word, else as a quoted string.
func quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\r\n{}\"#;$\\") {
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// Grammar returns the parser's grammar in EBNF.
func Grammar() string {
	lines := []string{}
	for line := range strings.SplitSeq(parser.String(), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, "    "+line)
		}
	}
	return strings.Join(lines, "\n")
}
