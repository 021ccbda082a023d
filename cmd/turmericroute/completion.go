package main

import (
	"context"
	"flag"
	"fmt"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
)

const completionUsage = `
Prints a completion script for bash, zsh or fish that completes subcommands and
flags. The script calls "turmericroute completion words" for the candidates.

EXAMPLE
  source <(turmericroute completion bash)`

const bashCompletion = `_turmericroute() {
  local IFS=$'\n'
  COMPREPLY=($(turmericroute completion words -- "${COMP_WORDS[@]:1:COMP_CWORD}" 2>/dev/null))
}
complete -o default -F _turmericroute turmericroute
`

const zshCompletion = `autoload -U +X bashcompinit && bashcompinit
` + bashCompletion

const fishCompletion = `complete -c turmericroute -a '(turmericroute completion words -- (commandline -opc)[2..] (commandline -ct) 2>/dev/null)'
`

func completionCommand() commandSpec {
	return commandSpec{
		name: "completion", args: "bash|zsh|fish", short: "print a completion script for a shell", long: completionUsage,
		local: true, minArgs: 1, maxArgs: maxCompletionWords, allowDash: true,
		run: func(_ context.Context, s *session, args []string) error {
			scripts := map[string]string{"bash": bashCompletion, "zsh": zshCompletion, "fish": fishCompletion}
			if args[0] == "words" {
				s.complete(slices.DeleteFunc(args[1:], func(a string) bool { return a == "--" }))
				return nil
			}
			script, ok := scripts[args[0]]
			if !ok {
				return usagef(suggestion(args[0], []string{"bash", "zsh", "fish"}, "turmericroute completion -h"), "no script for the shell %q", args[0])
			}
			_, err := fmt.Fprint(s.out, script)
			return err
		},
	}
}

// maxCompletionWords bounds the number of words of the command line to complete.
const maxCompletionWords = 256

// complete prints the candidates for the last word of a command line.
func (a *app) complete(words []string) {
	last := ""
	if n := len(words); n > 0 {
		last, words = words[n-1], words[:n-1]
	}
	c := a.root
	for _, w := range words {
		if sub := subcommand(c, w); sub != nil {
			c = sub
		}
	}
	for _, candidate := range candidates(c, strings.HasPrefix(last, "-")) {
		if strings.HasPrefix(candidate, last) {
			fmt.Fprintln(a.out, candidate)
		}
	}
}

func subcommand(c *ffcli.Command, name string) *ffcli.Command {
	for _, s := range c.Subcommands {
		if s.Name == name {
			return s
		}
	}
	return nil
}

func candidates(c *ffcli.Command, flags bool) []string {
	var out []string
	for _, s := range c.Subcommands {
		out = append(out, s.Name)
	}
	if flags {
		c.FlagSet.VisitAll(func(f *flag.Flag) { out = append(out, "-"+f.Name) })
	}
	return out
}
