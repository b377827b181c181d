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

// pageData is the input of the template.
type pageData struct {
	Goal     Goal
	Measured Measurements
	Sweep    Sweep
	Roles    []roleData
	Timing   []timingRow
	Storms   []rareEventRow
}

// roleData is a role with its total. Bound is nil for roles without a bound.
type roleData struct {
	Role
	Sum   Item
	Bound *Bounds
}

// timingRow compares the worst case of a reaction with its bound, both in seconds.
type timingRow struct {
	What, Steps string
	Seconds     float64
	Bound       float64
}

// rareEventRow describes the load of a rare event.
type rareEventRow struct {
	Event, Load, Mechanism string
}

// Page renders the capacity page. It returns an error if a slope that the model
// needs is missing, or if the sweep is incomplete.
func Page(goal Goal, m Measurements, sweep Sweep) ([]byte, error) {
	if err := sweep.check(); err != nil {
		return nil, err
	}
	roles, err := modelRoles(goal.Target, m)
	if err != nil {
		return nil, err
	}
	data := pageData{Goal: goal, Measured: m, Sweep: sweep, Timing: timings(goal.Bounds), Storms: rareEvents(goal.Target, m)}
	for i, r := range roles {
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

// timings computes the worst cases of the bounded reactions from the time limits of
// the protocol.
func timings(b Bounds) []timingRow {
	leaseConfig := lease.DefaultConfig()
	leaseSeconds := leaseConfig.Duration.Seconds() * (1 + leaseConfig.Drift)
	const electionSeconds = 1.2 // two randomized election timeouts
	failoverConfig := failover.DefaultConfig()
	return []timingRow{
		{
			What:    "a release note in force on every host that may act",
			Steps:   "control leader cut off: election, then the end of the leases of hosts that did not hear of it",
			Seconds: electionSeconds + leaseSeconds, Bound: b.Dissemination,
		},
		{
			What:    "shares of a changed rate in force everywhere",
			Steps:   "as above, then the end of the longest quota lease",
			Seconds: electionSeconds + leaseSeconds + quota.DefaultShareLease.Seconds(), Bound: b.Dissemination,
		},
		{
			What:    "a change of primary, primary and control leader isolated together",
			Steps:   "election, suspicion, seal, end of all leases, choice and promotion with one candidate lost on the way",
			Seconds: electionSeconds + failoverConfig.SuspectAfter.Seconds() + leaseSeconds + 2*failoverConfig.CandidateTimeout.Seconds(), Bound: b.Failover,
		},
	}
}

// rareEvents computes the load of rare events. A missing slope counts as zero here;
// modelRoles reports it.
func rareEvents(t Target, m Measurements) []rareEventRow {
	model := &costModel{target: t, measurements: m}
	snapshotBytes := model.snapshotBytes()
	hostsPerDomain := float64(t.Hosts) / float64(t.Domains)
	joinsPerRelay := hostsPerDomain / float64(max(t.Relays, 1))
	callersPerHost := float64(t.CallerConnections) / float64(t.Hosts)
	cpuPerLogin := model.perUnit(SlopeLoginCPU)
	return []rareEventRow{
		{
			Event:     "a failure domain returns",
			Load:      fmt.Sprintf("%.0f hosts join at once, %.0f on a relay: %s of snapshots each relay", hostsPerDomain, joinsPerRelay, formatBytes(joinsPerRelay*snapshotBytes)),
			Mechanism: "snapshot encoded once per revision; a host asks another relay after 1 s of silence",
		},
		{
			Event:     "a host is lost",
			Load:      fmt.Sprintf("%.0f callers reconnect to the others: %.1f CPU s of logins over the fleet", callersPerHost, callersPerHost*cpuPerLogin),
			Mechanism: "bounded verifications at once, GB1007 beyond them",
		},
		{
			Event:     "a failure domain is lost",
			Load:      fmt.Sprintf("%.0f callers reconnect: %.2f CPU s of logins on each host left", callersPerHost*hostsPerDomain, callersPerHost*hostsPerDomain*cpuPerLogin/(float64(t.Hosts)-hostsPerDomain)),
			Mechanism: "as above; groups whose primary stood there fail over, one seal each",
		},
		{
			Event:     "a region is cut off for an hour",
			Load:      "its hosts' leases end 3 s after the cut; they refuse keyed work as not run",
			Mechanism: "configuration lease; the side with a quorum of voters goes on",
		},
	}
}

// formatBytes formats a number of bytes with a decimal prefix.
func formatBytes(bytes float64) string {
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

// verdict compares a computed value with its bound.
func verdict(value, bound float64) string {
	switch {
	case value > bound:
		return "**misses**"
	case value > bound/2:
		return "within the bound, above half of it"
	}
	return "within half of the bound"
}

// formatNumber formats x with three significant digits, whole from 100 up, and zero
// as a dash.
func formatNumber(x float64) string {
	switch {
	case x == 0:
		return "-"
	case math.Abs(x) >= 100:
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}

var pageTemplate = template.Must(template.New("capacity").Funcs(template.FuncMap{
	"size": formatBytes, "verdict": verdict, "number": formatNumber, "value": sweepValue,
	"percent": func(x float64) string { return fmt.Sprintf("%.3f%%", 100*x) },
	"seconds": func(x float64) string { return fmt.Sprintf("%.1f s", x) },
	"days":    func(x float64) string { return (time.Duration(x) * time.Second).String() },
}).Parse(pageText))
