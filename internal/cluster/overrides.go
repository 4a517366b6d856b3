package cluster

import (
	"fmt"
	"math/rand/v2"
	"time"

	"dewhill/internal/peer"
	"dewhill/internal/replication"
)

// OverrideWatcher is notified of administrative overrides.
type OverrideWatcher interface {
	// OverrideChanged reports that an operator has taken an engine or a front end out of
	// service, or has put it back into service, by a call to the front end origin.
	OverrideChanged(k replication.Key, disabled bool, origin string)
	// CaughtUp reports that this front end has received the fleet's overrides, or that
	// the time for receiving them has passed.
	CaughtUp()
}

// WriteResult is the result of writing an override.
type WriteResult struct {
	Replicas int  `json:"kept"`   // front ends that have stored the override
	Required int  `json:"needed"` // front ends that must have stored it
	OK       bool `json:"-"`      // enough front ends have stored it
}

// overrideAdapter connects this front end's replica of the overrides to its Cluster.
type overrideAdapter struct {
	cluster       *Cluster
	replica       *replication.Replica
	watcher       OverrideWatcher // nil: WatchOverrides has not been called
	quorum        WriteQuorum
	timer         timer
	caughtUp      bool
	writes        map[uint64]chan<- WriteResult // writes without a result, by request ID
	lastRequestID uint64
	loggedChanges int
}

func newOverrideAdapter(c *Cluster, options *Options) *overrideAdapter {
	o := &overrideAdapter{cluster: c, quorum: options.Replication.WriteQuorum, writes: map[uint64]chan<- WriteResult{}}
	o.replica = replication.New(replication.Options{
		Name:            c.identity.Name,
		ProcessID:       rand.Uint64() | 1,
		MaxMessageBytes: options.MaxDatagramBytes - peer.Overhead,
		Times:           options.Replication.Times(),
		Durable:         c.store != nil,
		Persisted:       c.persistedRecords(overrideKeyPrefix, "replication"),
	}, c.identity.Seed)
	return o
}

// apply passes an event to the replica and carries out the effects.
func (o *overrideAdapter) apply(event replication.Event) {
	effects := o.replica.Apply(o.cluster.host.Now(), event)
	for _, change := range effects.Changed {
		o.publish(change)
	}
	for _, record := range effects.Persists {
		persisted := replication.Persisted{Token: record.Token}
		o.cluster.persist(record.Key, record.Record, func() { o.apply(persisted) })
	}
	o.cluster.sendAll(peer.Replication, effects.Sends)
	for _, result := range effects.Results {
		o.complete(result)
	}
	o.notifyCaughtUp()
	o.timer.schedule(o.cluster, o.replica.NextTimerMS(), func() { o.apply(replication.TimerFired{}) })
}

// publish logs a change of an override and notifies the watcher.
func (o *overrideAdapter) publish(change replication.OverrideChanged) {
	o.loggedChanges++
	if o.loggedChanges <= maxLoggedChanges {
		o.cluster.host.Logf("replication: override of %c %s: out of service: %v (by %s)",
			change.Key.Kind, change.Key.ID, change.Disabled, change.Origin)
	}
	if o.watcher != nil {
		o.watcher.OverrideChanged(change.Key, change.Disabled, change.Origin)
	}
}

// complete passes a result to the write that it belongs to.
func (o *overrideAdapter) complete(result replication.WriteResult) {
	results := o.writes[result.RequestID]
	if results == nil {
		return
	}
	// The channel has capacity for the result: see WriteOverride.
	results <- WriteResult{Replicas: result.Replicas, Required: o.requiredReplicas(), OK: result.OK}
	delete(o.writes, result.RequestID)
}

// notifyCaughtUp notifies the watcher once, after the replica has caught up.
func (o *overrideAdapter) notifyCaughtUp() {
	if o.caughtUp || o.watcher == nil || !o.replica.Ready() {
		return
	}
	o.caughtUp = true
	o.cluster.host.Logf("replication: caught up with %d overrides, timed out: %v",
		len(o.replica.Registers()), o.replica.Counters.CatchUpTimeouts > 0)
	o.watcher.CaughtUp()
}

// requiredReplicas returns the number of front ends that must have stored an override
// before its write succeeds.
func (o *overrideAdapter) requiredReplicas() int {
	if o.quorum == QuorumSelf {
		return 1
	}
	return o.cluster.members.view.Size()/2 + 1
}

// Replicates reports whether overrides and leases are on.
func (c *Cluster) Replicates() bool { return c.overrides != nil }

// CaughtUp reports whether this front end has caught up with the fleet's overrides. It
// returns true if replication is off.
func (c *Cluster) CaughtUp() bool { return c.overrides == nil || c.overrides.caughtUp }

// WatchOverrides notifies a watcher of the current overrides, and then of every change. It
// does nothing if replication is off.
func (c *Cluster) WatchOverrides(watcher OverrideWatcher) {
	o := c.overrides
	if o == nil {
		return
	}
	o.watcher = watcher
	for _, register := range o.replica.Registers() {
		watcher.OverrideChanged(register.Key, register.Current.Disabled, register.Current.Origin)
	}
	o.apply(replication.TimerFired{})
}

// WriteOverride takes an engine or a front end out of service, or puts it back into
// service. The result is sent to the channel, which must have capacity for it.
// WriteOverride returns an error if the ID is too long.
func (c *Cluster) WriteOverride(k replication.Key, disabled bool, results chan<- WriteResult) error {
	if len(k.ID) > replication.MaxIDBytes {
		return fmt.Errorf("the name is longer than %d bytes", replication.MaxIDBytes)
	}
	o := c.overrides
	o.lastRequestID++
	o.writes[o.lastRequestID] = results
	o.apply(replication.Write{
		Key:              k,
		Disabled:         disabled,
		RequiredReplicas: o.requiredReplicas(),
		WallClockMS:      float64(time.Now().UnixMilli()),
		RequestID:        o.lastRequestID,
	})
	return nil
}
