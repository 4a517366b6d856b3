// Package lease grants leases across all front ends. A lease is the right to run a
// load whose client gave it an idempotency key. No load runs twice, even if a client
// retries through another front end, or if front ends crash, pause or are partitioned.
//
// A Manager runs the protocol for one front end. It is a deterministic state machine:
// its inputs are events and the time, its outputs are messages, decisions and records
// to persist. It does no I/O, reads no clock and starts no goroutine.
//
// # Protocol
//
// Each key has one register, which is replicated on all front ends and changed by
// rounds of CASPaxos (Rystsov, 2018). The proposer picks a ballot and reads the
// register with a prepare message to all acceptors. Once a quorum has promised, it
// computes the new value and proposes it until a quorum has accepted it. The states of
// a register are:
//
//	Free        no process has the lease; the generation counts its releases
//	Held        one process has the lease and may run the load once
//	MayHaveRun  the owner has left, or cannot say whether the load ran
//	Ended       the load has run, with an outcome
//
// Ended needs no agreement, because only the owner of the lease can report an outcome.
// Each member that receives an outcome stores it. An outcome overrides every other
// state, so that copies converge.
//
// # Guarantees
//
// The following holds even if messages are lost, delayed, duplicated or reordered:
//
//   - At most one process is granted the lease of a key, until that process has
//     released it because the load provably never ran.
//   - A front end that cannot reach a quorum grants no lease. It decides NoQuorum, and
//     the load has not run. If its rounds may have acquired the lease nevertheless, it
//     releases the lease, or takes it over on the client's next attempt.
//   - A lease whose owner has left is never granted to another process. The decision
//     on retries is PossiblyRan, or AlreadyCompleted if the outcome is known.
//
// An owner that was paused and resumes may still run its load. This is safe: no other
// process may run the load, and the decision on other requests is only PossiblyRan. A
// proposer that was paused within a round finds that the round has expired by its own
// clock, and starts another round.
//
// # Recovery of an acceptor that lost its state
//
// A process that starts without its persisted votes must not vote as if it still had
// them. It waits Times.RecoveryDelayMS, which is longer than any round lasts. Each
// proposer limits its rounds by its own clock, so only clock rates matter. Then the
// process copies, range by range, the records and promises of N - quorum + 1 voters.
// Each promise or vote that it gave earlier was part of a quorum that has a member in
// common with these voters. If it did not copy the promises, a proposal that is delayed
// by seconds could override a value that was chosen with the new process's vote.
//
// Only if a majority of the fleet has lost its state at once, as at the first start,
// do members vote with the state that is left, which includes that of all voters that
// are running: they are copied first. Counters.RecoveriesWithoutQuorum counts this. The
// decision on attempts marked as retries whose key is unknown is Forgotten.
//
// # Liveness and retention
//
// If a majority of voters can reach one another, a grant takes two round trips. Rounds
// that preempt one another back off for a random time. Each member keeps a record for
// Times.RetentionMS after it first received the key, by its own clock. If there are more
// than Options.MaxLeases records, the oldest are evicted first.
//
// # Files
//
//   - manager.go: Manager and its view of the fleet
//   - events.go: events, effects and counters
//   - options.go: options, protocol times and defaults
//   - requests.go: requests of this front end's clients, decisions and releases
//   - proposer.go: rounds of Paxos with their prepare and accept phases, quorums, backoff
//   - acceptor.go: records, promises and votes
//   - outcomes.go: announcement of outcomes to the other members
//   - recovery.go: recovery of a member that lost its state
//   - antientropy.go: comparison of copies with other members
//   - retention.go: eviction of old records
//   - persistence.go: restoring and persisting of records
//   - messages.go: dispatch of received messages, sending of messages
//   - wire.go: encoding of messages and persisted records
package lease
