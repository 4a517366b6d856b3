package membership

import (
	"fmt"
	"runtime"
	"testing"
)

// startFullView returns the view of number 0 of a fleet whose members are all alive.
func startFullView(size int) *View {
	v := startView(size)
	for i := 1; i < size; i++ {
		v.Apply(1, sender{i, 1, 5, size}.gossipMessage())
	}
	return v
}

// BenchmarkEvent measures the handling of a ping, which includes its ack and the work
// that is due, in views of several sizes.
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

// BenchmarkMemory measures the memory that a view of 1,000 members takes.
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
