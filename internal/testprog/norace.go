//go:build !race

package testprog

const raceOn = false
