package failover

import (
	"fmt"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// watch seals the term of an active group when its primary is lost or has to
// leave its place.
func (m *Machine) watch(now time.Time) {
	g := m.view.Group
	if m.view.Leaving {
		m.report("service is leaving: no failover")
		return
	}
	if m.suspected(now, g.Primary) {
		m.seal(now, fmt.Sprintf("primary %s is lost to a majority of failure domains", g.Primary))
		return
	}
	cause, due := m.switchoverCause()
	if !due {
		m.dueAt = time.Time{}
		m.report("")
		return
	}
	if m.dueAt.IsZero() {
		m.dueAt = now
	}
	if !m.hasSuccessor(now) {
		m.report(cause + "; no other member in use can be reached")
		return
	}
	if !m.switched.IsZero() && now.Sub(m.switched) < m.cfg.SwitchoverRetry {
		m.report(cause + "; waiting before the next switchover")
		return
	}
	if m.view.Ack != note.AckReplicas && now.Sub(m.dueAt) < m.cfg.DrainTime {
		m.report(cause + "; waiting for requests in progress")
		return
	}
	if !now.Before(m.busyUntil) {
		m.switched = now
	}
	m.seal(now, "switchover: "+cause)
}

func (m *Machine) seal(now time.Time, reason string) {
	m.report(reason)
	m.propose(now, Seal{Service: m.view.Group.Service, Term: m.view.Group.Term, Reason: reason})
}

// switchoverCause tells why the primary has to be moved, if it has to.
func (m *Machine) switchoverCause() (string, bool) {
	primary, ok := m.member(m.view.Group.Primary)
	switch {
	case !ok:
		return "", false
	case primary.DomainOut:
		return fmt.Sprintf("failure domain %s of primary %s is out", primary.Domain, primary.Endpoint), true
	case primary.Leaving:
		return fmt.Sprintf("primary %s is leaving", primary.Endpoint), true
	default:
		return "", false
	}
}

// hasSuccessor reports whether a majority of members is well and one of them
// could take over from the primary.
func (m *Machine) hasSuccessor(now time.Time) bool {
	if m.view.Ack == note.AckReplicas {
		return m.hasReplicaInUse(now)
	}
	well, successor := 0, false
	for _, member := range m.view.Members {
		if !m.seenWell(now, member.Endpoint) {
			continue
		}
		well++
		if member.Endpoint != m.view.Group.Primary && !member.unwanted() {
			successor = true
		}
	}
	return successor && well >= m.majority()
}

// hasReplicaInUse reports whether a member that nobody suspects could take over.
// Members of such a group are not probed while nothing is wrong.
func (m *Machine) hasReplicaInUse(now time.Time) bool {
	for _, member := range m.view.Members {
		if member.Endpoint != m.view.Group.Primary && !member.unwanted() && !m.suspected(now, member.Endpoint) {
			return true
		}
	}
	return false
}

// form activates a new group once its members show one primary.
func (m *Machine) form(now time.Time) {
	m.ask(now)
	answered, primary, several := m.formers(now)
	if answered < m.majority() {
		m.majorityAt = time.Time{}
		m.report(fmt.Sprintf("forming: %d of %d endpoints answer", answered, m.view.Size))
		return
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	switch {
	case several:
		m.report("forming: more than one endpoint is out of recovery on the highest timeline")
	case primary == "":
		m.report("forming: no endpoint is out of recovery")
	case answered < m.view.Size && now.Sub(m.majorityAt) < m.cfg.FormGrace:
		m.report("forming: waiting for the last endpoints")
	default:
		m.report("")
		m.propose(now, Activate{
			Service:  m.view.Group.Service,
			Term:     max(m.view.Group.Term, 1),
			Primary:  primary,
			Timeline: m.answers[primary].condition.Timeline,
		})
	}
}

// formers counts the members that answer and finds the one out of recovery on
// the highest timeline.
func (m *Machine) formers(now time.Time) (answered int, primary string, several bool) {
	var highest uint32
	for _, member := range m.view.Members {
		c, ok := m.answer(now, member.Endpoint)
		if !ok {
			continue
		}
		answered++
		if c.InRecovery {
			continue
		}
		switch {
		case primary == "" || c.Timeline > highest:
			primary, highest, several = member.Endpoint, c.Timeline, false
		case c.Timeline == highest:
			several = true
		}
	}
	return answered, primary, several
}
