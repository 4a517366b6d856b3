package acceptance

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/mutanttest"
	"dewhill/internal/testprocess"
)

var (
	soakSeeds    = flag.Int("soakseeds", 2, "number of seeds that TestSoak runs, from the seed of -seed on")
	soakDuration = flag.Duration("soaklasts", 12*time.Second, "duration of the signals and requests of a seed")
)

const (
	// maxTermDeadline is the deadline by which a platform counts a longer one at a shutdown.
	maxTermDeadline = 3 * time.Second
	// killAfterDeadline is the time after the longest deadline at which SIGKILL follows SIGTERM.
	killAfterDeadline = 700 * time.Millisecond
	// newConnectionsAfterTerm is the time after SIGTERM for which new connections still come.
	newConnectionsAfterTerm = 200 * time.Millisecond
	// maxReadyTime bounds the time from the start of a process until it is healthy.
	maxReadyTime = 10 * time.Second

	shortDeadline      = 600 * time.Millisecond
	crowdedSockets     = 240
	crowdConnections   = 300
	maxPipelined       = 4
	earlyTermWindow    = 50 * time.Millisecond
	fleetTermWindow    = time.Second
	restingClientPause = 900 * time.Millisecond
	// keySpacing is the time between two requests with one order key on different connections.
	keySpacing = 250 * time.Millisecond
)

// soakVariant is what is special about a seed.
type soakVariant int

const (
	plainSoak soakVariant = iota
	crowdedSoak
	shortDeadlineSoak
	soakVariantCount
)

func (v soakVariant) String() string {
	return []string{"plain", "crowd", "short deadlines"}[v]
}

// soak is a fleet whose front ends get series of signals while clients keep connections open.
type soak struct {
	*fleet
	variant     soakVariant
	maxDeadline time.Duration // the longest deadline of a class

	mu            sync.Mutex
	termAt        map[string]time.Time // of front ends that are shutting down, by address
	inCrowd       []fakes.Restart      // periods in which idle clients held all descriptors
	processErrors []string             // processes that took too long to start, or failed
	killed        int                  // processes that were still running when SIGKILL came
}

// TestSoak checks the rules of the protocol from the records of clients and engines, while
// clients go on using open connections, some with requests sent ahead, until SIGKILL follows
// SIGTERM at the earliest time that the protocol allows. Signals come in series: twice, early
// in the life of a process, in a shutdown, and to the whole fleet at once.
func TestSoak(t *testing.T) {
	for i := range *soakSeeds {
		seed := *firstSeed + uint64(i)
		variant := soakVariant(seed % uint64(soakVariantCount))
		t.Run(fmt.Sprintf("seed %d, %v", seed, variant), func(t *testing.T) { runSoak(t, seed, variant) })
	}
}

func runSoak(t *testing.T, seed uint64, variant soakVariant) {
	t.Helper()
	s := playSoak(t, seed, variant, nil)
	for _, violation := range s.violations() {
		t.Error(violation)
	}
	served, refused, failed := s.outcomes()
	if served == 0 {
		t.Error("no request was served")
	}
	t.Logf("%d requests served, %d refused, %d failed; %d processes were still running at SIGKILL",
		served, refused, failed, s.killed)
}

// playSoak runs a fleet of the program, or of a mutant of it, for one seed.
func playSoak(t *testing.T, seed uint64, variant soakVariant, mutant *mutanttest.Mutant) *soak {
	t.Helper()
	d := deployment{fronts: *frontCount, cores: 8, mutant: mutant}
	s := &soak{variant: variant, maxDeadline: maxTermDeadline, termAt: map[string]time.Time{}}
	switch variant {
	case crowdedSoak:
		d.sockets = crowdedSockets
	case shortDeadlineSoak:
		s.maxDeadline = shortDeadline
		d.configure = shortenDeadlines
	default:
	}
	var relays []*fakes.Relay
	var endpoints []fakes.Endpoint
	s.fleet, relays, endpoints = startFaultyFleet(t, seed, d)
	end := time.Now().Add(*soakDuration)
	var all sync.WaitGroup
	for k := range *clientCount {
		rng := rand.New(rand.NewPCG(seed, 100+uint64(k)))
		all.Go(func() { s.runKeepAliveClient(rng, k, end) })
	}
	all.Go(func() { s.injectFaults(rand.New(rand.NewPCG(seed, 2)), relays, endpoints, end) })
	all.Go(func() { s.sendSignals(rand.New(rand.NewPCG(seed, 3)), end) })
	if variant == crowdedSoak {
		all.Go(func() { s.gatherCrowds(rand.New(rand.NewPCG(seed, 4)), end) })
	}
	all.Wait()
	return s
}

// shortenDeadlines sets the deadline of all classes to shortDeadline.
func shortenDeadlines(_ *fakes.ProgramConfig, settings map[string]any) {
	for _, class := range settings["categories"].([]any) {
		class.(map[string]any)["hardLimitMs"] = shortDeadline.Milliseconds()
		class.(map[string]any)["aimMs"] = shortDeadline.Milliseconds() / 2
	}
}

// violations returns the violations of the rules of the protocol and of those of the soak.
func (s *soak) violations() []string {
	s.dropUnreadInCrowds()
	return slices.Concat(s.fleet.violations(), s.forwardedAndClosed(), s.processErrors)
}

// forwardedAndClosed returns the requests that an engine received although their connection
// was closed without a response: such a request was read, so it is lost, unless its front end
// was killed without SIGTERM.
func (s *soak) forwardedAndClosed() (violations []string) {
	resent := map[string]time.Time{}
	for i := range s.replies {
		if r := &s.replies[i]; !r.Resent.IsZero() && !s.killedBetween(r.FrontEndAddr, r.FirstSent, r.Resent) {
			resent[r.ID] = r.Resent
		}
	}
	for _, a := range attemptsAt(s.engines) {
		if at, found := resent[a.ID]; found && a.ReceivedAt.Before(at) {
			violations = append(violations,
				fmt.Sprintf("lost: %s was sent to %s, and its connection was closed without a response", a.ID, a.Engine))
		}
	}
	return violations
}

// killedBetween reports whether a front end was killed without SIGTERM between two times.
func (s *soak) killedBetween(addr string, from, until time.Time) bool {
	return slices.ContainsFunc(s.kills[addr], func(kill fakes.Restart) bool {
		return !kill.From.After(until.Add(fakes.Tolerance)) && !kill.Until.Before(from.Add(-fakes.Tolerance))
	})
}

// dropUnreadInCrowds drops the outcomes of requests whose connection was closed unread while
// idle clients held all descriptors, which the protocol allows.
func (s *soak) dropUnreadInCrowds() {
	forwarded := map[string]bool{}
	for _, a := range attemptsAt(s.engines) {
		forwarded[a.ID] = true
	}
	s.replies = slices.DeleteFunc(s.replies, func(r fakes.Outcome) bool {
		inCrowd := slices.ContainsFunc(s.inCrowd, func(c fakes.Restart) bool {
			return r.Sent.After(c.From) && r.Sent.Before(c.Until)
		})
		return r.ClosedUnanswered && inCrowd && !forwarded[r.ID]
	})
}

// runKeepAliveClient sends one request after another on a connection that it keeps open. Every
// fourth client sends several requests ahead, every fourth lets its connection rest, and every
// fourth leaves while a request waits for its turn.
func (s *soak) runKeepAliveClient(rng *rand.Rand, k int, end time.Time) {
	fr := s.fronts[k%len(s.fronts)]
	connection := &fakes.Connection{Addr: fr.addr, MayOpen: func() bool { return s.acceptsConnections(fr) }}
	defer connection.Close()
	for time.Now().Before(end) {
		if k%4 == 3 && rng.IntN(3) == 0 {
			s.disconnectWhileQueued(connection, fr, k)
		}
		requests := []fakes.Request{s.complete(s.drawRequest(rng, k))}
		if k%4 == 1 {
			requests = s.drawAhead(rng, k)
		}
		s.record(connection.Call(requests...)...)
		time.Sleep(time.Duration(70+rng.IntN(60)) * time.Millisecond)
		if k%4 == 2 {
			time.Sleep(time.Duration(rng.Int64N(int64(restingClientPause))))
		}
	}
}

// disconnectWhileQueued sends two entries with the same key. The client of the second leaves while
// it waits for the end of the first.
func (s *soak) disconnectWhileQueued(connection *fakes.Connection, fr *frontEnd, k int) {
	q := fakes.Request{Class: entry, Key: fmt.Sprint("key-", k), Timeout: 2 * time.Second}
	var first sync.WaitGroup
	completed := s.complete(q)
	first.Go(func() { s.record(connection.Call(completed)...) })
	time.Sleep(keySpacing)
	if s.acceptsConnections(fr) {
		q.DisconnectAfter = keySpacing / 8
		s.call(fr, q)
	}
	first.Wait()
	time.Sleep(keySpacing)
}

// drawRequest draws a request. The clients of some wait longer than the time that the
// platform allows for a shutdown.
func (s *soak) drawRequest(rng *rand.Rand, k int) fakes.Request {
	q := drawRequest(rng, k)
	if rng.IntN(10) == 0 {
		q.Timeout = s.maxDeadline + time.Duration(rng.Int64N(int64(s.maxDeadline)))
	}
	return q
}

// drawAhead draws requests that are sent in one write. They have no order key, as requests of
// one key must be written apart, and their client does not disconnect.
func (s *soak) drawAhead(rng *rand.Rand, k int) (requests []fakes.Request) {
	for range 1 + rng.IntN(maxPipelined) {
		q := s.drawRequest(rng, k)
		q.DisconnectAfter = 0
		if q.Class == entry {
			q.Class, q.Key = lookup, ""
		}
		requests = append(requests, s.complete(q))
	}
	return requests
}

// acceptsConnections reports whether clients may open connections to a front end: the platform
// sends none some time after SIGTERM.
func (s *soak) acceptsConnections(fr *frontEnd) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, shuttingDown := s.termAt[fr.addr]
	return !shuttingDown || time.Since(at) < newConnectionsAfterTerm
}

// sendSignals sends series of signals to front ends until end.
func (s *soak) sendSignals(rng *rand.Rand, end time.Time) {
	for time.Until(end) > 2*time.Second {
		time.Sleep(time.Duration(300+rng.IntN(900)) * time.Millisecond)
		fr := s.fronts[rng.IntN(len(s.fronts))]
		within := func(limit time.Duration) { time.Sleep(time.Duration(rng.Int64N(int64(limit)))) }
		switch rng.IntN(7) {
		case 0:
			fr.process.Signal(syscall.SIGHUP)
			within(earlyTermWindow)
			fr.process.Signal(syscall.SIGHUP)
		case 1:
			s.restart(fr, func() {
				within(earlyTermWindow)
				fr.process.Signal(syscall.SIGTERM)
			})
		case 2:
			s.restart(fr, func() {
				within(killAfterDeadline)
				fr.process.Signal(syscall.SIGHUP)
			})
		case 3:
			s.restartEarly(fr, func() { within(earlyTermWindow) })
		case 4:
			var all sync.WaitGroup
			for _, one := range s.fronts {
				delay := time.Duration(rng.Int64N(int64(fleetTermWindow)))
				all.Go(func() {
					time.Sleep(delay)
					s.restart(one, func() {})
				})
			}
			all.Wait()
		case 5:
			s.kill(fr)
		default:
			s.restart(fr, func() {})
		}
	}
}

// beginRestart records that a front end is being restarted, and returns the function that
// starts its next process.
func (s *soak) beginRestart(fr *frontEnd) (startNext func()) {
	s.fleet.mu.Lock()
	s.restarts[fr.addr] = append(s.restarts[fr.addr], fakes.Restart{From: time.Now()})
	last := len(s.restarts[fr.addr]) - 1
	s.fleet.mu.Unlock()
	s.mu.Lock()
	s.termAt[fr.addr] = time.Now()
	s.mu.Unlock()
	return func() {
		started := time.Now()
		s.writeConfig(fr)
		s.startProcess(fr)
		s.fleet.mu.Lock()
		s.restarts[fr.addr][last].Until = time.Now()
		s.fleet.mu.Unlock()
		s.mu.Lock()
		delete(s.termAt, fr.addr)
		s.mu.Unlock()
		if ready := time.Since(started); ready > maxReadyTime {
			s.reportProcess("%s was ready %v after its start", fr.config.Name, ready)
		}
	}
}

// reportProcess records a violation by a process.
func (s *soak) reportProcess(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processErrors = append(s.processErrors, fmt.Sprintf(format, args...))
}

// restart sends SIGTERM, further signals, and SIGKILL as soon as the protocol allows, and
// starts the next process.
func (s *soak) restart(fr *frontEnd, furtherSignals func()) {
	startNext := s.beginRestart(fr)
	s.terminate(fr, furtherSignals)
	startNext()
}

// terminate ends the process of a front end.
func (s *soak) terminate(fr *frontEnd, furtherSignals func()) {
	killAt := time.Now().Add(s.maxDeadline + killAfterDeadline)
	fr.process.Signal(syscall.SIGTERM)
	furtherSignals()
	code, ended := fr.process.EndsWithin(time.Until(killAt))
	if !ended {
		s.mu.Lock()
		s.killed++
		s.mu.Unlock()
		fr.process.Kill()
		return
	}
	if code != 0 {
		s.reportProcess("%s exited with status %d after SIGTERM", fr.config.Name, code)
	}
}

// restartEarly restarts a front end and sends SIGTERM to the new process within its first
// moments, before it can be expected to serve.
func (s *soak) restartEarly(fr *frontEnd, wait func()) {
	startNext := s.beginRestart(fr)
	s.terminate(fr, func() {})
	environment := fakes.ProgramEnvironment(fr.path, "", s.t.TempDir())
	fr.setProcess(testprocess.StartMutant(s.t, s.deployment.mutant, environment))
	wait()
	fr.process.Signal(syscall.SIGTERM)
	if _, ended := fr.process.EndsWithin(s.maxDeadline + killAfterDeadline); !ended {
		fr.process.Kill()
	}
	startNext()
}

// kill kills the process of a front end without SIGTERM. The requests open then are lost.
func (s *soak) kill(fr *frontEnd) {
	startNext := s.beginRestart(fr)
	s.killProcess(fr)
	startNext()
}

// gatherCrowds opens idle connections to a front end, more than it has descriptors, and closes
// them again. The front end must then have no more descriptors open than its clients and
// engines need.
func (s *soak) gatherCrowds(rng *rand.Rand, end time.Time) {
	for time.Until(end) > 4*time.Second {
		fr := s.fronts[rng.IntN(len(s.fronts))]
		process := fr.current()
		before, wasRunning := process.Usage()
		crowd := fakes.Restart{From: time.Now()}
		var connections []net.Conn
		for range crowdConnections {
			if conn, err := net.DialTimeout("tcp", fr.addr, time.Second); err == nil {
				connections = append(connections, conn)
			}
		}
		time.Sleep(time.Duration(500+rng.IntN(1000)) * time.Millisecond)
		for _, conn := range connections {
			_ = conn.Close()
		}
		crowd.Until = time.Now().Add(time.Second) // until all of them are known to have closed
		s.mu.Lock()
		s.inCrowd = append(s.inCrowd, crowd)
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		if after, running := process.Usage(); wasRunning && running {
			s.checkUsage(fr, before, after)
		}
	}
}

// checkUsage checks that a front end has no more descriptors open after a crowd than before, but
// for its clients, and that it holds no more than half of its memory.
func (s *soak) checkUsage(fr *frontEnd, before, after testprocess.Usage) {
	if after.Descriptors > before.Descriptors+*clientCount {
		s.reportProcess("%s has %d descriptors open after a crowd, %d before",
			fr.config.Name, after.Descriptors, before.Descriptors)
	}
	if maxBytes := fr.config.Limits.MemoryMB << 20 / 2; after.MemoryBytes > maxBytes && !testprocess.RaceEnabled {
		s.reportProcess("%s holds %d bytes after a crowd, half of its limit is %d",
			fr.config.Name, after.MemoryBytes, maxBytes)
	}
}

// soakMutants are programs without one of the guards that the rules of the soak rely on.
var soakMutants = []mutanttest.Mutant{
	{
		Name: "open requests are not answered before SIGKILL",
		File: "internal/server/shutdown.go",
		Old:  "	if s.maxDeadlineMS > 0 {\n",
		New:  "	if s.maxDeadlineMS < 0 {\n",
	},
	{
		Name: "connections with a request count as idle",
		File: "internal/httpfront/timeouts.go",
		Old:  "	if lineproto.HasUnread(c.socket) || !c.state.CompareAndSwap(0, stateClosed) {\n",
		New:  "	if c.state.Store(stateClosed); lineproto.HasUnread(c.socket) && false {\n",
	},
	{
		Name: "sockets of clients that have left stay open",
		File: "internal/httpfront/connection.go",
		Old:  "		_ = c.socket.Close()\n		<-s.slots\n",
		New: "		s.loop.After(1e9, func() { _ = c.socket })\n" +
			"		<-s.slots\n",
	},
	{
		Name: "attempts go on after the client has left",
		File: "internal/httpfront/connection.go",
		Old:  "		default:\n			s.abandon(ex)\n",
		New:  "		default:\n",
	},
}

// maxMutantSeeds bounds the number of seeds within which the soak must find a missing guard.
const maxMutantSeeds = 4

// TestSoakFindsMissingGuards checks that the soak reports violations of a program that lacks
// one of the guards.
func TestSoakFindsMissingGuards(t *testing.T) {
	for _, mutant := range soakMutants {
		t.Run(mutant.Name, func(t *testing.T) {
			for i := range uint64(maxMutantSeeds) {
				seed := *firstSeed + i
				violations := playSoak(t, seed, soakVariant(seed%uint64(soakVariantCount)), &mutant).violations()
				if len(violations) > 0 {
					t.Logf("seed %d: %d violations, the first: %s", seed, len(violations), violations[0])
					return
				}
			}
			t.Errorf("no violation within %d seeds", maxMutantSeeds)
		})
	}
}
