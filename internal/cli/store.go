package cli

import "github.com/galenabridge/galenabridge/internal/store"

// dataDir is the positional argument of commands that read the data folder of a control
// host.
type dataDir struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"data folder of a control host"`
	} `positional-args:"yes" required:"yes"`
}

type storeVerifyCommand struct{ dataDir }

func (c *storeVerifyCommand) run(app *App) error {
	report, err := store.Verify(c.Args.Dir)
	if err != nil {
		return err
	}
	return writeJSON(app, report)
}

type storeDumpCommand struct{ dataDir }

func (c *storeDumpCommand) run(app *App) error {
	return store.Dump(c.Args.Dir, app.Stdout)
}
