package mysql

import (
	"slices"

	"dewhill/internal/simproto"
)

// maxRetainedResultBytes bounds the rows kept of a load with an id. Larger
// results are answered with a bare OK when the load is repeated.
const maxRetainedResultBytes = 4 << 10

// maxLoadIDBytes is the longest id of a load.
const maxLoadIDBytes = 128

// errIDConflict answers an id that was given to another statement before.
var errIDConflict = &Error{codeInvalidHint, "42000", "this id was given to another statement"}

// namedLoad is a load with an id, running or finished. Repeats of it get its
// outcome.
type namedLoad struct {
	fingerprint    string // of the statement
	requestID      string // once it was submitted
	finished       bool
	outcome        outcome
	waitingClients int
	waiters        []func(outcome)
}

func (s *Server) class(t requestOptions) *simproto.Class { return &s.config.Settings.Classes[t.class] }

// submitLoad takes a load with an id: a repeat gets the outcome of the first run,
// and where the fleet keeps leases, one of them decides who runs it.
func (s *Server) submitLoad(c *client, statement *Statement, info *statementInfo, t requestOptions, done func(outcome)) {
	name := c.user + "\x00" + t.loadID
	fingerprint := fingerprintOf(statement)
	if s.joinLoad(c, name, fingerprint, done) {
		return
	}
	load := s.addLoad(c, name, fingerprint)
	finish := func(o outcome) { s.finishLoad(name, load, o, done) }
	if s.Leases == nil {
		s.start(c, statement, info, t, finish)
		return
	}
	s.acquireLease(name, fingerprint, t, finish, func(remainingMS float64, done func(outcome)) {
		if load.waitingClients == 0 { // it does not begin
			done(outcome{err: s.rejection()})
			return
		}
		t.deadlineMS = remainingMS
		s.start(c, statement, info, t, done)
	})
}

func fingerprintOf(statement *Statement) string {
	text := []byte(statementKey(statement) + "\x00")
	return hashOf(append(text, encodeExecute(0, statement.Params)...))
}

// joinLoad answers a load whose id is known, now or when its run ends, and
// reports whether it is known. A client that repeats a load must not make it run
// twice.
func (s *Server) joinLoad(c *client, name, fingerprint string, done func(outcome)) bool {
	load := s.loads[name]
	if load == nil {
		return false
	}
	s.Counters.KnownIDs++
	switch {
	case load.fingerprint != fingerprint:
		done(outcome{err: errIDConflict})
	case load.finished:
		done(load.outcome)
	default:
		load.waiters = append(load.waiters, done)
		load.waitingClients++
		c.load = load
	}
	return true
}

func (s *Server) addLoad(c *client, name, fingerprint string) *namedLoad {
	load := &namedLoad{fingerprint: fingerprint, waitingClients: 1}
	c.load = load
	s.loads[name] = load
	s.loadOrder = append(s.loadOrder, name)
	s.evictLoads()
	return load
}

// finishLoad keeps a load's outcome and answers all clients that wait for it. A
// load that provably never ran is forgotten, so that a repeat may run.
func (s *Server) finishLoad(name string, load *namedLoad, o outcome, done func(outcome)) {
	load.finished = true
	load.outcome = o
	switch {
	case o.err != nil && o.err.Code != codeMayHaveRun:
		s.forgetLoad(name)
	case o.result != nil && o.result.rowBytes > maxRetainedResultBytes:
		load.outcome = outcome{result: &Result{OK: okPacket(0, 0)}}
	}
	done(o)
	for _, waiter := range load.waiters {
		waiter(o)
	}
	load.waiters = nil
}

// evictLoads forgets the oldest finished loads over the limit.
func (s *Server) evictLoads() {
	for i := 0; i < len(s.loadOrder) && len(s.loads) > s.config.Limits.KnownIDs; {
		if s.loads[s.loadOrder[i]].finished {
			s.forgetLoad(s.loadOrder[i])
			continue
		}
		i++
	}
}

func (s *Server) forgetLoad(name string) {
	delete(s.loads, name)
	s.loadOrder = slices.DeleteFunc(s.loadOrder, func(n string) bool { return n == name })
}
