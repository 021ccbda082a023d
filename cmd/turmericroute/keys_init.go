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
Creates a development certificate authority and, for each peer in a settings
file, a certificate that is valid for 90 days. It also creates a tokens file with
one operator token, whose secret is printed once. In production, use a
certificate authority whose key is not stored with the instances.

EXAMPLE
  turmericroute keys init -settings examples/cobreria/c1.yaml -dir examples/cobreria/keys`

func keysInitCommand() commandSpec {
	var settings, dir string
	return commandSpec{
		name: "init", short: "create a development certificate authority, certificates and a token", long: keysInitUsage, local: true,
		flags: func(fs *flag.FlagSet) {
			fs.StringVar(&settings, "settings", "", "settings `file` of one instance; each of its peers gets a certificate")
			fs.StringVar(&dir, "dir", "keys", "`folder` to write to")
		},
		run: func(_ context.Context, s *session, _ []string) error {
			cfg, err := readSettings(settings)
			if err != nil {
				return err
			}
			secret, err := writeKeys(dir, cfg.Peers)
			if err != nil {
				return usagef("use a writable -dir that contains no keys yet", "%v", err)
			}
			fmt.Fprintf(s.out, "keys of %d instances are in %s\n", len(cfg.Peers), dir)
			fmt.Fprintf(s.out, "operator token, shown once: %s\n", secret)
			return nil
		},
	}
}

// writeKeys writes the authority, the certificates and the tokens file to dir and returns the secret of the operator token.
func writeKeys(dir string, peers []serve.Peer) (string, error) {
	a, err := auth.NewAuthority(dir)
	if err != nil {
		return "", err
	}
	if err := issueCertificates(a, peers); err != nil {
		return "", err
	}
	secret, hash := auth.NewSecret()
	file := auth.TokensFile{Tokens: []auth.TokenEntry{{Name: "operator", Role: auth.RoleOperator, SHA256: hash}}}
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

// peerIPs returns the distinct IP addresses of an instance.
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
