// Command harness runs the review's cases. It starts the nodes as separate
// processes on loopback addresses and plays the platform, its store, the workers
// and the clients itself. It exits with 0 if the case's rule held, with 1 if it
// was broken and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
	// maxRunTime is below the 120 seconds that a script may take.
	maxRunTime = 100 * time.Second
)

// scenario plays one case. It returns the violations of the case's rule.
type scenario func(f *fleet, trouble bool) ([]string, error)

var scenarios = map[string]struct {
	options fleetOptions
	play    scenario
}{
	"late-beats": {options: lateBeatsOptions, play: playLateBeats},
	"endless":    {options: endlessOptions, play: playEndless},
	"roll-move":  {options: rollMoveOptions, play: playRollMove},
	"uploads":    {options: uploadsOptions, play: playUploads},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE NODE-PROGRAM RECORD-FILE")
		return exitUnable
	}
	sc, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitUnable
	}
	trouble := os.Getenv("TROUBLE") != "0"
	f, err := newFleet(os.Args[2], os.Args[3], sc.options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	defer f.close()
	// A run that hangs ends before the script's time is over.
	watchdog := time.AfterFunc(maxRunTime, func() {
		f.close()
		os.Exit(exitUnable)
	})
	defer watchdog.Stop()
	violations, err := sc.play(f, trouble)
	if err != nil {
		f.record("error: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitUnable
	}
	for _, v := range violations {
		f.record("violation: %s", v)
	}
	f.record("violations: %d, trouble: %t", len(violations), trouble)
	fmt.Printf("violations: %d, trouble: %t\n", len(violations), trouble)
	if len(violations) > 0 {
		fmt.Println("first:", violations[0])
		return exitBroken
	}
	return exitHeld
}
