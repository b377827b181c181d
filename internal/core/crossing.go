package core

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/galenabridge/galenabridge/internal/agreed"
	"github.com/galenabridge/galenabridge/internal/clock"
	"github.com/galenabridge/galenabridge/internal/crossing"
	"github.com/galenabridge/galenabridge/internal/note"
	"github.com/galenabridge/galenabridge/internal/view"
)

// Causes for which a statement leaves the failure domain, in addition to those of package crossing.
const (
	// causePrimary: the statement must run on the primary, which is in another domain.
	causePrimary crossing.Cause = "primary"
	// causeUnhealthy: no endpoint of the domain that could run the read is healthy and fresh enough.
	causeUnhealthy crossing.Cause = "unhealthy"
)

const (
	// crossingLogStep is the change of the fraction that is logged.
	crossingLogStep = 0.1
	// crossingLogSpacing is the least time between two lines about a service.
	crossingLogSpacing = 10 * time.Second
	// readBytesGain is the weight of a read in the mean of the bytes of reads.
	readBytesGain = 0.05
	// targetRelease is the part of the way by which a target follows a greater one in a step: 10 s.
	targetRelease = 1.0 / 40
)

// crossings holds the decisions of this host about the reads that leave its failure domain. It has an
// entry for each service that it reads with members in more than one failure domain. It is safe for
// concurrent use.
type crossings struct {
	mu       sync.Mutex
	services map[string]*serviceCrossing
}

// serviceCrossing is the decision about one service, and what was seen since the last step.
type serviceCrossing struct {
	decider *crossing.Decider
	plan    crossing.Plan
	// target and timeout are those of the strictest route that reads the service.
	target, timeout time.Duration
	reads           int
	// strictest is the target of the strictest read since the last step; zero: no read.
	strictest time.Duration
	bytes     float64
	steppedAt time.Time
	// logged is the plan of the last log line, at loggedAt.
	logged   crossing.Plan
	loggedAt time.Time
}

func newCrossings() *crossings { return &crossings{services: make(map[string]*serviceCrossing)} }

// read counts a read of a service and returns the current plan.
func (c *crossings) read(host string, n need) crossing.Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[n.service]
	if s == nil {
		s = &serviceCrossing{decider: crossing.NewDecider(host, n.service), plan: crossing.Plan{Cause: crossing.CauseNone}}
		c.services[n.service] = s
	}
	s.reads++
	if s.strictest == 0 || n.target < s.strictest {
		s.strictest = n.target
	}
	if s.target == 0 || n.target <= s.target {
		s.target, s.timeout = n.target, n.timeout
	}
	return s.plan
}

// observeBytes records the bytes of a read and its answer.
func (c *crossings) observeBytes(service string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.services[service]; s != nil {
		s.bytes += readBytesGain * (float64(bytes) - s.bytes)
	}
}

// input returns the state of the service without its endpoints, and begins a new step.
func (s *serviceCrossing) input(now time.Time, msPerKB float64) crossing.Input {
	if s.strictest > s.target {
		s.target += time.Duration(targetRelease * float64(s.strictest-s.target))
	}
	in := crossing.Input{
		Target: s.target, Timeout: s.timeout,
		Price: time.Duration(msPerKB * s.bytes / 1000 * float64(time.Millisecond)),
	}
	if elapsed := now.Sub(s.steppedAt).Seconds(); elapsed > 0 && !s.steppedAt.IsZero() {
		in.Reads = float64(s.reads) / elapsed
	}
	s.reads, s.strictest, s.steppedAt = 0, 0, now
	return in
}

// stepCrossings updates the decisions about all services. Services without members in several failure
// domains are forgotten.
func (s *Server) stepCrossings(now time.Time) {
	v := s.opts.View.Current()
	if v.State == nil {
		return
	}
	s.crossings.mu.Lock()
	defer s.crossings.mu.Unlock()
	for service, sc := range s.crossings.services {
		g, ok := v.State.Groups[service]
		if !ok || !s.decidesCrossing(v, g) {
			delete(s.crossings.services, service)
			s.metrics.crossingFraction.DeleteLabelValues(service)
			continue
		}
		in := sc.input(now, *s.opts.CrossingMSPerKB)
		for _, id := range g.Members {
			if e, ok := s.usable(v, id); ok {
				if state, healthy := s.crossingEndpoint(now, e, g); healthy {
					in.Endpoints = append(in.Endpoints, state)
				}
			}
		}
		sc.plan = sc.decider.Step(in)
		s.metrics.crossingFraction.WithLabelValues(service).Set(sc.plan.Fraction)
		s.logCrossing(now, service, sc, in)
	}
}

// crossingEndpoint returns what the host knows about an endpoint, and false if reads should avoid it.
func (s *Server) crossingEndpoint(now time.Time, e *endpoint, g agreed.Group) (crossing.Endpoint, bool) {
	slots := s.slots(e.record.Service, e.record.ID)
	waiting := s.gate.Waiting(e.record.ID)
	state := crossing.Endpoint{
		ID: e.record.ID, Local: e.record.Domain == s.opts.Domain,
		Primary: g.Phase == agreed.PhaseActive && g.Primary == e.record.ID,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency.Into(&state, now)
	state.RoundTrip = e.roundTrip
	state.Free = max(0, slots-e.inflight-waiting)
	state.Wait = time.Duration(waiting) * state.Latency / time.Duration(max(slots, 1))
	return state, !e.suspected
}

// logCrossing logs a noticeable change of the amount with its inputs.
func (s *Server) logCrossing(now time.Time, service string, sc *serviceCrossing, in crossing.Input) {
	p := sc.plan
	from := sc.logged.Fraction
	noticeable := math.Abs(p.Fraction-from) >= crossingLogStep || (p.Fraction == 0) != (from == 0)
	if !noticeable || !sc.loggedAt.IsZero() && now.Sub(sc.loggedAt) < crossingLogSpacing {
		return
	}
	sc.logged, sc.loggedAt = p, now
	s.opts.Log.Info("crossing_changed", "service", service, "cause", string(p.Cause),
		"fraction", round3(p.Fraction), "former_fraction", round3(from), "pressure", round3(p.Pressure), "level", round3(p.Level),
		"stay_ms", p.Stay.Milliseconds(), "cross_ms", p.Cross.Milliseconds(), "price_ms", in.Price.Milliseconds(),
		"target_ms", in.Target.Milliseconds(), "reads_per_s", round3(in.Reads), "room", round3(p.Room), "endpoints", len(in.Endpoints))
}

// round3 rounds to three decimals, for log lines.
func round3(x float64) float64 { return math.Round(x*1000) / 1000 }

// decidesCrossing reports whether package crossing decides which reads of a group leave the host's
// failure domain: an operator has stated what crossing costs, and the group spans several domains.
func (s *Server) decidesCrossing(v view.View, g agreed.Group) bool {
	return s.opts.CrossingMSPerKB != nil && s.spansDomains(v, g)
}

// spansDomains reports whether the members of a group lie in more than one failure domain.
func (s *Server) spansDomains(v view.View, g agreed.Group) bool {
	first, found := "", false
	for _, id := range g.Members {
		e, ok := v.State.Endpoints[id]
		if !ok {
			continue
		}
		if found && e.Domain != first {
			return true
		}
		first, found = e.Domain, true
	}
	return false
}

// candidate is an endpoint that may get a read, with its cost.
type candidate struct {
	choice
	cost  float64
	local bool
}

// cheapest returns the candidate with the lowest cost among those that are selected.
func cheapest(all []candidate, selected func(candidate) bool) (candidate, bool) {
	var best candidate
	found := false
	for _, c := range all {
		if selected(c) && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// chooseAcrossDomains chooses between the candidates of a service whose members lie in several failure
// domains: the plan decides whether the read leaves this host's domain, the costs decide within
// it. If there is no healthy endpoint on that side, the healthy one with the lowest cost is used.
func chooseAcrossDomains(all []candidate, plan crossing.Plan) (candidate, bool) {
	_, hasReplica := cheapest(all, func(c candidate) bool { return c.local && !c.primary })
	fraction, cause := plan.Fraction, plan.Cause
	if !hasReplica && cause != crossing.CauseNoReplica {
		fraction, cause = 1, crossing.CauseNoReplica
	}
	var best candidate
	var ok bool
	if rand.Float64() < fraction {
		best, ok = leavingCandidate(all, plan, cause)
	} else {
		best, ok = cheapest(all, func(c candidate) bool { return c.local })
	}
	if !ok || best.cost >= unhealthyCost {
		cause = causeUnhealthy
		if !hasReplica {
			cause = crossing.CauseNoReplica
		}
		best, ok = cheapest(all, func(candidate) bool { return true })
	}
	best.cause = cause
	if best.local {
		best.cause = crossing.CauseNone
	}
	return best, ok
}

// leavingCandidate returns the replica of another domain for a read that leaves. If replicas of the own
// domain are short, weights decide. A domain without a replica has a preferred one elsewhere, so
// that few connections are needed; there the costs decide among the replicas with a weight.
func leavingCandidate(all []candidate, plan crossing.Plan, cause crossing.Cause) (candidate, bool) {
	replica := func(c candidate) bool { return !c.local && !c.primary }
	if cause == crossing.CauseNoReplica {
		weighted := func(c candidate) bool {
			return replica(c) && (len(plan.Weights) == 0 || plan.Weights[c.endpoint.record.ID] > 0)
		}
		if best, ok := cheapest(all, weighted); ok {
			return best, true
		}
		return cheapest(all, replica)
	}
	u := rand.Float64()
	for _, c := range all {
		if replica(c) {
			if u -= plan.Weights[c.endpoint.record.ID]; u < 0 {
				return c, true
			}
		}
	}
	return candidate{}, false
}

// countCrossing counts a statement that was sent to an endpoint, and its bytes with those of the answer.
func (s *Server) countCrossing(co *checkout, c Command, a Answer) {
	if co.cause == "" {
		return
	}
	bytes := len(c.Name) + len(c.Text) + len(a.Signature)
	for _, row := range a.Rows {
		bytes += len(row)
	}
	service := co.endpoint.record.Service
	s.metrics.crossingStatements.WithLabelValues(service, string(co.cause)).Inc()
	s.metrics.crossingBytes.WithLabelValues(service, string(co.cause)).Add(float64(bytes))
	if c.Kind == Read || c.Kind == Execute {
		s.crossings.observeBytes(service, bytes)
	}
}

// observeReadLatency records the latency of a read at an endpoint.
func (e *endpoint) observeReadLatency(kind Kind, took time.Duration) {
	if kind != Read && kind != Execute {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.latency.Observe(clock.Now(), took)
}

// observeRoundTrip records the time of a dial, or of an exchange that takes no slot.
func (e *endpoint) observeRoundTrip(took time.Duration) {
	took = max(took, time.Microsecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.roundTrip == 0 || took < e.roundTrip {
		e.roundTrip = took
	}
}

// readTimes returns the target of a route, its timeout if it has none, and the timeout.
func readTimes(route note.Route) (target, timeout time.Duration) {
	return queueWait(route), time.Duration(route.Timeout) * time.Millisecond
}
