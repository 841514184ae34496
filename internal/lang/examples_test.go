package lang

import (
	"os"
	"path/filepath"
	"testing"
)

// Every example compiles and is formatted.
func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.cleat")
	if len(files) < 3 {
		t.Fatalf("%d examples found, want at least 3", len(files))
	}
	for _, f := range files {
		if set, diagnostics := Load(f, os.ReadFile); set == nil {
			t.Errorf("%s: %v", f, diagnostics)
		}
		text, err := os.ReadFile(f)
		if out, syntaxErr := Format(f, text); err != nil || syntaxErr != nil || string(out) != string(text) {
			t.Errorf("%s is not formatted: read error %v, syntax error %v", f, err, syntaxErr)
		}
	}
}
