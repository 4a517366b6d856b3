package server

import (
	"fmt"
	"strings"
	"testing"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// The log line of a request names its attempts and the reason for its outcome. The rate of
// lines is limited, for example in an overload: one line reports the number of suppressed
// lines, and the counters include every request.
func TestRequestLog(t *testing.T) {
	var lines []string
	log := newRequestLog(func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) })
	log.classes = []string{"lookup"}
	failed := dispatch.RequestClosed{
		RequestID: "4990f566dbddf6fb",
		Outcome:   dispatch.Failed,
		Reason:    control.EngineErrors,
		ElapsedMS: 7,
		Attempts: []dispatch.AttemptRecord{
			{Engine: "s-1", DurationMS: 3, Result: control.Errored},
			{Engine: "s-2", StartMS: 3, DurationMS: 4, InFlight: true, CancelReason: control.UnresponsiveAttempt},
		},
	}
	log.requestClosed(1000, failed)
	want := "request 4990f566dbddf6fb class=lookup failed after 7 ms (errors from several engines); " +
		"attempt 0 s-1 0+3 ms error; attempt 1 s-2 3+4 ms still out (attempt without a sign of life or far too long)"
	if len(lines) != 1 || lines[0] != want {
		t.Fatalf("%q, want %q", lines, want)
	}
	for range 10 * maxLineBurst {
		log.requestClosed(1000, dispatch.RequestClosed{Outcome: dispatch.Rejected, Reason: control.MissesObjective})
	}
	if len(lines) != maxLineBurst || log.counters.SuppressedLines != 9*maxLineBurst+1 {
		t.Errorf("%d lines and %d suppressed, want %d and %d",
			len(lines), log.counters.SuppressedLines, maxLineBurst, 9*maxLineBurst+1)
	}
	log.requestClosed(1200, failed)
	if last := lines[len(lines)-2]; !strings.HasPrefix(last, fmt.Sprint(9*maxLineBurst+1, " lines")) {
		t.Errorf("line about suppressed lines: %q, want the number %d", last, 9*maxLineBurst+1)
	}
	const missesObjective, engineErrors = "would miss its aim", "errors from several engines"
	c := log.counters
	if c.Rejected[missesObjective] != 10*maxLineBurst || c.Failed[engineErrors] != 2 || c.Retries["error"] != 2 {
		t.Errorf("counters %+v do not include all requests and retries", c)
	}
}

// Each reason has a different name, as the names are keys of counters.
func TestReasonsHaveNames(t *testing.T) {
	seen := map[string]bool{}
	for r := control.NoReason; r.String() != "unknown reason"; r++ {
		if r.String() == "" || seen[r.String()] {
			t.Errorf("reason %d has the empty or repeated name %q", r, r)
		}
		seen[r.String()] = true
	}
}
