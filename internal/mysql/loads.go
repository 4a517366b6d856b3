package mysql

import (
	"slices"

	"dewhill/internal/simproto"
)

// maxRetainedResultBytes limits the rows that are kept of a load with an id. If the
// rows were larger, a repeat of the load gets the error rowsNotRetained.
const maxRetainedResultBytes = 4 << 10

// maxLoadIDBytes limits the length of a load's id.
const maxLoadIDBytes = 128

// errIDConflict is the response to a load whose id was given to another statement
// before.
var errIDConflict = &Error{codeInvalidHint, "42000", "this id was given to another statement"}

// loadRecord is a load with an id, running or finished. Repeats of the load get its
// outcome.
type loadRecord struct {
	fingerprint    string // of the statement
	requestID      string // empty until the load is submitted to the event loop
	finished       bool
	outcome        outcome
	waitingClients int             // connected clients that wait for the outcome
	waiters        []func(outcome) // callbacks of repeats
}

// loadResult says what a load's outcome means for its repeats.
type loadResult uint8

const (
	loadMayHaveRun  loadResult = iota // the load must not run again
	loadHadNoEffect                   // the load provably changed nothing: it may run again
	loadSucceeded                     // an engine has run the load
)

// loadResult returns what the outcome means for repeats. If the server answers with an
// error of its own other than codeMayHaveRun, the load never ran.
func (o outcome) loadResult() loadResult {
	switch {
	case o.err != nil && o.err.Code != codeMayHaveRun:
		return loadHadNoEffect
	case o.err != nil || o.result == nil:
		return loadMayHaveRun
	case o.result.Err == nil:
		return loadSucceeded
	case o.result.noEffect:
		return loadHadNoEffect
	default:
		return loadMayHaveRun
	}
}

// forRepeat returns the outcome that a repeat of a load gets, which may be a prepared
// statement or text. The rows of the other protocol can't be given to it.
func (o outcome) forRepeat(prepared bool) outcome {
	switch {
	case o.loadResult() == loadMayHaveRun:
		return outcome{err: mayHaveRun()}
	case o.err == nil && o.result.hasRows() && o.result.binary != prepared:
		return outcome{err: rowsNotRetained()}
	default:
		return o
	}
}

// retained returns the outcome to keep for later repeats.
func (o outcome) retained() outcome {
	if o.err == nil && o.result != nil && o.result.rowBytes > maxRetainedResultBytes {
		return outcome{err: rowsNotRetained()}
	}
	return o
}

// rowsNotRetained answers a repeat of a load that succeeded with rows that the repeat can't
// get.
func rowsNotRetained() *Error {
	return &Error{codeRowsNotRetained, "02000", "this load has run and succeeded, but its rows are not kept"}
}

func (s *Server) class(t requestOptions) *simproto.Class { return &s.config.Settings.Classes[t.class] }

// submitLoad accepts a load with an id. A repeat gets the outcome of the first run.
// If the fleet uses leases, the load runs only if this front end is granted its
// lease.
func (s *Server) submitLoad(c *client, statement *Statement, info *statementInfo, t requestOptions, done func(outcome)) {
	name := loadName(c, t)
	fingerprint := fingerprintOf(statement, info)
	if s.joinLoad(c, name, statement, fingerprint, done) {
		return
	}
	if s.Leases == nil && t.isRetry && !s.released[name] {
		done(outcome{err: unknownLoad()})
		return
	}
	if !s.hasCapacity() {
		s.rejectLoad(name, done)
		return
	}
	load := s.addLoad(c, name, fingerprint)
	ticket := s.issueTicket(t) // before anything is waited for
	u := submission{client: c, load: load, statement: statement, info: info, options: t}
	finish := func(o outcome) {
		s.keyOrder.withdraw(ticket)
		s.finishLoad(name, load, o, done)
	}
	if s.Leases == nil {
		s.startInOrder(ticket, u, finish)
		return
	}
	s.acquireLease(name, fingerprint, t, finish, func(remainingMS float64, done func(outcome)) {
		u.options.deadlineMS = remainingMS
		s.startInOrder(ticket, u, done)
	})
}

// rejectLoad rejects an attempt at a load that the server does not know. Without leases it is
// a first attempt, or a retry after one that had no effect, so a retry of it may run.
func (s *Server) rejectLoad(name string, done func(outcome)) {
	s.Counters.Rejected++
	if s.Leases != nil {
		done(outcome{err: s.rejectionOfAttempt()})
		return
	}
	s.rememberReleased(name)
	done(outcome{err: s.rejection()})
}

// loadName returns the name of a load with an id: ids of different accounts differ.
func loadName(c *client, t requestOptions) string { return c.user + "\x00" + t.loadID }

// unknownLoad answers a load that its client marked as a retry, and whose id is not known.
func unknownLoad() *Error {
	return &Error{codeUnknownLoadID, "08007", "this id is not remembered: it may have run"}
}

// fingerprintOf returns a hash of a statement's content. A retry that is marked as such has
// the fingerprint of the first try.
func fingerprintOf(statement *Statement, info *statementInfo) string {
	unmarked := Statement{SQL: info.withoutRetry, Database: statement.Database}
	text := []byte(statementKey(&unmarked) + "\x00")
	return hashOf(append(text, encodeExecute(0, statement.Params)...))
}

// joinLoad reports whether the server has a record of the load. If it has, the load
// must not run again, and joinLoad calls done with the recorded outcome, now or when
// the run ends.
func (s *Server) joinLoad(
	c *client, name string, statement *Statement, fingerprint string, done func(outcome),
) bool {
	load := s.loads[name]
	if load == nil {
		return false
	}
	s.Counters.RepeatedLoads++
	switch {
	case load.fingerprint != fingerprint:
		done(outcome{err: errIDConflict})
	case load.finished:
		done(load.outcome.forRepeat(statement.Prepared))
	default:
		load.waiters = append(load.waiters, func(o outcome) { done(o.forRepeat(statement.Prepared)) })
		load.waitingClients++
		c.load = load
	}
	return true
}

func (s *Server) addLoad(c *client, name, fingerprint string) *loadRecord {
	s.forgetReleased(name)
	load := &loadRecord{fingerprint: fingerprint, waitingClients: 1}
	c.load = load
	s.loads[name] = load
	s.loadOrder = append(s.loadOrder, name)
	s.evictLoads()
	return load
}

// finishLoad records a load's outcome and answers all clients that wait for it. It
// removes the record of a load that provably had no effect, so that a repeat may run.
func (s *Server) finishLoad(name string, load *loadRecord, o outcome, done func(outcome)) {
	load.finished = true
	load.outcome = o.retained()
	if o.loadResult() == loadHadNoEffect {
		s.removeLoad(name)
		if s.Leases == nil { // with leases, only the fleet knows what a retry may do
			s.rememberReleased(name)
		}
	}
	done(o)
	for _, waiter := range load.waiters {
		waiter(o)
	}
	load.waiters = nil
}

// evictLoads removes the records of the oldest finished loads while there are more
// records than the limit.
func (s *Server) evictLoads() {
	for i := 0; i < len(s.loadOrder) && len(s.loads) > s.config.Limits.KnownIDs; {
		if s.loads[s.loadOrder[i]].finished {
			s.removeLoad(s.loadOrder[i])
			continue
		}
		i++
	}
}

func (s *Server) removeLoad(name string) {
	delete(s.loads, name)
	s.loadOrder = slices.DeleteFunc(s.loadOrder, func(n string) bool { return n == name })
}

// rememberReleased remembers a load whose run provably had no effect: a retry of it may run,
// although there is no record of the load. The number of such loads is limited apart from
// that of records, so that rejections displace no record of a load that has run.
func (s *Server) rememberReleased(name string) {
	if s.released[name] {
		return
	}
	s.released[name] = true
	s.releasedOrder = append(s.releasedOrder, name)
	if len(s.releasedOrder) > s.config.Limits.KnownIDs {
		s.forgetReleased(s.releasedOrder[0])
	}
}

func (s *Server) forgetReleased(name string) {
	if !s.released[name] {
		return
	}
	delete(s.released, name)
	s.releasedOrder = slices.DeleteFunc(s.releasedOrder, func(n string) bool { return n == name })
}
