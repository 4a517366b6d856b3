package store

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const testOwner = "n0"

// testKeys are the keys in a test file. The value of each key is testValue(key).
var testKeys = []string{"a", "b", "incarnation"}

func testValue(key string) string { return "value of " + key }

// openTest opens the store in a directory. No warning may be reported.
func openTest(t testing.TB, dir string) *Store {
	t.Helper()
	s, warning, err := Open(dir, testOwner, func(line string) { t.Error(line) })
	if err != nil || warning != "" {
		t.Fatalf("warning %q, error %v", warning, err)
	}
	return s
}

// testFile returns the bytes of a file with testKeys and their values.
func testFile(t *testing.T) []byte {
	t.Helper()
	dir := t.TempDir()
	s := openTest(t, dir)
	for _, key := range testKeys {
		if err := s.Put(key, []byte(testValue(key))); err != nil {
			t.Fatal(err)
		}
	}
	content, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

func writeFile(t testing.TB, dir string, content []byte) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(dir, fileName), content, fileMode); err != nil {
		t.Fatal(err)
	}
}

// TestReopen checks that stored values are found when the directory is opened again, and
// that the directory opens only for its owner.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, testFile(t))
	s := openTest(t, dir)
	if value, err := s.Get("b"); string(value) != testValue("b") || err != nil {
		t.Errorf("value %q, %v, want %q", value, err, testValue("b"))
	}
	if value, err := s.Get("c"); value != nil || err != nil {
		t.Errorf("an absent key has value %q, %v", value, err)
	}
	if _, _, err := Open(dir, "n1", nil); !errors.Is(err, ErrForeignOwner) || !strings.Contains(err.Error(), `"n0"`) {
		t.Errorf("Open for another owner: error %v, want %v with the owner", err, ErrForeignOwner)
	}
	if _, _, err := Open(filepath.Join(dir, "none"), testOwner, nil); err == nil {
		t.Error("Open succeeds for a directory that does not exist")
	}
}

// TestAllWithoutPrefix guards against a file that is taken for corrupt, and replaced, because
// all its values are read.
func TestAllWithoutPrefix(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, dir, testFile(t))
	s := openTest(t, dir)
	for prefix, want := range map[string]int{"": len(testKeys), "in": 1, "none": 0} {
		values, err := s.All(prefix)
		if err != nil || len(values) != want {
			t.Errorf("prefix %q: %d values, %v, want %d", prefix, len(values), err, want)
		}
	}
	if value, err := s.Get("a"); string(value) != testValue("a") || err != nil {
		t.Errorf("value %q, %v, want %q", value, err, testValue("a"))
	}
}

func BenchmarkPut(b *testing.B) {
	s := openTest(b, b.TempDir())
	for b.Loop() {
		if err := s.Put("k", []byte("value")); err != nil {
			b.Fatal(err)
		}
	}
}
