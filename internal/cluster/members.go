package cluster

import (
	"encoding/binary"
	"math"

	"dewhill/internal/membership"
	"dewhill/internal/peer"
)

// damperIntervalMS is the interval between observations of the front ends that are included
// in the division of work.
const damperIntervalMS = 1000.0

// memberAdapter connects the view of the fleet to its Cluster.
type memberAdapter struct {
	cluster              *Cluster
	view                 *membership.View
	damper               *membership.Damper
	included             func([]bool)
	timer                timer
	persistedIncarnation uint32
	loggedChanges        int
}

func newMemberAdapter(c *Cluster, options *Options, included func([]bool)) *memberAdapter {
	m := &memberAdapter{cluster: c, included: included}
	viewOptions := membership.Options{
		Name:             c.identity.Name,
		Self:             c.identity.Index,
		Peers:            c.identity.Peers,
		Addr:             c.identity.Addr,
		Seeds:            options.seeds,
		FirstIncarnation: m.nextIncarnation(),
		Size:             options.FleetSize,
		MaxMessageBytes:  options.MaxDatagramBytes - peer.Overhead,
		Times:            options.Times(),
	}
	if len(c.identity.Peers) == 0 {
		viewOptions.Self = -1
	}
	m.view = membership.New(viewOptions, c.identity.Seed)
	if listed := len(c.identity.Peers); listed > 0 && included != nil {
		m.damper = membership.NewDamper(listed)
		c.host.After(damperIntervalMS, m.observeIncluded)
	}
	return m
}

// nextIncarnation returns the incarnation after the persisted one, or 0 if none is
// persisted or it cannot be read.
func (m *memberAdapter) nextIncarnation() uint32 {
	if m.cluster.store == nil {
		return 0
	}
	record, err := m.cluster.store.Get(incarnationKey)
	if err != nil {
		m.cluster.host.Logf("membership: read persisted incarnation: %v", err)
		return 0
	}
	last, n := binary.Uvarint(record)
	if n <= 0 || last >= math.MaxUint32 {
		return 0
	}
	return uint32(last) + 1
}

// observeIncluded publishes the front ends that are included in the division of work if they
// have changed, and schedules the next observation.
func (m *memberAdapter) observeIncluded() {
	if m.cluster.closed {
		return
	}
	if m.damper.Observe(m.cluster.host.Now(), m.view) {
		m.included(m.damper.Included())
	}
	m.cluster.host.After(damperIntervalMS, m.observeIncluded)
}

// apply passes an event to the view and carries out the effects.
func (m *memberAdapter) apply(event membership.Event) {
	effects := m.view.Apply(m.cluster.host.Now(), event)
	for _, change := range effects.Changes {
		m.logChange(change)
	}
	m.persistIncarnation()
	m.cluster.sendAll(peer.Membership, effects.Sends)
	m.timer.schedule(m.cluster, m.view.NextTimerMS(), func() { m.apply(membership.TimerFired{}) })
	if len(effects.Changes) > 0 {
		m.cluster.membersChanged()
	}
}

func (m *memberAdapter) logChange(change membership.Change) {
	m.loggedChanges++
	if m.loggedChanges <= maxLoggedChanges {
		m.cluster.host.Logf("membership: %s %s is %v at incarnation %d (was %v)",
			change.Name, change.Addr, change.State, change.Incarnation, change.Previous)
	}
}

// persistIncarnation stores this front end's incarnation when it changes, so that the next
// process starts with a larger incarnation.
func (m *memberAdapter) persistIncarnation() {
	incarnation := m.view.Incarnation()
	if m.cluster.store == nil || incarnation == m.persistedIncarnation {
		return
	}
	m.persistedIncarnation = incarnation
	m.cluster.store.PutAsync(incarnationKey, binary.AppendUvarint(nil, uint64(incarnation)), nil)
}
