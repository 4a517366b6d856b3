package haproxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/testprocess"
)

// validFile is a configuration without fatal findings.
const validFile = `global
  maxconn 300
  log /dev/log local0   # a comment
defaults
  mode tcp
  timeout connect 3s
  timeout server 20s
  retries 2
frontend db
  bind *:3306
  default_backend engines
backend engines
  balance leastconn
  option mysql-check user probe
  default-server check weight 10
  server a 10.0.0.1:3306
  server b 10.0.0.2:3306 weight 20 maxconn 40
  server c 10.0.0.3:3306 disabled
backend spare
  server x 10.0.0.9:3306
`

// fatal returns the fatal findings of a list.
func fatal(list []Finding) (out []Finding) {
	for _, f := range list {
		if f.Fatal {
			out = append(out, f)
		}
	}
	return out
}

// TestImport checks the imported configuration, and that keywords that are not imported give notes.
func TestImport(t *testing.T) {
	c, found, err := Import(strings.NewReader(validFile))
	if err != nil || len(fatal(found)) != 0 {
		t.Fatalf("findings %v, error %v", found, err)
	}
	if err := c.Check(); err != nil {
		t.Fatal(err)
	}
	if c.Listen != ":3306" || c.Limits.Connections != 300 || c.Limits.ConnectionsPerEngine != 40 ||
		len(c.Engines) != 3 || c.Engines[0].Size != 10 || c.Engines[1].Size != 20 ||
		c.Engines[2].State != "leaving" || c.Accounts[0].User != "probe" ||
		c.Settings.Classes[1].DeadlineMS != 20000 || c.Settings.Limits.ConnectTimeoutMS != 3000 ||
		c.Settings.Limits.MaxAttempts != 3 {
		t.Errorf("unexpected configuration %+v", c)
	}
	for _, want := range []string{
		"line 3: note: log",
		"line 13: note: balance",
		"line 19: note: backend \"spare\"",
	} {
		if !strings.Contains(fmt.Sprint(found), want) {
			t.Errorf("no finding %q among %v", want, found)
		}
	}
}

// TestUnsupported checks that a line that is not supported gives a fatal finding with its line
// number, and that Run writes nothing for a file that does not exist.
func TestUnsupported(t *testing.T) {
	for line, want := range map[string]string{
		"  server d 10.0.0.4:3306 backup": "backup",
		"  server d 10.0.0.4:3306 ssl":    "ssl",
		"  mode http":                     "only tcp",
		"  balance source":                "ties clients",
		"  stick-table type ip size 1k":   "stick-table",
		"  acl x src 10.0.0.0/8":          "acl",
		"  server d nowhere":              "not an address",
		"  timeout server soon":           "not a time",
		"peers p":                         "peers",
		"  option httpchk":                "httpchk",
		"  server d 'x":                   "quote",
		"frontend second":                 "one front end",
		"  use-server a if x":             "use-server",
	} {
		text := strings.Replace(validFile, "backend spare\n", line+"\nbackend spare\n", 1)
		_, found, err := Import(strings.NewReader(text))
		errors := fatal(found)
		if err != nil || len(errors) == 0 || errors[0].Line != 19 || !strings.Contains(errors[0].Text, want) {
			t.Errorf("%q: fatal findings %v, error %v, want %q at line 19", line, errors, err, want)
		}
	}
	var out, report bytes.Buffer
	if err := Run("/nonexistent", &out, &report); err == nil || out.Len() > 0 {
		t.Error("Run accepted a file that does not exist")
	}
}

// TestMalformedConfiguration checks that malformed input gives fatal findings, or a configuration
// that the MySQL front end accepts, and never a panic.
func TestMalformedConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, found, err := Import(bytes.NewReader(testprocess.MalformedMessage(t, validFile)))
		if err == nil && len(fatal(found)) == 0 {
			if err := c.Check(); err != nil {
				t.Fatalf("no fatal finding among %v, but the configuration is invalid: %v", found, err)
			}
		}
	})
}

// TestServerState guards against a server of weight 0 that gets requests because of the flag
// "enabled", which HAProxy has for disabled servers only, and against one that stays drained
// although a later weight replaces the 0.
func TestServerState(t *testing.T) {
	const drained, active = "leaving", "active"
	for options, want := range map[string]string{
		"disabled":                  drained,
		"disabled enabled":          active,
		"weight 0":                  drained,
		"weight 0 enabled":          drained,
		"enabled weight 0":          drained,
		"weight 0 weight 5":         active,
		"disabled weight 0 enabled": drained,
	} {
		c, found, err := Import(strings.NewReader(strings.ReplaceAll(validFile, "10.0.0.3:3306 disabled", "10.0.0.3:3306 "+options)))
		if err != nil || len(fatal(found)) != 0 {
			t.Fatalf("%s: findings %v, error %v", options, found, err)
		}
		if got := c.Engines[2].State; got != want {
			t.Errorf("%s: state %q, want %q", options, got, want)
		}
	}
}
