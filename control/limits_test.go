package control

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestModuleSize enforces the operators' limits on the source files of this package.
func TestModuleSize(t *testing.T) {
	const maxLines, maxColumns = 500, 110
	files, err := filepath.Glob("*.go")
	if err != nil || len(files) == 0 {
		t.Fatalf("no source files found: %v", err)
	}
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		src, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		lines := 0
		for i, line := range bytes.Split(src, []byte("\n")) {
			if len(bytes.TrimSpace(line)) > 0 {
				lines++
			}
			line = bytes.ReplaceAll(line, []byte("\t"), []byte("    "))
			if n := utf8.RuneCount(line); n > maxColumns {
				t.Errorf("%s:%d has %d columns, want at most %d", file, i+1, n, maxColumns)
			}
		}
		if lines > maxLines {
			t.Errorf("%s has %d lines that are not blank, want at most %d", file, lines, maxLines)
		}
	}
}
