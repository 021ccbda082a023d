package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"turmericroute/client"
)

const dumpUsage = `
Prints the state of one process as JSON in a stable order, without secrets.

EXAMPLE
  turmericroute dump -addresses 127.0.0.1:7101 > a1.json`

func dumpCommand() leaf {
	return leaf{
		name: "dump", short: "print the state of a process", long: dumpUsage,
		run: call(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			raw, err := c.Dump(ctx)
			if err != nil {
				return err
			}
			var b bytes.Buffer
			if err := json.Indent(&b, raw, "", "  "); err != nil {
				return fmt.Errorf("indent dump: %w", err)
			}
			if _, err := fmt.Fprintln(s.out, b.String()); err != nil {
				return fmt.Errorf("write dump: %w", err)
			}
			return nil
		}),
	}
}
