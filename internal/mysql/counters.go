package mysql

// ServerCounters count what the server receives and answers. Their JSON keys are
// the operators' and do not change.
type ServerCounters struct {
	Connections        int     `json:"Connections"`
	TooManyConnections int     `json:"TooMany"` // connections over the limit
	DeniedLogins       int     `json:"Denied"`  // logins
	Malformed          int     `json:"Malformed"`
	Unsupported        int     `json:"Unsupported"`
	Queries            int     `json:"Queries"`
	Prepares           int     `json:"Prepares"`
	Executes           int     `json:"Executes"`
	Served             int     `json:"Served"`
	Rejected           int     `json:"Refused"`
	Failed             int     `json:"Failed"`
	RepeatedLoads      int     `json:"KnownIDs"`  // loads whose id was given before
	Abandoned          int     `json:"Abandoned"` // requests whose client disconnected
	AcceptErrors       int     `json:"AcceptErrors"`
	EvictedConnections int     `json:"Evicted"`           // connections without a login, closed for others
	LeaseDecisions     int     `json:"Claims,omitempty"`  // on loads with an id
	LeaseDecisionMS    float64 `json:"ClaimMs,omitempty"` // that these took together
}

// PoolCounters count what is sent to engines and what comes from them. Their JSON
// keys are the operators' and do not change.
type PoolCounters struct {
	Dials           int `json:"Dials"`
	DialFailures    int `json:"DialFailures"`
	Prepares        int `json:"Prepares"`
	Executes        int `json:"Executes"`
	Queries         int `json:"Queries"`
	Kills           int `json:"Kills"`
	HandlesClosed   int `json:"HandlesClosed"`
	LostAfterWrite  int `json:"Lost"`       // attempts whose connection broke after the statement was written
	LostBeforeWrite int `json:"LostUnsent"` // and before
}

// add adds a session's counters.
func (c *PoolCounters) add(other PoolCounters) {
	c.Dials += other.Dials
	c.DialFailures += other.DialFailures
	c.Prepares += other.Prepares
	c.Executes += other.Executes
	c.Queries += other.Queries
	c.HandlesClosed += other.HandlesClosed
}
