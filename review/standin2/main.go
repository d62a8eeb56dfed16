// Command standin2 plays the cases of the second review: it starts the platform's store, replicas and callers as stand-ins, and the VMs as
// processes of their own, and checks one rule from what callers and replicas see.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether its rule was broken; without trouble the disruption is left out.
var cases = map[string]func(e *environment, trouble bool) (broken bool, err error){
	"storm":       playStorm,
	"unread":      playUnread,
	"descriptors": playDescriptors,
	"late":        playLate,
	"headers":     playHeaders,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE PROGRAM RECORD")
		os.Exit(exitNotRun)
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintf(os.Stderr, "standin2: case %q is not known\n", os.Args[1])
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, os.Args[2], os.Args[3]))
}

// run plays a case against a program, and writes the record to a file.
func run(play func(*environment, bool) (bool, error), program, record string) int {
	e, err := newEnvironment(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2: "+err.Error())
		return exitNotRun
	}
	defer e.close()
	broken, err := play(e, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		e.record("the case could not run: %v", err)
		return exitNotRun
	case broken:
		e.record("result: the rule was broken")
		return exitBroken
	}
	e.record("result: the rule held")
	return exitHeld
}
