package pacing

import "time"

const (
	// batchSize is the number of statements whose mean latency is compared with the
	// baseline. If the latency of single statements varies by 70%, the mean varies by
	// 18%.
	batchSize = 16
	// riseGain is the gain of the moving average for a slower batch. It is small, so
	// that a lasting queue at the endpoint does not become part of the baseline.
	riseGain = 0.05
	// fallGain is the gain for a faster batch.
	fallGain = 0.5
)

// Baseline tracks the normal latency of statements by kind. It is not safe for
// concurrent use.
type Baseline struct {
	kinds map[string]*kindBaseline
}

type kindBaseline struct {
	known    bool
	duration time.Duration
	sum      time.Duration
	count    int
}

// NewBaseline returns an empty Baseline.
func NewBaseline() *Baseline { return &Baseline{kinds: make(map[string]*kindBaseline)} }

// Excess records the latency of a statement and returns by how much it is above the
// baseline of its kind. The result may be negative, and is zero until the first
// batch of the kind is complete.
func (u *Baseline) Excess(kind string, took time.Duration) time.Duration {
	k := u.kinds[kind]
	if k == nil {
		k = &kindBaseline{}
		u.kinds[kind] = k
	}
	excess := time.Duration(0)
	if k.known {
		excess = took - k.duration
	}
	k.update(took)
	return excess
}

func (k *kindBaseline) update(took time.Duration) {
	k.sum += took
	k.count++
	if k.count < batchSize {
		return
	}
	mean := k.sum / batchSize
	k.sum, k.count = 0, 0
	if !k.known {
		k.known, k.duration = true, mean
		return
	}
	gain := riseGain
	if mean < k.duration {
		gain = fallGain
	}
	k.duration += time.Duration(gain * float64(mean-k.duration))
}
