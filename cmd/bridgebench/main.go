// Command bridgebench runs an open-loop load against a fleet of galenabridge, checks the
// answers and reports the results. It exits with 0 on success, 1 when a run finds violations
// or a comparison exceeds a bound, 2 on any other error.
package main

import (
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitCheckFailed = 1
	exitError       = 2
)

// errCheckFailed reports that a run found violations or a comparison exceeded a bound.
var errCheckFailed = errors.New("violations found or bounds exceeded")

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	mustAdd(parser.AddCommand("run", "run a load", "Runs a load against a system and writes result.json and plots.", &runCommand{}))
	mustAdd(parser.AddCommand("report", "draw plots", "Draws the plots of a result.", &reportCommand{}))
	mustAdd(parser.AddCommand("compare", "compare two results",
		"Compares two results; exits with 1 when the newer one exceeds a bound.", &compareCommand{}))
	_, err := parser.Parse()
	if err == nil || flags.WroteHelp(err) {
		return
	}
	if errors.Is(err, errCheckFailed) {
		os.Exit(exitCheckFailed)
	}
	os.Exit(exitError)
}

// mustAdd panics if a command could not be added.
func mustAdd(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}
