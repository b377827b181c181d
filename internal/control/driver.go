package control

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// consensusEvent is a consensus message received from a peer.
type consensusEvent struct {
	from    string
	message consensus.Message
}

func (e consensusEvent) handle(h *Host, now time.Time) {
	if e.message.From != e.from {
		h.log.Warn("consensus_message_refused", "peer", e.from, "from", e.message.From)
		return
	}
	if h.leading {
		h.ownerWatch.observe(now, e.from)
	} else if e.from == h.knownLeader.Load().leader {
		h.formerLeader, h.formerHeard = e.from, now
	}
	if err := h.node.Step(e.message); err != nil {
		h.log.Debug("consensus_message_refused", "peer", e.from, "err", err.Error())
	}
}

// tick advances timeouts and runs the periodic tasks of consensus, leases and the
// leader.
func (h *Host) tick(now time.Time) {
	h.node.Tick()
	h.finishDepartures()
	h.expireProposals(now)
	if h.leading && h.confirmed && h.opts.OpenMembership && !h.node.BearsLosses() {
		h.changeMembers() // without waiting for the interval of the leader's tasks
	}
	h.expireLeaseRound(now)
	if h.pushes.due {
		h.pushChanges(now)
	}
	if !now.Before(h.nextTasks) {
		h.nextTasks = now.Add(leaderTaskInterval)
		if h.leading {
			h.runLeaderTasks(now)
		}
		h.logRegistrationWait()
	}
	if h.leading && h.confirmed {
		h.updateOwners(now)
	}
	h.failover.tick(now)
	h.tallies.tick(h, now)
	h.usage.tick(now)
	h.metrics.update(h)
}

// process handles the output of consensus until there is none left. It returns after a
// failed save, which is attempted again at the next event or tick.
func (h *Host) process(now time.Time) error {
	for {
		if err := h.processReady(now); err != nil {
			return err
		}
		h.updateRole(now)
		h.startLeaseRound(now)
		h.failover.applyPending(now)
		h.usage.applyPending(now)
		if h.saveErr != nil || !h.node.HasReady() {
			h.answerHeld(now)
			return h.compact()
		}
	}
}

// processReady saves the output of consensus, sends its messages and applies the
// committed entries, in this order. Messages are sent only after the save, since they may
// acknowledge what it has stored.
func (h *Host) processReady(now time.Time) error {
	for h.node.HasReady() {
		h.updateRole(now)
		rd := h.node.Ready()
		if rd.Rejoin {
			return h.rejoin()
		}
		if err := h.save(rd.Durable); err != nil {
			h.recordSaveError(err)
			return nil
		}
		h.saveErr = nil
		if err := h.installSnapshot(rd.Install); err != nil {
			return err
		}
		h.sendAll(rd.Messages)
		if err := h.applyEntries(now, rd.Committed); err != nil {
			return err
		}
		h.node.Advance(rd)
		h.position.Store(h.node.Status().Applied)
		h.handleConfirmations(now, rd)
	}
	return nil
}

// slowSave is the duration of a save from which on it is logged. It is below the configuration
// lease (2 s), which ends on all hosts while the disk of the leader stalls.
const slowSave = 500 * time.Millisecond

// save saves the output of consensus and logs a save that took long. While it waits for the disk,
// the host answers nobody, which otherwise looks like a lost quorum.
func (h *Host) save(d consensus.Durable) error {
	begun := clock.Now()
	err := h.store.Save(d)
	if took := clock.Since(begun); took >= slowSave {
		h.log.Warn("store_save_slow", "took_ms", took.Milliseconds(), "entries", len(d.Entries))
	}
	return err
}

// recordSaveError records that the store failed. The pending output of consensus
// is kept and saved again later. Until then new proposals fail with the error.
func (h *Host) recordSaveError(err error) {
	if h.saveErr == nil {
		h.log.Error("store_save_failed", "err", err.Error())
	}
	h.saveErr = err
}

// installSnapshot replaces the state by a snapshot received from the leader.
func (h *Host) installSnapshot(snap *consensus.Snapshot) error {
	if snap == nil {
		return nil
	}
	state, err := decodeSnapshot(*snap)
	if err != nil {
		return err
	}
	if err := h.checkFleet(state); err != nil {
		return err
	}
	h.orders = newOrderGuard(snap.Index)
	h.log.Info("snapshot_installed", "index", snap.Index, "revision", state.Revision)
	h.setState(clock.Now(), state)
	return nil
}

func (h *Host) sendAll(messages []consensus.Message) {
	for _, m := range messages {
		if err := h.opts.Peer.Send(m.To, h.addr(m.To), peer.KindConsensus, m); err != nil {
			h.log.Debug("consensus_send_failed", "peer", m.To, "err", err.Error())
		}
	}
}

// applyEntries applies committed entries in order, answers their proposers and
// then publishes the resulting state once.
func (h *Host) applyEntries(now time.Time, entries []consensus.Entry) error {
	state := h.state
	for _, e := range entries {
		if e.Kind != consensus.EntryCommand {
			h.finishProposal(now, e, agreed.Outcome{})
			continue
		}
		next, out, err := h.applyEntry(state, e)
		if err != nil {
			return err
		}
		state = next
		h.finishProposal(now, e, out)
	}
	if state == h.state {
		return nil
	}
	if err := h.checkFleet(state); err != nil {
		return err
	}
	h.setState(now, state)
	return nil
}

// applyEntry applies the command of one entry. An entry that cannot be decoded, or whose application
// panics, is skipped: every host has the same entry and decides the same, and the fleet would
// otherwise stop at it for good. A command that a newer version may read is an error.
func (h *Host) applyEntry(state *agreed.State, e consensus.Entry) (next *agreed.State, out agreed.Outcome, err error) {
	c, err := agreed.DecodeCommand(e.Data)
	if errors.Is(err, agreed.ErrUnreadable) {
		return state, h.skipEntry(e, err.Error()), nil
	}
	if err != nil {
		return nil, out, errors.Wrapf(err, "entry %d of the log; start a version that reads it", e.Index)
	}
	defer func() {
		if v := recover(); v != nil {
			next, out, err = state, h.skipEntry(e, fmt.Sprintf("panic: %v", v)), nil
		}
	}()
	h.loggedBytes += len(e.Data)
	next, out = agreed.Apply(state, e.Index, c)
	if c.SetDomain != nil {
		h.orders.applied(c.SetDomain.Domain, e.Index)
	}
	return next, out, nil
}

// skipEntry logs and counts an entry that is skipped, and returns the outcome for its proposer.
func (h *Host) skipEntry(e consensus.Entry, cause string) agreed.Outcome {
	h.metrics.skipped.Inc()
	h.log.Error("entry_skipped", "index", e.Index, "term", e.Term, "bytes", len(e.Data), "cause", cause)
	return agreed.Outcome{Code: result.MalformedMessage, Detail: cause, Revision: h.state.Revision}
}

// setState replaces the state and pushes it to the subscribers unless only the usage reports have
// changed, which they do not receive. A state with a lower revision is ignored. One with an equal
// revision is not older: states come from later entries of the log or from snapshots at a later
// index.
func (h *Host) setState(now time.Time, s *agreed.State) {
	if s.Revision < h.state.Revision {
		return
	}
	hostsChanged := s.HostsChanged != h.state.HostsChanged
	usageOnly := s.Revision == h.state.Revision
	h.state = s
	h.usage.stateChanged()
	if usageOnly {
		return
	}
	if hostsChanged {
		h.registered = registeredProcesses(s)
		h.node.SetControlHosts(controlHosts(s))
		for _, id := range h.registered {
			h.broker.Supersede(id)
		}
	}
	h.pushChanges(now)
	h.failover.stateChanged()
}

// rejoin clears the data folder and joins the group as a new member, after the
// peers have shown that the stored data is outdated and must not be used.
func (h *Host) rejoin() error {
	h.log.Warn("data_folder_outdated", "action", "rejoining as a new member")
	h.stopLeading()
	h.pendingReads.failAll()
	if err := h.store.Reset(); err != nil {
		return err
	}
	revision := h.state.Revision
	h.formerContacts = h.node.Contacts()
	if err := h.load(); err != nil {
		return err
	}
	h.node.SetPeers(append(h.node.Contacts(), h.formerContacts...))
	h.log.Info("joining", "former_revision", revision)
	return nil
}

// A snapshot is taken after maxLoggedBytes of entries, or after snapshotShare times the size of the last
// snapshot if that is more. Windows of 1,000 workspaces have some KB each, a catalog
// of 10,000 routes some MB: CompactEvery of them would take a great part of the memory, or more than all.
const (
	maxLoggedBytes = 4 << 20
	snapshotShare  = 2
)

// compact takes a snapshot once CompactEvery entries, or enough bytes of them, were applied since the
// last.
func (h *Host) compact() error {
	st := h.node.Status()
	full := h.loggedBytes >= max(maxLoggedBytes, snapshotShare*h.snapshotBytes) && st.Applied > st.Snapshot
	if st.Applied < st.Snapshot+h.opts.CompactEvery && !full {
		return nil
	}
	data, err := h.state.Encode()
	if err != nil {
		return err
	}
	h.loggedBytes, h.snapshotBytes = 0, len(data)
	return h.node.Compact(st.Applied, data)
}

// updateRole starts or stops leading when the role or term in consensus has
// changed, and publishes the known leader to proposers.
func (h *Host) updateRole(now time.Time) {
	st := h.node.Status()
	leading := st.Role == consensus.Leader
	if info := h.knownLeader.Load(); info.leading != leading || info.leader != st.Leader {
		h.knownLeader.Store(&leaderInfo{leading: leading, leader: st.Leader})
		h.broker.AbortRound()
		h.log.Info("control_leader", "leader", st.Leader, "term", st.Term, "leading", leading)
	}
	if h.leading && (!leading || h.term != st.Term) {
		h.stopLeading()
	}
	if leading && !h.leading {
		h.startLeading(now, st.Term)
	}
}

// startLeading takes over as leader of a term. The leader runs no tasks and answers
// no read until a quorum has confirmed it; see confirmLeadership.
func (h *Host) startLeading(now time.Time, term uint64) {
	h.leading, h.confirmed, h.term = true, false, term
	if h.firstLedAt.IsZero() {
		h.firstLedAt = now
	}
	h.orders.dropAppended() // entries of an earlier term of this leader may have been replaced
	h.broker.AbortRound()
	h.broker.BecomeLeader(now)
	h.hostWatch = newHostWatch(h.opts.Lease.Duration)
	h.ownerWatch, h.proposedSilent = newOwnerWatch(now, h.formerLeader, h.formerHeard), nil
	h.formerLeader = ""
	h.confirming = confirmation{electionConfirmID, now}
	if err := h.node.ConfirmQuorum(electionConfirmID); err != nil {
		h.log.Warn("confirm_failed", "err", err.Error())
	}
}

// stopLeading ends the leadership and all tasks of the leader. It does nothing on a host
// that does not lead.
func (h *Host) stopLeading() {
	if !h.leading {
		return
	}
	h.leading, h.confirmed = false, false
	h.pendingReads.failAll()
	h.broker.AbortRound()
	h.broker.StepDown()
	h.failover.stop()
	h.failover = nil
	h.usage.stop()
	h.usage = nil
	h.confirming, h.quorumAt = confirmation{}, time.Time{}
}

// errNotLeader returns an error with code NotLeader that names the leader if it is
// known.
func (h *Host) errNotLeader() error {
	if leader := h.node.Status().Leader; leader != "" {
		return result.New(result.NotLeader, "the leader is %s", leader)
	}
	return result.New(result.NotLeader, "no leader is known")
}
