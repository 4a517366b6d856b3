package membership

import "slices"

// probeKind is why a member is probed, and with what effort.
type probeKind uint8

const (
	// roundProbe is of the next member of a random round, or of a suspect.
	roundProbe probeKind = iota
	// ringProbe is of this front end's next live member on the ring.
	ringProbe
	// sweepProbe is of further ring members where many may have failed. It asks no
	// helpers, most of which may be gone too.
	sweepProbe
)

// probe is a probe in flight: direct pings, then pings through helpers.
type probe struct {
	target     *entry
	seq        uint32
	startedMS  float64
	nextStepMS float64
	attempts   int // steps after the first ping
	kind       probeKind
}

// failureDetector holds the probes of a view.
type failureDetector struct {
	period          int // number of the current period
	nextPeriodMS    float64
	probes          []*probe
	indirectProbes  []indirectProbe
	failedProbeSeqs [8]uint32 // to recognize late acks, indexed by sequence number
	lastProbeSeq    uint32
	probeRound      []*entry // live members still to be probed in this round
	sweepWidth      int      // ring members to probe at once
}

// usesHelpers reports whether the probe also asks others to ping its target.
func (p *probe) usesHelpers() bool { return p.kind != sweepProbe }

// isOnRing reports whether the target was chosen by its place on the ring.
func (p *probe) isOnRing() bool { return p.kind == ringProbe || p.kind == sweepProbe }

const (
	directPings          = 2   // of a probe
	directPingsIfLossy   = 4   // of a probe on a lossy network
	indirectPingTimeouts = 1.6 // probe time-outs that an indirect ping takes
	maxSweepWidth        = 64  // ring members probed at once
	sweepFreshPeriods    = 3   // a sweep skips members received from within these
	nameProbeInterval    = 4   // periods between probes for members without a name
	massSuspectDivisor   = 20  // one suspect of so many live members is a mass failure
	minMassSuspectCount  = 3
)

// probeNextMember begins the probe of a period. Every other period it goes to the
// next member on the ring, so that every member is probed regularly by its
// watchers, and else to a random one.
func (v *View) probeNextMember() {
	if v.inMassFailure() {
		v.probeInMassFailure()
		return
	}
	if v.detector.period%2 == 0 {
		if next := v.probeCandidates(1); len(next) > 0 {
			v.startProbe(next[0], ringProbe)
			return
		}
	}
	if e := v.nextInRound(); e != nil {
		v.startProbe(e, roundProbe)
	}
}

// probeInMassFailure probes along the ring. The budget does not reach for random
// probes, most of which would go to failed members: watchers detect those, and
// gossip goes to members that are there.
func (v *View) probeInMassFailure() {
	for _, e := range v.probeCandidates(watchersPerMember) {
		v.startProbe(e, sweepProbe)
	}
	if e := v.gossipTarget(); e != nil && v.detector.period%2 == 0 {
		v.transmit(outgoing{number: e.Number, addr: e.Addr, message: message{kind: ping}, withRangeDigests: true})
	}
}

// inMassFailure reports whether many members are suspects, and not for packet
// loss: the measures for a mass failure make probes weaker, and would add
// suspects where the network is the cause.
func (v *View) inMassFailure() bool {
	suspects := len(v.suspects)
	return suspects >= minMassSuspectCount && massSuspectDivisor*suspects > len(v.live) && !v.health.networkIsLossy()
}

// nextInRound returns the next live member of a round in random order, and first
// one whose name is not known; nil: none.
func (v *View) nextInRound() *entry {
	if v.detector.period%nameProbeInterval == 1 {
		for _, e := range v.live {
			if e.Number >= 0 && e.Name == "" && e.State == Alive && !e.probing {
				return e
			}
		}
	}
	for range 2 { // the rest of this round, then a new one
		for len(v.detector.probeRound) > 0 {
			e := v.detector.probeRound[len(v.detector.probeRound)-1]
			v.detector.probeRound = v.detector.probeRound[:len(v.detector.probeRound)-1]
			confirmed := e.State != Alive && e.suspicion.reporterCount >= maxReporters
			if e.isLive() && !e.probing && !confirmed {
				return e
			}
		}
		v.detector.probeRound = append(v.detector.probeRound, v.live...)
		v.rng.Shuffle(len(v.detector.probeRound), func(i, j int) {
			v.detector.probeRound[i], v.detector.probeRound[j] = v.detector.probeRound[j], v.detector.probeRound[i]
		})
	}
	return nil
}

// startProbe sends a probe's first ping.
func (v *View) startProbe(e *entry, kind probeKind) {
	v.Counters.Probes++
	v.detector.lastProbeSeq++
	e.probing = true
	v.detector.probes = append(v.detector.probes, &probe{
		target:     e,
		seq:        v.detector.lastProbeSeq,
		startedMS:  v.nowMS,
		nextStepMS: v.nowMS + v.health.scale(v.options.Times.ProbeTimeoutMS),
		kind:       kind,
	})
	v.sendTo(e, message{kind: ping, seq: v.detector.lastProbeSeq})
}

// advanceDueProbes takes the next step of each probe whose time-out has passed.
func (v *View) advanceDueProbes() {
	for i := 0; i < len(v.detector.probes); i++ {
		p := v.detector.probes[i]
		if p.nextStepMS > v.nowMS || !v.advanceProbe(p) {
			continue
		}
		p.target.probing = false
		v.detector.probes = slices.Delete(v.detector.probes, i, i+1)
		i--
	}
}

// advanceProbe takes the next step of an unanswered probe and reports whether the
// probe has ended.
func (v *View) advanceProbe(p *probe) (ended bool) {
	e := p.target
	if !e.isLive() {
		return true
	}
	if e.lastReceivedMS > p.startedMS { // another message came instead of the ack
		v.health.firstPingLost()
		v.cancelFinalProbe(e)
		return true
	}
	p.nextStepMS = v.nowMS + v.health.scale(v.options.Times.ProbeTimeoutMS)
	pings := directPings
	if v.health.networkIsLossy() {
		pings = directPingsIfLossy
	}
	p.attempts++
	switch {
	case p.attempts < pings:
		if !v.inMassFailure() { // else a single ping has to do
			v.sendTo(e, message{kind: ping, seq: p.seq})
		}
		return false
	case p.attempts == pings && p.usesHelpers() && !v.inMassFailure():
		p.nextStepMS = v.nowMS + v.health.scale(indirectPingTimeouts*v.options.Times.ProbeTimeoutMS)
		v.requestIndirectPings(p)
		v.sendTo(e, message{kind: ping, seq: p.seq})
		return false
	default:
		v.failProbe(p)
		return true
	}
}

// failProbe ends a probe without an ack: its target becomes a suspect, or dead
// if it was the final probe of a suspect.
func (v *View) failProbe(p *probe) {
	e := p.target
	v.Counters.FailedProbes++
	v.detector.failedProbeSeqs[int(p.seq)%len(v.detector.failedProbeSeqs)] = p.seq
	switch {
	case e.State == Alive:
		v.setState(e, e.Incarnation, Suspect, v.reporterID(v.self))
	case e.State == Suspect && e.suspicion.finalProbe:
		v.declareDead(e)
		return
	case e.State == Suspect:
		v.confirmSuspicion(e, v.reporterID(v.self))
	}
	if p.isOnRing() {
		v.widenSweep()
	}
}

// widenSweep probes the members behind a failed one on the ring, twice as many
// each time, so that a gap of any width is detected in few steps.
func (v *View) widenSweep() {
	v.detector.sweepWidth = min(maxSweepWidth, 2*v.detector.sweepWidth)
	for _, e := range v.probeCandidates(v.detector.sweepWidth) {
		if v.budget.tokens < 1 || !v.budget.hasProbeReserve() && !v.inMassFailure() {
			return
		}
		if e.lastReceivedMS < v.nowMS-sweepFreshPeriods*v.options.Times.ProbeIntervalMS {
			v.startProbe(e, sweepProbe)
		}
	}
}

// handleAck ends the probe of a sequence number. A direct ack must come from the
// probe's target; an indirect one has no sender to compare (nil).
func (v *View) handleAck(seq uint32, from *entry) {
	for i, p := range v.detector.probes {
		if p.seq != seq || from != nil && p.target != from {
			continue
		}
		v.completeProbe(p)
		v.detector.probes = slices.Delete(v.detector.probes, i, i+1)
		return
	}
	slot := &v.detector.failedProbeSeqs[int(seq)%len(v.detector.failedProbeSeqs)]
	if seq != 0 && *slot == seq { // the ack came after its time-out
		*slot = 0
		v.health.degrade()
	}
}

// completeProbe notes that a probe was answered.
func (v *View) completeProbe(p *probe) {
	p.target.probing = false
	if p.isOnRing() {
		v.detector.sweepWidth = 1
	}
	v.health.improve()
	if p.attempts > 0 {
		v.health.firstPingLost()
	} else {
		v.health.firstPingAnswered()
	}
	p.target.lastReceivedMS = max(p.target.lastReceivedMS, v.nowMS)
	v.cancelFinalProbe(p.target)
}
