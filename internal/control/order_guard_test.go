package control

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/result"
	"github.com/galenabridge/galenabridge/internal/view"
)

// An order is overtaken by one that was applied, by one that this leader has appended, and by any that
// a snapshot may contain; an entry that was replaced after a change of leader overtakes none.
func TestOrderGuardKnowsNewestOrder(t *testing.T) {
	g := newOrderGuard(10)
	if got := g.newest("a"); got != 10 {
		t.Fatalf("after a snapshot at 10: %d", got)
	}
	g.appended(note.Domain{Name: "a", Out: true}, 12)
	if got := g.newest("a"); got != 12 {
		t.Fatalf("appended at 12: %d", got)
	}
	if got := g.newest("b"); got != 10 {
		t.Fatalf("another domain: %d", got)
	}
	g.dropAppended()
	g.applied(note.Domain{Name: "a"}, 11)
	if got := g.newest("a"); got != 11 {
		t.Fatalf("applied at 11 in place of the entry at 12: %d", got)
	}
	g.appended(note.Domain{Name: "a", Out: true}, 20)
	g.appended(note.Domain{Name: "a"}, 21)
	g.applied(note.Domain{Name: "a", Out: true}, 20)
	if got := g.newest("a"); got != 21 || g.pending["a"].domain.Out {
		t.Fatalf("the entry at 21 is pending: %d, %+v", got, g.pending)
	}
	g.applied(note.Domain{Name: "a"}, 21)
	if len(g.pending) != 0 {
		t.Fatalf("pending %+v", g.pending)
	}
}

// A helper that was suspended read a promotion order long after the leader had gone on, and promoted.
func TestPromotionReadLateIsRefused(t *testing.T) {
	const fence = 7
	at := func(changed uint64, leased bool) view.View {
		s := agreed.New()
		s.Groups = map[string]agreed.Group{"logs": {Service: "logs", Changed: changed}}
		v := view.View{State: s, ValidUntil: clock.Now().Add(-time.Millisecond)}
		if leased {
			v.ValidUntil = clock.Now().Add(time.Minute)
		}
		return v
	}
	for _, c := range []struct {
		name string
		view view.View
		want result.Code
	}{
		{"present order", at(fence, true), 0},
		{"the choice has not arrived yet", at(fence-1, true), 0},
		{"a later choice", at(fence+1, true), result.OrderOvertaken},
		{"the lease has ended meanwhile", at(fence, false), result.NoConfigLease},
	} {
		if got := result.CodeOf(checkPromotion(c.view, agreed.Endpoint{Service: "logs"}, fence)); got != c.want {
			t.Errorf("%s: code %d, want %d", c.name, got, c.want)
		}
	}
}
