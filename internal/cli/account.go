package cli

import (
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/explain"
)

type accountCommand struct {
	JSON     bool          `long:"json" description:"print JSON"`
	Interval time.Duration `long:"interval" default:"1s" description:"length of an interval"`
	Args     struct {
		Files []string `positional-arg-name:"FILE" description:"logs of the hosts; standard input if none is given"`
	} `positional-args:"yes"`
}

var errInterval = errors.New("the interval must be positive")

func (c *accountCommand) run(app *App) error {
	if c.Interval <= 0 {
		return exitWith(ExitUsage, errInterval)
	}
	lines, _, err := readLogs(app.Stdin, c.Args.Files)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	all := explain.Account(lines, c.Interval)
	if c.JSON {
		return writeJSON(app, all)
	}
	return explain.WriteAccount(app.Stdout, all)
}
