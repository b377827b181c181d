package control

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// statusTimeout limits the wait for the status of the leader.
const statusTimeout = time.Second

// statusEvent requests the status of this host.
type statusEvent struct {
	reply chan Status // buffered
}

func (e statusEvent) handle(h *Host, now time.Time) {
	e.reply <- h.status(now)
}

// Status returns the leader's status, or this host's own if the leader is unknown or
// cannot be reached.
func (h *Host) Status(ctx context.Context) (Status, error) {
	info := h.knownLeader.Load()
	if !info.leading && info.leader != "" {
		ctx, cancel := context.WithTimeout(ctx, statusTimeout)
		defer cancel()
		var s Status
		if err := h.opts.Peer.Call(ctx, info.leader, h.controlAddr(info.leader), peer.KindStatus, statusRequest{Forwarded: true}, &s); err == nil {
			return s, nil
		}
	}
	return h.LocalStatus(ctx)
}

// LocalStatus returns this host's own status.
func (h *Host) LocalStatus(ctx context.Context) (Status, error) {
	reply := make(chan Status, 1)
	if !h.post(statusEvent{reply: reply}) {
		return Status{}, result.New(result.QueueFull, "%v", errQueueFull)
	}
	select {
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case s := <-reply:
		return s, nil
	}
}

func (h *Host) serveStatus(ctx context.Context, _ peer.Identity, r statusRequest) (Status, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*statusTimeout)
	defer cancel()
	if r.Forwarded {
		return h.LocalStatus(ctx)
	}
	return h.Status(ctx)
}

func (h *Host) status(now time.Time) Status {
	st := h.node.Status()
	s := Status{
		Host:     st.Host,
		Role:     st.Role.String(),
		Term:     st.Term,
		Leader:   st.Leader,
		Revision: h.state.Revision,
		Settled:  h.broker.Settled(),
	}
	for _, m := range st.Members {
		c := ControlStatus{Host: m.Host, Voter: m.Voter, Disk: strconv.FormatUint(m.Disk, 16)}
		for _, f := range st.Followers {
			if f.Disk == m.Disk {
				c.Match, c.Active = f.Match, f.Active
			}
		}
		if m.Host == st.Host {
			c.Match, c.Active = st.Last, true
		}
		s.Controls = append(s.Controls, c)
	}
	leased := h.broker.PossibleHolders(now, h.registered)
	for _, host := range h.state.Hosts {
		id := lease.ID{Host: host.ID, Incarnation: host.Incarnation}
		s.Hosts = append(s.Hosts, HostStatus{Host: host, Leased: leased[id]})
	}
	slices.SortFunc(s.Hosts, func(a, b HostStatus) int { return cmp.Compare(a.ID, b.ID) })
	for _, g := range h.state.Groups {
		s.Groups = append(s.Groups, GroupStatus{Group: g, Waiting: h.failover.reason(g.Service)})
	}
	slices.SortFunc(s.Groups, func(a, b GroupStatus) int { return cmp.Compare(a.Service, b.Service) })
	s.Endpoints = h.endpointStatus(now)
	s.Usage = h.usageStatus()
	return s
}

// endpointStatus returns the status of all members and of endpoints that announce
// themselves without being members, ordered by ID.
func (h *Host) endpointStatus(now time.Time) []EndpointStatus {
	var list []EndpointStatus
	for id, e := range h.state.Endpoints {
		if _, ok := h.announced[id]; !ok {
			list = append(list, EndpointStatus{Endpoint: e, Age: -1})
		}
	}
	for _, a := range h.announced {
		list = append(list, EndpointStatus{
			Endpoint: a.Endpoint, Primary: a.Primary, Timeline: a.Timeline, LSN: a.LSN,
			Age: now.Sub(a.receivedAt), Refused: a.refusal,
		})
	}
	slices.SortFunc(list, func(a, b EndpointStatus) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
