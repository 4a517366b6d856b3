// Command case plays one case of this review: case N ROOT FOLDER.
package main

import (
	"fmt"
	"os"

	"dewhill-review-2/rig"
)

var cases = map[string]func(*rig.Rig) string{
	"function": playFunction,
	"kill":     playKill,
	"poll":     playPoll,
	"order":    playOrder,
	"quorum":   playQuorum,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: case NAME ROOT FOLDER")
		os.Exit(rig.CannotRun)
	}
	rig.Main(os.Args[2], os.Args[3], cases[os.Args[1]])
}
