package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"syscall"
	"time"
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(r *record, trouble bool) bool{}

// The main goroutine stays on the first thread, which lives as long as the process: a sentry is ended with the thread that
// started it.
func init() { runtime.LockOSThread() }

// played is the record of the case that is played.
var played *record

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		names := []string{}
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD, with CASE one of", names)
		os.Exit(2)
	}
	r := openRecord(os.Args[2])
	played = r
	time.AfterFunc(110*time.Second, func() { cannotRun(fmt.Errorf("over 110 s")) })
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ends
		cannotRun(fmt.Errorf("told to end"))
	}()
	held := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	endSentries()
	if !held {
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(1)
	}
	r.line("the rule held")
	fmt.Println("the rule held")
}
