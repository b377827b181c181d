package capacity

import (
	"fmt"

	"github.com/pkg/errors"
)

// Sweep holds the load and the times of whole fleets of several sizes that were played on the
// users' platform, and what they come to at the size of the target.
type Sweep struct {
	// Source tells how the figures were produced, and Revision of which code.
	Source   string `json:"source"`
	Revision string `json:"revision"`
	Date     string `json:"date"`
	// Machines are the sizes played, in ascending order, and Served the share of the worth that
	// each served. TargetMachines is the size of the target.
	Machines       []int      `json:"machines"`
	Served         []float64  `json:"served"`
	TargetMachines int        `json:"target_machines"`
	Rows           []SweepRow `json:"rows"`
}

// SweepRow is one figure of the busiest host of a role, or the longest time, at each size.
type SweepRow struct {
	What string `json:"what"`
	Unit string `json:"unit"`
	// Values has one figure for each size. Missing sizes are negative.
	Values []float64 `json:"values"`
	// Power is the power of the number of machines with which the figure grows, and AtTarget
	// what that leads to at TargetMachines.
	Power    float64 `json:"power"`
	AtTarget float64 `json:"at_target"`
	// Bound is the users' bound at the target, zero for none. Mechanism names what the figure
	// rests on, and what would change it where the bound is missed.
	Bound     float64 `json:"bound,omitempty"`
	Mechanism string  `json:"mechanism"`
}

// check reports a sweep whose rows do not fit its sizes.
func (s Sweep) check() error {
	if len(s.Served) != len(s.Machines) {
		return errors.Errorf("sweep: %d shares served for %d sizes", len(s.Served), len(s.Machines))
	}
	for _, r := range s.Rows {
		if len(r.Values) != len(s.Machines) {
			return errors.Errorf("sweep: %s has %d values for %d sizes", r.What, len(r.Values), len(s.Machines))
		}
	}
	return nil
}

// Verdict compares what the row comes to at the target with its bound.
func (r SweepRow) Verdict() string {
	if r.Bound == 0 {
		return "no bound"
	}
	return fmt.Sprintf("%s (bound %s)", verdict(r.AtTarget, r.Bound), formatNumber(r.Bound))
}

// sweepValue formats a figure of a row, "-" if its size has none.
func sweepValue(v float64) string {
	switch {
	case v < 0:
		return "-"
	case v == 0:
		return "0"
	}
	return formatNumber(v)
}
