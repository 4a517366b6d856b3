package membership

import (
	"math"
	"slices"
)

const (
	// maxReporters is the number of independent reporters at which a suspicion has its
	// shortest time-out.
	maxReporters = 3
	// nonWatcherExtraMS is added to the time-out at members that are neither reporters
	// nor watchers, so that the members that probe the suspect themselves decide first.
	nonWatcherExtraMS = 4000.0
	// suspectNotifications is the number of times that a reporter notifies a suspect of
	// the suspicion.
	suspectNotifications = 2
	// finalProbeTimeouts is the duration of a complete probe, in probe time-outs.
	finalProbeTimeouts = 3.6
)

// suspicion holds the reporters and the time-out of a suspected member.
type suspicion struct {
	reporters     [maxReporters]uint32 // reporter IDs, of which the first reporterCount are set
	reporterCount int
	startedMS     float64
	expiresAtMS   float64
	// A reporter notifies the suspect, so that the suspect can refute the suspicion.
	notifyAtMS             float64
	remainingNotifications int
	finalProbe             bool // the final probe, which decides, is in flight
}

// hasReporter reports whether a member has reported the suspicion.
func (s *suspicion) hasReporter(reporter uint32) bool {
	return slices.Contains(s.reporters[:s.reporterCount], reporter)
}

// lastReporter returns the reporter ID of the latest reporter; 0 if it is unknown.
func (s *suspicion) lastReporter() uint32 { return s.reporters[max(0, s.reporterCount-1)] }

// reporterID returns the number that identifies a member as a reporter of
// suspicions.
func (v *View) reporterID(e *entry) uint32 {
	const unlistedBit = 1 << 31
	if e.Number >= 0 {
		return uint32(e.Number) + 1
	}
	return uint32(e.key) | unlistedBit
}

// beginSuspicion starts the suspicion of a member that has just become suspect. If
// this front end is the reporter, it schedules notifications of the suspect; if it is
// a watcher, it probes the suspect itself.
func (v *View) beginSuspicion(e *entry, reporter uint32) {
	v.Counters.Suspicions++
	reportedHere := reporter == v.reporterID(v.self)
	s := &e.suspicion
	s.reporters = [maxReporters]uint32{reporter}
	s.reporterCount = 1
	s.startedMS = v.nowMS
	v.setSuspicionExpiry(e)
	s.notifyAtMS = math.Inf(1)
	if reportedHere {
		s.notifyAtMS = v.nowMS
		s.remainingNotifications = suspectNotifications
		if v.inMassFailure() { // most suspects are dead: notify only once, and later
			s.notifyAtMS = v.nowMS + v.options.Times.SuspicionMinMS/2
			s.remainingNotifications = 1
		}
	}
	v.suspects = append(v.suspects, e)
	if v.isWatcherOf(e) && !e.probing && !reportedHere && v.budget.hasProbeReserve() {
		v.startProbe(e, roundProbe)
	}
}

// endSuspicion ends a suspicion after the member's state or incarnation has changed.
// A suspicion that did not end in Dead or Left counts as false.
func (v *View) endSuspicion(e *entry) {
	v.suspects = removeEntry(v.suspects, e)
	e.suspicion.finalProbe = false
	if e.State > Suspect {
		return
	}
	v.Counters.FalseSuspicions++
	if e.suspicion.hasReporter(v.reporterID(v.self)) {
		v.health.firstPingLost() // a probe by this front end failed although the member is alive
	}
}

// setSuspicionExpiry sets the time at which a suspicion expires. The time-out
// decreases with the number of reporters.
func (v *View) setSuspicionExpiry(e *entry) {
	s := &e.suspicion
	times := &v.options.Times
	rangeMS := times.SuspicionMaxMS - times.SuspicionMinMS
	timeoutMS := times.SuspicionMaxMS - rangeMS*math.Log2(float64(s.reporterCount))/math.Log2(maxReporters)
	if s.hasReporter(v.reporterID(v.self)) {
		timeoutMS = v.health.scale(timeoutMS)
	} else if !v.isWatcherOf(e) {
		timeoutMS += nonWatcherExtraMS
	}
	// The final probe follows the expiry and counts towards the time-out.
	timeoutMS -= min(timeoutMS/2, v.health.scale(finalProbeTimeouts*times.ProbeTimeoutMS))
	s.expiresAtMS = s.startedMS + timeoutMS
	if s.finalProbe {
		s.expiresAtMS = math.Inf(1) // the final probe decides
	}
}

// confirmSuspicion adds an independent reporter to a suspicion, which shortens its
// time-out.
func (v *View) confirmSuspicion(e *entry, reporter uint32) {
	s := &e.suspicion
	if s.reporterCount >= maxReporters || s.hasReporter(reporter) {
		return
	}
	s.reporters[s.reporterCount] = reporter
	s.reporterCount++
	v.setSuspicionExpiry(e)
	v.enqueueUpdate(e)
}

// advanceSuspicions notifies suspects and handles the suspicions that have expired.
func (v *View) advanceSuspicions() {
	for i := 0; i < len(v.suspects); i++ {
		e := v.suspects[i]
		v.notifySuspect(e)
		switch {
		case e.suspicion.expiresAtMS > v.nowMS:
		case e.lastReceivedMS > e.suspicion.startedMS: // alive, and has not refuted the suspicion yet
			v.restartSuspicion(e)
		case !v.inMassFailure():
			v.startFinalProbe(e)
		default:
			v.declareDead(e) // removes it from the suspects
			i--
		}
	}
}

// notifySuspect notifies a suspect of the suspicion if a notification is due.
func (v *View) notifySuspect(e *entry) {
	s := &e.suspicion
	if s.notifyAtMS > v.nowMS {
		return
	}
	s.remainingNotifications--
	if s.remainingNotifications > 0 {
		s.notifyAtMS = v.nowMS + v.options.Times.ProbeIntervalMS
	} else {
		s.notifyAtMS = math.Inf(1)
	}
	v.transmit(outgoing{number: e.Number, addr: e.Addr, message: message{kind: ping}, required: []*entry{e}})
}

// startFinalProbe probes a suspect once more after its time-out has expired, so that a
// front end declares only members dead that it has probed itself. On a lossy network
// most expired suspicions are of live members whose refutation was lost.
func (v *View) startFinalProbe(e *entry) {
	e.suspicion.finalProbe = true
	e.suspicion.expiresAtMS = math.Inf(1)
	if !e.probing { // a probe already in flight serves as the final probe
		v.startProbe(e, roundProbe)
	}
}

// cancelFinalProbe restarts the suspicion of a member that has responded during its
// final probe.
func (v *View) cancelFinalProbe(e *entry) {
	if e.State == Suspect && e.suspicion.finalProbe {
		v.restartSuspicion(e)
	}
}

// restartSuspicion restarts the time-out of a suspect that is alive but has not
// refuted the suspicion yet.
func (v *View) restartSuspicion(e *entry) {
	e.suspicion.finalProbe = false
	e.suspicion.startedMS = v.nowMS
	v.setSuspicionExpiry(e)
}

// declareDead declares a suspect dead that has not refuted the suspicion.
func (v *View) declareDead(e *entry) {
	v.Counters.Deaths++
	v.setState(e, e.Incarnation, Dead, 0)
}

// refute begins an incarnation that overrides an update about this front end itself.
// A front end that is leaving does not refute updates.
func (v *View) refute(incarnation uint32, state State) {
	if v.leaving || !overrides(incarnation, state, v.self.Incarnation, Alive) {
		return
	}
	v.Counters.Refutations++
	if state == Suspect {
		v.health.degrade()
	}
	v.setState(v.self, incarnation+1, Alive, 0)
}
