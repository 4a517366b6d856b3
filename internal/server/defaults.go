package server

import (
	"time"

	"dewhill/internal/dispatch"
	"dewhill/internal/simproto"
)

// Defaults of values that the settings leave out.
const (
	defaultConnectTimeoutMS     = 250.0
	defaultIdleTimeoutMS        = 15000.0
	defaultStreamsPerConnection = 32
	defaultRetryAfterMS         = 500.0
)

// connectMarginMS is the time beyond the connect timeout for which a request may wait for a
// new connection.
const connectMarginMS = 100.0

// toDuration converts milliseconds to a duration.
func toDuration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// orDefault returns a setting, or its default if the setting is left out.
func orDefault[T int | float64](value, defaultValue T) T {
	if value > 0 {
		return value
	}
	return defaultValue
}

// connectTimeout returns the time limit for connecting to an engine.
func connectTimeout(settings *simproto.Settings) time.Duration {
	return toDuration(orDefault(settings.Limits.ConnectTimeoutMS, defaultConnectTimeoutMS))
}

// sendDelayAllowanceMS returns how late a request may be written to an engine: it may first
// wait until a new connection is established or the connect timeout expires.
func sendDelayAllowanceMS(settings *simproto.Settings) float64 {
	connectMS := orDefault(settings.Limits.ConnectTimeoutMS, defaultConnectTimeoutMS)
	return max(dispatch.WriteTimeoutMS, connectMS+connectMarginMS)
}

// maxDeadlineMS returns the longest deadline of all classes.
func maxDeadlineMS(classes []simproto.Class) float64 {
	longest := 0.0
	for _, class := range classes {
		longest = max(longest, class.DeadlineMS)
	}
	return longest
}
