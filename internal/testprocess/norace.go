//go:build !race

package testprocess

const raceEnabled = false
