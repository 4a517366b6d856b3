//go:build review

// Package review has the cases of an independent review: see REPORT.md. This test runs
// their scripts; they must have been built. It is in no default run.
package review

import (
	"os/exec"
	"testing"
)

// TestCases fails for each case whose rule was broken.
func TestCases(t *testing.T) {
	for _, folder := range []string{"1", "2", "3"} {
		out, err := exec.Command("sh", folder+"/run.sh").CombinedOutput()
		if err != nil {
			t.Errorf("case %s: %v: %s", folder, err, out)
		}
	}
}
