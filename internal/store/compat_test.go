package store

import (
	"bytes"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"go.etcd.io/bbolt"

	"dewhill/internal/goldentest"
)

const compatOwner = "front-0"

// compatDir returns a directory with the golden file of the previous version, as it exists
// when a front end is upgraded.
func compatDir(t *testing.T) string {
	t.Helper()
	golden, err := os.ReadFile(filepath.Join("testdata", "compat", "dewhill.db"))
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "dewhill.db"), golden, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

// openCompat opens the store in a directory. No warning may be reported.
func openCompat(t *testing.T, dir string) *Store {
	t.Helper()
	s, warning, err := Open(dir, compatOwner, func(line string) { t.Error(line) })
	if err != nil || warning != "" {
		t.Fatalf("warning %q, error %v", warning, err)
	}
	return s
}

// dump returns all buckets, keys and records of the file in a directory, in the format of
// the golden dump.
func dump(t *testing.T, dir string) string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "dewhill.db"), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = db.Close() }()
	var text strings.Builder
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(k, v []byte) error {
				_, err := fmt.Fprintf(&text, "%s %s %x\n", bucket, k, v)
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.String()
}

// goldenDump returns the expected dump of the golden file.
func goldenDump(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "compat", "pairs.txt"))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestCompatRead checks that an upgraded front end reads the values that the previous
// version has stored.
func TestCompatRead(t *testing.T) {
	dir := compatDir(t)
	if got := dump(t, dir); got != goldenDump(t) {
		t.Fatalf("the golden file holds\n%sgolden dump\n%s", got, goldenDump(t))
	}
	s := openCompat(t, dir)
	want := goldentest.Read(t, "values.txt")
	for key, value := range want {
		if got, err := s.Get(key); err != nil || !bytes.Equal(got, value) {
			t.Errorf("%s is %x, %v, golden %x", key, got, err, value)
		}
	}
	for prefix, names := range map[string][]string{ // the prefixes that replication and leases read
		"word/":  {"e/engine-1.example:8080", "f/front-2"},
		"loads/": {"claim/000102030405060708090a0b0c0d0e0f", "claim/fffefdfcfbfaf9f8f7f6f5f4f3f2f1f0", "voter"},
	} {
		all, err := s.All(prefix)
		if got := slices.Sorted(maps.Keys(all)); err != nil || !slices.Equal(got, names) {
			t.Errorf("keys under %s: %q, %v, want %q", prefix, got, err, names)
		}
		for name, value := range all {
			if !bytes.Equal(value, want[prefix+name]) {
				t.Errorf("%s%s is %x, golden %x", prefix, name, value, want[prefix+name])
			}
		}
	}
}

// TestCompatWritten checks that a new file has the buckets, keys, values and checksums of
// the golden file, so that the previous version can read it after an upgrade is rolled back.
func TestCompatWritten(t *testing.T) {
	dir := t.TempDir()
	s := openCompat(t, dir)
	for key, value := range goldentest.Read(t, "values.txt") {
		if err := s.Put(key, value); err != nil {
			t.Fatal(err)
		}
	}
	if got := dump(t, dir); got != goldenDump(t) {
		t.Errorf("written\n%sgolden\n%s", got, goldenDump(t))
	}
}

// TestCompatChanged checks that the golden file has the same content after values are
// changed and changed back.
func TestCompatChanged(t *testing.T) {
	dir := compatDir(t)
	s := openCompat(t, dir)
	values := goldentest.Read(t, "values.txt")
	if err := s.putAll(map[string][]byte{"incarnation": {7}, "loads/voter": nil, "another": {}}); err != nil {
		t.Fatal(err)
	}
	openCompat(t, dir)
	if got := dump(t, dir); got == goldenDump(t) {
		t.Error("the file has not changed")
	}
	if err := s.putAll(map[string][]byte{"incarnation": values["incarnation"], "loads/voter": values["loads/voter"], "another": nil}); err != nil {
		t.Fatal(err)
	}
	openCompat(t, dir)
	if got := dump(t, dir); got != goldenDump(t) {
		t.Errorf("written\n%sgolden\n%s", got, goldenDump(t))
	}
}
