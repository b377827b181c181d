package cli

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// Paths of the admin interface.
const (
	notesPath   = "/v1/notes"
	currentPath = "/v1/notes/current"
	statusPath  = "/v1/status"
)

// noteFile is the positional argument of commands that read a release note.
type noteFile struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"release note in JSON"`
	} `positional-args:"yes" required:"yes"`
}

// read returns the contents of the file.
func (f *noteFile) read() ([]byte, error) {
	data, err := os.ReadFile(f.Args.File)
	if err != nil {
		return nil, exitWith(ExitUsage, err)
	}
	return data, nil
}

// decode reads and decodes the note without validating its fields.
func (f *noteFile) decode(app *App) (note.Note, error) {
	data, err := f.read()
	if err != nil {
		return note.Note{}, err
	}
	n, problems := note.Decode(data)
	return n, reportProblems(app, problems)
}

// reportProblems prints the problems to stderr. It returns an error with ExitRefused if any
// of them is not a warning.
func reportProblems(app *App, problems []note.Problem) error {
	errorCount := 0
	for _, p := range problems {
		fmt.Fprintln(app.Stderr, p)
		if !p.Warning {
			errorCount++
		}
	}
	if errorCount > 0 {
		return exitWith(ExitRefused, errors.Errorf("the release note has %d errors; nothing was applied", errorCount))
	}
	return nil
}

// catalog fetches the catalog in force, without secrets.
func (o *adminOptions) catalog() (note.Catalog, error) {
	var c note.Catalog
	err := o.do(http.MethodGet, currentPath, nil, &c)
	return c, err
}

type noteCheckCommand struct {
	noteFile
	Admin string `long:"admin" value-name:"URL" description:"also check against the catalog in force at this host"`
}

func (c *noteCheckCommand) run(app *App) error {
	n, err := c.decode(app)
	if err != nil {
		return err
	}
	problems := n.Check()
	if c.Admin != "" {
		options := adminOptions{Admin: []string{c.Admin}}
		current, err := options.catalog()
		if err != nil {
			return err
		}
		_, problems = current.Apply(n)
	}
	if err := reportProblems(app, problems); err != nil {
		return err
	}
	fmt.Fprintf(app.Stdout, "number=%d digest=%s ok\n", n.Number, note.Digest(n))
	return nil
}

type noteApplyCommand struct {
	adminOptions
	noteFile
}

// noteResponse is the response to an accepted release note; see admin.NoteResponse.
type noteResponse struct {
	Stamp    note.Stamp     `json:"stamp"`
	Revision uint64         `json:"revision"`
	Repeated bool           `json:"repeated"`
	Warnings []note.Problem `json:"warnings"`
}

func (c *noteApplyCommand) run(app *App) error {
	data, err := c.read()
	if err != nil {
		return err
	}
	var resp noteResponse
	if err := c.do(http.MethodPost, notesPath, data, &resp); err != nil {
		return err
	}
	if err := reportProblems(app, resp.Warnings); err != nil {
		return err
	}
	fmt.Fprintf(app.Stdout, "number=%d digest=%s revision=%d repeated=%t accepted\n",
		resp.Stamp.Number, resp.Stamp.Digest, resp.Revision, resp.Repeated)
	return nil
}

type noteShowCommand struct {
	adminOptions
}

func (c *noteShowCommand) run(app *App) error {
	current, err := c.catalog()
	if err != nil {
		return err
	}
	return writeJSON(app, current.Redacted())
}

func writeJSON(app *App, v any) error {
	enc := json.NewEncoder(app.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

type noteDiffCommand struct {
	adminOptions
	noteFile
}

func (c *noteDiffCommand) run(app *App) error {
	n, err := c.decode(app)
	if err != nil {
		return err
	}
	current, err := c.catalog()
	if err != nil {
		return err
	}
	next, problems := current.Apply(n)
	if err := reportProblems(app, problems); err != nil {
		return err
	}
	for _, change := range note.Diff(current, next) {
		fmt.Fprintln(app.Stdout, change)
	}
	return nil
}

type noteHistoryCommand struct {
	adminOptions
	JSON bool `long:"json" description:"print JSON"`
}

func (c *noteHistoryCommand) run(app *App) error {
	var history []note.Stamp
	if err := c.do(http.MethodGet, notesPath, nil, &history); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(app, history)
	}
	w := tabwriter.NewWriter(app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NUMBER\tACCEPTED\tDIGEST\tTITLE")
	for _, s := range history {
		fmt.Fprintf(w, "%d\t%s\t%.12s\t%s\n", s.Number, s.Accepted.UTC().Format(time.RFC3339), s.Digest, s.Title)
	}
	return w.Flush()
}
