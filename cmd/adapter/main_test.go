package main

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"dewhill/control"
	"dewhill/internal/simproto"
)

// Messages of the simulator.
const (
	batchStart1 = `{"t":"MARK","momentMs":10,"serial":1}` + "\n"
	batchStart2 = `{"t":"MARK","momentMs":20,"serial":2}` + "\n"
	batchEnd    = `{"t":"END"}` + "\n"

	// startInstance has % in place of the instance's number.
	startInstance = `{"t":"ENLIST","who":%,"initSeed":5,` +
		`"env":{"categories":[{"aimMs":500,"effect":"pure"}],"hostTypes":["k"],` +
		`"domain":{"coresByKind":[4],"dop":[1]},"replicasOfMe":1}}` + "\n" +
		`{"t":"CENSUS","page":0,"items":[{"engine":"h:1","mode":"live","size":1}]}` + "\n" +
		`{"t":"MEMBERSHIP","who":%,"scope":"restored","index":1,"page":0}` + "\n"
)

func start(instance string) string { return strings.ReplaceAll(startInstance, "%", instance) }

// buildAdapter builds the program and returns its path.
func buildAdapter(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "adapter")
	if output, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return path
}

// runAdapter runs the program on an input until it ends.
func runAdapter(path, input string) (stdout, stderr string, err error) {
	command := exec.Command(path)
	var stdoutBuffer, stderrBuffer bytes.Buffer
	command.Stdin = strings.NewReader(input)
	command.Stdout = &stdoutBuffer
	command.Stderr = &stderrBuffer
	err = command.Run()
	return stdoutBuffer.String(), stderrBuffer.String(), err
}

// The program serves two instances and a request over pipes and exits cleanly. On input
// that it cannot read, it writes one line to standard error and exits with an error.
func TestProgram(t *testing.T) {
	path := buildAdapter(t)
	stdout, _, err := runAdapter(path, batchStart1+start("0")+start("1")+batchEnd+
		batchStart2+`{"t":"DEMAND","who":1,"ref":"r1","class":0,"giveUpAtMs":900}`+"\n"+batchEnd)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		`{"t":"OK","serial":1}`,
		`{"t":"ISSUE","who":1,"ref":"r1","engine":"h:1","untilMs":900}`,
		`{"t":"OK","serial":2}`,
	} {
		if !strings.Contains(stdout, want+"\n") {
			t.Errorf("no %s in\n%s", want, stdout)
		}
	}
	for _, c := range []struct{ name, input, want string }{
		{"unknown verb", batchStart1 + `{"t":"NONSENSE","who":0}` + "\n", "NONSENSE"},
		{"instance not started", batchStart1 + `{"t":"TICK_DUE","who":0,"label":""}` + "\n", "instance 0"},
		{"batch without an end", batchStart1, "ended within"},
		{"batch without a start", batchEnd, "alternate"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, stderr, err := runAdapter(path, c.input)
			if err == nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, c.want) {
				t.Errorf("%q: error %v, standard error %q, want one line with %q", c.input, err, stderr, c.want)
			}
		})
	}
}

// A panic of a gateway is reported by the protocol's crash message.
func TestPanicIsReported(t *testing.T) {
	var broken control.Gateway // not made by New
	event := simproto.InstanceEvent{Instance: 2, Event: control.Event{
		Kind: control.EndpointSnapshot, Engines: []control.EngineInfo{{ID: "a"}},
	}}
	reply := string(appendActions(nil, &broken, 5, &event))
	if !strings.Contains(reply, `{"t":"CRASH","who":2,"msg":`) {
		t.Errorf("got %s", reply)
	}
}
