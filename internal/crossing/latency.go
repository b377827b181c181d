package crossing

import "time"

const (
	// firstSamples is the number of statements whose plain mean is the first value of the floor.
	firstSamples = 16
	// meanGain is the weight of one statement in the moving mean of the latency. If the latency of
	// statements varies by 70%, the mean varies by 16%.
	meanGain = 0.1
	// meanTime is the time in which the mean follows statements that are rare, at most by half with
	// each: a mean of seconds ago would keep a host from a replica that has room again.
	meanTime    = 2 * time.Second
	maxMeanGain = 0.5
	// floorRise is the weight by which the floor follows a higher mean. With ten statements a second
	// it takes 100 s: a queue that lasts must not become the usual latency.
	floorRise = 0.001
	// floorFall is the weight by which the floor follows a lower mean. It is small, so that the floor
	// is not the lowest of all means.
	floorFall = 0.01
)

// Latency tracks the latency of statements at one endpoint as a host sees it, the round trip
// included. The zero value knows none. It is not safe for concurrent use.
type Latency struct {
	mean, floor time.Duration
	at          time.Time
	count       int
}

// Observe records a statement that was answered at a time.
func (l *Latency) Observe(now time.Time, took time.Duration) {
	took = max(took, time.Microsecond)
	l.count++
	if l.count <= firstSamples {
		l.mean += (took - l.mean) / time.Duration(l.count)
		l.floor, l.at = l.mean, now
		return
	}
	weight := max(meanGain, min(maxMeanGain, float64(now.Sub(l.at))/float64(meanTime)))
	l.mean += time.Duration(weight * float64(took-l.mean))
	gain := floorRise
	if l.mean < l.floor {
		gain = floorFall
	}
	l.floor += time.Duration(gain * float64(l.mean-l.floor))
	l.at = now
}

// Into sets the latency fields of an endpoint as of a time.
func (l *Latency) Into(e *Endpoint, now time.Time) {
	e.Latency, e.Floor, e.Age = l.mean, l.floor, max(0, now.Sub(l.at))
}
