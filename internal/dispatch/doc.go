// Package dispatch runs the life cycle of requests. It is a reducer: every change of
// state is an Event given to Dispatcher.Apply, which consults the decision logic of
// package control and returns the Effects to carry out, in order. It deals only with
// requests, attempts and outcomes, does no I/O and has no clock: the same settings, seed
// and events always give the same effects.
//
// The package keeps these invariants for every action that the decision logic requests:
//
//   - A request gets one final response, by its deadline. A request that its client
//     has abandoned gets none.
//   - A request has at most one attempt in flight, unless the settings allow hedging.
//   - A request is rejected only if none of its attempts can have run, so that the
//     client may safely retry. Otherwise it fails.
//   - A request that is not idempotent is not retried once an attempt may have run. A
//     request that is idempotent by its key gets no retry that might reach an engine
//     after the window in which engines recognize the key.
//   - No attempt starts after the response, after the deadline, or after the client
//     has detached.
//
// All times are in milliseconds on the caller's clock, memory in megabytes, work in
// milliseconds of one core.
//
// events.go and effects.go are the interface. dispatcher.go applies events, request.go
// has the state of requests, attempt.go starts and ends their attempts, response.go ends
// requests, timers.go schedules deadlines and the timers of the decision logic, and
// decisions.go translates to and from package control. opencounts.go counts open requests.
package dispatch
