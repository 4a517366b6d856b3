package replication

import "slices"

const (
	// resendForMS is for how long a write is sent to those who do not acknowledge
	// it.
	resendForMS = 600_000
	// slowResendAfterMS is how old a write is when it is sent half as often.
	slowResendAfterMS = 2000.0
)

// pendingWrite is a write of this front end that some have not acknowledged.
type pendingWrite struct {
	key              Key
	write            *Override
	sequence         uint32 // of the verbWrite messages and their acknowledgements
	startedAtMS      float64
	nextSendMS       float64
	acknowledged     map[Peer]bool
	persisted        bool // on this front end's own disk, where there is one
	requiredReplicas int
	requestID        uint64
	unanswered       bool // the operator waits for the result
}

// replicas returns how many front ends hold the write.
func (p *pendingWrite) replicas() int {
	if p.persisted {
		return len(p.acknowledged) + 1
	}
	return len(p.acknowledged)
}

// write accepts an operator's write and sends it to all. A write that changes
// nothing is not a new one, but it is again counted who holds it.
func (r *Replica) write(ev Write) {
	reg := r.registerOf(ev.Key)
	current, conflicts := reg.resolve()
	isNew := current == nil || current.Disabled != ev.Disabled || len(conflicts) > 0 || len(reg.writes) > 1
	if isNew {
		r.lastTimestamp = max(r.lastTimestamp+1, uint64(ev.WallClockMS)<<timestampCounterBits)
		current = reg.newWrite(Dot{ProcessID: r.options.ProcessID, Timestamp: r.lastTimestamp}, ev.Disabled, r.options.Name)
		r.merge(ev.Key, current)
		r.catchUp.equalPeers = map[Peer]bool{}
		r.Counters.Writes++
		r.reportChange(ev.Key)
	}
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingWrite) bool { return p.key == ev.Key && !p.unanswered })
	r.lastSequence++
	p := &pendingWrite{
		key:              ev.Key,
		write:            current,
		sequence:         r.lastSequence,
		startedAtMS:      r.nowMS,
		nextSendMS:       r.nowMS,
		acknowledged:     map[Peer]bool{},
		requiredReplicas: ev.RequiredReplicas,
		requestID:        ev.RequestID,
		unanswered:       true,
	}
	r.pending = append(r.pending, p)
	r.persist(reg, func() { p.persisted = true })
}

// runPendingWrites sends and answers writes as they are due, and forgets those
// that all have acknowledged, that are too old or that are superseded.
func (r *Replica) runPendingWrites() {
	for _, p := range r.pending {
		if p.nextSendMS <= r.nowMS {
			r.sendWrite(p)
		}
		r.answerWrite(p)
	}
	r.pending = slices.DeleteFunc(r.pending, func(p *pendingWrite) bool {
		if p.unanswered {
			return false
		}
		isStoredByAll := p.persisted && len(p.unacknowledged(r.all)) == 0
		isExpired := r.nowMS > p.startedAtMS+resendForMS
		isSuperseded := !slices.Contains(r.registerOf(p.key).writes, p.write)
		return isStoredByAll || isExpired || isSuperseded
	})
}

// unacknowledged returns the peers that have not acknowledged the write.
func (p *pendingWrite) unacknowledged(peers []Peer) (list []Peer) {
	for _, peer := range peers {
		if !p.acknowledged[peer] {
			list = append(list, peer)
		}
	}
	return list
}

// sendWrite sends a write to those who have not acknowledged it, live ones first:
// the first time to all, later as far as the budget goes.
func (r *Replica) sendWrite(p *pendingWrite) {
	isFirst := p.nextSendMS == p.startedAtMS
	p.nextSendMS = r.nowMS + r.resendAfterMS(p)
	header := &message{verb: verbWrite, sequence: p.sequence, ready: r.catchUp.ready}
	encoded := appendEntry(header.append(nil), p.key, p.write)
	alive := p.unacknowledged(r.alive)
	all := p.unacknowledged(r.all)
	r.shuffle(alive)
	r.shuffle(all)
	sent := map[Peer]bool{}
	for _, peer := range slices.Concat(alive, all) {
		if sent[peer] {
			continue
		}
		if !isFirst {
			if !r.budget.Allows(len(encoded)) {
				return
			}
			r.Counters.Resends++
		}
		sent[peer] = true
		r.sendBytes(peer, encoded)
	}
}

func (r *Replica) resendAfterMS(p *pendingWrite) float64 {
	if r.nowMS > p.startedAtMS+slowResendAfterMS {
		return 2 * r.options.Times.ResendMS
	}
	return r.options.Times.ResendMS
}

func (r *Replica) shuffle(peers []Peer) {
	r.rng.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
}

// answerWrite answers the operator once enough front ends hold the write, or when
// the time is up.
func (r *Replica) answerWrite(p *pendingWrite) {
	isStored := p.replicas() >= p.requiredReplicas
	isLate := r.nowMS >= p.startedAtMS+r.options.Times.WriteTimeoutMS
	if !p.unanswered || !isStored && !isLate {
		return
	}
	p.unanswered = false
	if !isStored {
		r.Counters.WritesFailed++
	}
	r.effects.Results = append(r.effects.Results, WriteResult{RequestID: p.requestID, Replicas: p.replicas(), OK: isStored})
}

// receiveAck notes that a member holds a write.
func (r *Replica) receiveAck(from Peer, sequence uint32) {
	for _, p := range r.pending {
		if p.sequence == sequence {
			p.acknowledged[from] = true
		}
	}
}
