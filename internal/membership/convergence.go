package membership

import "dewhill/internal/antientropy"

const (
	// agreementsToConverge is the number of other members that must have reported
	// this view's digest before the view counts as converged.
	agreementsToConverge = 3
	agreementPeriods     = 10.0 // probe periods after which an agreement expires
	maxAgreements        = 4 * agreementsToConverge
)

// agreement records that another member reported this front end's digest.
type agreement struct {
	key  uint64  // of the member
	atMS float64 // time of the last message with the digest
}

// digestTerm returns the number that a member adds to the digest of its range. A
// suspect counts as alive, so that short-lived suspicions do not change digests.
func (e *entry) digestTerm() uint64 {
	state := e.State
	switch state {
	case Unknown:
		return 0
	case Suspect:
		state = Alive
	case Alive, Dead, Left:
	}
	return antientropy.Mix(e.key ^ antientropy.Mix(uint64(e.Incarnation)<<3|uint64(state)))
}

// addToRangeDigest adds a difference to the digest of a member's range. A changed
// digest invalidates the agreements of other members.
func (v *View) addToRangeDigest(e *entry, difference uint64) {
	if difference == 0 {
		return
	}
	v.rangeDigests[v.rangeOf(e)] += difference
	v.digestChangedAtMS = v.nowMS
	v.agreements = v.agreements[:0]
}

// Digest returns a hash of all members whose state is not Unknown, with their
// incarnations and whether they are alive, dead or left. Equal views have equal
// digests.
func (v *View) Digest() uint64 {
	var digest uint64
	for _, rangeDigest := range v.rangeDigests {
		digest += rangeDigest
	}
	return digest
}

// recordDigest records the sender's agreement if a message has the digest of this
// view; another digest discards all agreements. Messages from senders with another
// configured list are ignored.
func (v *View) recordDigest(sender *entry, m *message) {
	if !v.hasSameList(m) {
		return
	}
	if m.digest != v.Digest() {
		v.agreements = v.agreements[:0]
		return
	}
	oldest := 0
	for i, a := range v.agreements {
		if a.key == sender.key {
			v.agreements[i].atMS = v.nowMS
			return
		}
		if a.atMS < v.agreements[oldest].atMS {
			oldest = i
		}
	}
	current := agreement{sender.key, v.nowMS}
	if len(v.agreements) < maxAgreements {
		v.agreements = append(v.agreements, current)
	} else {
		v.agreements[oldest] = current
	}
}

// Converged reports whether agreementsToConverge other members, or all live ones if
// there are fewer, have recently reported this view's present digest. A front end
// that sees no other live member is converged agreementsToConverge periods after
// the last change. A front end that is leaving is never converged.
func (v *View) Converged() bool {
	if v.leaving || !v.started {
		return false
	}
	needed := min(agreementsToConverge, len(v.live))
	if needed == 0 {
		return v.nowMS > v.digestChangedAtMS+agreementsToConverge*v.options.Times.ProbeIntervalMS
	}
	recent := 0
	for _, a := range v.agreements {
		if a.atMS >= v.nowMS-agreementPeriods*v.options.Times.ProbeIntervalMS {
			recent++
		}
	}
	return recent >= needed
}
