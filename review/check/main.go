package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxCaseTime bounds a case; the review allows 120 s.
const maxCaseTime = 115 * time.Second

// caseFunc plays a case and returns what broke the rule, empty if it held.
type caseFunc func(ctx context.Context, d *deployment) (broken string, err error)

var cases = map[string]caseFunc{
	"machine": machineCase,
	"writer":  writerCase,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: check CASE PROGRAM RECORD")
		return exitFailed
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxCaseTime)
	defer cancel()
	d, err := newDeployment(os.Args[2], rec)
	if err != nil {
		rec.note("cannot run: %v", err)
		return exitFailed
	}
	defer d.close()
	rec.note("case %s, trouble %v", os.Args[1], trouble())
	broken, err := cases[os.Args[1]](ctx, d)
	switch {
	case err != nil:
		rec.note("cannot run: %v", err)
		return exitFailed
	case broken != "":
		rec.note("BROKEN: %s", broken)
		return exitBroken
	}
	rec.note("held")
	return exitHeld
}

// trouble reports whether the case runs with its disruption.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }
