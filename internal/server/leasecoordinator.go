package server

import (
	"crypto/sha256"
	"hash/fnv"

	"dewhill/internal/lease"
)

// leaseCoordinator forwards lease requests for loads of the MySQL front end to the loop of
// the platform front end, whose cluster grants the leases, and forwards the decisions
// back. It implements mysql.Leases. Each message is posted on a goroutine of its own, as
// neither loop may wait for the other: if both queues were full, they would deadlock.
type leaseCoordinator struct {
	platform  *platformFrontEnd
	mysqlLoop *EventLoop
}

// leaseKey returns the key of a load's lease: the first bytes of the hash of its name.
func leaseKey(load string) lease.Key {
	var key lease.Key
	hash := sha256.Sum256([]byte(load))
	copy(key[:], hash[:])
	return key
}

// Acquire requests the lease of a load from the cluster. timeoutMS limits the time for the
// decision. retried means that the client has sent the load before. decided is called
// once, on the MySQL front end's loop.
func (c *leaseCoordinator) Acquire(
	load, statement string, timeoutMS float64, retried bool, decided func(lease.Decision),
) {
	statementHash := fnv.New64a()
	_, _ = statementHash.Write([]byte(statement)) // a hash's Write never fails
	returnDecision := func(decision lease.Decision) {
		go c.mysqlLoop.Post(func() { decided(decision) })
	}
	go c.platform.loop.Post(func() {
		c.platform.cluster.AcquireLease(leaseKey(load), statementHash.Sum64(), timeoutMS, retried, returnDecision)
	})
}

// Release reports to the cluster how a load ended, with its OK packet.
func (c *leaseCoordinator) Release(load string, result lease.RunResult, okPacket []byte) {
	go c.platform.loop.Post(func() { c.platform.cluster.ReleaseLease(leaseKey(load), result, okPacket) })
}

// ExpireRequests makes the decisions on all requests now.
func (c *leaseCoordinator) ExpireRequests() {
	go c.platform.loop.Post(func() { c.platform.cluster.ExpireLeaseRequests() })
}

// close notifies the platform front end that no lease is requested any more. Until then,
// the platform front end does not end.
func (c *leaseCoordinator) close() {
	c.platform.loop.Post(func() { c.platform.leaseUsers-- })
}
