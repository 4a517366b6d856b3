package replication

import "cmp"

// Times are the durations of the protocol in milliseconds, and its budget.
type Times struct {
	ResendMS          float64 // until a write is sent again to those who have not acknowledged it
	WriteTimeoutMS    float64 // until a write that too few have acknowledged is answered with a failure
	CompareIntervalMS float64 // between comparisons with other members
	CatchUpTimeoutMS  float64 // after which a replica that finds nobody to catch up with is ready
	BytesPerSecond    float64 // average rate of sent bytes, as far as messages can wait
}

// DefaultTimes returns the times for links with a latency of up to some hundred
// milliseconds.
func DefaultTimes() Times {
	return Times{
		ResendMS:          200,
		WriteTimeoutMS:    2000,
		CompareIntervalMS: 4000,
		CatchUpTimeoutMS:  5000,
		BytesPerSecond:    8192,
	}
}

const defaultMaxMessageBytes = 250

// Options configure a Replica.
type Options struct {
	Name            string            // of this front end; cut to MaxOriginBytes
	ProcessID       uint64            // identifies this process; drawn at random for each, never 0
	MaxMessageBytes int               // of a message; 0: 250
	Times           Times             // zero: DefaultTimes
	Durable         bool              // this front end holds a write only once it is persisted
	Persisted       map[string][]byte // registers of an earlier process, by Persist.Key
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.Times = cmp.Or(o.Times, DefaultTimes())
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	if len(o.Name) > MaxOriginBytes {
		o.Name = o.Name[:MaxOriginBytes]
	}
	return o
}
