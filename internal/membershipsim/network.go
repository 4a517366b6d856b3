package membershipsim

import (
	"dewhill/internal/membership"
	"dewhill/internal/peer"
)

// maxPendingDatagrams is the number of datagrams that the socket of a paused process
// buffers.
const maxPendingDatagrams = 200

// send sends a datagram through the simulated network, which may lose, delay,
// duplicate or corrupt it.
func (s *Simulation) send(from int, datagram membership.Send) {
	to, found := s.receiver(datagram)
	if !found || s.RNG.Float64() < s.Options.LossRate {
		return
	}
	delayMS := s.Options.MinDelayMS + (s.Options.MaxDelayMS-s.Options.MinDelayMS)*s.RNG.Float64()
	if s.Options.MaxReceiveDelayMS != nil {
		delayMS += s.Options.MaxReceiveDelayMS(to) * s.RNG.Float64()
	}
	arrival := event{kind: datagramEvent, to: to, from: from}
	if len(s.Options.Faults.Faults) == 0 {
		arrival.message = datagram.Message
		s.queue.Add(s.NowMS+delayMS, arrival)
		return
	}
	wrapped := peer.Wrap(peer.Membership, datagram.Message)
	for _, delivery := range s.Options.Faults.Deliver(s.RNG, s.NowMS, from, to, wrapped) {
		kind, message, err := peer.Unwrap(delivery.Message)
		if err == nil && kind == peer.Membership {
			arrival.message = message
			s.queue.Add(s.NowMS+delayMS+delivery.DelayMS, arrival)
		}
	}
}

// receiver returns the process that a datagram is addressed to.
func (s *Simulation) receiver(datagram membership.Send) (process int, found bool) {
	if datagram.To.Number >= 0 {
		return datagram.To.Number, true
	}
	process, found = s.processByAddr[datagram.To.Addr]
	return process, found
}

// deliver delivers a datagram to its receiver, or buffers it while the receiver is
// paused.
func (s *Simulation) deliver(e event) {
	if s.Views[e.to] == nil {
		return
	}
	p := &s.processes[e.to]
	if p.paused {
		if len(p.pending) < maxPendingDatagrams {
			p.pending = append(p.pending, e)
		}
		return
	}
	received := membership.MessageReceived{Number: e.from, Message: e.message}
	if s.Options.SeedCount > 0 {
		received.Number = -1
		received.From = s.addrs[e.from]
	}
	s.apply(e.to, received)
}
