package lease

import (
	"encoding/binary"

	"dewhill/internal/antientropy"
)

// State is the state of a register.
type State uint8

// The states. Their numbers are part of the wire form.
const (
	Free       State = iota // no process has the lease
	Held                    // one process has the lease
	MayHaveRun              // the load may have run and will not be run again
	Ended                   // the load has run, with an outcome
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Free:
		return "free"
	case Held:
		return "held"
	case MayHaveRun:
		return "may have run"
	case Ended:
		return "ended"
	default:
		return "unknown"
	}
}

// Value is the value of a register.
type Value struct {
	Generation  uint32 // number of times that the lease was released unused
	State       State
	Owner       uint64 // Options.ProcessID of the process that has or had the lease
	Fingerprint uint64 // hash of the load's content
	Outcome     []byte // outcome of the load in state Ended
}

// Ballot identifies a round and orders the rounds of a register. The zero Ballot is
// lower than that of any round.
type Ballot struct {
	Number     uint32
	ProposerID uint64
}

// above reports whether b is a higher ballot than o.
func (b Ballot) above(o Ballot) bool {
	return b.Number > o.Number || b.Number == o.Number && b.ProposerID > o.ProposerID
}

// digest returns the ballot's contribution to the digest of a record.
func (b Ballot) digest() uint64 { return antientropy.Mix(b.ProposerID + uint64(b.Number)<<32) }

// record is this front end's copy of one register as an acceptor, with the state of
// this process's own lease on it.
type record struct {
	key         Key
	promised    Ballot
	accepted    Ballot
	value       Value
	createdAtMS float64

	maxOwnBallot      uint32        // highest ballot number of this process's own rounds
	running           bool          // this process has the lease and has not reported a result
	grantedGeneration uint32        // generation + 1 of the last lease granted here that may have run, or 0
	announceAtMS      float64       // when the outcome is sent next; 0: it is not announced
	announcedAtMS     float64       // when the outcome was sent first; 0: never
	acknowledged      map[Peer]bool // members that have the outcome; nil: it is not announced
}

// Hash returns the hash of the record's key.
func (r *record) Hash() uint64 { return binary.BigEndian.Uint64(r.key[:]) }

// Sum returns the record's contribution to digests. It is 0 for a record that has no
// outcome, no accepted value and no promise.
func (r *record) Sum() uint64 {
	switch {
	case r.value.State == Ended:
		return antientropy.Mix(antientropy.Mix(r.Hash()+uint64(r.value.Generation)) ^ outcomeDigest(r.value.Outcome))
	case r.accepted.Number == 0 && r.promised.Number == 0:
		return 0
	default:
		// Promises are included because a member that lost its state copies them too.
		return antientropy.Mix(r.Hash() ^ r.accepted.digest() ^ antientropy.Mix(r.promised.digest()))
	}
}

func outcomeDigest(outcome []byte) uint64 {
	const fnvPrime = 1099511628211
	digest := uint64(1)
	for _, c := range outcome {
		digest = digest*fnvPrime ^ uint64(c)
	}
	return digest
}

// learn adopts a value that a member has accepted, or an outcome, and reports whether
// the record changed. Learning a value is not a vote. A value with a lower ballot than
// the one promised here is harmless, because rounds use the value with the highest
// ballot.
func (m *Manager) learn(r *record, ballot Ballot, value Value) (changed bool) {
	if r.value.State == Ended {
		return false
	}
	higher := ballot.above(r.accepted)
	if value.State != Ended && !higher {
		return false
	}
	oldSum := r.Sum()
	r.value = value
	if higher {
		r.accepted = ballot
	}
	m.records.tree.Update(r, oldSum)
	return true
}

// promise records that rounds with a lower ballot no longer count, and reports whether
// the record changed. It is always safe to raise a promise.
func (m *Manager) promise(r *record, ballot Ballot) (changed bool) {
	if !ballot.above(r.promised) {
		return false
	}
	oldSum := r.Sum()
	r.promised = ballot
	m.records.tree.Update(r, oldSum)
	return true
}

// vote replies to a prepare or accept message once the vote is persisted. A member
// that lost its state does not vote, as it could break its earlier promises.
func (m *Manager) vote(from Peer, msg *message) {
	if !m.CanVote() {
		return
	}
	r := m.recordOf(msg.key)
	reply := &message{verb: verbPromise, key: msg.key, ballot: msg.ballot, accepted: r.accepted, value: r.value}
	if msg.verb == verbAccept {
		reply = &message{verb: verbAccepted, key: msg.key, ballot: msg.ballot}
		if r.value.State == Ended {
			reply.accepted = r.accepted
			reply.value = r.value
		}
	}
	if r.promised.above(msg.ballot) {
		reply.rejected = true
		reply.promised = r.promised
		m.send(from, reply)
		return
	}
	m.promise(r, msg.ballot)
	if msg.verb == verbAccept {
		m.learn(r, msg.ballot, msg.value)
	}
	m.persist(r, func() { m.send(from, reply) })
}
