package main

import (
	"context"
	"flag"
	"fmt"

	"turmericroute/auth"
)

const keysRenewUsage = `
Makes new certificates with the authority that "keys init" made, for all peers
of a settings file. Running instances use them within seconds of the change.

EXAMPLE
  turmericroute keys renew -settings examples/cobreria/c1.yaml -dir examples/cobreria/keys`

func keysRenewCommand() commandSpec {
	var settings, dir string
	return commandSpec{
		name: "renew", short: "make new certificates with the same authority", long: keysRenewUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&settings, "settings", "", "settings `file` of one instance, whose peers get certificates")
			fs.StringVar(&dir, "dir", "keys", "`folder` that holds the authority")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			cfg, err := readSettings(settings)
			if err != nil {
				return err
			}
			a, err := auth.OpenAuthority(dir)
			if err != nil {
				return usagef("name the folder that 'keys init' wrote", "%v", err)
			}
			if err := issueCertificates(a, cfg.Peers); err != nil {
				return err
			}
			fmt.Fprintf(s.out, "certificates of %d instances are renewed in %s\n", len(cfg.Peers), dir)
			return nil
		},
	}
}
