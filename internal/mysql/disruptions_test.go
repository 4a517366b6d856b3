package mysql_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/faulttest"
	"dewhill/internal/mysql"
	"dewhill/internal/testprocess"
)

// The limits of disruptions, as the pages state them.
const (
	crossingTime  = 50 * time.Millisecond  // a statement sent within it before a close may be lost
	movedTime     = 500 * time.Millisecond // after a reload, until nothing begins at an old address
	maxReadyTime  = 10 * time.Second       // of a front end that was started again
	answerSlack   = 1500 * time.Millisecond
	soakClients   = 16
	maxRepeats    = 6 // of a load with an id
	soakDeadlines = 20 * time.Second
	earlierLoads  = 2000 // loads that a replicated fleet knows before the disruptions
	crowdClients  = 60   // that connect at once
	crowdLimit    = 16   // open requests of a front end
)

// withoutReplication is a cluster configuration in which front ends share no state.
var withoutReplication = strings.Split(loadFleetCluster, "[replica]")[0]

// errorsWithoutInterrupts are the errors of engines other than that of a KILL QUERY: a client
// that waits for its answer must not get that one.
var errorsWithoutInterrupts = slices.DeleteFunc(slices.Clone(engineErrorActions), func(action string) bool {
	return strings.HasSuffix(action, fmt.Sprint(" ", engineInterrupted))
})

// soakStatement is a statement of a client, with its answers.
type soakStatement struct {
	text       string // without the mark of a retry
	hasID      bool
	answers    []mysql.Answer
	unanswered int // times that it was sent without an answer
}

// refusedOnly reports whether each answer said that nothing ran.
func (s *soakStatement) refusedOnly() bool {
	isOther := func(a mysql.Answer) bool {
		return a.Code != codeRejected || !strings.Contains(a.Message, "nothing ran")
	}
	return len(s.answers) > 0 && s.unanswered == 0 && !slices.ContainsFunc(s.answers, isOther)
}

// wasInterrupted reports whether an answer was that of a KILL QUERY.
func (s *soakStatement) wasInterrupted() bool {
	return slices.ContainsFunc(s.answers, func(a mysql.Answer) bool { return a.Code == engineInterrupted })
}

// succeeded reports whether an answer was OK.
func (s *soakStatement) succeeded() bool {
	return slices.ContainsFunc(s.answers, func(a mysql.Answer) bool { return a.Code == 0 })
}

// frontState is what clients know of a front end.
type frontState struct {
	termAt   time.Time // of the SIGTERM of the current process; zero: none
	killedAt time.Time // of the last SIGKILL that came without a planned restart
}

// disruptedFleet is a fleet of MySQL front ends under disruptions, with the records of its
// clients.
type disruptedFleet struct {
	*loadFleet
	replicates bool
	spare      *mysql.FakeEngine // another server of the first engine

	mu         sync.Mutex
	fronts     []frontState
	statements []*soakStatement
	violations []string
	movedAt    map[*mysql.FakeEngine]time.Time // when a server was left by its engine
}

func startDisruptedFleet(t *testing.T, seed uint64, size int, replicates bool) *disruptedFleet {
	t.Helper()
	d := &disruptedFleet{replicates: replicates, movedAt: map[*mysql.FakeEngine]time.Time{}}
	options := loadFleetOptions{seed: seed, size: size, maxRunMS: 1, noDisks: true, maxOpen: crowdLimit}
	if replicates {
		options.loads = earlierLoads
	} else {
		options.clusterConfig = withoutReplication
	}
	d.loadFleet = startLoadFleet(t, options)
	d.fronts = make([]frontState, size)
	if replicates {
		d.sendEarlierLoads()
	}
	d.spare = mysql.NewFakeEngine(t, d.engines[0].ID, "inner")
	rng := rand.New(rand.NewPCG(seed, 21))
	for _, engine := range append(slices.Clone(d.engines), d.spare) {
		engine.SetBehavior(d.behavior(engine, rand.New(rand.NewPCG(rng.Uint64(), 1))))
	}
	return d
}

// sendEarlierLoads sends the earlier loads, and waits until all front ends know them.
func (d *disruptedFleet) sendEarlierLoads() {
	d.t.Helper()
	testprocess.Until(d.t, "the earlier loads to succeed", func() bool { return d.sendLoadsAtOnce() == earlierLoads })
	testprocess.Until(d.t, "all front ends to know the earlier loads", func() bool { return d.allKnow(earlierLoads) })
}

// behavior returns the behavior of an engine: statements take a random time, and some end
// with an error or with the connection.
func (d *disruptedFleet) behavior(engine *mysql.FakeEngine, rng *rand.Rand) func(step, sql string) string {
	return func(step, sql string) string {
		d.mu.Lock()
		defer d.mu.Unlock()
		if movedAt := d.movedAt[engine]; !movedAt.IsZero() && time.Since(movedAt) > movedTime {
			d.violations = append(d.violations, fmt.Sprintf("%s began at a server that its engine left %v before: %s", step, time.Since(movedAt), sql))
		}
		if step == "prepare" {
			return ""
		}
		switch rng.IntN(60) {
		case 0:
			return errorsWithoutInterrupts[rng.IntN(len(errorsWithoutInterrupts))]
		case 1:
			return "close"
		case 2:
			return "run-close"
		case 3:
			return fmt.Sprintf("wait %d", 2000+rng.IntN(6000))
		default:
			return fmt.Sprintf("wait %d", 1+rng.IntN(120))
		}
	}
}

func (d *disruptedFleet) reportf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.violations = append(d.violations, fmt.Sprintf(format, args...))
}

// mayConnect and maySend report whether clients use a front end that has received SIGTERM.
func (d *disruptedFleet) mayConnect(front int) bool { return d.sinceTerm(front) < connectAfterTerm }

func (d *disruptedFleet) maySend(front int) bool { return d.sinceTerm(front) < sendAfterTerm }

func (d *disruptedFleet) sinceTerm(front int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fronts[front].termAt.IsZero() {
		return 0
	}
	return time.Since(d.fronts[front].termAt)
}

// wasKilled reports whether a front end was killed after a time, without a planned restart.
func (d *disruptedFleet) wasKilled(front int, after time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fronts[front].killedAt.After(after)
}

// disruptFrontEnds restarts and kills front ends until a time. With replicated state one at a
// time is without its memory.
func (d *disruptedFleet) disruptFrontEnds(rng *rand.Rand, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		front := rng.IntN(len(d.Fronts))
		switch rng.IntN(4) {
		case 0:
			d.killAndStart(front)
		default:
			d.restartFront(front)
		}
	}
}

// disruptEngines moves an engine, makes engines greet late, and lets crowds come, until a time.
func (d *disruptedFleet) disruptEngines(rng *rand.Rand, end time.Time) {
	onSpare := false
	for time.Now().Before(end) {
		time.Sleep(time.Duration(100+rng.IntN(300)) * time.Millisecond)
		switch rng.IntN(4) {
		case 0, 1:
			onSpare = !onSpare
			d.move(onSpare)
		case 2:
			d.delayLogins(rng)
		default:
			d.sendCrowd(rng.IntN(len(d.Fronts)))
		}
	}
}

// sendCrowd lets many clients send a read to a front end at once.
func (d *disruptedFleet) sendCrowd(front int) {
	var crowd sync.WaitGroup
	for n := range crowdClients {
		crowd.Go(func() {
			c := &soakClient{d: d, number: soakClients, sent: n, rng: rand.New(rand.NewPCG(d.options.seed, uint64(n)))}
			c.connections = make([]*mysql.RawClient, len(d.Fronts))
			statement := &soakStatement{text: fmt.Sprintf("SELECT a FROM trips_1.t /* crowd %d */", n)}
			c.sendOnce(statement, statement.text, front, false)
			c.closeConnection(front)
		})
	}
	crowd.Wait()
}

func (d *disruptedFleet) killAndStart(front int) {
	d.mu.Lock()
	d.fronts[front].killedAt = time.Now().Add(time.Second) // until connections have been reset
	d.mu.Unlock()
	d.Signal(d.Fronts[front], syscall.SIGKILL)
	d.startFront(front)
}

func (d *disruptedFleet) restartFront(front int) {
	d.mu.Lock()
	d.fronts[front].termAt = time.Now()
	d.mu.Unlock()
	d.Terminate(d.Fronts[front], killAfterTerm)
	d.startFront(front)
}

// startFront starts a front end's process and waits until it is ready.
func (d *disruptedFleet) startFront(front int) {
	startedAt := time.Now()
	d.StartProcess(d.Fronts[front])
	d.mu.Lock()
	d.fronts[front].termAt = time.Time{}
	d.mu.Unlock()
	testprocess.Until(d.t, d.Fronts[front].Name+" to be ready", d.Fronts[front].IsReady)
	if took := time.Since(startedAt); took > maxReadyTime {
		d.reportf("%s was ready after %v", d.Fronts[front].Name, took)
	}
}

// move moves the first engine to its other server, or back, and has all front ends reload.
func (d *disruptedFleet) move(toSpare bool) {
	from, to := d.spare, d.engines[0]
	if toSpare {
		from, to = to, from
	}
	for i, path := range d.paths {
		d.cfg.Listen = d.addrs[i]
		d.cfg.Engines[0].Address = to.Addr
		writeConfigTo(d.t, path, &d.cfg)
	}
	d.mu.Lock()
	d.movedAt[to] = time.Time{}
	d.mu.Unlock()
	allReloaded := true
	for _, front := range d.Fronts {
		allReloaded = d.reload(front) && allReloaded
	}
	d.mu.Lock()
	if allReloaded {
		d.movedAt[from] = time.Now()
	}
	d.mu.Unlock()
}

// reload has a front end read its file again, and reports whether it has read it, or was
// started after it was written.
func (d *disruptedFleet) reload(front *faulttest.FrontEnd) bool {
	const maxTime = 2 * time.Second
	reloads := func() int { return strings.Count(front.Log(), "engines read") }
	// A process that has just started does not handle signals yet.
	for end := time.Now().Add(maxTime); !strings.Contains(front.Log(), "listening on "); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return !front.Running()
		}
	}
	before := reloads()
	d.Signal(front, syscall.SIGHUP)
	for end := time.Now().Add(maxTime); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if after := reloads(); after > before || !front.Running() {
			return true
		}
	}
	return false
}

// delayLogins makes engines greet some connections late.
func (d *disruptedFleet) delayLogins(rng *rand.Rand) {
	engine := d.engines[rng.IntN(len(d.engines))]
	seed := rng.Uint32()
	engine.SetLoginDelay(func(connectionID uint32) time.Duration {
		if (connectionID^seed)%4 > 0 {
			return 0
		}
		return time.Duration((connectionID*seed)%900) * time.Millisecond
	})
}

// checkRuns compares the answers with the statements that the engines ran.
func (d *disruptedFleet) checkRuns() {
	runs := map[string]int{}
	successes := map[string]int{}
	unmarked := func(sql string) string { return strings.Replace(sql, " retry=yes", "", 1) }
	for _, engine := range append(slices.Clone(d.engines), d.spare) {
		for sql, n := range engine.RunCounts() {
			runs[unmarked(sql)] += n
		}
		for sql, n := range engine.SuccessCounts() {
			successes[unmarked(sql)] += n
		}
	}
	for _, s := range d.statements {
		isLoad := strings.HasPrefix(s.text, "INSERT")
		switch {
		case isLoad && runs[s.text] > 1:
			d.reportf("%s ran %d times; %d unanswered, answers %v", s.text, runs[s.text], s.unanswered, s.answers)
		case isLoad && s.succeeded() && successes[s.text] == 0:
			d.reportf("%s was answered with OK and did not succeed; answers %v", s.text, s.answers)
		case isLoad && s.refusedOnly() && runs[s.text] > 0:
			d.reportf("%s ran, and its answers are refusals: %v", s.text, s.answers)
		}
		if s.wasInterrupted() {
			d.reportf("%s was interrupted, although its client waited: %v", s.text, s.answers)
		}
	}
}

// TestSoakUnderDisruptions checks the answers to statements, the runs of loads and the time
// until front ends are ready, while front ends are restarted and killed, engines move, answer
// with errors or late, and clients leave and repeat their loads.
func TestSoakUnderDisruptions(t *testing.T) {
	for i := range *soakSeeds {
		seed := *fleetSeed + uint64(i)
		for _, replicates := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d replicated %v", seed, replicates), func(t *testing.T) {
				checkUnderDisruptions(t, seed, replicates)
			})
		}
	}
}

func checkUnderDisruptions(t *testing.T, seed uint64, replicates bool) {
	t.Helper()
	d := startDisruptedFleet(t, seed, 3+2*int(seed%2), replicates)
	end := time.Now().Add(*faultsDuration)
	var clients sync.WaitGroup
	for n := range soakClients {
		clients.Go(func() {
			c := &soakClient{d: d, number: n, rng: rand.New(rand.NewPCG(seed, uint64(100+n)))}
			c.connections = make([]*mysql.RawClient, len(d.Fronts))
			c.run(end)
		})
	}
	clients.Go(func() { d.disruptEngines(rand.New(rand.NewPCG(seed, 23)), end) })
	d.disruptFrontEnds(rand.New(rand.NewPCG(seed, 22)), end)
	clients.Wait()
	if replicates {
		d.sendLoadsAtOnce()
		if twice := d.runsTwice(); twice > 0 {
			t.Errorf("%d loads ran twice", twice)
		}
	}
	d.KillAll()
	d.checkRuns()
	answers := 0
	for _, s := range d.statements {
		answers += len(s.answers)
	}
	t.Logf("%d statements, %d answers", len(d.statements), answers)
	for _, violation := range d.violations {
		t.Error(violation)
	}
}
