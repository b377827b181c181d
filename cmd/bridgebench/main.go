// Command bridgebench drives a fleet of galenabridge with an open-loop load,
// checks the answers and reports on them. It exits with 0 on success, 1 when a
// run finds violations or a comparison breaks a bound, 2 on any other error.
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

// errBroken reports violations or broken bounds.
var errCheckFailed = errors.New("violations or broken bounds")

func main() {
	parser := flags.NewParser(&struct{}{}, flags.Default)
	mustAdd(parser.AddCommand("run", "drive a system", "Drives a system and writes result.json and plots.", &runCommand{}))
	mustAdd(parser.AddCommand("report", "draw plots", "Draws the plots of a result.", &reportCommand{}))
	mustAdd(parser.AddCommand("compare", "compare two results",
		"Compares two results; exits with 1 when the newer one breaks a bound.", &compareCommand{}))
	_, err := parser.Parse()
	if err == nil || flags.WroteHelp(err) {
		return
	}
	if errors.Is(err, errCheckFailed) {
		os.Exit(exitCheckFailed)
	}
	os.Exit(exitError)
}

func mustAdd(_ *flags.Command, err error) {
	if err != nil {
		panic(err)
	}
}
