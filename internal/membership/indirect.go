package membership

import "slices"

// helpersPerProbe is the number of members that are asked to ping a probe's target.
const helpersPerProbe = 3

// maxHelperDraws bounds the random draws of helpers for one probe.
const maxHelperDraws = 4 * helpersPerProbe

// maxIndirectProbes bounds the ping requests served at the same time.
const maxIndirectProbes = 64

// indirectProbe is a ping on behalf of another member.
type indirectProbe struct {
	requester    *entry
	requesterSeq uint32 // sequence number of the ping request
	seq          uint32 // sequence number of the ping to the target
	target       *entry
	nackAtMS     float64 // time at which a nack is sent if there is no ack
}

// requestIndirectPings asks random members to ping a probe's target.
func (v *View) requestIndirectPings(p *probe) {
	requests := 0
	for range maxHelperDraws {
		helper := v.live[v.rng.IntN(len(v.live))]
		if helper == p.target || helper.State != Alive || helper.probing {
			continue
		}
		request := message{kind: pingRequest, seq: p.seq}
		if p.target.Number >= 0 {
			request.target = uint32(p.target.Number) + 1
		} else {
			request.targetName = p.target.Name
		}
		v.sendTo(helper, request)
		requests++
		if requests == helpersPerProbe {
			return
		}
	}
}

// servePingRequest pings a member on behalf of another.
func (v *View) servePingRequest(requester *entry, m *message) {
	target := v.requestedTarget(m)
	if target == nil || target == v.self || len(v.detector.indirectProbes) >= maxIndirectProbes {
		return
	}
	v.detector.lastProbeSeq++
	v.detector.indirectProbes = append(v.detector.indirectProbes, indirectProbe{
		requester:    requester,
		requesterSeq: m.seq,
		seq:          v.detector.lastProbeSeq,
		target:       target,
		nackAtMS:     v.nowMS + v.options.Times.ProbeTimeoutMS,
	})
	v.sendTo(target, message{kind: ping, seq: v.detector.lastProbeSeq})
}

// requestedTarget returns the member that a ping request names; nil if it is not in
// the view.
func (v *View) requestedTarget(m *message) *entry {
	if m.target > 0 && v.hasSameList(m) && v.isListed(int(m.target)-1) {
		return v.ring[m.target-1]
	}
	if m.targetName != "" {
		return v.byName[m.targetName]
	}
	return nil
}

// forwardAck sends an indirect ack to the requester if an ack answers an indirect
// ping.
func (v *View) forwardAck(seq uint32, from *entry) {
	for i, p := range v.detector.indirectProbes {
		if p.target == from && p.seq == seq {
			v.detector.indirectProbes = slices.Delete(v.detector.indirectProbes, i, i+1)
			v.sendTo(p.requester, message{kind: indirectAck, seq: p.requesterSeq})
			return
		}
	}
}

// nackOverdueRequests sends a nack for each ping request whose target has not sent
// an ack in time.
func (v *View) nackOverdueRequests() {
	for len(v.detector.indirectProbes) > 0 && v.detector.indirectProbes[0].nackAtMS <= v.nowMS {
		overdue := v.detector.indirectProbes[0]
		v.detector.indirectProbes = v.detector.indirectProbes[1:]
		v.sendTo(overdue.requester, message{kind: nack, seq: overdue.requesterSeq})
	}
}
