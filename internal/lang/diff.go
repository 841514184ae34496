package lang

import (
	"bytes"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// Change is one difference in meaning between two versions of settings.
type Change struct {
	Path         string `json:"path"`             // of the protobuf field: in the old version if it is there, else in the new one
	Name         string `json:"name"`             // in the terms of the language: operation slot-book: time-limit
	From         string `json:"from,omitempty"`   // empty: added
	To           string `json:"to,omitempty"`     // empty: removed
	AffectsRules bool   `json:"rule,omitempty"`   // the rules that the marshal enforces depend on it
	Moved        bool   `json:"moved,omitempty"`  // only its position in the list changed: From and To are positions
	Renamed      bool   `json:"rename,omitempty"` // only its name changed
}

// String formats the change as one line.
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

// affectsRules reports whether the rules that the marshal enforces depend on a field.
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

// Diff returns the settings in which two versions differ, in the order of the schema.
func Diff(a, b *settings.Settings) []Change {
	d := &differ{}
	d.compareMessages(a.ProtoReflect(), b.ProtoReflect(), rootSchema, "", "")
	return d.changes
}

// differ collects the changes between two versions.
type differ struct{ changes []Change }

// compareMessages compares two messages field by field. path and name are the prefixes of the changes found.
func (d *differ) compareMessages(a, b protoreflect.Message, schema *blockSchema, path, name string) {
	for _, n := range schema.names {
		s := schema.byName[n]
		fieldPath := path + string(s.field.Name())
		rule := affectsRules(schema.message, s.field)
		fullName := strings.TrimSpace(name + " " + n)
		switch {
		case s.kind == kindBlock && s.field.IsList():
			d.compareBlocks(a.Get(s.field).List(), b.Get(s.field).List(), s, fieldPath, fullName, rule)
		case s.kind == kindBlock:
			if a.Has(s.field) != b.Has(s.field) &&
				proto.Size(a.Get(s.field).Message().Interface())+proto.Size(b.Get(s.field).Message().Interface()) == 0 {
				continue // an empty block means the same as none
			}
			d.compareMessages(a.Get(s.field).Message(), b.Get(s.field).Message(),
				schemas[s.field.Message().FullName()], fieldPath+".", fullName+":")
		default:
			from, to := formatField(s, a), formatField(s, b)
			if from != to {
				d.changes = append(d.changes, Change{Path: fieldPath, Name: fullName, From: from, To: to, AffectsRules: rule})
			}
		}
	}
}

// formatField formats a field that is not a block as it is written in a file; empty if it is not set.
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

// compareBlocks compares two lists of blocks. Blocks with a label are matched by it; others are compared as a whole, by
// position.
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
				d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%d]", path, i),
					Name: fmt.Sprintf("%s %d", name, i+1), From: from, To: to, AffectsRules: rule})
			}
		}
		return
	}
	label := func(m protoreflect.Message) string { return m.Get(s.labelField).String() }
	find := func(list protoreflect.List, wanted string) int {
		for i := range list.Len() {
			if label(list.Get(i).Message()) == wanted {
				return i
			}
		}
		return -1
	}
	renamed := map[int]bool{}
	lastMatch := -1 // greatest position in b matched so far
	for i := range a.Len() {
		m := a.Get(i).Message()
		at := fmt.Sprintf("%s[%d]", path, i)
		j := find(b, label(m))
		if j >= 0 {
			d.compareMessages(m, b.Get(j).Message(), schema, at+".", name+" "+quote(label(m))+":")
			if j < lastMatch { // order has a meaning: the first operation that matches a request gets it
				d.changes = append(d.changes, Change{Path: at, Name: name + " " + quote(label(m)),
					From: fmt.Sprint(i + 1), To: fmt.Sprint(j + 1), Moved: true, AffectsRules: true})
			}
			lastMatch = max(lastMatch, j)
			continue
		}
		for k := range b.Len() { // the same block under another label
			candidate := b.Get(k).Message()
			if renamed[k] || find(a, label(candidate)) >= 0 {
				continue
			}
			relabeled := proto.Clone(candidate.Interface()).ProtoReflect()
			relabeled.Set(s.labelField, m.Get(s.labelField))
			if proto.Equal(relabeled.Interface(), m.Interface()) {
				renamed[k] = true
				j = k
				break
			}
		}
		if j >= 0 {
			d.changes = append(d.changes, Change{Path: at, Name: name, From: quote(label(m)),
				To: quote(label(b.Get(j).Message())), Renamed: true})
		} else {
			d.changes = append(d.changes, Change{Path: at, Name: name + " " + quote(label(m)),
				From: formatInline(s, m), AffectsRules: true})
		}
	}
	for j := range b.Len() {
		if m := b.Get(j).Message(); find(a, label(m)) < 0 && !renamed[j] {
			d.changes = append(d.changes, Change{Path: fmt.Sprintf("%s[%d]", path, j),
				Name: name + " " + quote(label(m)), To: formatInline(s, m), AffectsRules: true})
		}
	}
}

// formatInline writes a block on one line.
func formatInline(s *setting, m protoreflect.Message) string {
	var b bytes.Buffer
	writeBlock(&b, s, m, 0)
	return strings.Join(strings.Fields(b.String()), " ")
}
