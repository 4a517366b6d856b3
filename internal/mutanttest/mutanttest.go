// Package mutanttest builds mutants of this module for tests: copies of the source from which one
// guard is removed. A check that still passes on a mutant does not check the property that the guard
// ensures. The source files are not changed: a mutant exists only as an overlay of the go command.
package mutanttest

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Mutant is a change to one source file that removes a guard: New replaces Old.
type Mutant struct {
	Name string
	File string // path from the module's root, with slashes
	Old  string // must occur exactly once in File
	New  string
}

// errNotUnique is returned for a Mutant whose Old text does not occur exactly once.
var errNotUnique = errors.New("text to replace must occur exactly once")

// apply returns the source with the change of the mutant.
func (m *Mutant) apply(source string) (string, error) {
	if n := strings.Count(source, m.Old); n != 1 {
		return "", fmt.Errorf("mutant %s: %s: %w, occurs %d times", m.Name, m.File, errNotUnique, n)
	}
	return strings.Replace(source, m.Old, m.New, 1), nil
}

// WriteOverlay writes the mutated source file and an overlay file for the -overlay flag of the go
// command to dir, and returns the path of the overlay file.
func (m *Mutant) WriteOverlay(dir string) (string, error) {
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	original := filepath.Join(root, filepath.FromSlash(m.File))
	source, err := os.ReadFile(original)
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	mutated, err := m.apply(string(source))
	if err != nil {
		return "", err
	}
	replacement := filepath.Join(dir, filepath.Base(original))
	if err := os.WriteFile(replacement, []byte(mutated), 0o600); err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {original: replacement}})
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	path := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(path, overlay, 0o600); err != nil {
		return "", fmt.Errorf("mutant %s: %w", m.Name, err)
	}
	return path, nil
}

// ExpectKilled runs a test of a package of this module on the mutant, and fails the calling test
// unless the test fails on the mutant. The package is relative to the root of the module, as in
// "./internal/lease". A mutant that does not build fails the calling test, too.
func ExpectKilled(t *testing.T, mutant Mutant, pkg, test string, args ...string) {
	t.Helper()
	overlay, err := mutant.WriteOverlay(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	root, err := moduleRoot()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("go", append([]string{"test", "-count=1", "-overlay", overlay, pkg,
		"-run", "^" + test + "$"}, args...)...)
	command.Dir = root
	output, err := command.CombinedOutput()
	if err == nil {
		t.Fatalf("mutant %s: %s passes, want a failure", mutant.Name, test)
	}
	if !strings.Contains(string(output), "--- FAIL: "+test) {
		t.Fatalf("mutant %s: go test failed, but not in %s: %v\n%s", mutant.Name, test, err, output)
	}
}

// Case is a mutant and the name of a test that must fail on the mutant.
type Case struct {
	Mutant Mutant
	Test   string
}

// ExpectAllKilled calls ExpectKilled for each case, in a subtest with the names of the mutant and
// the test.
func ExpectAllKilled(t *testing.T, pkg string, cases []Case, args ...string) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.Mutant.Name+"/"+c.Test, func(t *testing.T) {
			ExpectKilled(t, c.Mutant, pkg, c.Test, args...)
		})
	}
}

// moduleRoot returns the directory of go.mod.
func moduleRoot() (string, error) {
	output, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("find the root of the module: %w", err)
	}
	return filepath.Dir(strings.TrimSpace(string(output))), nil
}
