// Package lease grants, among all front ends, the right to run a load that its
// client gave an idempotency key, so that no load runs twice: not when a client
// retries through another front end, and not when front ends crash, pause or are
// partitioned.
//
// A Manager is one front end's part. It is a deterministic state machine: events
// and the time go in; messages, decisions and records to persist come out. It
// does no I/O, reads no clock and starts no goroutine.
//
// # Protocol
//
// Each key names one register, replicated on all front ends and changed by rounds
// of CASPaxos (Rystsov, 2018). The proposer picks a ballot, reads the register
// with a prepare message to all acceptors, works out the new value once a quorum
// has promised, and has a quorum accept it. The states of a register are:
//
//	Free        nobody has the lease; the generation counts how often it was released
//	Held        one process has the lease and may run the load once
//	MayHaveRun  the process that had the lease has gone, or cannot say whether it ran
//	Ended       the load has run, with an outcome
//
// Ended needs no agreement: it is a fact that only the owner of the lease can
// report. Every member that receives an outcome stores it, and it overrides every
// other state, so that copies converge.
//
// # Guarantees
//
// Whatever the network does:
//
//   - At most one process is granted the lease of a key, until that process has
//     released it because the load provably never ran.
//   - A front end that cannot reach a quorum grants nothing. It answers NoQuorum,
//     the load has not run, and whatever its rounds may have left in the register
//     it releases itself or takes over on the client's next attempt.
//   - A lease whose owner has gone is never given to another process. Retries are
//     answered PossiblyRan, or with the outcome where it is known.
//
// A paused owner that resumes may still run its load: it alone may, and others
// were only told that the load may have run. A proposer that was paused within a
// round finds the round expired by its own clock and starts another one.
//
// # Recovery of an acceptor that lost its state
//
// A process that starts without its persisted votes must not vote as if it
// remembered them. It waits Times.RecoveryDelayMS, which is longer than any round
// lasts (each proposer checks that by its own clock, so only clock rates matter),
// and then copies, range by range, the records and promises of N - quorum + 1
// voters. Every promise or vote that it gave earlier was part of a quorum that
// shares a member with those. Without the promises, a proposal that is delayed by
// seconds could override a value that was chosen with the new process's vote.
// Only when a majority of the fleet has lost its state at once, as at the first
// start, do members vote with what is left. That is counted, and attempts marked
// as retries whose key is unknown are answered Forgotten.
//
// # Liveness and retention
//
// With a majority of voters that can reach one another, a grant takes two round
// trips. Rounds that preempt one another back off at random. A record is kept for
// Times.RetentionMS from when its key was first seen, by each member's own clock;
// beyond Options.MaxLeases the oldest records are evicted first.
//
// # Files
//
//   - manager.go: Manager and its view of the fleet
//   - events.go: events, effects and counters
//   - options.go: options, protocol times and their defaults
//   - requests.go: requests of this front end's clients, releases and decisions
//   - proposer.go: rounds of Paxos: prepare, accept, quorums, retries
//   - acceptor.go: records, promises and votes
//   - outcomes.go: announcement of outcomes to the other members
//   - recovery.go: catch-up of a member that lost its state
//   - antientropy.go: comparison of copies with other members
//   - retention.go: eviction of old records
//   - persistence.go: restored and persisted records
//   - messages.go: dispatch of received messages, sending
//   - wire.go: encoding of messages and persisted records
package lease
