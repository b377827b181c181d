package control

import (
	"strconv"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Timing of endpoint announcements.
const (
	// announcementTTL is how long a request to leave is honored after the last
	// announcement.
	announcementTTL = 10 * time.Second
	// endpointRetention is how long a member that sends no announcements stays in
	// a full group when another endpoint asks to join it.
	endpointRetention = 60 * time.Second
	// announcementRetention is how long the leader keeps the last announcement of
	// an endpoint.
	announcementRetention = 10 * time.Minute
	// proposeInterval is the minimum time between two commands for one endpoint.
	proposeInterval = time.Second
)

// announcedEndpoint is the last announcement of an endpoint, held in memory by the
// leader only.
type announcedEndpoint struct {
	Announcement
	receivedAt time.Time
	proposedAt time.Time
	// refusal is why the endpoint is not a member, empty if nothing prevents it.
	refusal string
}

// joinPosition is the log position that an endpoint must have reached to join a
// group that last changed at the given revision. It was reported by the primary
// after that revision was settled, so every write acknowledged by the former
// members lies below it.
type joinPosition struct {
	changed uint64
	lsn     uint64
}

// announceEvent is an announcement received by this host.
type announceEvent struct {
	announcement Announcement
}

func (e announceEvent) handle(h *Host, now time.Time) {
	if err := e.announcement.Endpoint.Check(); err != nil {
		h.log.Warn("announcement_refused", "endpoint", strconv.Quote(e.announcement.Endpoint.ID), "err", err.Error())
		return
	}
	if !h.leading {
		h.forwardToLeader(peer.KindAnnounce, e.announcement)
		return
	}
	a := h.announced[e.announcement.Endpoint.ID]
	a.Announcement = e.announcement
	a.receivedAt = now
	if h.confirmed {
		h.recordJoinPosition(a)
		a = h.proposeMember(now, a)
	}
	h.announced[a.Endpoint.ID] = a
}

// Announce queues an announcement that this host received. It may be dropped;
// endpoints repeat their announcements.
func (h *Host) Announce(a Announcement) {
	h.post(announceEvent{announcement: a})
}

// forwardToLeader forwards soft state to the leader, or drops it when no leader is
// known.
func (h *Host) forwardToLeader(kind peer.Kind, msg any) {
	leader := h.node.Status().Leader
	if leader == "" || leader == h.opts.Peer.Host() {
		return
	}
	if err := h.opts.Peer.Send(leader, h.addr(leader), kind, msg); err != nil {
		h.log.Debug("forward_failed", "kind", kind, "err", err.Error())
	}
}

// recordJoinPosition records the position of a group's primary, once for each
// change of the group and only after that change is settled.
func (h *Host) recordJoinPosition(a announcedEndpoint) {
	g := h.state.Groups[a.Endpoint.Service]
	if g.Phase != agreed.PhaseActive || g.Primary != a.Endpoint.ID || h.broker.Settled() < g.Changed {
		return
	}
	if h.joinPositions[g.Service].changed != g.Changed {
		h.joinPositions[g.Service] = joinPosition{changed: g.Changed, lsn: a.LSN}
	}
}

// proposeMember proposes to add an endpoint to its group if it is eligible, or to
// update its address and failure domain if it is a member. It returns the
// announcement with the time of the proposal or the reason of a refusal.
func (h *Host) proposeMember(now time.Time, a announcedEndpoint) announcedEndpoint {
	current, member := h.state.Endpoints[a.Endpoint.ID]
	if member && current == a.Endpoint {
		a.refusal = ""
		return a
	}
	if now.Sub(a.proposedAt) < proposeInterval {
		return a
	}
	a.refusal = h.joinRefusal(now, a, member)
	if a.refusal != "" {
		return a
	}
	a.proposedAt = now
	h.proposeNoReply(agreed.Command{PutEndpoint: &agreed.PutEndpoint{Endpoint: a.Endpoint}})
	return a
}

// joinRefusal returns why an endpoint cannot be put into its group now, or an empty
// string. A non-member of an active group must have reached the join position.
func (h *Host) joinRefusal(now time.Time, a announcedEndpoint, member bool) string {
	g, ok := h.state.Groups[a.Endpoint.Service]
	switch {
	case !ok:
		return result.Lookup(result.UnknownService).Meaning
	case member:
		return ""
	case len(g.Members) >= h.state.Catalog.Services[g.Service].Endpoints:
		h.removeSilentMember(now, g)
		return "the group has all its endpoints"
	case g.Phase == agreed.PhaseForming:
		return ""
	case g.Phase != agreed.PhaseActive:
		return "the group is sealed"
	case h.joinPositions[g.Service].changed != g.Changed:
		return "waiting for the primary's position after the last change of the group"
	case a.LSN < h.joinPositions[g.Service].lsn:
		return "the endpoint has not reached the position of the primary"
	}
	return ""
}

// removeSilentMember proposes to remove one member, other than the primary, that
// has sent no announcement for endpointRetention. A leader confirmed more recently
// than that removes none, since the announcements it received do not cover that time.
func (h *Host) removeSilentMember(now time.Time, g agreed.Group) {
	if g.Phase != agreed.PhaseActive || now.Sub(h.confirmedAt) < endpointRetention {
		return
	}
	for _, id := range g.Members {
		if id == g.Primary || now.Sub(h.announced[id].receivedAt) < endpointRetention {
			continue
		}
		h.proposeNoReply(agreed.Command{RemoveEndpoint: &agreed.RemoveEndpoint{ID: id, Term: g.Term}})
		return
	}
}

// expireAnnouncements drops announcements older than announcementRetention and the
// join positions of groups that no longer exist.
func (h *Host) expireAnnouncements(now time.Time) {
	for id, a := range h.announced {
		if now.Sub(a.receivedAt) > announcementRetention {
			delete(h.announced, id)
		}
	}
	for service := range h.joinPositions {
		if _, ok := h.state.Groups[service]; !ok {
			delete(h.joinPositions, service)
		}
	}
}

// leavingEndpoints returns the endpoints whose current announcement asks to be
// taken out of use.
func (h *Host) leavingEndpoints(now time.Time) map[string]bool {
	leaving := make(map[string]bool)
	for id, a := range h.announced {
		if a.Leaving && now.Sub(a.receivedAt) < announcementTTL {
			leaving[id] = true
		}
	}
	return leaving
}
