package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Losses counts the statements of one interval that callers did not get in time, by cause.
type Losses struct {
	Begin time.Time `json:"begin"`
	// Late counts the statements that were served after their target, by what they waited for
	// most, and Refused the others, by the name of their result.
	Late    map[string]int `json:"late"`
	Refused map[string]int `json:"refused"`
}

// waits are the fields of a statement's time breakdown, with the cause that each stands for.
var waits = []struct{ field, cause string }{
	{"rate_ms", "rate"}, {"slot_ms", "slot"}, {"connection_ms", "connection"}, {"endpoint_ms", "endpoint"},
}

// minWaitShare is the least share of a statement's time for which its longest wait counts as
// the cause.
const minWaitShare = 0.4

// causeElsewhere is the cause of a late statement that spent most of its time outside of what is
// measured: without a lease, or between hosts.
const causeElsewhere = "elsewhere"

// Account returns the losses in each interval with any, in order of time. Lines that report no
// late or refused statement are left out.
func Account(lines []Line, interval time.Duration) []Losses {
	byBegin := make(map[time.Time]*Losses)
	for _, l := range lines {
		if l.Event != "statement_late" && l.Event != "statement_refused" {
			continue
		}
		begin := l.Time.Truncate(interval)
		losses := byBegin[begin]
		if losses == nil {
			losses = &Losses{Begin: begin, Late: map[string]int{}, Refused: map[string]int{}}
			byBegin[begin] = losses
		}
		if l.Event == "statement_late" {
			losses.Late[lateCause(l)]++
		} else {
			losses.Refused[cmp.Or(l.Get("result"), "unknown")]++
		}
	}
	all := make([]Losses, 0, len(byBegin))
	for _, losses := range byBegin {
		all = append(all, *losses)
	}
	slices.SortFunc(all, func(a, b Losses) int { return a.Begin.Compare(b.Begin) })
	return all
}

// lateCause returns what a late statement waited for most.
func lateCause(l Line) string {
	took, _ := strconv.Atoi(l.Get("took_ms")) // zero if it is missing
	cause, longest := causeElsewhere, 0
	for _, w := range waits {
		if ms, err := strconv.Atoi(l.Get(w.field)); err == nil && ms > longest {
			cause, longest = w.cause, ms
		}
	}
	if float64(longest) < minWaitShare*float64(took) {
		return causeElsewhere
	}
	return cause
}

// barWidth is the number of characters of the longest bar of WriteAccount.
const barWidth = 40

// WriteAccount writes a line for each interval with the counts by cause, the most frequent first,
// and a bar: '+' for late statements and '#' for refused ones.
func WriteAccount(w io.Writer, all []Losses) error {
	most := 1
	for _, l := range all {
		most = max(most, sum(l.Late)+sum(l.Refused))
	}
	for _, l := range all {
		late, refused := sum(l.Late), sum(l.Refused)
		bar := strings.Repeat("+", late*barWidth/most) + strings.Repeat("#", refused*barWidth/most)
		_, err := fmt.Fprintf(w, "%s late %5d refused %5d %-*s late: %s refused: %s\n", l.Begin.UTC().Format("15:04:05.000"), late, refused,
			barWidth, bar, counts(l.Late), counts(l.Refused))
		if err != nil {
			return err
		}
	}
	return nil
}

func sum(counts map[string]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}

// counts returns "cause=count" for each cause, the most frequent first, or "-" for none.
func counts(byCause map[string]int) string {
	causes := slices.SortedFunc(maps.Keys(byCause), func(a, b string) int {
		return cmp.Or(cmp.Compare(byCause[b], byCause[a]), cmp.Compare(a, b))
	})
	words := make([]string, len(causes))
	for i, cause := range causes {
		words[i] = cause + "=" + strconv.Itoa(byCause[cause])
	}
	return cmp.Or(strings.Join(words, ","), "-")
}
