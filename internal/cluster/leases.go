package cluster

import (
	"math/rand/v2"

	"dewhill/internal/lease"
	"dewhill/internal/peer"
)

// leaseAdapter connects this front end's part in granting leases of loads.
type leaseAdapter struct {
	cluster    *Cluster
	manager    *lease.Manager
	timer      timer
	waiting    map[uint64]func(lease.Decision) // by ticket
	lastTicket uint64
	canVote    bool
	granted    int // leases that have not been released
}

func newLeaseAdapter(c *Cluster, options *Options) *leaseAdapter {
	l := &leaseAdapter{cluster: c, waiting: map[uint64]func(lease.Decision){}}
	l.manager = lease.New(lease.Options{
		ProcessID:       rand.Uint64() | 1,
		MaxMessageBytes: options.MaxDatagramBytes - peer.Overhead,
		Durable:         c.store != nil,
		Persisted:       c.persisted(leaseKeyPrefix, "lease"),
	}, c.identity.Seed)
	return l
}

// apply gives the lease manager an event and carries out its effects.
func (l *leaseAdapter) apply(event lease.Event) {
	effects := l.manager.Apply(l.cluster.host.Now(), event)
	for _, record := range effects.Persists {
		persisted := lease.Persisted{Token: record.Token}
		l.cluster.persist(leaseKeyPrefix+record.Key, record.Record, func() { l.apply(persisted) })
	}
	l.cluster.sendAll(peer.Lease, effects.Sends)
	if l.manager.CanVote() && !l.canVote {
		l.canVote = true
		l.cluster.host.Logf("lease: voting, recovered without a quorum: %v", l.manager.Counters.RecoveriesWithoutQuorum > 0)
	}
	for _, decision := range effects.Decisions {
		l.complete(decision)
	}
	l.timer.schedule(l.cluster, l.manager.NextTimerMS(), func() { l.apply(lease.TimerFired{}) })
}

// complete gives a decision to the request that it belongs to.
func (l *leaseAdapter) complete(decision lease.Decision) {
	then := l.waiting[decision.Ticket]
	if then == nil {
		return
	}
	delete(l.waiting, decision.Ticket)
	if decision.Kind == lease.Granted {
		l.granted++
	}
	then(decision)
}

// AcquireLease requests the right to run a load, identified by its key and a
// fingerprint of its content, within a time in ms. isRetry: the client has sent
// the load before. then is called once, in the loop.
func (c *Cluster) AcquireLease(k lease.Key, fingerprint uint64, withinMS float64, isRetry bool, then func(lease.Decision)) {
	l := c.leases
	l.lastTicket++
	l.waiting[l.lastTicket] = then
	l.apply(lease.AcquireRequest{
		Key:         k,
		Fingerprint: fingerprint,
		Ticket:      l.lastTicket,
		DeadlineMS:  c.host.Now() + withinMS,
		IsRetry:     isRetry,
	})
}

// ReleaseLease reports how a load ended for which a lease was granted, with the
// outcome of one that completed.
func (c *Cluster) ReleaseLease(k lease.Key, result lease.RunResult, outcome []byte) {
	c.leases.granted--
	c.leases.apply(lease.Released{Key: k, Result: result, Outcome: outcome})
}

// PendingLeases returns the number of lease requests without a decision and of
// leases that were granted and not released.
func (c *Cluster) PendingLeases() int {
	if c.leases == nil {
		return 0
	}
	return len(c.leases.waiting) + c.leases.granted
}
