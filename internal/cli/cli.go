// Package cli implements the command line of galenabridge: the daemon commands
// and the operators' commands, which talk to the admin address of any host.
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
	ExitFailure     = 1 // the command failed for a reason named on stderr
	ExitUsage       = 2 // wrong arguments or settings
	ExitRefused     = 3 // the system refused the request; see the result code
	ExitUnreachable = 4 // no host answered; the outcome may be unknown
)

// exitError carries an exit code with its cause.
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
	// Version is the version of the build.
	Version string
}

// command is a leaf of the command line.
type command interface {
	run(app *App) error
}

// Main runs the command named by args and returns the exit code.
func (a *App) Main(args []string) int {
	parser := flags.NewNamedParser("galenabridge", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "database proxy with session consistency"
	commands, err := register(parser)
	if err != nil {
		return a.exitCode(err)
	}
	rest, err := parser.ParseArgs(args)
	if err != nil {
		return a.exitCode(err)
	}
	if len(rest) > 0 {
		return a.exitCode(exitWith(ExitUsage, errors.Errorf("unexpected argument %q", rest[0])))
	}
	return a.exitCode(commands[activeLeaf(parser)].run(a))
}

// activeLeaf returns the innermost command that the arguments named.
func activeLeaf(parser *flags.Parser) *flags.Command {
	leaf := parser.Active
	for leaf.Active != nil {
		leaf = leaf.Active
	}
	return leaf
}

func (a *App) exitCode(err error) int {
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

// entry describes one command for registration.
type commandSpec struct {
	name, short, long string
	cmd               command
}

// group is a command that only holds other commands.
type commandGroup struct {
	name, short string
	commands    []commandSpec
}

func topLevel() []commandSpec {
	return []commandSpec{
		{"serve", "run a host", "Run a host with the roles that its settings name.", &serveCommand{}},
		{"dev", "run a whole system", "Run control, two entry hosts and one database group of three stand-in endpoints on loopback.", &devCommand{}},
		{"standin", "run a stand-in endpoint", "Run one stand-in database endpoint.", &standinCommand{}},
		{"status", "show the state of the fleet", "Show hosts, leases, groups and endpoints.", &statusCommand{}},
		{"explain", "explain a request from logs", "Join the log lines of several hosts about one request, and the changes of belief around it, into one account in order.", &explainCommand{}},
		{"version", "print the version", "Print the version of this build.", &versionCommand{}},
	}
}

func groups() []commandGroup {
	return []commandGroup{
		{"note", "work with release notes", []commandSpec{
			{"check", "check a release note", "Check a release note; with --admin also against the catalog in force.", &noteCheckCommand{}},
			{"apply", "apply a release note", "Apply a release note. Sending the same note again is safe.", &noteApplyCommand{}},
			{"show", "show the catalog in force", "Show the catalog in force, without secrets.", &noteShowCommand{}},
			{"diff", "show what a note would change", "Show what a release note would change in the catalog in force.", &noteDiffCommand{}},
			{"history", "list the accepted notes", "List the accepted release notes.", &noteHistoryCommand{}},
		}},
		{"key", "work with keys", []commandSpec{
			{"new", "make a key", "Print a new key and its verifier. The key is shown only once.", &keyNewCommand{}},
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

// register adds all commands to parser and returns the leaves.
func register(parser *flags.Parser) (map[*flags.Command]command, error) {
	leaves := make(map[*flags.Command]command)
	add := func(parent *flags.Command, e commandSpec) error {
		c, err := parent.AddCommand(e.name, e.short, e.long, e.cmd)
		if err == nil {
			leaves[c] = e.cmd
		}
		return err
	}
	for _, e := range topLevel() {
		if err := add(parser.Command, e); err != nil {
			return nil, err
		}
	}
	for _, g := range groups() {
		parent, err := parser.AddCommand(g.name, g.short, g.short, &struct{}{})
		if err != nil {
			return nil, err
		}
		for _, e := range g.commands {
			if err := add(parent, e); err != nil {
				return nil, err
			}
		}
	}
	return leaves, nil
}
