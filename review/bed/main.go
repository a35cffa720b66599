// Command bed plays the scripts of the second review. It starts nodes with the
// command of the deploy file and plays the platform's store, the workers and the
// clients itself.
//
// Usage: bed CASE RECORD. It exits with 1 if the rule was broken, with 0 if it
// held and with 2 if the case couldn't run. With TROUBLE=0 in its environment it
// leaves out the disruption.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases are the scripts by name. Each reports how often the rule was broken.
var cases = map[string]func(r *record, trouble bool) (broken int, err error){
	"leaving":    playLeaving,
	"heads":      playHeads,
	"turnedaway": playTurnedAway,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "bed:", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	broken, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "bed:", err)
		return exitNotRun
	}
	r.add("the rule was broken %d times, disruption played: %t", broken, trouble)
	fmt.Printf("%s: the rule was broken %d times, disruption played: %t\n", os.Args[1], broken, trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
