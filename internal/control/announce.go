package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Lifetimes of announcements.
const (
	// announcementTTL is how long an announcement counts without a newer one.
	announcementTTL = 10 * time.Second
	// endpointRetention is how long a silent member keeps its place in a group
	// when another endpoint asks for one.
	endpointRetention = 60 * time.Second
	// announcementMemory is how long the leader remembers a silent endpoint.
	announcementRetention = 10 * time.Minute
	// proposeInterval is the time between two commands for one endpoint.
	proposeInterval = time.Second
)

// announced is what the leader knows about an endpoint that announced itself.
type announcedEndpoint struct {
	Announcement
	receivedAt time.Time
	proposedAt time.Time
	// refused tells why the endpoint is not a member.
	refusal string
}

// joinFloor is the position that an endpoint must have to join a group whose
// members changed at a revision: every write acknowledged by the former members
// lies below it.
type joinPosition struct {
	changed uint64
	lsn     uint64
}

// announceEvent is an announcement that reached this host.
type announceEvent struct {
	announcement Announcement
}

func (e announceEvent) handle(h *Host, now time.Time) {
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

// Announce takes an announcement heard by this host.
func (h *Host) Announce(a Announcement) {
	h.post(announceEvent{announcement: a})
}

// forwardToLeader sends soft state on; it is lost when no leader is known.
func (h *Host) forwardToLeader(kind peer.Kind, msg any) {
	leader := h.node.Status().Leader
	if leader == "" || leader == h.opts.Peer.Host() {
		return
	}
	if err := h.opts.Peer.Send(leader, h.addr(leader), kind, msg); err != nil {
		h.log.Debug("forward_failed", "kind", kind, "err", err.Error())
	}
}

// raiseFloor notes the position of a group's primary once the last change of
// the group is settled.
func (h *Host) recordJoinPosition(a announcedEndpoint) {
	g := h.state.Groups[a.Endpoint.Service]
	if g.Phase != agreed.PhaseActive || g.Primary != a.Endpoint.ID || h.broker.Settled() < g.Changed {
		return
	}
	if h.joinPositions[g.Service].changed != g.Changed {
		h.joinPositions[g.Service] = joinPosition{changed: g.Changed, lsn: a.LSN}
	}
}

// enlist makes an endpoint a member of its group when it may be one, or
// proposes its changed address and failure domain.
func (h *Host) proposeMember(now time.Time, a announcedEndpoint) announcedEndpoint {
	known, member := h.state.Endpoints[a.Endpoint.ID]
	if member && known == a.Endpoint {
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

// refusal tells why an endpoint cannot be put into its group now.
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

// makeRoom removes one member that has been silent for the retention time.
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

// forgetAnnouncements drops endpoints that have been silent for long.
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

// leavingEndpoints are the endpoints that asked to be taken out of use.
func (h *Host) leavingEndpoints(now time.Time) map[string]bool {
	leaving := make(map[string]bool)
	for id, a := range h.announced {
		if a.Leaving && now.Sub(a.receivedAt) < announcementTTL {
			leaving[id] = true
		}
	}
	return leaving
}
