package engineclient

// Counters count what is sent to engines and what comes from them. Their JSON
// keys are the operators' and do not change.
type Counters struct {
	Dials                   int            `json:"Dials"`
	DialFailures            int            `json:"DialFailures"`
	ConnectionsLost         int            `json:"ConnsLost"`     // with exchanges open
	MalformedReplies        int            `json:"Garbage"`       // each costs its connection
	Requests                int            `json:"Pulls"`         // sent
	Cancels                 int            `json:"Kills"`         // sent
	PriorityChanges         int            `json:"Boosts"`        // sent
	PageRequests            int            `json:"Scrolls"`       // sent
	Discards                int            `json:"Discards"`      // sent
	RepliesByVerb           map[string]int `json:"Words"`         // without unknown verbs
	UnknownVerbs            int            `json:"UnknownWords"`  // replies with a verb the protocol does not have
	StatusReplies           int            `json:"Notes"`         // passed on
	MalformedStatuses       int            `json:"SpoiltNotes"`   // dropped
	LateReplies             int            `json:"LateAnswers"`   // replies to exchanges that had ended
	PagesLost               int            `json:"PagesLost"`     // by the engine
	Probes                  int            `json:"Probes"`        // sent
	NoConnection            int            `json:"NoConn"`        // not allowed by the limit or the system
	DuplicateReplies        int            `json:"SecondCopies"`  // results and pages received again
	UnresponsiveConnections int            `json:"Quiet"`         // dials beside connections that owe a reply
	Withdrawn               int            `json:"Withdrawn"`     // before they were written
	Truncated               int            `json:"Unsent"`        // of these, not written completely
	MalformedLoadReports    int            `json:"SpoiltReports"` // dropped
	LostWithConnection      int            `json:"LostWith"`      // exchanges that ended with their connection
}
