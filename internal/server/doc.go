// Package server assembles the program: it combines the client-facing servers, the
// dispatcher and the engine pools into one or two front ends, and runs them until
// their shutdown is complete.
//
// # Guarantees
//
//   - Every request that was submitted gets one response, also during shutdown:
//     Run returns only when all requests have been answered, and answers those that
//     are still open before the platform would kill the process.
//   - A request id is not accepted again within a minute, unless more than 16,384 ids
//     were accepted since.
//   - An invalid configuration is never applied: the program doesn't start with it,
//     and a reload keeps the configuration in use.
//   - A snapshot without engines never empties the endpoint list.
//   - Clients, engines and operators have separate limits of file descriptors.
//
// # Ownership
//
// Each front end has an [EventLoop]. Its goroutine owns the dispatcher, the open
// requests, the timers, the counters, the endpoint table, the cluster state and
// the administrative overrides, so no locks protect them. Every other goroutine
// passes its work to the loop by Post, PostUrgent or runAndWait. The other goroutines
// of this package are:
//
//   - for the program: one that handles SIGHUP, and one that handles SIGUSR1 and the
//     shutdown signals (signals.go). They end with the process.
//   - for each service: one that accepts connections, which ends when the listener is
//     closed (service.go), one that closes the listener during a shutdown
//     (shutdown.go), and one that discards events after the loop has ended (service.go).
//   - for the platform front end: one that receives datagrams until the transport is
//     closed (peers.go), one that watches the endpoint list until its context is
//     cancelled (endpoints.go), and the server of the operators' API and the poller of
//     the handover file, which end with the process (admin.go).
//   - for the MySQL front end: one for each message between its loop and that of the
//     platform front end, as neither loop may wait for the other (leasecoordinator.go).
//
// Connections have their own goroutines, in the packages that serve them.
//
// # Files
//
// Process:
//   - run.go: Run, which starts the front ends and waits until they have shut down
//   - signals.go: the handling of signals
//   - service.go: a front end with its loop and its listener
//   - shutdown.go: graceful shutdown of a service
//   - listen.go: listeners, which two processes share in an upgrade
//   - limits.go: cores, memory and file descriptors
//
// Configuration:
//   - config.go: the platform's configuration file
//   - settingscheck.go: validation of the settings
//   - defaults.go: defaults of settings that the configuration leaves out
//   - reload.go: reading a configuration again after SIGHUP
//
// Event loop:
//   - eventloop.go: the queue of events, the timers and the dispatcher's effects
//   - requests.go: open requests, from submission to response
//   - recentids.go: request ids that were accepted recently
//   - requestlog.go: log lines about requests that were not served by their first attempt
//   - counters.go: counters and the reports that contain them
//
// Platform front end:
//   - frontend.go: its assembly and its methods for the service
//   - endpoints.go: updates of the endpoint list
//   - endpointtable.go: the list and the subset of it that this front end uses
//   - enginestarts.go: start times of engines by the loop's clock
//   - peers.go: datagrams between front ends, and the cluster
//   - admin.go: the operators' API
//   - overrides.go: engines that operators have disabled
//   - handover.go: the file through which a process hands over to the next in an upgrade
//
// MySQL front end:
//   - mysqlfrontend.go: its assembly and its methods for the service
//   - leasecoordinator.go: leases of its loads, from the platform front end's cluster
package server
