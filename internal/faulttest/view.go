package faulttest

import (
	"encoding/json"
	"fmt"
	"time"

	"dewhill/internal/fakes"
)

const (
	dialTimeout      = time.Second
	callTimeout      = 10 * time.Second
	viewPollInterval = 50 * time.Millisecond
)

// Call sends a request to the operators' API and returns the response. Status 0 means
// that there was no response.
func Call(controlAddr, method, path string) (status int, body []byte) {
	return fakes.CallOperatorAPI(controlAddr, method, path, callTimeout)
}

// View is a front end's view of the fleet, as the operators' API returns it.
type View struct {
	Self        string
	Incarnation uint32
	Converged   bool `json:"settled"`
	Quorum      bool `json:"majority"`
	Digest      string
	Members     []Member
}

// Member is a member in a View.
type Member struct {
	Name        string
	Address     string
	State       string
	Incarnation uint32
}

// state returns the state of a member, or an empty string if it is not in the view.
func (v *View) state(name string) string {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State
		}
	}
	return ""
}

// View returns the front end's view, and false if the front end did not respond.
func (fe *FrontEnd) View() (View, bool) {
	var view View
	status, body := Call(fe.ControlAddr, "GET", "fleet")
	return view, status == 200 && json.Unmarshal(body, &view) == nil
}

// ViewMismatch describes why the views of the running front ends have not converged: the
// first view that is missing, has not settled, differs from another view, or does not match
// the running processes. It returns an empty string if there is none.
func (f *Fleet) ViewMismatch() string {
	digest := ""
	for _, front := range f.Fronts {
		if !front.Running() {
			continue
		}
		view, answered := front.View()
		switch {
		case !answered:
			return front.Name + " does not respond to operators"
		case !view.Converged:
			return front.Name + " has not converged"
		case digest != "" && view.Digest != digest:
			return fmt.Sprintf("%s has digest %s, others %s", front.Name, view.Digest, digest)
		}
		digest = view.Digest
		if mismatch := f.stateMismatch(front, &view); mismatch != "" {
			return mismatch
		}
	}
	return ""
}

// stateMismatch describes the first front end whose state in a view does not match whether
// its process is running.
func (f *Fleet) stateMismatch(observer *FrontEnd, view *View) string {
	for _, front := range f.Fronts {
		state := view.state(front.Name)
		listedAlive := state == "alive" || state == "suspect"
		if running := front.Running(); running != listedAlive {
			return fmt.Sprintf("%s lists %s as %q; running: %v", observer.Name, front.Name, state, running)
		}
	}
	return ""
}

// AwaitConvergence waits until ViewMismatch finds no mismatch, and returns how long that
// took. It returns false if the limit passed first.
func (f *Fleet) AwaitConvergence(limit time.Duration) (took time.Duration, ok bool) {
	startedAt := time.Now()
	last := ""
	for time.Since(startedAt) < limit {
		mismatch := f.ViewMismatch()
		if mismatch == "" {
			return time.Since(startedAt), true
		}
		if mismatch != last {
			f.Record("not converged: %s", mismatch)
		}
		last = mismatch
		time.Sleep(viewPollInterval)
	}
	return time.Since(startedAt), false
}
