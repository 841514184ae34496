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

// enterDir changes to a folder and returns its .cleat files, so that messages name them without the folder.
func enterDir(t *testing.T, dir string) []string {
	t.Helper()
	t.Chdir(dir)
	files, err := filepath.Glob("*.cleat")
	if err != nil || len(files) == 0 {
		t.Fatalf("no .cleat files in %s: %v", dir, err)
	}
	return files
}

// Each invalid file gives exactly one error, whose text is kept in the .want file beside it. UPDATE=1 rewrites the
// .want files; review the diff.
func TestBroken(t *testing.T) {
	files := enterDir(t, "testdata/bad")
	if len(files) < 80 {
		t.Errorf("%d files, want at least 80", len(files))
	}
	for _, f := range files {
		set, diagnostics := Load(f, os.ReadFile)
		failures := 0
		var got strings.Builder
		for _, d := range diagnostics {
			if !d.Warning {
				failures++
				fmt.Fprintln(&got, d)
				if explanations[d.Code] == "" {
					t.Errorf("%s: code %s has no explanation", f, d.Code)
				}
			}
		}
		if set != nil || failures != 1 {
			t.Errorf("%s: %d errors, want 1 and no settings: %s", f, failures, got.String())
		}
		want := strings.TrimSuffix(f, "cleat") + "want"
		if os.Getenv("UPDATE") != "" {
			os.WriteFile(want, []byte(got.String()), 0o644)
		}
		if text, err := os.ReadFile(want); err != nil || string(text) != got.String() {
			t.Errorf("%s: got\n%s\nwant\n%s", f, got.String(), text)
		}
	}
}

// Each valid file compiles to the settings in the .want file beside it. Formatting changes neither its meaning nor its
// comments and is idempotent; decompiling and compiling again gives the same settings.
func TestGood(t *testing.T) {
	files := enterDir(t, "testdata/good")
	if len(files) < 30 {
		t.Errorf("%d files, want at least 30", len(files))
	}
	for _, f := range files {
		set, diagnostics := Load(f, os.ReadFile)
		if set == nil || len(diagnostics) > 0 {
			t.Errorf("%s: %v", f, diagnostics)
			continue
		}
		want := strings.TrimSuffix(f, "cleat") + "want"
		var got bytes.Buffer
		for _, c := range Diff(&settings.Settings{}, set) { // one line per setting; protobuf text output is not stable
			fmt.Fprintln(&got, c.Name, c.To)
		}
		if os.Getenv("UPDATE") != "" {
			os.WriteFile(want, got.Bytes(), 0o644)
		}
		if text, err := os.ReadFile(want); err != nil || !bytes.Equal(text, got.Bytes()) {
			t.Errorf("%s: got\n%s\nwant\n%s", f, got.String(), text)
		}
		text, _ := os.ReadFile(f)
		once, syntaxErr := Format(f, text)
		if syntaxErr != nil {
			t.Fatal(syntaxErr)
		}
		if twice, _ := Format(f, once); !bytes.Equal(once, twice) {
			t.Errorf("%s: formatting again changes it from\n%s\nto\n%s", f, once, twice)
		}
		reloaded, _ := Load(f, func(path string) ([]byte, error) {
			if path == f {
				return once, nil
			}
			return os.ReadFile(path)
		})
		if !proto.Equal(set, reloaded) {
			t.Errorf("%s: formatting changes the settings: %v", f, Diff(set, reloaded))
		}
		if got, want := bytes.Count(once, []byte("#")), bytes.Count(text, []byte("#")); got != want {
			t.Errorf("%s: formatting leaves %d of %d comments", f, got, want)
		}
		recompiled, diagnostics := Compile("back.cleat", Decompile(set))
		if !proto.Equal(set, recompiled) {
			t.Errorf("%s: decompiling changes the settings: %v %v", f, diagnostics, Diff(set, recompiled))
		}
	}
}

// loadBase returns valid settings to be changed by a test.
func loadBase(t testing.TB) *settings.Settings {
	set, diagnostics := Load("testdata/good/includes.cleat", os.ReadFile)
	if set == nil {
		t.Fatal(diagnostics)
	}
	return set
}

// changeRandomField changes one random field of a message, at any depth, and returns its name; empty if nothing was
// changed.
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
		number := rapid.Float64Range(0.0001, 0.9999).Draw(t, "number")
		if number == v.Float() {
			number /= 2
		}
		m.Set(f, protoreflect.ValueOfFloat64(number))
	}
	return string(f.Name())
}

// A share is written so that it reads back as exactly the same number, even where multiplying it by 100 would round.
func TestSharesReadBack(t *testing.T) {
	for text, v := range map[string]float64{"64.00000154972094%": 0.6400000154972094, "0.5%": 0.005, "25%": 0.25, "100%": 1, "0%": 0,
		"150%": 1.5, "0.00001%": 1e-7} {
		if got := formatQuantity(kindShare, v); got != text || toBaseUnit(strings.TrimSuffix(got, "%"), units[kindShare][0]) != v {
			t.Errorf("%v is written as %s, want %s", v, got, text)
		}
	}
}

// Diff finds a change of any single field, and no change between equal settings. Changed settings decompile and compile
// to the same settings.
func TestDiffAndDecompile(t *testing.T) {
	set := loadBase(t)
	if changes := Diff(set, set.Copy()); len(changes) > 0 {
		t.Errorf("equal settings differ: %v", changes)
	}
	rapid.Check(t, func(t *rapid.T) {
		changed := set.Copy()
		name := changeRandomField(t, changed.ProtoReflect())
		if name == "" {
			t.Skip("nothing to change")
		}
		changes := Diff(set, changed)
		if len(changes) == 0 {
			t.Fatalf("the change of %s is not found", name)
		}
		if len(changes) > 1 && name != "name" {
			t.Fatalf("one change of %s is reported as %v", name, changes)
		}
		c := newCompiler(os.ReadFile)
		s, syntaxErr := parse("d.cleat", Decompile(changed))
		if syntaxErr != nil {
			t.Fatal(syntaxErr)
		}
		for _, it := range s.tree.Items {
			if it.Stmt != nil {
				c.statements = append(c.statements, fileStatement{it.Stmt, s})
			}
		}
		c.setFields(c.statements, rootSchema, c.out.ProtoReflect(), "", scope{})
		settings.Check(c.out) // fills in empty blocks
		if len(c.diagnostics) > 0 || !proto.Equal(c.out, changed) {
			t.Fatalf("decompiling changes the settings: %v %v\n%v\n%v", c.diagnostics, Diff(changed, c.out), changed, c.out)
		}
	})
}

// Each kind of change has the expected text.
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
		changed := set.Copy()
		c.change(changed)
		if changes := Diff(set, changed); len(changes) != 1 || changes[0].String() != c.want {
			t.Errorf("got %v\nwant %s", changes, c.want)
		}
	}
}

// A questionable setting gives a warning with its location, and the settings are still returned.
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
		set, diagnostics := Compile("w.cleat", []byte(changed))
		if changed == string(text) || set == nil || len(diagnostics) != 1 {
			t.Errorf("%q replaced by %q: %v, want one warning and settings", c.old, c.new, diagnostics)
		} else if got, _, _ := strings.Cut(diagnostics[0].Error(), "\n"); got != c.want {
			t.Errorf("got %s\nwant %s", got, c.want)
		}
	}
}

// No text makes the parser, the compiler or the formatter panic. Formatting is idempotent and keeps the meaning.
func FuzzText(f *testing.F) {
	files, _ := filepath.Glob("testdata/*/*.cleat")
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil && len(text) < 10000 {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		set, diagnostics := Compile("f.cleat", text)
		for _, d := range diagnostics {
			if d.Line < 1 || d.Column < 1 || explanations[d.Code] == "" || d.Error() == "" {
				t.Fatalf("incomplete diagnostic: %+v", d)
			}
		}
		once, syntaxErr := Format("f.cleat", text)
		if syntaxErr != nil {
			return
		}
		twice, syntaxErr := Format("f.cleat", once)
		if syntaxErr != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%q is formatted as %q, then as %q, %v", text, once, twice, syntaxErr)
		}
		if recompiled, _ := Compile("f.cleat", once); (set == nil) != (recompiled == nil) ||
			set != nil && !proto.Equal(set, recompiled) {
			t.Fatalf("formatting changes the meaning of %q", text)
		}
	})
}
