package lang

import (
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"

	"arrowcleat/internal/settings"
)

// kind is what values a setting takes; a unit is part of it.
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
	kindEnum // one of an enum
	kindBlock
)

// setting is one name of the language and the field that it sets.
type setting struct {
	name         string
	kind         kind
	field        protoreflect.FieldDescriptor
	labelField   protoreflect.FieldDescriptor // of a block that has a name: the field which that sets
	lineElements []lineElement                // of a block that is written in one line
}

// lineElement is a place of a block in one line: a field, or a word that stands before one.
type lineElement struct {
	keyword  string
	field    protoreflect.FieldDescriptor
	optional bool // it may be left out
}

// blockSchema is what may stand in a block.
type blockSchema struct {
	message protoreflect.MessageDescriptor
	names   []string // in the order of the fields
	byName  map[string]*setting
}

// The names that are not made of the field's own.
var nameOverrides = map[string]string{
	"Settings.instance": "marshal", "Settings.zone": "zones", "Settings.model": "models", "Settings.rollout": "release", "Pool.rollout": "release", "Operation.listener": "listeners",
	"Operation.slo_ms": "slo-time", "Operation.limit_ms": "time-limit", "Rollout.counted_over_ms": "window",
	"Rollout.votes_per_s": "votes", "Tenant.per_s": "quota", "Roster.reconnect_ms": "reconnect", "Times.header_ms": "header",
	"Headers.time_ms": "time", "Headers.cost_ms": "cost", "Rollout.tally_ms": "tally-every",
}

var shareFields = map[string]bool{"Rules.cold_from": true, "Stage.part": true, "Stage.cap": true, "Prices.cross_zone": true}

// schemas are the blocks of the language, made of the schema once.
var schemas = map[protoreflect.FullName]*blockSchema{}

var rootSchema = buildSchema((&settings.Settings{}).ProtoReflect().Descriptor())

func buildSchema(m protoreflect.MessageDescriptor) *blockSchema {
	if schema := schemas[m.FullName()]; schema != nil {
		return schema
	}
	l := &blockSchema{message: m, byName: map[string]*setting{}}
	schemas[m.FullName()] = l
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
			field := func(name string) protoreflect.FieldDescriptor { return blockMessage.Fields().ByName(protoreflect.Name(name)) }
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
		l.names = append(l.names, s.name)
		l.byName[s.name] = s
	}
	return l
}

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

// enumNames are what an enum's values are called.
func enumNames(e protoreflect.EnumDescriptor) (all []string) {
	for i := range e.Values().Len() {
		if n := string(e.Values().Get(i).Name()); !strings.HasSuffix(n, "_UNSET") {
			all = append(all, strings.ReplaceAll(strings.ToLower(n), "_", "-"))
		}
	}
	return all
}

// unit is one that a figure may have, and how many of the inner form's it is: a power of ten, which is exact, times a
// whole number, or divided by one.
type unit struct {
	name     string
	exponent string
	factor   float64
	divisor  float64
}

var units = map[kind][]unit{
	kindTime:  {{"ms", "", 1, 1}, {"s", "e3", 1, 1}, {"min", "", 60000, 1}, {"h", "", 3600000, 1}, {"us", "e-3", 1, 1}},
	kindSize:  {{"B", "", 1, 1}, {"KiB", "", 1 << 10, 1}, {"MiB", "", 1 << 20, 1}, {"GiB", "", 1 << 30, 1}, {"kB", "e3", 1, 1}, {"MB", "e6", 1, 1}, {"GB", "e9", 1, 1}},
	kindShare: {{"%", "e-2", 1, 1}},
	kindRate:  {{"/s", "", 1, 1}, {"/min", "", 1, 60}},
}

// kinds in words, with an example of each.
var kindDescriptions = map[kind][2]string{
	kindText: {"a text", `"text"`}, kindFlag: {"on or off", "on"}, kindCount: {"a whole number", "3"}, kindNumber: {"a number", "1.5"},
	kindTime: {"a time", "250ms"}, kindSize: {"a size", "64KiB"}, kindShare: {"a share", "3.6%"}, kindRate: {"a rate", "20/s"},
}
