// Command stand runs the cases of the review. Each case starts nodes as separate
// processes with the command of the deploy file. The platform's store, the servers and the
// requesters are stand-ins in this process.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	// exitHeld, exitBroken and exitUnable are the exit statuses of a case.
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// maxRun bounds a case.
	maxRun = 110 * time.Second
)

// caseFunc runs one case and reports whether its rule was broken. With trouble unset, it
// leaves the disruption out.
type caseFunc func(f *fleet, trouble bool) (broken bool, err error)

// cases holds the cases by name.
var cases = map[string]caseFunc{
	"mixed":   runMixed,
	"unasked": runUnasked,
	"stop":    runStop,
	"poison":  runPoison,
	"memory":  runMemory,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case that the arguments name, with the record in the given folder.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitUnable
	}
	r, err := openRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer r.close()
	f, err := newFleet(r)
	if err != nil {
		r.logf("could not run: %v", err)
		return exitUnable
	}
	defer f.close()
	results := make(chan int, 1)
	go func() { results <- play(f, cases[args[0]]) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case status := <-results:
		return status
	case <-signals:
		r.logf("could not run: stopped by a signal")
	case <-time.After(maxRun):
		r.logf("could not run: not done after %v", maxRun)
	}
	return exitUnable
}

// play runs a case and returns the exit status.
func play(f *fleet, run caseFunc) int {
	broken, err := run(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.logf("could not run: %v", err)
		return exitUnable
	case broken:
		f.logf("result: the rule was broken")
		return exitBroken
	}
	f.logf("result: the rule held")
	return exitHeld
}
