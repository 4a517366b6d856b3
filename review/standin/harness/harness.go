// Package harness starts the program with the command of the deploy file and keeps the
// record of a case.
package harness

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	Invalid = 2
)

// Case is a running case.
type Case struct {
	Root    string // of the repository
	Temp    string
	Trouble bool

	started time.Time
	mu      sync.Mutex
	record  *os.File
	procs   []*Process
}

// New starts the record of the case in a folder of review/.
func New(folder string) *Case {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fatal(err)
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal(err)
	}
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		fatal(err)
	}
	c := &Case{Root: root, Temp: temp, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	c.Logf("trouble: %v", c.Trouble)
	return c
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, "case can't run:", err)
	os.Exit(Invalid)
}

// Logf writes a line to the record.
func (c *Case) Logf(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.record != nil {
		_, _ = fmt.Fprintf(c.record, "%8.3f %s\n", time.Since(c.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// End ends all processes and the case, with the exit code.
func (c *Case) End(code int, format string, args ...any) {
	c.Logf("result %d: %s", code, fmt.Sprintf(format, args...))
	for _, p := range c.procs {
		p.Kill()
	}
	c.mu.Lock()
	_ = c.record.Close()
	c.record = nil
	c.mu.Unlock()
	_ = os.RemoveAll(c.Temp)
	fmt.Printf("%s\n", fmt.Sprintf(format, args...))
	os.Exit(code)
}

// Must ends the case as one that could not run if err is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.End(Invalid, "could not run: %v", err)
	}
}

// FreeAddr returns a loopback address whose port is free.
func (c *Case) FreeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// WriteJSON writes a value to a file of the temporary folder, replacing it whole.
func (c *Case) WriteJSON(name string, value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	c.Must(err)
	path := filepath.Join(c.Temp, name)
	c.Must(os.WriteFile(path+".new", data, 0o600))
	c.Must(os.Rename(path+".new", path))
	return path
}

// Process is a process of the program.
type Process struct {
	Name   string
	c      *Case
	cmd    *exec.Cmd
	exited chan struct{}
	mu     sync.Mutex
	log    strings.Builder
}

var runPattern = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// Start starts the program by the deploy file's run command, with arguments added, as
// /bin/sh -c from the root.
func (c *Case) Start(name string, env []string, args string) *Process {
	text, err := os.ReadFile(filepath.Join(c.Root, "deploy", "balancer.toml"))
	c.Must(err)
	run := runPattern.FindSubmatch(text)
	if run == nil {
		c.End(Invalid, "no run command in the deploy file")
	}
	command := string(run[1]) + " " + args
	p := &Process{Name: name, c: c, cmd: exec.Command("/bin/sh", "-c", command), exited: make(chan struct{})}
	tmp := filepath.Join(c.Temp, "tmp-"+name)
	c.Must(os.MkdirAll(tmp, 0o700))
	p.cmd.Dir = c.Root
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the main thread's, see main
	p.cmd.Env = append(os.Environ(), "TMPDIR="+tmp, "PROXY_CONFIG=", "PROXY_NAME=", "PROXY_LISTEN=", "PROXY_CONTROL=")
	p.cmd.Env = append(p.cmd.Env, env...)
	p.cmd.Stdout, p.cmd.Stderr = p, p
	c.Logf("%s: started: %s", name, command)
	c.Must(p.cmd.Start())
	c.procs = append(c.procs, p)
	go func() {
		err := p.cmd.Wait()
		c.Logf("%s: ended: %v", name, err)
		close(p.exited)
	}()
	return p
}

// Write records a part of the process's log.
func (p *Process) Write(b []byte) (int, error) {
	p.mu.Lock()
	p.log.Write(b)
	p.mu.Unlock()
	for line := range strings.SplitSeq(strings.TrimRight(string(b), "\n"), "\n") {
		if len(line) > 300 {
			line = line[:300] + " ..."
		}
		p.c.Logf("%s log: %s", p.Name, line)
	}
	return len(b), nil
}

// Log returns the log so far.
func (p *Process) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// AwaitLog waits until the log has a text for the n-th time.
func (p *Process) AwaitLog(text string, n int, timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.Count(p.Log(), text) >= n {
			return true
		}
	}
	return false
}

// Signal sends a signal.
func (p *Process) Signal(s syscall.Signal) {
	p.c.Logf("%s: %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	select {
	case <-p.exited:
		return
	default:
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
}

// Exited reports whether the process ends within a time.
func (p *Process) Exited(timeout time.Duration) bool {
	select {
	case <-p.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}
