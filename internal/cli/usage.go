package cli

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/control"
)

// maxUsageCountsText bounds the text of counts in a table, in bytes.
const maxUsageCountsText = 120

type usageCommand struct {
	adminOptions
	JSON bool `long:"json" description:"print JSON, with all counts"`
}

func (c *usageCommand) run(app *App) error {
	var s control.Status
	if err := c.do(http.MethodGet, statusPath, nil, &s); err != nil {
		return err
	}
	if s.Usage == nil {
		return exitWith(ExitFailure, errors.New("the fleet sends no usage reports"))
	}
	if c.JSON {
		return writeJSON(app, s.Usage)
	}
	w := tabwriter.NewWriter(app.Stdout, 0, 0, 2, ' ', 0)
	writeUsage(w, s)
	writeUsageWindows(w, s.Usage.Windows)
	return w.Flush()
}

// writeUsage writes one line about the usage reports, if there are any.
func writeUsage(w io.Writer, s control.Status) {
	u := s.Usage
	if u == nil {
		return
	}
	fmt.Fprintf(w, "usage reports: holder %s, fence %d, decided up to window %d, accepted up to %d, %d undelivered", orDash(u.Holder),
		u.Fence, u.Decided, u.Accepted, u.Pending)
	if u.Waiting != "" {
		fmt.Fprintf(w, "; waiting: %s", u.Waiting)
	}
	fmt.Fprint(w, "\n\n")
}

func writeUsageWindows(w io.Writer, windows []control.UsageWindowStatus) {
	fmt.Fprintln(w, "WINDOW\tOUTCOME\tREQUESTS\tWORKSPACES\tHEARD\tMISSING\tFENCE\tATTEMPTS\tERROR\tCOUNTS")
	for _, u := range windows {
		heard, missing := fmt.Sprint(u.Heard), strings.Join(u.Missing, ",")
		if u.Inherited {
			heard, missing = "", "" // known to the former leader
		}
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%s\t%s\t%d\t%d\t%s\t%s\n", u.Window, u.Outcome, u.Requests(), len(u.Counts), orDash(heard),
			orDash(missing), u.Fence, u.Attempts, orDash(u.LastError), orDash(control.FormatUsageCounts(u.Counts, maxUsageCountsText)))
	}
}
