package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenabridge/galenabridge/internal/result"
)

var start = time.Unix(0, 0)

func TestRequestNextActionAndCode(t *testing.T) {
	cases := map[string]struct {
		request Request
		events  []Event
		action  Action
		code    result.Code
	}{
		"new":                                {Request{}, nil, Proceed, result.NoEndpoint},
		"connection failed before sending":   {Request{}, []Event{ConnectionLost}, RetryElsewhere, result.NoEndpoint},
		"failed before sending, transaction": {Request{InTransaction: true}, []Event{ConnectionLost}, ReportCode, result.EndpointLost},
		"sent":                               {Request{}, []Event{BytesSent}, Proceed, result.OutcomeUnknown},
		"answered":                           {Request{}, []Event{BytesSent, AnswerReceived}, ForwardAnswer, 0},
		"write lost":                         {Request{}, []Event{BytesSent, ConnectionLost}, ReportCode, result.OutcomeUnknown},
		"write lost, late answer":            {Request{}, []Event{BytesSent, ConnectionLost, AnswerReceived}, ReportCode, result.OutcomeUnknown},
		"write with id lost":                 {Request{HasID: true}, []Event{BytesSent, ConnectionLost}, LookUpMarker, result.OutcomeUnknown},
		"write with id lost in transaction":  {Request{HasID: true, InTransaction: true}, []Event{BytesSent, ConnectionLost}, ReportCode, result.OutcomeUnknown},
		"read lost":                          {Request{ReadOnly: true}, []Event{BytesSent, ConnectionLost}, RetryElsewhere, result.EndpointLost},
		"read lost within its answer":        {Request{ReadOnly: true, Streamed: true}, []Event{BytesSent, ConnectionLost}, ReportCode, result.EndpointLost},
		"write refused as read-only":         {Request{}, []Event{BytesSent, RefusedReadOnly}, RetryOnPrimary, result.NoEndpoint},
		"refused in a transaction":           {Request{InTransaction: true}, []Event{BytesSent, RefusedReadOnly}, ReportCode, result.EndpointLost},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := c.request
			for _, ev := range c.events {
				r.Apply(ev)
			}
			if r.Next() != c.action || r.Code() != c.code {
				t.Fatalf("action %d code %d, want %d and %d", r.Next(), r.Code(), c.action, c.code)
			}
		})
	}
}

// TestWritesRunAtMostOnce guards against a write that is applied twice: a write is retried
// only when it provably had no effect, and a result code that states "not run" is
// returned only then. Random sequences of events drive the request.
func TestWritesRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Request{InTransaction: rapid.Bool().Draw(t, "tx"), HasID: rapid.Bool().Draw(t, "id"), Streamed: rapid.Bool().Draw(t, "streamed")}
		mayHaveRun := false
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			ev := rapid.SampledFrom([]Event{BytesSent, AnswerReceived, RefusedReadOnly, ConnectionLost}).Draw(t, "event")
			sent := r.Outcome() == Sent
			r.Apply(ev)
			switch {
			case r.Outcome() == Sent:
				mayHaveRun = true
			case sent && ev == RefusedReadOnly:
				mayHaveRun = false
			}
			action := r.Next()
			if mayHaveRun && (action == RetryElsewhere || action == RetryOnPrimary) {
				t.Fatalf("a write that may have run is retried: %+v", r)
			}
			if mayHaveRun && r.Outcome() != Answered && result.Lookup(r.Code()).NotRun {
				t.Fatalf("code %d states that a write was not run, which is uncertain: %+v", r.Code(), r)
			}
			if action == RetryElsewhere || action == RetryOnPrimary {
				r.Reset()
			}
		}
	})
}

// TestBudgetBoundsRetries guards against a retry storm: at any failure rate, retries stay
// within one initial token, a tenth of the requests and MinRetriesPerSecond.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultBudgetConfig()
		b := NewBudgets(cfg)
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		failing := rapid.Float64Range(0, 1).Draw(t, "failing")
		now, requests, retries := start, 0.0, 0.0
		for range 2000 {
			now = now.Add(time.Duration(rnd.Int64N(int64(20 * time.Millisecond))))
			b.RecordFirstAttempt(now, "w", "e")
			requests++
			for rnd.Float64() < failing && b.Allow(now, "w", "e") {
				retries++
			}
			allowed := 1 + cfg.Ratio*requests + cfg.MinRetriesPerSecond*now.Sub(start).Seconds()
			if retries > allowed+1e-6 {
				t.Fatalf("%v retries of %v requests in %v exceed the budget", retries, requests, now.Sub(start))
			}
		}
	})
}

func TestBudgetsRequireWorkspaceAndEndpoint(t *testing.T) {
	b := NewBudgets(DefaultBudgetConfig())
	if !b.Allow(start, "w", "e") || b.Allow(start, "w", "other") || b.Allow(start, "other", "e") {
		t.Fatal("an empty budget allowed a retry, or a nonempty one did not")
	}
	later := start.Add(time.Minute)
	if !b.Allow(later, "w", "e") {
		t.Fatal("the budget was not refilled over time")
	}
}

func TestBudgetDropsIdleBuckets(t *testing.T) {
	b := NewBudget(DefaultBudgetConfig())
	b.Deposit(start, "w")
	b.Deposit(start.Add(time.Hour), "v")
	if len(b.buckets) != 1 {
		t.Fatalf("%d buckets are kept, want 1", len(b.buckets))
	}
}

func TestBackoffWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		b := Backoff{Base: DefaultBackoffBase, Cap: DefaultBackoffCap}
		last := b.Base
		for range 50 {
			wait := b.Next(rnd)
			if wait < b.Base || wait > b.Cap || wait > 3*last {
				t.Fatalf("wait %s after %s", wait, last)
			}
			last = wait
		}
	})
}

func TestCheckMarkerResults(t *testing.T) {
	digest := DigestOf([]byte("insert"), []byte("1"))
	marker := &Marker{Workspace: "w", RequestID: "r", Digest: digest, WrittenAt: start}
	cases := map[string]struct {
		found  *Marker
		digest Digest
		at     time.Time
		want   result.Code
	}{
		"first run":         {nil, digest, start, 0},
		"resend":            {marker, digest, start.Add(time.Hour), result.RequestAlreadyDone},
		"another statement": {marker, DigestOf([]byte("insert"), []byte("2")), start, result.RequestIDReused},
		"parts joined":      {marker, DigestOf([]byte("insert1")), start, result.RequestIDReused},
		"just not expired":  {marker, digest, start.Add(MarkerTTL - 1), result.RequestAlreadyDone},
		"expired":           {marker, digest, start.Add(MarkerTTL), 0},
	}
	for name, c := range cases {
		if got := result.CodeOf(CheckMarker(c.found, c.digest, c.at)); got != c.want {
			t.Errorf("%s: code %d, want %d", name, got, c.want)
		}
	}
}

func BenchmarkBudgetsRecordAndAllow(b *testing.B) {
	budgets := NewBudgets(DefaultBudgetConfig())
	b.ReportAllocs()
	for b.Loop() {
		budgets.RecordFirstAttempt(start, "w", "e")
		budgets.Allow(start, "w", "e")
	}
}
