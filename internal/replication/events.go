package replication

import "dewhill/internal/membership"

// The types shared with package membership.
type (
	// Peer is another front end.
	Peer = membership.Peer
	// Send asks for a message to be sent.
	Send = membership.Send
)

// Event is an input of a Replica.
type Event interface{ event() }

// The events.
type (
	// Start is the first event: the replica restores the persisted registers.
	Start struct{}
	// TimerFired reports that the time returned by NextTimerMS has come.
	TimerFired struct{}
	// MessageReceived is a message from another front end.
	MessageReceived struct {
		From    Peer
		Message []byte
	}
	// MembersChanged replaces the view of the fleet.
	MembersChanged membership.Roster
	// Write is an operator's override. The replica returns a WriteResult with the same
	// request ID, after Times.WriteTimeoutMS at the latest.
	Write struct {
		Key              Key
		Disabled         bool
		RequiredReplicas int     // front ends that must have stored it, including this one
		WallClockMS      float64 // since 1970
		RequestID        uint64
	}
	// Persisted reports that the Persist effect with the token has been written to
	// disk.
	Persisted struct{ Token uint64 }
)

func (Start) event()           {}
func (TimerFired) event()      {}
func (MessageReceived) event() {}
func (MembersChanged) event()  {}
func (Write) event()           {}
func (Persisted) event()       {}

// OverrideChanged reports the state of an engine or a front end from now on. The state may
// be the same as before.
type OverrideChanged struct {
	Key      Key
	Disabled bool
	Origin   string // the front end that accepted the write
}

// Persist asks for a register to be written to disk.
type Persist struct {
	Token  uint64
	Key    string
	Record []byte
}

// WriteResult is the result of a Write.
type WriteResult struct {
	RequestID uint64
	Replicas  int  // front ends that have stored the write
	OK        bool // Replicas has reached the required number
}

// Effects are the outputs of one event. They are valid until the next event.
type Effects struct {
	Sends    []Send
	Changed  []OverrideChanged
	Persists []Persist
	Results  []WriteResult
}

// Counters count events since the start of the process.
type Counters struct {
	Writes            int `json:"Spoken"`           // writes of this front end that changed a register
	RegistersUpdated  int `json:"Learned"`          // registers changed by writes of other front ends
	WritesFailed      int `json:"Refused"`          // writes that too few front ends stored in time
	MessagesSent      int `json:"Sent"`             // messages sent
	BytesSent         int `json:"BytesSent"`        // bytes of the messages sent
	MessagesReceived  int `json:"Received"`         // messages received
	BytesReceived     int `json:"BytesReceived"`    // bytes of the messages received
	Comparisons       int `json:"Compared"`         // comparisons started here
	ComparisonsEqual  int `json:"Same"`             // comparisons started here that found equal copies
	ComparisonsDiffer int `json:"Differed"`         // comparisons, started here or by others, that found a difference
	Resends           int `json:"Again"`            // writes sent again
	Malformed         int `json:"Spoilt"`           // messages and persisted registers that could not be decoded
	LateTimers        int `json:"Woken"`            // timers so late that the process must have been paused
	CaughtUp          int `json:"CaughtUp"`         // 1 once the replica has caught up
	CatchUpTimeouts   int `json:"GaveUpCatchingUp"` // 1 if the replica did not catch up in time
}
