package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/explain"
)

type explainCommand struct {
	JSON bool `long:"json" description:"print JSON"`
	Args struct {
		Request string   `positional-arg-name:"ID" required:"yes" description:"id of the request"`
		Files   []string `positional-arg-name:"FILE" description:"logs of the hosts; standard input if none is given"`
	} `positional-args:"yes"`
}

func (c *explainCommand) run(app *App) error {
	lines, skipped, err := readLogs(app.Stdin, c.Args.Files)
	if err != nil {
		return exitWith(ExitUsage, err)
	}
	report := explain.Explain(lines, c.Args.Request)
	if skipped > 0 {
		report.Missing = append(report.Missing, fmt.Sprintf("%d lines hold no event", skipped))
	}
	if c.JSON {
		err = writeJSON(app, report)
	} else {
		err = report.WriteText(app.Stdout)
	}
	if err == nil && len(report.Entries) == 0 {
		err = exitWith(ExitFailure, errors.Errorf("no log line mentions request %q", c.Args.Request))
	}
	return err
}

// readLogs returns the events of all logs, or of standard input if there are none, and the number
// of lines without one.
func readLogs(stdin io.Reader, files []string) (lines []explain.Line, skipped int, err error) {
	if len(files) == 0 {
		return explain.Read(stdin)
	}
	for _, path := range files {
		fileLines, fileSkipped, err := readLog(path)
		if err != nil {
			return nil, 0, err
		}
		lines, skipped = append(lines, fileLines...), skipped+fileSkipped
	}
	return lines, skipped, nil
}

func readLog(path string) ([]explain.Line, int, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }()
	lines, skipped, err := explain.Read(f)
	return lines, skipped, errors.Wrap(err, path)
}
