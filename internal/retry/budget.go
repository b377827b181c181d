package retry

import "time"

// BudgetConfig holds the limits of the retry budget of one workspace or endpoint.
type BudgetConfig struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// MinRetriesPerSecond is the number of retries that are added per second regardless
	// of the load, so that a workspace with few requests can retry at all.
	MinRetriesPerSecond float64
	// Cap is the largest number of retries that a budget can hold.
	Cap float64
	// BucketTTL is how long the bucket of an unused name is kept.
	BucketTTL time.Duration
}

// DefaultBudgetConfig limits retries to a tenth of the load, plus MinRetriesPerSecond.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, MinRetriesPerSecond: 0.2, Cap: 10, BucketTTL: 5 * time.Minute}
}

// bucket is the token bucket of one name. A token allows one retry.
type bucket struct {
	tokens  float64
	updated time.Time
}

// Budget limits retries by name with token buckets. It is not safe for concurrent use.
type Budget struct {
	cfg       BudgetConfig
	buckets   map[string]*bucket
	lastSweep time.Time
}

// NewBudget returns a Budget in which each new name starts with one token.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, buckets: make(map[string]*bucket)}
}

// Deposit adds Ratio tokens for the first attempt of a request.
func (b *Budget) Deposit(now time.Time, name string) {
	k := b.bucket(now, name)
	k.tokens = min(k.tokens+b.cfg.Ratio, b.cfg.Cap)
}

// HasToken reports whether the name has a token for a retry.
func (b *Budget) HasToken(now time.Time, name string) bool {
	return b.bucket(now, name).tokens >= 1
}

// Withdraw takes one token. HasToken must have reported it.
func (b *Budget) Withdraw(now time.Time, name string) {
	b.bucket(now, name).tokens--
}

// bucket returns the bucket of a name, refilled up to now.
func (b *Budget) bucket(now time.Time, name string) *bucket {
	b.sweep(now)
	k := b.buckets[name]
	if k == nil {
		k = &bucket{tokens: 1, updated: now}
		b.buckets[name] = k
	}
	if now.After(k.updated) {
		k.tokens = min(k.tokens+b.cfg.MinRetriesPerSecond*now.Sub(k.updated).Seconds(), b.cfg.Cap)
		k.updated = now
	}
	return k
}

// sweep removes the buckets of names that were not used for BucketTTL. It runs at most
// once per BucketTTL.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.lastSweep) < b.cfg.BucketTTL {
		return
	}
	b.lastSweep = now
	for name, k := range b.buckets {
		if now.Sub(k.updated) >= b.cfg.BucketTTL {
			delete(b.buckets, name)
		}
	}
}

// Budgets combines the budgets of workspaces and endpoints: a retry needs a token of
// each. It is not safe for concurrent use.
type Budgets struct {
	workspaces *Budget
	endpoints  *Budget
}

// NewBudgets returns budgets with the same limits for workspaces and endpoints.
func NewBudgets(cfg BudgetConfig) *Budgets {
	return &Budgets{workspaces: NewBudget(cfg), endpoints: NewBudget(cfg)}
}

// RecordFirstAttempt credits both budgets for the first attempt of a request.
func (b *Budgets) RecordFirstAttempt(now time.Time, workspace, endpoint string) {
	b.workspaces.Deposit(now, workspace)
	b.endpoints.Deposit(now, endpoint)
}

// Allow takes a token of both budgets for the retry of a request that failed on the
// endpoint. It takes none and returns false when either has no token.
func (b *Budgets) Allow(now time.Time, workspace, endpoint string) bool {
	if !b.workspaces.HasToken(now, workspace) || !b.endpoints.HasToken(now, endpoint) {
		return false
	}
	b.workspaces.Withdraw(now, workspace)
	b.endpoints.Withdraw(now, endpoint)
	return true
}
