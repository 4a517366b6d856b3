package lease

import "dewhill/internal/membership"

// The types shared with package membership.
type (
	// Peer is another front end.
	Peer = membership.Peer
	// Send asks for a message to be sent.
	Send = membership.Send
)

// Event is an input of a Manager.
type Event interface{ event() }

// The events.
type (
	// Start is the first event: the manager restores the persisted records.
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
	// AcquireRequest asks whether this front end may run a load. The manager returns
	// a Decision with the same RequestID, by the deadline at the latest.
	AcquireRequest struct {
		Key         Key
		Fingerprint uint64 // hash of the load's content
		RequestID   uint64
		DeadlineMS  float64
		IsRetry     bool // the client marked the attempt as a retry
	}
	// RequestsExpired reports that the process is about to be killed: all requests are
	// decided now, as if their deadlines had passed, and later ones are not granted.
	RequestsExpired struct{}
	// Released reports how a load that was granted a lease has ended.
	Released struct {
		Key     Key
		Result  RunResult
		Outcome []byte // of a load with the result Completed
	}
	// Persisted reports that the Persist effect with the token has been written to
	// disk.
	Persisted struct{ Token uint64 }
)

func (Start) event()           {}
func (TimerFired) event()      {}
func (MessageReceived) event() {}
func (MembersChanged) event()  {}
func (AcquireRequest) event()  {}
func (RequestsExpired) event() {}
func (Released) event()        {}
func (Persisted) event()       {}

// Persist asks for a record to be written to disk. A nil Record asks for the key to be
// deleted.
type Persist struct {
	Token  uint64
	Key    string
	Record []byte
}

// Effects are the outputs of one event. They are valid until the next event.
type Effects struct {
	Sends     []Send
	Persists  []Persist
	Decisions []Decision
}

// Counters count events since the start of the process.
type Counters struct {
	Requests                int `json:"Claims"`    // AcquireRequest events
	Granted                 int `json:"Granted"`   // decisions Granted
	AlreadyCompleted        int `json:"Outcomes"`  // decisions AlreadyCompleted
	PossiblyRan             int `json:"MayHave"`   // decisions PossiblyRan
	NoQuorum                int `json:"Refused"`   // decisions NoQuorum
	Forgotten               int `json:"Unknown"`   // decisions Forgotten
	RunningElsewhere        int `json:"InFlight"`  // decisions RunningElsewhere
	UnusedReleased          int `json:"Freed"`     // leases released because the load never ran
	Rounds                  int `json:"Rounds"`    // rounds started
	RoundsPreempted         int `json:"Met"`       // replies that a later round has begun
	MessagesSent            int `json:"Sent"`      // messages sent
	BytesSent               int `json:"BytesSent"` // bytes of the messages sent
	MessagesReceived        int `json:"Received"`  // messages received
	MalformedMessages       int `json:"Spoilt"`    // received messages that could not be decoded
	RecordsEvicted          int `json:"Forgotten"` // records evicted by age or for lack of capacity
	RecoveriesWithoutQuorum int `json:"Amnesia"`   // recoveries when a majority had lost its state
}
