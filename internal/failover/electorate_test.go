package failover

import (
	"fmt"
	"testing"
)

// TestElectorateKeepsMajorityWithoutOneRegion guards against watchers that are
// concentrated in one region, whose loss would leave no majority. It selects watchers
// from eleven failure domains in four regions.
func TestElectorateKeepsMajorityWithoutOneRegion(t *testing.T) {
	var watchers []Watcher
	for d := range 11 {
		for h := range 4 {
			watchers = append(watchers, Watcher{
				Host:   fmt.Sprintf("host-%d-%d", d, h),
				Domain: fmt.Sprintf("domain-%d", d),
				Region: fmt.Sprintf("region-%d", d%4),
			})
		}
	}
	e := NewElectorate(watchers)
	used := make(map[string]bool)
	for i := range 200 {
		endpoint := fmt.Sprintf("endpoint-%d", i)
		chosen := e.Watchers(endpoint)
		if len(chosen) != MaxWatcherDomains {
			t.Fatalf("%d watchers of %s", len(chosen), endpoint)
		}
		perRegion := make(map[string]int)
		for _, w := range chosen {
			perRegion[w.Region]++
			used[w.Domain] = true
			if !e.Watches(w.Host, w.Domain, endpoint) {
				t.Errorf("Watches is false for %s, a watcher of %s", w.Host, endpoint)
			}
			if _, ok := e.voter(w.Host, w.Domain, endpoint); !ok {
				t.Errorf("the vote of %s on %s does not count", w.Host, endpoint)
			}
		}
		for region, n := range perRegion {
			if len(chosen)-n < e.majority(endpoint) {
				t.Errorf("without %s only %d of %d watchers of %s are left", region, len(chosen)-n, len(chosen), endpoint)
			}
		}
	}
	if len(used) != 11 {
		t.Errorf("only %d failure domains watch", len(used))
	}
}

// TestElectorateIgnoresDomainsNotSelected checks that only hosts in the failure
// domains selected for an endpoint have a vote on it.
func TestElectorateIgnoresDomainsNotSelected(t *testing.T) {
	var watchers []Watcher
	for d := range 11 {
		watchers = append(watchers, Watcher{Host: fmt.Sprintf("h%d", d), Domain: fmt.Sprintf("d%d", d)})
	}
	e := NewElectorate(watchers)
	chosen := make(map[string]bool)
	for _, w := range e.Watchers("a") {
		chosen[w.Domain] = true
	}
	for _, w := range watchers {
		if _, ok := e.voter(w.Host, w.Domain, "a"); ok != chosen[w.Domain] {
			t.Errorf("vote of %s: %t, chosen: %t", w.Domain, ok, chosen[w.Domain])
		}
	}
}
