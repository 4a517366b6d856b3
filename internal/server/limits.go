package server

import (
	"math"
	"runtime"
	"runtime/debug"
	"syscall"
)

// The garbage collector runs rarely while the heap is far below the memory limit, and
// keeps it below the limit.
const (
	heapLimitPercent = 60 // memory limit of the runtime, in percent of the configured memory
	gcPercent        = 400
)

// applyResourceLimits configures the runtime's scheduler and garbage collector for a number
// of cores and an amount of memory. A limit of 0 leaves the runtime's default.
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

// The division of file descriptors.
const (
	defaultDescriptors    = 1024
	minDescriptors        = 32
	minTrafficDescriptors = 8 // the minimum for clients and engines together

	// reservedDescriptors are for the standard streams, the runtime, the listeners, the
	// socket for peers, two connections to the discovery service while one replaces the
	// other, and files that are read or written.
	reservedDescriptors = 16

	operatorDivisor = 16 // 1/operatorDivisor of the descriptors is for operators, if their API is on
	engineDivisor   = 3  // 1/engineDivisor of the rest is for engines

	// 1/overLimitClientDivisor of the clients' descriptors is for connections over the limit,
	// which are rejected.
	overLimitClientDivisor = 5

	// 1/openRequestDivisor of the descriptors is the limit of open requests: each open
	// request has a client connection of its own.
	openRequestDivisor = 3
)

// descriptorLimits are the limits of connections of each kind.
type descriptorLimits struct {
	clients   int
	engines   int
	operators int
}

// divideDescriptors divides the file descriptors that the configuration and the system
// allow. Clients, engines and operators have separate limits, so that no number of clients
// cuts the program off from its endpoint list, its engines, its peers or its operators.
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
