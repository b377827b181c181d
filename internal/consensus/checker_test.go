package consensus

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

type encodedState struct {
	Index    uint64   `cbor:"1,keyasint"`
	Commands []string `cbor:"2,keyasint"`
}

func (s appState) encode() []byte {
	data, err := cbor.Marshal(encodedState{Index: s.index, Commands: s.commands})
	if err != nil {
		panic(err)
	}
	return data
}

func decodeState(snap Snapshot) appState {
	if len(snap.Data) == 0 {
		return appState{index: snap.Index}
	}
	var e encodedState
	if err := cbor.Unmarshal(snap.Data, &e); err != nil {
		panic(err)
	}
	return appState{index: e.Index, commands: e.Commands}
}

func (p *process) apply(e Entry) {
	if e.Index != p.state.index+1 {
		panic(fmt.Sprintf("%s applies entry %d after %d", p.cfg.Host, e.Index, p.state.index))
	}
	p.state.index = e.Index
	if e.Kind == EntryCommand {
		p.state.commands = append(p.state.commands, string(e.Data))
	}
}

// checker records the history of a run and checks the safety properties of Raft
// (Ongaro and Ousterhout, 2014, figure 3) after every step.
type checker struct {
	// leaders holds the disk identity of each leader. A group that was formed and never committed anything
	// may be left for another one, which begins with the same terms; committed entries are checked over
	// all groups.
	leaders      map[groupTerm]uint64
	committed    map[uint64]Entry // by index
	maxCommit    uint64
	commitAtCall map[uint64]uint64 // ConfirmQuorum call to maxCommit at its start
	violation    string
}

// groupTerm is a term of a group.
type groupTerm struct{ fleet, term uint64 }

func newChecker() *checker {
	return &checker{leaders: map[groupTerm]uint64{}, committed: map[uint64]Entry{}, commitAtCall: map[uint64]uint64{}}
}

func (k *checker) fail(format string, args ...any) {
	if k.violation == "" {
		k.violation = fmt.Sprintf(format, args...)
	}
}

func sameEntry(a, b Entry) bool {
	return a.Term == b.Term && a.Kind == b.Kind && bytes.Equal(a.Data, b.Data)
}

// observe records and checks the work that a process did in one step.
func (k *checker) observe(c *cluster, p *process, rd Ready) {
	if p.node.role == Leader {
		k.checkLeader(p)
	}
	for _, e := range rd.Committed {
		was, known := k.committed[e.Index]
		if known && !sameEntry(was, e) {
			k.fail("entry %d: %s applied %v, another node %v", e.Index, p.cfg.Host, e, was)
		}
		k.committed[e.Index] = e
		k.maxCommit = max(k.maxCommit, e.Index)
	}
	for _, r := range rd.Confirmed {
		k.checkRead(r)
	}
	k.checkLogs(c, p)
}

// checkRead checks that a confirmed read covers all commits before its call.
func (k *checker) checkRead(r Confirmation) {
	if r.Index < k.commitAtCall[r.ID] {
		k.fail("confirmed read %d at %d is older than the commit %d before it", r.ID, r.Index, k.commitAtCall[r.ID])
	}
}

// checkState checks a state restored from a snapshot against the history.
func (k *checker) checkState(p *process) {
	var want []string
	for i := uint64(1); i <= p.state.index; i++ {
		if e := k.committed[i]; e.Kind == EntryCommand && e.Index != 0 {
			want = append(want, string(e.Data))
		}
	}
	if !slices.Equal(p.state.commands, want) {
		k.fail("%s installed %q at %d, applied were %q", p.cfg.Host, p.state.commands, p.state.index, want)
	}
}

// checkLeader checks election safety and leader completeness.
func (k *checker) checkLeader(p *process) {
	term := p.node.hard.Term
	group := groupTerm{p.node.hard.Fleet, term}
	if was, known := k.leaders[group]; known && was != p.node.disk {
		k.fail("term %d has two leaders", term)
		return
	} else if known {
		return
	}
	k.leaders[group] = p.node.disk
	for index, e := range k.committed {
		if e.Term >= term {
			continue
		}
		got, known := p.node.log.term(index)
		if index > p.node.log.prevIndex && (!known || got != e.Term) {
			k.fail("leader %s of term %d lacks committed entry %d", p.cfg.Host, term, index)
		}
	}
}

// checkLogs checks log matching between p and every other node: where two logs
// have an entry of the same index and term, all earlier entries are the same.
func (k *checker) checkLogs(c *cluster, p *process) {
	for _, q := range c.procs {
		if q != p && q.node != nil {
			k.checkMatching(p.node.log, q.node.log)
		}
	}
}

func (k *checker) checkMatching(a, b *raftLog) {
	matched := false
	low := max(a.prevIndex, b.prevIndex) + 1
	for i := min(a.last(), b.last()); i >= low; i-- {
		x, y := a.entries[i-a.prevIndex-1], b.entries[i-b.prevIndex-1]
		if x.Term == y.Term || matched {
			if !sameEntry(x, y) {
				k.fail("logs differ at entry %d below a matching entry", i)
			}
			matched = true
		}
	}
}
