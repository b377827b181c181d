package bench

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/note"
)

// NoFaults is the FaultInjector of a target that does not support faults.
type NoFaults struct{}

// Inject implements FaultInjector. It always fails.
func (NoFaults) Inject(context.Context, Action, string) error {
	return errors.New("this target does not support fault injection")
}

// Summarize writes the main measurements of a result as tables.
func Summarize(w io.Writer, r *Result) {
	fmt.Fprintf(w, "%s, %.0f s, seed %d, policy %s\n\n", r.Profile, r.Duration, r.Seed, r.Policy)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\toffered\tserved\tp50 ms\tp99 ms\tmax ms\trefusals")
	for _, class := range []note.Class{note.ClassInteractive, note.ClassCorrection, note.ClassBulk} {
		if stats, ok := r.Classes[class]; ok {
			fmt.Fprintf(t, "%s\t%d\t%d\t%.2f\t%.2f\t%.2f\t%v\n", class, stats.Offered, stats.Served, stats.P50, stats.P99, stats.Max, stats.Refusals)
		}
	}
	fmt.Fprintln(t, "\nworkspace\toffered\tserved\tshare\tp50 ms\tp99 ms\trefusals")
	for _, name := range sortedKeys(r.Workspaces) {
		stats := r.Workspaces[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.2f\t%.2f\t%v\n", name, stats.Offered, stats.Served, stats.Share, stats.P50, stats.P99, stats.Refusals)
	}
	t.Flush()
	fmt.Fprintf(w, "\nreplica share %.3f, worst share %.3f, longest write gap %v s\n", r.ReplicaShare, r.WorstShare, r.LongestWriteGaps)
	fmt.Fprintf(w, "violations %+v, stored records checked: %v\n", r.Violations, r.Checked)
}
