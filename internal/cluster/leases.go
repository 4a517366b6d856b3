package cluster

import (
	"math/rand/v2"

	"dewhill/internal/lease"
	"dewhill/internal/peer"
)

// leaseAdapter connects the lease manager of this front end to its Cluster.
type leaseAdapter struct {
	cluster       *Cluster
	manager       *lease.Manager
	timer         timer
	waiting       map[uint64]func(lease.Decision) // by request ID
	lastRequestID uint64
	canVote       bool
	granted       int // leases that have not been released
}

func newLeaseAdapter(c *Cluster, options *Options) *leaseAdapter {
	l := &leaseAdapter{cluster: c, waiting: map[uint64]func(lease.Decision){}}
	l.manager = lease.New(lease.Options{
		ProcessID:       rand.Uint64() | 1,
		MaxMessageBytes: options.MaxDatagramBytes - peer.Overhead,
		Durable:         c.store != nil,
		Persisted:       c.persistedRecords(leaseKeyPrefix, "lease"),
	}, c.identity.Seed)
	return l
}

// apply passes an event to the lease manager and carries out the effects.
func (l *leaseAdapter) apply(event lease.Event) {
	effects := l.manager.Apply(l.cluster.host.Now(), event)
	for _, record := range effects.Persists {
		persisted := lease.Persisted{Token: record.Token}
		l.cluster.persist(leaseKeyPrefix+record.Key, record.Record, func() { l.apply(persisted) })
	}
	l.cluster.sendAll(peer.Lease, effects.Sends)
	if l.manager.CanVote() && !l.canVote {
		l.canVote = true
		l.cluster.host.Logf("lease: voting, recovered without a quorum: %v, with %d records after %.0f ms",
			l.manager.Counters.RecoveriesWithoutQuorum > 0, l.manager.RecordCount(), l.manager.UptimeMS())
	}
	for _, decision := range effects.Decisions {
		l.complete(decision)
	}
	l.timer.schedule(l.cluster, l.manager.NextTimerMS(), func() { l.apply(lease.TimerFired{}) })
}

// complete passes a decision to the request that it belongs to.
func (l *leaseAdapter) complete(decision lease.Decision) {
	callback := l.waiting[decision.RequestID]
	if callback == nil {
		return
	}
	delete(l.waiting, decision.RequestID)
	if decision.Kind == lease.Granted {
		l.granted++
	}
	callback(decision)
}

// AcquireLease requests the right to run a load, which is identified by its key and a
// fingerprint of its content. The decision is made within withinMS. isRetry means that the
// client has sent the load before. callback is called once, in the loop.
func (c *Cluster) AcquireLease(
	k lease.Key, fingerprint uint64, withinMS float64, isRetry bool, callback func(lease.Decision),
) {
	l := c.leases
	l.lastRequestID++
	l.waiting[l.lastRequestID] = callback
	l.apply(lease.AcquireRequest{
		Key:         k,
		Fingerprint: fingerprint,
		RequestID:   l.lastRequestID,
		DeadlineMS:  c.host.Now() + withinMS,
		IsRetry:     isRetry,
	})
}

// ReleaseLease reports how a load with a granted lease has ended. outcome is the outcome of
// a completed load.
func (c *Cluster) ReleaseLease(k lease.Key, result lease.RunResult, outcome []byte) {
	c.leases.granted--
	c.leases.apply(lease.Released{Key: k, Result: result, Outcome: outcome})
}

// ExpireLeaseRequests makes the decisions on all lease requests now, as the process is about
// to be killed.
func (c *Cluster) ExpireLeaseRequests() {
	if c.leases != nil {
		c.leases.apply(lease.RequestsExpired{})
	}
}

// VotesOnLeases reports whether this front end votes on leases: it has all earlier votes of
// its own, or has caught up with the voters. It returns true if replication is off.
func (c *Cluster) VotesOnLeases() bool { return c.leases == nil || c.leases.manager.CanVote() }

// PendingLeases returns the number of lease requests without a decision, of granted leases
// that have not been released, and of outcomes that the fleet does not have yet.
func (c *Cluster) PendingLeases() int {
	if c.leases == nil {
		return 0
	}
	return len(c.leases.waiting) + c.leases.granted + c.leases.manager.PendingOutcomes()
}
