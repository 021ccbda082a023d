package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/peterbourgon/ff/v3/ffyaml"

	"turmericroute/auth"
	"turmericroute/client"
)

const (
	program       = "turmericroute"
	envPrefix     = "TURMERICROUTE"
	defaultServer = "127.0.0.1:7101"
	// defaultTimeout leaves time for an election of under 2 s and a second try.
	defaultTimeout = 10 * time.Second
)

// app is one run of the command line.
type app struct {
	out, err io.Writer
	in       io.Reader
	root     *ffcli.Command
	// asked is the command whose usage the flag package asked for.
	asked *ffcli.Command
	flags map[string]bool
}

// leaf describes a subcommand that does something.
type leaf struct {
	name, args, short, long string
	// minArgs and maxArgs bound the arguments after the flags.
	minArgs, maxArgs int
	// local says that the command calls no instance and has no connection flags.
	local bool
	// timeout is the default of -timeout; 0 means defaultTimeout.
	timeout time.Duration
	// raw says that arguments may begin with a dash.
	raw   bool
	flags func(fs *flag.FlagSet)
	run   func(ctx context.Context, s *session, args []string) error
}

// session is what a subcommand works with.
type session struct {
	*app
	addresses, token, team, ca string
	defaults                   string
	timeout                    time.Duration
	json                       bool
}

func (a *app) run(ctx context.Context, args []string) int {
	a.root = a.tree()
	a.flags = map[string]bool{}
	a.collect(a.root)
	err := a.root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(a.out, usageText(a.helped()))
		return exitOK
	case err != nil:
		return a.report(a.parseError(err))
	}
	if err := a.root.Run(ctx); err != nil {
		return a.report(err)
	}
	return exitOK
}

// parseError turns an error of the flag packages into one of usage.
func (a *app) parseError(err error) error {
	if errors.As(err, new(*usageError)) {
		return err
	}
	message := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	return usagef(a.flagHint(err), "%s", message)
}

func (a *app) helped() *ffcli.Command {
	if a.asked != nil {
		return a.asked
	}
	return a.root
}

func (a *app) tree() *ffcli.Command {
	return a.group("", "schedules multi-accelerator jobs with guarantees for each team",
		a.leaf("", serveCommand()), a.leaf("", platformCommand()), a.leaf("", tryCommand()),
		a.group("job", "submits, shows, explains and cancels jobs",
			a.leaf("job", jobSubmitCommand()), a.leaf("job", jobGetCommand()), a.leaf("job", jobExplainCommand()), a.leaf("job", jobHistoryCommand()),
			a.leaf("job", jobListCommand()), a.leaf("job", jobCancelCommand())),
		a.group("config", "reads, checks and changes the configuration",
			a.leaf("config", configGetCommand()), a.leaf("config", configApplyCommand()),
			a.leaf("config", configValidateCommand()), a.leaf("config", configPlanCommand()),
			a.leaf("config", configDiffCommand()), a.leaf("config", configHistoryCommand())),
		a.leaf("", drainCommand()), a.leaf("", undrainCommand()),
		a.group("worker", "lists workers", a.leaf("worker", workerListCommand())),
		a.group("upstream", "lists upstreams", a.leaf("upstream", upstreamListCommand())),
		a.group("keys", "makes development keys and access tokens", a.leaf("keys", keysInitCommand()), a.leaf("keys", keysRenewCommand()),
			a.leaf("keys", keysTokenCommand())),
		a.leaf("", statusCommand()), a.leaf("", dumpCommand()), a.leaf("", completionCommand()), a.leaf("", versionCommand()),
	)
}

// group makes a command that only holds subcommands.
func (a *app) group(name, short string, subs ...*ffcli.Command) *ffcli.Command {
	path := strings.TrimSpace(program + " " + name)
	c := &ffcli.Command{
		Name: name, ShortHelp: short, ShortUsage: path + " SUBCOMMAND", Subcommands: subs,
		FlagSet: newFlagSet(path), UsageFunc: a.noteUsage,
	}
	c.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			a.asked = c
			return usagef("see the subcommands with: "+path+" -h", "%s needs a subcommand", path)
		}
		var names []string
		for _, s := range subs {
			names = append(names, s.Name)
		}
		return usagef(suggestion(args[0], names, path+" -h"), "%s has no subcommand %q", path, args[0])
	}
	return c
}

// leaf makes a command of its description.
func (a *app) leaf(parent string, l leaf) *ffcli.Command {
	path := strings.Join(strings.Fields(program+" "+parent+" "+l.name), " ")
	fs := newFlagSet(path)
	s := &session{app: a}
	s.register(fs, l)
	c := &ffcli.Command{
		Name: l.name, ShortHelp: l.short, LongHelp: strings.TrimSpace(l.long), FlagSet: fs, UsageFunc: a.noteUsage,
		ShortUsage: strings.TrimSpace(path + " [FLAGS] " + l.args),
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("defaults"),
			ff.WithConfigFileParser(a.parseDefaults), ff.WithIgnoreUndefined(true),
		},
	}
	c.Exec = func(ctx context.Context, args []string) error {
		if err := checkArgs(path, l, args); err != nil {
			return err
		}
		return l.run(ctx, s, args)
	}
	return c
}

func (s *session) register(fs *flag.FlagSet, l leaf) {
	fs.StringVar(&s.defaults, "defaults", "", "YAML `file` with values of flags")
	if l.flags != nil {
		l.flags(fs)
	}
	if l.local {
		return
	}
	fs.StringVar(&s.addresses, "addresses", defaultServer, "`host:port` list of instances, separated by commas")
	fs.StringVar(&s.token, "token", "", "access `token`; better set in the environment than on the command line")
	fs.StringVar(&s.ca, "ca", "", "`file` of the authorities of the instances; makes calls use TLS")
	fs.StringVar(&s.team, "as-team", "", "`team` to act for")
	timeout := defaultTimeout
	if l.timeout > 0 {
		timeout = l.timeout
	}
	fs.DurationVar(&s.timeout, "timeout", timeout, "time limit of the whole command")
	fs.BoolVar(&s.json, "json", false, "print JSON for scripts")
}

func checkArgs(path string, l leaf, args []string) error {
	for _, arg := range args {
		if !l.raw && len(arg) > 1 && arg[0] == '-' {
			return usagef("write: "+path+" [FLAGS] "+l.args, "flag %s follows an argument; flags come first", arg)
		}
	}
	if len(args) < l.minArgs || len(args) > l.maxArgs {
		return usagef("see: "+path+" -h", "%s takes %s, got %d", path, countText(l), len(args))
	}
	return nil
}

func countText(l leaf) string {
	switch {
	case l.maxArgs == 0:
		return "no arguments"
	case l.minArgs == l.maxArgs && l.maxArgs == 1:
		return "one argument"
	default:
		return fmt.Sprintf("%d to %d arguments", l.minArgs, l.maxArgs)
	}
}

func newFlagSet(path string) *flag.FlagSet {
	fs := flag.NewFlagSet(path, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// noteUsage remembers the command that the flag package refused flags of.
func (a *app) noteUsage(c *ffcli.Command) string {
	a.asked = c
	return ""
}

func (a *app) collect(c *ffcli.Command) {
	c.FlagSet.VisitAll(func(f *flag.Flag) { a.flags[f.Name] = true })
	for _, s := range c.Subcommands {
		a.collect(s)
	}
}

// parseDefaults reads values of flags for all commands and refuses names that no command has.
func (a *app) parseDefaults(r io.Reader, set func(name, value string) error) error {
	err := ffyaml.Parser(r, func(name, value string) error {
		if !a.flags[name] {
			return usagef("name flags without a dash, as in: addresses: "+defaultServer, "no command has the flag %q", name)
		}
		return set(name, value)
	})
	if err != nil {
		return fmt.Errorf("read file of -defaults: %w", err)
	}
	return nil
}

func usageText(c *ffcli.Command) string { return ffcli.DefaultUsageFunc(c) }

// client returns a client of the instances that the flags name.
func (s *session) client() (*client.Client, error) { return s.clientOf(words(s.addresses)) }

// clientOf returns a client of the instances at the addresses.
func (s *session) clientOf(addresses []string) (*client.Client, error) {
	cfg := client.Config{Addresses: addresses, Token: s.token, Team: s.team}
	if s.ca != "" {
		pool, err := auth.ReadCertPool(s.ca)
		if err != nil {
			return nil, usagef("check the file after -ca", "%v", err)
		}
		cfg.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	}
	return client.New(cfg), nil
}

// call runs a command with a client and within the time limit.
func call(run func(ctx context.Context, s *session, c *client.Client, args []string) error) func(context.Context, *session, []string) error {
	return func(ctx context.Context, s *session, args []string) error {
		c, err := s.client()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, s.timeout)
		defer cancel()
		return run(ctx, s, c, args)
	}
}

// print writes v as JSON, or the text for people.
func (s *session) print(v any, text func(w io.Writer) error) error {
	if !s.json {
		return text(s.out)
	}
	enc := json.NewEncoder(s.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("write JSON: %w", err)
	}
	return nil
}

func userName() string { return os.Getenv("USER") }
