package pacing

import "time"

const (
	// batchSize is the number of statements whose mean latency is compared with the
	// baseline. If the latency of single statements varies by 70%, the mean varies by
	// 18%.
	batchSize = 16
	// riseGain is the weight in the moving average of a batch slower than the baseline.
	// It is small, so that a lasting queue at the endpoint raises the baseline slowly.
	riseGain = 0.05
	// fallGain is the weight of a batch faster than the baseline.
	fallGain = 0.5
)

// Baseline tracks the normal latency of statements by kind. It is not safe for
// concurrent use.
type Baseline struct {
	kinds map[string]*kindBaseline
}

// kindBaseline is the baseline of one kind, and the sum of the current batch.
type kindBaseline struct {
	initialized bool
	latency     time.Duration
	sum         time.Duration
	count       int
}

// NewBaseline returns an empty Baseline.
func NewBaseline() *Baseline { return &Baseline{kinds: make(map[string]*kindBaseline)} }

// Excess records the latency of a statement and returns by how much it is above the
// baseline of its kind. The result may be negative. Until the first batch of the kind is
// complete, it is what exceeds the expected latency, if any.
func (b *Baseline) Excess(kind string, latency, expected time.Duration) time.Duration {
	k := b.kinds[kind]
	if k == nil {
		k = &kindBaseline{}
		b.kinds[kind] = k
	}
	excess := max(0, latency-expected)
	if k.initialized {
		excess = latency - k.latency
	}
	k.update(latency)
	return excess
}

func (k *kindBaseline) update(latency time.Duration) {
	k.sum += latency
	k.count++
	if k.count < batchSize {
		return
	}
	mean := k.sum / batchSize
	k.sum, k.count = 0, 0
	if !k.initialized {
		k.initialized, k.latency = true, mean
		return
	}
	gain := riseGain
	if mean < k.latency {
		gain = fallGain
	}
	k.latency += time.Duration(gain * float64(mean-k.latency))
}
