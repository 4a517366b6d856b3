package replication

import (
	"slices"

	"dewhill/internal/antientropy"
)

// receive processes a message from another front end.
func (r *Replica) receive(ev MessageReceived) {
	r.Counters.MessagesReceived++
	r.Counters.BytesReceived += len(ev.Message)
	msg, err := decode(ev.Message)
	if err != nil {
		r.Counters.Malformed++
		return
	}
	if r.started {
		r.dispatch(ev.From, &msg)
	}
}

func (r *Replica) dispatch(from Peer, msg *message) {
	switch msg.verb {
	case verbWrite, verbEntries:
		r.receiveEntries(from, msg)
	case verbAck:
		r.receiveAck(from, msg.sequence)
	case verbProbe:
		r.receiveProbe(from, msg)
	case verbMatch:
		r.receiveMatch(from, msg)
	case verbRangeSums:
		r.receiveRangeSums(from, msg)
	case verbRangeItems:
		r.receiveRangeItems(from, msg)
	case verbRequest:
		r.receiveRequest(from, msg)
	default:
		// decode accepts no other verb.
	}
}

// maxEntriesHeaderBytes is the maximum size of a verbEntries message without its entries.
const maxEntriesHeaderBytes = 4

// sendRegisters sends the writes of registers until the budget is used up. Registers that
// were not sent still differ, and the next comparison finds them again.
func (r *Replica) sendRegisters(to Peer, registers []*register) {
	var encoded [][]byte
	for _, reg := range registers {
		for _, w := range reg.writes {
			encoded = append(encoded, appendEntry(nil, reg.key, w))
		}
	}
	header := (&message{verb: verbEntries, ready: r.catchUp.ready}).append(nil)
	for _, body := range antientropy.Pack(encoded, r.options.MaxMessageBytes-maxEntriesHeaderBytes) {
		if r.budget.Allows(len(body)) {
			r.sendBytes(to, slices.Concat(header, body))
		}
	}
}

// send sends a message, with its field ready set to the state of this replica.
func (r *Replica) send(to Peer, msg *message) {
	msg.ready = r.catchUp.ready
	r.sendBytes(to, msg.append(nil))
}

func (r *Replica) sendBytes(to Peer, encoded []byte) {
	r.budget.Spend(len(encoded))
	r.Counters.MessagesSent++
	r.Counters.BytesSent += len(encoded)
	r.effects.Sends = append(r.effects.Sends, Send{To: to, Message: encoded})
}
