package quota

import "time"

// ReportUsage sets how many units of a key the host has in use, and its total demand
// for units. It replaces Take and Release for callers that count their units
// themselves. Units in use beyond the demand, such as idle connections, count against
// the limit until they are released.
func (h *Holder) ReportUsage(now time.Time, key string, inUse, demand float64) {
	k := h.key(now, key)
	k.isUnitLimit, k.callerCounts = true, true
	k.inUse, k.unitDemand = inUse, demand
	if !k.valid(now) || demand > k.bucket.share.Burst {
		k.needsMore = true
	}
	if demand > 0 {
		k.lastUse = now
	}
}

// Rate returns the rate of the holder's share of a key, in tokens per second.
func (h *Holder) Rate(now time.Time, key string) float64 {
	k := h.keys[key]
	if k == nil || !k.valid(now) {
		return 0
	}
	return k.bucket.share.Rate
}
