package failover

import (
	"cmp"
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/note"
)

// contender is a member whose position counts in the choice of a primary.
type contender struct {
	member    Member
	condition Condition
	suspected bool
}

// compare orders contenders by what they hold: timeline first, then position.
func (c contender) compare(d contender) int {
	if n := cmp.Compare(c.condition.Timeline, d.condition.Timeline); n != 0 {
		return n
	}
	return cmp.Compare(c.condition.Position, d.condition.Position)
}

// majority returns the number of members whose positions prove that no
// acknowledged commit is missing from the highest one. With endpoints that
// acknowledge by themselves these are enough replicas to meet every set of
// SyncReplicas; without synchronous replicas nothing can be proved, and one
// will do.
func (m *Machine) majority() int {
	if m.view.Ack == note.AckReplicas {
		if m.view.SyncReplicas == 0 {
			return 1
		}
		return max(len(m.view.Members)-m.view.SyncReplicas, 1)
	}
	return max(m.view.Size, len(m.view.Members))/2 + 1
}

// contenders returns the members whose latest answer counts: replicas, the
// primary of the sealed term on its own timeline, and the recorded candidate.
// Any other endpoint out of recovery has a history that was never agreed.
func (m *Machine) contenders(now time.Time) []contender {
	var found []contender
	for _, member := range m.view.Members {
		a, ok := m.answer(now, member.Endpoint)
		if !ok || !m.counts(member.Endpoint, a) {
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

func (m *Machine) counts(endpoint string, c Condition) bool {
	g := m.view.Group
	switch {
	case c.InRecovery:
		return true
	case m.cfg.Fenced && c.Timeline > g.Timeline:
		return true // a late order of this term has promoted it
	case endpoint == g.Candidate:
		return true
	case endpoint == g.Primary:
		return m.onTimeline(c.Timeline)
	default:
		return false
	}
}

// answer returns the endpoint's condition when it answered lately.
func (m *Machine) answer(now time.Time, endpoint string) (Condition, bool) {
	a, ok := m.answers[endpoint]
	if !ok || !a.condition.Reachable || now.Sub(a.at) > m.cfg.AnswerTTL {
		return Condition{}, false
	}
	return a.condition, true
}

// safe returns the contenders that hold every write that a majority may have
// acknowledged: those at least as far as a majority of the group, themselves
// included. Any other majority shares a member with that one.
func (m *Machine) safe(all []contender) []contender {
	var found []contender
	if m.view.Ack == note.AckReplicas {
		best := slices.MaxFunc(all, contender.compare)
		return without(all, func(c contender) bool { return c.compare(best) < 0 })
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

// mayImprove reports whether to wait for members that have not answered: each
// may hold commits that no other has. Nobody waits for a member that is
// suspected.
func (m *Machine) mayImprove(now time.Time, all []contender) bool {
	if m.view.Ack != note.AckReplicas || now.Sub(m.majorityAt) >= m.cfg.PositionGrace {
		return false
	}
	return slices.ContainsFunc(m.view.Members, func(member Member) bool {
		heard := slices.ContainsFunc(all, func(c contender) bool { return c.member.Endpoint == member.Endpoint })
		return !heard && !m.suspected(now, member.Endpoint)
	})
}

// prefer orders contenders: not suspected first, then those in use, then the
// highest position; ties go to the lower id. All of them hold what was
// acknowledged, so that only a tail without acknowledgement is weighed here.
func prefer(a, b contender) int {
	if n := compareBool(a.suspected, b.suspected); n != 0 {
		return n
	}
	if n := compareBool(a.member.unwanted(), b.member.unwanted()); n != 0 {
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

// unwanted reports whether new work should keep off the member.
func (m Member) unwanted() bool { return m.DomainOut || m.Leaving }

// without returns the contenders other than those that match.
func without(all []contender, match func(contender) bool) []contender {
	return slices.DeleteFunc(slices.Clone(all), match)
}
