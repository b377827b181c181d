package pacing

import "time"

const (
	// batch is the number of statements whose mean is compared with the usual time:
	// with times that vary by 70% the mean varies by 18%.
	batch = 16
	// rise is how far the usual time follows a slower batch. It is small, so that a
	// queue at an endpoint does not become usual while it lasts.
	rise = 0.05
	// fall is how far it follows a faster one.
	fall = 0.5
)

// Baseline keeps the usual times of statements by kind. It is not safe for
// concurrent use.
type Baseline struct {
	kinds map[string]*usual
}

type usual struct {
	known bool
	time  time.Duration
	sum   time.Duration
	count int
}

// NewBaseline returns a Baseline without any kind.
func NewBaseline() *Baseline { return &Baseline{kinds: make(map[string]*usual)} }

// Excess notes the time of a statement of a kind and returns by how much it is
// above the usual. It may be negative, and is zero while the usual time is not
// known.
func (u *Baseline) Excess(kind string, took time.Duration) time.Duration {
	k := u.kinds[kind]
	if k == nil {
		k = &usual{}
		u.kinds[kind] = k
	}
	excess := time.Duration(0)
	if k.known {
		excess = took - k.time
	}
	k.add(took)
	return excess
}

func (k *usual) add(took time.Duration) {
	k.sum += took
	k.count++
	if k.count < batch {
		return
	}
	mean := k.sum / batch
	k.sum, k.count = 0, 0
	if !k.known {
		k.known, k.time = true, mean
		return
	}
	gain := rise
	if mean < k.time {
		gain = fall
	}
	k.time += time.Duration(gain * float64(mean-k.time))
}
