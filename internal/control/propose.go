package control

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/consensus"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// Timing of proposals.
const (
	// proposalTimeout limits the wait for a proposal to be committed and applied.
	proposalTimeout = 5 * time.Second
	// attemptTimeout limits one attempt of a proposal or read that is retried.
	attemptTimeout = 1 * time.Second
	retryInterval  = 50 * time.Millisecond
)

// proposalResult is the outcome of a proposal, or an error if it is not known to
// be committed.
type proposalResult struct {
	outcome agreed.Outcome
	err     error
}

// pendingProposal is a proposal whose log entry has not been applied yet. term is
// the consensus term in which it was appended.
type pendingProposal struct {
	term     uint64
	deadline time.Time
	reply    chan proposalResult
	// service is set instead of reply if the failover driver proposed the command.
	service string
	// usage is set instead of reply if this usage driver proposed the command.
	usage *usageDriver
	// order: an operator proposed the command. outcome is set once it is applied and its
	// acknowledgement is held back.
	order   bool
	outcome *agreed.Outcome
}

const (
	// firstVotersGrace bounds the time in which the first leader of a group holds back acknowledgements
	// for voters that have yet to join. It is below the 5 s after which an order counts as
	// unacknowledged. A fleet with fewer control hosts than the settings need gets no others.
	firstVotersGrace = 3 * time.Second
	// firstStartTime is the time from the start of a host without stored data in which it may be the
	// first leader: the initial voters form the group within 6 s. Later elections must not hold back
	// orders again.
	firstStartTime = 10 * time.Second
)

// mayAcknowledge reports whether what operators have ordered survives the losses that the settings
// name, as far as it ever will. Right after the first start of a fleet the group has the seeds alone
// as voters, of which these losses may be most.
func (h *Host) mayAcknowledge(now time.Time) bool {
	firstStart := h.startedEmpty && now.Sub(h.loadedAt) < firstStartTime && now.Sub(h.firstLedAt) < firstVotersGrace
	return !h.opts.OpenMembership || !firstStart || h.node.BearsLosses()
}

// answerHeld answers the operators whose orders were applied, once they may be acknowledged. A host
// that does not lead any more cannot tell; the sender asks the leader again.
func (h *Host) answerHeld(now time.Time) {
	if h.held == 0 || h.leading && !h.mayAcknowledge(now) {
		return
	}
	for index, p := range h.proposals {
		switch {
		case p.outcome == nil:
		case h.leading:
			h.answerProposal(index, *p.outcome, nil)
		default:
			h.answerProposal(index, agreed.Outcome{}, errUnconfirmed())
		}
	}
}

// proposeEvent requests to append a command to the log. It fails if this host is
// not the leader.
type proposeEvent struct {
	command agreed.Command
	after   *uint64             // precondition of an order, nil for none
	reply   chan proposalResult // buffered
}

func (e proposeEvent) handle(h *Host, now time.Time) {
	if out, err := h.checkOrder(e.command, e.after); err != nil || out.Code != 0 {
		e.reply <- proposalResult{outcome: out, err: err}
		return
	}
	index, err := h.appendCommand(e.command)
	if err != nil {
		e.reply <- proposalResult{err: err}
		return
	}
	order := e.command.PutCatalog != nil || e.command.SetDomain != nil
	h.proposals[index] = pendingProposal{term: h.term, deadline: now.Add(proposalTimeout), reply: e.reply, order: order}
}

// appendCommand appends a command to the leader's log and returns its index. A note
// gets the leader's time of receipt, since applying a command reads no clock.
func (h *Host) appendCommand(c agreed.Command) (uint64, error) {
	if h.saveErr != nil {
		return 0, h.saveErr
	}
	if !h.leading {
		return 0, h.errNotLeader()
	}
	if c.ApplyNote != nil {
		c.ApplyNote = &agreed.ApplyNote{Note: c.ApplyNote.Note, Received: time.Now().UTC()}
	}
	if err := c.Check(); err != nil {
		return 0, err
	}
	data, err := c.EncodeReadable()
	if err != nil {
		return 0, err
	}
	index, err := h.node.Propose(data)
	if err == nil && c.SetDomain != nil {
		h.orders.appended(c.SetDomain.Domain, index)
	}
	return index, err
}

// finishProposal answers the proposer of an applied entry. An entry of another
// term at the same index means that the proposal was overwritten by a new leader.
func (h *Host) finishProposal(now time.Time, e consensus.Entry, out agreed.Outcome) {
	p, ok := h.proposals[e.Index]
	if !ok {
		return
	}
	if e.Term == p.term && p.order && out.Code == 0 && !h.mayAcknowledge(now) {
		p.outcome = &out
		h.proposals[e.Index] = p
		h.held++
		return
	}
	if e.Term != p.term {
		h.answerProposal(e.Index, agreed.Outcome{}, result.New(result.NotLeader, "the leader changed; the command was not accepted"))
		return
	}
	h.answerProposal(e.Index, out, nil)
}

func (h *Host) answerProposal(index uint64, out agreed.Outcome, err error) {
	p, ok := h.proposals[index]
	if !ok {
		return
	}
	delete(h.proposals, index)
	if p.outcome != nil {
		h.held--
	}
	if p.service != "" {
		h.failover.commandDone(p.service, err == nil && out.Code == 0)
		return
	}
	if p.usage != nil {
		p.usage.commandDone(err == nil && out.Code == 0)
		return
	}
	p.reply <- proposalResult{outcome: out, err: err}
}

func (h *Host) expireProposals(now time.Time) {
	for index, p := range h.proposals {
		if now.After(p.deadline) {
			h.answerProposal(index, agreed.Outcome{}, errUnconfirmed())
		}
	}
}

// errUnconfirmed returns the error for a proposal whose outcome is unknown.
func errUnconfirmed() error {
	return result.New(result.NoQuorum, "the control hosts did not confirm the change in time; it may still be accepted")
}

// Propose proposes a command through the leader, forwarding it if another host
// leads, and returns its outcome. It retries until ctx ends. Retries are safe since
// every command is idempotent or carries the state that it expects. On result code
// NoQuorum the command may still be accepted later. A command with a value that may not enter the
// log fails with MalformedMessage.
func (h *Host) Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error) {
	return h.propose(ctx, c, nil)
}

// ProposeOrder proposes an order as Propose does, if no other order about the same object has
// entered the log after a position, which is one that Position returned to the sender. Otherwise
// the outcome has code result.OrderOvertaken, and nothing is changed.
func (h *Host) ProposeOrder(ctx context.Context, c agreed.Command, after uint64) (agreed.Outcome, error) {
	return h.propose(ctx, c, &after)
}

func (h *Host) propose(ctx context.Context, c agreed.Command, after *uint64) (agreed.Outcome, error) {
	if err := c.Check(); err != nil {
		return agreed.Outcome{}, err
	}
	return retryProposal(ctx, func(ctx context.Context) (agreed.Outcome, error) {
		info := h.knownLeader.Load()
		switch {
		case info.leading:
			return h.proposeLocal(ctx, c, after)
		case info.leader == "" || info.leader == h.opts.Peer.Host():
			return agreed.Outcome{}, result.New(result.NotLeader, "no leader is known")
		default:
			return callProposal(ctx, h.opts.Peer, info.leader, h.controlAddr(info.leader), c, after, true)
		}
	})
}

// retryProposal repeats an attempt until it succeeds, fails with a permanent error
// or ctx ends. Without a leader, a quorum or space in the queue it is repeated.
// Once an attempt may have reached a leader, the final error is errUnconfirmed.
func retryProposal(ctx context.Context, attempt func(context.Context) (agreed.Outcome, error)) (agreed.Outcome, error) {
	sent := false
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		out, err := attempt(attemptCtx)
		cancel()
		switch result.CodeOf(err) {
		case result.NotLeader, result.NoQuorum, result.QueueFull:
		case 0:
			if err == nil {
				return out, nil
			}
			sent = true
		default:
			return out, err
		}
		sent = sent || result.CodeOf(err) == result.NoQuorum
		select {
		case <-ctx.Done():
			return agreed.Outcome{}, lastProposalError(err, sent)
		case <-time.After(retryInterval):
		}
	}
}

// lastProposalError returns the error of the last attempt, or errUnconfirmed if the
// command may have been appended.
func lastProposalError(err error, sent bool) error {
	if sent || result.CodeOf(err) == 0 {
		return errUnconfirmed()
	}
	return err
}

// proposeLocal proposes a command on this host without forwarding it.
func (h *Host) proposeLocal(ctx context.Context, c agreed.Command, after *uint64) (agreed.Outcome, error) {
	reply := make(chan proposalResult, 1)
	if !h.post(proposeEvent{command: c, after: after, reply: reply}) {
		return agreed.Outcome{}, result.New(result.QueueFull, "%v", errQueueFull)
	}
	select {
	case <-ctx.Done():
		return agreed.Outcome{}, errUnconfirmed()
	case a := <-reply:
		return a.outcome, a.err
	}
}

// controlAddr returns the configured address of a control host, empty if it is
// unknown. With open membership the identity is the address.
func (h *Host) controlAddr(host string) string {
	if h.opts.OpenMembership {
		return host
	}
	for _, c := range h.opts.Controls {
		if c.Host == host {
			return c.Addr
		}
	}
	return ""
}

// callProposal sends a proposal to a control host and waits for the outcome. forwarded is set if
// the sender is a control host that does not lead.
func callProposal(ctx context.Context, node *peer.Node, host, addr string, c agreed.Command, after *uint64, forwarded bool) (agreed.Outcome, error) {
	var out agreed.Outcome
	data, err := c.EncodeReadable()
	if err != nil {
		return out, err
	}
	err = node.Call(ctx, host, addr, peer.KindProposal, proposal{Command: data, Forwarded: forwarded, After: after}, &out)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errUnconfirmed()
	}
	return out, err
}

// serveProposal handles a proposal of another host. A forwarded one fails if this
// host is not the leader, so that it cannot be forwarded in a loop.
func (h *Host) serveProposal(ctx context.Context, _ peer.Identity, p proposal) (agreed.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	command, err := agreed.DecodeCommand(p.Command)
	if err != nil {
		return agreed.Outcome{}, result.New(result.PeerMalformed, "%v", err)
	}
	if p.Forwarded {
		if !h.knownLeader.Load().leading {
			return agreed.Outcome{}, result.New(result.NotLeader, "this host is not the leader")
		}
		return h.proposeLocal(ctx, command, p.After)
	}
	return h.propose(ctx, command, p.After)
}
