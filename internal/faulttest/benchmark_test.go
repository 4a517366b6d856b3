package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"dewhill/internal/fakes"
)

// startupTime is waited for before the measurement, so that the processor time of the
// start is not attributed to requests.
const startupTime = 3 * time.Second

// BenchmarkRequest measures the processor time that a front end uses per request in a
// fleet of 16 front ends, without and with membership.
func BenchmarkRequest(b *testing.B) {
	cases := []struct{ name, config string }{
		{"false", "on = false\n"},
		{"true", "on = true\n"},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			f := Start(b, Options{Seed: 5, Size: 16, Engines: 4, ClusterConfig: c.config})
			time.Sleep(startupTime)
			benchmarkRequests(b, f.Fronts[0])
			f.KillAll()
		})
	}
}

// benchmarkRequests sends requests to a front end, one after another, and reports the
// processor time per request.
func benchmarkRequests(b *testing.B, front *FrontEnd) {
	b.Helper()
	conn, err := net.Dial("tcp", front.Addr)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	before := front.process.CPUTime()
	requests := 0
	for b.Loop() {
		requests++
		request := newRequest(lookupClass, fmt.Sprintf("%016x", requests))
		if _, err := io.WriteString(conn, request.Message()); err != nil {
			b.Fatal(err)
		}
		if status, _, _, err := fakes.ReadResponse(reader); err != nil || status != 200 {
			b.Fatalf("status %d, %v", status, err)
		}
	}
	used := front.process.CPUTime() - before
	b.ReportMetric(float64(used.Microseconds())/float64(requests), "cpu-µs/request")
}
