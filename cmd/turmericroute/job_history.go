package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"turmericroute/serve"
)

const jobHistoryUsage = `
Prints the events of a job in the logs of all processes, ordered by time, and
where the job waited longest. It calls no instance.

EXAMPLE
  turmericroute job history 5c0e7a21d94b36f8 entry-1.log control-1.log control-2.log`

func jobHistoryCommand() commandSpec {
	return commandSpec{
		name: "history", args: "ID FILE...", short: "show the events of a job in log files", long: jobHistoryUsage,
		minArgs: 2, maxArgs: 1000, local: true,
		run: func(_ context.Context, s *session, args []string) error {
			var logs []io.Reader
			for _, path := range args[1:] {
				f, err := os.Open(path)
				if err != nil {
					return usagef("check the paths of the log files", "%v", err)
				}
				defer f.Close()
				logs = append(logs, f)
			}
			list, err := serve.JobHistory(args[0], logs...)
			if err != nil {
				return fmt.Errorf("read logs: %w", err)
			}
			if len(list) == 0 {
				return errors.New("no log line mentions job " + args[0])
			}
			for _, o := range list {
				fmt.Fprintf(s.out, "%s %-24s %s\n", o.At.UTC().Format("15:04:05.000"), o.Node, o.Text)
			}
			if after, wait := serve.LongestGap(list); wait > 0 {
				fmt.Fprintf(s.out, "longest wait: %s after %s\n", wait.Round(time.Millisecond), list[after].Text)
			}
			return nil
		},
	}
}
