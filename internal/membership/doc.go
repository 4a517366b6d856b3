// Package membership maintains one front end's view of the fleet: its members, the
// state of each member, and whether the members that can reach one another agree. It
// implements SWIM (Das, Gupta, Motivala 2002: probing, suspicion, dissemination
// piggybacked on probes) with Lifeguard's local health (Dadgar, Phillips, Currey
// 2018), and adds a ring of watchers and anti-entropy by range digests.
//
// The package is a state machine: its inputs are events with their times, its outputs
// are datagrams and changes of members' states. It does no I/O, reads no clock and
// starts no goroutine; the same options, seed, times and events always give the same
// effects. A View is not safe for concurrent use.
//
// # Safety
//
// A view is a map from member to (incarnation, state). Two views are merged by taking
// the larger pair of each member, with the states ordered unknown, alive, suspect,
// dead, left. The following holds for any loss, delay, duplication and reordering of
// messages:
//
//   - an incarnation never decreases, and a member that is dead or left becomes
//     alive only under a larger incarnation, which only the member itself can begin;
//   - the same messages in any order, any number of times, give the same view;
//   - a view contains only members that are named by the configured list or by a
//     message;
//   - while its tombstone exists (the last maxTombstones are kept), a forgotten member
//     returns only under a larger incarnation than it was forgotten with.
//
// None of this depends on clocks: times only determine when a member is contacted or
// suspected. The state Dead does not prove a crash: a front end that is paused or
// partitioned for longer than the suspicion lasts is declared dead while it is still
// running. A decision that requires certainty about this needs a majority, not this
// view.
//
// # Liveness
//
// With occasional loss, delays below Times.ProbeTimeoutMS and a bounded number of
// failures, every live front end declares a crashed one dead within about eight
// periods, and views are equal again a few periods after the last change. This also
// holds after a partition in which each side declared all members of the other side
// dead, because attempts to contact dead, unknown and forgotten members never stop.
// At most Times.DatagramsPerSecond are sent on average; probes and acks have priority
// over gossip.
//
// # Paused processes
//
// A process that was paused resumes with an outdated view. It detects the pause from
// the lateness of its own timer, for which it needs only its own clock. It cancels the
// probes in flight and extends the suspicions; after a pause longer than
// Times.SuspicionMinMS it also drops its queued gossip and is not converged until
// other members agree with it again. If it was declared dead during the pause, the
// reply to its first datagram notifies it, and it begins a new incarnation.
//
// # Restarted processes
//
// A new process begins at incarnation 1, or at Options.FirstIncarnation if the
// previous incarnation was persisted. If other members have a larger incarnation for
// its name, it is notified of that incarnation and begins the next larger one. If its
// predecessor was at the same incarnation, members detect the new process in one of
// two ways. A member that received a message of the predecessor compares the boot IDs.
// A member that received the incarnation before the new process started compares the
// uptime that a process reports at first. A member that detects a new process notifies
// it that the predecessor is dead, and the new process begins the next incarnation. A
// false detection only costs one incarnation.
//
// # Files
//
//   - options.go, state.go, events.go, view.go: the package's interface, the state
//     of a view and its timer
//   - ring.go: the order of the members and their watchers
//   - probe.go, indirect.go: failure detection, directly and through helpers
//   - suspicion.go: suspicion, confirmation, final probe, death; refutation
//   - localhealth.go, pause.go: this process's own slowness and pauses
//   - receive.go, merge.go: datagrams and updates of other members
//   - gossip.go, send.go: dissemination, its budget, and datagrams to send
//   - rangesync.go, convergence.go: anti-entropy by range, and agreement
//   - reconnect.go, forget.go: join and rejoin, tombstones
//   - message.go, encode.go, decode.go: the wire format of the datagrams
//   - damper.go: flap damping for the division of work
package membership
