package server

import (
	"encoding/json"
	"runtime"

	"dewhill/internal/dispatch"
	"dewhill/internal/engineclient"
	"dewhill/internal/httpfront"
	"dewhill/internal/mysql"
)

// maxLinesPerKind limits the log lines of one kind, so that a log that is kept in memory
// is bounded.
const maxLinesPerKind = 200

// RequestCounters count the requests and attempts of a loop, and measure its delays.
type RequestCounters struct {
	Events             int            `json:"Events"` // posted to the loop, without urgent ones
	Submitted          int            `json:"Taken"`
	Served             int            `json:"Served"`
	Rejected           int            `json:"Refused"`
	Failed             int            `json:"Failed"`
	Abandoned          int            `json:"Gone"` // by clients that disconnected
	AttemptsStarted    int            `json:"Starts"`
	AttemptsCancelled  int            `json:"Stops"`
	LateResponses      int            `json:"Late"`       // responses after the client's deadline
	MaxResponseDelayMS float64        `json:"WorstLate"`  // the longest delay past the deadline
	MaxReadDelayMS     float64        `json:"WorstRead"`  // the longest, from reading a request to its event
	MaxTimerDelayMS    float64        `json:"WorstWake"`  // the longest delay of the dispatcher's timers
	MaxEventMS         float64        `json:"WorstEvent"` // the longest time that one event took
	Stalls             int            `json:"Stalls"`     // events that took stallThresholdMS or longer
	AttemptResults     map[string]int `json:"Results"`    // attempts that ended, by the name of the result
}

// platformCounters count what a platform front end receives and sends besides requests.
type platformCounters struct {
	Updates         int `json:"Notices"` // updates of the endpoint list that were applied
	DiscoveryErrors int `json:"BoardTroubles"`
	GossipSent      int `json:"Told"`
	GossipReceived  int `json:"Heard"`
	UnknownSenders  int `json:"Strange"` // datagrams from addresses that are not peers
	Reloads         int `json:"Reloads"`
	FailedReloads   int `json:"BadReloads"`
	EmptySnapshots  int `json:"EmptyLists"` // snapshots without engines that were ignored

	ListedEngines int     `json:"Listed"`      // engines in the list
	MaxUpdateMS   float64 `json:"WorstNotice"` // the longest time that applying updates took

	UnexpectedDatagrams int `json:"Foreign,omitempty"` // datagrams of a kind that is not handled here
}

// platformReport is the report that a platform front end prints on SIGUSR1 and when it
// exits, and returns for GET /-/counters. Its fields are in the order of their keys.
type platformReport struct {
	Classes           []dispatch.ClassCounts `json:"classes"`
	EngineConnections int                    `json:"engine_conns"`
	Engines           engineclient.Counters  `json:"engines"`
	HTTPServer        httpfront.Counters     `json:"front"`
	Goroutines        int                    `json:"goroutines"`
	Cluster           any                    `json:"group,omitempty"`
	HeapMB            uint64                 `json:"heap_mb"`
	FrontEnd          platformCounters       `json:"node"`
	OpenRequests      int                    `json:"open"`
	RequestLog        requestLogCounters     `json:"reasons"`
	Requests          RequestCounters        `json:"requests"`
}

// mySQLReport is the report that a MySQL front end prints. Its fields are in the order of
// their keys.
type mySQLReport struct {
	Classes      []dispatch.ClassCounts `json:"classes"`
	Engines      mysql.PoolCounters     `json:"engines"`
	Server       mysql.ServerCounters   `json:"front"`
	OpenRequests int                    `json:"open"`
	Requests     RequestCounters        `json:"requests"`
}

// operatorReport is the response to GET /control/counters. Its fields are in the order of
// their keys.
type operatorReport struct {
	EngineRequests    int                      `json:"backend_calls"` // written completely to engines
	Classes           map[string]classOutcomes `json:"calls"`         // by class name
	UnusedEngines     int                      `json:"hosts_down"`
	ListedEngines     int                      `json:"hosts_listed"`
	OpenRequests      int                      `json:"inflight"`
	FailedReloads     int                      `json:"reconfig_failed"`
	SuccessfulReloads int                      `json:"reconfig_ok"`
}

// classOutcomes count the responses to a class's requests.
type classOutcomes struct {
	Served   int `json:"success"`
	Rejected int `json:"busy"`
	Failed   int `json:"failure"`
}

// CountersJSON returns the counters as JSON.
func (l *EventLoop) CountersJSON() []byte {
	var report any
	if l.countersReport != nil {
		report = l.countersReport()
	}
	text, err := json.Marshal(report)
	if err != nil {
		return []byte("{}")
	}
	return text
}

func (f *platformFrontEnd) report() any {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	report := platformReport{
		Classes:           f.loop.dispatcher.OpenByClass(),
		EngineConnections: f.enginePool.Connections(),
		Engines:           f.enginePool.Counters,
		HTTPServer:        f.httpServer.Counters,
		Goroutines:        runtime.NumGoroutine(),
		HeapMB:            memory.HeapSys >> 20,
		FrontEnd:          f.counters,
		OpenRequests:      f.loop.OpenRequests(),
		RequestLog:        f.loop.requestLog.counters,
		Requests:          f.loop.Counters,
	}
	if f.cluster != nil {
		report.Cluster = f.cluster.CountersReport()
	}
	return report
}

func (f *platformFrontEnd) operatorReport() operatorReport {
	outcomes := map[string]classOutcomes{}
	for i, class := range f.cfg.Settings.Classes {
		o := f.httpServer.Counters.Classes[i]
		outcomes[class.Name] = classOutcomes{Served: o.Served, Rejected: o.Rejected, Failed: o.Failed}
	}
	listed, unused := f.engineCounts()
	return operatorReport{
		EngineRequests:    f.enginePool.RequestsWritten(),
		Classes:           outcomes,
		UnusedEngines:     unused,
		ListedEngines:     listed,
		OpenRequests:      f.loop.OpenRequests(),
		FailedReloads:     f.counters.FailedReloads,
		SuccessfulReloads: f.counters.Reloads,
	}
}
