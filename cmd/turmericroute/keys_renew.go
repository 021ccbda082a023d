package main

import (
	"context"
	"flag"
	"fmt"

	"turmericroute/auth"
)

const keysRenewUsage = `
Issues new certificates for all peers in a settings file, with the authority that
"keys init" created. Running instances reload them within seconds.

EXAMPLE
  turmericroute keys renew -settings examples/cobreria/c1.yaml -dir examples/cobreria/keys`

func keysRenewCommand() commandSpec {
	var settings, dir string
	return commandSpec{
		name: "renew", short: "issue new certificates with the same authority", long: keysRenewUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&settings, "settings", "", "settings `file` of one instance; each of its peers gets a certificate")
			fs.StringVar(&dir, "dir", "keys", "`folder` of the authority")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			cfg, err := readSettings(settings)
			if err != nil {
				return err
			}
			a, err := auth.OpenAuthority(dir)
			if err != nil {
				return usagef("set -dir to the folder that 'keys init' wrote", "%v", err)
			}
			if err := issueCertificates(a, cfg.Peers); err != nil {
				return err
			}
			fmt.Fprintf(s.out, "certificates of %d instances are renewed in %s\n", len(cfg.Peers), dir)
			return nil
		},
	}
}
