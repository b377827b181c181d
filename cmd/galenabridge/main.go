// Command galenabridge is the daemon and the command line for operators.
package main

import (
	"os"

	"github.com/galenabridge/galenabridge/internal/cli"
)

// version is set by the linker.
var version = "dev"

func main() {
	app := &cli.App{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Version: version}
	os.Exit(app.Main(os.Args[1:]))
}
