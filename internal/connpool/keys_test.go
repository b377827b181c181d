package connpool

import (
	"context"
	"testing"
	"time"
)

func acquireKey(t *testing.T, p *Pool[*fakeConn], key string) *fakeConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := p.Acquire(ctx, key, nil)
	if err != nil {
		t.Fatal(err)
	}
	if c.key != key {
		t.Fatalf("checked out a connection with key %q for %q", c.key, key)
	}
	return c
}

func TestIdleConnectionEvictedForOtherKey(t *testing.T) {
	p, dialed := newPool(2)
	a, b := acquireKey(t, p, "a"), acquireKey(t, p, "b")
	p.Release(a, true)
	p.Release(b, true)
	c := acquireKey(t, p, "c")
	if !a.closed || b.closed || *dialed != 3 {
		t.Errorf("closed %v and %v, want only the first; %d dialed, want 3", a.closed, b.closed, *dialed)
	}
	p.Release(c, true)
	if s := p.Stats(); s.Open != 2 {
		t.Errorf("%d connections open, want 2 at the limit of %d", s.Open, s.Limit)
	}
}

// TestBusyKeyDoesNotStarveOthers guards against starvation: at the limit, a connection is
// delivered again and again to requests of its own key while a request of another key
// waits.
func TestBusyKeyDoesNotStarveOthers(t *testing.T) {
	p, _ := newPool(1)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	stop, done := make(chan struct{}), make(chan struct{})
	busy := func() {
		defer func() { done <- struct{}{} }()
		for {
			select {
			case <-stop:
				return
			default:
			}
			if c, err := p.Acquire(ctx, "busy", nil); err == nil {
				p.Release(c, true)
			}
		}
	}
	go busy()
	go busy()
	p.Release(acquireKey(t, p, "rare"), true)
	close(stop)
	<-done
	<-done
}

func TestTakePeakCountsRecentKeys(t *testing.T) {
	p, _ := newPool(1)
	for _, key := range []string{"a", "b", "c"} {
		p.Release(acquireKey(t, p, key), true)
	}
	if n := p.TakePeak(); n != 3 {
		t.Errorf("peak demand of %d connections for three keys, want 3", n)
	}
}
