package lang

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// kind is the type of a setting's value. It determines which units the value may have.
type kind int

const (
	kindText kind = iota
	kindFlag
	kindCount
	kindNumber
	kindTime
	kindSize
	kindShare
	kindRate
	kindEnum // the name of an enum value
	kindBlock
)

// setting is a name of the language and the protobuf field that it sets.
type setting struct {
	name         string
	kind         kind
	field        protoreflect.FieldDescriptor
	labelField   protoreflect.FieldDescriptor // for a block with a label after its name: the field that the label sets
	lineElements []lineElement                // for a block that is written as the values of one line
}

// lineElement is one position of a block that is written on one line: a field, or a fixed keyword before one.
type lineElement struct {
	keyword  string
	field    protoreflect.FieldDescriptor
	optional bool // the value may be left out
}

// blockSchema is the settings that a block may contain.
type blockSchema struct {
	message protoreflect.MessageDescriptor
	names   []string // in the order of the fields
	byName  map[string]*setting
}

// nameOverrides maps fields to their names in the language, for names that are not derived from the field's own.
var nameOverrides = map[string]string{
	"Settings.instance": "marshal", "Settings.zone": "zones", "Settings.model": "models", "Settings.rollout": "release",
	"Pool.rollout": "release", "Operation.listener": "listeners",
	"Operation.slo_ms": "slo-time", "Operation.limit_ms": "time-limit", "Rollout.counted_over_ms": "window",
	"Rollout.votes_per_s": "votes", "Tenant.per_s": "quota", "Roster.reconnect_ms": "reconnect", "Times.header_ms": "header",
	"Headers.time_ms": "time", "Headers.cost_ms": "cost", "Rollout.tally_ms": "tally-every",
}

// shareFields are the number fields that are written as a percentage.
var shareFields = map[string]bool{"Rules.cold_from": true, "Stage.part": true, "Stage.cap": true, "Prices.cross_zone": true}

// schemas holds the schema of each block, built once from the protobuf descriptors.
var schemas = map[protoreflect.FullName]*blockSchema{}

// rootSchema is the schema of the top level of a file.
var rootSchema = buildSchema((&settings.Settings{}).ProtoReflect().Descriptor())

// buildSchema builds the schema of a message and, recursively, of the messages in its fields.
func buildSchema(m protoreflect.MessageDescriptor) *blockSchema {
	if schema := schemas[m.FullName()]; schema != nil {
		return schema
	}
	schema := &blockSchema{message: m, byName: map[string]*setting{}}
	schemas[m.FullName()] = schema
	for i := range m.Fields().Len() {
		f := m.Fields().Get(i)
		s := &setting{field: f, kind: kindOf(m, f)}
		if s.name = nameOverrides[string(m.Name())+"."+string(f.Name())]; s.name == "" {
			s.name = string(f.Name())
			if s.kind == kindTime || s.kind == kindSize {
				s.name = s.name[:strings.LastIndexByte(s.name, '_')]
			}
			s.name = strings.ReplaceAll(s.name, "_", "-")
		}
		if s.kind == kindBlock {
			blockMessage := f.Message()
			buildSchema(blockMessage)
			field := func(name string) protoreflect.FieldDescriptor {
				return blockMessage.Fields().ByName(protoreflect.Name(name))
			}
			switch blockMessage.Name() {
			case "Operation", "Tenant", "Pool", "Listener":
				s.labelField = field("name")
			case "Peer":
				s.labelField = field("number")
			case "Match":
				s.lineElements = []lineElement{{field: field("method"), optional: true}, {field: field("path")}}
			case "Stage":
				s.lineElements = []lineElement{{field: field("part")}, {keyword: "cap"}, {field: field("cap")}}
			}
		}
		schema.names = append(schema.names, s.name)
		schema.byName[s.name] = s
	}
	return schema
}

// kindOf derives the kind of a field from its protobuf type, the suffix of its name and shareFields.
func kindOf(m protoreflect.MessageDescriptor, f protoreflect.FieldDescriptor) kind {
	name := string(f.Name())
	switch f.Kind() {
	case protoreflect.MessageKind:
		return kindBlock
	case protoreflect.BoolKind:
		return kindFlag
	case protoreflect.EnumKind:
		return kindEnum
	case protoreflect.StringKind:
		return kindText
	}
	switch {
	case strings.HasSuffix(name, "_ms"):
		return kindTime
	case strings.HasSuffix(name, "_bytes"):
		return kindSize
	case strings.HasSuffix(name, "per_s"):
		return kindRate
	case shareFields[string(m.Name())+"."+name]:
		return kindShare
	case f.Kind() == protoreflect.DoubleKind:
		return kindNumber
	}
	return kindCount
}

// enumNames lists the names of an enum's values in the language, without the unset value.
func enumNames(e protoreflect.EnumDescriptor) (all []string) {
	for i := range e.Values().Len() {
		if n := string(e.Values().Get(i).Name()); !strings.HasSuffix(n, "_UNSET") {
			all = append(all, strings.ReplaceAll(strings.ToLower(n), "_", "-"))
		}
	}
	return all
}

// unit is a unit that a number may have, and its size in the base unit of the protobuf field: a power of ten, which is
// applied to the text and so is exact, times a whole number, divided by a whole number.
type unit struct {
	name     string
	exponent string // appended to the text of the number
	factor   float64
	divisor  float64
}

// units lists the units of each kind; the first is the base unit, except for shares.
var units = map[kind][]unit{
	kindTime:  {{"ms", "", 1, 1}, {"s", "e3", 1, 1}, {"min", "", 60000, 1}, {"h", "", 3600000, 1}, {"us", "e-3", 1, 1}},
	kindSize:  {{"B", "", 1, 1}, {"KiB", "", 1 << 10, 1}, {"MiB", "", 1 << 20, 1}, {"GiB", "", 1 << 30, 1}, {"kB", "e3", 1, 1}, {"MB", "e6", 1, 1}, {"GB", "e9", 1, 1}},
	kindShare: {{"%", "e-2", 1, 1}},
	kindRate:  {{"/s", "", 1, 1}, {"/min", "", 1, 60}},
}

// kindDescriptions holds a description and an example of each kind, for messages.
var kindDescriptions = map[kind][2]string{
	kindText: {"a text", `"text"`}, kindFlag: {"on or off", "on"}, kindCount: {"a whole number", "3"}, kindNumber: {"a number", "1.5"},
	kindTime: {"a time", "250ms"}, kindSize: {"a size", "64KiB"}, kindShare: {"a share", "3.6%"}, kindRate: {"a rate", "20/s"},
}
