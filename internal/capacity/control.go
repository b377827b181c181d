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

// measureSubscribers grows a swarm behind the relay, then applies release notes
// and sends soft state at the greatest size.
func (r *run) measureSubscribers() error {
	swarm := newSwarm(r.system)
	defer swarm.close()
	var relay, leader series
	var host []Point
	for _, n := range r.plan.Subscribers {
		if err := swarm.grow(n); err != nil {
			return err
		}
		own, err := ownCPU()
		if err != nil {
			return err
		}
		x := float64(n)
		atRelay, atLeader, err := r.observeControl()
		if err != nil {
			return err
		}
		relay.add(x, atRelay)
		leader.add(x, atLeader)
		after, err := ownCPU()
		if err != nil {
			return err
		}
		host = append(host, Point{x, (after - own) / r.plan.Window.Seconds()})
	}
	r.add(SlopeRelayCPU, "subscribers", "CPU s/s", relay.cpu)
	r.add(SlopeRelayBytes, "subscribers", "B/s", relay.bytes)
	r.add(SlopeRelayMessages, "subscribers", "messages/s", relay.messages)
	r.add(SlopeRelayMemory, "subscribers", "B", relay.memory)
	r.add(SlopeLeaderCPU, "subscribers", "CPU s/s", leader.cpu)
	r.add(SlopeLeaderBytes, "subscribers", "B/s", leader.bytes)
	r.add(SlopeSubscriptionCPU, "subscribers", "CPU s/s", host)
	if err := r.measureNotes(len(swarm.members)); err != nil {
		return err
	}
	return r.measureSoftState(swarm)
}

// observeControl measures relay and leader over the same window.
func (r *run) observeControl() (relay, leader rates, err error) {
	done := make(chan error, 1)
	go func() {
		var err error
		leader, err = observe(r.system.LeaderAdmin, r.plan.Window)
		done <- err
	}()
	relay, err = observe(r.system.RelayAdmin, r.plan.Window)
	if leaderErr := <-done; err == nil {
		err = leaderErr
	}
	return relay, leader, err
}

// measureNotes compares a window without and one with release notes.
func (r *run) measureNotes(subscribers int) error {
	quiet, err := observe(r.system.RelayAdmin, r.plan.Window)
	if err != nil {
		return err
	}
	failed := make(chan error, 1)
	go func() { failed <- r.applyNotes() }()
	busy, err := observe(r.system.RelayAdmin, r.plan.Window)
	if err != nil {
		return err
	}
	if err := <-failed; err != nil {
		return err
	}
	perSecond := float64(r.plan.Notes) / r.plan.Window.Seconds()
	x := perSecond * float64(subscribers)
	r.add(SlopeDeltaCPU, "deltas/s x subscribers", "CPU s/s", []Point{{0, quiet.cpu}, {x, busy.cpu}})
	r.add(SlopeDeltaBytes, "deltas/s x subscribers", "B/s", []Point{{0, quiet.bytes}, {x, busy.bytes}})
	return nil
}

// applyNotes changes one workspace by the planned number of notes, spread over
// most of the window.
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

func (r *run) getJSON(path string, out any) error {
	resp, err := http.Get("http://" + r.system.LeaderAdmin + path)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(out)
}

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

// measureSoftState sends announcements and observations through the relay.
func (r *run) measureSoftState(s *swarm) error {
	var announce, watch series
	for _, rate := range r.plan.EventRates {
		cost, err := r.underLoad(rate, func(i int) {
			s.members[i%len(s.members)].subscriber.Announce(announcement(i))
		})
		if err != nil {
			return err
		}
		announce.add(float64(rate), cost)
	}
	for _, rate := range r.plan.EventRates {
		cost, err := r.underLoad(rate, func(i int) {
			s.members[i%len(s.members)].subscriber.Observe(observation(i))
		})
		if err != nil {
			return err
		}
		watch.add(float64(rate), cost)
	}
	r.add(SlopeAnnounceCPU, "announcements/s", "CPU s/s", announce.cpu)
	r.add(SlopeAnnounceBytes, "announcements/s", "B/s", announce.bytes)
	r.add(SlopeObserveCPU, "observations/s", "CPU s/s", watch.cpu)
	r.add(SlopeObserveBytes, "observations/s", "B/s", watch.bytes)
	return nil
}

// spareEndpoints is the number of endpoints that are announced without being
// members of a group.
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

// underLoad measures the leader while send is called at a rate.
func (r *run) underLoad(rate int, send func(i int)) (rates, error) {
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		pace(rate, stop, send)
	}()
	cost, err := observe(r.system.LeaderAdmin, r.plan.Window)
	close(stop)
	<-done
	return cost, err
}

// paceInterval is the time between two batches of events.
const paceInterval = 10 * time.Millisecond

// pace calls do at a rate per second until stop is closed.
func pace(rate int, stop <-chan struct{}, do func(i int)) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	begin := time.Now()
	sent := 0
	for {
		select {
		case <-stop:
			return
		case now := <-ticker.C:
			for due := int(now.Sub(begin).Seconds() * float64(rate)); sent < due; sent++ {
				do(sent)
			}
		}
	}
}
