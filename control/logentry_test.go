package control

import "testing"

// Operators search the log for these texts.
func TestLogEntryTexts(t *testing.T) {
	for _, c := range []struct {
		entry LogEntry
		want  string
	}{
		{EngineEjected{"a", 500.4, ConsecutiveFailures}, "engine a ejected for 500 ms: consecutive failures"},
		{EngineEjected{"a", 1000, UnresponsiveEngine}, "engine a ejected for 1000 ms: unresponsive"},
		{EngineEjected{"a", 5000, FailedRecoveryProbe}, "engine a ejected for 5000 ms: failed recovery probe"},
		{EngineEjected{"a", 5000, EjectionCause(99)}, "engine a ejected for 5000 ms: unknown cause"},
		{EngineRecovered{"a"}, "engine a recovered"},
	} {
		if got := c.entry.String(); got != c.want {
			t.Errorf("text of %#v is %q, want %q", c.entry, got, c.want)
		}
	}
}
