// Package cli implements the command line of galenabridge: commands that run a daemon,
// offline tools, and operators' commands, which call the admin interface of any host.
package cli

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1 // the command failed; stderr has the reason
	ExitUsage       = 2 // invalid arguments or settings
	ExitRefused     = 3 // a host refused the request or a release note is invalid
	ExitUnreachable = 4 // no host answered; a change may have been applied or not
)

// exitError is an error with an exit code.
type exitError struct {
	code  int
	cause error
}

func (e *exitError) Error() string { return e.cause.Error() }

func (e *exitError) Unwrap() error { return e.cause }

func exitWith(code int, cause error) error {
	return &exitError{code: code, cause: cause}
}

// App is one invocation of the command line.
type App struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	// Version is the version that the version command prints.
	Version string
}

// command is a command that can be run, in contrast to a commandGroup.
type command interface {
	run(app *App) error
}

// Main runs the command that args select and returns the exit code. Errors are written
// to Stderr.
func (a *App) Main(args []string) int {
	parser := flags.NewNamedParser("galenabridge", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "database proxy with session consistency"
	commands, err := register(parser)
	if err != nil {
		return a.reportError(err)
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return a.reportError(err)
	}
	if len(rest) > 0 {
		return a.reportError(exitWith(ExitUsage, errors.Errorf("unexpected argument %q", rest[0])))
	}
	return a.reportError(commands[activeLeaf(parser)].run(a))
}

// activeLeaf returns the innermost command that the parsed arguments select.
func activeLeaf(parser *flags.Parser) *flags.Command {
	leaf := parser.Active
	for leaf.Active != nil {
		leaf = leaf.Active
	}
	return leaf
}

// reportError writes an error, or the requested help, and returns the exit code. A nil error
// is success.
func (a *App) reportError(err error) int {
	if err == nil {
		return ExitOK
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(a.Stdout, usage.Message)
			return ExitOK
		}
		fmt.Fprintln(a.Stderr, usage.Message)
		return ExitUsage
	}
	fmt.Fprintln(a.Stderr, "galenabridge:", err)
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailure
}

// commandSpec describes a command for registration.
type commandSpec struct {
	name, short, long string
	cmd               command
}

// commandGroup is a command that only has subcommands.
type commandGroup struct {
	name, short string
	commands    []commandSpec
}

func topLevelCommands() []commandSpec {
	return []commandSpec{
		{"serve", "run a host", "Run a host with the roles in its settings.", &serveCommand{}},
		{"dev", "run a complete development system", "Run a control host, two entry hosts and one database group of three stand-in endpoints on loopback.", &devCommand{}},
		{"standin", "run a stand-in endpoint", "Run one stand-in database endpoint.", &standinCommand{}},
		{"status", "show the state of the fleet", "Show hosts, leases, groups and endpoints.", &statusCommand{}},
		{"usage", "show the usage reports", "Show the latest windows whose requests were reported to the platform, as the control leader knows them.", &usageCommand{}},
		{"explain", "explain a request from logs", "Merge the log lines of several hosts about one request, and the state changes around it, in order of time.", &explainCommand{}},
		{"account", "count late and refused statements from logs", "Count the statements that were late or refused in each interval, by cause, from the logs of several hosts.", &accountCommand{}},
		{"version", "print the version", "Print the version of this build.", &versionCommand{}},
	}
}

func commandGroups() []commandGroup {
	return []commandGroup{
		{"note", "work with release notes", []commandSpec{
			{"check", "check a release note", "Check a release note; with --admin also against the catalog in force.", &noteCheckCommand{}},
			{"apply", "apply a release note", "Apply a release note. Applying the same note again is safe.", &noteApplyCommand{}},
			{"show", "show the catalog in force", "Show the catalog in force, without secrets.", &noteShowCommand{}},
			{"diff", "show what a note would change", "Show what a release note would change in the catalog in force.", &noteDiffCommand{}},
			{"history", "list the accepted notes", "List the accepted release notes.", &noteHistoryCommand{}},
		}},
		{"key", "work with keys", []commandSpec{
			{"new", "generate a key", "Generate a key and print it with its verifier. The key is not stored.", &keyNewCommand{}},
		}},
		{"config", "work with settings", []commandSpec{
			{"check", "check a settings file", "Check a settings file and report every error.", &configCheckCommand{}},
			{"example", "print example settings", "Print the settings of a host with both roles.", &configExampleCommand{}},
		}},
		{"store", "inspect a data folder", []commandSpec{
			{"verify", "verify a data folder", "Verify the checksums of a data folder that no host is using.", &storeVerifyCommand{}},
			{"dump", "print a data folder", "Print the log and snapshot of a data folder that no host is using.", &storeDumpCommand{}},
		}},
	}
}

// register adds all commands to parser and returns those that can be run.
func register(parser *flags.Parser) (map[*flags.Command]command, error) {
	leaves := make(map[*flags.Command]command)
	add := func(parent *flags.Command, spec commandSpec) error {
		c, err := parent.AddCommand(spec.name, spec.short, spec.long, spec.cmd)
		if err == nil {
			leaves[c] = spec.cmd
		}
		return err
	}
	for _, spec := range topLevelCommands() {
		if err := add(parser.Command, spec); err != nil {
			return nil, err
		}
	}
	for _, g := range commandGroups() {
		parent, err := parser.AddCommand(g.name, g.short, g.short, &struct{}{})
		if err != nil {
			return nil, err
		}
		for _, spec := range g.commands {
			if err := add(parent, spec); err != nil {
				return nil, err
			}
		}
	}
	return leaves, nil
}
