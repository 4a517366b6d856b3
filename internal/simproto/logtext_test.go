package simproto

import (
	"testing"

	"dewhill/control"
)

// customLogEntry is a log entry for which the protocol defines no text.
type customLogEntry struct {
	control.LogEntry
	text string
}

func (l customLogEntry) String() string { return l.text }

// Recordings of the simulator contain these texts.
func TestCompatLogText(t *testing.T) {
	for _, c := range []struct {
		entry control.LogEntry
		want  string
	}{
		{
			control.EngineEjected{Engine: "h:1", DurationMS: 500.4, Cause: control.ConsecutiveFailures},
			"engine h:1 shut out for 500 ms: failures",
		},
		{
			control.EngineEjected{Engine: "h:1", DurationMS: 1000, Cause: control.UnresponsiveEngine},
			"engine h:1 shut out for 1000 ms: silent",
		},
		{
			control.EngineEjected{Engine: "h:1", DurationMS: 5000, Cause: control.FailedRecoveryProbe},
			"engine h:1 shut out for 5000 ms: failed trial",
		},
		{control.EngineRecovered{Engine: "h:1"}, "engine h:1 back"},
		{customLogEntry{text: "another"}, "another"},
	} {
		if got := logText(c.entry); got != c.want {
			t.Errorf("%#v is %q, want %q", c.entry, got, c.want)
		}
	}
}
