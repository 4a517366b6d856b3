package lease

import "cmp"

// Times are the durations of the protocol, in milliseconds.
type Times struct {
	ResendMS          float64 // time after which an unanswered message is sent again
	RoundTimeoutMS    float64 // time after which replies to a round no longer count
	RecoveryDelayMS   float64 // wait before a member without state catches up; longer than RoundTimeoutMS
	NoQuorumAfterMS   float64 // time after which a request without replies of a quorum is rejected
	PollIntervalMS    float64 // interval between rounds for a lease that is held by another request
	CompareIntervalMS float64 // average interval between comparisons with other members
	RetentionMS       float64 // time for which records are kept
	ReleaseWindowMS   float64 // time limit for the release of an unused lease
}

// DefaultTimes returns times for links with a latency of up to a few hundred
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
	ProcessID       uint64            // random number that identifies this process; never 0
	MaxMessageBytes int               // size limit of a message; 0: 250
	Times           Times             // zero: DefaultTimes
	MaxLeases       int               // limit on the number of records; 0: 16,384
	Durable         bool              // votes count only after they are persisted
	Persisted       map[string][]byte // records of an earlier process, by Persist.Key
}

// withDefaults returns the options with zero values replaced by defaults.
func (o Options) withDefaults() Options {
	o.Times = cmp.Or(o.Times, DefaultTimes())
	o.MaxMessageBytes = cmp.Or(o.MaxMessageBytes, defaultMaxMessageBytes)
	o.MaxLeases = cmp.Or(o.MaxLeases, defaultMaxLeases)
	return o
}
