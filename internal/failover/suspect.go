package failover

import "time"

// reportKey names the vote of one voter on one endpoint.
type reportKey struct {
	endpoint string
	voter    string
}

// report is the latest observation of a voter on an endpoint.
type report struct {
	condition Condition
	at        time.Time
	// lostSince is the time of the first of an unbroken row of observations
	// that saw the endpoint as lost; zero when the latest saw it well.
	lostSince time.Time
}

func (m *Machine) observe(now time.Time, o Observation) {
	if m.view.Electorate == nil {
		return
	}
	voter, ok := m.view.Electorate.voter(o.Watcher, o.Domain, o.Endpoint)
	if !ok {
		return
	}
	key := reportKey{endpoint: o.Endpoint, voter: voter}
	next := report{condition: o.Condition, at: now}
	if m.lost(o) {
		next.lostSince = now
		last := m.reports[key]
		if !last.lostSince.IsZero() && m.fresh(now, last) {
			next.lostSince = last.lostSince
		}
	}
	m.reports[key] = next
}

// lost reports whether the observation speaks against the endpoint. A primary
// must also be out of recovery on the timeline of its term.
func (m *Machine) lost(o Observation) bool {
	if !o.Reachable {
		return true
	}
	g := m.view.Group
	if o.Endpoint != g.Primary {
		return false
	}
	return o.InRecovery || !m.onTimeline(o.Timeline)
}

// onTimeline reports whether t is the timeline of the group's last active term.
func (m *Machine) onTimeline(t uint32) bool {
	return m.view.Group.Timeline == 0 || t == m.view.Group.Timeline
}

func (m *Machine) fresh(now time.Time, r report) bool {
	return now.Sub(r.at) <= m.cfg.ObservationTTL
}

// suspected reports whether a majority of voters sees the endpoint as lost.
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

// seenWell reports whether a majority of voters reached the endpoint lately.
func (m *Machine) seenWell(now time.Time, endpoint string) bool {
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
