package membership

// pauseThresholdMS is the lateness of a timer above which this process is considered
// to have been paused.
const pauseThresholdMS = 300.0

// handlePause adjusts the view after a pause of this process, during which it
// received nothing. It cancels the probes in flight and extends the suspicions.
// Without this, a resumed process would declare all others dead and spread outdated
// states.
func (v *View) handlePause(lateMS float64) {
	v.Counters.Pauses++
	for _, p := range v.detector.probes {
		p.target.probing = false
	}
	v.detector.probes = v.detector.probes[:0]
	v.detector.indirectProbes = v.detector.indirectProbes[:0]
	for _, e := range v.suspects {
		if e.suspicion.finalProbe {
			v.restartSuspicion(e)
		}
		e.suspicion.startedMS += lateMS
		e.suspicion.expiresAtMS += lateMS
		e.suspicion.notifyAtMS += lateMS
	}
	v.health.degrade()
	if lateMS > v.options.Times.SuspicionMinMS {
		v.discardGossip()
	}
}

// discardGossip drops the queued updates, which may be outdated, and the agreements
// of other members with this view.
func (v *View) discardGossip() {
	for _, e := range v.queue.updates {
		e.updateTransmits = 0
	}
	v.queue.updates = v.queue.updates[:0]
	v.agreements = v.agreements[:0]
	v.digestChangedAtMS = v.nowMS
}
