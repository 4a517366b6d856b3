package control

import "fmt"

// LogEntry is one log line. Its String method returns the text of the line.
type LogEntry interface {
	fmt.Stringer
	logEntry()
}

// EngineEjected is logged when an engine is ejected.
type EngineEjected struct {
	Engine     string
	DurationMS float64 // until a request may be sent to the engine as a recovery probe
	Cause      EjectionCause
}

// EngineRecovered is logged when an ejected engine has passed a recovery probe.
type EngineRecovered struct {
	Engine string
}

// EjectionCause is the reason why an engine was ejected.
type EjectionCause int

// The causes of an ejection.
const (
	ConsecutiveFailures EjectionCause = iota
	UnresponsiveEngine                // nothing was received from it while dashboards were in flight
	FailedRecoveryProbe
)

func (EngineEjected) logEntry()   {}
func (EngineRecovered) logEntry() {}

// String returns the text of the log line.
func (e EngineEjected) String() string {
	return fmt.Sprintf("engine %s ejected for %.0f ms: %v", e.Engine, e.DurationMS, e.Cause)
}

// String returns the text of the log line.
func (e EngineRecovered) String() string {
	return fmt.Sprintf("engine %s recovered", e.Engine)
}

// String returns the cause as it is logged.
func (c EjectionCause) String() string {
	switch c {
	case ConsecutiveFailures:
		return "consecutive failures"
	case UnresponsiveEngine:
		return "unresponsive"
	case FailedRecoveryProbe:
		return "failed recovery probe"
	default:
		return "unknown cause"
	}
}
