package membership

import "slices"

// probeKind is the reason for a probe, which determines its steps.
type probeKind uint8

const (
	// roundProbe is a probe of the next member of a round in random order, or of a
	// suspect.
	roundProbe probeKind = iota
	// ringProbe is a probe of the live member that follows this front end on the ring.
	ringProbe
	// sweepProbe is a probe of further ring members when many may have failed. It uses
	// no helpers, since most of them may have failed too.
	sweepProbe
)

// probe is a probe in flight. It consists of direct pings and then, depending on its
// kind, of pings through helpers.
type probe struct {
	target     *entry
	seq        uint32
	startedMS  float64
	nextStepMS float64
	attempts   int // number of steps after the first ping
	kind       probeKind
}

// failureDetector holds the state of a view's probes.
type failureDetector struct {
	period          int // number of the current period
	nextPeriodMS    float64
	probes          []*probe
	indirectProbes  []indirectProbe
	failedProbeSeqs [8]uint32 // to recognize late acks, indexed by sequence number modulo the length
	lastProbeSeq    uint32
	probeRound      []*entry // live members still to be probed in this round
	sweepWidth      int      // number of ring members that the next sweep probes at once
}

// usesHelpers reports whether the probe also asks others to ping its target.
func (p *probe) usesHelpers() bool { return p.kind != sweepProbe }

// isOnRing reports whether the target was chosen by its position on the ring.
func (p *probe) isOnRing() bool { return p.kind == ringProbe || p.kind == sweepProbe }

const (
	directPings          = 2   // direct pings of a probe before it uses helpers or fails
	directPingsIfLossy   = 4   // the same on a lossy network
	indirectPingTimeouts = 1.6 // time-out of indirect pings, in probe time-outs
	maxSweepWidth        = 64  // maximum number of ring members probed at once
	sweepFreshPeriods    = 3   // periods within which a received message exempts a member from a sweep
	nameProbeInterval    = 4   // periods between probes of members without a name
	massSuspectDivisor   = 20  // a mass failure is more than one suspect per this number of live members
	minMassSuspectCount  = 3   // minimum number of suspects in a mass failure
)

// probeNextMember starts the probe of a period. In every second period the target is
// the next member on the ring, so that every member is probed regularly by its
// watchers; in the other periods the target is random.
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

// probeInMassFailure probes the next members on the ring. The budget is too small for
// random probes as well, most of which would go to failed members. Failed members are
// detected by their watchers, and gossip prefers members that were recently received
// from.
func (v *View) probeInMassFailure() {
	for _, e := range v.probeCandidates(watchersPerMember) {
		v.startProbe(e, sweepProbe)
	}
	if e := v.gossipTarget(); e != nil && v.detector.period%2 == 0 {
		v.transmit(outgoing{number: e.Number, addr: e.Addr, message: message{kind: ping}, withRangeDigests: true})
	}
}

// inMassFailure reports whether many members are suspects although the network is
// not lossy. On a lossy network the measures for a mass failure, which use fewer
// pings per probe, would only add suspects.
func (v *View) inMassFailure() bool {
	suspects := len(v.suspects)
	return suspects >= minMassSuspectCount && massSuspectDivisor*suspects > len(v.live) && !v.health.networkIsLossy()
}

// nextInRound returns the next live member to probe, of a round in random order; nil
// if there is none. Every nameProbeInterval periods it prefers a member whose name is
// not known.
func (v *View) nextInRound() *entry {
	if v.detector.period%nameProbeInterval == 1 {
		for _, e := range v.live {
			if e.Number >= 0 && e.Name == "" && e.State == Alive && !e.probing {
				return e
			}
		}
	}
	for range 2 { // the rest of this round, then a new round
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

// startProbe starts a probe and sends its first ping.
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

// advanceDueProbes takes the next step of each probe whose time-out has expired.
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
	if e.lastReceivedMS > p.startedMS { // another message was received instead of the ack
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
		if !v.inMassFailure() { // in a mass failure the first ping is not repeated
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

// failProbe handles a probe that ended without an ack. Its target becomes suspect,
// or dead if this was the final probe of a suspect.
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

// widenSweep probes the members that follow a failed member on the ring. Each call
// probes twice as many as the previous call, up to maxSweepWidth, so that a gap of
// any width is detected in few steps.
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

// handleAck ends the probe with a sequence number. A direct ack must come from the
// probe's target. For an indirect ack, which a helper sends, from is nil.
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
	if seq != 0 && *slot == seq { // the ack was received after the probe had failed
		*slot = 0
		v.health.degrade()
	}
}

// completeProbe updates the view after a probe was answered.
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
