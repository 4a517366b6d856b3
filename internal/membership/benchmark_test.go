package membership

import (
	"fmt"
	"runtime"
	"testing"
)

// startFullView returns a view whose members are all alive.
func startFullView(size int) *View {
	v := startView(size)
	for i := 1; i < size; i++ {
		v.Apply(1, sender{i, 1, 5, size}.gossipMessage())
	}
	return v
}

// BenchmarkEvent measures a ping with its ack, and a timer, at the sizes of large
// fleets.
func BenchmarkEvent(b *testing.B) {
	for _, size := range []int{16, 300, 1000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			v := startFullView(size)
			m := message{kind: ping, seq: 9, incarnation: 1, bootID: 5, name: "n7", listSize: uint32(size), digest: v.Digest()}
			received := MessageReceived{Number: 7, Message: m.append(nil)}
			nowMS := 10_000.0
			b.ReportAllocs()
			for b.Loop() {
				nowMS += 0.001
				v.Apply(nowMS, received)
			}
		})
	}
}

// BenchmarkMemory measures the bytes of a view of 1,000 members.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var views []*View
	for b.Loop() {
		views = append(views, startFullView(1000))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(views)), "bytes/view")
	runtime.KeepAlive(views)
}
