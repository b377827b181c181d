package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"
)

// Bounds limit how much a result may be worse than another. A limit of zero is
// not checked, except for violations, which are never allowed.
type Bounds struct {
	// P50Ratio and P99Ratio limit the latency of each class, as new / old.
	P50Ratio float64 `json:"p50_ratio"`
	P99Ratio float64 `json:"p99_ratio"`
	// ReplicaShareDrop and WorstShareDrop limit how far shares may fall.
	ReplicaShareDrop float64 `json:"replica_share_drop"`
	WorstShareDrop   float64 `json:"worst_share_drop"`
	// GapRatio limits the longest time without an acknowledged write.
	GapRatio float64 `json:"gap_ratio"`
}

// DefaultBounds are the bounds of a comparison that names none.
var DefaultBounds = Bounds{P50Ratio: 1.25, P99Ratio: 1.5, ReplicaShareDrop: 0.05, WorstShareDrop: 0.05, GapRatio: 1.5}

// LoadBounds reads bounds from a JSON file.
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

// comparison collects the lines of a comparison.
type comparison struct {
	w      io.Writer
	broken int
}

// Compare writes the differences between two results and returns the number of
// bounds that the newer one breaks.
func Compare(w io.Writer, older, newer *Result, b Bounds) int {
	c := &comparison{w: w}
	for _, class := range []string{"interactive", "correction", "bulk"} {
		for key, a := range older.Classes {
			if string(key) != class {
				continue
			}
			f, ok := newer.Classes[key]
			if !ok {
				continue
			}
			c.ratio(class+" p50 (ms)", a.P50, f.P50, b.P50Ratio)
			c.ratio(class+" p99 (ms)", a.P99, f.P99, b.P99Ratio)
		}
	}
	c.drop("replica share", older.ReplicaShare, newer.ReplicaShare, b.ReplicaShareDrop)
	c.drop("worst share", older.WorstShare, newer.WorstShare, b.WorstShareDrop)
	for _, service := range sortedKeys(older.LongestWriteGaps) {
		c.ratio("write gap of "+service+" (s)", older.LongestWriteGaps[service], newer.LongestWriteGaps[service], b.GapRatio)
	}
	c.line("violations", float64(older.Violations.Total()), float64(newer.Violations.Total()),
		newer.Violations.Total() > 0 || !newer.Checked)
	return c.broken
}

func (c *comparison) ratio(name string, older, newer, limit float64) {
	c.line(name, older, newer, limit > 0 && older > 0 && newer/older > limit)
}

func (c *comparison) drop(name string, older, newer, limit float64) {
	c.line(name, older, newer, limit > 0 && older-newer > limit)
}

func (c *comparison) line(name string, older, newer float64, broken bool) {
	verdict := "ok"
	if broken {
		verdict = "BROKEN"
		c.broken++
	}
	fmt.Fprintf(c.w, "%-32s %12.3f %12.3f  %s\n", name, older, newer, verdict)
}
