package acceptance

import (
	"encoding/json"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/mutanttest"
	"dewhill/internal/testprocess"
)

// deployment describes a fleet under test.
type deployment struct {
	fronts           int                // number of front ends that are started
	configuredFronts int                // number of front ends in the settings; 0: the same as fronts
	cores            int                // of an engine
	sockets          int                // limit of a front end; 0: 1024
	mutant           *mutanttest.Mutant // a program with a guard removed; nil: the unmodified program
	// configure changes the configuration of each front end before it is written; nil: no
	// change.
	configure func(config *fakes.ProgramConfig, settings map[string]any)
}

// The classes of the settings: lookups and reports, which are idempotent; entries, which
// engines deduplicate by the idempotency key and which run in order for each order key; and
// loads, which must not run twice.
const (
	lookup = "lookup"
	report = "report"
	entry  = "entry"
	load   = "load"
)

const (
	drainGrace = 2 * time.Second
	keySettle  = 300 * time.Millisecond

	retryBudgetBase       = 2
	retryBudgetPerRequest = 0.1
	retryBudgetWindow     = 5 * time.Second

	// maxDiscoveryDelay is the time after which front ends must have received a published
	// update, although they could not reach the discovery service in between.
	maxDiscoveryDelay = 7 * time.Second
)

// settings returns the settings of the front end with an ordinal.
func (d deployment) settings(ordinal int) map[string]any {
	replicas := d.configuredFronts
	if replicas == 0 {
		replicas = d.fronts
	}
	class := func(name, effect string, objectiveMS, deadlineMS, weight float64, inOrder bool) map[string]any {
		return map[string]any{"name": name, "aimMs": objectiveMS, "aimStretch": 2, "hardLimitMs": deadlineMS, "value": weight, "lateValue": 0.2,
			"effect": effect, "group": "all", "windowMs": 20000, "sequential": inOrder}
	}
	return map[string]any{
		"categories": []any{class(lookup, "pure", 1000, 5000, 1, false), class(report, "pure", 2000, 20000, 6, false),
			class(entry, "token", 3000, 20000, 4, true), class(load, "side_effect", 3000, 20000, 4, false)},
		"hostTypes": []string{"std"}, "localities": []string{"here"}, "discovery": "push",
		"replicasOfMe": replicas, "ordinal": ordinal, "tickMs": 5, "overShareWorth": 0.2,
		"customers": []any{map[string]any{"name": "first", "allowancePerS": 100}, map[string]any{"name": "second", "allowancePerS": 50}},
		"domain": map[string]any{"coresByKind": []int{d.cores}, "memoryByKindMb": []float64{16384}, "dop": []int{1, 4, 2, 2},
			"classLoad": []bool{false, false, true, true}, "blockedByLoads": []bool{true, true, false, false}, "progressMs": 300},
		"reporting": map[string]any{"via": "none"},
		"contract": map[string]any{"graceToAnswerMs": 20, "stopSendingWithinMs": drainGrace.Milliseconds(), "orderSettleMs": keySettle.Milliseconds(),
			"spareAttempts": retryBudgetBase, "extraPerRequest": retryBudgetPerRequest, "countedOverMs": retryBudgetWindow.Milliseconds(), "fallMultiple": 3, "fallMs": 1500, "coldShare": 0.31, "warmWithinMs": 15000},
		"limits": map[string]any{"cancel": true, "retryAfter": true, "maxRetryAfterMs": 500, "tryLimit": 4, "connectTimeoutMs": 250,
			"connIdleMs": 15000, "streamsPerConn": 100, "maxOpen": 20000},
	}
}

// fleet is a group of running front ends with their fake engines and discovery service.
type fleet struct {
	t          *testing.T
	deployment deployment
	engines    []*fakes.Engine
	discovery  *fakes.Discovery
	// discoveryAddr is the address of discoveryRelay, which forwards to the discovery service.
	discoveryAddr  string
	discoveryRelay *fakes.Relay
	fronts         []*frontEnd

	mu        sync.Mutex
	replies   []fakes.Outcome
	drainedAt map[string]time.Time
	// restarts and kills are the restarts of front ends and the periods from SIGKILL to the
	// end of their process, by address.
	restarts       map[string][]fakes.Restart
	kills          map[string][]fakes.Restart
	discoveryDelay time.Duration // after which front ends must have received an update
	requestCount   int
}

// frontEnd is a front end. Its process may be restarted.
type frontEnd struct {
	addr, path string
	config     fakes.ProgramConfig

	mu      sync.Mutex
	process *testprocess.Process
}

// killProcess kills the process of a front end. A process may answer for some time after the
// signal: on a busy host it takes a while to die.
func (f *fleet) killProcess(fr *frontEnd) {
	f.mu.Lock()
	f.kills[fr.addr] = append(f.kills[fr.addr], fakes.Restart{From: time.Now()})
	last := len(f.kills[fr.addr]) - 1
	f.mu.Unlock()
	fr.process.Kill()
	f.mu.Lock()
	f.kills[fr.addr][last].Until = time.Now()
	f.mu.Unlock()
}

// current returns the front end's latest process.
func (fr *frontEnd) current() *testprocess.Process {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	return fr.process
}

func (fr *frontEnd) setProcess(p *testprocess.Process) {
	fr.mu.Lock()
	defer fr.mu.Unlock()
	fr.process = p
}

// start starts front ends whose endpoint list has all engines. They stop when the test ends.
func start(t *testing.T, d deployment, engines []*fakes.Engine) *fleet {
	t.Helper()
	endpoints := make([]fakes.Endpoint, len(engines))
	for i, e := range engines {
		endpoints[i] = endpoint(e, fakes.Active)
	}
	return startOn(t, d, engines, endpoints)
}

// startOn starts front ends with an endpoint list. The endpoints may lead to the engines
// through relays.
func startOn(t *testing.T, d deployment, engines []*fakes.Engine, endpoints []fakes.Endpoint) *fleet {
	t.Helper()
	discovery := fakes.NewDiscovery(t, endpoints)
	relay := fakes.NewRelay(t, discovery.Addr)
	f := &fleet{
		t:              t,
		deployment:     d,
		engines:        engines,
		discovery:      discovery,
		discoveryAddr:  relay.Addr,
		discoveryRelay: relay,
		drainedAt:      map[string]time.Time{},
		restarts:       map[string][]fakes.Restart{},
		kills:          map[string][]fakes.Restart{},
	}
	for i := range d.fronts {
		f.fronts = append(f.fronts, f.newFrontEnd(i))
	}
	for _, fr := range f.fronts {
		f.startProcess(fr)
	}
	return f
}

// endpoint returns the endpoint of an engine.
func endpoint(e *fakes.Engine, health string) fakes.Endpoint {
	return fakes.Endpoint{ID: e.ID, Address: e.Addr, Zone: "here", Kind: "std", State: health, Size: 1}
}

// newFrontEnd returns a front end that is not running yet, and writes its configuration.
func (f *fleet) newFrontEnd(i int) *frontEnd {
	f.t.Helper()
	fr := &frontEnd{addr: testprocess.FreeAddr(f.t), path: filepath.Join(f.t.TempDir(), "config.json")}
	sockets := f.deployment.sockets
	if sockets == 0 {
		sockets = 1024
	}
	fr.config = fakes.ProgramConfig{
		Name:             fmt.Sprintf("n%d", i),
		Listen:           fr.addr,
		Seed:             fmt.Sprintf("%016x", 77+i),
		Limits:           fakes.LimitsWithSockets(sockets),
		DiscoveryAddress: f.discoveryAddr,
	}
	settings := f.deployment.settings(i)
	if f.deployment.configure != nil {
		f.deployment.configure(&fr.config, settings)
	}
	var err error
	if fr.config.Settings, err = json.Marshal(settings); err != nil {
		f.t.Fatal(err)
	}
	f.writeConfig(fr)
	return fr
}

// writeConfig writes a front end's configuration with all updates that the discovery service
// has published so far, as the platform does before it starts a process.
func (f *fleet) writeConfig(fr *frontEnd) {
	f.t.Helper()
	fr.config.InitialUpdates, _ = f.discovery.UpdatesAfter(0)
	if err := fr.config.Write(fr.path); err != nil {
		f.t.Error(err)
	}
}

// startProcess starts a front end's process and waits until it is healthy.
func (f *fleet) startProcess(fr *frontEnd) {
	f.t.Helper()
	fr.setProcess(testprocess.StartMutant(f.t, f.deployment.mutant, fakes.ProgramEnvironment(fr.path, "", f.t.TempDir())))
	testprocess.Until(f.t, "the front end to be healthy", func() bool { return fakes.Healthy(fr.addr) })
}

// call sends a request to a front end and records the response. It fills in an ID, a
// statement and an entry's idempotency key if the request has none.
func (f *fleet) call(fr *frontEnd, q fakes.Request) fakes.Outcome {
	q = f.complete(q)
	r := fakes.Call(fr.addr, q)
	f.record(r)
	return r
}

// record records outcomes for the check of the rules.
func (f *fleet) record(outcomes ...fakes.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replies = append(f.replies, outcomes...)
}

// complete fills in what a request lacks.
func (f *fleet) complete(q fakes.Request) fakes.Request {
	f.mu.Lock()
	f.requestCount++
	number := f.requestCount
	f.mu.Unlock()
	if q.ID == "" {
		q.ID = fmt.Sprintf("%016x", number)
	}
	if q.Statement == "" {
		q.Statement = fmt.Sprintf("SELECT 1 FROM count_%d.sites WHERE tag = '%s'", number%7, q.ID)
	}
	if q.Class == entry && q.IdempotencyKey == "" {
		q.IdempotencyKey = "5c0f6e1a2b3d4c59" + q.ID
	}
	return q
}

// rowsOf returns the rows that all engines send for a request.
func rowsOf(id string) [][]string { return [][]string{{id, "1", "x"}, {id, "2", "y"}} }

// pagesOf returns the rows of rowsOf as pages of an engine's reply.
func pagesOf(id string) []string { return []string{id + "\t1\tx\n", id + "\t2\ty\n"} }

// violations returns the rule violations that the records show so far.
func (f *fleet) violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	rules := fakes.Rules{
		OrderedClasses:       map[string]bool{entry: true},
		NotIdempotentClasses: map[string]bool{load: true},
		KeySettle:            keySettle,
		DrainGrace:           drainGrace,
		Rows:                 rowsOf,
		DrainedAt:            f.drainedAt,
		Restarts:             f.restarts,
		Kills:                f.kills,
		RetryBudget: fakes.RetryBudget{
			Base:       retryBudgetBase,
			PerRequest: retryBudgetPerRequest,
			Window:     retryBudgetWindow,
		},
	}
	return rules.Check(f.replies, f.engines)
}

// outcomes counts the requests so far by their outcome.
func (f *fleet) outcomes() (served, refused, failed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range f.replies {
		switch {
		case r.Served():
			served++
		case r.Status == 429 || r.Status == 503:
			refused++
		case r.Written && !r.Disconnected:
			failed++
		}
	}
	return served, refused, failed
}

// maxPrintedViolations bounds the rule violations that a failing test prints.
const maxPrintedViolations = 12

// checkRules fails the test if a rule was violated.
func (f *fleet) checkRules() {
	f.t.Helper()
	broken := f.violations()
	for _, b := range broken[:min(len(broken), maxPrintedViolations)] {
		f.t.Error(b)
	}
	if len(broken) > maxPrintedViolations {
		f.t.Errorf("and %d more violations", len(broken)-maxPrintedViolations)
	}
	served, refused, failed := f.outcomes()
	f.t.Logf("%d requests served, %d refused, %d failed; %d rule violations", served, refused, failed, len(broken))
}
