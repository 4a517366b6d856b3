package rest

import (
	"net"
	"testing"

	"dewhill/internal/core"
)

// host is a loop without a clock: what is to be called later is called by hand.
type host struct {
	later     []func()
	answers   map[string]func(core.Answer, any)
	abandoned []string
}

func (h *host) Post(f func())              { f() }
func (h *host) Now() float64               { return 1000 }
func (h *host) After(ms float64, f func()) { h.later = append(h.later, f) }
func (h *host) Abandon(id string)          { h.abandoned = append(h.abandoned, id) }
func (h *host) Report() []byte             { return []byte("{}") }
func (h *host) Submit(r core.Request, w any, answer func(core.Answer, any)) error {
	h.answers[r.ID] = answer
	return nil
}

func (h *host) fire() {
	list := h.later
	h.later = nil
	for _, f := range list {
		f()
	}
}

func setup() (*host, *Front, func() *conn) {
	h := &host{answers: map[string]func(core.Answer, any){}}
	f := New(h, []string{"lookup"}, 10, 500)
	return h, f, func() *conn {
		nc, _ := net.Pipe()
		c := &conn{nc: nc, out: make(chan *response, 4), answered: make(chan struct{}, 4)}
		f.accept(c)
		return c
	}
}

const testID = "00000000000000aa"

func submit(f *Front, c *conn) {
	f.call(c, &call{method: "POST", path: "/api/v2/lookup", fields: map[string][]string{"Req-Id": {testID}, "Req-Wait-Ms": {"9000"}}})
}

func get(f *Front, c *conn, method, path string) { f.call(c, &call{method: method, path: path}) }

// A long call is answered with a path. A call of it that is made again on a new
// connection finds its answer, until that is forgotten; no more than a bound is
// kept.
func TestPollOnNewConnection(t *testing.T) {
	h, f, dial := setup()
	a := dial()
	submit(f, a)
	h.fire() // held long enough
	r := <-a.out
	if r.poll != "/polls/"+testID+"/0" || r.pages != nil {
		t.Fatalf("%+v", r)
	}
	get(f, a, "GET", r.poll)
	f.gone(a) // the connection dies: no answer has come, and the client has a path
	if len(h.abandoned) != 0 {
		t.Fatal("abandoned though the client has a path")
	}
	b := dial()
	get(f, b, "GET", r.poll)
	h.answers[testID](core.Answer{ID: testID, Outcome: core.Served}, [][]byte{[]byte("a\tb\tc\n")})
	for range 2 { // the second is the same call made again
		if got := <-b.out; got.status != 200 || len(got.pages) != 1 || got.poll != "" {
			t.Fatalf("%+v", got)
		}
		b = dial()
		get(f, b, "GET", r.poll)
	}
	<-b.out
	h.fire()
	if len(f.open) != 0 || len(f.kept) != 0 {
		t.Errorf("%d open and %d kept", len(f.open), len(f.kept))
	}
}

// DELETE gives a request up, and so does a close before there is a path.
func TestAbandon(t *testing.T) {
	h, f, dial := setup()
	a := dial()
	submit(f, a)
	f.gone(a)
	if len(h.abandoned) != 1 {
		t.Error("a close did not abandon")
	}
	a = dial()
	submit(f, a)
	h.fire()
	path := (<-a.out).poll
	get(f, a, "GET", path)
	b := dial()
	get(f, b, "DELETE", path)
	if len(h.abandoned) != 2 || !a.closed || (<-b.out).status != 200 || len(f.open) != 0 {
		t.Errorf("DELETE: %v, %d open", h.abandoned, len(f.open))
	}
}

// Long results go out in several answers, each with its rows once.
func TestChunks(t *testing.T) {
	h, f, dial := setup()
	c := dial()
	submit(f, c)
	page := make([]byte, 40<<10)
	h.answers[testID](core.Answer{ID: testID, Outcome: core.Served}, [][]byte{page, page, page})
	n := 0
	for r := <-c.out; ; r = <-c.out {
		n += len(r.pages)
		if r.poll == "" {
			break
		}
		get(f, c, "GET", r.poll)
	}
	if n != 3 {
		t.Errorf("%d pages, want 3", n)
	}
}
