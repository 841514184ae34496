package lang

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// fleetFiles returns settings with the given number of operations, five matches each: one file for each operation and
// main.cleat, which includes them.
func fleetFiles(operations int) map[string]string {
	files := map[string]string{}
	base := func(name string) string {
		text, err := os.ReadFile("testdata/base/" + name + ".cleat")
		if err != nil {
			panic(err)
		}
		return string(text)
	}
	main := base("marshal") + base("listen") + base("limits") + base("times") + base("control") +
		base("rules") + base("release") + base("rest")
	main += "define usual slo limit {\n  repeat fingerprinted\n  group zone\n  memory 10s\n  slo-time $slo\n  time-limit $limit\n}\n"
	for i := range operations {
		name := fmt.Sprintf("op%d.cleat", i)
		main += fmt.Sprintf("include %q\n", name)
		text := fmt.Sprintf("# operation %d\noperation op-%d {\n  use usual 250ms 2s\n", i, i)
		for j := range 5 {
			text += fmt.Sprintf("  match POST /service-%d/path-%d/*\n", i, j)
		}
		files[name] = text + "}\n"
	}
	files["main.cleat"] = main
	return files
}

// readFrom returns a ReadFunc for files in memory.
func readFrom(files map[string]string) ReadFunc {
	return func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, os.ErrNotExist
	}
}

// BenchmarkFleet measures check, fmt and diff on settings of growing size: 40 operations with 200 matches in 41 files,
// and two, four and eight times that.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{40, 80, 160, 320} {
		files := fleetFiles(n)
		b.Run(fmt.Sprintf("check/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if set, diagnostics := Load("main.cleat", readFrom(files)); set == nil || len(set.Operation) != n {
					b.Fatal(diagnostics)
				}
			}
		})
		b.Run(fmt.Sprintf("fmt/%d", n), func(b *testing.B) {
			for b.Loop() {
				for name, text := range files {
					if _, syntaxErr := Format(name, []byte(text)); syntaxErr != nil {
						b.Fatal(syntaxErr)
					}
				}
			}
		})
		set, _ := Load("main.cleat", readFrom(files))
		changed := set.Copy()
		changed.Operation[n/2].LimitMs = 1
		b.Run(fmt.Sprintf("diff/%d", n), func(b *testing.B) {
			for b.Loop() {
				if changes := Diff(set, changed); len(changes) != 1 {
					b.Fatalf("%d differences, want 1", len(changes))
				}
			}
		})
	}
}

// examples/cleat.vim is up to date with the schema.
func TestVimIsWritten(t *testing.T) {
	text, err := os.ReadFile("../../examples/cleat.vim")
	if err != nil || string(text) != VimSyntax() {
		t.Errorf("examples/cleat.vim differs from the output of arrowcleat syntax vim (read error: %v)", err)
	}
}

// docs/language.md shows the parser's grammar and names every setting and diagnostic code.
func TestGrammarIsWritten(t *testing.T) {
	text, err := os.ReadFile("../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), Grammar()) {
		t.Errorf("docs/language.md does not contain the grammar:\n%s", Grammar())
	}
	for _, schema := range schemas {
		for _, name := range schema.names {
			if !strings.Contains(string(text), "`"+name) {
				t.Errorf("docs/language.md does not name %s", name)
			}
		}
	}
	for code := range explanations {
		if !strings.Contains(string(text), code) {
			t.Errorf("docs/language.md does not name %s", code)
		}
	}
}
