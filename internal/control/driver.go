package control

import (
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// stepEvent is a consensus message of a peer.
type stepEvent struct {
	from    string
	message consensus.Message
}

func (e stepEvent) handle(h *Host, _ time.Time) {
	if e.message.From != e.from {
		h.log.Warn("consensus_message_refused", "peer", e.from, "from", e.message.From)
		return
	}
	if err := h.node.Step(e.message); err != nil {
		h.log.Debug("consensus_message_refused", "peer", e.from, "err", err.Error())
	}
}

// tick lets time pass for consensus, leases and the duties of the leader.
func (h *Host) tick(now time.Time) {
	h.node.Tick()
	h.expireProposals(now)
	h.expireRound(now)
	if h.leading && !now.Before(h.duties) {
		h.duties = now.Add(dutyInterval)
		h.performDuties(now)
	}
	h.failover.tick(now)
	h.metrics.update(h)
}

// process does the work that consensus hands out, until there is none.
func (h *Host) process(now time.Time) error {
	for {
		if err := h.processReady(now); err != nil {
			return err
		}
		h.followRole(now)
		h.pumpLeases(now)
		h.failover.refresh(now)
		if h.saveFail != nil || !h.node.HasReady() {
			return h.compact()
		}
	}
}

func (h *Host) processReady(now time.Time) error {
	for h.node.HasReady() {
		h.followRole(now)
		rd := h.node.Ready()
		if rd.Rejoin {
			return h.rejoin()
		}
		if err := h.store.Save(rd.Durable); err != nil {
			h.saveFailed(err)
			return nil
		}
		h.saveFail = nil
		if err := h.install(rd.Install); err != nil {
			return err
		}
		h.sendAll(rd.Messages)
		if err := h.applyAll(now, rd.Committed); err != nil {
			return err
		}
		h.node.Advance(rd)
		h.confirmAll(now, rd)
	}
	return nil
}

// saveFailed keeps the work for a later attempt. Proposers are told, since
// nothing of theirs was sent.
func (h *Host) saveFailed(err error) {
	if h.saveFail == nil {
		h.log.Error("store_save_failed", "err", err.Error())
	}
	h.saveFail = err
}

func (h *Host) install(snap *consensus.Snapshot) error {
	if snap == nil {
		return nil
	}
	state, err := restore(*snap)
	if err != nil {
		return err
	}
	if err := h.checkFleet(state); err != nil {
		return err
	}
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

func (h *Host) applyAll(now time.Time, entries []consensus.Entry) error {
	state := h.state
	for _, e := range entries {
		if e.Kind != consensus.EntryCommand {
			h.finishProposal(e, agreed.Outcome{})
			continue
		}
		c, err := agreed.DecodeCommand(e.Data)
		if err != nil {
			return err
		}
		next, out := agreed.Apply(state, e.Index, c)
		state = next
		h.finishProposal(e, out)
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

// setState replaces the state and tells everyone who follows it.
func (h *Host) setState(now time.Time, s *agreed.State) {
	if s.Revision < h.state.Revision {
		return
	}
	h.state = s
	h.recent.add(s)
	h.registered = processesOf(s)
	for _, id := range h.registered {
		h.broker.Supersede(id)
	}
	h.pushAll(now)
	h.failover.stateChanged()
}

// rejoin starts anew with an empty data folder after the peers have shown that
// this one must not be used.
func (h *Host) rejoin() error {
	h.log.Warn("data_folder_outdated", "action", "joining anew")
	h.stopLeading()
	h.reads.failAll()
	if err := h.store.Reset(); err != nil {
		return err
	}
	revision := h.state.Revision
	if err := h.load(); err != nil {
		return err
	}
	h.log.Info("joining", "former_revision", revision)
	return nil
}

// compact takes a snapshot when the log has grown.
func (h *Host) compact() error {
	st := h.node.Status()
	if st.Applied < st.Snapshot+h.opts.CompactEvery {
		return nil
	}
	data, err := h.state.Encode()
	if err != nil {
		return err
	}
	return h.node.Compact(st.Applied, data)
}

// followRole notices when this host becomes the leader or ceases to be.
func (h *Host) followRole(now time.Time) {
	st := h.node.Status()
	leading := st.Role == consensus.Leader
	if info := h.lead.Load(); info.leading != leading || info.leader != st.Leader {
		h.lead.Store(&leadInfo{leading: leading, leader: st.Leader})
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

func (h *Host) startLeading(now time.Time, term uint64) {
	h.leading, h.confirmed, h.term = true, false, term
	h.broker.AbortRound()
	h.broker.BecomeLeader(now)
	clear(h.lastHeld)
	if err := h.node.ConfirmQuorum(electionConfirm); err != nil {
		h.log.Warn("confirm_failed", "err", err.Error())
	}
}

func (h *Host) stopLeading() {
	if !h.leading {
		return
	}
	h.leading, h.confirmed = false, false
	h.reads.failAll()
	h.broker.AbortRound()
	h.broker.StepDown()
	h.failover.stop()
	h.failover = nil
}

// errNotLeader tells proposers where to go.
func (h *Host) errNotLeader() error {
	if leader := h.node.Status().Leader; leader != "" {
		return result.New(result.NotLeader, "the leader is %s", leader)
	}
	return result.New(result.NotLeader, "no leader is known")
}
