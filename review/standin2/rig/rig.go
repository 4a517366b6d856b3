// Package rig starts the project's programs with the command of the deploy file, and keeps
// the record of a case.
package rig

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held      = 0
	Broken    = 1
	CannotRun = 2
)

// Rig is the surroundings of one case.
type Rig struct {
	Root    string // of the repository
	Tmp     string // removed at the end
	Trouble bool   // false: play the case without its disruption
	started time.Time

	ending    sync.Once
	mu        sync.Mutex
	record    *os.File
	processes []*Process
}

// timeLimit is the longest time of a case.
const timeLimit = 110 * time.Second

// Main plays a case and exits with its code. caseDir is the folder of the case. Whatever ends
// the case, all processes that it started are ended.
func Main(root, caseDir string, play func(*Rig) (broken string)) {
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	tmp, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(CannotRun)
	}
	r := &Rig{Root: root, Tmp: tmp, Trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { r.Fail("got %v", <-signals) }()
	time.AfterFunc(timeLimit, func() { r.Fail("it took longer than %v", timeLimit) })
	r.Logf("disruption: %v", r.Trouble)
	if broken := play(r); broken != "" {
		r.Logf("BROKEN: %s", broken)
		r.exit(Broken)
	}
	r.Logf("the rule held")
	r.exit(Held)
}

// exit ends the processes and the program.
func (r *Rig) exit(code int) {
	r.ending.Do(func() {
		r.endAll()
		r.logProcesses()
		_ = os.RemoveAll(r.Tmp)
		_ = r.record.Close()
		os.Exit(code)
	})
	select {} // another goroutine ends the program
}

// Logf writes a line to the record and to standard output.
func (r *Rig) Logf(format string, args ...any) {
	line := fmt.Sprintf("%7.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.record.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Fail ends the case: it can't run.
func (r *Rig) Fail(format string, args ...any) {
	r.Logf("the case could not run: %s", fmt.Sprintf(format, args...))
	r.exit(CannotRun)
}

// Check ends the case if there is an error.
func (r *Rig) Check(err error) {
	if err != nil {
		r.Fail("%v", err)
	}
}

// Until waits until a condition holds, or ends the case.
func (r *Rig) Until(what string, limit time.Duration, condition func() bool) {
	for end := time.Now().Add(limit); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			r.Fail("waited %v in vain for %s", limit, what)
		}
	}
}

// FreeTCP returns a free loopback address.
func (r *Rig) FreeTCP() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Check(err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// FreeUDP returns a free loopback address for datagrams.
func (r *Rig) FreeUDP() string {
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	r.Check(err)
	defer func() { _ = c.Close() }()
	return c.LocalAddr().String()
}

// WriteJSON writes a file in the temporary folder and returns its path.
func (r *Rig) WriteJSON(name string, value any) string {
	text, err := json.MarshalIndent(value, "", " ")
	r.Check(err)
	return r.WriteText(name, string(text))
}

// WriteText writes a file in the temporary folder and returns its path.
func (r *Rig) WriteText(name, text string) string {
	path := filepath.Join(r.Tmp, name)
	r.Check(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Process is a front end's process.
type Process struct {
	Name string
	rig  *Rig
	cmd  *exec.Cmd
	log  string
	done chan struct{}
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// StartFront starts a front end with the command of the deploy file and these arguments.
// config is the file for PROXY_CONFIG; empty: none.
func (r *Rig) StartFront(name, config string, args ...string) *Process {
	deploy, err := os.ReadFile(filepath.Join(r.Root, "deploy", "balancer.toml"))
	r.Check(err)
	match := runLine.FindSubmatch(deploy)
	if match == nil {
		r.Fail("no run line in the deploy file")
	}
	command := string(match[1])
	for _, arg := range args {
		command += " '" + arg + "'"
	}
	private, err := os.MkdirTemp(r.Tmp, "tmpdir-")
	r.Check(err)
	log, err := os.CreateTemp(r.Tmp, "log-"+name+"-")
	r.Check(err)
	defer func() { _ = log.Close() }()
	p := &Process{Name: name, rig: r, log: log.Name(), done: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", "-c", command)
	p.cmd.Dir = r.Root
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "TMPDIR=" + private}
	if config != "" {
		p.cmd.Env = append(p.cmd.Env, "PROXY_CONFIG="+config)
	}
	r.Check(p.cmd.Start())
	r.Logf("front end %s: process %d started", name, p.cmd.Process.Pid)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	p.rig.Logf("front end %s: process %d gets %v", p.Name, p.cmd.Process.Pid, signal)
	_ = p.cmd.Process.Signal(signal)
}

// Kill kills the process and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Log returns what the process has written.
func (p *Process) Log() string {
	text, _ := os.ReadFile(p.log)
	return string(text)
}

// all returns the processes that were started.
func (r *Rig) all() []*Process {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.processes)
}

func (r *Rig) endAll() {
	for _, p := range r.all() {
		if p.Running() {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
}

// logProcesses adds the logs of the processes to the record, without the long counters.
func (r *Rig) logProcesses() {
	for _, p := range r.all() {
		r.Logf("log of front end %s, process %d:", p.Name, p.cmd.Process.Pid)
		for line := range strings.SplitSeq(strings.TrimSpace(p.Log()), "\n") {
			r.mu.Lock()
			_, _ = r.record.WriteString("    " + line[:min(len(line), 300)] + "\n")
			r.mu.Unlock()
		}
	}
}

// MySQLConfig returns the content of deploy/mysql.json, turned on, with another address and
// other engines. The caller may change it further.
func (r *Rig) MySQLConfig(listen string, engines map[string]string) map[string]any {
	text, err := os.ReadFile(filepath.Join(r.Root, "deploy", "mysql.json"))
	r.Check(err)
	var config map[string]any
	r.Check(json.Unmarshal(text, &config))
	config["on"] = true
	config["listen"] = listen
	config["accounts"] = []any{map[string]any{"user": "uploader", "password": "secret", "database": "stock"}}
	var list []any
	for id, addr := range engines {
		list = append(list, map[string]any{"id": id, "address": addr, "kind": "small", "user": "dewhill", "password": "secret"})
	}
	config["engines"] = list
	return config
}

// Accepts reports whether something listens at an address.
func Accepts(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// HTTP makes a request on a connection of its own.
func HTTP(method, url string, timeout time.Duration) (status int, body string, err error) {
	client := &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, "", err
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
