package crossing

import (
	"slices"
	"time"
)

// expectedTargetDivisor is the divisor of the target that gives the time which a read is expected to
// take at an endpoint, before its usual latency is known. It is the one of pacing.
const expectedTargetDivisor = 4

// known reports whether an answer of the endpoint is recent enough to tell its room.
func (e Endpoint) known() bool { return e.Latency > 0 && e.Age <= maxAge }

// time returns the expected time of a read at the endpoint.
func (e Endpoint) time() time.Duration { return e.Wait + e.Latency }

// queue returns the time that a read waits at the host and at the endpoint.
func (e Endpoint) queue() time.Duration { return e.Wait + max(0, e.Latency-e.Floor) }

// slack returns what the target leaves beyond the latency without a queue. It counts as a quarter of
// the target at least: if the endpoint without a queue takes nearly all of the target, small queues
// are not the cause of late reads.
func (e Endpoint) slack(target time.Duration) time.Duration { return max(target-e.Floor, target/4) }

// pressure returns the time ahead of a read at the endpoint, in the queues of the host and of the
// endpoint, as a part of the slack.
func (e Endpoint) pressure(target time.Duration) float64 {
	slack := e.slack(target)
	if slack <= 0 {
		return 0
	}
	return float64(e.queue()) / float64(slack)
}

// timeout returns when callers give up, the target if that is not set.
func (in Input) timeout() time.Duration { return max(in.Timeout, in.Target) }

// slack returns the slack that a read has beside an endpoint of the service: that of the endpoint with
// the least latency. It measures the load of an endpoint without the round trip of this host.
func (in Input) slack() float64 {
	var near Endpoint
	for _, e := range in.Endpoints {
		if e.Floor > 0 && (near.Floor == 0 || e.Floor < near.Floor) {
			near = e
		}
	}
	return max(float64(near.slack(in.Target)), 1)
}

// level returns the pressure at which leaving costs as much as staying. The additional time of a read
// that leaves counts up to lateLevel, the price of its bytes without a bound.
func (in Input) level(stay Endpoint, out outside) float64 {
	slack := float64(stay.slack(in.Target))
	if slack <= 0 {
		return enter
	}
	delay := float64(max(0, out.time-stay.Floor)) / slack
	return max(enter, min(lateLevel, delay), float64(in.Price)/slack)
}

// floorSpread is how much greater the latency without a queue of one replica may be than that of
// another, in addition to the round trip. A greater one is taken for a queue. Replicas differ, and
// a floor learned from 16 statements is too low or too high by a quarter.
const floorSpread = 2

// floors returns the endpoints with floors bounded by that of the fastest replica and by a quarter of the
// target, both with the round trip to another domain. A host that begins to use a replica while it
// is loaded sees no latency without a queue there.
func (in Input) floors() []Endpoint {
	all := slices.Clone(in.Endpoints)
	if in.Target <= 0 {
		return all
	}
	bound := in.Target / expectedTargetDivisor
	for _, e := range all {
		if e.Floor > 0 {
			bound = min(bound, time.Duration(floorSpread*float64(e.Floor)))
		}
	}
	for i, e := range all {
		switch {
		case e.Local:
			all[i].Floor = min(e.Floor, bound)
		case e.RoundTrip > 0:
			all[i].Floor = min(e.Floor, bound+e.RoundTrip)
		}
	}
	return all
}

// staying returns the replica of the host's domain with the least expected time.
func staying(in Input) (Endpoint, bool) {
	var best Endpoint
	found := false
	for _, e := range in.Endpoints {
		if e.Local && !e.known() {
			e.Latency = e.Floor // what is left of its queue is the host's own
		}
		if e.Local && !e.Primary && (!found || e.time() < best.time()) {
			best, found = e, true
		}
	}
	return best, found
}

// localPrimary returns the primary if it is in the host's domain.
func localPrimary(in Input) (Endpoint, bool) {
	for _, e := range in.Endpoints {
		if e.Local && e.Primary {
			return e, true
		}
	}
	return Endpoint{}, false
}

// outside is what the replicas of other domains can take.
type outside struct {
	// rooms holds the room of each replica, in statements; room is their sum.
	rooms map[string]float64
	room  float64
	// time is the mean expected time of a read that leaves, weighted by room.
	time time.Duration
	// idle is the number of replicas that are known to be not loaded, whether or not they answer in time.
	idle int
	// excess is by how much the least loaded of the known replicas exceeds loaded, from 0 to 1; 1 if
	// none is known.
	excess float64
	// full: the state of some replicas is known, and these are loaded.
	full bool
	// unknown lists the replicas that nothing recent is known about and that may be worth a probe.
	unknown []string
}

// leaving returns what the replicas of other domains can take. One whose answer would come after
// the caller has given up has no room.
func leaving(in Input) outside {
	out := outside{rooms: map[string]float64{}, excess: 1}
	known, slack := 0, in.slack()
	weighted := 0.0
	for _, e := range in.Endpoints {
		if e.Local || e.Primary {
			continue
		}
		out.rooms[e.ID] = 0
		if !e.known() {
			if e.Floor < in.timeout() {
				out.unknown = append(out.unknown, e.ID)
			}
			continue
		}
		known++
		p := float64(e.queue()) / slack
		if e.Free > 0 {
			out.excess = max(0, min(out.excess, (p-loaded)/loaded))
		}
		if p >= loaded || e.Free <= 0 {
			continue
		}
		out.idle++
		if e.time() >= in.timeout() {
			continue
		}
		room := float64(e.Free) * (1 - p/loaded)
		out.rooms[e.ID] = room
		out.room += room
		weighted += room * float64(e.time())
	}
	if out.room > 0 {
		out.time = time.Duration(weighted / out.room)
	}
	out.full = known > 0 && out.idle == 0
	return out
}

// nearest returns the room of the nearest replicas only, unless they have none. Replicas count as
// equally near if their latencies without a queue differ by less than a quarter.
func nearest(in Input, rooms map[string]float64) map[string]float64 {
	least := time.Duration(0)
	for _, e := range in.Endpoints {
		if !e.Local && !e.Primary && e.Floor > 0 && (least == 0 || e.Floor < least) {
			least = e.Floor
		}
	}
	near, total := make(map[string]float64, len(rooms)), 0.0
	for _, e := range in.Endpoints {
		room, remote := rooms[e.ID]
		if !remote {
			continue
		}
		near[e.ID] = 0
		if e.Floor <= least+least/4 {
			near[e.ID] = room
			total += room
		}
	}
	if total == 0 {
		return rooms
	}
	return near
}
