package replication

import "slices"

const (
	// resendForMS is the time after which a write is no longer sent to members that have
	// not acknowledged it.
	resendForMS = 600_000
	// slowResendAfterMS is the age from which on a write is sent half as often.
	slowResendAfterMS = 2000.0
)

// pendingWrite is a write of this front end that some members have not acknowledged.
type pendingWrite struct {
	key              Key
	write            *Override
	sequence         uint32 // of the verbWrite messages and their acknowledgements
	startedAtMS      float64
	nextSendMS       float64
	acknowledged     map[Peer]bool
	persisted        bool // on this front end's disk, or this front end has no disk
	requiredReplicas int
	requestID        uint64
	unanswered       bool // no WriteResult has been returned
}

// replicas returns the number of front ends that have stored the write.
func (p *pendingWrite) replicas() int {
	if p.persisted {
		return len(p.acknowledged) + 1
	}
	return len(p.acknowledged)
}

// write accepts an operator's write and sends it to all members. If the only write of the
// key already has the requested value, that write is sent again in place of a new one, and
// the front ends that have stored it are counted again.
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

// runPendingWrites sends the writes that are due and returns their results. It then removes
// the writes that all members have stored, that are too old or that are superseded.
func (r *Replica) runPendingWrites() {
	for _, p := range r.pending {
		if p.nextSendMS <= r.nowMS {
			r.sendWrite(p)
		}
		r.completeWrite(p)
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

// sendWrite sends a write to the members that have not acknowledged it, first to live
// members. The first time it sends to all of them, later only until the budget is used up.
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

// completeWrite returns the result of a write once enough front ends have stored it, or when
// its time has passed.
func (r *Replica) completeWrite(p *pendingWrite) {
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

// receiveAck records that a member has stored a write.
func (r *Replica) receiveAck(from Peer, sequence uint32) {
	for _, p := range r.pending {
		if p.sequence == sequence {
			p.acknowledged[from] = true
		}
	}
}
