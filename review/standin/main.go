//go:build review

// Command standin plays one case of the review: it starts the controllers of this project by the deploy file, with
// stand-ins for the state service, the cloud, the workers and the users, and checks one rule. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// play runs a case and returns how the rule was broken, "" if it held.
type play func(rec *record, dir string, trouble bool) (broken string, err error)

var cases = map[string]play{
	"small-tasks": smallTasks,
	"avoided":     avoided,
	"old-report":  oldReport,
}

// limit bounds a case.
const limit = 118 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(p play, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		runtime.LockOSThread() // the controllers end with the thread that started them
		broken, err := p(rec, dir, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case s := <-stop:
		r.err = fmt.Errorf("ended by signal %v", s)
	case <-time.After(limit):
		r.err = fmt.Errorf("not over after %v", limit)
	}
	switch {
	case r.err != nil:
		rec.add("verdict: could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
		return 2
	case r.broken != "":
		rec.add("verdict: broken: %s", r.broken)
		fmt.Println("broken:", r.broken)
		return 1
	}
	rec.add("verdict: the rule held")
	fmt.Println("the rule held")
	return 0
}
