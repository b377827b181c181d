package cli

import (
	"fmt"

	"github.com/galenabridge/galenabridge/internal/config"
)

type configCheckCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings in JSON"`
	} `positional-args:"yes" required:"yes"`
}

func (c *configCheckCommand) run(app *App) error {
	s, err := config.Load(c.Args.File)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	fmt.Fprintf(app.Stdout, "host=%s fleet=%s domain=%s ok\n", s.Host, s.Fleet, s.Domain)
	return nil
}

type configExampleCommand struct{}

func (c *configExampleCommand) run(app *App) error {
	return writeJSON(app, config.Example())
}

type versionCommand struct{}

func (c *versionCommand) run(app *App) error {
	_, err := fmt.Fprintln(app.Stdout, "galenabridge", app.Version)
	return err
}
