package failover

import (
	"fmt"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// advanceActive seals the term of an active group when its primary is lost or must be
// replaced by a planned switchover. The term of a lost primary is sealed at once. A
// planned switchover waits for a successor, for SwitchoverInterval and, except under
// note.AckReplicas, for DrainTime.
func (m *Machine) advanceActive(now time.Time) {
	g := m.view.Group
	if m.view.Leaving {
		m.setStatus("service is being taken out of use: no failover")
		return
	}
	if m.suspected(now, g.Primary) {
		m.seal(now, fmt.Sprintf("primary %s is lost to a majority of failure domains", g.Primary))
		return
	}
	m.askWitnesses(now)
	cause, due := m.switchoverCause()
	if !due {
		m.switchoverDueAt = time.Time{}
		m.setStatus("")
		return
	}
	if m.switchoverDueAt.IsZero() {
		m.switchoverDueAt = now
	}
	if !m.hasSuccessor(now) {
		m.setStatus(cause + "; no other member in use is reachable")
		return
	}
	if !m.lastSwitchoverAt.IsZero() && now.Sub(m.lastSwitchoverAt) < m.cfg.SwitchoverInterval {
		m.setStatus(cause + "; waiting before the next switchover")
		return
	}
	if m.view.Ack != note.AckReplicas && now.Sub(m.switchoverDueAt) < m.cfg.DrainTime {
		m.setStatus(cause + "; waiting for requests in progress")
		return
	}
	if !now.Before(m.pendingUntil) {
		m.lastSwitchoverAt = now
	}
	m.seal(now, "switchover: "+cause)
}

// seal proposes the end of the current term.
func (m *Machine) seal(now time.Time, reason string) {
	m.setStatus(reason)
	m.propose(now, Seal{Service: m.view.Group.Service, Term: m.view.Group.Term, Reason: reason})
}

// switchoverCause returns the reason for a planned switchover of the primary, if
// one is due.
func (m *Machine) switchoverCause() (string, bool) {
	primary, ok := m.member(m.view.Group.Primary)
	switch {
	case !ok:
		return "", false
	case primary.DomainOut:
		return fmt.Sprintf("failure domain %s of primary %s is out of use", primary.Domain, primary.Endpoint), true
	case primary.Leaving:
		return fmt.Sprintf("primary %s is being taken out of use", primary.Endpoint), true
	default:
		return "", false
	}
}

// hasSuccessor reports whether a majority of members is healthy and one of them,
// in use and not the primary, could take over.
func (m *Machine) hasSuccessor(now time.Time) bool {
	if m.view.Ack == note.AckReplicas {
		return m.hasUsableReplica(now)
	}
	healthy, successor := 0, false
	for _, member := range m.view.Members {
		if !m.seenHealthy(now, member.Endpoint) {
			continue
		}
		healthy++
		if member.Endpoint != m.view.Group.Primary && !member.outOfUse() {
			successor = true
		}
	}
	return successor && healthy >= m.majority()
}

// hasUsableReplica reports whether a replica in use that is not suspected could take
// over. It requires no reports of healthy members, since members of a group with
// note.AckReplicas are not probed while nothing is wrong.
func (m *Machine) hasUsableReplica(now time.Time) bool {
	for _, member := range m.view.Members {
		if member.Endpoint != m.view.Group.Primary && !member.outOfUse() && !m.suspected(now, member.Endpoint) {
			return true
		}
	}
	return false
}

// advanceForming activates a new group once a majority of its endpoints answers and
// exactly one is out of recovery on the highest timeline. If none is for FormingGrace, the primary
// was lost before the group was active: the group is sealed, so that a replica is promoted. That
// needs note.AckReplicas, under which a former primary that returns is rolled back.
func (m *Machine) advanceForming(now time.Time) {
	m.queryPositions(now)
	answered, primary, ambiguous := m.formingMembers(now)
	if answered < m.majority() {
		m.majorityAt, m.noPrimaryAt = time.Time{}, time.Time{}
		m.setStatus(fmt.Sprintf("forming: %d of %d endpoints answer", answered, m.view.Size))
		return
	}
	if m.majorityAt.IsZero() {
		m.majorityAt = now
	}
	if primary != "" || m.noPrimaryAt.IsZero() {
		m.noPrimaryAt = now
	}
	switch {
	case ambiguous:
		m.setStatus("forming: more than one endpoint is out of recovery on the highest timeline")
	case primary == "" && m.view.Ack == note.AckReplicas && now.Sub(m.noPrimaryAt) >= m.cfg.FormingGrace:
		m.seal(now, "no endpoint of the new group is out of recovery")
	case primary == "":
		m.setStatus("forming: no endpoint is out of recovery")
	case answered < m.view.Size && now.Sub(m.majorityAt) < m.cfg.FormingGrace:
		m.setStatus("forming: waiting for the remaining endpoints")
	default:
		m.setStatus("")
		m.propose(now, Activate{
			Service:  m.view.Group.Service,
			Term:     max(m.view.Group.Term, 1),
			Primary:  primary,
			Timeline: m.answers[primary].condition.Timeline,
		})
	}
}

// formingMembers counts the members that answer and returns the one out of recovery
// on the highest timeline. The result is ambiguous when there is more than one.
func (m *Machine) formingMembers(now time.Time) (answered int, primary string, ambiguous bool) {
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
			primary, highest, ambiguous = member.Endpoint, c.Timeline, false
		case c.Timeline == highest:
			ambiguous = true
		}
	}
	return answered, primary, ambiguous
}
