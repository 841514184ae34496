package lang

import (
	"bytes"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// Change is one thing in which two versions of settings differ, by meaning.
type Change struct {
	Path         string `json:"path"`             // of the inner form, of the old version where it is there, else of the new
	Name         string `json:"name"`             // in the words of the language: operation slot-book: time-limit
	From         string `json:"from,omitempty"`   // empty: it was not there
	To           string `json:"to,omitempty"`     // empty: it is no more
	AffectsRules bool   `json:"rule,omitempty"`   // it touches what the rules are kept by
	Moved        bool   `json:"moved,omitempty"`  // only its place among others changed
	Renamed      bool   `json:"rename,omitempty"` // only its name changed
}

func (c Change) String() string {
	text := c.Name
	switch {
	case c.Moved:
		text += " moved"
	case c.Renamed:
		text += " renamed " + c.From + " -> " + c.To
	case c.From == "":
		text += " added: " + c.To
	case c.To == "":
		text += " removed: " + c.From
	default:
		text += " " + c.From + " -> " + c.To
	}
	if c.AffectsRules {
		text += "  (touches a rule)"
	}
	return text
}

// affectsRules are the settings that the rules of the brief are kept by.
func affectsRules(m protoreflect.MessageDescriptor, f protoreflect.FieldDescriptor) bool {
	switch m.Name() {
	case "Rules", "Rollout", "Stage":
		return true
	case "Operation":
		switch f.Name() {
		case "repeat", "group", "memory_ms", "limit_ms", "match":
			return true
		}
	case "Limits":
		return f.Name() == "most_tries"
	case "Headers":
		return f.Name() == "mark" || f.Name() == "turned_away" || f.Name() == "key" || f.Name() == "time_ms"
	case "Instance", "Times":
		return f.Name() == "marshals" || f.Name() == "number" || f.Name() == "answer_ms" || f.Name() == "dial_ms"
	}
	return false
}

// Diff tells in which settings two versions differ, in the order of the schema.
func Diff(a, b *settings.Settings) []Change {
	d := &differ{}
	d.compareMessages(a.ProtoReflect(), b.ProtoReflect(), rootSchema, "", "")
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) compareMessages(a, b protoreflect.Message, schema *blockSchema, path, name string) {
	for _, n := range schema.names {
		s := schema.byName[n]
		at := path + string(s.field.Name())
		rule := affectsRules(schema.message, s.field)
		fullName := strings.TrimSpace(name + " " + n)
		switch {
		case s.kind == kindBlock && s.field.IsList():
			d.compareBlocks(a.Get(s.field).List(), b.Get(s.field).List(), s, at, fullName, rule)
		case s.kind == kindBlock:
			if a.Has(s.field) != b.Has(s.field) && proto.Size(a.Get(s.field).Message().Interface())+proto.Size(b.Get(s.field).Message().Interface()) == 0 {
				continue // an empty block says nothing
			}
			d.compareMessages(a.Get(s.field).Message(), b.Get(s.field).Message(), schemas[s.field.Message().FullName()], at+".", fullName+":")
		default:
			from, to := formatField(s, a), formatField(s, b)
			if from != to {
				d.changes = append(d.changes, Change{Path: at, Name: fullName, From: from, To: to, AffectsRules: rule})
			}
		}
	}
}

// formatField gives a plain field as it is formatField, empty where it is not set.
func formatField(s *setting, m protoreflect.Message) string {
	if !m.Has(s.field) {
		return ""
	}
	if !s.field.IsList() {
		return formatValue(s, m.Get(s.field))
	}
	var all []string
	list := m.Get(s.field).List()
	for i := range list.Len() {
		all = append(all, formatValue(s, list.Get(i)))
	}
	return strings.Join(all, " ")
}

// compareBlocks compares lists of compareBlocks: those with a label by it, the others as a whole in their order.
func (d *differ) compareBlocks(a, b protoreflect.List, s *setting, path, name string, rule bool) {
	schema := schemas[s.field.Message().FullName()]
	if s.labelField == nil {
		for i := range max(a.Len(), b.Len()) {
			var from, to string
			if i < a.Len() {
				from = formatInline(s, a.Get(i).Message())
			}
			if i < b.Len() {
				to = formatInline(s, b.Get(i).Message())
			}
			if from != to {
				d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%d]", path, i), Name: fmt.Sprintf("%s %d", name, i+1), From: from, To: to, AffectsRules: rule})
			}
		}
		return
	}
	label := func(m protoreflect.Message) string { return m.Get(s.labelField).String() }
	find := func(list protoreflect.List, name string) int {
		for i := range list.Len() {
			if label(list.Get(i).Message()) == name {
				return i
			}
		}
		return -1
	}
	renamed := map[int]bool{}
	last := -1
	for i := range a.Len() {
		m := a.Get(i).Message()
		at := fmt.Sprintf("%s[%d]", path, i)
		j := find(b, label(m))
		if j >= 0 {
			d.compareMessages(m, b.Get(j).Message(), schema, at+".", name+" "+quote(label(m))+":")
			if j < last { // the first match counts: order has a meaning
				d.changes = append(d.changes, Change{Path: at, Name: name + " " + quote(label(m)), From: fmt.Sprint(i + 1), To: fmt.Sprint(j + 1), Moved: true, AffectsRules: true})
			}
			last = max(last, j)
			continue
		}
		for k := range b.Len() { // the same under another name
			o := b.Get(k).Message()
			if renamed[k] || find(a, label(o)) >= 0 {
				continue
			}
			same := proto.Clone(o.Interface()).ProtoReflect()
			same.Set(s.labelField, m.Get(s.labelField))
			if proto.Equal(same.Interface(), m.Interface()) {
				renamed[k] = true
				j = k
				break
			}
		}
		if j >= 0 {
			d.changes = append(d.changes, Change{Path: at, Name: name, From: quote(label(m)), To: quote(label(b.Get(j).Message())), Renamed: true})
		} else {
			d.changes = append(d.changes, Change{Path: at, Name: name + " " + quote(label(m)), From: formatInline(s, m), AffectsRules: true})
		}
	}
	for j := range b.Len() {
		if m := b.Get(j).Message(); find(a, label(m)) < 0 && !renamed[j] {
			d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%d]", path, j), Name: name + " " + quote(label(m)), To: formatInline(s, m), AffectsRules: true})
		}
	}
}

// formatInline writes a block in one line.
func formatInline(s *setting, m protoreflect.Message) string {
	var b bytes.Buffer
	writeBlock(&b, s, m, 0)
	return strings.Join(strings.Fields(b.String()), " ")
}
