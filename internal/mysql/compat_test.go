package mysql

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"

	"dewhill/internal/goldentest"
)

// checkEqual checks that a field has the value that the configuration file gives it.
func checkEqual(t *testing.T, name string, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: %#v, want %#v", name, got, want)
	}
}

// TestCompatConfig checks that the keys of the configuration file do not change. The
// golden file contains every key with a value other than zero.
func TestCompatConfig(t *testing.T) {
	path := "testdata/compat/mysql.json"
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, "on", c.Enabled, true)
	checkEqual(t, "listen", c.Listen, "127.0.0.1:3306")
	checkEqual(t, "accounts", c.Accounts, []Account{{User: "uploader", Password: "secret-1", Database: "stock"}})
	checkEqual(t, "engines", c.Engines, []Engine{
		{ID: "e-1", Address: "127.0.0.1:3311", Kind: "small", Size: 0.75, User: "dewhill", Password: "secret-2", State: "active"},
		{ID: "e-2", Address: "127.0.0.1:3312", Kind: "large", Size: 0.5, User: "dewhill", Password: "secret-3", State: "leaving"},
	})
	checkEqual(t, "rules", len(c.Rules), 2)
	write, read := c.Rules[0], c.Rules[1]
	checkEqual(t, "verbs", write.Verbs, []string{"INSERT", "LOAD"})
	checkEqual(t, "match", write.Match, `into\s+stock`)
	checkEqual(t, "account", write.Account, "uploader")
	checkEqual(t, "class", write.Class, "fill")
	checkEqual(t, "key", write.Key, "param:2")
	checkEqual(t, "deadline_ms", write.DeadlineMS, 1101.0)
	checkEqual(t, "cost_ms", write.WorkMS, 102.0)
	checkEqual(t, "memory_mb", write.MemoryMB, 103.0)
	checkEqual(t, "compiled match", write.match.String(), `(?is)into\s+stock`)
	checkEqual(t, "index of the class", write.class, 2)
	checkEqual(t, "parameter number of the key", write.param, 2)
	checkEqual(t, "key of the second rule", read.Key, "text:stock")
	checkEqual(t, "read_class", c.ReadClass, "read")
	checkEqual(t, "load_class", c.LoadClass, "fill")
	checkEqual(t, "limits", c.Limits, Limits{Connections: 257, ConnectionsPerEngine: 33, MaxOpenRequests: 1025, KnownIDs: 4097, IdleMS: 60001, ResultMB: 17})
	checkEqual(t, "settings.categories", len(c.Settings.Classes), 3)
	checkEqual(t, "settings.tickMs", c.Settings.TickMS, 7.0)
	checkNoZeroFields(t, "config", reflect.ValueOf(*c))

	again, err := json.MarshalIndent(c, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	again = append(again, '\n')
	if !bytes.Equal(again, text) {
		t.Errorf("the configuration differs from the golden file when it is written again:\n%s", again)
	}
}

// checkNoZeroFields reports fields that are zero or empty, except those that were added
// after the golden file was written.
func checkNoZeroFields(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if field := v.Type().Field(i); field.IsExported() && !goldentest.IsAdded(v, field.Name) {
				checkNoZeroFields(t, path+"."+field.Name, v.Field(i))
			}
		}
	case reflect.Slice:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			checkNoZeroFields(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	default:
		if v.IsZero() {
			t.Errorf("%s is zero", path)
		}
	}
}

// TestCompatShippedConfig checks that the shipped configuration file disables the MySQL
// front end, and that after an operator enables it, each key is read with its value.
func TestCompatShippedConfig(t *testing.T) {
	shipped := "../../deploy/mysql.json"
	if c, err := ReadConfig(shipped); c != nil || err != nil {
		t.Fatalf("ReadConfig returned %+v, %v, want no configuration and no error", c, err)
	}
	text, err := os.ReadFile(shipped)
	if err != nil {
		t.Fatal(err)
	}
	on := strings.Replace(string(text), `"on": false`, `"on": true`, 1)
	path := t.TempDir() + "/mysql.json"
	if err := os.WriteFile(path, []byte(on), 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	var shippedValues, readValues any
	if err := json.Unmarshal([]byte(on), &shippedValues); err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(again, &readValues); err != nil {
		t.Fatal(err)
	}
	checkContains(t, "", readValues, shippedValues)
	checkEqual(t, "listen", c.Listen, "127.0.0.1:3306")
	checkEqual(t, "accounts", c.Accounts, []Account{{User: "uploader", Password: "change me", Database: "stock"}})
	checkEqual(t, "engines", len(c.Engines), 2)
	checkEqual(t, "rules", len(c.Rules), 3)
	checkEqual(t, "read_class", c.ReadClass, "read")
	checkEqual(t, "load_class", c.LoadClass, "write")
	checkEqual(t, "limits", c.Limits, Limits{Connections: 256, ConnectionsPerEngine: 32, MaxOpenRequests: 1024, KnownIDs: 4096, IdleMS: 60000, ResultMB: 16})
	checkEqual(t, "settings.categories", len(c.Settings.Classes), 3)
}

// checkContains checks that got, a decoded JSON value, contains all keys of want with
// their values. It may contain further keys, because some zero values are written too.
func checkContains(t *testing.T, path string, got, want any) {
	t.Helper()
	switch want := want.(type) {
	case map[string]any:
		got, _ := got.(map[string]any)
		for key, v := range want {
			checkContains(t, path+"."+key, got[key], v)
		}
	case []any:
		got, _ := got.([]any)
		if len(got) != len(want) {
			t.Errorf("%s: %d entries, want %d", path, len(got), len(want))
			return
		}
		for i, v := range want {
			checkContains(t, fmt.Sprintf("%s[%d]", path, i), got[i], v)
		}
	default:
		checkEqual(t, path, got, want)
	}
}

// TestCompatCounters checks that the JSON of the counters does not change.
func TestCompatCounters(t *testing.T) {
	front := ServerCounters{
		Connections:        1,
		TooManyConnections: 2,
		DeniedLogins:       3,
		Malformed:          4,
		Unsupported:        5,
		Queries:            6,
		Prepares:           7,
		Executes:           8,
		Served:             9,
		Rejected:           10,
		Failed:             11,
		RepeatedLoads:      12,
		Abandoned:          13,
		AcceptErrors:       14,
		EvictedConnections: 15,
		LeaseDecisions:     16,
		LeaseDecisionMS:    17.5,
	}
	engines := PoolCounters{
		Dials:           21,
		DialFailures:    22,
		Prepares:        23,
		Executes:        24,
		Queries:         25,
		Kills:           26,
		HandlesClosed:   27,
		LostAfterWrite:  28,
		LostBeforeWrite: 29,
	}
	checkNoZeroFields(t, "front", reflect.ValueOf(front))
	checkNoZeroFields(t, "engines", reflect.ValueOf(engines))
	text, err := json.MarshalIndent(map[string]any{"front": front, "engines": engines, "without claims": ServerCounters{}}, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/compat/counters.json")
	if err != nil {
		t.Fatal(err)
	}
	text = append(text, '\n')
	if !bytes.Equal(text, want) {
		t.Errorf("the JSON of the counters differs from the golden file:\n%s", text)
	}
}
