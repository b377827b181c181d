package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// contender is a member whose answer counts in the choice of a candidate.
type contender struct {
	member    Member
	condition Condition
	suspected bool
}

// compare orders contenders by the log that they hold: timeline first, then position.
func (c contender) compare(d contender) int {
	if n := cmp.Compare(c.condition.Timeline, d.condition.Timeline); n != 0 {
		return n
	}
	return cmp.Compare(c.condition.Position, d.condition.Position)
}

// majority returns the number of members whose positions prove that the highest of
// them includes every acknowledged commit. Under note.AckReplicas that is enough
// members to intersect every set of SyncReplicas; without synchronous replicas there
// is no such proof, and one member is enough.
func (m *Machine) majority() int {
	if m.view.Ack == note.AckReplicas {
		if m.view.SyncReplicas == 0 {
			return 1
		}
		return max(len(m.view.Members)-m.view.SyncReplicas, 1)
	}
	return max(m.view.Size, len(m.view.Members))/2 + 1
}

// contenders returns the members whose latest answer counts: replicas, the primary of
// the former term on the group's timeline, the recorded candidate, and if Fenced is set
// any endpoint on a later timeline than the group's. Any other endpoint out of recovery
// has a history that was never agreed.
func (m *Machine) contenders(now time.Time) []contender {
	var found []contender
	for _, member := range m.view.Members {
		a, ok := m.answer(now, member.Endpoint)
		if !ok || !m.countsForChoice(member.Endpoint, a) {
			continue
		}
		found = append(found, contender{
			member:    member,
			condition: a,
			suspected: m.suspected(now, member.Endpoint),
		})
	}
	return found
}

// countsForChoice reports whether an answer of the endpoint counts in the choice.
func (m *Machine) countsForChoice(endpoint string, c Condition) bool {
	g := m.view.Group
	switch {
	case c.InRecovery:
		return true
	case m.cfg.Fenced && c.Timeline > g.Timeline:
		return true // promoted by an order of this term that was executed late
	case endpoint == g.Candidate:
		return true
	case endpoint == g.Primary:
		return m.onTimeline(c.Timeline)
	default:
		return false
	}
}

// answer returns the endpoint's condition if it answered within AnswerTTL.
func (m *Machine) answer(now time.Time, endpoint string) (Condition, bool) {
	a, ok := m.answers[endpoint]
	if !ok || !a.condition.Reachable || now.Sub(a.at) > m.cfg.AnswerTTL {
		return Condition{}, false
	}
	return a.condition, true
}

// holdingAcknowledged returns the contenders that hold every write that a majority may
// have acknowledged: those whose log is at least as far as the logs of a majority,
// themselves included. That majority shares a member with the one that acknowledged a
// write. Under note.AckReplicas only the contenders with the highest position qualify.
func (m *Machine) holdingAcknowledged(all []contender) []contender {
	var found []contender
	if m.view.Ack == note.AckReplicas {
		best := slices.MaxFunc(all, contender.compare)
		return exclude(all, func(c contender) bool { return c.compare(best) < 0 })
	}
	for _, c := range all {
		covered := 0
		for _, d := range all {
			if c.compare(d) >= 0 {
				covered++
			}
		}
		if covered >= m.majority() {
			found = append(found, c)
		}
	}
	return found
}

// awaitsPositions reports whether the choice must wait for members that have not
// answered. Under note.AckReplicas each may hold commits that no other member has.
// The choice does not wait for suspected members.
func (m *Machine) awaitsPositions(now time.Time, all []contender) bool {
	if m.view.Ack != note.AckReplicas || now.Sub(m.majorityAt) >= m.cfg.PositionGrace {
		return false
	}
	return slices.ContainsFunc(m.view.Members, func(member Member) bool {
		answered := slices.ContainsFunc(all, func(c contender) bool { return c.member.Endpoint == member.Endpoint })
		return !answered && !m.suspected(now, member.Endpoint)
	})
}

// comparePreference orders contenders, best first: not suspected, in use, highest
// position, lowest id. All of them hold every acknowledged write, so a lower position
// loses only writes that were not acknowledged.
func comparePreference(a, b contender) int {
	if n := compareBool(a.suspected, b.suspected); n != 0 {
		return n
	}
	if n := compareBool(a.member.outOfUse(), b.member.outOfUse()); n != 0 {
		return n
	}
	if n := b.compare(a); n != 0 {
		return n
	}
	return cmp.Compare(a.member.Endpoint, b.member.Endpoint)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// outOfUse reports whether the member, or its failure domain, is being taken out of
// use, so that it should not become the primary.
func (m Member) outOfUse() bool { return m.DomainOut || m.Leaving }

// exclude returns a copy of the contenders without those that match.
func exclude(all []contender, match func(contender) bool) []contender {
	return slices.DeleteFunc(slices.Clone(all), match)
}
