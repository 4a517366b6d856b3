package server_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhill/internal/fakes"
	"dewhill/internal/testprocess"
)

// The program rejects an invalid configuration with one line that names the cause.
func TestInvalidConfiguration(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"not JSON", `{`, "unexpected end"},
		{"seed", `{"seed":"x"}`, "seed"},
		{"listen", `{"seed":"1","listen":"nowhere"}`, "listen"},
		{"no classes", `{"seed":"1","listen":"127.0.0.1:0","board":"127.0.0.1:1"}`, "no classes"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := testprocess.WriteTempFile(t, "config.json", c.text)
			p := testprocess.Start(t, []string{"PROXY_CONFIG=" + path, "PROXY_LISTEN="})
			if code := p.Wait(); code == 0 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), c.want) {
				t.Errorf("exit status %d, log %q, want one line with %q", code, p.Log(), c.want)
			}
		})
	}
}

// The program rejects an invalid cluster or subset file at its start, with exit status 1 and
// one line of log that names the file and the line in it.
func TestInvalidFiles(t *testing.T) {
	f, _ := startWithEngine(t, replyOneRow)
	f.process.Stop()
	for _, c := range []struct{ flag, fileName, text, want string }{
		{"-group", "group.toml", "on = true\nperiod = 1\n", "group.toml: line 2: unknown key"},
		{"-fleet", "fleet.toml", "# subsets\nper_front = = 4\n", "fleet.toml: line 2:"},
	} {
		t.Run(c.fileName, func(t *testing.T) {
			path := testprocess.WriteTempFile(t, c.fileName, c.text)
			p := testprocess.Start(t, []string{"PROXY_CONFIG=" + f.configPath}, c.flag, path)
			if code := p.Wait(); code != 1 || strings.Count(p.Log(), "\n") != 1 || !strings.Contains(p.Log(), c.want) {
				t.Errorf("exit status %d, log %q, want one line with %q", code, p.Log(), c.want)
			}
		})
	}
}

// After SIGHUP the program polls the endpoint list at the address that the configuration
// file now has. It continues with the revision that it has reached, open requests continue
// at their engines, and the connections to the previous address are closed. A file that
// can't be read changes nothing.
func TestReload(t *testing.T) {
	g := newGate()
	e1, e2 := fakes.NewScriptedEngine(t, "s-1", g.reply), fakes.NewScriptedEngine(t, "s-2", g.reply)
	previous := fakes.NewScriptedDiscovery(t, answerAfter(1, fakes.OneUpdate(4, false, e2.Endpoint(fakes.Active))))
	removed := fakes.OneUpdate(5, false, fakes.Endpoint{ID: "s-2", State: fakes.Removed})
	next := fakes.NewScriptedDiscovery(t, answerAfter(4, removed))
	f := startFrontEnd(t, previous.Addr, 1024, e1)
	testprocess.Until(t, "the first list's update", func() bool { return previous.WasPolledAfter(4) })
	c := f.connect()
	c.send(loadMessage(1, "slow"))
	waitForRequests(t, 1, e1, e2)
	// An unresponsive address is polled again before the last answer from it is too old.
	testprocess.Until(t, "another poll of the unresponsive address", func() bool { return len(previous.Connections()) > 1 })

	config := f.readConfig()
	reload := func(text, logged string) {
		t.Helper()
		f.writeConfig(text)
		f.process.Signal(syscall.SIGHUP)
		f.waitForLog(logged)
	}
	reload("{", "configuration unchanged")
	reload(strings.ReplaceAll(config, previous.Addr, next.Addr), "configuration reloaded")
	f.waitForLog("engine s-2 at : removed")
	testprocess.Until(t, "the next poll of the next list", func() bool { return next.WasPolledAfter(5) })
	if next.WasPolledAfter(1) || next.WasPolledAfter(0) {
		t.Errorf("the next list was polled from an earlier revision: %v", next.Polls())
	}
	for _, conn := range previous.Connections() {
		if err := conn.SetReadDeadline(time.Now().Add(testprocess.WaitTimeout)); err != nil {
			continue // the fake service has closed it too
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("connection to the previous list still open: %v", err)
		}
	}
	g.open()
	c.expectRows(1)
	counters := f.process.Stop()["node"].(map[string]any)
	if counters["Reloads"] != 1.0 || counters["BadReloads"] != 1.0 || counters["Notices"] != 3.0 {
		t.Errorf("counters %v, want 1 reload, 1 failed reload and 3 updates", counters)
	}
}

// A configuration that is still being written when SIGHUP arrives is read again.
func TestReloadWhileFileIsWritten(t *testing.T) {
	previous, next := fakes.NewScriptedDiscovery(t, neverAnswerPoll), fakes.NewScriptedDiscovery(t, neverAnswerPoll)
	f := startFrontEnd(t, previous.Addr, 1024, fakes.NewScriptedEngine(t, "s-1", replyOneRow))
	config := strings.ReplaceAll(f.readConfig(), previous.Addr, next.Addr)
	testprocess.WriteHalfThenRest(t, f.configPath, config, func() { f.process.Signal(syscall.SIGHUP) })
	testprocess.Until(t, "a poll of the next list", func() bool { return next.WasPolledAfter(1) })
}
