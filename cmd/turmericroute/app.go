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
	// defaultTimeout allows for a leader election, which takes under 2 s, and a retry.
	defaultTimeout = 10 * time.Second
)

// app is one invocation of the program.
type app struct {
	out, err io.Writer
	in       io.Reader
	root     *ffcli.Command
	// usageFor is the command whose usage is printed for -h or named in a hint; nil means root.
	usageFor  *ffcli.Command
	flagNames map[string]bool
}

// commandSpec describes a subcommand that runs, as opposed to a group of subcommands.
type commandSpec struct {
	name, args, short, long string
	// minArgs and maxArgs bound the arguments after the flags.
	minArgs, maxArgs int
	// local commands call no instance and have no connection flags.
	local bool
	// timeout is the default of -timeout; 0 means defaultTimeout.
	timeout time.Duration
	// allowDash permits arguments that begin with a dash.
	allowDash bool
	flags     func(fs *flag.FlagSet)
	run       func(ctx context.Context, s *session, args []string) error
}

// session holds the values of the common flags for a subcommand.
type session struct {
	*app
	addresses, token, team, ca string
	defaults                   string
	timeout                    time.Duration
	json                       bool
}

func (a *app) run(ctx context.Context, args []string) int {
	a.root = a.rootCommand()
	a.flagNames = map[string]bool{}
	a.collectFlags(a.root)
	err := a.root.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		fmt.Fprint(a.out, usageText(a.usageCommand()))
		return exitOK
	case err != nil:
		return a.report(a.parseError(err))
	}
	if err := a.root.Run(ctx); err != nil {
		return a.report(err)
	}
	return exitOK
}

// parseError converts an error of the flag packages to a usageError.
func (a *app) parseError(err error) error {
	if errors.As(err, new(*usageError)) {
		return err
	}
	message := strings.TrimPrefix(err.Error(), "error parsing commandline arguments: ")
	return usagef(a.flagHint(err), "%s", message)
}

func (a *app) usageCommand() *ffcli.Command {
	if a.usageFor != nil {
		return a.usageFor
	}
	return a.root
}

func (a *app) rootCommand() *ffcli.Command {
	return a.group("", "schedules multi-accelerator jobs with guarantees for each team",
		a.command("", serveCommand()), a.command("", platformCommand()), a.command("", tryCommand()),
		a.group("job", "submit, show, explain and cancel jobs",
			a.command("job", jobSubmitCommand()), a.command("job", jobGetCommand()), a.command("job", jobExplainCommand()), a.command("job", jobHistoryCommand()),
			a.command("job", jobListCommand()), a.command("job", jobCancelCommand())),
		a.group("config", "read, validate and change the configuration",
			a.command("config", configGetCommand()), a.command("config", configApplyCommand()),
			a.command("config", configValidateCommand()), a.command("config", configPlanCommand()),
			a.command("config", configDiffCommand()), a.command("config", configHistoryCommand())),
		a.command("", drainCommand()), a.command("", undrainCommand()),
		a.group("worker", "list workers", a.command("worker", workerListCommand())),
		a.group("upstream", "list upstreams", a.command("upstream", upstreamListCommand())),
		a.group("keys", "create development keys and access tokens", a.command("keys", keysInitCommand()), a.command("keys", keysRenewCommand()),
			a.command("keys", keysTokenCommand())),
		a.command("", statusCommand()), a.command("", dumpCommand()), a.command("", completionCommand()), a.command("", versionCommand()),
	)
}

// group returns a command that only holds subcommands.
func (a *app) group(name, short string, subs ...*ffcli.Command) *ffcli.Command {
	path := strings.TrimSpace(program + " " + name)
	c := &ffcli.Command{
		Name: name, ShortHelp: short, ShortUsage: path + " SUBCOMMAND", Subcommands: subs,
		FlagSet: newFlagSet(path), UsageFunc: a.recordUsage,
	}
	c.Exec = func(_ context.Context, args []string) error {
		if len(args) == 0 {
			a.usageFor = c
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

// command returns the ffcli command for spec, below the group parent or the root if that is empty.
func (a *app) command(parent string, spec commandSpec) *ffcli.Command {
	path := strings.Join(strings.Fields(program+" "+parent+" "+spec.name), " ")
	fs := newFlagSet(path)
	s := &session{app: a}
	s.registerFlags(fs, spec)
	c := &ffcli.Command{
		Name: spec.name, ShortHelp: spec.short, LongHelp: strings.TrimSpace(spec.long), FlagSet: fs, UsageFunc: a.recordUsage,
		ShortUsage: strings.TrimSpace(path + " [FLAGS] " + spec.args),
		Options: []ff.Option{
			ff.WithEnvVarPrefix(envPrefix), ff.WithConfigFileFlag("defaults"),
			ff.WithConfigFileParser(a.parseDefaults), ff.WithIgnoreUndefined(true),
		},
	}
	c.Exec = func(ctx context.Context, args []string) error {
		if err := checkArgs(path, spec, args); err != nil {
			return err
		}
		return spec.run(ctx, s, args)
	}
	return c
}

func (s *session) registerFlags(fs *flag.FlagSet, spec commandSpec) {
	fs.StringVar(&s.defaults, "defaults", "", "YAML `file` with flag values")
	if spec.flags != nil {
		spec.flags(fs)
	}
	if spec.local {
		return
	}
	fs.StringVar(&s.addresses, "addresses", defaultServer, "comma-separated `host:port` list of instances")
	fs.StringVar(&s.token, "token", "", "access `token`; prefer the environment variable to the command line")
	fs.StringVar(&s.ca, "ca", "", "`file` with the CA certificates of the instances; enables TLS")
	fs.StringVar(&s.team, "as-team", "", "`team` to act for")
	timeout := defaultTimeout
	if spec.timeout > 0 {
		timeout = spec.timeout
	}
	fs.DurationVar(&s.timeout, "timeout", timeout, "time limit of the whole command")
	fs.BoolVar(&s.json, "json", false, "print JSON instead of text")
}

func checkArgs(path string, spec commandSpec, args []string) error {
	for _, arg := range args {
		if !spec.allowDash && len(arg) > 1 && arg[0] == '-' {
			return usagef("write: "+path+" [FLAGS] "+spec.args, "flag %s follows an argument; flags come first", arg)
		}
	}
	if len(args) < spec.minArgs || len(args) > spec.maxArgs {
		return usagef("see: "+path+" -h", "%s takes %s, got %d", path, formatArgCount(spec), len(args))
	}
	return nil
}

func formatArgCount(spec commandSpec) string {
	switch {
	case spec.maxArgs == 0:
		return "no arguments"
	case spec.minArgs == spec.maxArgs && spec.maxArgs == 1:
		return "one argument"
	default:
		return fmt.Sprintf("%d to %d arguments", spec.minArgs, spec.maxArgs)
	}
}

func newFlagSet(path string) *flag.FlagSet {
	fs := flag.NewFlagSet(path, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs
}

// recordUsage is the UsageFunc of every command: it records the command and prints nothing.
func (a *app) recordUsage(c *ffcli.Command) string {
	a.usageFor = c
	return ""
}

func (a *app) collectFlags(c *ffcli.Command) {
	c.FlagSet.VisitAll(func(f *flag.Flag) { a.flagNames[f.Name] = true })
	for _, s := range c.Subcommands {
		a.collectFlags(s)
	}
}

// parseDefaults reads flag values for all commands and rejects names that no command has.
func (a *app) parseDefaults(r io.Reader, set func(name, value string) error) error {
	err := ffyaml.Parser(r, func(name, value string) error {
		if !a.flagNames[name] {
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

// client returns a client for the instances of -addresses.
func (s *session) client() (*client.Client, error) { return s.clientFor(splitList(s.addresses)) }

// clientFor returns a client for the instances at the addresses.
func (s *session) clientFor(addresses []string) (*client.Client, error) {
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

// withClient returns a run function that calls run with a client and the deadline of -timeout.
func withClient(run func(ctx context.Context, s *session, c *client.Client, args []string) error) func(context.Context, *session, []string) error {
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

// print writes v as JSON with -json, and otherwise calls text.
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
