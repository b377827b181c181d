package view

import (
	"testing"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
)

func TestPublisherLeasedSince(t *testing.T) {
	p, state := NewPublisher(), agreed.New()
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(time.Hour)})
	first := p.Current().LeasedSince
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(2 * time.Hour)})
	if since := p.Current().LeasedSince; !since.Equal(first) {
		t.Error("a renewed lease counts as another one")
	}
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(-time.Second)})
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(time.Hour)})
	if since := p.Current().LeasedSince; !since.After(first) {
		t.Error("a lease after an interruption counts as the former one")
	}
}

// TestViewLostFor checks the time without a lease. It guards against a loss that is not
// noticed because the state, rather than the end of the lease, has made the view invalid.
func TestViewLostFor(t *testing.T) {
	p, state := NewPublisher(), agreed.New()
	if _, had := p.Current().LostFor(); had {
		t.Error("a host that never had a lease has lost one")
	}
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(time.Hour)})
	if lost, had := p.Current().LostFor(); lost != 0 || !had {
		t.Errorf("lost for %v, %t with a valid lease", lost, had)
	}
	p.Publish(View{State: state}) // no longer registered, or absent
	if lost, had := p.Current().LostFor(); lost > time.Minute || !had {
		t.Errorf("lost for %v, %t just after the loss", lost, had)
	}
	p.Publish(View{State: state, ValidUntil: clock.Now().Add(-time.Minute)})
	p.Publish(View{State: state})
	if lost, had := p.Current().LostFor(); !had || lost > time.Minute {
		t.Errorf("lost for %v, %t, want less than a minute: the first lease ended later", lost, had)
	}
}
