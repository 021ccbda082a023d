// Command turmericroute runs an instance of the scheduler and is the
// command-line client of its API.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	a := &app{out: os.Stdout, err: os.Stderr, in: os.Stdin}
	code := a.run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
