package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Bounds limit how much worse a result may be than an older one. A limit of zero
// is not checked. Violations are never allowed and have no limit.
type Bounds struct {
	// P50Ratio and P99Ratio limit the latency of each class, as newer / older.
	P50Ratio float64 `json:"p50_ratio"`
	P99Ratio float64 `json:"p99_ratio"`
	// ReplicaShareDrop and WorstShareDrop limit the decrease of a share, as the
	// difference of two fractions.
	ReplicaShareDrop float64 `json:"replica_share_drop"`
	WorstShareDrop   float64 `json:"worst_share_drop"`
	// GapRatio limits the longest time without an acknowledged write of each
	// service, as newer / older.
	GapRatio float64 `json:"gap_ratio"`
}

// DefaultBounds are used for a comparison without a bounds file.
var DefaultBounds = Bounds{P50Ratio: 1.25, P99Ratio: 1.5, ReplicaShareDrop: 0.05, WorstShareDrop: 0.05, GapRatio: 1.5}

// LoadBounds reads bounds from a JSON file. Unknown fields are errors.
func LoadBounds(path string) (Bounds, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Bounds{}, errors.Wrap(err, "read bounds")
	}
	var b Bounds
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	return b, errors.Wrap(dec.Decode(&b), "bounds")
}

// comparison writes a line for each compared value to w and counts exceeded bounds.
type comparison struct {
	w        io.Writer
	exceeded int
}

// Compare writes the values of two results side by side and returns the number of
// bounds that the newer one exceeds. Classes that only one result has are skipped.
// Violations, or a final check that did not complete, count as one exceeded bound.
func Compare(w io.Writer, older, newer *Result, b Bounds) int {
	c := &comparison{w: w}
	for _, class := range []string{"interactive", "correction", "bulk"} {
		for key, old := range older.Classes {
			if string(key) != class {
				continue
			}
			current, ok := newer.Classes[key]
			if !ok {
				continue
			}
			c.checkRatio(class+" p50 (ms)", old.P50, current.P50, b.P50Ratio)
			c.checkRatio(class+" p99 (ms)", old.P99, current.P99, b.P99Ratio)
		}
	}
	c.checkDrop("replica share", older.ReplicaShare, newer.ReplicaShare, b.ReplicaShareDrop)
	c.checkDrop("worst share", older.WorstShare, newer.WorstShare, b.WorstShareDrop)
	for _, service := range sortedKeys(older.LongestWriteGaps) {
		c.checkRatio("write gap of "+service+" (s)", older.LongestWriteGaps[service],
			newer.LongestWriteGaps[service], b.GapRatio)
	}
	c.writeLine("violations", float64(older.Violations.Total()), float64(newer.Violations.Total()),
		newer.Violations.Total() > 0 || !newer.Checked)
	return c.exceeded
}

// checkRatio compares values that must not grow. An older value of zero has no
// ratio and is not checked.
func (c *comparison) checkRatio(name string, older, newer, limit float64) {
	c.writeLine(name, older, newer, limit > 0 && older > 0 && newer/older > limit)
}

// checkDrop compares values that must not fall.
func (c *comparison) checkDrop(name string, older, newer, limit float64) {
	c.writeLine(name, older, newer, limit > 0 && older-newer > limit)
}

func (c *comparison) writeLine(name string, older, newer float64, exceeded bool) {
	verdict := "ok"
	if exceeded {
		verdict = "BROKEN"
		c.exceeded++
	}
	fmt.Fprintf(c.w, "%-32s %12.3f %12.3f  %s\n", name, older, newer, verdict)
}
