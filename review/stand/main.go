package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a case, including the start of the processes.
const caseTimeout = 100 * time.Second

// errNotRun marks an error that keeps a case from being played as it is meant.
var errNotRun = errors.New("the case could not run")

func notRun(format string, args ...any) error {
	return fmt.Errorf("%w: %s", errNotRun, fmt.Sprintf(format, args...))
}

// cases are the plays by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(p *play) (string, error){
	"late-heartbeat": playLateHeartbeat,
	"late-leave":     playLateLeave,
	"late-order":     playLateOrder,
	"wave":           playWave,
	"reclaim":        playReclaim,
	"late-submit":    playLateSubmit,
	"fills":          playFills,
	"big-answer":     playBigAnswer,
	"other-writer":   playOtherWriter,
	"bad-config":     playBadConfig,
	"refused":        playRefused,
	"advice":         playAdvice,
	seedsCase:        playSeeds,
}

// seedsCase is the case that begins before the first configuration.
const seedsCase = "seeds"

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "file to which the record is written")
	binary := flag.String("binary", "target/turmericroute", "path of the built program")
	flag.Parse()
	f, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return exitNotRun
	}
	rec, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	p, err := newPlay(rec, *binary, trouble, *name == seedsCase && trouble)
	if err != nil {
		rec.add("result", "could not run: %v", err)
		return exitNotRun
	}
	defer p.stop()
	if *name != seedsCase {
		if err := p.applyConfig(1); err != nil {
			rec.add("result", "%v", err)
			return exitNotRun
		}
	}
	broken, err := f(p)
	switch {
	case err == nil && broken == "" && p.ctx.Err() != nil:
		rec.add("result", "the time of the case has run out")
		return exitNotRun
	case err != nil:
		rec.add("result", "%v", err)
		return exitNotRun
	case broken != "":
		rec.add("result", "BROKEN: %s", broken)
		return exitBroken
	}
	rec.add("result", "held")
	return exitHeld
}
