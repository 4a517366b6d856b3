package engineclient

// Counters count commands to engines and replies from them. Operators and their
// tools read the JSON keys, which must not change.
type Counters struct {
	Dials                   int            `json:"Dials"`
	DialFailures            int            `json:"DialFailures"`
	ConnectionsLost         int            `json:"ConnsLost"`     // with exchanges open
	MalformedReplies        int            `json:"Garbage"`       // each closes its connection
	Requests                int            `json:"Pulls"`         // sent
	Cancels                 int            `json:"Kills"`         // sent
	PriorityChanges         int            `json:"Boosts"`        // sent
	PageRequests            int            `json:"Scrolls"`       // sent
	Discards                int            `json:"Discards"`      // sent
	RepliesByVerb           map[string]int `json:"Words"`         // known verbs only
	UnknownVerbs            int            `json:"UnknownWords"`  // replies with an unknown verb
	StatusReplies           int            `json:"Notes"`         // well formed
	MalformedStatuses       int            `json:"SpoiltNotes"`   // dropped
	LateReplies             int            `json:"LateAnswers"`   // replies to exchanges that had ended
	PagesLost               int            `json:"PagesLost"`     // errors in place of a further page
	Probes                  int            `json:"Probes"`        // sent
	NoConnection            int            `json:"NoConn"`        // connection limit or descriptor shortage
	DuplicateReplies        int            `json:"SecondCopies"`  // results and pages received more than once
	UnresponsiveConnections int            `json:"Quiet"`         // dials beside unresponsive connections
	Withdrawn               int            `json:"Withdrawn"`     // requests, before they were written
	Truncated               int            `json:"Unsent"`        // part of LostWith: written incompletely
	MalformedLoadReports    int            `json:"SpoiltReports"` // dropped
	LostWithConnection      int            `json:"LostWith"`      // exchanges lost with their connection
}
