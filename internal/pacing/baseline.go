package pacing

import "time"

const (
	// batch is the number of statements whose mean is compared with the usual time:
	// with times that vary by 70% the mean varies by 18%.
	batchSize = 16
	// rise is how far the usual time follows a slower batch. It is small, so that a
	// queue at an endpoint does not become usual while it lasts.
	riseGain = 0.05
	// fall is how far it follows a faster one.
	fallGain = 0.5
)

// Baseline keeps the usual times of statements by kind. It is not safe for
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

// NewBaseline returns a Baseline without any kind.
func NewBaseline() *Baseline { return &Baseline{kinds: make(map[string]*kindBaseline)} }

// Excess notes the time of a statement of a kind and returns by how much it is
// above the usual. It may be negative, and is zero while the usual time is not
// known.
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
