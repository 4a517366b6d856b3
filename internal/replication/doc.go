// Package replication replicates administrative overrides, which disable or enable
// engines and front ends, to all front ends.
//
// A Replica is one front end's copy. It is a deterministic state machine: events
// and the time go in; messages, changes, acknowledgements and records to persist
// come out. It does no I/O, reads no clock and starts no goroutine.
//
// # Merge rule
//
// Each engine or front end has a multi-value register. Every write carries its causal
// context: a version vector with the latest write of each process that the writer had
// received. A register holds the writes that no other received write supersedes. The
// result depends neither on clocks nor on the order in which writes arrive.
//
// Where a register holds several concurrent writes that differ, "disabled" holds,
// as the safe side: an engine that is disabled by mistake costs some capacity, and
// work that is sent to one under maintenance is lost. The others are kept and
// reported as conflicts, until the next write, which supersedes them all.
//
// Merging takes the union of the writes without superseded ones. It is commutative,
// associative and idempotent, as in a state-based CRDT: copies that have received the
// same writes are equal. A context names at most maxContextProcesses processes, those
// with the latest writes. A write of a process that was cut from a context may remain
// beside the newer write as if the two were concurrent, which is again the safe side.
//
// # Guarantees
//
// Whatever the network does:
//
//   - A write that was acknowledged by a majority is held, or one that supersedes
//     it, by more than half of the members at that time, and on the disks of those
//     that have one. What more than half of the fleet lose at once, for want of
//     disks, may be lost.
//   - A write that was answered with a failure is not withdrawn: it stays, and goes
//     on spreading.
//   - A restarted process writes under another process ID, so that it cannot reuse
//     timestamps that it has forgotten, not even when its clock was set back.
//   - A replica reports whether it has caught up, and until then its host sends
//     nothing to engines. It has caught up when two members that have caught up, or
//     more than half of the fleet with itself, have the same digest; or when
//     Times.CatchUpTimeoutMS has passed, which is counted.
//
// # Convergence
//
// A write is sent to all members at once, and again every Times.ResendMS to those
// who have not acknowledged it, alive or not, within Times.BytesPerSecond. Each
// member that learns a write forwards it to two others. Copies that still differ
// are found by anti-entropy: each replica compares digests with a random member
// every Times.CompareIntervalMS, and at once with one that becomes alive again. Two
// replicas that can reach one another are equal a few round trips later. Paused and
// restarted replicas catch up the same way. Nothing depends on synchronized clocks:
// a write's timestamp orders what is shown, and decides only between writes with
// the same value.
//
// # Files
//
//   - replica.go: Replica and its queries
//   - events.go: events, effects and counters
//   - options.go: options, protocol times and their defaults
//   - register.go: writes, their causality and the merge rule
//   - writes.go: writes of this front end, until all have acknowledged them
//   - learn.go: writes of others, merged and forwarded
//   - catchup.go: when a restarted replica is ready
//   - antientropy.go: comparison of copies with other members
//   - messages.go: dispatch of received messages, sending
//   - persistence.go: restored and persisted registers
//   - wire.go: encoding of messages and persisted registers
package replication
