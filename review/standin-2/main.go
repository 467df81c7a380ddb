package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// cases are the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(out *journal, dir string, trouble bool) (broken []string, err error){
	"late-promote-sync":     latePromoteSync,
	"late-promote-join":     latePromoteJoin,
	"late-promote-unfenced": latePromoteUnfenced,
	"late-promote-drain":    latePromoteDrain,
	"drain-sync":            drainSync,
	"evacuation":            evacuation,
	"shapes":                shapes,
	"memory":                memory,
	"values":                staleValues,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin-2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*journal, string, bool) ([]string, error), record string) int {
	out, err := newJournal(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer out.close()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := run(out, dir, os.Getenv("TROUBLE") != "0")
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-interrupted:
		r.err = errCannotRun
		endEdges()
	case <-time.After(110 * time.Second):
		r.err = errors.New("the case takes too long")
		endEdges()
	}
	switch {
	case r.err != nil:
		out.add("can't run: %v", r.err)
		fmt.Println("can't run:", r.err)
		return exitCannotRun
	case len(r.broken) == 0:
		out.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	for _, b := range r.broken {
		out.add("BROKEN: %s", b)
	}
	fmt.Printf("the rule was broken %d times, the first: %s\n", len(r.broken), r.broken[0])
	return exitBroken
}
