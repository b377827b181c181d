package core

import "time"

// spent tells where a statement has spent its time, and where it was sent.
type spent struct {
	rate, slot, connection, endpoint time.Duration
	// attempts counts the statements that were sent, at is the endpoint of the last.
	attempts int
	at       string
}

// fields are the pairs of a log line, without what is nothing.
func (s spent) fields() []any {
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
	if s.attempts > 0 {
		all = append(all, "endpoint", s.at, "attempts", s.attempts)
	}
	return all
}
