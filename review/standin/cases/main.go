// Command cases runs one case of the review: cases NAME FOLDER.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"review/harness"
)

const limit = 110 * time.Second

var cases = map[string]func(*harness.Case){
	"restart": restart,
	"retry":   retry,
	"rolling": rolling,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER")
		os.Exit(harness.Invalid)
	}
	runtime.LockOSThread() // the program's processes end with this thread
	c := harness.New(os.Args[2])
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { c.End(harness.Invalid, "%v", <-signals) }()
	time.AfterFunc(limit, func() { c.End(harness.Invalid, "took too long") })
	cases[os.Args[1]](c)
}
