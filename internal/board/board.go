// Package board follows the notice board, which tells of the engines.
package board

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"dewhill/internal/lines"
)

// Notices are what the notice board tells: numbered events.
type Notices struct {
	Rev     int64    `json:"rev"`
	Notices []Notice `json:"notices"`
}

// Notice is one event. Only those with a pool matter here.
type Notice struct {
	Rev  int64 `json:"rev"`
	Pool *Pool `json:"pool"`
}

// Pool holds the whole list of engines, or what has changed in it.
type Pool struct {
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Host is an engine.
type Host struct {
	ID     string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
}

// Order puts the events in the order of their numbers, each once, the one told
// first. Guards the list against a board that repeats itself or lost the order:
// its news would be refused for good, and drains missed.
func (n *Notices) Order() {
	slices.SortStableFunc(n.Notices, func(a, b Notice) int { return cmp.Compare(a.Rev, b.Rev) })
	n.Notices = slices.CompactFunc(n.Notices, func(a, b Notice) bool { return a.Rev == b.Rev })
}

// Check reports what is wrong with notices, so that nothing of them is used.
func (n *Notices) Check() error {
	last := int64(0)
	for _, e := range n.Notices {
		if e.Rev <= last || e.Rev > n.Rev {
			return fmt.Errorf("notice %d after %d of %d", e.Rev, last, n.Rev)
		}
		last = e.Rev
		if e.Pool == nil {
			continue
		}
		for _, h := range e.Pool.Hosts {
			if h.ID == "" {
				return errors.New("an engine without a name")
			}
			if err := h.check(); err != nil {
				return err
			}
		}
	}
	return nil
}

// The states of an engine.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// check reports what is wrong with an engine that has a name.
func (h *Host) check() error {
	switch h.Health {
	case Active, Leaving:
		if _, _, err := net.SplitHostPort(h.Dial); err != nil {
			return fmt.Errorf("engine %q: address %q", h.ID, h.Dial)
		}
	case Left:
	default:
		return fmt.Errorf("engine %q: state %q", h.ID, h.Health)
	}
	return nil
}

// nowhere stands for an address that can't be used.
const nowhere = "127.0.0.1:0"

// repair makes the best of engines that can't be used as they are told: one in a
// state that is not known, or without an address, gets nothing new, as if it were
// leaving, and one without a name is left out. It returns how many there were.
func (n *Notices) repair() (repaired int) {
	for _, e := range n.Notices {
		if e.Pool == nil {
			continue
		}
		before := len(e.Pool.Hosts)
		e.Pool.Hosts = slices.DeleteFunc(e.Pool.Hosts, func(h Host) bool { return h.ID == "" })
		repaired += before - len(e.Pool.Hosts)
		for i := range e.Pool.Hosts {
			if h := &e.Pool.Hosts[i]; h.check() != nil {
				h.Health = Leaving
				if _, _, err := net.SplitHostPort(h.Dial); err != nil {
					h.Dial = nowhere
				}
				repaired++
			}
		}
	}
	return repaired
}

// What the notice board has to tell counts as told 2 s after a break, and 2 s
// after the end of the wait that was asked for where it falls silent. So the
// wait is short, and a silent or broken connection is replaced at once.
const (
	lingerMs   = 1000
	slack      = 500 * time.Millisecond // past the linger after which a board is silent
	dialIn     = 500 * time.Millisecond
	mostAnswer = 4 << 20
	retryFirst = 20 * time.Millisecond
	retryMost  = 250 * time.Millisecond
	spinGap    = 20 * time.Millisecond // after an answer without news that was not waited for
)

// Follow polls the notice board for what comes after rev, until ctx ends, and
// hands over what it tells, in order. Garbage or silence drops the connection:
// the same events are asked for again on a new one. Where an engine among them is
// told so that it can't be used, twice in a row, it is taken for one that is leaving:
// one word that is not known must not hide all that comes after it.
func Follow(ctx context.Context, addr string, rev int64, tell func(*Notices), trouble func(error)) {
	wait := retryFirst
	f := follower{addr: addr, rev: rev, refused: -1, tell: tell, trouble: trouble}
	for {
		told, err := f.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		trouble(err)
		if told {
			wait = retryFirst
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = min(2*wait, retryMost)
	}
}

// follower is what one call of Follow keeps over its connections.
type follower struct {
	addr    string
	rev     int64 // of the last event that was told
	refused int64 // rev after which an answer was refused last; -1: none was
	tell    func(*Notices)
	trouble func(error)
}

// check reports whether an answer can be used, and repairs one that was refused
// before.
func (f *follower) check(n *Notices) error {
	n.Order()
	err := n.Check()
	if err == nil {
		return nil
	}
	if f.refused != f.rev {
		f.refused = f.rev
		return err
	}
	f.trouble(fmt.Errorf("%v, told twice: %d engines are taken for leaving", err, n.repair()))
	return n.Check()
}

func (f *follower) follow(ctx context.Context) (told bool, err error) {
	nc, err := (&net.Dialer{Timeout: dialIn}).DialContext(ctx, "tcp", f.addr)
	if err != nil {
		return false, err
	}
	defer nc.Close()
	// Guards against an old board that holds its last call open: the program has
	// moved on, and nothing that comes there may be waited for.
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	b := lines.New(nc, 16<<10)
	for {
		asked := time.Now()
		n, err := poll(nc, b, f.addr, f.rev)
		if err == nil {
			err = f.check(n)
		}
		if err != nil {
			return told, err
		}
		if n.Rev <= f.rev && time.Since(asked) < spinGap {
			time.Sleep(spinGap) // guards the core against a board that doesn't wait
		}
		if told = true; n.Rev > f.rev && ctx.Err() == nil {
			f.rev = n.Rev
			f.tell(n)
		}
	}
}

func poll(nc net.Conn, b *lines.Buffer, addr string, rev int64) (*Notices, error) {
	nc.SetDeadline(time.Now().Add(lingerMs*time.Millisecond + slack))
	_, err := lines.Write(nc, func(w *textproto.Writer) {
		w.PrintfLine("GET /board/poll?watch=%d&linger=%d HTTP/1.1", rev, lingerMs)
		w.PrintfLine("Host: %s", addr)
		w.PrintfLine("")
	})
	if err != nil {
		return nil, err
	}
	body, err := readAnswer(b)
	if err != nil {
		return nil, err
	}
	var n Notices
	if err := json.Unmarshal(body, &n); err != nil {
		return nil, err
	}
	return &n, nil
}

// readAnswer reads an HTTP answer with a body of stated length or in chunks.
func readAnswer(b *lines.Buffer) ([]byte, error) {
	first, fields, err := b.Head()
	if err != nil {
		return nil, err
	}
	parts := strings.SplitN(first, " ", 3)
	if len(parts) < 2 || !strings.HasPrefix(parts[0], "HTTP/1.") {
		return nil, fmt.Errorf("not HTTP: %.40q", first)
	}
	if parts[1] != "200" {
		return nil, fmt.Errorf("answer %.40q", first)
	}
	if strings.EqualFold(fields.Get("Transfer-Encoding"), "chunked") {
		return readChunks(b)
	}
	n, err := strconv.ParseUint(fields.Get("Content-Length"), 10, 31)
	if err != nil || n > mostAnswer {
		return nil, fmt.Errorf("length %.20q", fields.Get("Content-Length"))
	}
	return b.Take(int(n))
}

func readChunks(b *lines.Buffer) (body []byte, err error) {
	for {
		line, err := b.Line()
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
		if err != nil || len(body)+int(n) > mostAnswer {
			return nil, fmt.Errorf("chunk of %.20q", line)
		}
		if n == 0 {
			for line != "" {
				if line, err = b.Line(); err != nil {
					return nil, err
				}
			}
			return body, nil
		}
		data, err := b.Take(int(n) + 2)
		if err != nil {
			return nil, err
		}
		body = append(body, data[:n]...)
	}
}
