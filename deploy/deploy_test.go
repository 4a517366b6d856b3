// Package deploy_test checks deploy/balancer.toml and the front end's sources against the
// requirements of the platform's fleet test: the build links externally with cgo enabled,
// the resulting binary is linked dynamically against the C library, the run command ends
// with an exec of one process, the files with decisions stay within their size limit, and
// the front end's code starts no programs and uses no Unix sockets, splice, sendfile or
// io_uring.
package deploy_test

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// maxPolicyFileLines bounds the non-blank lines of each file that `policy` lists.
const maxPolicyFileLines = 500

// balancer holds the keys of deploy/balancer.toml that the platform reads.
type balancer struct {
	Build    string   `toml:"build"`
	Run      string   `toml:"run"`
	Sim      string   `toml:"sim"`
	Policy   []string `toml:"policy"`
	Node     []string `toml:"node"`
	Packages []string `toml:"packages"`
}

// root returns the repository's root directory.
func root(t *testing.T) string {
	t.Helper()
	dir, err := filepath.Abs("..")
	if err != nil {
		t.Fatal(err)
	}
	return dir
}

// load reads deploy/balancer.toml. Keys that the platform does not read are an error.
func load(t *testing.T) balancer {
	t.Helper()
	var b balancer
	md, err := toml.DecodeFile(filepath.Join(root(t), "deploy", "balancer.toml"), &b)
	if err != nil {
		t.Fatalf("deploy/balancer.toml: %v", err)
	}
	if un := md.Undecoded(); len(un) > 0 {
		t.Fatalf("deploy/balancer.toml: keys the platform does not read: %v", un)
	}
	return b
}

// TestDeployFileKeepsItsKeys checks that each required key has a value and that all files
// and folders that the deploy file lists exist.
func TestDeployFileKeepsItsKeys(t *testing.T) {
	b := load(t)
	for name, v := range map[string]string{"build": b.Build, "run": b.Run, "sim": b.Sim} {
		if strings.TrimSpace(v) == "" {
			t.Errorf("%s is empty", name)
		}
	}
	if len(b.Policy) == 0 || len(b.Node) == 0 {
		t.Fatalf("policy %v and node %v must both name files", b.Policy, b.Node)
	}
	for _, p := range append(slices.Clone(b.Policy), b.Node...) {
		if _, err := os.Stat(filepath.Join(root(t), p)); err != nil {
			t.Errorf("deploy file names %s: %v", p, err)
		}
	}
}

// TestBuildLinksExternallyWithCgo checks the flags in the build command.
func TestBuildLinksExternallyWithCgo(t *testing.T) {
	b := load(t)
	if !strings.Contains(b.Build, "-ldflags=-linkmode=external") {
		t.Errorf("build %q does not link externally", b.Build)
	}
	if !strings.Contains(b.Build, "CGO_ENABLED=1") {
		t.Errorf("build %q does not enable cgo", b.Build)
	}
}

// TestRunEndsByExecInOneProcess guards against a run command that leaves a shell or a
// pipeline running besides the program: the platform's fleet test expects one process.
func TestRunEndsByExecInOneProcess(t *testing.T) {
	b := load(t)
	steps := strings.Split(b.Run, "&&")
	last := strings.TrimSpace(steps[len(steps)-1])
	if !strings.HasPrefix(last, "exec ") {
		t.Fatalf("run %q does not end with exec", b.Run)
	}
	if strings.ContainsAny(last, "|&;") {
		t.Fatalf("run %q starts more than one process at its end", b.Run)
	}
}

// TestPolicyNamesTheDecisions checks that `policy` lists every file of package control,
// which makes the decisions, and that each file is within the size limit.
func TestPolicyNamesTheDecisions(t *testing.T) {
	b := load(t)
	for _, name := range b.Policy {
		if lines := nonBlankLines(t, filepath.Join(root(t), name)); lines > maxPolicyFileLines {
			t.Errorf("%s has %d non-blank lines, more than %d", name, lines, maxPolicyFileLines)
		}
	}
	files := sourceFiles(t, filepath.Join(root(t), "control"))
	if len(files) == 0 {
		t.Fatal("package control has no source files")
	}
	for _, file := range files {
		if name := "control/" + filepath.Base(file); !slices.Contains(b.Policy, name) {
			t.Errorf("policy does not name %s", name)
		}
	}
}

func nonBlankLines(t *testing.T, path string) int {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for line := range strings.Lines(string(text)) {
		if strings.TrimSpace(line) != "" {
			count++
		}
	}
	return count
}

// sourceFiles lists the Go files of a directory, without tests.
func sourceFiles(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(file string) bool { return strings.HasSuffix(file, "_test.go") })
}

// frontEndFiles lists the Go files of this repository's packages that the front end is
// built from. Files of libraries are not included.
func frontEndFiles(t *testing.T) []string {
	t.Helper()
	format := "{{if not .Standard}}{{.Dir}}{{end}}"
	out, err := exec.Command("go", "list", "-deps", "-f", format, "dewhill/cmd/dewhill").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	var files []string
	for _, dir := range strings.Fields(string(out)) {
		if strings.HasPrefix(dir, root(t)) {
			files = append(files, sourceFiles(t, dir)...)
		}
	}
	if len(files) == 0 {
		t.Fatal("the front end has no source files")
	}
	return files
}

// TestDeployBuildLinksDynamically runs the deploy file's build command and checks that the
// resulting binary has a program interpreter and needs libc.
func TestDeployBuildLinksDynamically(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	b := load(t)
	build := exec.Command("/bin/sh", "-c", b.Build)
	build.Dir = root(t)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build %q: %v\n%s", b.Build, err, out)
	}
	run := strings.Fields(strings.TrimSpace(b.Run))
	program := filepath.Join(root(t), run[len(run)-1])
	binary, err := elf.Open(program)
	if err != nil {
		t.Fatalf("%s: %v", program, err)
	}
	defer func() { _ = binary.Close() }()
	isInterpreter := func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }
	if !slices.ContainsFunc(binary.Progs, isInterpreter) {
		t.Errorf("%s has no program interpreter: linked statically", program)
	}
	libraries, err := binary.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	isLibc := func(name string) bool { return strings.HasPrefix(name, "libc.so") }
	if !slices.ContainsFunc(libraries, isLibc) {
		t.Errorf("%s needs %v, not the C library", program, libraries)
	}
}

// refusedByTheBench matches the imports and calls that the platform's fleet test refuses
// in a front end. io.Copy to a TCP connection may use splice or sendfile.
var refusedByTheBench = regexp.MustCompile(`"os/exec"|io\.Copy(N|Buffer)?\(|syscall\.(ForkExec|Exec|Sendfile|Splice)|` +
	`unix\.(Splice|Sendfile|IoUring)|"unix(gram|packet)?"|AF_UNIX|io_uring`)

// TestFrontEndStartsNoProgramsAndNoUnixSockets checks that the sources of the front end
// have no refused imports or calls.
func TestFrontEndStartsNoProgramsAndNoUnixSockets(t *testing.T) {
	for _, file := range frontEndFiles(t) {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if found := refusedByTheBench.Find(text); found != nil {
			t.Errorf("%s uses %s, which the platform's fleet test refuses", file, found)
		}
	}
}

// TestNoDeploymentInTheProgram checks that the packages that the front end is built from,
// deploy/balancer.toml and deploy/mysql.json contain no names of a deployment: neither those
// in deploy/sites nor those of the customer that the program was first written for. A class
// name that is also a word of the protocol ("load") can't be detected here; a test of
// internal/simproto checks that decisions depend on no name.
func TestNoDeploymentInTheProgram(t *testing.T) {
	names := append(siteNames(t), "lookup", "report", "std-8", "std-16", "sapporo", "billdesk", "barasat")
	files := append(frontEndFiles(t), filepath.Join(root(t), "deploy/balancer.toml"), filepath.Join(root(t), "deploy/mysql.json"))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range names {
			if strings.Contains(string(text), strconv.Quote(name)) {
				t.Errorf("%s contains %q, a name of a deployment", file, name)
			}
		}
	}
}

// siteNames lists the names that the files in deploy/sites define.
func siteNames(t *testing.T) []string {
	t.Helper()
	sites, err := filepath.Glob(filepath.Join(root(t), "deploy/sites/*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if len(sites) < 2 {
		t.Fatalf("%d files in deploy/sites, want at least 2", len(sites))
	}
	var names []string
	name := regexp.MustCompile(`(?m)^(?:name|zones) = \[?"(.*)"\]?$`)
	for _, site := range sites {
		text, err := os.ReadFile(site)
		if err != nil {
			t.Fatal(err)
		}
		trouble := strings.Index(string(text), "[[trouble]]")
		for _, match := range name.FindAllStringSubmatch(string(text[:trouble]), -1) {
			names = append(names, match[1])
		}
	}
	return names
}
