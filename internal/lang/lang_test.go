package lang

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	"arrowcleat/internal/settings"
)

// enterDir reads a folder's files as they are named from enterDir it.
func enterDir(t *testing.T, dir string) []string {
	t.Helper()
	t.Chdir(dir)
	files, err := filepath.Glob("*.cleat")
	if err != nil || len(files) == 0 {
		t.Fatal("no files", err)
	}
	return files
}

// Each broken file has one message, kept beside it; with UPDATE=1 it is written anew, to be read by people.
func TestBroken(t *testing.T) {
	files := enterDir(t, "testdata/bad")
	if len(files) < 80 {
		t.Errorf("%d files", len(files))
	}
	for _, f := range files {
		set, found := Load(f, os.ReadFile)
		wrong := 0
		var got strings.Builder
		for _, d := range found {
			if !d.Warning {
				wrong++
				fmt.Fprintln(&got, d)
				if explanations[d.Code] == "" {
					t.Errorf("%s: %s is explained nowhere", f, d.Code)
				}
			}
		}
		if set != nil || wrong != 1 {
			t.Errorf("%s: %d messages: %s", f, wrong, got.String())
		}
		want := strings.TrimSuffix(f, "cleat") + "want"
		if os.Getenv("UPDATE") != "" {
			os.WriteFile(want, []byte(got.String()), 0o644)
		}
		if text, err := os.ReadFile(want); err != nil || string(text) != got.String() {
			t.Errorf("%s:\n%s\nnot\n%s", f, got.String(), text)
		}
	}
}

// Each good file compiles to what is kept beside it, formatted or not; formatted twice it is as formatted once.
func TestGood(t *testing.T) {
	files := enterDir(t, "testdata/good")
	if len(files) < 30 {
		t.Errorf("%d files", len(files))
	}
	for _, f := range files {
		set, found := Load(f, os.ReadFile)
		if set == nil || len(found) > 0 {
			t.Errorf("%s: %v", f, found)
			continue
		}
		want := strings.TrimSuffix(f, "cleat") + "want"
		var got bytes.Buffer
		for _, c := range Diff(&settings.Settings{}, set) { // one line a setting, whatever the writer of protobuf text does
			fmt.Fprintln(&got, c.Name, c.To)
		}
		if os.Getenv("UPDATE") != "" {
			os.WriteFile(want, got.Bytes(), 0o644)
		}
		if text, err := os.ReadFile(want); err != nil || !bytes.Equal(text, got.Bytes()) {
			t.Errorf("%s compiles to\n%s", f, got.String())
		}
		text, _ := os.ReadFile(f)
		once, bad := Format(f, text)
		if bad != nil {
			t.Fatal(bad)
		}
		if twice, _ := Format(f, once); !bytes.Equal(once, twice) {
			t.Errorf("%s formatted twice:\n%s\nonce:\n%s", f, twice, once)
		}
		again, _ := Load(f, func(path string) ([]byte, error) {
			if path == f {
				return once, nil
			}
			return os.ReadFile(path)
		})
		if !proto.Equal(set, again) {
			t.Errorf("%s formatted means something else: %v", f, Diff(set, again))
		}
		if got, want := bytes.Count(once, []byte("#")), bytes.Count(text, []byte("#")); got != want {
			t.Errorf("%s: %d comments of %d are left", f, got, want)
		}
		back, found := Compile("back.cleat", Decompile(set))
		if !proto.Equal(set, back) {
			t.Errorf("%s decompiled means something else: %v %v", f, found, Diff(set, back))
		}
	}
}

func loadBase(t testing.TB) *settings.Settings {
	set, found := Load("testdata/good/includes.cleat", os.ReadFile)
	if set == nil {
		t.Fatal(found)
	}
	return set
}

// changeRandomField sets one field of a message, anywhere in it, to something else, and gives its name.
func changeRandomField(t *rapid.T, m protoreflect.Message) string {
	var fields []protoreflect.FieldDescriptor
	m.Range(func(f protoreflect.FieldDescriptor, _ protoreflect.Value) bool {
		fields = append(fields, f)
		return true
	})
	if len(fields) == 0 {
		return ""
	}
	f := fields[rapid.IntRange(0, len(fields)-1).Draw(t, "field")]
	v := m.Get(f)
	if f.IsList() {
		list := m.Mutable(f).List()
		i := rapid.IntRange(0, list.Len()-1).Draw(t, "item")
		if f.Kind() == protoreflect.MessageKind {
			return changeRandomField(t, list.Get(i).Message())
		}
		list.Set(i, protoreflect.ValueOfString(list.Get(i).String()+"x"))
		return string(f.Name())
	}
	switch f.Kind() {
	case protoreflect.MessageKind:
		return changeRandomField(t, m.Mutable(f).Message())
	case protoreflect.BoolKind:
		m.Set(f, protoreflect.ValueOfBool(!v.Bool()))
	case protoreflect.EnumKind:
		m.Set(f, protoreflect.ValueOfEnum(v.Enum()%3+1))
	case protoreflect.StringKind:
		m.Set(f, protoreflect.ValueOfString(v.String()+rapid.StringOf(rapid.RuneFrom([]rune(`ax "\{}#;$ö/*`))).Draw(t, "text")+"y"))
	case protoreflect.Uint32Kind:
		m.Set(f, protoreflect.ValueOfUint32(uint32(v.Uint())+rapid.Uint32Range(1, 1<<20).Draw(t, "by")))
	case protoreflect.Uint64Kind:
		m.Set(f, protoreflect.ValueOfUint64(v.Uint()+rapid.Uint64Min(1).Draw(t, "by")))
	default:
		x := rapid.Float64Range(0.0001, 0.9999).Draw(t, "figure")
		if x == v.Float() {
			x /= 2
		}
		m.Set(f, protoreflect.ValueOfFloat64(x))
	}
	return string(f.Name())
}

// A share is written so that it reads back as the same, also where a hundred times it would round.
func TestSharesReadBack(t *testing.T) {
	for text, v := range map[string]float64{"64.00000154972094%": 0.6400000154972094, "0.5%": 0.005, "25%": 0.25, "100%": 1, "0%": 0,
		"150%": 1.5, "0.00001%": 1e-7} {
		if got := formatQuantity(kindShare, v); got != text || toBaseUnit(strings.TrimSuffix(got, "%"), units[kindShare][0]) != v {
			t.Errorf("%v is written as %s", v, got)
		}
	}
}

// Diff finds every single field that changes, and nothing where nothing does; what is decompiled reads as the same.
func TestDiffAndDecompile(t *testing.T) {
	set := loadBase(t)
	if d := Diff(set, set.Copy()); len(d) > 0 {
		t.Errorf("of itself it differs in %v", d)
	}
	rapid.Check(t, func(t *rapid.T) {
		other := set.Copy()
		name := changeRandomField(t, other.ProtoReflect())
		if name == "" {
			t.Skip("nothing to change")
		}
		d := Diff(set, other)
		if len(d) == 0 {
			t.Fatalf("a change of %s is not found", name)
		}
		if len(d) > 1 && name != "name" {
			t.Fatalf("one change of %s is told as %v", name, d)
		}
		c := newCompiler(os.ReadFile)
		s, bad := parse("d.cleat", Decompile(other))
		if bad != nil {
			t.Fatal(bad)
		}
		for _, it := range s.tree.Items {
			if it.Stmt != nil {
				c.statements = append(c.statements, fileStatement{it.Stmt, s})
			}
		}
		c.setFields(c.statements, rootSchema, c.out.ProtoReflect(), "", scope{})
		settings.Check(c.out) // fills in empty blocks
		if len(c.diagnostics) > 0 || !proto.Equal(c.out, other) {
			t.Fatalf("decompiled it reads as something else: %v %v\n%v\n%v", c.diagnostics, Diff(other, c.out), other, c.out)
		}
	})
}

// What diff says of the matters that people care for.
func TestDiffSays(t *testing.T) {
	set := loadBase(t)
	for _, c := range []struct {
		change func(*settings.Settings)
		want   string
	}{
		{func(s *settings.Settings) { s.Operation[1].LimitMs = 8000 }, "operation slot-book: time-limit 1.5s -> 8s  (touches a rule)"},
		{func(s *settings.Settings) { s.Operation[2].Name = "remind" }, "operation renamed reminder -> remind"},
		{func(s *settings.Settings) { s.Operation[0], s.Operation[1] = s.Operation[1], s.Operation[0] }, "operation slot-book moved  (touches a rule)"},
		{func(s *settings.Settings) { s.Operation = s.Operation[:2] }, "operation reminder removed: operation reminder { match POST /reminders repeat side-effecting slo-time 400ms time-limit 1.5s billed-value 2 }  (touches a rule)"},
		{func(s *settings.Settings) { s.Rollout.Stage[0].Cap = 0.036 }, "release: stage 1 stage 17% cap 25% -> stage 17% cap 3.6%  (touches a rule)"},
		{func(s *settings.Settings) { s.Log.Level = "debug" }, "log: level info -> debug"},
		{func(s *settings.Settings) { s.Zone = s.Zone[:1] }, "zones east west -> east"},
	} {
		other := set.Copy()
		c.change(other)
		if d := Diff(set, other); len(d) != 1 || d[0].String() != c.want {
			t.Errorf("%v\nnot\n%s", d, c.want)
		}
	}
}

// What is odd but may be meant is a warning, with its place, and the settings can be used.
func TestWarnings(t *testing.T) {
	text, err := os.ReadFile("testdata/good/plain.cleat")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"match POST /reminders", "match POST /slots/late", "w.cleat:28:14: warning AC401 reminder can't be reached by POST /slots/late: slot-book matches it first"},
		{"memory 2.5s", "memory 1s", "w.cleat:21:10: warning AC402 slot-book: nodes remember a repeat for 1s, less than its time limit of 1.5s"},
		{"dial 300ms", "dial 500ms", "w.cleat:61:8: warning AC403 a connection may open 500ms after a dispatch, later than the grace of 400ms for draining nodes"},
		{"shielded 1\n", "", "w.cleat:84:1: warning AC405 slot-book is not idempotent and may go to a build in its first stage"},
		{"zones east west", "let spare 5s\nzones east west", "w.cleat:5:1: warning AC110 spare is defined but never used"},
	} {
		changed := strings.Replace(string(text), c.old, c.new, 1)
		set, found := Compile("w.cleat", []byte(changed))
		if changed == string(text) || set == nil || len(found) != 1 {
			t.Errorf("%q for %q: %v", c.new, c.old, found)
		} else if got, _, _ := strings.Cut(found[0].Error(), "\n"); got != c.want {
			t.Errorf("%s\nnot\n%s", got, c.want)
		}
	}
}

// No text makes the parser, the compiler or the formatter panic; formatted, a text is formatted and means the same.
func FuzzText(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*.cleat")
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil && len(text) < 10000 {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, found := Compile("f.cleat", text)
		for _, d := range found {
			if d.Line < 1 || d.Column < 1 || explanations[d.Code] == "" || d.Error() == "" {
				t.Fatalf("%+v", d)
			}
		}
		once, bad := Format("f.cleat", text)
		if bad != nil {
			return
		}
		twice, bad := Format("f.cleat", once)
		if bad != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%q is formatted as %q, then as %q, %v", text, once, twice, bad)
		}
		if again, _ := Compile("f.cleat", once); (set == nil) != (again == nil) || set != nil && !proto.Equal(set, again) {
			t.Fatalf("%q formatted means something else", text)
		}
	})
}
