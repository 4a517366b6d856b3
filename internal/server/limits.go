package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// The collector runs rarely below the memory limit and keeps the heap under it.
const (
	heapLimitPercent = 60 // of the machine's memory, for the heap
	gcPercent        = 400
)

// applyResourceLimits sets the scheduler and the collector to the machine's limits.
// A limit of 0 leaves the runtime's default.
func applyResourceLimits(cores float64, memoryMB int) {
	if cores > 0 {
		runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	}
	if memoryMB > 0 {
		memoryBytes := int64(memoryMB) << 20
		debug.SetMemoryLimit(memoryBytes * heapLimitPercent / 100)
		debug.SetGCPercent(gcPercent)
	}
}

// How file descriptors are divided.
const (
	defaultDescriptors    = 1024
	minDescriptors        = 32
	minTrafficDescriptors = 8 // for clients and engines together

	// reservedDescriptors are nobody else's: standard streams, the runtime's own, the
	// listeners, the peers' socket, two connections to the endpoint list as one is
	// replaced by another, and files that are read or written.
	reservedDescriptors = 16

	operatorDivisor        = 16 // one descriptor in so many is for operators' calls, where they may call
	engineDivisor          = 3  // one in so many of the rest is for engines
	overLimitClientDivisor = 5  // one client in so many may be connected over those that are served

	// openRequestDivisor bounds open requests to one descriptor in so many: each has
	// a client's connection of its own.
	openRequestDivisor = 3
)

// descriptorLimits are how many connections each side may have.
type descriptorLimits struct {
	clients   int
	engines   int
	operators int
}

// divideDescriptors divides the file descriptors. Each side has a limit of its own,
// so that no number of clients keeps the program from its endpoint list, its
// engines, its peers or its operators.
func divideDescriptors(descriptors int, operatorAPIEnabled bool) descriptorLimits {
	var system syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system) == nil && system.Cur < uint64(descriptors) {
		descriptors = int(system.Cur)
	}
	var limits descriptorLimits
	remaining := max(minTrafficDescriptors, descriptors-reservedDescriptors)
	if operatorAPIEnabled {
		limits.operators = max(1, descriptors/operatorDivisor)
		remaining = max(minTrafficDescriptors, remaining-limits.operators)
	}
	limits.engines = remaining / engineDivisor
	limits.clients = (remaining - limits.engines) * (overLimitClientDivisor - 1) / overLimitClientDivisor
	return limits
}
