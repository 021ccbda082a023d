package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"go.yaml.in/yaml/v3"

	"turmericroute/auth"
	"turmericroute/serve"
)

const keysInitUsage = `
Makes a development authority and, for each instance among the peers of a
settings file, a certificate that is valid for 90 days. It also makes a tokens
file with one operator's token, whose secret is printed once. For production,
use an authority whose key is not kept beside the instances.

EXAMPLE
  turmericroute keys init -settings examples/cobreria/c1.yaml -dir examples/cobreria/keys`

func keysInitCommand() commandSpec {
	var settings, dir string
	return commandSpec{
		name: "init", short: "make a development authority, certificates and a token", long: keysInitUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&settings, "settings", "", "settings `file` of one instance, whose peers get certificates")
			fs.StringVar(&dir, "dir", "keys", "`folder` to write to")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			cfg, err := readSettings(settings)
			if err != nil {
				return err
			}
			secret, err := writeKeys(dir, cfg.Peers)
			if err != nil {
				return usagef("use a -dir that holds no keys yet and can be written to", "%v", err)
			}
			fmt.Fprintf(s.out, "keys of %d instances are in %s\n", len(cfg.Peers), dir)
			fmt.Fprintf(s.out, "operator token, shown once: %s\n", secret)
			return nil
		},
	}
}

// writeKeys writes authority, certificates and tokens and returns the operator's secret.
func writeKeys(dir string, peers []serve.Peer) (string, error) {
	a, err := auth.NewAuthority(dir)
	if err != nil {
		return "", err
	}
	if err := issueCertificates(a, peers); err != nil {
		return "", err
	}
	secret, hash := auth.NewSecret()
	file := auth.File{Tokens: []auth.Entry{{Name: "operator", Role: auth.RoleOperator, SHA256: hash}}}
	b, err := yaml.Marshal(file)
	if err != nil {
		return "", fmt.Errorf("encode tokens: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "tokens.yaml"), b, 0o600); err != nil {
		return "", fmt.Errorf("write tokens: %w", err)
	}
	return secret, nil
}

func issueCertificates(a *auth.Authority, peers []serve.Peer) error {
	for _, p := range peers {
		if err := a.Issue(p.Name, peerIPs(p)); err != nil {
			return err
		}
	}
	return nil
}

// peerIPs returns the IP addresses of an instance without repetition.
func peerIPs(p serve.Peer) []net.IP {
	var ips []net.IP
	seen := map[string]bool{}
	for _, a := range []string{p.HTTPAddress, p.GRPCAddress} {
		host, _, err := net.SplitHostPort(a)
		if ip := net.ParseIP(host); err == nil && ip != nil && !seen[host] {
			ips = append(ips, ip)
			seen[host] = true
		}
	}
	return ips
}
