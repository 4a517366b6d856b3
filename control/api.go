// Package control makes the decisions of a gateway that keeps short and long
// queries apart on shared engines. A Gateway is told what happens, one Event
// at a time, and answers with the Actions to take. It keeps no clock, starts
// no goroutine and does no I/O: the same settings, seed and events always
// give the same actions.
//
// This file is the interface; every decision is in control.go. All times are
// in milliseconds on the caller's clock, all memory in megabytes.
package control

// Effect tells what repeating a request may do.
type Effect int

// The effects of a class.
const (
	Pure   Effect = iota // may be repeated freely
	Keyed                // repeats are dropped within a group, for a while
	Unsafe               // must not run twice
)

// Group names the engines that share the memory of keyed requests.
type Group int

// The groups of a keyed class.
const (
	AllEngines Group = iota
	SameZone
	SameCell
)

// Class describes one class of requests.
type Class struct {
	Aim        float64 // an answer within it earns the full worth
	AimStretch float64 // the aim grows by this times work over threads
	Deadline   float64 // what a client waits at most
	Worth      float64
	LateWorth  float64 // part of Worth for an answer after the aim
	Effect     Effect
	Group      Group
	Window     float64 // how long a keyed request is remembered
	InOrder    bool    // requests with one key run one at a time, in turn
	Stream     bool    // an answer that has begun is past its deadline
	Zones      []int   // if not empty, the only zones it may go to
	Kinds      []int   // if not empty, the only kinds it may go to
	Threads    int
	Load       bool // holds its data set on its engine while it runs
	Waits      bool // stands still while a load holds its data set
}

// Kind describes one kind of engine.
type Kind struct {
	Cores    int
	MemoryMB float64
}

// Tenant describes one tenant's share of the service.
type Tenant struct {
	PerSecond float64 // requests a second, through all gateways together
}

// Settings are what a gateway is told at its start. A zero optional value
// turns its rule or feature off.
type Settings struct {
	Self, Gateways int
	Zone           int
	Tick           float64 // least time between two rounds of events
	Classes        []Class
	Kinds          []Kind
	Tenants        []Tenant

	AnswerGrace  float64 // a final answer may be this late
	DrainGrace   float64 // sends to a drained engine stop within it
	FallMultiple float64 // a cold engine falls over above this times its capacity
	FallWindow   float64 // for this long
	ColdShare    float64 // an engine starts at this part of its capacity
	WarmWithin   float64 // and is warm after this
	MustAsk      float64 // how old a list that must be asked for may get
	OrderSettle  float64 // a key rests this long after an attempt that may run on
	SpareTries   float64 // further attempts allowed within BudgetWindow,
	TriesPerReq  float64 // and this many more for each request taken
	BudgetWindow float64
	Slip         float64 // a send reaches its engine up to this much later
	TryLimit     int
	MaxOpen      int // places for open requests: more find no room at the front end

	MayCancel, MayCopy, MayProbe, MayTell bool
	AskForList                            bool // the engine list comes only when asked for
	Advice                                bool // clients hear how long to stay away
	MaxAdvice                             float64
	Priorities                            bool // the priority in Terms is heeded
	Grants                                bool // the memory in Terms is heeded
	LargestGrant                          float64
	TellsCost                             bool
	ProgressEvery                         float64 // time between notes; 0: none
	OverShareWorth                        float64 // worth of a request over its tenant's share
	ReportsInAnswers, ReportsInProbes     bool
}

// Report is a load report. A value that is absent is negative.
type Report struct {
	InFlight, Waiting, Busy, Memory, Disks float64
}

// EngineInfo is one entry of the list of engines.
type EngineInfo struct {
	ID               string
	Zone, Kind, Cell int
	Size             float64
	UpSince          float64 // clock time of its last start; 0: long ago
	Draining, Gone   bool
	Sharers, Place   int // gateways that use it, and this one's place among them; no Sharers: all gateways

	// RampSharers are the gateways that share what it bears while cold, by the
	// configuration, and RampPlace is this one's place among them, below 0 for
	// none; no RampSharers: as Sharers and Place.
	RampSharers, RampPlace int
}

// Result is how an attempt or a probe ended.
type Result int

// The results of an attempt.
const (
	Served        Result = iota
	Errored              // may have run
	TurnedAway           // never ran
	TimedOut             // may still run
	ConnectFailed        // never ran
	Reset                // may still run
	Cancelled            // may still run
	Moot                 // was not sent
)

// EventKind says which fields of an Event count.
type EventKind int

// The kinds of events.
const (
	Arrived    EventKind = iota // Req, Class, Tenant, Key, GiveUpAt, Work, MemoryMB, Dataset
	Ended                       // Req, Attempt, Engine, Result, Elapsed, Done, Work, MemoryMB, Report
	Opened                      // Req, Attempt, Engine: a stream began to answer
	Abandoned                   // Req
	Progress                    // Req, Attempt, Level: share done
	Spills                      // Req, Attempt, Level: megabytes missing
	Waits                       // Req, Attempt, Level: 1 for memory, 2 for a load
	Probed                      // Engine, Result, Elapsed, Report
	Heard                       // Peer, Message
	TimerDue                    // Timer
	ListWhole                   // Engines: the whole list
	ListChange                  // Engines: changed entries
	ListFailed                  // the list could not be had
	TakenOut                    // Engine: an operator leaves it out, whatever the list says
	PutBack                     // Engine: and puts it back
	Fleet                       // Level: how many gateways count for shares of work
	Alive                       // Req, Attempt: its engine gave a sign of life, and told nothing else
	Unattended                  // Req, Level: above 0 while its client may be gone, and no attempt is to begin
)

// Event is something that happened.
type Event struct {
	Kind     EventKind
	Req      string
	Class    int
	Tenant   int
	Key      string
	GiveUpAt float64
	Work     float64 // of all threads, as time on one; 0: not known
	MemoryMB float64
	Dataset  int
	Attempt  int
	Engine   string
	Result   Result
	Elapsed  float64
	Done     bool // the request is over
	Level    float64
	Report   *Report // nil: none came
	Peer     int
	Message  []byte
	Timer    string
	Engines  []EngineInfo
}

// ActionKind says which fields of an Action count.
type ActionKind int

// The kinds of actions.
const (
	Send   ActionKind = iota // Req, Engine, Until
	Refuse                   // Req, Wait
	Fail                     // Req
	Cancel                   // Req, Attempt
	Terms                    // Req, MemoryMB, Priority
	Probe                    // Engine
	Tell                     // Message, to all peers
	Timer                    // Wait, Timer
	Watch                    // ask for the list and its changes
	Log                      // Text
)

// Action is something the gateway is to do.
type Action struct {
	Kind     ActionKind
	Req      string
	Engine   string
	Until    float64
	Wait     float64
	Attempt  int
	MemoryMB float64
	Priority int
	Message  []byte
	Timer    string
	Text     string
	Reason   Reason // of Refuse, Fail and Cancel
}
