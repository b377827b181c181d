package agreed

import (
	"bytes"
	"encoding/hex"
	"reflect"
	"testing"

	"github.com/galenabridge/galenabridge/internal/result"
)

func claim(host string, incarnation, previous uint64, window int64) Command {
	return Command{ClaimUsage: &ClaimUsage{Host: host, Incarnation: incarnation, Previous: previous, Window: window}}
}

func decide(fence uint64, window, accepted int64, requests uint64) Command {
	return Command{DecideUsage: &DecideUsage{Fence: fence, Window: window, Accepted: accepted, Counts: map[string]uint64{"crew": requests}}}
}

// TestUsageCommands checks which commands are refused: one that expects another fence, and a second
// decision of a window, would let two hosts report different counts.
func TestUsageCommands(t *testing.T) {
	s, out := applyCommands(t, putDocument(1, "logs"), // 1
		decide(0, 9, 0, 1),    // refused: no holder
		claim("a", 1, 0, 10),  // 3
		claim("b", 1, 0, 10),  // refused: another fence
		decide(3, 9, 0, 1),    // refused: before the first window
		decide(3, 10, 0, 1),   // 6
		decide(3, 10, 0, 2),   // refused: decided
		claim("b", 1, 3, 30),  // 8
		decide(3, 11, 10, 2),  // refused: former fence
		decide(8, 12, 10, 3),  // 10
		decide(8, 13, 100, 4), // 11: only decided windows can be accepted
		decide(8, 13, 0, 4),   // a repeat
		claim("b", 1, 3, 30),  // a repeat
		claim("c\xff", 1, 8, 1), claim("c", 0, 8, 1), claim("c", 1, 8, 0), decide(8, 1<<60, 0, 1))
	refused := map[int]result.Code{1: result.TermConflict, 3: result.TermConflict, 4: result.TermConflict, 6: result.TermConflict, 8: result.TermConflict,
		13: result.MalformedMessage, 14: result.MalformedMessage, 15: result.MalformedMessage, 16: result.MalformedMessage}
	if claim("c\xff", 1, 8, 1).Check() == nil || decide(8, -1, 0, 1).Check() == nil {
		t.Error("a value that may not enter the log passes the check")
	}
	for i, o := range out {
		if o.Code != refused[i] || o.Revision != 1 {
			t.Errorf("command %d: outcome %+v, want code %d at revision 1", i, o, refused[i])
		}
	}
	want := Usage{Holder: "b", Incarnation: 1, Fence: 8, Decided: 13, Accepted: 12, Pending: []UsageWindow{{13, map[string]uint64{"crew": 4}}}}
	if !reflect.DeepEqual(s.Usage, want) {
		t.Errorf("usage %+v, want %+v", s.Usage, want)
	}
}

// TestUsagePendingBounded guards against a state that grows while the platform is down.
func TestUsagePendingBounded(t *testing.T) {
	commands := []Command{claim("a", 1, 0, 1)}
	for window := range int64(3 * MaxUsagePending) {
		commands = append(commands, decide(1, window+1, 0, 1))
	}
	s, _ := applyCommands(t, commands...)
	if p := s.Usage.Pending; len(p) != MaxUsagePending || p[MaxUsagePending-1].Window != 3*MaxUsagePending {
		t.Errorf("pending %+v, want the last %d windows", p, MaxUsagePending)
	}
}

// TestUsageOnlyAtControlHosts checks that a snapshot of a control host has the usage reports, and
// that subscribers receive nothing of them, also after a later change.
func TestUsageOnlyAtControlHosts(t *testing.T) {
	s, _ := applyCommands(t, putDocument(1, "logs"), claim("a", 1, 0, 10), decide(2, 10, 0, 1))
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if decoded, err := Decode(data); err != nil || !reflect.DeepEqual(decoded.Usage, s.Usage) {
		t.Errorf("decoded usage differs: %v", err)
	}
	later, _ := Apply(s, 9, putDocument(2, "logs", "more"))
	if !reflect.DeepEqual(later.Usage, s.Usage) {
		t.Error("another command changed the usage reports")
	}
	patched, err := Patch(s.ForSubscriber(), Diff(s, later))
	if err != nil || !reflect.DeepEqual(patched.Usage, Usage{}) {
		t.Errorf("a subscriber has usage %+v, error %v", patched.Usage, err)
	}
}

// formerEncoding is the state after putDocument(1, "logs") as encoded by commit 4e0f982.
const formerEncoding = "a2010102a80101026003a601a30101026004f602a003a004a1646c6f6773a801646c6f677302000300040005600660076009687265706c6963617305a006a16764622d6c6f6773a601646c6f6773026764622d6c6f677303646c6f677305600701096004f605a006a007a1646c6f6773a701646c6f677302f6030004600567666f726d696e67060007010ba20101024474657874"

// TestUsageNotInEncodingWithoutDuty guards against a data folder that builds before the usage reports
// cannot read, or that cannot be read after them, although no reports are required.
func TestUsageNotInEncodingWithoutDuty(t *testing.T) {
	s, _ := applyCommands(t, putDocument(1, "logs"))
	former, err := hex.DecodeString(formerEncoding)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(former)
	if err != nil || !reflect.DeepEqual(decoded, s) {
		t.Errorf("decoded %+v, error %v; want %+v", decoded, err, s)
	}
	if data, err := s.Encode(); err != nil || !bytes.Equal(data, former) {
		t.Errorf("encoded %x, error %v; want that of former builds", data, err)
	}
}
