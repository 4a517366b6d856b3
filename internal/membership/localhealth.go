package membership

const (
	maxHealthScore  = 4
	lossWeight      = 1.0 / 16 // weight of one first ping in the moving average of the loss rate
	maxReliableLoss = 0.3      // loss rate of first pings above which failed probes are weak evidence
)

// localHealth is Lifeguard's local health (awareness) with an estimate of packet
// loss. It measures how reliable this process and its network are at judging other
// members.
//
// Only signs of this process's own slowness degrade the score: late timers, late
// acks, and being suspected. Failed probes don't: if most of a fleet has crashed,
// failure detection by the remaining members must not slow down.
type localHealth struct {
	fixed    bool    // Options.FixedTimeouts
	score    int     // 0 is healthy
	lossRate float64 // moving average over the first pings of probes
}

// degrade raises the score, up to its bound.
func (h *localHealth) degrade() {
	if !h.fixed {
		h.score = min(maxHealthScore, h.score+1)
	}
}

// improve lowers the score, down to 0.
func (h *localHealth) improve() { h.score = max(0, h.score-1) }

// scale multiplies a time-out by the local health multiplier.
func (h *localHealth) scale(ms float64) float64 { return ms * float64(1+h.score) }

// firstPingLost records that the first ping to a live member was not answered in
// time. Pings to failed members are not counted, since they give no information
// about the network.
func (h *localHealth) firstPingLost() { h.lossRate += (1 - h.lossRate) * lossWeight }

// firstPingAnswered records that the first ping of a probe was answered in time.
func (h *localHealth) firstPingAnswered() { h.lossRate += (0 - h.lossRate) * lossWeight }

// networkIsLossy reports whether the loss rate is so high that failed probes are
// weak evidence of failures.
func (h *localHealth) networkIsLossy() bool { return h.lossRate > maxReliableLoss && !h.fixed }
