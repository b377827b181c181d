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
	// lookBack is how long before the start of the request state events are included. It
	// covers the duration of a lease, an election and a change of the primary together.
	lookBack = 10 * time.Second
	// maxClockSkew is the clock difference between hosts that is allowed for.
	maxClockSkew = 500 * time.Millisecond
)

// scope is the set of hosts whose state an event changes.
type scope int

const (
	scopeHost  scope = iota + 1 // the host that logged it
	scopeFleet                  // all hosts
)

// stateEvents are the events that report a change of the state on which hosts decide
// about requests.
var stateEvents = map[string]scope{
	"lease_gained": scopeHost, "lease_lost": scopeHost, "control_host_silent": scopeHost,
	"endpoint_suspected": scopeHost, "endpoint_regained": scopeHost,
	"start": scopeHost, "stop": scopeHost, "reload": scopeHost, "lines_left_out": scopeHost,
	"control_leader": scopeFleet, "registration_waits": scopeFleet, "host_aged_out": scopeFleet,
	"group_status": scopeFleet, "promote": scopeFleet, "promote_failed": scopeFleet,
	"endpoint_agreed": scopeFleet, "endpoint_retired": scopeFleet, "document_accepted": scopeFleet,
	"limits_known": scopeFleet, "limits_unknown": scopeFleet,
}

// Report describes the outcome of a request and the events that may explain it.
type Report struct {
	Request string  `json:"request"`
	Entries []Entry `json:"entries"`
	// Cause is the outcome in the last line of the request, with the state event
	// that explains it.
	Cause string `json:"cause,omitempty"`
	// Missing describes the lines that were expected but not found.
	Missing []string `json:"missing,omitempty"`
}

// Entry is one log line of a report.
type Entry struct {
	Time  time.Time `json:"time"`
	Host  string    `json:"host"`
	Event string    `json:"event"`
	// AgeMS is the time from this line to the last line of the request, in
	// milliseconds; negative for later lines.
	AgeMS  int64   `json:"age_ms"`
	Fields []Field `json:"fields"`
	// OfRequest is true for lines of the request and false for state events.
	OfRequest bool `json:"of_request"`
}

// Explain builds the report on a request from the log lines of all hosts. It selects the
// lines that carry the request ID and the state events that may have affected the host that
// logged the last of them, ordered by time and host.
func Explain(lines []Line, request string) Report {
	r := Report{Request: request}
	var requestLines []Line
	for _, l := range lines {
		if l.Get("request") == request {
			requestLines = append(requestLines, l)
		}
	}
	if len(requestLines) == 0 {
		r.Missing = append(r.Missing, "no line names the request: it succeeded, was left out, or its host's log is not among the files")
		return r
	}
	slices.SortStableFunc(requestLines, func(x, y Line) int { return x.Time.Compare(y.Time) })
	last := requestLines[len(requestLines)-1]
	requestStart := requestLines[0].Time.Add(-servedFor(requestLines[0]))
	for _, l := range lines {
		ofRequest := l.Get("request") == request
		if ofRequest || isRelevant(l, last, requestStart) {
			r.Entries = append(r.Entries, Entry{
				Time: l.Time, Host: l.Host, Event: l.Event, Fields: l.Fields, OfRequest: ofRequest,
				AgeMS: last.Time.Sub(l.Time).Milliseconds(),
			})
		}
	}
	slices.SortStableFunc(r.Entries, func(x, y Entry) int {
		return cmp.Or(x.Time.Compare(y.Time), strings.Compare(x.Host, y.Host))
	})
	r.setCause(last)
	return r
}

// servedFor returns how long the request had been served when the line was logged, or zero
// when the line does not carry the duration.
func servedFor(l Line) time.Duration {
	ms, err := strconv.Atoi(l.Get("took_ms"))
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// isRelevant reports whether a line is a state event that may have affected the host that
// logged last. A change of the control leader counts only in the log of the new leader.
func isRelevant(l, last Line, requestStart time.Time) bool {
	if l.Time.Before(requestStart.Add(-lookBack)) || l.Time.After(last.Time.Add(maxClockSkew)) {
		return false
	}
	switch stateEvents[l.Event] {
	case scopeHost:
		return l.Host == last.Host
	case scopeFleet:
		return l.Event != "control_leader" || l.Get("leading") == "true"
	}
	return false
}

// causeEvents are, by result code, the events that explain a refusal with that code.
var causeEvents = map[result.Code][]string{
	result.NoConfigLease:    {"lease_lost", "start"},
	result.NoPrimary:        {"group_status"},
	result.EndpointLost:     {"endpoint_suspected"},
	result.OutcomeUnknown:   {"endpoint_suspected"},
	result.StatementTimeout: {"endpoint_suspected"},
	result.UnknownService:   {"document_accepted"},
	result.BadKey:           {"document_accepted"},
	result.KeyWithdrawn:     {"document_accepted"},
}

// setCause sets Cause from the last line of the request. When the result code has cause
// events, it adds the latest one that is not after that line, or adds to Missing.
func (r *Report) setCause(last Line) {
	number, err := strconv.Atoi(last.Get("code"))
	if err != nil {
		r.Cause = last.Event + " at " + last.Host + ": " + last.Get("err")
		return
	}
	code := result.Code(number)
	r.Cause = fmt.Sprintf("%s (GB%d) at %s: %s", result.Lookup(code).Name, number, last.Host, last.Get("detail"))
	events, ok := causeEvents[code]
	if !ok {
		return
	}
	for _, e := range slices.Backward(r.Entries) {
		if e.AgeMS >= 0 && slices.Contains(events, e.Event) {
			r.Cause += fmt.Sprintf("; since %s %d ms before", e.Event, e.AgeMS)
			return
		}
	}
	r.Missing = append(r.Missing, fmt.Sprintf("no line %s within %v before: a log is not among the files, or lines were left out",
		strings.Join(events, " or "), lookBack))
}

// WriteText writes the report as text, one line per entry. Lines of the request are marked
// with ">".
func (r Report) WriteText(w io.Writer) error {
	for _, e := range r.Entries {
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
	if r.Cause != "" {
		if _, err := fmt.Fprintln(w, "cause:", r.Cause); err != nil {
			return err
		}
	}
	for _, m := range r.Missing {
		if _, err := fmt.Fprintln(w, "missing:", m); err != nil {
			return err
		}
	}
	return nil
}
