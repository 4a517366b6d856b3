package membership

import "dewhill/internal/antientropy"

const (
	// agreementsToConverge is how many members must have this view's digest.
	agreementsToConverge = 3
	agreementPeriods     = 10.0 // for which an agreement counts
	maxAgreements        = 4 * agreementsToConverge
)

// agreement is that a member had this front end's digest.
type agreement struct {
	key  uint64 // of the member
	atMS float64
}

// digestTerm is what a member adds to the digest of its range. A suspect counts as
// alive: suspicions come and go.
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

// addToRangeDigest updates the digest of a member's range. A changed digest voids
// the agreement of others.
func (v *View) addToRangeDigest(e *entry, difference uint64) {
	if difference == 0 {
		return
	}
	v.rangeDigests[v.rangeOf(e)] += difference
	v.digestChangedAtMS = v.nowMS
	v.agreements = v.agreements[:0]
}

// Digest returns a hash of all members that were heard of, with their
// incarnations and whether they are alive, dead or left. Equal views have equal
// digests.
func (v *View) Digest() uint64 {
	var digest uint64
	for _, rangeDigest := range v.rangeDigests {
		digest += rangeDigest
	}
	return digest
}

// recordDigest notes whether a message's sender has the same view.
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

// Converged reports whether this view has not changed since enough others had the
// same digest. A front end that knows nobody else is converged some periods after
// the last change; one that is leaving never is.
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
