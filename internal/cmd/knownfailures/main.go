// Knownfailures runs a test command and tolerates failures of the tests that
// KNOWN-RED.txt names: tests that fail because of a real fault that is not fixed yet. It
// prints each tolerated failure. It fails if the file is malformed, names a test that does
// not exist, or names more than five tests, and if anything else in the run fails.
//
// A line of the file holds PACKAGE.TEST, the cause and the issue, separated by " | ":
//
//	internal/httpfront.TestChunks | pages are counted twice | 26
//
// A package that does not build, panics or times out is always a failure, even if the file
// names one of its tests, because the results of its other tests are unknown.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

const (
	knownFailuresFile = "KNOWN-RED.txt"
	maxKnown          = 5
	module            = "dewhill/"
)

func main() {
	known, err := readKnownFailures(knownFailuresFile)
	if err == nil {
		err = run(os.Args[1:], known)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "knownfailures:", err)
		os.Exit(1)
	}
}

// readKnownFailures returns the cause and issue of each test that the file names, by test.
// It returns nil if the file does not exist.
func readKnownFailures(path string) (map[string]string, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	known := map[string]string{}
	for k, line := range strings.Split(strings.TrimSuffix(string(data), "\n"), "\n") {
		parts := strings.Split(line, " | ")
		if len(parts) != 3 || strings.TrimSpace(parts[1]) == "" {
			return nil, fmt.Errorf("%s:%d: not PACKAGE.TEST | cause | issue: %q", path, k+1, line)
		}
		if _, err := strconv.Atoi(parts[2]); err != nil {
			return nil, fmt.Errorf("%s:%d: issue %q is not a number", path, k+1, parts[2])
		}
		if known[parts[0]] != "" {
			return nil, fmt.Errorf("%s:%d: %s is named twice", path, k+1, parts[0])
		}
		if !testExists(filepath.Dir(path), parts[0]) {
			return nil, fmt.Errorf("%s:%d: there is no test %s", path, k+1, parts[0])
		}
		known[parts[0]] = parts[1] + ", issue " + parts[2]
	}
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%s: %d tests, %d at most", path, len(known), maxKnown)
	}
	return known, nil
}

// testExists reports whether the test PACKAGE.TEST exists in a package below root.
func testExists(root, name string) bool {
	dir, test, ok := strings.Cut(name, ".")
	if !ok || !strings.HasPrefix(test, "Test") {
		return false
	}
	files, _ := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	for _, f := range files {
		if text, err := os.ReadFile(f); err == nil && strings.Contains("\n"+string(text), "\nfunc "+test+"(t *testing.T) {") {
			return true
		}
	}
	return false
}

// run runs the test command, copies its output to standard output, and returns an error if
// anything but the known tests fails.
func run(args []string, known map[string]string) error {
	if len(args) == 0 {
		return fmt.Errorf("no test command")
	}
	cmd := exec.Command(args[0], args[1:]...)
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	knownFailures, unexpected := classify(io.TeeReader(out, os.Stdout), known)
	exitErr := cmd.Wait()
	for _, name := range knownFailures {
		fmt.Printf("known failure: %s: %s\n", name, known[name])
	}
	switch {
	case unexpected != nil:
		return unexpected
	case exitErr != nil && len(knownFailures) == 0:
		return exitErr
	}
	return nil
}

var (
	failedTestLine    = regexp.MustCompile(`^--- FAIL: (\S+) \(`)
	packageResultLine = regexp.MustCompile(`^(?:FAIL|ok  )\t` + module + `(\S+)`)
)

// classify reads the output of a test run and returns the known tests that failed, and an
// error that names all other failures.
func classify(out io.Reader, known map[string]string) (knownFailures []string, unexpected error) {
	var failedTests, unknownFailures []string
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 16<<20)
	for lines.Scan() {
		line := lines.Text()
		if m := failedTestLine.FindStringSubmatch(line); m != nil {
			failedTests = append(failedTests, m[1])
		}
		if strings.HasPrefix(line, "panic:") {
			unknownFailures = append(unknownFailures, line)
		}
		m := packageResultLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		if strings.HasPrefix(line, "FAIL") && len(failedTests) == 0 {
			unknownFailures = append(unknownFailures, m[1])
		}
		for _, test := range failedTests {
			if name := m[1] + "." + test; known[name] != "" {
				knownFailures = append(knownFailures, name)
			} else {
				unknownFailures = append(unknownFailures, name)
			}
		}
		failedTests = nil
	}
	if err := lines.Err(); err != nil {
		return knownFailures, err
	}
	if len(failedTests)+len(unknownFailures) > 0 {
		return knownFailures, fmt.Errorf("failed and not known: %s", strings.Join(append(unknownFailures, failedTests...), ", "))
	}
	return knownFailures, nil
}
