// Command standin runs the cases of the review: it starts the project's own daemons as processes, stands in for
// the platform, the workers and the requesters, and judges one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	unrun  = 2
)

// cases are the cases by name; each adds itself. trouble is whether the disruption takes place.
var cases = make(map[string]func(s *system, trouble bool) (int, error))

func main() {
	// The kernel ends the daemons when the thread that started them ends.
	runtime.LockOSThread()
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM TEMPORARY_FOLDER RECORD")
		return unrun
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return unrun
	}
	out, err := os.Create(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer out.Close()
	r := &record{out: out, start: time.Now()}
	s, err := newSystem(os.Args[3], os.Args[2], r, 3)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	defer s.stopDaemons()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		s.stopDaemons()
		os.Exit(unrun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case     %s, disruption %t", os.Args[1], trouble)
	result, err := run(s, trouble)
	if err != nil {
		r.line("error    %v", err)
		fmt.Fprintln(os.Stderr, err)
		return unrun
	}
	r.line("result   %s", map[int]string{held: "the rule held", broken: "the rule was broken", unrun: "the case could not run"}[result])
	return result
}
