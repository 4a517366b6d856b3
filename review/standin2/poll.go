package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"dewhill-review-2/rig"
)

// playPoll: clients wait for loads that run for 7 s. One of them is a bad client: when it has
// got its path, it calls that of a further page, which there is not.
func playPoll(r *rig.Rig) string {
	const runMS = 7000
	engines := map[string]string{}
	for i := range 6 {
		id := fmt.Sprintf("s-%d", i+1)
		engines[id] = r.NewEngine(id, runMS).Addr
	}
	listen := r.FreeTCP()
	f := r.StartFront("n0", r.WritePlatform(rig.Platform{Name: "n0", Listen: listen, Engines: engines}))
	r.Until("the front end to listen", 10*time.Second, func() bool { return rig.Accepts(listen) })

	var all sync.WaitGroup
	all.Go(func() { badClient(r, listen, runMS) })
	time.Sleep(time.Second)
	var mu sync.Mutex
	lost := 0
	for i := range 4 {
		all.Go(func() {
			id := fmt.Sprintf("%016x", 0xdef000+i)
			answer, err := rig.PostAndPoll(listen, "load", id, fmt.Sprintf("INSERT INTO stock_%d.trips VALUES (1)", i), runMS, 20000)
			r.Logf("client %d: request %s: %s %v", i, id, answer, err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				lost++
			}
		})
	}
	all.Wait()
	time.Sleep(200 * time.Millisecond)
	if !f.Running() {
		return fmt.Sprintf("the front end crashed, and %d loads of other clients got no answer", lost)
	}
	if lost > 0 {
		r.Fail("%d requests got no answer, although the front end runs", lost)
	}
	return ""
}

func badClient(r *rig.Rig, listen string, runMS int) {
	conn, err := net.Dial("tcp", listen)
	r.Check(err)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(21 * time.Second))
	const statement = "INSERT INTO stock_9.trips VALUES (1)"
	_, _ = fmt.Fprintf(conn, "POST /api/v2/load HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: 0000000000bad000\r\nReq-Wait-Ms: 20000\r\nReq-Cost: %d.0\r\nContent-Length: %d\r\n\r\n%s",
		runMS, len(statement), statement)
	responses := rig.NewResponses(conn)
	status, body, err := responses.Read()
	r.Logf("bad client: %s %s %v", status, body, err)
	path := rig.PollPath(body)
	if path == "" {
		return
	}
	if r.Trouble {
		path = path[:len(path)-1] + "1"
	}
	r.Logf("bad client: calls %s", path)
	_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: origin.svc\r\n\r\n", path)
	status, body, err = responses.Read()
	r.Logf("bad client: %s %s %v", status, body, err)
}
