// Package faulttest starts a fleet of front-end processes on loopback, with fake engines
// and a fake discovery service, and injects faults into the processes and the network
// between them on a timeline (internal/faultplan). It records all events and prints the
// seed and the history when a test fails.
//
// Every front end has an address of its own in 127.0.0.0/8, and a relay forwards the
// datagrams of each directed pair of front ends.
//
//   - fleet.go: the fleet and its processes
//   - config.go: the configuration files of a front end
//   - relay.go: the network between front ends
//   - timeline.go: injecting the faults of a timeline
//   - view.go: the front ends' views of the fleet, read by the operators' API
//   - clients.go: clients' requests and the rules that must hold for them
package faulttest

import (
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/mutanttest"
	"dewhill/internal/testprocess"
)

// engineDuration is how long a fake engine works on a request.
const engineDuration = 5 * time.Millisecond

// Options describe a fleet.
type Options struct {
	Seed          uint64
	Size          int // front ends
	Engines       int
	ClusterConfig string             // the text of group.toml
	Mutant        *mutanttest.Mutant // a program with a guard removed; nil: the unmodified program
	// SeedCount is the number of seeds, which are the first front ends. If it is above 0,
	// front ends have no configured peers and use no relays.
	SeedCount int
	Durable   bool                     // each front end has a state directory
	Args      func(index int) []string // further arguments of the program; nil: none
}

// FrontEnd is a front end of the fleet. Its name and addresses stay the same when its
// process ends and is started again.
type FrontEnd struct {
	Index       int
	Name        string
	Addr        string // for clients
	ControlAddr string // for operators
	StateDir    string // empty: no state directory
	configPath  string
	clusterPath string // of group.toml
	tempDir     string

	mu      sync.Mutex
	process *testprocess.Process // nil: not running
}

// Fleet is a running fleet.
type Fleet struct {
	Fronts    []*FrontEnd
	Engines   []*fakes.Engine
	Discovery *fakes.Discovery

	t         testing.TB
	options   Options
	relays    *relayNetwork
	startedAt time.Time

	mu           sync.Mutex
	history      []string
	requests     map[string]*clientRequest // by ID
	requestOrder []string                  // IDs
}

// Start starts a fleet and returns when all front ends are ready. The fleet is stopped
// when the test ends.
func Start(t testing.TB, options Options) *Fleet {
	t.Helper()
	if options.Args == nil {
		options.Args = func(int) []string { return nil }
	}
	f := &Fleet{t: t, options: options, startedAt: time.Now(), requests: map[string]*clientRequest{}}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d; history:\n%s", options.Seed, f.History())
		}
	})
	f.startEngines()
	var peerAddrs []netip.AddrPort
	for i := range options.Size {
		peerAddrs = append(peerAddrs, freeUDPAddr(t, net.IPv4(127, 1, 0, byte(i+1))))
	}
	relays, err := newRelayNetwork(options.Seed, peerAddrs)
	if err != nil {
		t.Fatal(err)
	}
	f.relays = relays
	t.Cleanup(relays.close)
	for i := range options.Size {
		front := f.newFrontEnd(i, peerAddrs)
		f.Fronts = append(f.Fronts, front)
		f.StartProcess(front)
	}
	for _, front := range f.Fronts {
		testprocess.Until(t, front.Name+" to be ready", front.IsReady)
	}
	return f
}

// startEngines starts the fake engines and the fake discovery service that lists them.
func (f *Fleet) startEngines() {
	f.t.Helper()
	var endpoints []fakes.Endpoint
	for i := range f.options.Engines {
		engine := fakes.NewEngine(f.t, fmt.Sprintf("s-%02d", i), func(fakes.Attempt) fakes.Behavior {
			return fakes.Behavior{Duration: engineDuration, Pages: []string{"a\tb\tc\n"}}
		})
		f.Engines = append(f.Engines, engine)
		endpoints = append(endpoints, engine.Endpoint(fakes.Active))
	}
	f.Discovery = fakes.NewDiscovery(f.t, endpoints)
}

// freeUDPAddr returns an address with an unused UDP port.
func freeUDPAddr(t testing.TB, ip net.IP) netip.AddrPort {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: ip})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// Record adds a line to the history.
func (f *Fleet) Record(format string, args ...any) {
	elapsed := time.Since(f.startedAt).Seconds()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.history = append(f.history, fmt.Sprintf("%8.3f s  %s", elapsed, fmt.Sprintf(format, args...)))
}

// History returns the recorded events, one per line.
func (f *Fleet) History() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.history, "\n")
}

// StartProcess starts a front end's process, unless it is running.
func (f *Fleet) StartProcess(front *FrontEnd) {
	front.mu.Lock()
	defer front.mu.Unlock()
	if front.process != nil {
		return
	}
	f.Record("%s: process started", front.Name)
	environment := fakes.ProgramEnvironment(front.configPath, "", front.tempDir)
	args := append([]string{"-group", front.clusterPath}, f.options.Args(front.Index)...)
	front.process = testprocess.StartMutant(f.t, f.options.Mutant, environment, args...)
}

// Signal sends a signal to a front end's process, if it is running. After SIGKILL and
// SIGTERM it waits until the process has ended.
func (f *Fleet) Signal(front *FrontEnd, signal syscall.Signal) {
	front.mu.Lock()
	defer front.mu.Unlock()
	if front.process == nil {
		return
	}
	f.Record("%s: signal %v", front.Name, signal)
	front.process.Signal(signal)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		front.process.Wait()
		front.process = nil
	}
}

// seriesPause is the time between the signals of a series.
const seriesPause = 20 * time.Millisecond

// Terminate ends a front end's process, if it is running, as a platform does: SIGTERM, then
// SIGKILL if the process is still running after killAfter. It sends further signals in between.
func (f *Fleet) Terminate(front *FrontEnd, killAfter time.Duration, further ...syscall.Signal) {
	front.mu.Lock()
	defer front.mu.Unlock()
	if front.process == nil {
		return
	}
	killAt := time.Now().Add(killAfter)
	for _, signal := range append([]syscall.Signal{syscall.SIGTERM}, further...) {
		f.Record("%s: signal %v", front.Name, signal)
		front.process.Signal(signal)
		time.Sleep(seriesPause)
	}
	code, ended := front.process.EndsWithin(time.Until(killAt))
	switch {
	case !ended:
		f.Record("%s: signal %v", front.Name, syscall.SIGKILL)
		front.process.Kill()
	case code != 0:
		f.t.Errorf("%s exited with status %d after SIGTERM", front.Name, code)
	}
	front.process = nil
}

// KillAll kills the processes of all front ends.
func (f *Fleet) KillAll() {
	for _, front := range f.Fronts {
		f.Signal(front, syscall.SIGKILL)
	}
}

// StartAll starts the processes of all front ends that are not running.
func (f *Fleet) StartAll() {
	for _, front := range f.Fronts {
		f.StartProcess(front)
	}
}

// Running reports whether the front end has a process, which may be paused.
func (fe *FrontEnd) Running() bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return fe.process != nil
}

// Log returns the log of the front end's process, or an empty string if it is not running.
func (fe *FrontEnd) Log() string {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.process == nil {
		return ""
	}
	return fe.process.Log()
}

// IsReady reports whether the front end says that it is ready: it accepts requests, and
// another front end may be restarted.
func (fe *FrontEnd) IsReady() bool {
	status, _ := Call(fe.ControlAddr, "GET", "ready")
	return status == 200
}
