package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"turmericroute/client"
	"turmericroute/model"
)

const dumpUsage = `
Collects the state of every instance of -addresses and of every peer that these
report, as JSON in a stable order and without secrets. With -o it is written to a
file; a new file is readable by its owner only. If an instance gave no dump, the
others are still written and the command exits with 1.

EXAMPLES
  turmericroute dump -o dump.json
  turmericroute dump -addresses 127.0.0.1:7101 -one > c1.json`

// dumpFile is the collected state of a deployment.
type dumpFile struct {
	CollectedMS int64                   `json:"collected_ms"`
	Instances   map[string]instanceDump `json:"instances"`
}

type instanceDump struct {
	Address string          `json:"address"`
	Error   string          `json:"error,omitempty"`
	Dump    json.RawMessage `json:"dump,omitempty"`
}

func dumpCommand() commandSpec {
	var file string
	var one bool
	return commandSpec{
		name: "dump", short: "collect the state of every instance", long: dumpUsage,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&file, "o", "", "`file` to write to instead of standard output")
			fs.BoolVar(&one, "one", false, "dump only the instance that answers first")
		},
		run: withClient(func(ctx context.Context, s *session, c *client.Client, _ []string) error {
			if one {
				data, err := c.Dump(ctx)
				if err != nil {
					return err
				}
				return s.writeDump(file, data)
			}
			return s.dumpAll(ctx, file)
		}),
	}
}

func (s *session) dumpAll(ctx context.Context, file string) error {
	list, err := s.fetchInstances(ctx)
	if err != nil {
		return err
	}
	if len(reachedAddresses(list)) == 0 {
		return unreachableError(list)
	}
	dumps := make([]instanceDump, len(list))
	addresses := make([]string, len(list))
	for n, i := range list {
		addresses[n] = i.Address
	}
	err = s.forEachAddress(ctx, addresses, func(ctx context.Context, n int, c *client.Client) {
		dumps[n].Address = addresses[n]
		data, err := c.Dump(ctx)
		if err != nil {
			dumps[n].Error = model.AsError(err).Message
			return
		}
		dumps[n].Dump = data
	})
	if err != nil {
		return err
	}
	out := dumpFile{CollectedMS: time.Now().UnixMilli(), Instances: map[string]instanceDump{}}
	missing := 0
	for n, d := range dumps {
		name := list[n].Name
		if name == "" {
			name = d.Address
		}
		out.Instances[name] = d
		if d.Dump == nil {
			missing++
		}
	}
	if err := s.writeDump(file, out); err != nil {
		return err
	}
	if missing > 0 {
		return &hintedError{
			err:  fmt.Errorf("%d of %d instances gave no dump", missing, len(dumps)),
			hint: "the other dumps are written; see \"error\" of the missing ones",
		}
	}
	return nil
}

// writeDump writes v as JSON to file, or to standard output if file is empty.
func (s *session) writeDump(file string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode dump: %w", err)
	}
	b = append(b, '\n')
	if file == "" {
		if _, err := s.out.Write(b); err != nil {
			return fmt.Errorf("write dump: %w", err)
		}
		return nil
	}
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return fmt.Errorf("write dump: %w", err)
	}
	return nil
}
