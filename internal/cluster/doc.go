// Package cluster connects the state machines for the state that front ends share to the
// network, the event loop and the disk. The state machines are the view of the fleet
// (internal/membership) and the two layers above it: replicated overrides
// (internal/replication) and load leases (internal/lease). This package provides them with
// datagrams, timers and durable storage, and reports their state to operators. It makes no
// decisions.
//
// A Cluster is confined to the goroutine of its Host's event loop: all its methods must be
// called on that goroutine, and its callbacks are called there.
//
//   - cluster.go: the components of a cluster; sent and received datagrams
//   - members.go: membership, and the front ends that are included in the division of work
//   - overrides.go: administrative overrides of engines and front ends
//   - leases.go: leases of loads
//   - timer.go: the timers of the state machines
//   - adminjson.go: reports for operators, whose keys are fixed
//   - options.go, validate.go: the operators' settings (deploy/group.toml)
package cluster
