// Package control makes the scheduling decisions of a gateway (a front end) that
// runs short and long requests on shared engines, and limits the long ones so that the
// short ones meet their latency objectives.
//
// # Design
//
// Short requests (dashboards) and long ones (reports and bulk loads, together the
// secondary work) run on the same engines, and secondary work slows the
// dashboards that run beside it. The control variable is therefore the number of
// threads of secondary work on an engine. Dashboards start at once, on the least
// loaded engine. Secondary work waits in one first-come, first-served queue until
// some engine is below its thread limit. An integral controller moves each limit
// by the difference between the latency objective of dashboards and their
// measured latency on that engine. The limit converges to the point where
// dashboards just meet their objective, without a model of the engine or of the
// work. (This is feedback-based admission differentiation, with dashboards as the
// primary workload.)
//
// # State machine
//
// A [Gateway] takes one [Event] at a time and returns the [Action] values that the
// caller must carry out, in order. It has no clock, starts no goroutine and does
// no I/O: the same settings, seed and events always give the same actions. It is
// not safe for concurrent use.
//
// The other gateways of the fleet are the gateway's peers. All times are in milliseconds
// on the caller's clock, all memory sizes in megabytes. The work of a request is its
// thread time: its duration in milliseconds if it ran on one thread.
//
// # Files
//
// The interface:
//
//	settings.go     the configuration of a gateway
//	event.go        input: the events that the caller reports
//	action.go       output: the actions that the caller carries out
//	logentry.go     log lines
//	reason.go       why a request was rejected or failed, or an attempt was cancelled
//
// The state:
//
//	gateway.go      Gateway, New, Handle and the periodic sweep
//	class.go        classes of requests, and which of them are dashboards
//	engine.go       the state of an engine
//	request.go      requests, their attempts and keys
//
// The decisions:
//
//	queue.go        the order in which requests are started
//	routing.go      which engine a request goes to
//	affinity.go     which engines the requests of a data set prefer
//	threadlimit.go  how many threads of secondary work, and how many dashboards, an engine may run
//	loadreport.go   how loaded an engine is, and when it is probed
//	slowstart.go    how much work is sent to an engine while it warms up
//	health.go       which engines are ejected, recovered or considered slow
//	attempt.go      which attempts may start, and the effects of their outcomes
//	supervision.go  which attempts in flight are cancelled
//	retry.go        whether a request may have another attempt
//	shedding.go     which requests are ended early for lack of capacity
//	endpoints.go    which engines may be used: endpoint list and administrative overrides
//	gossip.go       the demand and the loads that a gateway exchanges with its peers
//	estimate.go     how much work a request is, how long it takes and when it is due
package control
