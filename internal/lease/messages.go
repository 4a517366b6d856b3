package lease

import "dewhill/internal/antientropy"

// receive processes a message from another front end.
func (m *Manager) receive(ev MessageReceived) {
	m.Counters.MessagesReceived++
	msg, err := decode(ev.Message)
	if err != nil {
		m.Counters.MalformedMessages++
		return
	}
	if !m.started {
		return
	}
	m.members.processIDs[ev.From] = msg.senderID
	m.members.peerStatuses[ev.From] = peerStatus{receivedAtMS: m.nowMS, canVote: msg.canVote}
	m.dispatch(ev.From, &msg)
}

func (m *Manager) dispatch(from Peer, msg *message) {
	switch msg.verb {
	case verbPrepare, verbAccept:
		m.vote(from, msg)
	case verbPromise, verbAccepted:
		m.receiveVote(from, msg)
	case verbOutcome:
		m.receiveOutcome(from, msg)
	case verbOutcomeAck:
		m.receiveOutcomeAck(from, msg.key)
	case verbProbe:
		m.receiveProbe(from, msg)
	case verbMatch:
		m.receiveMatch(from, msg)
	case verbRangeRequest:
		m.receiveRangeRequest(from, msg)
	case verbRangeSums:
		m.receiveRangeSums(from, msg)
	case verbRangeItems:
		m.receiveRangeItems(from, msg)
	case verbRecordRequest:
		m.receiveRecordRequest(from, msg)
	case verbRecords:
		m.receiveRecords(msg.records)
	default:
		// decode accepts no other verb.
	}
}

// send sends a message, with the sender's fields set as in every message.
func (m *Manager) send(to Peer, msg *message) {
	msg.canVote = m.CanVote()
	msg.senderID = m.options.ProcessID
	m.sendBytes(to, msg.append(nil), m.budgetFor(to, msg.verb))
}

func (m *Manager) sendBytes(to Peer, encoded []byte, budget *antientropy.SendBudget) {
	budget.Spend(len(encoded))
	m.Counters.MessagesSent++
	m.Counters.BytesSent += len(encoded)
	m.effects.Sends = append(m.effects.Sends, Send{To: to, Message: encoded})
}

// budgetFor returns the budget for messages with a verb to a member. The comparisons of
// a catch-up have a budget of their own, so that neither they nor the messages of normal
// operation have to wait for the others.
func (m *Manager) budgetFor(to Peer, v verb) *antientropy.SendBudget {
	status, isKnown := m.members.peerStatuses[to]
	isCatchUp := !m.CanVote() || isKnown && !status.canVote
	if v.isComparison() && isCatchUp {
		return &m.catchUpBudget
	}
	return &m.budget
}
