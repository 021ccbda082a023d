package main

import (
	"context"
	"fmt"
	"runtime/debug"
)

const versionUsage = `
Prints the version of this program, the commit it was built from and the Go
version.`

func versionCommand() commandSpec {
	return commandSpec{
		name: "version", short: "print the version of this program", long: versionUsage, local: true,
		run: func(_ context.Context, s *session, _ []string) error {
			info, ok := debug.ReadBuildInfo()
			if !ok {
				return usagef("build the program with Go modules", "the binary contains no build information")
			}
			commit := "unknown commit"
			for _, kv := range info.Settings {
				if kv.Key == "vcs.revision" {
					commit = kv.Value
				}
			}
			_, err := fmt.Fprintf(s.out, "%s %s (%s, %s)\n", program, info.Main.Version, commit, info.GoVersion)
			return err
		},
	}
}
