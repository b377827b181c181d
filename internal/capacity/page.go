package capacity

import (
	"bytes"
	"fmt"
	"math"
	"text/template"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/quota"
)

// pageData is what the template sees.
type pageData struct {
	Goal     Goal
	Measured Measurements
	Roles    []roleData
	Timing   []timingRow
	Storms   []stormRow
}

type roleData struct {
	Role
	Sum   Item
	Bound *Bounds
}

// timingRow compares a time that follows from the protocol with its bound.
type timingRow struct {
	What, Steps string
	Seconds     float64
	Bound       float64
}

// stormRow is the load of a rare event.
type stormRow struct {
	Event, Load, Mechanism string
}

// Page renders the capacity page.
func Page(goal Goal, m Measurements) ([]byte, error) {
	all, err := roles(goal.Target, m)
	if err != nil {
		return nil, err
	}
	data := pageData{Goal: goal, Measured: m, Timing: timings(goal.Bounds), Storms: storms(goal.Target, m)}
	for i, r := range all {
		d := roleData{Role: r, Sum: r.Total()}
		if i == 0 {
			d.Bound = &goal.Bounds
		}
		data.Roles = append(data.Roles, d)
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, data); err != nil {
		return nil, errors.Wrap(err, "capacity page")
	}
	return out.Bytes(), nil
}

// timings adds up the worst case of the two bounded reactions.
func timings(b Bounds) []timingRow {
	l := lease.DefaultConfig()
	counted := l.Duration.Seconds() * (1 + l.Drift)
	const election = 1.2 // two randomised election timeouts, in seconds
	cfg := failover.DefaultConfig()
	return []timingRow{
		{
			What:    "a release note in force on every host that may act",
			Steps:   "control leader cut off: election, then the end of the leases of hosts that did not hear of it",
			Seconds: election + counted, Bound: b.Dissemination,
		},
		{
			What:    "shares of a changed rate in force everywhere",
			Steps:   "as above, then the end of the longest quota lease",
			Seconds: election + counted + quota.DefaultShareLease.Seconds(), Bound: b.Dissemination,
		},
		{
			What:    "a change of primary, primary and control leader isolated together",
			Steps:   "election, suspicion, seal, end of all leases, choice and promotion with one candidate lost on the way",
			Seconds: election + cfg.SuspectAfter.Seconds() + counted + 2*cfg.CandidateTimeout.Seconds(), Bound: b.Failover,
		},
	}
}

func storms(t Target, m Measurements) []stormRow {
	c := &modeller{t: t, m: m}
	snapshot := c.snapshotBytes()
	perDomain := float64(t.Hosts) / float64(t.Domains)
	perRelay := perDomain / float64(max(t.Relays, 1))
	callers := float64(t.CallerConnections) / float64(t.Hosts)
	login := c.per(SlopeLoginCPU)
	return []stormRow{
		{
			Event:     "a failure domain returns",
			Load:      fmt.Sprintf("%.0f hosts join at once, %.0f on a relay: %s of snapshots each relay", perDomain, perRelay, size(perRelay*snapshot)),
			Mechanism: "snapshot encoded once per revision; a host asks another relay after 1 s of silence",
		},
		{
			Event:     "a host is lost",
			Load:      fmt.Sprintf("%.0f callers reconnect to the others: %.1f CPU s of logins over the fleet", callers, callers*login),
			Mechanism: "bounded verifications at once, GB1007 beyond them",
		},
		{
			Event:     "a failure domain is lost",
			Load:      fmt.Sprintf("%.0f callers reconnect: %.2f CPU s of logins on each host left", callers*perDomain, callers*perDomain*login/(float64(t.Hosts)-perDomain)),
			Mechanism: "as above; groups whose primary stood there fail over, one seal each",
		},
		{
			Event:     "a region is cut off for an hour",
			Load:      "its hosts' leases end 3 s after the cut; they refuse keyed work as not run",
			Mechanism: "configuration lease; the side with a quorum of voters goes on",
		},
	}
}

// size formats bytes with a decimal prefix.
func size(bytes float64) string {
	switch {
	case bytes >= 1e9:
		return fmt.Sprintf("%.1f GB", bytes/1e9)
	case bytes >= 1e6:
		return fmt.Sprintf("%.1f MB", bytes/1e6)
	case bytes >= 1e3:
		return fmt.Sprintf("%.1f KB", bytes/1e3)
	}
	return fmt.Sprintf("%.0f B", bytes)
}

// verdict compares a worked figure with its bound.
func verdict(worked, bound float64) string {
	switch {
	case worked > bound:
		return "**misses**"
	case worked > bound/2:
		return "within the bound, above half of it"
	}
	return "within half of the bound"
}

func number(x float64) string {
	switch {
	case x == 0:
		return "-"
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

var pageTemplate = template.Must(template.New("capacity").Funcs(template.FuncMap{
	"size": size, "verdict": verdict, "number": number,
	"percent": func(x float64) string { return fmt.Sprintf("%.3f%%", 100*x) },
	"seconds": func(x float64) string { return fmt.Sprintf("%.1f s", x) },
	"days":    func(x float64) string { return (time.Duration(x) * time.Second).String() },
}).Parse(pageText))
