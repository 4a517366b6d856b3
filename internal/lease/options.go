package lease

import "cmp"

// Times are the durations of the protocol, in milliseconds.
type Times struct {
	ResendMS          float64 // until an unanswered message is sent again
	RoundTimeoutMS    float64 // after which replies to a round no longer count
	RecoveryDelayMS   float64 // that a member without state waits before catch-up; longer than RoundTimeoutMS
	NoQuorumAfterMS   float64 // after which a request that no quorum has answered is rejected
	PollIntervalMS    float64 // between rounds for a lease that another front end holds
	CompareIntervalMS float64 // between comparisons with other members
	RetentionMS       float64 // that records are kept
	ReleaseWindowMS   float64 // within which an unused lease is released
}

// DefaultTimes returns the times for links with a latency of up to some hundred
// milliseconds.
func DefaultTimes() Times {
	return Times{
		ResendMS:          150,
		RoundTimeoutMS:    2000,
		RecoveryDelayMS:   3000,
		NoQuorumAfterMS:   2500,
		PollIntervalMS:    300,
		CompareIntervalMS: 4000,
		RetentionMS:       600_000,
		ReleaseWindowMS:   60_000,
	}
}

const (
	defaultMaxMessageBytes = 250
	defaultMaxLeases       = 16_384
)

// Options configure a Manager.
type Options struct {
	ProcessID       uint64            // identifies this process; drawn at random for each, never 0
	MaxMessageBytes int               // of a message; 0: 250
	Times           Times             // zero: DefaultTimes
	MaxLeases       int               // records that are kept; 0: 16,384
	Durable         bool              // votes count only once they are persisted
	Persisted       map[string][]byte // records of an earlier process, by Persist.Key
}

// withDefaults returns the options with defaults in place of zero values.
func (o Options) withDefaults() Options {
	o.Times = cmp.Or(o.Times, DefaultTimes())
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	o.MaxLeases = cmp.Or(o.MaxLeases, defaultMaxLeases)
	return o
}
