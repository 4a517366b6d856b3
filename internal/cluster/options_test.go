package cluster

import (
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"dewhill/internal/membership"
	"dewhill/internal/testprocess"
)

// TestParseOptions checks which settings are accepted, and that the error for a setting that
// is not accepted contains its line and key.
func TestParseOptions(t *testing.T) {
	cases := []struct {
		name, text string
		wantError  string // part of the error; empty: the settings are accepted
	}{
		{"minimal", "on = true\n", ""},
		{"several keys", "on = true\ndatagram = 1200\nseeds = [\"10.0.0.4:7946\"]\nsize = 5\nstate_dir = \"\"\n", ""},
		{"unknown key", "on = true\n\nspeed = 3\n", `group.toml: line 3: unknown key "speed"`},
		{"unknown key without characters", "\"\" = 1\n", "unknown key"},
		{"unknown table", "on = true\n[replicas]\non = true\n", `unknown key "replicas`},
		{"syntax error", "on = = true\n", "group.toml: line 1:"},
		{"wrong type", "on = 3\n", "group.toml"},
		{"datagram too short", "on = true\ndatagram = 100\n", "line 2: datagram is 100, must be 128 to 1400"},
		{"probe time-out too long for the period", "period_ms = 1000\nretry_ms = 500\n", "line 2: retry_ms is 500"},
		{"minimum above maximum", "suspect_min_ms = 9000\n", "suspect_max_ms is 4000"},
		{"rate too low for the period", "datagrams_per_second = 1\n", "line 1: datagrams_per_second is 1"},
		{"replication", "on = true\n[replica]\non = true\n", ""},
		{"unknown quorum", "on = true\n[replica]\non = true\nkeep = \"all\"\n", "line 4: keep is \"all\""},
		{"replication without membership", "[replica]\non = true\n", "line 1: [replica] is on, which requires on = true at the top level"},
		{"unknown key in a table", "on = true\n[replica]\nkept = 3\n", `line 3: unknown key "replica.kept"`},
		{"datagram too short for replication", "on = true\ndatagram = 200\n[replica]\non = true\n", "line 2: datagram is 200"},
		{"catch-up time-out too short", "on = true\n[replica]\ncatch_up_ms = 1\n", "line 3: catch_up_ms is 1"},
		{"seed without port", "seeds = [\"here\"]\n", `line 1: seeds contains "here"`},
		{"directory", "on = true\nstate_dir = \"/\"\n", ""},
		{"no such directory", "on = true\nstate_dir = \"/no/such\"\n", "line 2: state_dir stat /no/such"},
		{"file in place of a directory", "on = true\nstate_dir = \"options_test.go\"\n", "line 2: state_dir is not a directory"},
		{"not a number", "period_ms = nan\n", "period_ms"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseOptions("group.toml", []byte(c.text))
			switch {
			case c.wantError == "" && err != nil:
				t.Errorf("%q: error %v, want none", c.text, err)
			case c.wantError != "" && (err == nil || !strings.Contains(err.Error(), c.wantError)):
				t.Errorf("%q: error %v, want %q", c.text, err, c.wantError)
			}
		})
	}
}

// TestShippedFileIsOff checks that the shipped file turns nothing on and has the same times
// as the defaults without a file.
func TestShippedFileIsOff(t *testing.T) {
	text, err := os.ReadFile("../../deploy/group.toml")
	if err != nil {
		t.Fatal(err)
	}
	options, err := ParseOptions("group.toml", text)
	if err != nil || options.Enabled || options.Times() != defaultTimes() {
		t.Errorf("shipped file: %+v, %v", options, err)
	}
	if options, err := ReadOptions("no such file"); err != nil || options.Enabled {
		t.Errorf("without a file: %+v, %v", options, err)
	}
}

func defaultTimes() membership.Times {
	options := DefaultOptions()
	return options.Times()
}

// TestParseMalformed checks that malformed text results in an error that starts with the
// name of the file, or in settings within their ranges.
func TestParseMalformed(t *testing.T) {
	const valid = "on = true\ndatagram = 256\nseeds = [\"10.0.0.4:7946\"]\nperiod_ms = 1000\n"
	rapid.Check(t, func(t *rapid.T) {
		text := testprocess.MalformedMessage(t, valid)
		options, err := ParseOptions("group.toml", text)
		if err != nil && !strings.HasPrefix(err.Error(), "group.toml: ") {
			t.Fatalf("%q: %v", text, err)
		}
		if err == nil && (options.MaxDatagramBytes < 128 || options.ProbeIntervalMS < 100) {
			t.Fatalf("%q: %+v", text, options)
		}
	})
}
