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
	proposalTimeout = 5 * time.Second
	attemptTimeout  = 1 * time.Second
	retryInterval   = 50 * time.Millisecond
)

// answer is the answer to a proposal.
type proposalResult struct {
	outcome agreed.Outcome
	err     error
}

// pendingProposal waits for its log entry to be applied.
type pendingProposal struct {
	term  uint64
	until time.Time
	reply chan proposalResult
	// service is set instead of reply for a command of the failover driver.
	service string
}

// proposeEvent appends a command to the log when this host leads.
type proposeEvent struct {
	command agreed.Command
	reply   chan proposalResult // buffered
}

func (e proposeEvent) handle(h *Host, now time.Time) {
	index, err := h.appendCommand(e.command)
	if err != nil {
		e.reply <- proposalResult{err: err}
		return
	}
	h.proposals[index] = pendingProposal{term: h.term, until: now.Add(proposalTimeout), reply: e.reply}
}

// proposeNow appends a command and returns its log index.
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
	data, err := c.Encode()
	if err != nil {
		return 0, err
	}
	return h.node.Propose(data)
}

// finishProposal answers the proposer of an applied entry. An entry of another
// term at the same index means that the proposal was lost.
func (h *Host) finishProposal(e consensus.Entry, out agreed.Outcome) {
	p, ok := h.proposals[e.Index]
	if !ok {
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
	if p.service != "" {
		h.failover.commandDone(p.service, err == nil && out.Code == 0)
		return
	}
	p.reply <- proposalResult{outcome: out, err: err}
}

func (h *Host) expireProposals(now time.Time) {
	for index, p := range h.proposals {
		if now.After(p.until) {
			h.answerProposal(index, agreed.Outcome{}, errUnconfirmed())
		}
	}
}

func errUnconfirmed() error {
	return result.New(result.NoQuorum, "the control hosts did not confirm the change in time; it may still be accepted")
}

// Propose proposes a command through the leader, wherever it is, and returns
// its outcome. It tries again until ctx ends: every command is idempotent or
// names the state that it expects. On result code NoQuorum the command may
// still be accepted later.
func (h *Host) Propose(ctx context.Context, c agreed.Command) (agreed.Outcome, error) {
	return retryProposal(ctx, func(ctx context.Context) (agreed.Outcome, error) {
		info := h.leaderInfo.Load()
		switch {
		case info.leading:
			return h.proposeLocal(ctx, c)
		case info.leader == "" || info.leader == h.opts.Peer.Host():
			return agreed.Outcome{}, result.New(result.NotLeader, "no leader is known")
		default:
			return callProposal(ctx, h.opts.Peer, info.leader, h.controlAddr(info.leader), proposal{Command: c, Forwarded: true})
		}
	})
}

// retryProposal repeats attempts that failed for want of a leader.
func retryProposal(ctx context.Context, attempt func(context.Context) (agreed.Outcome, error)) (agreed.Outcome, error) {
	sent := false
	for {
		try, cancel := context.WithTimeout(ctx, attemptTimeout)
		out, err := attempt(try)
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

func lastProposalError(err error, sent bool) error {
	if sent || result.CodeOf(err) == 0 {
		return errUnconfirmed()
	}
	return err
}

func (h *Host) proposeLocal(ctx context.Context, c agreed.Command) (agreed.Outcome, error) {
	reply := make(chan proposalResult, 1)
	if !h.post(proposeEvent{command: c, reply: reply}) {
		return agreed.Outcome{}, result.New(result.QueueFull, "%v", errTaskUnavailable)
	}
	select {
	case <-ctx.Done():
		return agreed.Outcome{}, errUnconfirmed()
	case a := <-reply:
		return a.outcome, a.err
	}
}

// controlAddr returns the address of a control host from the settings.
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

func callProposal(ctx context.Context, node *peer.Node, host, addr string, p proposal) (agreed.Outcome, error) {
	var out agreed.Outcome
	err := node.Call(ctx, host, addr, peer.KindProposal, p, &out)
	if errors.Is(err, context.DeadlineExceeded) {
		err = errUnconfirmed()
	}
	return out, err
}

// serveProposal answers a proposal of another host.
func (h *Host) serveProposal(ctx context.Context, _ peer.Identity, p proposal) (agreed.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	if p.Forwarded {
		if !h.leaderInfo.Load().leading {
			return agreed.Outcome{}, result.New(result.NotLeader, "this host does not lead")
		}
		return h.proposeLocal(ctx, p.Command)
	}
	return h.Propose(ctx, p.Command)
}
