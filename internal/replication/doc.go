// Package replication replicates administrative overrides, which disable or enable
// engines and front ends, to all front ends.
//
// A Replica is one front end's copy of the overrides. It is a deterministic state machine:
// its inputs are events and the time, its outputs are messages, changes, results of writes
// and records to persist. It does no I/O, reads no clock and starts no goroutine.
//
// # Merge rule
//
// Each engine or front end has a multi-value register. Every write carries its causal
// context: a version vector with the latest write of each process that the writer had
// received. A register holds the writes that no other received write supersedes. The
// result depends neither on clocks nor on the order in which writes arrive.
//
// If concurrent writes in a register differ, "disabled" takes effect as the safe choice: an
// engine that is disabled by mistake costs some capacity, but work that is sent to an
// engine under maintenance is lost. The writes with the other value are kept and reported
// as conflicts until the next write, which supersedes all of them.
//
// Merging takes the union of the writes without superseded ones. It is commutative,
// associative and idempotent, as in a state-based CRDT: copies that have received the
// same writes are equal. A context names at most maxContextProcesses processes, those
// with the latest writes. A write of a process that was cut from a context may remain
// beside the newer write as if the two were concurrent, which is again the safe choice.
//
// # Guarantees
//
// The following holds even if messages are lost, delayed, duplicated or reordered:
//
//   - Once a majority has acknowledged a write, more than half of the members at that time
//     store the write or a write that supersedes it, on disk if they have one. The write
//     may be lost if more than half of the fleet have no disk and crash at the same time.
//   - A write for which a failure was returned is not withdrawn: it is kept, and still
//     spreads to the other members.
//   - A restarted process writes under another process ID, so that it cannot reuse
//     timestamps that it has forgotten, even if its clock was set back.
//   - A replica reports whether it has caught up. Until then, its host sends nothing to
//     engines. A replica has caught up when its digest is equal to that of two members that
//     have caught up, or when it and the members with the same digest are more than half
//     of the fleet. It also counts as caught up when Times.CatchUpTimeoutMS has passed,
//     and a counter records this.
//
// # Convergence
//
// A write is sent to all members immediately, and again every Times.ResendMS to the members
// that have not acknowledged it, whether they are alive or not, within
// Times.BytesPerSecond. Each member that receives a new write forwards it to two others.
// Copies that still differ are found by anti-entropy: each replica compares digests with a
// random member every Times.CompareIntervalMS, and with each member that becomes alive
// again, after recompareDelayMS at most. Two replicas that can reach one another are equal
// a few round trips later. Paused and restarted replicas catch up the same way. Nothing
// depends on synchronized clocks: timestamps only order conflicts in reports, and decide
// between writes with the same value.
//
// # Files
//
//   - replica.go: Replica and its queries
//   - events.go: events, effects and counters
//   - options.go: options, protocol times and their defaults
//   - register.go: writes, their causality and the merge rule
//   - writes.go: writes of this front end, until all members have acknowledged them
//   - entries.go: writes received from other members, merged and forwarded
//   - catchup.go: the conditions under which a restarted replica is ready
//   - antientropy.go: comparison of copies with other members
//   - messages.go: dispatch of received messages, and sending
//   - persistence.go: restored and persisted registers
//   - wire.go: encoding of messages and persisted registers
package replication
