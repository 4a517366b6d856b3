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

// An invalid configuration ends the program with one clear line.
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
				t.Errorf("exit status %d, log %q", code, p.Log())
			}
		})
	}
}

// A file beside the configuration that can't be used ends the program at its start with
// one line that names the file and the line.
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
				t.Errorf("exit status %d, log %q", code, p.Log())
			}
		})
	}
}

// SIGHUP moves the program to the endpoint list whose address the file has by then.
// Revisions go on, requests that are in flight stay there, and the old address is
// left; a file that can't be read changes nothing.
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
	// An address that is silent is polled again, well before what it had sent is too old.
	testprocess.Until(t, "the silent address to be polled again", func() bool { return len(previous.Connections()) > 1 })

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
		t.Errorf("the next list was polled after %v", next.Polls())
	}
	for _, conn := range previous.Connections() {
		if err := conn.SetReadDeadline(time.Now().Add(testprocess.WaitTimeout)); err != nil {
			continue // closed here too
		}
		if _, err := conn.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("a connection to the previous list is in use: %v", err)
		}
	}
	g.open()
	c.expectRows(1)
	counters := f.process.Stop()["node"].(map[string]any)
	if counters["Reloads"] != 1.0 || counters["BadReloads"] != 1.0 || counters["Notices"] != 3.0 {
		t.Errorf("counters %v", counters)
	}
}

// A configuration that is being written when SIGHUP comes is read again.
func TestReloadWhileFileIsWritten(t *testing.T) {
	previous, next := fakes.NewScriptedDiscovery(t, neverAnswerPoll), fakes.NewScriptedDiscovery(t, neverAnswerPoll)
	f := startFrontEnd(t, previous.Addr, 1024, fakes.NewScriptedEngine(t, "s-1", replyOneRow))
	config := strings.ReplaceAll(f.readConfig(), previous.Addr, next.Addr)
	testprocess.WriteHalfThenRest(t, f.configPath, config, func() { f.process.Signal(syscall.SIGHUP) })
	testprocess.Until(t, "a poll of the next list", func() bool { return next.WasPolledAfter(1) })
}
