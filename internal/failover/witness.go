package failover

import (
	"slices"
	"strconv"
	"time"

	"github.com/galenabridge/galenabridge/internal/rendezvous"
)

const (
	// witnessInterval is the time between two requests for witnesses.
	witnessInterval = ProbeInterval
	// witnessesPerDomain is the number of hosts that are asked at a time in a failure domain
	// whose vote is missing. Some of them may be cut off; the next request names others.
	witnessesPerDomain = 2
)

// AskWitnesses asks hosts to probe an endpoint and to report what they observe.
type AskWitnesses struct {
	Service  string
	Endpoint string
	Hosts    []string
}

func (AskWitnesses) isEffect() {}

// askWitnesses asks hosts in the failure domains whose vote on the primary is missing, while at
// least one other reports it as lost. It answers the loss of a primary that few hosts use: in a
// large fleet only its home hosts do, which may have no statement for it, or may be cut off.
func (m *Machine) askWitnesses(now time.Time) {
	primary := m.view.Group.Primary
	if m.view.Electorate == nil || now.Sub(m.witnessesAt) < witnessInterval || !m.reportedLost(now, primary) {
		return
	}
	m.witnessesAt = now
	m.witnessRound++
	ask := AskWitnesses{Service: m.view.Group.Service, Endpoint: primary}
	for _, hosts := range m.silentWitnesses(now, primary) {
		ask.Hosts = append(ask.Hosts, rendezvous.Top(hosts, primary+" "+strconv.Itoa(m.witnessRound), witnessesPerDomain)...)
	}
	if len(ask.Hosts) > 0 {
		m.effects = append(m.effects, ask)
	}
}

// reportedLost reports whether a voter has recently found the endpoint lost.
func (m *Machine) reportedLost(now time.Time, endpoint string) bool {
	for key, r := range m.reports {
		if key.endpoint == endpoint && !r.lostSince.IsZero() && m.fresh(now, r) {
			return true
		}
	}
	return false
}

// silentWitnesses returns the hosts of each failure domain that watches the endpoint and from which
// nobody has reported on it for two probes. With one domain the hosts vote, so that these are the
// hosts that have not reported.
func (m *Machine) silentWitnesses(now time.Time, endpoint string) [][]string {
	e := m.view.Electorate
	reported := func(voter string) bool {
		r, ok := m.reports[reportKey{endpoint: endpoint, voter: voter}]
		return ok && now.Sub(r.at) <= 2*ProbeInterval
	}
	var silent [][]string
	for _, domain := range e.domainsOf(endpoint) {
		switch {
		case len(e.domains) == 1:
			silent = append(silent, slices.DeleteFunc(slices.Clone(e.hosts[domain]), reported))
		case !reported(domain):
			silent = append(silent, e.hosts[domain])
		}
	}
	return silent
}
