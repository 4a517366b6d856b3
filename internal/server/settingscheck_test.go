package server

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// editedConfig writes the golden configuration with one JSON text replaced by another, and
// returns the path of the file.
func editedConfig(t *testing.T, old, replacement string) string {
	t.Helper()
	for _, name := range []string{envName, envListen, envControlListen} {
		t.Setenv(name, "")
	}
	var compact map[string]any
	if err := json.Unmarshal(golden(t, "config.json"), &compact); err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(compact)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(text), old) != 1 {
		t.Fatalf("%s occurs %d times in the golden configuration, want 1", old, strings.Count(string(text), old))
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// A setting that is out of range, of the wrong type or an unknown enum value is rejected with
// an error of one line that names it. If it were accepted, it would change the meaning of a
// limit.
func TestSettingsOutOfRange(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`"tryLimit":5`, `"tryLimit":-1`, "limits.tryLimit: -1 is below 0"},
		{`"tryLimit":5`, `"tryLimit":"5"`, "limits.tryLimit"},
		{`"tryLimit":5`, `"tryLimit":1.5`, "limits.tryLimit"},
		{`"connectTimeoutMs":251`, `"connectTimeoutMs":-250`, "limits.connectTimeoutMs: -250 is below 0"},
		{`"streamsPerConn":33`, `"streamsPerConn":-100`, "limits.streamsPerConn"},
		{`"maxOpen":91`, `"maxOpen":-1`, "limits.maxOpen"},
		{`"stopSendingWithinMs":501`, `"stopSendingWithinMs":-0.5`, "contract.stopSendingWithinMs: -0.5 is below 0"},
		{`"orderSettleMs":41`, `"orderSettleMs":-300`, "contract.orderSettleMs"},
		{`"spareAttempts":51`, `"spareAttempts":-2`, "contract.spareAttempts"},
		{`"coldShare":0.5`, `"coldShare":31`, "contract.coldShare: 31 is above 1"},
		{`"overShareWorth":0.375`, `"overShareWorth":20`, "overShareWorth: 20 is above 1"},
		{`"largestShare":0.625`, `"largestShare":62.5`, "domain.largestShare"},
		{`"lateValue":0.5`, `"lateValue":50`, "categories[1].lateValue"},
		{`"hardLimitMs":1200`, `"hardLimitMs":-1`, "categories[1].hardLimitMs"},
		{`"windowMs":5200`, `"windowMs":-20000`, "categories[1].windowMs"},
		{`"hostTypesOpen":[3]`, `"hostTypesOpen":[-1]`, "categories[2].hostTypesOpen[0]"},
		{`"dop":[1,2,4]`, `"dop":[1,-2,4]`, "domain.dop[1]"},
		{`"progressMs":81`, `"progressMs":-1`, "domain.progressMs"},
		{`"allowancePerS":71`, `"allowancePerS":-71`, "customers[0].allowancePerS"},
		{`"ordinal":6`, `"ordinal":-1`, "ordinal"},
		{`"effect":"token"`, `"effect":"keyed"`, `effect "keyed"`},
		{`"effect":"token"`, `"effect":""`, `effect ""`},
		{`"group":"zone"`, `"group":"room"`, `group "room"`},
		{`"discovery":"ask"`, `"discovery":"pull"`, `discovery: unknown value "pull"`},
		{`"via":"answers"`, `"via":"mail"`, `reporting.via: unknown value "mail"`},
		{`"name":"change"`, `"name":"read"`, `class "read"`},
		{`"name":"change"`, `"name":"a,nice=3"`, `class "a,nice=3"`},
		{`"name":"change"`, `"name":"a b"`, `class "a b"`},
		{`"memory_mb":384`, `"memory_mb":-1`, "limits.memory_mb: -1 is below 0"},
		{`"cores":1.5`, `"cores":-1.5`, "limits.cores"},
		{`"sockets":640`, `"sockets":31`, "limits: 31 sockets"},
		{`"board":"127.0.0.1:9000"`, `"board":"nowhere"`, "board"},
		{`"health":"leaving"`, `"health":"resting"`, `known: endpoint "s-2"`},
	} {
		path := editedConfig(t, c.old, c.replacement)
		_, err := ReadConfig(path)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want one line with %q", c.replacement, err, c.want)
		}
	}
}

// Unknown settings are ignored at each level, as the platform may add settings. Settings
// that this program does not use are ignored too.
func TestUnknownSettingsAreIgnored(t *testing.T) {
	want, err := ReadConfig(filepath.Join("testdata", "compat", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, replacement string }{
		{`"seed":`, `"later":{"of":[1]},"seed":`},
		{`"tickMs":`, `"prices":{"waste":0.16,"later":-1},"goal":{"whole":0.5},"worthBy":"request","tickMs":`},
		{`"tryLimit":5`, `"cpuUsPerS":400000,"cpuUsPerRequest":0,"later":"x","tryLimit":5`},
		{`"effect":"token"`, `"later":-5,"effect":"token"`},
		{`"via":"answers"`, `"fields":["rif","later"],"via":"answers"`},
		{`"host":"s-2"`, `"later":null,"host":"s-2"`},
	} {
		got, err := ReadConfig(editedConfig(t, c.old, c.replacement))
		if err != nil {
			t.Errorf("%s: %v", c.replacement, err)
			continue
		}
		got.path = want.path
		expectEqual(t, c.replacement, *got, *want)
	}
}

// Omitted settings have the defaults that the protocol's documentation states.
func TestOmittedSettingsHaveDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	text := `{"seed":"1","listen":"127.0.0.1:0","board":"127.0.0.1:1",` +
		`"settings":{"categories":[{"name":"a","effect":"pure"}]}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := controlSettings(c)
	if err != nil {
		t.Fatal(err)
	}
	expectEqual(t, "connect timeout", connectTimeout(&c.Settings), toDuration(250))
	expectEqual(t, "probes, gossip, hedging", settings.CanProbe || settings.CanGossip || settings.CanHedge, false)
	expectEqual(t, "priorities, grants, reports", settings.CanPrioritize || settings.CanGrantMemory ||
		settings.LoadReportsInReplies || settings.LoadReportsInProbes, false)
	expectEqual(t, "status reports", settings.ProgressIntervalMS, 0.0)
	expectEqual(t, "endpoint list is polled", settings.PollsEndpointList, false)
}
