package quota

import "time"

// ReportUsage sets how many units of a key the host has in use and how many it
// wants. It serves callers that count their units themselves, in place of Take
// and Put. Units that are in use but not wanted, such as idle connections, count
// against the limit until they are given up.
func (h *Holder) ReportUsage(now time.Time, key string, inUse, wanted float64) {
	k := h.key(now, key)
	k.units, k.counted = true, true
	k.inUse, k.wanted = inUse, wanted
	if !k.valid(now) || wanted > k.bucket.share.Burst {
		k.short = true
	}
	if wanted > 0 {
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
