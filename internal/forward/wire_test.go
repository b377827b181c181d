package forward

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/core"
	"github.com/galenabridge/galenabridge/internal/peer"
	"github.com/galenabridge/galenabridge/internal/result"
)

// anyText draws a text of callers or endpoints, which need not be UTF-8.
func anyText(t *rapid.T, label string) string {
	return string(rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, label))
}

func anyDuration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Uint32Range(0, 1<<20).Draw(t, label)) * time.Millisecond
}

func anyPosition(t *rapid.T, label string) core.Position {
	return core.Position{Term: rapid.Uint64().Draw(t, label+" term"), Number: rapid.Uint64().Draw(t, label+" number")}
}

// anyCommit draws a commit. It has no service in messages of earlier builds.
func anyCommit(t *rapid.T) *core.SessionCommit {
	if rapid.IntRange(0, 3).Draw(t, "no commit") == 0 {
		return nil
	}
	return &core.SessionCommit{
		Log: core.Log{
			Service: anyText(t, "service"), Life: rapid.Uint64().Draw(t, "life"), Term: rapid.Uint64Range(1, 1<<60).Draw(t, "log term"),
		},
		Position: anyPosition(t, "commit"), AckedAt: clock.Now().Add(-anyDuration(t, "age")),
	}
}

// sameAge checks that a transfer makes a commit later, by a short time, and gives it the former time.
func sameAge(t *rapid.T, got, want *core.SessionCommit) {
	if got == nil {
		return
	}
	if later := got.AckedAt.Sub(want.AckedAt); later < 0 || later > time.Minute {
		t.Fatalf("the commit has become %v later", later)
	}
	got.AckedAt = want.AckedAt
}

// transfer encodes and decodes a message as a peer connection does.
func transfer[T any](t *rapid.T, msg T) T {
	data, err := peer.Marshal(msg)
	if err != nil {
		t.Fatal(err)
	}
	var out T
	if err := peer.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

func TestRequestUnchangedByTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := core.RemoteRequest{
			Session: rapid.Uint64().Draw(t, "session"), Revision: rapid.Uint64().Draw(t, "revision"),
			Database: anyText(t, "database"), Key: rapid.StringMatching("[0-9a-f]{0,32}").Draw(t, "key"),
			Statement: core.Statement{
				ID: anyText(t, "id"), Kind: core.Kind(rapid.IntRange(1, 12).Draw(t, "kind")), Name: anyText(t, "name"),
				Text: anyText(t, "text"), Writes: rapid.Bool().Draw(t, "writes"),
			},
			Remaining: anyDuration(t, "remaining"), InTransaction: rapid.Bool().Draw(t, "tx"), MayDecline: rapid.Bool().Draw(t, "decline"),
			Commit: anyCommit(t), CommitsForgotten: rapid.Bool().Draw(t, "forgotten"),
		}
		for range rapid.IntRange(0, 3).Draw(t, "other commits") {
			if c := anyCommit(t); c != nil {
				r.OtherCommits = append(r.OtherCommits, *c)
			}
		}
		for range rapid.IntRange(0, 3).Draw(t, "values") {
			if r.Values == nil {
				r.Values = map[string]string{}
			}
			r.Values[anyText(t, "value name")] = anyText(t, "value")
		}
		if rapid.Bool().Draw(t, "prepared") {
			r.Prepared = &core.PreparedStatement{Text: anyText(t, "shape"), Writes: rapid.Bool().Draw(t, "shape writes")}
		}
		got := decodeRequest(transfer(t, encodeRequest(r)))
		sameAge(t, got.Commit, r.Commit)
		for i := range min(len(got.OtherCommits), len(r.OtherCommits)) {
			sameAge(t, &got.OtherCommits[i], &r.OtherCommits[i])
		}
		if !reflect.DeepEqual(got, r) {
			t.Fatalf("got %+v, want %+v", got, r)
		}
	})
}

func TestResponseUnchangedByTransfer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := core.RemoteResponse{
			Declined: rapid.Bool().Draw(t, "declined"), Unavailable: rapid.Bool().Draw(t, "unavailable"),
			Signature: anyText(t, "signature"), State: core.State(rapid.IntRange(0, 2).Draw(t, "state")),
			Commit: anyCommit(t),
			Timings: core.RemoteTimings{
				Rate: anyDuration(t, "rate"), Slot: anyDuration(t, "slot"), Connection: anyDuration(t, "connection"),
				Endpoint: anyDuration(t, "endpoint"), Attempts: rapid.IntRange(0, 9).Draw(t, "attempts"), EndpointID: anyText(t, "endpoint"),
			},
		}
		for range rapid.IntRange(0, 3).Draw(t, "rows") {
			r.Rows = append(r.Rows, anyText(t, "row"))
		}
		if rapid.Bool().Draw(t, "refused") {
			r.Err = &result.Error{
				Code: result.Code(rapid.Uint16Range(1, 6000).Draw(t, "code")), Detail: anyText(t, "detail"), RetryAfter: anyDuration(t, "retry after"),
			}
		}
		got := decodeResponse(transfer(t, encodeResponse(r)))
		sameAge(t, got.Commit, r.Commit)
		if !reflect.DeepEqual(got, r) {
			t.Fatalf("got %+v, want %+v", got, r)
		}
	})
}

// TestRequestOfEarlierBuild guards against a position that is lost or takes part as one of another log
// while hosts of the build before the commits had a service talk to those of this one.
func TestRequestOfEarlierBuild(t *testing.T) {
	type formerRequest struct {
		Session        uint64          `cbor:"1,keyasint"`
		Revision       uint64          `cbor:"2,keyasint"`
		Database       cbor.ByteString `cbor:"3,keyasint"`
		Kind           int             `cbor:"6,keyasint"`
		RemainingMS    uint32          `cbor:"12,keyasint"`
		LastCommit     position        `cbor:"15,keyasint,omitzero"`
		LastCommitTerm uint64          `cbor:"16,keyasint,omitempty"`
	}
	data, err := peer.Marshal(formerRequest{Session: 1, Kind: int(core.Read), LastCommit: position{Term: 3, Number: 9}, LastCommitTerm: 2})
	if err != nil {
		t.Fatal(err)
	}
	var received statementRequest
	if err := peer.Unmarshal(data, &received); err != nil {
		t.Fatal(err)
	}
	got := decodeRequest(received).Commit
	if got == nil || got.Log != (core.Log{Term: 2}) || got.Position != (core.Position{Term: 3, Number: 9}) {
		t.Errorf("received the commit %+v, want the position without a service", got)
	}
	other := core.SessionCommit{Log: core.Log{Service: "other", Life: 7, Term: 2}, Position: core.Position{Term: 3, Number: 99}}
	own := core.SessionCommit{Log: core.Log{Service: "own", Life: 7, Term: 4}, Position: core.Position{Term: 5, Number: 6}}
	data, err = peer.Marshal(encodeRequest(core.RemoteRequest{Commit: &own, OtherCommits: []core.SessionCommit{other}}))
	if err != nil {
		t.Fatal(err)
	}
	var former formerRequest
	if err := peer.Unmarshal(data, &former); err != nil {
		t.Fatal(err)
	}
	if former.LastCommit != (position{Term: 5, Number: 6}) || former.LastCommitTerm != 4 {
		t.Errorf("a host of the earlier build received %v in term %d, want the commit in the service of the route", former.LastCommit, former.LastCommitTerm)
	}
}
