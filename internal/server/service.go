package server

import (
	"net"
	"time"
)

// lastWriteDelay is the time for the last writes to connections to leave the process.
const lastWriteDelay = 50 * time.Millisecond

// frontEnd is the front end that a service runs. Its methods are called on its loop unless
// their comment says otherwise.
type frontEnd interface {
	// Serve accepts clients until the listener is closed. It is called on a goroutine
	// of its own.
	Serve(net.Listener)
	// ServeConn serves a connection that Serve did not accept. It may be called from
	// any goroutine but the loop's.
	ServeConn(net.Conn)
	// started is called once, when clients can connect, on the service's goroutine before
	// the loop runs.
	started()
	// reload reads the configuration again. It is called on a goroutine that handles
	// signals.
	reload()
	// replaced reports whether another process has replaced this one. It is called on a
	// goroutine that handles signals.
	replaced() bool
	// beginShutdown is called once, when the program receives a shutdown signal.
	beginShutdown(replaced bool)
	// stopAccepting is called when no connection is accepted any more.
	stopAccepting()
	// reachShutdownDeadline is called after all open requests were answered because the
	// platform is about to kill the process.
	reachShutdownDeadline()
	// stopped is called once the loop has ended, on a goroutine of the service.
	stopped()
	// idle reports whether no client waits for a response, and no lease is pending.
	idle() bool
}

// service is a front end with its loop and its listener. The loop owns
// shuttingDown and acceptStopped.
type service struct {
	loop     *EventLoop
	listener net.Listener
	frontEnd frontEnd
	// maxDeadlineMS is the longest deadline of all classes, if the platform kills the
	// process some time after that deadline. If it is 0, only the deadlines of the open
	// requests limit the time of a shutdown.
	maxDeadlineMS float64

	acceptDone    chan struct{} // closed once Serve has returned
	shuttingDown  bool
	acceptStopped bool
}

func newService(loop *EventLoop, listener net.Listener, f frontEnd, maxDeadlineMS float64) *service {
	return &service{
		loop:          loop,
		listener:      listener,
		frontEnd:      f,
		maxDeadlineMS: maxDeadlineMS,
		acceptDone:    make(chan struct{}),
	}
}

// run serves clients until a shutdown is complete, and then prints the counters.
func (s *service) run() {
	go func() {
		defer close(s.acceptDone)
		s.frontEnd.Serve(s.listener)
	}()
	s.loop.Logf("listening on %s", s.listener.Addr())
	s.frontEnd.started()
	s.loop.run(s.shutdownComplete)
	go s.discardEvents()
	s.frontEnd.stopped()
	time.Sleep(lastWriteDelay)
	s.logCounters()
}

// discardEvents discards the functions that are posted after the loop has ended. They
// belong to connections that end with the program, and the goroutines that post them must
// not block.
func (s *service) discardEvents() {
	for {
		select {
		case <-s.loop.queue:
		case <-s.loop.urgent:
		}
	}
}

func (s *service) logCounters() { s.loop.Logf("counters: %s", s.loop.CountersJSON()) }
