package server

import (
	"os"
	"os/signal"
	"syscall"
)

// Signals are those that the program handles. Each kind has a channel of its own, as
// the system drops what finds the channel full: a burst of others must not hide the
// one to end.
type Signals struct {
	terminate     chan os.Signal
	reload        chan os.Signal
	printCounters chan os.Signal
}

// NotifySignals handles signals from now on: SIGTERM and SIGINT end the program
// gracefully, SIGHUP reads its configuration again, and SIGUSR1 prints its
// counters. The program calls it before all else: a signal must not kill one that
// has just started.
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

// handleReloads has the services read their configuration again. It runs until the
// process ends, on a goroutine of its own: in a loop, all requests would wait for
// the files.
func (s *Signals) handleReloads(services []*service) {
	for range s.reload {
		for _, svc := range services {
			svc.frontEnd.reload()
		}
	}
}

// handlePrintAndTerminate prints counters and begins graceful shutdown. It runs until the
// process ends, on a goroutine of its own.
func (s *Signals) handlePrintAndTerminate(services []*service) {
	for {
		select {
		case <-s.printCounters:
			for _, svc := range services {
				svc.loop.Post(svc.logCounters)
			}
		case received := <-s.terminate:
			// Only SIGTERM is sent in an upgrade: the first service is the platform front
			// end, where there is one.
			replaced := received == syscall.SIGTERM && services[0].frontEnd.replaced()
			for _, svc := range services {
				svc.loop.Post(func() { svc.beginShutdown(received, replaced) })
			}
		}
	}
}
