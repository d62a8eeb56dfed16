// Command trial3 runs the cases of the third review whose faults can't be put as a day of the bench. It starts the project's entry VMs as
// processes on loopback addresses, with stand-ins for the platform's store, the replicas and the callers, and checks one rule from outside.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether its rule held.
var cases = map[string]func(t *trial) (held bool, err error){
	"first-event-crash": firstEventCrash,
	"many-parts":        manyParts,
	"killed-order":      killedOrder,
	"brittle-stop":      brittleStop,
	"late-delivery":     lateDelivery,
}

func main() {
	name := flag.String("case", "", "name of the case")
	recordPath := flag.String("record", "record.txt", "file to which the case writes what was sent, answered and run")
	root := flag.String("root", ".", "root of the repository, where the programs are started")
	flag.Parse()
	run, known := cases[*name]
	if !known {
		fmt.Fprintf(os.Stderr, "case %q is unknown\n", *name)
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(run, *recordPath, *root))
}

// runCase runs a case, ends all processes and returns the exit code.
func runCase(run func(t *trial) (bool, error), recordPath, root string) int {
	t, err := newTrial(recordPath, root, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		t.end()
		os.Exit(exitNotRun)
	}()
	held, err := run(t)
	t.end()
	switch {
	case err != nil:
		t.logf("the case could not run: %v", err)
		return exitNotRun
	case held:
		t.logf("RESULT: the rule held")
		return exitHeld
	}
	t.logf("RESULT: the rule was broken")
	return exitBroken
}
