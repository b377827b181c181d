package failover

import "time"

// reportKey identifies the reports of one voter on one endpoint.
type reportKey struct {
	endpoint string
	voter    string
}

// report is the latest observation of a voter on an endpoint.
type report struct {
	condition Condition
	at        time.Time
	// lostSince is the time of the first in an uninterrupted sequence of
	// observations that found the endpoint lost. It is zero when the latest found it
	// healthy. A gap of more than LossTTL starts a new sequence.
	lostSince time.Time
}

// handleObservation stores an observation as its voter's latest report. Observations
// of hosts that do not watch the endpoint are ignored.
func (m *Machine) handleObservation(now time.Time, o Observation) {
	if m.view.Electorate == nil {
		return
	}
	voter, ok := m.view.Electorate.voter(o.Watcher, o.Domain, o.Endpoint)
	if !ok {
		return
	}
	key := reportKey{endpoint: o.Endpoint, voter: voter}
	next := report{condition: o.Condition, at: now}
	if m.reportsLoss(o) {
		next.lostSince = now
		last := m.reports[key]
		if !last.lostSince.IsZero() && m.fresh(now, last) {
			next.lostSince = last.lostSince
		}
	}
	m.reports[key] = next
}

// reportsLoss reports whether the observation finds the endpoint lost. A primary is
// also lost when it is in recovery or not on the timeline of its term.
func (m *Machine) reportsLoss(o Observation) bool {
	if !o.Reachable {
		return true
	}
	g := m.view.Group
	if o.Endpoint != g.Primary {
		return false
	}
	return o.InRecovery || !m.onTimeline(o.Timeline)
}

// onTimeline reports whether t is the timeline of the group's last active term, or
// that timeline is not known.
func (m *Machine) onTimeline(t uint32) bool {
	return m.view.Group.Timeline == 0 || t == m.view.Group.Timeline
}

// fresh reports whether a report on a lost endpoint is recent enough to count.
func (m *Machine) fresh(now time.Time, r report) bool {
	return now.Sub(r.at) <= m.cfg.LossTTL
}

// suspected reports whether a majority of voters has reported the endpoint as lost
// for at least SuspectAfter.
func (m *Machine) suspected(now time.Time, endpoint string) bool {
	if m.view.Electorate == nil {
		return false
	}
	votes := 0
	for key, r := range m.reports {
		if key.endpoint != endpoint || !m.fresh(now, r) || r.lostSince.IsZero() {
			continue
		}
		if now.Sub(r.lostSince) >= m.cfg.SuspectAfter {
			votes++
		}
	}
	return votes >= m.view.Electorate.majority(endpoint)
}

// seenHealthy reports whether a majority of voters found the endpoint healthy within
// HealthyTTL.
func (m *Machine) seenHealthy(now time.Time, endpoint string) bool {
	if m.view.Electorate == nil {
		return false
	}
	votes := 0
	for key, r := range m.reports {
		if key.endpoint == endpoint && r.lostSince.IsZero() && now.Sub(r.at) <= m.cfg.HealthyTTL {
			votes++
		}
	}
	return votes >= m.view.Electorate.majority(endpoint)
}
