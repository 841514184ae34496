package lang

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// fleetFiles writes settings of so many operations, five matches each, over a file for each operation and one more.
func fleetFiles(operations int) map[string]string {
	files := map[string]string{}
	base := func(name string) string {
		text, err := os.ReadFile("testdata/base/" + name + ".cleat")
		if err != nil {
			panic(err)
		}
		return string(text)
	}
	main := base("marshal") + base("listen") + base("limits") + base("times") + base("control") + base("rules") + base("release") + base("rest")
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

func readFrom(files map[string]string) ReadFunc {
	return func(path string) ([]byte, error) {
		if text, ok := files[path]; ok {
			return []byte(text), nil
		}
		return nil, os.ErrNotExist
	}
}

// A fleet's files of growing size: 40 operations with 200 matches over 41 files, and several times that.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{40, 80, 160, 320} {
		files := fleetFiles(n)
		b.Run(fmt.Sprintf("check/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if set, found := Load("main.cleat", readFrom(files)); set == nil || len(set.Operation) != n {
					b.Fatal(found)
				}
			}
		})
		b.Run(fmt.Sprintf("fmt/%d", n), func(b *testing.B) {
			for b.Loop() {
				for name, text := range files {
					if _, bad := Format(name, []byte(text)); bad != nil {
						b.Fatal(bad)
					}
				}
			}
		})
		set, _ := Load("main.cleat", readFrom(files))
		other := set.Copy()
		other.Operation[n/2].LimitMs = 1
		b.Run(fmt.Sprintf("diff/%d", n), func(b *testing.B) {
			for b.Loop() {
				if len(Diff(set, other)) != 1 {
					b.Fatal("not one difference")
				}
			}
		})
	}
}

// The editor's file kept beside the examples is the one that the schema makes.
func TestVimIsWritten(t *testing.T) {
	text, err := os.ReadFile("../../examples/cleat.vim")
	if err != nil || string(text) != VimSyntax() {
		t.Errorf("examples/cleat.vim is not what arrowcleat syntax vim writes: %v", err)
	}
}

// The grammar that docs/language.md shows is the parser's own.
func TestGrammarIsWritten(t *testing.T) {
	text, err := os.ReadFile("../../docs/language.md")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), Grammar()) {
		t.Errorf("docs/language.md does not hold the grammar:\n%s", Grammar())
	}
	for _, l := range schemas {
		for _, name := range l.names {
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
