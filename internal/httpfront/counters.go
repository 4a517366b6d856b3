package httpfront

// Counters count the requests, responses and connections of the server. Operators'
// tools depend on the JSON keys and their order, so neither may change.
type Counters struct {
	Connections              int            `json:"Connections"`
	Messages                 int            `json:"Calls"`
	Requests                 int            `json:"Requests"`
	Malformed                int            `json:"Malformed"`
	Overload                 int            `json:"Overload"`  // requests rejected: connection over the limit
	Abandoned                int            `json:"Abandoned"` // requests cancelled, or client disconnected
	Served                   int            `json:"Served"`
	Rejected                 int            `json:"Refused"`
	Failed                   int            `json:"Failed"`
	PollPathsSent            int            `json:"Polls"`       // responses that contain only a poll path
	StalledWriters           int            `json:"LostWriters"` // connections closed: response queue full
	AcceptErrors             int            `json:"AcceptErrors"`
	ClosedNoMessage          int            `json:"Silent"`   // connections closed: no message received
	ClosedSlow               int            `json:"TooSlow"`  // connections closed: message incomplete
	ClosedUnread             int            `json:"NotTaken"` // connections closed: response not read in time
	ClosedIdle               int            `json:"Idle"`     // connections closed: idle too long
	Evicted                  int            `json:"Evicted"`  // connections closed: slot or descriptor needed
	ClosedDraining           int            `json:"SentAway"` // idle connections closed: draining or shutdown
	NoSlot                   int            `json:"NoPlace"`  // connections closed unread: no slot was free
	DisconnectedWithPollPath int            `json:"Away"`     // clients disconnected that may still poll
	MalformedByReason        map[string]int `json:"Wrong"`
	Classes                  []Outcomes     `json:"Classes"`
	UnknownTenants           int            `json:"UnknownTenants,omitempty"` // no configured tenant
}

// Outcomes count the responses to a class's requests by outcome.
type Outcomes struct {
	Served   int `json:"Served"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`
}
