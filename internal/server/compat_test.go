package server

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"dewhill/control"
	"dewhill/internal/dispatch"
)

// golden returns the contents of a golden file. The program at commit bdc982f wrote the
// golden files; tests never write them.
func golden(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", "compat", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// expectEqual checks that a field has the expected value.
func expectEqual(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %#v, want %#v", name, got, want)
	}
}

// In an upgrade two processes of different versions read each other's updates of the
// handover file in $TMPDIR.
func TestCompatHandoverFile(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	path := filepath.Join(os.Getenv("TMPDIR"), "dewhill-gw-7.json")
	if err := os.WriteFile(path, golden(t, "handover.json"), 0o600); err != nil {
		t.Fatal(err)
	}
	handover := newHandoverFile("gw-7")
	state, err := handover.read()
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "turn", state.Version, 7)
	expectEqual(t, "process", state.ReadyProcess, "9f3ac07715e2b004")
	expectEqual(t, "out", state.DisabledEngines, []string{"s-1", "s-2"})

	update := func(change func(*handoverState)) {
		t.Helper()
		if _, err := handover.update(change); err != nil {
			t.Fatal(err)
		}
	}
	update(func(state *handoverState) { state.Version-- }) // the update increments it
	checkHandoverFile(t, path, "handover.json")
	update(func(state *handoverState) { state.DisabledEngines = append(state.DisabledEngines, "s-3") })
	checkHandoverFile(t, path, "handover-changed.json")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	update(func(state *handoverState) { state.ReadyProcess = "9f3ac07715e2b004" })
	checkHandoverFile(t, path, "handover-first.json")
	if _, err := os.Stat(path + ".lock"); err != nil {
		t.Errorf("the lock file that both processes use: %v", err)
	}
}

func checkHandoverFile(t *testing.T, path, name string) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if want := golden(t, name); !bytes.Equal(data, want) {
		t.Errorf("%s: wrote\n%s\nwant\n%s", name, data, want)
	}
}

// Operators read these names in log lines and as keys of the counters.
func TestCompatNames(t *testing.T) {
	var text strings.Builder
	for reason := control.Reason(0); reason.String() != "unknown reason"; reason++ {
		fmt.Fprintf(&text, "reason %d: %v\n", int(reason), reason)
	}
	for result := control.Result(0); int(result) < len(attemptResultNames); result++ {
		fmt.Fprintf(&text, "result %d: %s\n", int(result), attemptResultNames[result])
	}
	for _, outcome := range []dispatch.Outcome{dispatch.Served, dispatch.Rejected, dispatch.Failed} {
		fmt.Fprintf(&text, "outcome %d: %v\n", int(outcome), outcome)
	}
	if text.String() != string(golden(t, "names.txt")) {
		t.Errorf("names differ from names.txt, got\n%s", text.String())
	}
}

// Operators trace a request by its log line, whose format must not change.
func TestCompatRequestLine(t *testing.T) {
	var lines []string
	log := newRequestLog(func(format string, args ...any) { lines = append(lines, fmt.Sprintf(format, args...)) })
	log.classes = []string{"read"}
	log.requestClosed(0, dispatch.RequestClosed{
		RequestID: "4990f566dbddf6fb",
		Class:     0,
		Outcome:   dispatch.Failed,
		Reason:    control.EngineErrors,
		ElapsedMS: 7.4,
		Attempts: []dispatch.AttemptRecord{
			{Engine: "s-1", StartMS: 0, DurationMS: 3, Result: control.Errored},
			{Engine: "s-2", StartMS: 3, DurationMS: 4, Result: control.Cancelled, CancelReason: control.UnresponsiveAttempt},
			{Engine: "s-3", StartMS: 5, DurationMS: 1, InFlight: true},
		},
	})
	want := "request 4990f566dbddf6fb class=read failed after 7 ms (errors from several engines); " +
		"attempt 0 s-1 0+3 ms error; " +
		"attempt 1 s-2 3+4 ms cancelled (attempt without a sign of life or far too long); " +
		"attempt 2 s-3 5+1 ms still out"
	expectEqual(t, "lines", lines, []string{want})
	expectEqual(t, "reasons.Failed", log.counters.Failed, map[string]int{"errors from several engines": 1})
	expectEqual(t, "reasons.Retries", log.counters.Retries, map[string]int{"error": 1, "cancelled": 1})
	expectEqual(t, "reasons.GivenUp", log.counters.Cancelled, map[string]int{"attempt without a sign of life or far too long": 1})
}
