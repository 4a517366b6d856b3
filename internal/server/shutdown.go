package server

import (
	"os"
	"time"

	"dewhill/internal/dispatch"
)

const (
	// acceptAfterSignal is how long connections are still accepted after the shutdown
	// signal: clients open connections for 0.4 s more, and send requests on them for
	// another 0.2 s.
	acceptAfterSignal = 700 * time.Millisecond
	// acceptDoneTimeout limits the wait for Serve to return after the listener was
	// closed: Serve may hold a connection that it accepted just before.
	acceptDoneTimeout = 200 * time.Millisecond

	// shutdownMarginMS is the time after the longest deadline at which all open requests
	// are answered: the platform kills the process 700 ms after that deadline.
	shutdownMarginMS = 500.0
	// maxShutdownDeadlineMS caps the longest deadline in this calculation.
	// maxShutdownDeadlineIfReplacedMS is the cap if another process has replaced this one.
	maxShutdownDeadlineMS           = 3000.0
	maxShutdownDeadlineIfReplacedMS = 5000.0
)

// beginShutdown begins a graceful shutdown; later calls do nothing. At first the front
// end still accepts connections, as clients still connect. Then it closes idle
// connections and ends each other connection with its next response. Requests that are
// still open shortly before the platform may kill the process are answered then.
func (s *service) beginShutdown(received os.Signal, replaced bool) {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.loop.Logf("%v: graceful shutdown, replaced: %v", received, replaced)
	s.frontEnd.beginShutdown(replaced)

	acceptFor, maxMS := acceptAfterSignal, maxShutdownDeadlineMS
	if replaced {
		// New clients reach the next process: this one only serves the connections that
		// wait in its backlog.
		acceptFor, maxMS = 0, maxShutdownDeadlineIfReplacedMS
	}
	time.AfterFunc(acceptFor, s.stopAccepting)
	if s.maxDeadlineMS > 0 {
		s.loop.After(min(s.maxDeadlineMS, maxMS)+shutdownMarginMS, s.answerOpenRequests)
	}
}

// stopAccepting closes the listener and then notifies the loop that no connection is
// accepted any more. It runs on a goroutine of its own.
func (s *service) stopAccepting() {
	closeAndDrain(s.listener, s.frontEnd.ServeConn)
	// A connection that was accepted just before the listener closed must be registered
	// before this front end counts as idle. The wait has a limit because Serve may not
	// return for a long time when the connection limit is reached; in that case it holds
	// no such connection.
	select {
	case <-s.acceptDone:
	case <-time.After(acceptDoneTimeout):
	}
	s.loop.Post(func() {
		s.acceptStopped = true
		s.frontEnd.stopAccepting()
	})
}

// shutdownComplete reports whether no connection is accepted any more, all requests
// have been answered and the front end is idle.
func (s *service) shutdownComplete() bool {
	return s.acceptStopped && s.loop.OpenRequests() == 0 && s.frontEnd.idle()
}

// answerOpenRequests makes the dispatcher answer every open request now.
func (s *service) answerOpenRequests() {
	s.loop.Logf("shutdown deadline: answering %d open requests now", s.loop.OpenRequests())
	s.loop.apply(dispatch.ShutdownDeadline{})
	s.frontEnd.reachShutdownDeadline()
}
