// Package simproto translates between the lines of the simulator's protocol and the
// events and actions of package control. It decides nothing itself.
//
// A line of the protocol is a JSON object. A batch starts with the clock and a serial
// number, contains messages to any number of gateway instances, and ends. The reply to
// a batch consists of the actions of all instances and an acknowledgement with the
// serial number.
//
// protocol.go has the verbs, keys and codes of the protocol and maps them to the terms
// of this program; other code does not use the protocol's names. message.go has the
// messages; decode.go decodes lines into messages, decodeevent.go does so for the
// events of instances, and encode.go encodes actions into lines. settings.go maps the
// keys of the settings, which the configurations of deployments use too.
package simproto

import (
	"encoding/json"

	"dewhill/control"
)

// verb is the name of a kind of message in the protocol.
type verb string

// The verbs of messages from the simulator.
const (
	verbBatchStart       verb = "MARK"
	verbBatchEnd         verb = "END"
	verbEndpointPage     verb = "CENSUS"
	verbStartInstance    verb = "ENLIST"
	verbStopInstance     verb = "POWER_OFF"
	verbEndpoints        verb = "MEMBERSHIP"
	verbRequestArrived   verb = "DEMAND"
	verbRequestAbandoned verb = "ABANDONED"
	verbAttemptStatus    verb = "STATUS_NOTE"
	verbStreamOpened     verb = "OPENED"
	verbAttemptEnded     verb = "OUTCOME"
	verbProbeEnded       verb = "HEALTH"
	verbGossipReceived   verb = "HEARD"
	verbTimerFired       verb = "TICK_DUE"
)

// The verbs of messages to the simulator.
const (
	verbStartAttempt   verb = "ISSUE"
	verbRejectRequest  verb = "DECLINE"
	verbFailRequest    verb = "SURRENDER"
	verbCancelAttempt  verb = "REVOKE"
	verbSetResources   verb = "ALLOT"
	verbProbeEngine    verb = "ASK_LOAD"
	verbBroadcast      verb = "TELL"
	verbSetTimer       verb = "SLEEP"
	verbWatchEndpoints verb = "LISTEN"
	verbWriteLog       verb = "TRACE"
	verbCrash          verb = "CRASH"
	verbAcknowledge    verb = "OK"
)

// key is the name of a field of a message in the protocol.
type key string

// The keys of messages to the simulator.
const (
	keyVerb       key = "t"
	keyInstance   key = "who"
	keySerial     key = "serial"
	keyRequestID  key = "ref"
	keyEngine     key = "engine"
	keyAttempt    key = "sendNo"
	keyDeadlineAt key = "untilMs"
	keyRetryAfter key = "waitMs"
	keyMemoryMB   key = "memoryGrant"
	keyPriority   key = "lane"
	keyPeer       key = "peer"
	keyMessage    key = "msg"
	keyDelay      key = "afterMs"
	keyTimer      key = "label"
	keyEnable     key = "enable"
)

// allPeers is the address of a message to all peers.
const allPeers = "*"

// wireMessage has the fields of all messages from the simulator. A pointer is nil if
// the message does not have the field.
type wireMessage struct {
	Verb     verb     `json:"t"`
	NowMS    *float64 `json:"momentMs"`
	Serial   *int64   `json:"serial"`
	Instance *int     `json:"who"`

	// Start of an instance.
	Seed     json.Number     `json:"initSeed"`
	Settings json.RawMessage `json:"env"`

	// Endpoint list.
	Page    int            `json:"page"`
	Entries []wireEndpoint `json:"items"`
	Change  endpointChange `json:"scope"`

	// Requests.
	RequestID    string      `json:"ref"`
	Class        int         `json:"class"`
	Tenant       int         `json:"billing"`
	OrderingKey  string      `json:"key"`
	DeadlineAtMS float64     `json:"giveUpAtMs"`
	WorkMS       float64     `json:"guessMs"`
	MemoryMB     float64     `json:"needMb"`
	Dataset      int         `json:"dataset"`
	Flags        requestFlag `json:"bits"`

	// Attempts and probes.
	Attempt     int                `json:"sendNo"`
	Engine      string             `json:"engine"`
	Outcome     int                `json:"rc"`
	ElapsedMS   float64            `json:"spentMs"`
	LoadReport  map[string]float64 `json:"usage"`
	RequestDone bool               `json:"doneFlag"`
	Cost        packedCost         `json:"usedUp"`
	Status      attemptStatus      `json:"topic"`
	StatusValue float64            `json:"level"`

	// Timers and gossip.
	Timer  string `json:"label"`
	Peer   int    `json:"neighbour"`
	Gossip []byte `json:"msg"`
}

// wireEndpoint is an entry of an endpoint list.
type wireEndpoint struct {
	ID          string        `json:"engine"`
	Zone        int           `json:"regionPart"`
	Kind        int           `json:"kind"`
	Cell        int           `json:"bay"`
	State       endpointState `json:"mode"`
	Size        float64       `json:"size"`
	StartedAtMS float64       `json:"upSinceMs"`
}

// endpointState is the state of an engine in an endpoint list.
type endpointState string

const (
	endpointUp       endpointState = "live"
	endpointDraining endpointState = "quiescing"
	endpointRemoved  endpointState = "dead"
)

// endpointChange says what a page of endpoints means for an instance.
type endpointChange string

const (
	endpointsUpdated     endpointChange = "update"  // the page contains the entries that changed
	endpointsReplaced    endpointChange = "replace" // the page is the complete list
	endpointsRestored    endpointChange = "restored"
	endpointsUnavailable endpointChange = "unavailable"
)

// requestFlag is a set of bits that say which estimates of a request are valid.
type requestFlag int

// workEstimateValid is set if the estimate of a request's work is valid.
const workEstimateValid requestFlag = 1

// attemptStatus says what the value of a status message means.
type attemptStatus int

const (
	statusProgress      attemptStatus = 1
	statusShortOfMemory attemptStatus = 2
	statusBlocked       attemptStatus = 3
)

// results maps the result codes of the protocol.
var results = map[int]control.Result{
	10: control.Served,
	20: control.Errored,
	30: control.Rejected,
	40: control.TimedOut,
	50: control.ConnectFailed,
	60: control.Reset,
	70: control.Cancelled,
	80: control.NotSent,
}

// The keys of load reports.
const (
	reportInFlight       = "rif"
	reportQueued         = "q"
	reportBusyFraction   = "busy"
	reportMemoryFraction = "x0"
	reportDiskFraction   = "x1"
)

// packedCost is the cost of an attempt for its engine: the work in milliseconds in the
// high bits, and the memory in units of memoryUnitMB in the low bits.
type packedCost int64

const (
	memoryFieldRange = 4096 // number of values that the low bits can have
	memoryUnitMB     = 4
)

func (c packedCost) workMS() float64   { return float64(c / memoryFieldRange) }
func (c packedCost) memoryMB() float64 { return float64(c%memoryFieldRange) * memoryUnitMB }

// The texts of log entries that recordings of the simulator contain.
const (
	ejectedText   = "engine %s shut out for %.0f ms: %s"
	recoveredText = "engine %s back"
)

// ejectionCauses maps the causes of an ejection to their texts in the protocol.
var ejectionCauses = map[control.EjectionCause]string{
	control.ConsecutiveFailures: "failures",
	control.UnresponsiveEngine:  "silent",
	control.FailedRecoveryProbe: "failed trial",
}
