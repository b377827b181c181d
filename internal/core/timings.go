package core

import "time"

// timings records how long a statement waited for a rate token, a slot and a connection,
// how long endpoints took, and where it was sent.
type timings struct {
	rate, slot, connection, endpoint time.Duration
	// attempts counts the times a statement was sent; endpointID is the endpoint of the
	// last one.
	attempts   int
	endpointID string
	// host is the other host that ran the statement, if any.
	host string
}

// remote returns the timings for the host that forwarded the statement.
func (s timings) remote() RemoteTimings {
	return RemoteTimings{
		Rate: s.rate, Slot: s.slot, Connection: s.connection, Endpoint: s.endpoint,
		Attempts: s.attempts, EndpointID: s.endpointID,
	}
}

// add adds the timings of a statement that another host ran.
func (s *timings) add(host string, r RemoteTimings) {
	s.rate += r.Rate
	s.slot += r.Slot
	s.connection += r.Connection
	s.endpoint += r.Endpoint
	s.attempts += r.Attempts
	s.endpointID, s.host = r.EndpointID, host
}

// logFields returns the key-value pairs for a log line, without durations below 1 ms.
func (s timings) logFields() []any {
	var all []any
	add := func(key string, d time.Duration) {
		if ms := d.Milliseconds(); ms > 0 {
			all = append(all, key, ms)
		}
	}
	add("rate_ms", s.rate)
	add("slot_ms", s.slot)
	add("connection_ms", s.connection)
	add("endpoint_ms", s.endpoint)
	if s.host != "" {
		all = append(all, "by", s.host)
	}
	if s.attempts > 0 {
		all = append(all, "endpoint", s.endpointID, "attempts", s.attempts)
	}
	return all
}
