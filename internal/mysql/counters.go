package mysql

// ServerCounters count events of the server for clients. Operators' tools read the
// JSON keys, so they must not change.
type ServerCounters struct {
	Connections        int     `json:"Connections"`
	TooManyConnections int     `json:"TooMany"` // connections rejected because of the limit
	DeniedLogins       int     `json:"Denied"`
	Malformed          int     `json:"Malformed"`
	Unsupported        int     `json:"Unsupported"`
	Queries            int     `json:"Queries"`
	Prepares           int     `json:"Prepares"`
	Executes           int     `json:"Executes"`
	Served             int     `json:"Served"`
	Rejected           int     `json:"Refused"`
	Failed             int     `json:"Failed"`
	RepeatedLoads      int     `json:"KnownIDs"`  // loads whose id had been used before
	Abandoned          int     `json:"Abandoned"` // requests whose client disconnected
	AcceptErrors       int     `json:"AcceptErrors"`
	EvictedConnections int     `json:"Evicted"`           // not logged in; closed to admit others
	LeaseDecisions     int     `json:"Claims,omitempty"`  // decisions on leases of loads with an id
	LeaseDecisionMS    float64 `json:"ClaimMs,omitempty"` // total time until these decisions
}

// PoolCounters count events of the connections to engines. Operators' tools read the
// JSON keys, so they must not change.
type PoolCounters struct {
	Dials           int `json:"Dials"`
	DialFailures    int `json:"DialFailures"`
	Prepares        int `json:"Prepares"`
	Executes        int `json:"Executes"`
	Queries         int `json:"Queries"`
	Kills           int `json:"Kills"`
	HandlesClosed   int `json:"HandlesClosed"`
	LostAfterWrite  int `json:"Lost"`       // attempts that failed after the statement was written
	LostBeforeWrite int `json:"LostUnsent"` // attempts that failed before the statement ran
}

// add adds the counters that a session maintains.
func (c *PoolCounters) add(other PoolCounters) {
	c.Dials += other.Dials
	c.DialFailures += other.DialFailures
	c.Prepares += other.Prepares
	c.Executes += other.Executes
	c.Queries += other.Queries
	c.HandlesClosed += other.HandlesClosed
}
