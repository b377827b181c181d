package cli

import (
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/galenabridge/galenabridge/internal/control"
)

type statusCommand struct {
	adminOptions
	JSON bool `long:"json" description:"print JSON"`
}

func (c *statusCommand) run(app *App) error {
	var s control.Status
	if err := c.do(http.MethodGet, statusPath, nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(app, s)
	}
	w := tabwriter.NewWriter(app.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "reported by %s (%s), leader %s, term %d, revision %d, settled %d\n\n",
		s.Host, s.Role, orDash(s.Leader), s.Term, s.Revision, s.Settled)
	writeUsage(w, s)
	writeControls(w, s)
	writeHosts(w, s)
	writeGroups(w, s)
	writeEndpoints(w, s)
	return w.Flush()
}

// orDash returns a dash in place of an empty column.
func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func writeControls(w *tabwriter.Writer, s control.Status) {
	fmt.Fprintln(w, "CONTROL HOST\tVOTER\tACTIVE\tLOG")
	for _, c := range s.Controls {
		fmt.Fprintf(w, "%s\t%t\t%t\t%d\n", c.Host, c.Voter, c.Active, c.Match)
	}
	fmt.Fprintln(w)
}

func writeHosts(w *tabwriter.Writer, s control.Status) {
	fmt.Fprintln(w, "HOST\tDOMAIN\tADDRESS\tENTRY\tCONTROL\tLEASE")
	for _, h := range s.Hosts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%t\t%t\n", h.ID, h.Domain, h.PeerAddr, h.Entry, h.Control, h.Leased)
	}
	fmt.Fprintln(w)
}

func writeGroups(w *tabwriter.Writer, s control.Status) {
	fmt.Fprintln(w, "SERVICE\tPHASE\tTERM\tPRIMARY\tTIMELINE\tREASON")
	for _, g := range s.Groups {
		reason := g.Waiting
		if reason == "" {
			reason = g.Reason
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%d\t%s\n", g.Service, g.Phase, g.Term, orDash(g.Primary), g.Timeline, orDash(reason))
	}
	fmt.Fprintln(w)
}

func writeEndpoints(w *tabwriter.Writer, s control.Status) {
	fmt.Fprintln(w, "ENDPOINT\tSERVICE\tDOMAIN\tADDRESS\tROLE\tTIMELINE\tPOSITION\tHEARD\tREFUSED")
	for _, e := range s.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%X/%08X\t%s\t%s\n", e.ID, e.Service, e.Domain, e.Addr,
			roleName(e), e.Timeline, e.LSN>>32, uint32(e.LSN), formatAge(e.Age), orDash(e.Refused))
	}
}

func roleName(e control.EndpointStatus) string {
	if e.Primary {
		return "primary"
	}
	return "replica"
}

// formatAge formats the age of an announcement; a negative age means that there was none.
func formatAge(age time.Duration) string {
	if age < 0 {
		return "never"
	}
	return age.Round(time.Millisecond).String() + " ago"
}
