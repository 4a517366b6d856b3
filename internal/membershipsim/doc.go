// Package membershipsim simulates a fleet of views (internal/membership) with a
// simulated network and a virtual clock, in one goroutine. The same options and seed
// always give the same run. A simulation can have more processes than a test with
// sockets.
//
//   - simulation.go: the fleet, its processes and their faults
//   - network.go: datagrams between processes
//   - event.go: scheduled timers, datagrams and callbacks
//   - inspect.go: comparison of the views with the actual state of the processes
//   - benchmark.go: detection and convergence times, loss and slow processes
//   - heartbeat.go: all-to-all heartbeats, a baseline for comparison
//
// The package supports tests and is not part of the product.
package membershipsim
