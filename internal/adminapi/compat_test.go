package adminapi

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
)

// recordingController is a Controller that records the last change.
type recordingController struct {
	ready  bool
	views  bool // whether there are views of the fleet and the state
	change string
}

func (c *recordingController) Ready() bool          { return c.ready }
func (c *recordingController) CountersJSON() []byte { return []byte(`{"inflight":3}`) }
func (c *recordingController) FleetJSON() []byte    { return c.view(`{"self":"gw-7"}`) }
func (c *recordingController) StateJSON() []byte    { return c.view(`{"entries":2}`) }
func (c *recordingController) view(text string) []byte {
	if !c.views {
		return nil
	}
	return []byte(text)
}

func (c *recordingController) SetEngineOverride(engine string, disabled bool) error {
	switch engine {
	case "never":
		return errors.New("never listed")
	case "few":
		return &RefusalError{Status: 503, Body: []byte(`{"kept":1,"needed":2}`)}
	}
	c.change = fmt.Sprintf("engine %s out %v", engine, disabled)
	return nil
}

func (c *recordingController) SetInService(on bool) error {
	c.change = fmt.Sprintf("in service %v", on)
	return nil
}

// TestCompatRequests checks requests and responses, on whose bytes operators and their
// tools rely, against a golden file. Each line of the file is a case: its name, then as
// quoted strings the request, the change that the request makes, and the response. In a
// case whose name contains "busy" the front end accepts no clients; in one whose name
// contains "alone" it has no views.
func TestCompatRequests(t *testing.T) {
	text, err := os.ReadFile("testdata/compat/calls.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		parts := strings.Split(strings.TrimSuffix(line, "\n"), "\t")
		name, requestText := parts[0], unquote(t, parts[1])
		change, want := unquote(t, parts[2]), unquote(t, parts[3])
		controller := &recordingController{
			ready: !strings.Contains(name, "busy"),
			views: !strings.Contains(name, "alone"),
		}
		got := roundTrip(t, controller, requestText)
		if got != want || controller.change != change {
			t.Errorf("not the golden line:\n%s\t%q\t%q\t%q", name, requestText, controller.change, got)
		}
	}
}

func unquote(t *testing.T, text string) string {
	t.Helper()
	plain, err := strconv.Unquote(text)
	if err != nil {
		t.Fatalf("%s: %v", text, err)
	}
	return plain
}

// roundTrip sends a request and returns the response.
func roundTrip(t *testing.T, controller *recordingController, requestText string) string {
	t.Helper()
	clientSide, serverSide := net.Pipe()
	defer func() { _ = clientSide.Close() }()
	go New(controller, 2).serveConn(serverSide)
	go func() { _, _ = io.WriteString(clientSide, requestText) }()
	text, err := io.ReadAll(clientSide)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
