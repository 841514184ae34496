package lang

import (
	"bytes"
	"fmt"
	"math"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// Format formats a file without changing its meaning: one statement per line, two spaces of indentation per block, at
// most one blank line in a row, comments in their places.
func Format(name string, text []byte) ([]byte, *Diagnostic) {
	s, syntaxErr := parse(name, text)
	if syntaxErr != nil {
		return nil, syntaxErr
	}
	var b bytes.Buffer
	formatItems(&b, s.tree.Items, 0)
	out := bytes.TrimLeft(b.Bytes(), "\n")
	return append(bytes.TrimRight(out, "\n"), "\n"[:min(1, len(out))]...), nil
}

// formatItems writes the items of a file or block, each on a line of its own. A comment that follows a statement on the
// same line stays on that line.
func formatItems(b *bytes.Buffer, items []*item, depth int) {
	indent := strings.Repeat("  ", depth)
	breaks, first := 0, true // breaks counts line ends since the last item written
	for i, it := range items {
		switch {
		case it.Break == "\n":
			breaks++
			continue
		case it.Break == ";":
			continue
		case it.Comment != "":
			comment := strings.TrimRight(it.Comment, " \t\r")
			if breaks == 0 && !first && i > 0 { // it follows something on the same line
				b.Truncate(len(bytes.TrimRight(b.Bytes(), "\n")))
				b.WriteString("  " + comment + "\n")
			} else {
				keepBlankLine(b, breaks, first)
				b.WriteString(indent + comment + "\n")
			}
		default:
			keepBlankLine(b, breaks, first)
			formatStatement(b, it.Stmt, depth)
		}
		breaks, first = 0, false
	}
}

// keepBlankLine writes one blank line where there were one or more, except at the start of a block.
func keepBlankLine(b *bytes.Buffer, breaks int, first bool) {
	if breaks > 1 && !first {
		b.WriteString("\n")
	}
}

// formatStatement writes a statement with its block.
func formatStatement(b *bytes.Buffer, st *statement, depth int) {
	b.WriteString(strings.Repeat("  ", depth) + st.Name)
	for _, v := range st.Values {
		b.WriteString(" " + v.Text + v.Var + v.Word)
	}
	if st.Block != nil {
		var body bytes.Buffer
		items := st.Block.Items
		b.WriteString(" {")
		if len(items) > 0 && items[0].Comment != "" { // on the line of the brace
			b.WriteString("  " + strings.TrimRight(items[0].Comment, " \t\r"))
			items = items[1:]
		}
		formatItems(&body, items, depth+1)
		b.WriteString("\n")
		b.Write(body.Bytes())
		b.WriteString(strings.Repeat("  ", depth) + "}")
	}
	b.WriteString("\n")
}

// formatQuantity writes a number in the base unit of its kind with a unit: for times and sizes the largest that gives a
// whole number (for seconds, also a short decimal). The text reads back as exactly the same number.
func formatQuantity(k kind, v float64) string {
	plain := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	switch k {
	case kindTime:
		for _, u := range []unit{units[kindTime][3], units[kindTime][2], units[kindTime][1]} {
			n := v / toBaseUnit("1", u)
			if text := plain(n); n >= 1 && (n == math.Trunc(n) || u.name == "s" && len(text) <= 4) && toBaseUnit(text, u) == v {
				return text + u.name
			}
		}
		return plain(v) + "ms"
	case kindSize:
		for _, u := range []unit{units[kindSize][3], units[kindSize][2], units[kindSize][1]} {
			if n := v / u.factor; n >= 1 && n == math.Trunc(n) {
				return plain(n) + u.name
			}
		}
		return plain(v) + "B"
	case kindShare:
		// The decimal point is moved in the text: multiplying by 100 may round to a number that does not read back exactly.
		whole, fraction, _ := strings.Cut(plain(v), ".")
		fraction += "00"
		if whole = strings.TrimLeft(whole+fraction[:2], "0"); whole == "" {
			whole = "0"
		}
		if fraction = strings.TrimRight(fraction[2:], "0"); fraction != "" {
			whole += "." + fraction
		}
		return whole + "%"
	case kindRate:
		return plain(v) + "/s"
	}
	return plain(v)
}

// Decompile writes settings in the language. Compiling the result gives the same settings.
func Decompile(s *settings.Settings) []byte {
	var b bytes.Buffer
	writeFields(&b, s.ProtoReflect(), rootSchema, 0)
	return b.Bytes()
}

// writeFields writes the fields of a message that are set, in the order of the schema.
func writeFields(b *bytes.Buffer, m protoreflect.Message, schema *blockSchema, depth int) {
	indent := strings.Repeat("  ", depth)
	for _, name := range schema.names {
		s := schema.byName[name]
		if !m.Has(s.field) {
			continue
		}
		v := m.Get(s.field)
		switch {
		case s.kind != kindBlock && s.field.IsList():
			b.WriteString(indent + name)
			for i := range v.List().Len() {
				b.WriteString(" " + formatValue(s, v.List().Get(i)))
			}
			b.WriteString("\n")
		case s.kind != kindBlock:
			fmt.Fprintf(b, "%s%s %s\n", indent, name, formatValue(s, v))
		case s.field.IsList():
			for i := range v.List().Len() {
				writeBlock(b, s, v.List().Get(i).Message(), depth)
			}
		case proto.Size(v.Message().Interface()) > 0: // an empty block means the same as none
			writeBlock(b, s, v.Message(), depth)
		}
	}
}

// writeBlock writes a message as a block or, where its setting has line elements, on one line.
func writeBlock(b *bytes.Buffer, s *setting, m protoreflect.Message, depth int) {
	indent := strings.Repeat("  ", depth)
	schema := schemas[s.field.Message().FullName()]
	if s.lineElements != nil {
		b.WriteString(indent + s.name)
		for _, p := range s.lineElements {
			if p.keyword != "" {
				b.WriteString(" " + p.keyword)
			} else if !p.optional || m.Has(p.field) {
				b.WriteString(" " + formatValue(&setting{kind: kindOf(schema.message, p.field), field: p.field}, m.Get(p.field)))
			}
		}
		b.WriteString("\n")
		return
	}
	b.WriteString(indent + s.name)
	if s.labelField != nil {
		b.WriteString(" " + formatValue(&setting{kind: kindOf(schema.message, s.labelField), field: s.labelField}, m.Get(s.labelField)))
	}
	b.WriteString(" {\n")
	unlabeled := *schema
	if s.labelField != nil { // the label is not written a second time in the block
		unlabeled.names = nil
		for _, n := range schema.names {
			if schema.byName[n].field != s.labelField {
				unlabeled.names = append(unlabeled.names, n)
			}
		}
	}
	writeFields(b, m, &unlabeled, depth+1)
	b.WriteString(indent + "}\n")
}

// formatValue writes one value as the compiler reads it.
func formatValue(s *setting, v protoreflect.Value) string {
	switch s.kind {
	case kindText:
		return quote(v.String())
	case kindFlag:
		if v.Bool() {
			return "on"
		}
		return "off"
	case kindEnum:
		return strings.ReplaceAll(strings.ToLower(string(s.field.Enum().Values().ByNumber(v.Enum()).Name())), "_", "-")
	}
	switch s.field.Kind() {
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		if s.kind == kindCount || v.Uint() > 1<<53 { // a float64 holds integers exactly up to 1<<53
			text := strconv.FormatUint(v.Uint(), 10)
			if s.kind == kindSize {
				text += "B"
			}
			return text
		}
		return formatQuantity(s.kind, float64(v.Uint()))
	}
	return formatQuantity(s.kind, v.Float())
}
