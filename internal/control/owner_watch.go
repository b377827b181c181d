package control

import (
	"slices"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
)

const (
	// ownerSilence is how long the leader hears nothing from a control host until others
	// own its quotas. It is longer than five heartbeats of consensus, and callers wait for
	// a rate for 800 ms with the usual timeout of a second.
	ownerSilence = 400 * time.Millisecond
	// ownerReturnDelay is how long a control host must be heard again, without such a
	// silence, until it owns quotas. Each change of the owners costs a report of the leases
	// of every entry host, and the others can own the keys meanwhile. It is longer than
	// most disturbances, which come in groups.
	ownerReturnDelay = 15 * time.Second
)

// ownerWatch decides which control hosts own no quotas, on the leader. It answers the loss
// of a control host, from a freeze to a power failure: the shares of its keys would
// otherwise not be granted until the host is deregistered. No harm is done if the host is
// still at work: owners of an earlier epoch are ignored by holders that have adopted the
// epoch, and the new ones wait for the reports of all holders.
type ownerWatch struct {
	// heard is when each control host was last heard. The first time counts from the start
	// of the leadership.
	heard map[string]time.Time
	// steadySince is since when each control host has been heard without a silence.
	steadySince map[string]time.Time
	lastLook    time.Time
}

// newOwnerWatch returns the watch of a leadership that starts now. The former leader, if
// there is one, was last heard at formerHeard: its silence has caused the election.
func newOwnerWatch(now time.Time, former string, formerHeard time.Time) ownerWatch {
	w := ownerWatch{heard: make(map[string]time.Time), steadySince: make(map[string]time.Time), lastLook: now}
	if former != "" {
		w.heard[former] = formerHeard
	}
	return w
}

// observe records a message from a control host.
func (w *ownerWatch) observe(now time.Time, host string) {
	if last, ok := w.heard[host]; !ok || now.Sub(last) > ownerSilence {
		w.steadySince[host] = now
	}
	w.heard[host] = now
}

// silentOwners returns the control hosts that should own no quotas, in sorted order. It is
// called at each tick.
func (w *ownerWatch) silentOwners(now time.Time, self string, state *agreed.State) []string {
	if now.Sub(w.lastLook) > ownerSilence/2 {
		clear(w.heard) // the silence was that of this host, which was suspended
	}
	w.lastLook = now
	w.observe(now, self)
	var silent, returning []string
	readmit := false
	for id, host := range state.Hosts {
		if !host.Control {
			continue
		}
		if _, known := w.heard[id]; !known {
			w.heard[id] = now // counts from the first look
		}
		since, steady := w.steadySince[id]
		switch excluded := slices.Contains(state.SilentOwners, id); {
		case now.Sub(w.heard[id]) > ownerSilence, excluded && (!steady || now.Sub(since) < ownerReturnDelay/2):
			silent = append(silent, id)
		case excluded:
			returning = append(returning, id)
			readmit = readmit || now.Sub(since) >= ownerReturnDelay
		}
	}
	if !readmit { // hosts that return one after the other are readmitted by one change
		silent = append(silent, returning...)
	}
	slices.Sort(silent)
	return silent
}

// updateOwners proposes the owners of quotas if they have to change. An earlier proposal
// that is not applied yet is not repeated.
func (h *Host) updateOwners(now time.Time) {
	silent := h.ownerWatch.silentOwners(now, h.opts.Peer.Host(), h.state)
	if slices.Equal(silent, h.state.SilentOwners) {
		h.proposedSilent = nil
		return
	}
	if h.proposedSilent != nil && slices.Equal(silent, h.proposedSilent.hosts) && now.Before(h.proposedSilent.until) {
		return
	}
	h.proposedSilent = &silentProposal{hosts: silent, until: now.Add(leaderTaskInterval)}
	h.log.Info("quota_owners_change", "silent", silent, "former", h.state.SilentOwners)
	h.proposeNoReply(agreed.Command{SetSilentOwners: &agreed.SetSilentOwners{Hosts: silent}})
}

// silentProposal is a proposal of SetSilentOwners that may still be applied.
type silentProposal struct {
	hosts []string
	until time.Time
}
