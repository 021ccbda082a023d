package main

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"go.yaml.in/yaml/v3"

	"turmericroute/auth"
	"turmericroute/config"
)

const keysTokenUsage = `
Creates a token and prints its secret, for the caller, and its entry, for the
tokens file of every instance. Instances reload the changed file within seconds.
Roles: operator (everything), team (jobs and requests of one team), worker and
upstream (reports of one worker or upstream about itself).

With -file the entry is added to a tokens file. The file is rewritten; comments
in it are lost.

EXAMPLES
  turmericroute keys token -name tejados-ci -role team -subject tejados
  turmericroute keys token -name ana -role operator -file keys/tokens.yaml`

func keysTokenCommand() commandSpec {
	var e auth.TokenEntry
	var role, path string
	return commandSpec{
		name: "token", short: "create an access token", long: keysTokenUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&e.Name, "name", "", "`name` of the token in the audit log")
			fs.StringVar(&role, "role", "", "operator, team, worker or upstream")
			fs.StringVar(&e.Subject, "subject", "", "`name` of the team, worker or upstream")
			fs.StringVar(&path, "file", "", "tokens `file` to add the entry to")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			secret, hash := auth.NewSecret()
			e.Role, e.SHA256 = auth.Role(role), hash
			file := auth.TokensFile{Tokens: []auth.TokenEntry{e}}
			if path != "" {
				return s.addToken(path, secret, e)
			}
			if faults := file.Validate(); len(faults) > 0 {
				return &usageError{message: "the token is invalid", hint: "correct the flags named above", faults: config.FaultStrings(faults)}
			}
			b, err := yaml.Marshal(file.Tokens)
			if err != nil {
				return fmt.Errorf("encode token: %w", err)
			}
			fmt.Fprintf(s.out, "secret, shown once: %s\nentry for the tokens file:\n%s", secret, b)
			return nil
		},
	}
}

// addToken adds an entry to the tokens file at path and prints the secret.
func (s *session) addToken(path, secret string, e auth.TokenEntry) error {
	if err := auth.AddToken(path, e); err != nil {
		var f *auth.FaultsError
		if errors.As(err, &f) {
			return &usageError{message: "the token cannot be added", hint: "correct the flags or the file; nothing was changed", faults: config.FaultStrings(f.Faults)}
		}
		return usagef("check the path after -file", "%v", err)
	}
	fmt.Fprintf(s.out, "secret, shown once: %s\nadded to %s\n", secret, path)
	return nil
}
