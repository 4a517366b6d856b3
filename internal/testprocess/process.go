// Package testprocess builds and starts the program for tests. It also returns free addresses, waits
// for conditions, and makes malformed inputs and inputs that arrive in chunks.
package testprocess

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dewhill/internal/mutanttest"
)

// WaitTimeout limits each wait of a test. It is only reached by a test that would otherwise hang.
const WaitTimeout = 60 * time.Second

const (
	conditionPollInterval = 2 * time.Millisecond
	maxPortAttempts       = 1000
	firstPort             = 10_000
	portCount             = 22_000

	// Fields of /proc/PID/stat, counted from 0 after the name of the program.
	userTicksField   = 11
	systemTicksField = 12
	clockTick        = 10 * time.Millisecond
)

// MaxDescriptors is the maximum number of descriptors of processes that are started later; 0: they
// inherit the limit of the test.
var MaxDescriptors = 0

// binaries holds the build of each mutant, by name; the program without a mutant has an empty name.
var binaries = struct {
	mu     sync.Mutex
	byName map[string]func() (string, error)
}{byName: map[string]func() (string, error){}}

// build returns the path of the program with a mutant, or without one if mutant is nil. Each is
// compiled once.
func build(mutant *mutanttest.Mutant) (string, error) {
	name := ""
	if mutant != nil {
		name = mutant.Name
	}
	binaries.mu.Lock()
	f := binaries.byName[name]
	if f == nil {
		f = sync.OnceValues(func() (string, error) { return compile(mutant) })
		binaries.byName[name] = f
	}
	binaries.mu.Unlock()
	return f()
}

func compile(mutant *mutanttest.Mutant) (string, error) {
	dir, err := os.MkdirTemp("", "dewhill-test-")
	if err != nil {
		return "", err
	}
	bin := filepath.Join(dir, "dewhill")
	args := []string{"build", "-o", bin}
	if mutant != nil {
		overlay, err := mutant.WriteOverlay(dir)
		if err != nil {
			return "", err
		}
		args = append(args, "-overlay", overlay)
	}
	if RaceEnabled {
		args = append(args, "-race")
	}
	out, err := exec.Command("go", append(args, "dewhill/cmd/dewhill")...).CombinedOutput()
	if err != nil {
		_, _ = os.Stderr.Write(out)
	}
	return bin, err
}

// Process is a process of the program.
type Process struct {
	t       testing.TB
	command *exec.Cmd
	exited  chan error // receives the result of the process once
	mu      sync.Mutex
	log     bytes.Buffer // standard output and standard error
}

// Write appends output of the process to the log.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

// Log returns the output of the program so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Start starts the program with arguments and with environment variables in addition to those of
// the test. The process is killed when the test ends.
func Start(t testing.TB, env []string, args ...string) *Process {
	t.Helper()
	return StartMutant(t, nil, env, args...)
}

// StartMutant does the same as Start with a mutant of the program, from which a guard is removed, to
// show that a check detects the missing guard. If mutant is nil, it starts the unchanged program.
func StartMutant(t testing.TB, mutant *mutanttest.Mutant, env []string, args ...string) *Process {
	t.Helper()
	bin, err := build(mutant)
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{t: t, command: exec.Command(bin, args...), exited: make(chan error, 1)}
	if MaxDescriptors > 0 {
		sh := []string{"-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, MaxDescriptors), bin}
		p.command = exec.Command("/bin/sh", append(sh, args...)...)
	}
	p.command.Env = append(os.Environ(), env...)
	p.command.Stdout, p.command.Stderr = p, p
	if err := p.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exited <- p.command.Wait() }()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("output of the program:\n%s", p.Log())
		}
	})
	return p
}

// LimitDescriptors sets the maximum number of descriptors of the running process.
func (p *Process) LimitDescriptors(descriptors uint64) {
	p.t.Helper()
	l := unix.Rlimit{Cur: descriptors, Max: descriptors}
	if err := unix.Prlimit(p.command.Process.Pid, unix.RLIMIT_NOFILE, &l, nil); err != nil {
		p.t.Fatal(err)
	}
}

// Signal sends the process a signal. It does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) { _ = p.command.Process.Signal(s) }

// Wait waits for the end of the process and returns its exit code.
func (p *Process) Wait() int {
	p.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(WaitTimeout):
		p.t.Fatalf("the program did not exit within %v", WaitTimeout)
	}
	return p.command.ProcessState.ExitCode()
}

// EndsWithin waits for the end of the process for a limited time, and reports whether it has ended
// and its exit code.
func (p *Process) EndsWithin(limit time.Duration) (exitCode int, ended bool) {
	select {
	case err := <-p.exited:
		p.exited <- err // for Wait
		return p.command.ProcessState.ExitCode(), true
	case <-time.After(limit):
		return 0, false
	}
}

// Usage is what a process holds of the host's resources.
type Usage struct {
	Descriptors int
	MemoryBytes int // resident
}

// Usage returns what the process holds, or false if it has ended.
func (p *Process) Usage() (usage Usage, running bool) {
	dir := fmt.Sprintf("/proc/%d/", p.command.Process.Pid)
	descriptors, err := os.ReadDir(dir + "fd")
	if err != nil {
		return Usage{}, false
	}
	statm, err := os.ReadFile(dir + "statm")
	if err != nil {
		return Usage{}, false
	}
	var totalPages, residentPages int
	if _, err := fmt.Sscan(string(statm), &totalPages, &residentPages); err != nil || residentPages == 0 {
		return Usage{}, false
	}
	return Usage{Descriptors: len(descriptors), MemoryBytes: residentPages * os.Getpagesize()}, true
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.t.Helper()
	p.Signal(syscall.SIGKILL)
	p.Wait()
}

// Stop ends the process with SIGTERM, expects exit code 0 and returns the counters that the process
// logs last.
func (p *Process) Stop() map[string]any {
	p.t.Helper()
	p.Signal(syscall.SIGTERM)
	if code := p.Wait(); code != 0 {
		p.t.Fatalf("the program exited with code %d after SIGTERM", code)
	}
	const prefix = "counters: "
	log := p.Log()
	start := strings.LastIndex(log, prefix)
	if start < 0 {
		p.t.Fatal("the program logged no counters")
	}
	var counters map[string]any
	if err := json.Unmarshal([]byte(log[start+len(prefix):]), &counters); err != nil {
		p.t.Fatalf("the logged counters are invalid: %v", err)
	}
	return counters
}

// Until waits until a condition holds, and fails the test if the condition does not hold within
// WaitTimeout. condition describes it for the message.
func Until(t testing.TB, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(conditionPollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", WaitTimeout, condition)
		}
	}
}

// FreeAddr returns a loopback address on which no socket listens. Its port is below the ports of
// outgoing connections, so that no connection takes the port before the program listens there or
// while the program is down.
func FreeAddr(t testing.TB) string {
	t.Helper()
	for range maxPortAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if _, used := usedAddrs.LoadOrStore(addr, true); used {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	t.Fatalf("no free port after %d attempts", maxPortAttempts)
	return ""
}

// usedAddrs holds the addresses that FreeAddr has tried: no address is returned twice.
var usedAddrs sync.Map

// CPUTime returns the processor time that the process has used so far, as a multiple of 10 ms.
func (p *Process) CPUTime() time.Duration {
	p.t.Helper()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	_, afterName, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(afterName)
	if len(fields) <= systemTicksField {
		p.t.Fatalf("/proc/PID/stat has too few fields: %s", stat)
	}
	ticks := 0
	for _, field := range []int{userTicksField, systemTicksField} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			p.t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// WriteTempFile writes a text to a file in a new directory, and returns the path of the file.
func WriteTempFile(t testing.TB, name, text string) (path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// ConnectedPair returns the two ends of a connection. Both are closed when the test ends.
func ConnectedPair(t testing.TB) (here, there net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	here, err = net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = here.Close() })
	there, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = there.Close() })
	return here, there
}

// WriteHalfThenRest makes the next reader of a path read the first half of a text, and later readers
// the whole text. The first reader reads from a pipe, which is replaced by the complete file before
// the pipe is closed. read makes the program read the path.
func WriteHalfThenRest(t testing.TB, path, text string, read func()) {
	t.Helper()
	pipe := path + ".pipe"
	complete := path + ".written"
	err := errors.Join(
		syscall.Mkfifo(pipe, 0o600),
		os.WriteFile(complete, []byte(text), 0o600),
		os.Rename(pipe, path),
	)
	if err != nil {
		t.Fatal(err)
	}
	read()
	half, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the program opens the pipe
	if err == nil {
		err = os.Rename(complete, path)
	}
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(half, text[:len(text)/2]); err != nil {
		t.Fatal(err)
	}
	if err := half.Close(); err != nil {
		t.Fatal(err)
	}
}
