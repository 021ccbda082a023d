package main

import (
	"context"
	"flag"
	"fmt"

	"go.yaml.in/yaml/v3"

	"turmericroute/auth"
	"turmericroute/config"
)

const keysTokenUsage = `
Makes a token and prints its secret, for the caller, and its entry, for the
tokens file of every instance. Instances read the changed file within seconds.
Roles: operator (everything), team (jobs and requests of one team), worker and
upstream (what one worker or upstream says of itself).

EXAMPLE
  turmericroute keys token -name tejados-ci -role team -subject tejados`

func keysTokenCommand() leaf {
	var e auth.Entry
	var role string
	return leaf{
		name: "token", short: "make an access token", long: keysTokenUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&e.Name, "name", "", "`name` of the token in the audit log")
			fs.StringVar(&role, "role", "", "operator, team, worker or upstream")
			fs.StringVar(&e.Subject, "subject", "", "`name` of the team, worker or upstream")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			secret, hash := auth.NewSecret()
			e.Role, e.SHA256 = auth.Role(role), hash
			file := auth.File{Tokens: []auth.Entry{e}}
			if faults := file.Validate(); len(faults) > 0 {
				return &usageError{message: "the token cannot be made", hint: "correct the flags named above", faults: config.Strings(faults)}
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
