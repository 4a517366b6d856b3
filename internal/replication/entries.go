package replication

// forwardFanout is the number of members to which a newly received write is forwarded.
const forwardFanout = 2

// receiveEntries merges the writes of a message, persists the registers that have changed,
// and acknowledges the message once they are persisted. It forwards the changed registers,
// because the sender may be unable to reach all members.
func (r *Replica) receiveEntries(from Peer, msg *message) {
	var changed []*register
	for _, e := range msg.entries {
		r.lastTimestamp = max(r.lastTimestamp, e.write.Timestamp)
		reg, isNew := r.merge(e.key, e.write)
		if isNew {
			changed = append(changed, reg)
		}
	}
	acknowledge := func() {
		if msg.verb == verbWrite {
			r.send(from, &message{verb: verbAck, sequence: msg.sequence})
		}
	}
	if len(changed) == 0 {
		r.afterPersisting(acknowledge)
		return
	}
	r.catchUp.equalPeers = map[Peer]bool{}
	for i, reg := range changed {
		r.Counters.RegistersUpdated++
		r.reportChange(reg.key)
		then := func() {}
		if i == len(changed)-1 {
			then = acknowledge
		}
		r.persist(reg, then)
	}
	r.forward(from, changed)
}

// forward sends registers to random live members other than the sender. A replica that is
// catching up forwards nothing: it receives writes that the other members already have.
func (r *Replica) forward(from Peer, changed []*register) {
	for range forwardFanout {
		if !r.catchUp.ready || len(r.alive) == 0 || !r.budget.Allows(r.options.MaxMessageBytes) {
			return
		}
		peer := r.alive[r.rng.IntN(len(r.alive))]
		if peer == from {
			continue
		}
		r.sendRegisters(peer, changed)
	}
}
