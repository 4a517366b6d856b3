//go:build race

package testprocess

const raceEnabled = true
