package capacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/control"
	"github.com/galenabridge/galenabridge/internal/failover"
	"github.com/galenabridge/galenabridge/internal/note"
)

// measureSubscribers measures relay, leader and subscribers with a growing number
// of subscribers at the relay. With the largest number it also measures the cost
// of deltas and of soft state.
func (r *run) measureSubscribers() error {
	subscribers := newSimulatedHosts(r.system)
	defer subscribers.close()
	var relay, leader series
	var subscription []Point
	for _, n := range r.plan.Subscribers {
		if err := subscribers.grow(n); err != nil {
			return err
		}
		before, err := ownCPUSeconds()
		if err != nil {
			return err
		}
		x := float64(n)
		atRelay, atLeader, err := r.measureControlHosts()
		if err != nil {
			return err
		}
		relay.add(x, atRelay)
		leader.add(x, atLeader)
		after, err := ownCPUSeconds()
		if err != nil {
			return err
		}
		subscription = append(subscription, Point{x, (after - before) / r.plan.Window.Seconds()})
	}
	r.addSlope(SlopeRelayCPU, "subscribers", "CPU s/s", relay.cpu)
	r.addSlope(SlopeRelayBytes, "subscribers", "B/s", relay.bytes)
	r.addSlope(SlopeRelayMessages, "subscribers", "messages/s", relay.messages)
	r.addSlope(SlopeRelayMemory, "subscribers", "B", relay.memory)
	r.addSlope(SlopeLeaderCPU, "subscribers", "CPU s/s", leader.cpu)
	r.addSlope(SlopeLeaderBytes, "subscribers", "B/s", leader.bytes)
	r.addSlope(SlopeSubscriptionCPU, "subscribers", "CPU s/s", subscription)
	if err := r.measureDeltas(len(subscribers.hosts)); err != nil {
		return err
	}
	return r.measureSoftState(subscribers)
}

// measureControlHosts measures relay and leader over the same window.
func (r *run) measureControlHosts() (relay, leader rates, err error) {
	leaderDone := make(chan error, 1)
	go func() {
		var err error
		leader, err = measureRates(r.system.LeaderAdmin, r.plan.Window)
		leaderDone <- err
	}()
	relay, err = measureRates(r.system.RelayAdmin, r.plan.Window)
	if leaderErr := <-leaderDone; err == nil {
		err = leaderErr
	}
	return relay, leader, err
}

// measureDeltas compares a window without release notes to one with them. Each
// note results in one delta to every subscriber.
func (r *run) measureDeltas(subscribers int) error {
	idle, err := measureRates(r.system.RelayAdmin, r.plan.Window)
	if err != nil {
		return err
	}
	applied := make(chan error, 1)
	go func() { applied <- r.applyNotes() }()
	loaded, err := measureRates(r.system.RelayAdmin, r.plan.Window)
	if err != nil {
		return err
	}
	if err := <-applied; err != nil {
		return err
	}
	perSecond := float64(r.plan.Notes) / r.plan.Window.Seconds()
	x := perSecond * float64(subscribers)
	r.addSlope(SlopeDeltaCPU, "deltas/s x subscribers", "CPU s/s", []Point{{0, idle.cpu}, {x, loaded.cpu}})
	r.addSlope(SlopeDeltaBytes, "deltas/s x subscribers", "B/s", []Point{{0, idle.bytes}, {x, loaded.bytes}})
	return nil
}

// applyNotes submits the planned number of release notes, each of which changes the
// rate of one workspace. Its pauses add up to 80% of the window, which leaves time for
// the requests themselves.
func (r *run) applyNotes() error {
	var current note.Catalog
	if err := r.getJSON("/v1/notes/current", &current); err != nil {
		return err
	}
	pause := r.plan.Window * 8 / 10 / time.Duration(r.plan.Notes)
	for i := range r.plan.Notes {
		n := note.Note{Number: current.Stamp.Number + uint64(i) + 1}
		for _, w := range current.Workspaces {
			w.Rate += float64(i + 1)
			n.Changed.Workspaces = []note.Workspace{w}
			break
		}
		if err := r.postNote(n); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// getJSON decodes the response of the leader's admin API at path into out.
func (r *run) getJSON(path string, out any) error {
	resp, err := http.Get("http://" + r.system.LeaderAdmin + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

// postNote submits a release note to the leader.
func (r *run) postNote(n note.Note) error {
	body, err := json.Marshal(n)
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+r.system.LeaderAdmin+"/v1/notes", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("note %d: %s: %s", n.Number, resp.Status, text)
	}
	return nil
}

// measureSoftState measures the leader while subscribers send announcements, then
// observations, through the relay.
func (r *run) measureSoftState(s *simulatedHosts) error {
	var announcements, observations series
	for _, rate := range r.plan.EventRates {
		cost, err := r.measureLeaderAtRate(rate, func(i int) {
			s.hosts[i%len(s.hosts)].subscriber.Announce(announcement(i))
		})
		if err != nil {
			return err
		}
		announcements.add(float64(rate), cost)
	}
	for _, rate := range r.plan.EventRates {
		cost, err := r.measureLeaderAtRate(rate, func(i int) {
			s.hosts[i%len(s.hosts)].subscriber.Observe(observation(i))
		})
		if err != nil {
			return err
		}
		observations.add(float64(rate), cost)
	}
	r.addSlope(SlopeAnnounceCPU, "announcements/s", "CPU s/s", announcements.cpu)
	r.addSlope(SlopeAnnounceBytes, "announcements/s", "B/s", announcements.bytes)
	r.addSlope(SlopeObserveCPU, "observations/s", "CPU s/s", observations.cpu)
	r.addSlope(SlopeObserveBytes, "observations/s", "B/s", observations.bytes)
	return nil
}

// spareEndpoints is the number of endpoints that are announced and observed
// without being members of a group.
const spareEndpoints = 6600

func announcement(i int) control.Announcement {
	i %= spareEndpoints
	return control.Announcement{
		Endpoint: agreed.Endpoint{
			ID: fmt.Sprintf("spare-%d", i), Service: fmt.Sprintf("spare-%d", i/3),
			Addr: "127.0.0.1:1", Domain: "osan",
		},
		Timeline: 1, LSN: uint64(i),
	}
}

func observation(i int) control.Observation {
	i %= spareEndpoints
	return control.Observation{
		Service:  fmt.Sprintf("spare-%d", i/3),
		Endpoint: fmt.Sprintf("spare-%d", i),
		Domain:   "osan", Watcher: "light-0",
		Condition: failover.Condition{Reachable: true, Timeline: 1, Position: uint64(i)},
	}
}

// measureLeaderAtRate measures the leader while send is called rate times per
// second.
func (r *run) measureLeaderAtRate(rate int, send func(i int)) (rates, error) {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		callAtRate(rate, stop, send)
	}()
	cost, err := measureRates(r.system.LeaderAdmin, r.plan.Window)
	close(stop)
	<-done
	return cost, err
}

// paceInterval is the time between two batches of calls of callAtRate.
const paceInterval = 10 * time.Millisecond

// callAtRate calls call rate times per second, with consecutive numbers from 0,
// until stop is closed. After a slow call it catches up.
func callAtRate(rate int, stop <-chan struct{}, call func(i int)) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	start := time.Now()
	calls := 0
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			for due := int(now.Sub(start).Seconds() * float64(rate)); calls < due; calls++ {
				call(calls)
			}
		}
	}
}
