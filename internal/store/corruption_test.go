package store

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestCorruptFiles opens a file with changed bytes, a truncated file, and a file of another
// program. Open either finds the stored values, or renames the file and returns a warning
// of one line. It never returns an error, and the store works afterwards.
func TestCorruptFiles(t *testing.T) {
	intact, root := testFile(t), t.TempDir()
	rapid.Check(t, func(t *rapid.T) {
		dir, err := os.MkdirTemp(root, "")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = os.RemoveAll(dir) }()
		corrupt, headerChanged := drawCorruption(t, intact)
		if err := os.WriteFile(filepath.Join(dir, fileName), corrupt, fileMode); err != nil {
			t.Fatal(err)
		}
		s, warning, err := Open(dir, testOwner, nil)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(warning, "\n") {
			t.Fatalf("the warning has more than one line: %q", warning)
		}
		for _, key := range testKeys {
			value, err := s.Get(key)
			// A file with a changed header may show the state before the last Put.
			mayBeAbsent := warning != "" || headerChanged && key == "incarnation"
			if err != nil || value != nil && string(value) != testValue(key) || value == nil && !mayBeAbsent {
				t.Fatalf("key %s has value %q, %v; warning %q", key, value, err, warning)
			}
		}
		if err := s.Put("a", []byte("new")); err != nil {
			t.Fatal(err)
		}
		if value, err := s.Get("a"); string(value) != "new" || err != nil {
			t.Fatalf("value %q, %v after a Put, want \"new\"", value, err)
		}
	})
}

// drawCorruption draws a corrupted copy of a file, and reports whether bytes of its header
// pages were changed.
func drawCorruption(t *rapid.T, intact []byte) (corrupt []byte, headerChanged bool) {
	corrupt = append([]byte{}, intact...)
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		return corrupt[:rapid.IntRange(0, len(corrupt)-1).Draw(t, "cut")], false
	case 1:
		headerBytes := 2 * os.Getpagesize()
		for range rapid.IntRange(1, 40).Draw(t, "bytes") {
			at := rapid.IntRange(0, len(corrupt)-1).Draw(t, "at")
			headerChanged = headerChanged || at < headerBytes
			corrupt[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		}
		return corrupt, headerChanged
	default:
		return rapid.SliceOfN(rapid.Byte(), 0, 9000).Draw(t, "foreign"), false
	}
}

// TestKilledWhileCreating checks that a partial file, which a process leaves under another
// name if it is killed while it creates the store, is not reported as a corrupt store: the
// next process removes it and creates the file again.
func TestKilledWhileCreating(t *testing.T) {
	dir := t.TempDir()
	partial := filepath.Join(dir, fileName+".new")
	if err := os.WriteFile(partial, make([]byte, 5000), fileMode); err != nil {
		t.Fatal(err)
	}
	s := openTest(t, dir)
	if _, err := os.Stat(partial); !os.IsNotExist(err) {
		t.Errorf("the partial file has not been removed: %v", err)
	}
	if _, err := s.Get("a"); err != nil {
		t.Error(err)
	}
}
