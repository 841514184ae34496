package lang

import (
	"fmt"
	"slices"
	"strings"
)

// VimSyntax gives a syntax file for Vim, made of the same schema as the compiler.
func VimSyntax() string {
	names := map[string]bool{}
	enums := map[string]bool{"on": true, "off": true}
	for _, schema := range schemas {
		for _, n := range schema.names {
			names[n] = true
			if s := schema.byName[n]; s.kind == kindEnum {
				for _, w := range enumNames(s.field.Enum()) {
					enums[w] = true
				}
			}
		}
	}
	list := func(m map[string]bool) string {
		var all []string
		for n := range m {
			all = append(all, n)
		}
		slices.Sort(all)
		return strings.Join(all, " ")
	}
	var unitPatterns []string
	for _, k := range []kind{kindTime, kindSize, kindShare, kindRate} {
		for _, u := range units[k] {
			unitPatterns = append(unitPatterns, strings.ReplaceAll(u.name, "/", `\/`))
		}
	}
	slices.SortFunc(unitPatterns, func(a, b string) int { return len(b) - len(a) })
	return fmt.Sprintf(`" Vim syntax of arrowcleat's settings; made by: arrowcleat syntax vim
if exists("b:current_syntax")
  finish
endif
setlocal iskeyword+=-
syntax keyword cleatStatement let define use include
syntax keyword cleatSetting %s
syntax keyword cleatWord %s
syntax match cleatFigure /\<[0-9][0-9.]*\(%s\)\?\>\?/
syntax match cleatVar /\$[A-Za-z][A-Za-z0-9-]*/
syntax region cleatString start=/"/ skip=/\\./ end=/"/ oneline
syntax match cleatComment /#.*$/
highlight default link cleatStatement Keyword
highlight default link cleatSetting Identifier
highlight default link cleatWord Constant
highlight default link cleatFigure Number
highlight default link cleatVar PreProc
highlight default link cleatString String
highlight default link cleatComment Comment
let b:current_syntax = "cleat"
`, list(names), list(enums), strings.Join(unitPatterns, `\|`))
}
