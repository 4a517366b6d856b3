package replication

// forwardFanout is how many members a learned write is forwarded to.
const forwardFanout = 2

// receiveEntries merges the writes of a message, persists the registers that have changed,
// acknowledges, and forwards what is new: the sender may not reach all.
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

// forward sends registers to random live members other than the sender. A replica
// that catches up forwards nothing: it learns what the others know.
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
