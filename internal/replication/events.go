package replication

import "dewhill/internal/membership"

// What this package has in common with membership.
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
	// Start is the first event: the replica restores what was persisted.
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
	// Write is an operator's override. It is answered by a WriteResult with the
	// same request ID, within Times.WriteTimeoutMS.
	Write struct {
		Key              Key
		Disabled         bool
		RequiredReplicas int     // how many front ends must hold it, with this one
		WallClockMS      float64 // since 1970
		RequestID        uint64
	}
	// Persisted reports that the Persist effect with the token is on the disk.
	Persisted struct{ Token uint64 }
)

func (Start) event()           {}
func (TimerFired) event()      {}
func (MessageReceived) event() {}
func (MembersChanged) event()  {}
func (Write) event()           {}
func (Persisted) event()       {}

// OverrideChanged reports what holds for a key from now on. It may repeat what
// held before.
type OverrideChanged struct {
	Key      Key
	Disabled bool
	Origin   string // the front end that accepted the write
}

// Persist asks for a register to be written to the disk.
type Persist struct {
	Token  uint64
	Key    string
	Record []byte
}

// WriteResult answers a Write: how many front ends hold it, and whether these are
// as many as required.
type WriteResult struct {
	RequestID uint64
	Replicas  int
	OK        bool
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
	Writes            int `json:"Spoken"`           // new writes of this front end
	RegistersUpdated  int `json:"Learned"`          // registers changed by others' writes
	WritesFailed      int `json:"Refused"`          // writes that too few front ends held in time
	MessagesSent      int `json:"Sent"`             // messages sent
	BytesSent         int `json:"BytesSent"`        // bytes of these
	MessagesReceived  int `json:"Received"`         // messages received
	BytesReceived     int `json:"BytesReceived"`    // bytes of these
	Comparisons       int `json:"Compared"`         // comparisons started
	ComparisonsEqual  int `json:"Same"`             // of these, copies were equal
	ComparisonsDiffer int `json:"Differed"`         // comparisons, also of others, that found a difference
	Resends           int `json:"Again"`            // writes sent again
	Malformed         int `json:"Spoilt"`           // messages and persisted registers that could not be decoded
	LateTimers        int `json:"Woken"`            // this process was paused
	CaughtUp          int `json:"CaughtUp"`         // 1 once the replica has caught up
	CatchUpTimeouts   int `json:"GaveUpCatchingUp"` // 1 if it found nobody in time
}
