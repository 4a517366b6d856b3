package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The platform and the operators start the program by $PROXY_CONFIG, by flags and by
// files at default paths under the working directory. Each of these names must lead to
// its file: here the file cannot be read, and the error must name it.
func TestCompatStart(t *testing.T) {
	config, err := filepath.Abs("testdata/compat/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name, config, unreadable string
		args                     []string
	}{
		{"PROXY_CONFIG", "config.json", "config.json", nil},
		{"default of -mysql", config, "deploy/mysql.json", nil},
		{"default of -fleet", config, "deploy/fleet.toml", nil},
		{"default of -group", config, "deploy/group.toml", nil},
		{"-mysql", config, "other", []string{"-mysql", "other"}},
		{"-fleet", config, "other", []string{"-fleet", "other"}},
		{"-group", config, "other", []string{"-group", "other"}},
		{"import-haproxy", config, "other", []string{"import-haproxy", "other"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Chdir(t.TempDir())
			t.Setenv("PROXY_CONFIG", c.config)
			if err := os.MkdirAll("deploy", 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.Mkdir(c.unreadable, 0o700); err != nil { // a directory cannot be read as a file
				t.Fatal(err)
			}
			if err := run(c.args); err == nil || !strings.Contains(err.Error(), c.unreadable) {
				t.Errorf("error %v, want one that names %s", err, c.unreadable)
			}
		})
	}
}

// Without a configuration and without a MySQL front end the program ends with an error
// that says so.
func TestCompatStartWithoutConfiguration(t *testing.T) {
	t.Chdir(t.TempDir())
	t.Setenv("PROXY_CONFIG", "")
	want := "nothing to serve: PROXY_CONFIG names no configuration, and the MySQL front is off"
	if err := run(nil); err == nil || err.Error() != want {
		t.Errorf("error %v, want %s", err, want)
	}
}
