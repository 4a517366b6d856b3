package replication

import "cmp"

// Times are the durations of the protocol in milliseconds, and its send rate.
type Times struct {
	ResendMS          float64 // interval at which a write is sent again to members without an ack
	WriteTimeoutMS    float64 // after which a write fails if too few front ends have stored it
	CompareIntervalMS float64 // interval between comparisons with other members
	CatchUpTimeoutMS  float64 // after which a replica is ready even if it has not caught up
	BytesPerSecond    float64 // average send rate; messages that must not wait may exceed it
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
	Name            string            // of this front end; truncated to MaxOriginBytes
	ProcessID       uint64            // random number that identifies this process; never 0
	MaxMessageBytes int               // 0: 250
	Times           Times             // zero: DefaultTimes
	Durable         bool              // a write counts as stored here only once it is persisted
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
