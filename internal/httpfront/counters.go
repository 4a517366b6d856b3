package httpfront

// Counters count what the server receives and answers. Their JSON keys and their
// order are the operators' and do not change.
type Counters struct {
	Connections              int            `json:"Connections"`
	Messages                 int            `json:"Calls"`
	Requests                 int            `json:"Requests"`
	Malformed                int            `json:"Malformed"`
	Overload                 int            `json:"Overload"`  // requests rejected on connections over the limit
	Abandoned                int            `json:"Abandoned"` // requests whose client disconnected
	Served                   int            `json:"Served"`
	Rejected                 int            `json:"Refused"`
	Failed                   int            `json:"Failed"`
	PollPathsSent            int            `json:"Polls"`       // responses with a path to poll
	StalledWriters           int            `json:"LostWriters"` // connections closed with a full queue of responses
	AcceptErrors             int            `json:"AcceptErrors"`
	ClosedNoMessage          int            `json:"Silent"`   // connections closed: no message at all
	ClosedSlow               int            `json:"TooSlow"`  // connections closed: message not complete in time
	ClosedUnread             int            `json:"NotTaken"` // connections closed: response not read in time
	ClosedIdle               int            `json:"Idle"`     // connections closed
	Evicted                  int            `json:"Evicted"`  // connections closed for others
	ClosedDraining           int            `json:"SentAway"` // connections closed
	NoSlot                   int            `json:"NoPlace"`  // connections closed unheard, as no slot came free
	DisconnectedWithPollPath int            `json:"Away"`     // clients that may still poll
	MalformedByReason        map[string]int `json:"Wrong"`
	Classes                  []Outcomes     `json:"Classes"`
	UnknownTenants           int            `json:"UnknownTenants,omitempty"` // requests of none of the settings' tenants
}

// Outcomes count the answers to a class's requests.
type Outcomes struct {
	Served   int `json:"Served"`
	Rejected int `json:"Refused"`
	Failed   int `json:"Failed"`
}
