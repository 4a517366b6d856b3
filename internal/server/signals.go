package server

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals receives the signals that the program handles. Each kind has its own channel, as
// package signal drops a signal if its channel is full: a burst of other signals must not
// cause a shutdown signal to be dropped.
type Signals struct {
	terminate     chan os.Signal
	reload        chan os.Signal
	printCounters chan os.Signal
}

// NotifySignals starts to receive signals. Run handles them: SIGTERM and SIGINT shut the
// program down gracefully, SIGHUP reloads its configuration, and SIGUSR1 prints its
// counters. The program calls NotifySignals before anything else, so that a signal does
// not kill a process that is still starting.
func NotifySignals() *Signals {
	s := &Signals{
		terminate:     make(chan os.Signal, 1),
		reload:        make(chan os.Signal, 1),
		printCounters: make(chan os.Signal, 1),
	}
	signal.Notify(s.terminate, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.printCounters, syscall.SIGUSR1)
	return s
}

// handleReloads reloads the configuration of the services on SIGHUP. It runs until the
// process ends, on a goroutine of its own: on an event loop, all requests would wait while
// the files are read.
func (s *Signals) handleReloads(services []*service) {
	for range s.reload {
		for _, svc := range services {
			svc.frontEnd.reload()
		}
	}
}

// handlePrintAndTerminate prints counters on SIGUSR1, and begins a graceful shutdown on
// SIGTERM and SIGINT. It runs until the process ends, on a goroutine of its own.
func (s *Signals) handlePrintAndTerminate(services []*service) {
	for {
		select {
		case <-s.printCounters:
			for _, svc := range services {
				svc.loop.Post(svc.logCounters)
			}
		case received := <-s.terminate:
			// In an upgrade the process receives SIGTERM, so only SIGTERM can mean that the
			// process was replaced. The first service is the platform front end, if there is
			// one.
			replaced := received == syscall.SIGTERM && services[0].frontEnd.replaced()
			for _, svc := range services {
				svc.loop.Post(func() { svc.beginShutdown(received, replaced) })
			}
		}
	}
}
