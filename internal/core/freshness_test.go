package core

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/clock"
)

// TestFreshnessBoundIncludesOlderAcknowledgements guards against a staleness bound that
// omits a write acknowledged longer ago than the allowed age. Writes and answers of the
// primary come at random times.
func TestFreshnessBoundIncludesOlderAcknowledgements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFreshness()
		now := time.Unix(100, 0)
		var acked []sample
		number := uint64(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				number++
				acked = append(acked, sample{at: now, position: Position{Term: 3, Number: number}})
			case 1:
				f.observe(Log{Service: "s", Term: 1}, now, Position{Term: 3, Number: number})
			default:
				age := time.Duration(rapid.IntRange(100, 3000).Draw(t, "age")) * time.Millisecond
				p, ok := f.bound(Log{Service: "s", Term: 1}, now, age)
				for _, a := range acked {
					if ok && a.at.Before(now.Add(-age)) && p.position.Compare(a.position) < 0 {
						t.Fatalf("bound %v does not include %v, acknowledged %v before", p.position, a.position, now.Sub(a.at))
					}
				}
			}
		}
	})
}

func TestFreshnessDropsSamplesOfFormerTerm(t *testing.T) {
	f := newFreshness()
	now := time.Unix(100, 0)
	f.observe(Log{Service: "s", Term: 1}, now, Position{Term: 3, Number: 9})
	if _, ok := f.bound(Log{Service: "s", Term: 2}, now, time.Second); ok {
		t.Error("a sample of the former term was used")
	}
	f.observe(Log{Service: "s", Term: 2}, now, Position{Term: 4, Number: 7})
	f.observe(Log{Service: "s", Term: 1}, now.Add(time.Second), Position{Term: 3, Number: 12})
	if p, ok := f.bound(Log{Service: "s", Term: 2}, now, time.Second); !ok || p.position.Number != 7 {
		t.Errorf("bound %v %v, want the position 7 of the current term", p, ok)
	}
}

// TestInquiryOneAtATime checks that one read at a time asks for a position, in each term, and
// that another one asks when it got no answer.
func TestInquiryOneAtATime(t *testing.T) {
	f, now := newFreshness(), time.Unix(1000, 0)
	if f.inquire(Log{Service: "s", Term: 1}, now) != nil {
		t.Fatal("the first read does not ask")
	}
	answered := f.inquire(Log{Service: "s", Term: 1}, now.Add(inquiryWait/2))
	if answered == nil {
		t.Fatal("a second read asks")
	}
	f.observe(Log{Service: "s", Term: 1}, now, Position{Term: 1, Number: 1})
	select {
	case <-answered:
	default:
		t.Error("the answer does not end the wait")
	}
	if f.inquire(Log{Service: "s", Term: 1}, now.Add(inquiryWait)) != nil || f.inquire(Log{Service: "s", Term: 2}, now.Add(inquiryWait)) != nil {
		t.Error("no read asks again, or in the next term")
	}
	if f.inquire(Log{Service: "s", Term: 2}, now.Add(2*inquiryWait)) != nil {
		t.Error("no read asks after one that got no answer")
	}
}

// TestReadsAwaitPositionOfPrimary plays the reads of a host that knows no position, as after its
// restart. It guards against reads that all go to the primary, which cannot run them alone.
func TestReadsAwaitPositionOfPrimary(t *testing.T) {
	const reads = 20
	f := newFixture(t)
	f.server.primaryPositions.wait = time.Hour // on a busy machine the reads begin more than inquiryWait apart
	if f.server.primaryPositions.inquire(Log{Service: "logs", Term: 1}, clock.Now().Add(time.Minute)) != nil {
		t.Fatal("another read asks already")
	}
	replies := make(chan Reply)
	for range reads {
		s := f.open("own")
		go func() { replies <- s.Do(Statement{ID: "id", Kind: Read, Text: "x"}) }()
	}
	time.Sleep(2 * retryDelay)
	if n := f.endpoints.count(Read); n != 0 {
		t.Errorf("%d reads ran before a position was known, want 0", n)
	}
	f.server.primaryPositions.observe(Log{Service: "logs", Term: 1}, clock.Now(), Position{Term: 1, Number: 1})
	for range reads {
		if r := <-replies; r.Err != nil {
			t.Error(r.Err)
		}
	}
	f.endpoints.mu.Lock()
	defer f.endpoints.mu.Unlock()
	for _, r := range f.endpoints.received {
		if r.endpoint == "p" && r.command.Kind == Read {
			t.Fatal("a read ran at the primary although the replicas are as recent")
		}
	}
}

// TestPositionKnownFromSessionStart checks that a connection to the primary tells its position,
// and that one to a replica, or without a lease, tells none.
func TestPositionKnownFromSessionStart(t *testing.T) {
	for _, c := range []struct {
		endpoint string
		lease    time.Duration
		known    bool
	}{{"p", time.Hour, true}, {"r1", time.Hour, false}, {"p", -time.Hour, false}} {
		f := newFixture(t)
		f.endpoints.startPosition = Position{Term: 1, Number: 7}
		e := f.server.endpoint(f.state.Endpoints[c.endpoint])
		f.publish(c.lease)
		if _, err := e.dial(context.Background(), "crew"); err != nil {
			t.Fatal(err)
		}
		if p, ok := f.server.primaryPositions.bound(Log{Service: "logs", Term: 1}, clock.Now(), time.Minute); ok != c.known || ok && p.position != f.endpoints.startPosition {
			t.Errorf("%s, lease %v: position %v, known %t; want known %t", c.endpoint, c.lease, p, ok, c.known)
		}
	}
}
