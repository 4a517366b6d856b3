package mysql_test

import (
	"cmp"
	"database/sql"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	driver "github.com/go-sql-driver/mysql"

	"dewhill/internal/faultplan"
	"dewhill/internal/faulttest"
	"dewhill/internal/mutanttest"
	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

var (
	loadCount      = flag.Int("loads", 300, "number of loads, each retried until it gets a final response")
	frontEndCount  = flag.Int("fronts", 5, "number of front ends")
	fleetSeed      = flag.Uint64("seed", 1, "seed of faults and clients")
	faultsDuration = flag.Duration("lasts", 6*time.Second, "duration of the faults")
)

// loadFleetClients is the number of clients that send loads to the fleet.
const loadFleetClients = 24

// loadFleetCluster is a cluster configuration with short times, so that the fleet
// detects faults within the duration of a test.
const loadFleetCluster = `on = true
period_ms = 300
retry_ms = 80
suspect_min_ms = 600
suspect_max_ms = 1200
reconnect_ms = 600
datagrams_per_second = 15
[replica]
on = true
`

// Error codes with which the MySQL front end answers a load.
const (
	codeTooManyConnections = 1040
	codeServerShutdown     = 1053
	codeFailed             = 1105
	codeMayHaveRun         = 1180
	codeRejected           = 1226
	codeDeadline           = 3024
)

// retryableCodes are the codes of errors after which a client sends its load again:
// the load did not run, or its id prevents a second run. They include all errors of
// engines: the repeat is told whether the load may have run.
var retryableCodes = []uint16{codeTooManyConnections, codeServerShutdown, codeFailed, codeRejected, codeDeadline,
	engineNoSuchTable, engineDeadlock, engineDuplicate, engineInterrupted, engineUnknownCode}

// loadAnswer is the final response to a load: one of the constants below, or the text
// of another error.
type loadAnswer string

const (
	unanswered loadAnswer = ""
	succeeded  loadAnswer = "ok"
	mayHaveRun loadAnswer = "may have run"
)

// loadFleetOptions describe a fleet, the faults and the loads that clients send.
type loadFleetOptions struct {
	seed     uint64
	size     int // number of front ends
	loads    int
	maxRunMS int // each step of a statement takes less than this
	// errorRate is the part of the runs that engines answer with an error.
	errorRate float64
	mutant    *mutanttest.Mutant
	faults    faultplan.Timeline
	noDisks   bool // front ends have no state directories
	maxOpen   int  // limit of open requests of a front end; 0: the default
	// clusterConfig replaces loadFleetCluster, unless it is empty. Without replicated state
	// there are no leases.
	clusterConfig string
}

// loadFleet is a fleet with the MySQL front end enabled, to which clients send loads
// with ids.
type loadFleet struct {
	*faulttest.Fleet
	t         *testing.T
	options   loadFleetOptions
	engines   []*mysql.FakeEngine
	cfg       mysql.Config
	paths     []string  // of the MySQL front ends' files
	addrs     []string  // of the MySQL front ends
	databases []*sql.DB // one for each front end
	answers   []loadAnswer
}

// loadResults summarize the responses to the loads.
type loadResults struct {
	answered   int
	mayHaveRun int
	violations []string // loads that ran twice, or whose response is missing or wrong
}

// runLoadFleet starts a fleet and lets clients send loads while faults are injected.
func runLoadFleet(t *testing.T, options loadFleetOptions) loadResults {
	t.Helper()
	f := startLoadFleet(t, options)
	return f.sendLoadsDuring(func() { f.RunTimeline(options.faults) })
}

// sendLoadsDuring lets clients send loads while faults are injected.
func (f *loadFleet) sendLoadsDuring(injectFaults func()) loadResults {
	var faults sync.WaitGroup
	faults.Go(injectFaults)
	f.sendLoads()
	faults.Wait()
	f.KillAll()
	return f.results()
}

func startLoadFleet(t *testing.T, options loadFleetOptions) *loadFleet {
	t.Helper()
	cfg, engines := newConfig(t, 3)
	cfg.Limits.MaxOpenRequests = options.maxOpen
	for _, e := range engines {
		e.SetBehavior(runAtRandomLength(options))
	}
	var addrs, paths []string
	for range options.size {
		cfg.Listen = testprocess.FreeAddr(t)
		addrs = append(addrs, cfg.Listen)
		paths = append(paths, writeConfig(t, &cfg))
	}
	f := &loadFleet{
		t: t, options: options, engines: engines, cfg: cfg, paths: paths, addrs: addrs,
		answers: make([]loadAnswer, options.loads),
	}
	f.Fleet = faulttest.Start(t, faulttest.Options{
		Seed:          options.seed,
		Size:          options.size,
		Engines:       1,
		Mutant:        options.mutant,
		Durable:       !options.noDisks,
		ClusterConfig: cmp.Or(options.clusterConfig, loadFleetCluster),
		Args:          func(i int) []string { return []string{"-mysql", paths[i]} },
	})
	if _, converged := f.AwaitConvergence(testprocess.WaitTimeout); !converged {
		t.Fatal("the views of the front ends did not converge after the start")
	}
	if options.clusterConfig == "" {
		testprocess.Until(t, "all front ends to vote", f.allVote)
	}
	f.openDatabases(addrs)
	return f
}

// engineErrorActions are the errors of engines in a fleet: statements that were refused,
// rolled back, interrupted before or after their effect, or that failed for a reason that
// the front ends don't know.
var engineErrorActions = []string{
	fmt.Sprintf("error %d", engineNoSuchTable),
	fmt.Sprintf("error %d", engineDeadlock),
	fmt.Sprintf("error %d", codeRejected),
	fmt.Sprintf("error %d", engineDuplicate),
	fmt.Sprintf("run-error %d", engineDuplicate),
	fmt.Sprintf("error %d", engineInterrupted),
	fmt.Sprintf("run-error %d", engineInterrupted),
	fmt.Sprintf("run-error %d", codeServerShutdown),
	fmt.Sprintf("run-error %d", engineUnknownError),
	fmt.Sprintf("run-error %d", engineUnknownCode),
	fmt.Sprintf("rows-error %d", engineDeadlock),
}

// runAtRandomLength returns a behavior of an engine in which each step takes a random
// time, and in which a part of the runs is answered with an error.
func runAtRandomLength(options loadFleetOptions) func(step, sql string) string {
	rng := rand.New(rand.NewPCG(options.seed, 9))
	var mu sync.Mutex
	return func(string, string) string {
		mu.Lock()
		ms := rng.IntN(options.maxRunMS)
		action := ""
		if rng.Float64() < options.errorRate {
			action = engineErrorActions[rng.IntN(len(engineErrorActions))]
		}
		mu.Unlock()
		time.Sleep(time.Duration(ms) * time.Millisecond)
		return action
	}
}

// reportedLeases is what a front end reports about leases.
type reportedLeases struct {
	Votes   bool
	Claimed int // loads whose leases are held
	Ended   int // loads with a known outcome
}

// leaseState returns what a front end reports about leases, if it answers.
func leaseState(front *faulttest.FrontEnd) (leases reportedLeases, ok bool) {
	var state struct{ Loads reportedLeases }
	status, body := faulttest.Call(front.ControlAddr, "GET", "state")
	if status != 200 || json.Unmarshal(body, &state) != nil {
		return leases, false
	}
	return state.Loads, true
}

// allVote reports whether all front ends vote on leases.
func (f *loadFleet) allVote() bool {
	return !slices.ContainsFunc(f.Fronts, func(front *faulttest.FrontEnd) bool {
		state, ok := leaseState(front)
		return !ok || !state.Votes
	})
}

func (f *loadFleet) openDatabases(addrs []string) {
	f.t.Helper()
	if err := silenceDriver(); err != nil {
		f.t.Fatal(err)
	}
	for _, addr := range addrs {
		db, err := sql.Open("mysql", "app:secret@tcp("+addr+")/trips?timeout=500ms&readTimeout=4s&writeTimeout=1s")
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = db.Close() })
		f.databases = append(f.databases, db)
	}
}

// loadStatement returns the statement of a load, which contains the load's id.
func loadStatement(load int) string {
	return fmt.Sprintf("INSERT /* dewhill: id=load-%d */ INTO trips_%d VALUES (%d)", load, load, load)
}

// sendLoads lets the clients send all loads. Each client pauses for a random time before
// each load, so that the loads are spread over the duration of the faults.
func (f *loadFleet) sendLoads() {
	deadline := time.Now().Add(*faultsDuration + 2*testprocess.WaitTimeout)
	maxPause := int64(2*(*faultsDuration)*loadFleetClients) / int64(f.options.loads)
	var clients sync.WaitGroup
	for client := range loadFleetClients {
		clients.Go(func() {
			rng := rand.New(rand.NewPCG(f.options.seed, uint64(client)))
			for load := client; load < f.options.loads; load += loadFleetClients {
				time.Sleep(time.Duration(rng.Int64N(maxPause)))
				f.answers[load] = f.sendUntilAnswered(loadStatement(load), rng, deadline)
			}
		})
	}
	clients.Wait()
}

// sendUntilAnswered sends a load through random front ends until it gets a final
// response or the deadline passes.
func (f *loadFleet) sendUntilAnswered(statement string, rng *rand.Rand, deadline time.Time) loadAnswer {
	for time.Now().Before(deadline) {
		_, err := f.databases[rng.IntN(len(f.databases))].Exec(statement)
		if answer := finalAnswer(err); answer != unanswered {
			return answer
		}
		time.Sleep(time.Duration(10+rng.IntN(200)) * time.Millisecond)
	}
	return unanswered
}

// finalAnswer converts the error of a statement to the response to its load. It returns
// unanswered if the load must be sent again.
func finalAnswer(err error) loadAnswer {
	var failure *driver.MySQLError
	switch {
	case err == nil:
		return succeeded
	case !errors.As(err, &failure): // an error of the connection
		return unanswered
	case failure.Number == codeMayHaveRun:
		return mayHaveRun
	case slices.Contains(retryableCodes, failure.Number):
		return unanswered
	default:
		return loadAnswer(err.Error())
	}
}

// results compares the responses to the loads with the statements that the engines ran.
func (f *loadFleet) results() loadResults {
	runs := map[string]int{}
	successes := map[string]int{}
	for _, e := range f.engines {
		for statement, times := range e.RunCounts() {
			runs[statement] += times
		}
		for statement, times := range e.SuccessCounts() {
			successes[statement] += times
		}
	}
	var results loadResults
	for load, answer := range f.answers {
		if answer != unanswered {
			results.answered++
		}
		if answer == mayHaveRun {
			results.mayHaveRun++
		}
		if violation := ruleViolation(answer, runs[loadStatement(load)], successes[loadStatement(load)]); violation != "" {
			results.violations = append(results.violations, fmt.Sprintf("load %d %s", load, violation))
		}
	}
	return results
}

// ruleViolation describes how a load with this response, this number of runs and of runs
// that an engine answered without an error breaks the rule that each load runs at most
// once and gets one correct response. It returns an empty string if the load keeps the
// rule.
func ruleViolation(answer loadAnswer, runs, successes int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("ran %d times", runs)
	case answer == unanswered:
		return "has no final response"
	case answer == mayHaveRun:
		return ""
	case answer != succeeded:
		return fmt.Sprintf("got the unexpected response %q", answer)
	case runs != 1:
		return fmt.Sprintf("was reported as successful, but ran %d times", runs)
	case successes != 1:
		return "was reported as successful, but its engine answered with an error"
	default:
		return ""
	}
}

// singleVoteMajorityMutant is a program that counts a single vote as a majority.
var singleVoteMajorityMutant = mutanttest.Mutant{
	Name: "single vote majority",
	File: "internal/lease/proposer.go",
	Old:  "return majority(m.members.clusterSize)",
	New:  "return 1",
}

// errorsCompletedMutant is a program that records a load as completed whatever its engine
// answers.
var errorsCompletedMutant = mutanttest.Mutant{
	Name: "errors completed",
	File: "internal/mysql/leases.go",
	Old:  "	switch o.loadResult() {",
	New: "	if o.err == nil && o.result != nil && o.result.OK == nil {\n" +
		"		return lease.Completed, okPacket(0, 0)\n" +
		"	}\n" +
		"	switch o.loadResult() {",
}

// isolationWithKills returns faults that partition the first of three front ends from
// the others and kill it repeatedly while it has loads in flight.
func isolationWithKills() faultplan.Timeline {
	isolated := []int{0}
	faults := []faultplan.Fault{{Kind: faultplan.Partition, StartMS: 0, DurationMS: 9000, Targets: isolated}}
	for k := range 6 {
		startMS := float64(1000 + 1500*k)
		faults = append(faults, faultplan.Fault{Kind: faultplan.ProcessKill, StartMS: startMS, DurationMS: 300, Targets: isolated})
	}
	return faultplan.Timeline{Seed: *fleetSeed, Size: 3, Faults: faults}
}

// TestLoadsOfTheFleetRunOnce checks that no load with an id runs twice and that each gets
// one correct response, although clients retry loads through other front ends while front
// ends are killed, paused and partitioned and engines answer with errors. To show that the
// check can fail, it also requires that a program in which one vote is a majority and one
// that records errors of engines as completed loads violate the rule.
func TestLoadsOfTheFleetRunOnce(t *testing.T) {
	t.Run("program", func(t *testing.T) {
		faultsMS := float64(*faultsDuration / time.Millisecond)
		results := runLoadFleet(t, loadFleetOptions{
			seed:      *fleetSeed,
			size:      *frontEndCount,
			loads:     *loadCount,
			maxRunMS:  150,
			errorRate: 0.2,
			faults:    faultplan.Generate(*fleetSeed, *frontEndCount, 10, faultsMS),
		})
		t.Logf("%d loads got a response, %d of them %q", results.answered, results.mayHaveRun, mayHaveRun)
		if len(results.violations) > 0 {
			t.Errorf("%d violations, the first: %s", len(results.violations), results.violations[0])
		}
		if results.mayHaveRun > *loadCount/4 {
			t.Errorf("%d of %d loads got the response that they may have run: too many for a useful check",
				results.mayHaveRun, *loadCount)
		}
	})
	t.Run(singleVoteMajorityMutant.Name, func(t *testing.T) {
		results := runLoadFleet(t, loadFleetOptions{
			seed:     *fleetSeed,
			size:     3,
			loads:    300,
			maxRunMS: 800,
			mutant:   &singleVoteMajorityMutant,
			faults:   isolationWithKills(),
		})
		t.Logf("%d violations", len(results.violations))
		if len(results.violations) == 0 {
			t.Error("the check found no violation in a program in which one vote is a majority")
		}
	})
	t.Run(errorsCompletedMutant.Name, func(t *testing.T) {
		results := runLoadFleet(t, loadFleetOptions{
			seed:      *fleetSeed,
			size:      3,
			loads:     300,
			maxRunMS:  50,
			errorRate: 0.2,
			mutant:    &errorsCompletedMutant,
			faults:    faultplan.Timeline{Seed: *fleetSeed, Size: 3},
		})
		t.Logf("%d violations", len(results.violations))
		if len(results.violations) == 0 {
			t.Error("the check found no violation in a program that records errors of engines as completed loads")
		}
	})
}
