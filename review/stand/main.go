// Command stand plays one case of the review: it starts nodes as separate processes and stands in for the platform's store,
// the servers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(d *deployment, trouble bool) (verdict, error){
	"stray": runStray,
	"leave": runLeave,
	"stop":  runStop,
	"large": runLarge,
	"order": runOrder,
}

// smallLayout returns two services with two machines each in two zones.
func smallLayout() []machineSpec {
	return []machineSpec{
		{"leinster-a", "catalogue"}, {"leinster-b", "catalogue"}, {"leinster-a", "archive"}, {"leinster-b", "archive"},
	}
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return exitNotRun
	}
	name, trouble := os.Args[1], os.Getenv("TROUBLE") != "0"
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r.add("case", "name", name, "trouble", trouble)
	d, err := newDeployment(r, smallLayout())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.stop()
	type outcome struct {
		verdict verdict
		err     error
	}
	done := make(chan outcome, 1)
	go func() {
		v, err := cases[name](d, trouble)
		done <- outcome{v, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case o := <-done:
		return report(r, o.verdict, o.err)
	case <-signals:
		return report(r, verdict{}, fmt.Errorf("interrupted"))
	case <-time.After(caseLimit):
		return report(r, verdict{}, fmt.Errorf("not finished after %s", caseLimit))
	}
}

func report(r *record, v verdict, err error) int {
	switch {
	case err != nil:
		r.add("result", "could_not_run", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case v.broken:
		r.add("result", "broken", v.text)
		fmt.Println("broken:", v.text)
		return exitBroken
	default:
		r.add("result", "held", v.text)
		fmt.Println("held:", v.text)
		return exitHeld
	}
}
