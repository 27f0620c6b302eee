// Command stand2 runs the cases of the second review with stand-ins of its own for the platform's store, servers and clients.
package main

import (
	"fmt"
	"os"
)

// maxCaseSeconds bounds a case; the scripts allow 120 s.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(r *record, trouble bool) (int, error){
		"stop-slow-reader": runStopSlowReader,
		"stalled-bodies":   runStalledBodies,
		"foreign-beat":     runForeignBeat,
		"spoiled-stamp":    runSpoiledStamp,
		"good-rollout":     runGoodRollout,
	}
	run, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.addf("case %s, with the disruption: %t", os.Args[1], trouble)
	code, err := run(r, trouble)
	if err != nil {
		r.addf("the case could not run: %v", err)
		code = exitNotRun
	}
	r.addf("exit code %d (0: the rule held, 1: it was broken, 2: not run)", code)
	os.Exit(code)
}
