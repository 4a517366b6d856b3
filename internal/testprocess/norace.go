//go:build !race

package testprocess

// RaceEnabled reports whether the tests run with the race detector.
const RaceEnabled = false
