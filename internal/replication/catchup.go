package replication

const (
	// readyPeersNeeded is the number of members that have caught up and must have this
	// replica's digest before this replica has caught up too.
	readyPeersNeeded = 2
	// catchUpCompareIntervalMS is the interval between comparisons while a replica is
	// catching up.
	catchUpCompareIntervalMS = 150.0
)

// catchUp tracks whether this replica has the writes of the other members.
type catchUp struct {
	ready       bool
	startedAtMS float64
	equalPeers  map[Peer]bool // members with this replica's digest; true: the member has caught up
}

// checkCaughtUp marks this replica as ready if it has caught up or its time for catching
// up has passed.
func (r *Replica) checkCaughtUp() {
	readyPeers := 0
	for _, isReady := range r.catchUp.equalPeers {
		if isReady {
			readyPeers++
		}
	}
	isMajority := 2*(len(r.catchUp.equalPeers)+1) > r.clusterSize
	switch {
	case isMajority, readyPeers >= min(readyPeersNeeded, max(1, len(r.all))):
		r.Counters.CaughtUp++
	case r.nowMS >= r.catchUp.startedAtMS+r.options.Times.CatchUpTimeoutMS:
		r.Counters.CatchUpTimeouts++
	default:
		return
	}
	r.catchUp.ready = true
}
