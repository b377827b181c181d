package control

import (
	"context"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/config"
	"github.com/galenabridge/galenabridge/internal/lease"
	"github.com/galenabridge/galenabridge/internal/peer"
)

// deltaEvent is a delta pushed by a control host.
type deltaEvent struct {
	delta agreed.Delta
}

func (e deltaEvent) handle(s *Subscriber, now time.Time) {
	next, err := agreed.Patch(s.state, e.delta)
	switch {
	case err == nil:
		s.setState(now, next)
	case e.delta.From > s.state.Revision && now.Sub(s.lastRenew) >= resendDelay:
		s.renew(now) // reports the applied revision, so that the missed delta is resent
	}
}

// snapshotEvent is a snapshot pushed by a control host.
type snapshotEvent struct {
	push snapshotPush
}

func (e snapshotEvent) handle(s *Subscriber, now time.Time) {
	next, err := e.push.state()
	if err != nil {
		s.log.Warn("snapshot_refused", "err", err.Error())
		return
	}
	if next.Revision > s.state.Revision {
		s.setState(now, next)
	}
}

// setState replaces the state by a newer one and reports its revision to the upstream at
// once, so that the revision can settle. A state of another fleet is rejected.
func (s *Subscriber) setState(now time.Time, next *agreed.State) {
	if next.Fleet != "" && next.Fleet != s.opts.Fleet {
		s.log.Error("foreign_state", "fleet", next.Fleet)
		return
	}
	s.state = next
	s.updateCandidates(next)
	s.switchToLocal(now)
	for _, h := range next.Hosts {
		s.opts.Peer.ObserveIncarnation(h.ID, h.Incarnation)
	}
	s.publish()
	s.renew(now)
}

// switchToLocal switches once to a control host in the same failure domain. Without
// open membership it does nothing.
func (s *Subscriber) switchToLocal(now time.Time) {
	if !s.opts.OpenMembership || s.localChosen {
		return
	}
	if c, ok := s.localUpstream(); ok {
		s.localChosen = true
		s.switchUpstream(now, c)
	}
}

// renewRefusedEvent reports that a control host has no state yet.
type renewRefusedEvent struct {
	from string
}

func (e renewRefusedEvent) handle(s *Subscriber, now time.Time) {
	if e.from == s.upstream().Host && !s.leased && s.refusals.maySwitch(now, len(s.candidates)) {
		s.switchUpstream(now, s.nextUpstream())
	}
}

// seedsEvent replaces the seeds of a fleet with open membership.
type seedsEvent struct {
	seeds []config.ControlHost
}

func (e seedsEvent) handle(s *Subscriber, _ time.Time) {
	s.opts.Controls = e.seeds
	s.updateCandidates(s.state)
}

// SetSeeds replaces the seeds, for example after the settings were reloaded. Without
// open membership or with an empty list it does nothing.
func (s *Subscriber) SetSeeds(seeds []config.ControlHost) {
	if s.opts.OpenMembership && len(seeds) > 0 {
		s.post(seedsEvent{seeds: seeds})
	}
}

// grantEvent is the answer to a lease request.
type grantEvent struct {
	from string
	ok   lease.RenewOK
}

func (e grantEvent) handle(s *Subscriber, now time.Time) {
	if e.from == s.upstream().Host {
		s.lastGrant = now
		s.refusals.granted()
	}
	s.holder.HandleRenewOK(e.ok)
	s.publish()
}

// leaveEvent invalidates the view permanently and returns the upstream.
type leaveEvent struct {
	done chan config.ControlHost // buffered
}

func (e leaveEvent) handle(s *Subscriber, _ time.Time) {
	s.leaving = true
	s.publish()
	e.done <- s.upstream()
}

// Leave invalidates the view permanently and removes the host from the fleet. Call it
// after the host has stopped serving callers.
func (s *Subscriber) Leave(ctx context.Context) error {
	done := make(chan config.ControlHost, 1)
	s.post(leaveEvent{done: done})
	var c config.ControlHost
	select {
	case <-ctx.Done():
		return ctx.Err()
	case c = <-done:
	}
	var out agreed.Outcome
	g := goodbye{Host: s.opts.Peer.Host(), Incarnation: s.opts.Peer.Incarnation()}
	if err := s.opts.Peer.Call(ctx, c.Host, c.Addr, peer.KindGoodbye, g, &out); err != nil {
		return err
	}
	return out.Err()
}
