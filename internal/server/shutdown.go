package server

import (
	"os"
	"time"

	"dewhill/internal/dispatch"
)

const (
	// acceptAfterSignal is for how long connections are accepted after the signal to
	// end: clients connect for 0.4 s more, and send requests for another 0.2 s.
	acceptAfterSignal = 700 * time.Millisecond
	// acceptDoneTimeout is for a connection that was accepted as the listener closed.
	acceptDoneTimeout = 200 * time.Millisecond

	// shutdownMarginMS is how long after the longest deadline every request is
	// answered: the platform kills the process 700 ms after that deadline.
	shutdownMarginMS = 500.0
	// maxShutdownDeadlineMS bounds the deadline that counts for it; maxShutdownDeadlineIfReplacedMS does
	// where another process has succeeded this one.
	maxShutdownDeadlineMS           = 3000.0
	maxShutdownDeadlineIfReplacedMS = 5000.0
)

// beginShutdown begins a graceful shutdown, the first time it is called. For a while
// the front end goes on as before, as clients still connect; then idle connections
// are closed, and each response is the last on its connection. What is open when
// the process may soon be killed is answered before.
func (s *service) beginShutdown(received os.Signal, replaced bool) {
	if s.shuttingDown {
		return
	}
	s.shuttingDown = true
	s.loop.Logf("%v: graceful shutdown, replaced: %v", received, replaced)
	s.frontEnd.beginShutdown(replaced)

	acceptFor, maxMS := acceptAfterSignal, maxShutdownDeadlineMS
	if replaced {
		// Clients reach the next process: only what waits in the backlog is served.
		acceptFor, maxMS = 0, maxShutdownDeadlineIfReplacedMS
	}
	time.AfterFunc(acceptFor, s.stopAccepting)
	if s.maxDeadlineMS > 0 {
		s.loop.After(min(s.maxDeadlineMS, maxMS)+shutdownMarginMS, s.answerOpenRequests)
	}
}

// stopAccepting closes the listener and has the loop know that no connection comes
// any more. It runs on a goroutine of its own.
func (s *service) stopAccepting() {
	closeAndDrain(s.listener, s.frontEnd.ServeConn)
	// Guards a connection that was accepted as the listener closed: it must be known
	// before this front end counts as idle. Where the limit of connections is reached,
	// Serve holds none and may not return for long.
	select {
	case <-s.acceptDone:
	case <-time.After(acceptDoneTimeout):
	}
	s.loop.Post(func() {
		s.acceptStopped = true
		s.frontEnd.stopAccepting()
	})
}

// shutdownComplete reports whether nothing is owed to anybody any more.
func (s *service) shutdownComplete() bool {
	return s.acceptStopped && s.loop.OpenRequests() == 0 && s.frontEnd.idle()
}

// answerOpenRequests has every open request answered now.
func (s *service) answerOpenRequests() {
	s.loop.Logf("shutdown deadline: answering %d open requests now", s.loop.OpenRequests())
	s.loop.apply(dispatch.ShutdownDeadline{})
}
