// Package lang is the language that people write settings in: it parses, checks, formats and compares files, and
// compiles them to the settings' inner form. docs/language.md has the grammar.
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

// file is one file as it is written, comments and blank lines with it.
type file struct {
	Items []*item `parser:"@@*"`
}

type item struct {
	Pos     lexer.Position
	Comment string     `parser:"( @Comment"`
	Break   string     `parser:"| @Break"`
	Stmt    *statement `parser:"| @@ )"`
}

type statement struct {
	Pos    lexer.Position
	Name   string   `parser:"@Word"`
	Values []*value `parser:"@@*"`
	Block  *block   `parser:"@@?"`
}

type value struct {
	Pos  lexer.Position
	Text string `parser:"( @String"`
	Var  string `parser:"| @Var"`
	Word string `parser:"| @Word )"`
}

type block struct {
	Pos   lexer.Position
	Items []*item `parser:"Open @@* Close"`
}

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Break", Pattern: `[\n;]`},
	{Name: "Space", Pattern: `[ \t\r]+`},
	{Name: "String", Pattern: `"(\\["\\]|[^"\\\n])*"`},
	{Name: "Var", Pattern: `\$[A-Za-z][A-Za-z0-9-]*`},
	{Name: "Open", Pattern: `\{`},
	{Name: "Close", Pattern: `\}`},
	{Name: "Word", Pattern: `[^\s{}"#;$]+`},
})

var parser = participle.MustBuild[file](participle.Lexer(tokens), participle.Elide("Space"))

const (
	maxFileBytes  = 4 << 20 // of a file
	maxBlockDepth = 40      // of blocks in blocks
)

// source is one file that was read, and the way it was included.
type source struct {
	name         string
	text         []byte
	includedFrom []string // file:line of each include that led here, the nearest first
	tree         *file
}

// parse reads one file's text; what is wrong is told once.
func parse(name string, text []byte) (*source, *Diagnostic) {
	s := &source{name: name, text: bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))}
	if d := s.checkLexical(); d != nil {
		return s, d
	}
	tree, err := parser.ParseBytes(name, s.text)
	var bad participle.Error
	if errors.As(err, &bad) {
		pos := bad.Position()
		return s, s.diagnostic(pos.Line, pos.Column, "AC007", "a line begins with a name; what stands here is none",
			"write the name of a setting first, such as slo-time 250ms")
	} else if err != nil {
		return s, s.diagnostic(1, 1, "AC007", err.Error(), "")
	}
	s.tree = tree
	return s, nil
}

// checkLexical finds what no grammar need be asked about: bytes, strings and braces.
func (s *source) checkLexical() *Diagnostic {
	if len(s.text) > maxFileBytes {
		return s.diagnostic(1, 1, "AC001", fmt.Sprintf("the file has %d bytes, more than %d", len(s.text), maxFileBytes), "split it with include")
	}
	type open struct{ line, start, at int }
	var stack []open
	line, start := 1, 0
	for i := 0; i < len(s.text); {
		c := s.text[i]
		col := func() int { return utf8.RuneCount(s.text[start:i]) + 1 }
		switch {
		case c == '\n':
			line, start = line+1, i+1
		case c == '#':
			for i+1 < len(s.text) && s.text[i+1] != '\n' {
				i++
			}
			if !utf8.Valid(s.text[start : i+1]) {
				return s.diagnostic(line, 1, "AC002", "this line is not UTF-8", "save the file as UTF-8")
			}
		case c == '"':
			col := col()
			for i++; i < len(s.text) && s.text[i] != '"'; i++ {
				if s.text[i] == '\n' || i == len(s.text)-1 {
					return s.diagnostic(line, col, "AC003", "this string is never closed", `put a " at its end`)
				}
				if s.text[i] == '\\' {
					if i+1 >= len(s.text) || s.text[i+1] != '"' && s.text[i+1] != '\\' {
						return s.diagnostic(line, utf8.RuneCount(s.text[start:i])+1, "AC004", `\ stands before nothing that it could mean`, `write \\ for one`)
					}
					i++
				}
			}
			if i >= len(s.text) {
				return s.diagnostic(line, col, "AC003", "this string is never closed", `put a " at its end`)
			}
		case c == '{':
			if stack = append(stack, open{line, start, i}); len(stack) > maxBlockDepth {
				return s.diagnostic(line, col(), "AC005", fmt.Sprintf("blocks stand in blocks more than %d deep", maxBlockDepth), "no setting is that deep")
			}
		case c == '}':
			if len(stack) == 0 {
				return s.diagnostic(line, col(), "AC006", "this } closes nothing", "remove it, or look for a { that is missing above")
			}
			stack = stack[:len(stack)-1]
		case c == '$' && (i+1 >= len(s.text) || !isLetter(s.text[i+1])):
			return s.diagnostic(line, col(), "AC008", "$ stands before no name", `write $name for a named value, or put the text in "quotes"`)
		case c < ' ' && c != '\t' && c != '\r' || c == 0x7f:
			return s.diagnostic(line, col(), "AC002", fmt.Sprintf("a control character (0x%02x) stands here", c), "remove it")
		case c >= utf8.RuneSelf:
			if r, n := utf8.DecodeRune(s.text[i:]); r == utf8.RuneError && n == 1 {
				return s.diagnostic(line, col(), "AC002", "this is not UTF-8", "save the file as UTF-8")
			} else {
				i += n - 1
			}
		}
		i++
	}
	if len(stack) > 0 {
		last := stack[len(stack)-1]
		return s.diagnostic(last.line, utf8.RuneCount(s.text[last.start:last.at])+1, "AC006", "this { is never closed", "put a } at the end of its block")
	}
	return nil
}

func isLetter(c byte) bool { return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' }

// Diagnostic is one thing wrong, or odd, with a place.
type Diagnostic struct {
	File         string   `json:"file"`
	Line         int      `json:"line"`
	Column       int      `json:"column"`
	Code         string   `json:"code"`
	Message      string   `json:"what"`
	Fix          string   `json:"fix,omitempty"`
	Warning      bool     `json:"warning,omitempty"`
	SourceLine   string   `json:"text,omitempty"` // the line
	IncludedFrom []string `json:"included_from,omitempty"`
}

const maxSourceLineBytes = 160 // of a line that is shown

func (s *source) diagnostic(line, col int, code, what, fix string) *Diagnostic {
	d := &Diagnostic{File: s.name, Line: line, Column: col, Code: code, Message: what, Fix: fix, IncludedFrom: s.includedFrom}
	rest := s.text
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

func (d *Diagnostic) Error() string {
	kind := ""
	if d.Warning {
		kind = "warning "
	}
	b := fmt.Sprintf("%s:%d:%d: %s%s %s", d.File, d.Line, d.Column, kind, d.Code, d.Message)
	if d.SourceLine != "" {
		mark := strings.Map(func(r rune) rune {
			if r == '\t' {
				return r
			}
			return ' '
		}, string([]rune(d.SourceLine)[:min(max(d.Column-1, 0), len([]rune(d.SourceLine)))]))
		number := fmt.Sprintf("%5d | ", d.Line)
		b += "\n" + number + d.SourceLine + "\n" + strings.Repeat(" ", len(number)-2) + "| " + mark + "^"
	}
	if d.Fix != "" {
		b += "\n        " + d.Fix
	}
	for _, f := range d.IncludedFrom {
		b += "\n        included from " + f
	}
	return b
}

// unquote gives what a string means.
func unquote(s string) string {
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(s[1 : len(s)-1])
}

// quote writes a text as a value: as it is where that is one word, else as a string.
func quote(s string) string {
	if s != "" && !strings.ContainsAny(s, " \t\r\n{}\"#;$\\") {
		return s
	}
	return `"` + strings.NewReplacer(`\`, `\\`, `"`, `\"`).Replace(s) + `"`
}

// Grammar is the language's grammar as the parser has it, in EBNF.
func Grammar() string {
	lines := []string{}
	for line := range strings.SplitSeq(parser.String(), "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, "    "+line)
		}
	}
	return strings.Join(lines, "\n")
}
