// Package crossing decides which fraction of a host's reads of a service leaves the host's failure
// domain. Traffic between failure domains is slower and costs money, but a domain's own replicas may
// be too few. Each host decides alone, from what it observes by using the endpoints. The package
// performs no I/O and reads no clock; Step is called at regular intervals.
package crossing

import (
	"hash/fnv"
	"slices"
	"time"
)

// Interval is the time between two calls of Step for which the steps below are chosen.
const Interval = 250 * time.Millisecond

const (
	// enter is the least pressure at which the fraction rises: the mean time ahead of a read is a
	// quarter of the slack of its target. Queueing times vary about as much as their mean, so that one
	// read in fifty is late.
	enter = 0.25
	// lateLevel is the pressure above which the delay of crossing does not count: one read in seven
	// that stays is late, and each read that leaves shortens the queue for all others.
	lateLevel = 0.5
	// release is the part of the pressure at which the fraction rises below which it falls.
	release = 0.5
	// loaded is the pressure at which a replica has no room for reads of other domains. It is half of
	// enter, so that a domain which takes reads from others never sends any because of them.
	loaded = enter / 2
	// riseStep is the greatest rise of the fraction in a step: a domain that is short by a half has
	// moved a third of its reads after 8 s. Answers of a loaded replica are late by its queue; with 0.05
	// the fraction swings between 0.2 and 0.7 where a third is needed.
	riseStep = 0.01
	// proportional is the part of the reads that leaves in addition at twice the pressure at which the
	// fraction rises, or stays at none. It reacts before the fraction does and damps its swings.
	proportional = 0.2
	// fallStep is the greatest fall in a step without pressure.
	fallStep = 0.01
	// backOff is the factor in a step in which the other domains are loaded twice as much as they may
	// be, or unknown: halved within 1 s. Below that it is nearer to 1, since a mean latency varies.
	backOff = 0.8
	// probeShare is the fraction of reads that ask whether unknown replicas have room, only while the
	// domain is short and nothing with room is known.
	probeShare = 0.05
	// maxAge is the age of the last answer above which the room of an endpoint is unknown.
	maxAge = 3 * time.Second
	// weightGain is the weight of the current room in the spread over the endpoints.
	weightGain = 0.3
	// least is the fraction below which nothing crosses.
	least = 0.005
	// most is the greatest fraction of a domain with a replica: the rest tells how that is.
	most = 0.9
)

// Endpoint is what a host knows about an endpoint of a service that may get reads.
type Endpoint struct {
	ID string
	// Local: the endpoint is in the failure domain of the host.
	Local bool
	// Primary: the endpoint is kept for the statements that only it can run.
	Primary bool
	// Wait is the time that a read would wait in the host's own queue for the endpoint.
	Wait time.Duration
	// Latency is the recent mean time from sending a statement to its answer, Floor the one without
	// a queue at the endpoint. Zero: unknown.
	Latency, Floor time.Duration
	// RoundTrip is the least time in which the endpoint has answered anything; zero: unknown.
	RoundTrip time.Duration
	// Age is the time since the last answer.
	Age time.Duration
	// Free is the number of statements that the host may send in addition to those in progress.
	Free int
}

// Input is the state of a service as the host sees it.
type Input struct {
	// Target is the latency that callers expect; at zero or below nothing crosses that need not.
	Target time.Duration
	// Timeout is when callers give up.
	Timeout time.Duration
	// Price is what the bytes of a read that crosses cost, as the wait of a caller that is worth as
	// much.
	Price time.Duration
	// Reads is the number of reads a second of the host.
	Reads     float64
	Endpoints []Endpoint
}

// Cause is why reads leave the failure domain.
type Cause string

// Causes of a Plan.
const (
	// CauseNone: no read leaves.
	CauseNone Cause = "none"
	// CauseShort: the replicas of the domain do not meet the target.
	CauseShort Cause = "short"
	// CauseNoReplica: the domain has no replica of the service.
	CauseNoReplica Cause = "no_replica"
	// CauseProbe: the domain is short, and it is unknown whether others have room.
	CauseProbe Cause = "probe"
)

// Plan says how the reads until the next step are divided.
type Plan struct {
	// Fraction of the reads leaves the failure domain, from 0 to 1.
	Fraction float64
	Cause    Cause
	// Weights divides what leaves over the endpoints by ID; the sum is 1. If it is empty, nothing is
	// known about them.
	Weights map[string]float64
	// Pressure is the time ahead of a read that stays, as a part of the slack of its target.
	Pressure float64
	// Level is the pressure at which leaving costs as much as staying.
	Level float64
	// Stay and Cross are the expected times of a read that stays and of one that leaves; zero if
	// unknown.
	Stay, Cross time.Duration
	// Room is the number of statements that the other domains can take from the host.
	Room float64
}

// Decider holds the decision of one host about one service. It is not safe for concurrent use.
type Decider struct {
	fraction float64
	// absent: the domain had no replica in the last step. away is the fraction then; fraction is kept
	// for its return, so that a replica lost for an instant has no lasting effect.
	absent  bool
	away    float64
	weights map[string]float64
	gain    float64
}

// NewDecider returns a Decider. The speed of its rise depends on the names of the host and the
// service, from 0.75 to 1.25 times riseStep, so that hosts do not move in step.
func NewDecider(host, service string) *Decider {
	h := fnv.New64a()
	for _, name := range []string{host, "\x00", service} {
		_, _ = h.Write([]byte(name)) // never fails
	}
	return &Decider{gain: 0.75 + 0.5*float64(h.Sum64()%1024)/1024}
}

// Step updates the fraction from the state of the service.
func (d *Decider) Step(in Input) Plan {
	in.Endpoints = in.floors()
	stay, ok := staying(in)
	out := leaving(in)
	if !ok {
		return d.withoutReplica(in, out)
	}
	d.absent = false
	pressure, level := stay.pressure(in.Target), in.level(stay, out)
	switch {
	case in.Target <= 0:
		d.fraction = 0
	case out.idle == 0: // no room, or none known
		d.fraction *= 1 - (1-backOff)*out.excess
	case out.room == 0: // answers would come too late
		d.fraction -= fallStep
	case pressure > level:
		d.fraction += d.rise(in, out, (pressure-level)/level)
	case pressure < release*level:
		d.fraction -= fallStep * (1 - pressure/(release*level))
	}
	d.fraction = bound(min(d.fraction, most))
	d.spread(out.rooms, out.unknown)
	now := d.damped(pressure, level, out)
	plan := Plan{
		Fraction: now, Cause: CauseNone, Weights: d.weights,
		Pressure: pressure, Level: level, Stay: stay.time(), Cross: out.time, Room: out.room,
	}
	if now > 0 {
		plan.Cause = CauseShort
	}
	if in.Target > 0 && pressure > level && out.room == 0 && len(out.unknown) > 0 && d.fraction < probeShare {
		plan.Fraction, plan.Cause, plan.Weights = probeShare, CauseProbe, equal(out.unknown)
	}
	return plan
}

// damped returns the fraction with what the present pressure adds or takes, if any leaves. It adds
// nothing while the other domains have no room.
func (d *Decider) damped(pressure, level float64, out outside) float64 {
	change := proportional * min(1, (pressure-level)/level)
	if d.fraction == 0 || out.room == 0 && change > 0 {
		return d.fraction
	}
	return min(most, max(0, d.fraction+change))
}

// rise returns the step upwards, bounded by the room that the host sees at the endpoints.
func (d *Decider) rise(in Input, out outside, strength float64) float64 {
	step := riseStep * d.gain * min(1, strength)
	if perRead := in.Reads * out.time.Seconds(); perRead > 0 {
		step = min(step, out.room/perRead)
	}
	return step
}

// withoutReplica decides for a domain without a replica: all reads leave for the nearest ones, as
// long as these have room or the domain does not have the primary either. If all are loaded, as many
// leave as there are replicas among the endpoints.
func (d *Decider) withoutReplica(in Input, out outside) Plan {
	if !d.absent {
		d.absent, d.away = true, 1
	}
	primary, hasPrimary := localPrimary(in)
	switch even := float64(len(out.rooms)) / float64(len(out.rooms)+1); {
	case !hasPrimary:
		d.away = 1
	case out.full && primary.pressure(in.Target) < loaded:
		d.away *= backOff
	case out.full:
		d.away = max(min(d.away, even), d.away*backOff)
	default:
		d.away += riseStep * d.gain
	}
	d.away = bound(d.away)
	d.spread(nearest(in, out.rooms), nil)
	plan := Plan{Fraction: d.away, Cause: CauseNoReplica, Weights: d.weights, Cross: out.time, Room: out.room}
	if hasPrimary {
		plan.Pressure, plan.Stay = primary.pressure(in.Target), primary.time()
	}
	return plan
}

// bound returns the fraction between 0 and 1, and 0 for one below least.
func bound(fraction float64) float64 {
	if fraction < least {
		return 0
	}
	return min(fraction, 1)
}

// spread moves the weights towards the room of the endpoints. Without room they stay, less the
// endpoints that are gone. Unknown ones get probeShare of what leaves for known ones.
func (d *Decider) spread(rooms map[string]float64, unknown []string) {
	total := 0.0
	for _, room := range rooms {
		total += room
	}
	next := make(map[string]float64, len(rooms))
	sum := 0.0
	for id, room := range rooms {
		part := d.weights[id]
		if total > 0 {
			now := room / total
			if slices.Contains(unknown, id) {
				now = probeShare
			}
			if len(d.weights) == 0 {
				part = now
			}
			part += weightGain * (now - part)
		}
		next[id] = part
		sum += part
	}
	for id := range next {
		if sum == 0 {
			delete(next, id)
			continue
		}
		next[id] /= sum
	}
	d.weights = next
}

// equal returns equal weights of endpoints.
func equal(ids []string) map[string]float64 {
	weights := make(map[string]float64, len(ids))
	for _, id := range ids {
		weights[id] = 1 / float64(len(ids))
	}
	return weights
}
