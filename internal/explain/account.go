package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/galenabridge/galenabridge/internal/result"
)

const (
	// before is how far back beliefs are looked for: a lease, an election and a
	// change of the primary together.
	before = 10 * time.Second
	// after is the difference of the hosts' clocks that is allowed for.
	after = 500 * time.Millisecond
)

// scope tells for whom an event matters.
type scope int

const (
	ofHost  scope = iota + 1 // for the host that wrote it
	ofFleet                  // for every host
)

// beliefs are the events that change what hosts believe.
var beliefs = map[string]scope{
	"lease_gained": ofHost, "lease_lost": ofHost, "control_host_silent": ofHost,
	"endpoint_suspected": ofHost, "endpoint_regained": ofHost,
	"start": ofHost, "stop": ofHost, "reload": ofHost, "lines_left_out": ofHost,
	"control_leader": ofFleet, "registration_waits": ofFleet, "host_aged_out": ofFleet,
	"group_status": ofFleet, "promote": ofFleet, "promote_failed": ofFleet,
	"endpoint_agreed": ofFleet, "endpoint_retired": ofFleet, "document_accepted": ofFleet,
	"limits_known": ofFleet, "limits_unknown": ofFleet,
}

// Report tells what became of a request.
type Report struct {
	Request string  `json:"request"`
	Entries []Entry `json:"entries"`
	// Cause is what the last line of the request says, with the belief that it
	// rests on.
	Cause string `json:"cause,omitempty"`
	// Missing are the lines that should be there and are not.
	Missing []string `json:"missing,omitempty"`
}

// Entry is one line of an account.
type Entry struct {
	Time  time.Time `json:"time"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	// AgeMS is the time from the line to the last one of the request, in
	// milliseconds; negative for lines after it.
	AgeMS  int64   `json:"age_ms"`
	Fields []Field `json:"fields"`
	// OfRequest tells lines of the request from changes of belief.
	OfRequest bool `json:"of_request"`
}

// Explain makes the account of a request from the lines of all hosts.
func Explain(lines []Line, request string) Report {
	a := Report{Request: request}
	var own []Line
	for _, l := range lines {
		if l.Get("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		a.Missing = append(a.Missing, "no line names the request: it succeeded, was left out, or its host's log is not among the files")
		return a
	}
	slices.SortStableFunc(own, func(x, y Line) int { return x.Time.Compare(y.Time) })
	last := own[len(own)-1]
	begun := own[0].Time.Add(-took(own[0]))
	for _, l := range lines {
		of := l.Get("request") == request
		if of || matters(l, last, begun) {
			a.Entries = append(a.Entries, Entry{
				Time: l.Time, Host: l.Host, Event: l.Event, Fields: l.Fields, OfRequest: of,
				AgeMS: last.Time.Sub(l.Time).Milliseconds(),
			})
		}
	}
	slices.SortStableFunc(a.Entries, func(x, y Entry) int {
		return cmp.Or(x.Time.Compare(y.Time), strings.Compare(x.Host, y.Host))
	})
	a.conclude(last)
	return a
}

// took is how long the request had been served when the line was written.
func took(l Line) time.Duration {
	ms, err := strconv.Atoi(l.Get("took_ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// matters reports whether a line tells what the request's host may have believed.
func matters(l, last Line, begun time.Time) bool {
	if l.Time.Before(begun.Add(-before)) || l.Time.After(last.Time.Add(after)) {
		return false
	}
	switch beliefs[l.Event] {
	case ofHost:
		return l.Host == last.Host
	case ofFleet:
		return l.Event != "control_leader" || l.Get("leading") == "true"
	}
	return false
}

// grounds are the events on which a refusal with a code rests.
var grounds = map[result.Code][]string{
	result.NoConfigLease:    {"lease_lost", "start"},
	result.NoPrimary:        {"group_status"},
	result.EndpointLost:     {"endpoint_suspected"},
	result.OutcomeUnknown:   {"endpoint_suspected"},
	result.StatementTimeout: {"endpoint_suspected"},
	result.UnknownService:   {"document_accepted"},
	result.BadKey:           {"document_accepted"},
	result.KeyWithdrawn:     {"document_accepted"},
}

// conclude names the cause and what is missing for it.
func (a *Report) conclude(last Line) {
	number, err := strconv.Atoi(last.Get("code"))
	if err != nil {
		a.Cause = last.Event + " at " + last.Host + ": " + last.Get("err")
		return
	}
	code := result.Code(number)
	a.Cause = fmt.Sprintf("%s (GB%d) at %s: %s", result.Lookup(code).Name, number, last.Host, last.Get("detail"))
	wanted, needs := grounds[code]
	if !needs {
		return
	}
	for _, e := range slices.Backward(a.Entries) {
		if e.AgeMS >= 0 && slices.Contains(wanted, e.Event) {
			a.Cause += fmt.Sprintf("; since %s %d ms before", e.Event, e.AgeMS)
			return
		}
	}
	a.Missing = append(a.Missing, fmt.Sprintf("no line %s within %v before: a log is not among the files, or lines were left out",
		strings.Join(wanted, " or "), before))
}

// WriteText writes the account for people, one line an entry.
func (a Report) WriteText(w io.Writer) error {
	for _, e := range a.Entries {
		mark := " "
		if e.OfRequest {
			mark = ">"
		}
		if _, err := fmt.Fprintf(w, "%s %s %8d ms before  %s %s", mark, e.Time.Format("15:04:05.000"), e.AgeMS, e.Host, e.Event); err != nil {
			return err
		}
		for _, f := range e.Fields {
			if _, err := fmt.Fprintf(w, " %s=%q", f.Key, f.Value); err != nil {
				return err
			}
		}
		if _, err := fmt.Fprintln(w); err != nil {
			return err
		}
	}
	if a.Cause != "" {
		if _, err := fmt.Fprintln(w, "cause:", a.Cause); err != nil {
			return err
		}
	}
	for _, m := range a.Missing {
		if _, err := fmt.Fprintln(w, "missing:", m); err != nil {
			return err
		}
	}
	return nil
}
