package retry

import "time"

// BudgetConfig bounds the retries of one workspace or endpoint.
type BudgetConfig struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Reserve is the number of retries per second that are granted whatever
	// the load, so that a workspace with few requests may retry at all.
	Reserve float64
	// Cap bounds the retries that can be saved up.
	Cap float64
	// IdleAfter is how long the budget of an unused name is kept.
	IdleAfter time.Duration
}

// DefaultBudgetConfig keeps retries at a tenth of the load.
func DefaultBudgetConfig() BudgetConfig {
	return BudgetConfig{Ratio: 0.1, Reserve: 0.2, Cap: 10, IdleAfter: 5 * time.Minute}
}

// bucket holds the retries that a name may still spend.
type bucket struct {
	tokens  float64
	updated time.Time
}

// Budget limits retries by name. It is not safe for concurrent use.
type Budget struct {
	cfg     BudgetConfig
	buckets map[string]*bucket
	swept   time.Time
}

// NewBudget returns a Budget in which each new name starts with one retry.
func NewBudget(cfg BudgetConfig) *Budget {
	return &Budget{cfg: cfg, buckets: make(map[string]*bucket)}
}

// Earn counts a first attempt of a request.
func (b *Budget) Earn(now time.Time, name string) {
	k := b.bucket(now, name)
	k.tokens = min(k.tokens+b.cfg.Ratio, b.cfg.Cap)
}

// HasToken reports whether the name may retry.
func (b *Budget) HasToken(now time.Time, name string) bool {
	return b.bucket(now, name).tokens >= 1
}

// Spend takes a retry that HasToken has allowed.
func (b *Budget) Spend(now time.Time, name string) {
	b.bucket(now, name).tokens--
}

func (b *Budget) bucket(now time.Time, name string) *bucket {
	b.sweep(now)
	k := b.buckets[name]
	if k == nil {
		k = &bucket{tokens: 1, updated: now}
		b.buckets[name] = k
	}
	if now.After(k.updated) {
		k.tokens = min(k.tokens+b.cfg.Reserve*now.Sub(k.updated).Seconds(), b.cfg.Cap)
		k.updated = now
	}
	return k
}

// sweep forgets the names that were not used for a while.
func (b *Budget) sweep(now time.Time) {
	if now.Sub(b.swept) < b.cfg.IdleAfter {
		return
	}
	b.swept = now
	for name, k := range b.buckets {
		if now.Sub(k.updated) >= b.cfg.IdleAfter {
			delete(b.buckets, name)
		}
	}
}

// Budgets joins the budgets of workspaces and endpoints: a retry needs both.
type Budgets struct {
	workspaces *Budget
	endpoints  *Budget
}

// NewBudgets returns budgets with the same bounds for both.
func NewBudgets(cfg BudgetConfig) *Budgets {
	return &Budgets{workspaces: NewBudget(cfg), endpoints: NewBudget(cfg)}
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budgets) RecordFirstAttempt(now time.Time, workspace, endpoint string) {
	b.workspaces.Earn(now, workspace)
	b.endpoints.Earn(now, endpoint)
}

// Allow takes a retry of a request that failed on the endpoint, or reports
// false when the workspace or the endpoint has none left.
func (b *Budgets) Allow(now time.Time, workspace, endpoint string) bool {
	if !b.workspaces.HasToken(now, workspace) || !b.endpoints.HasToken(now, endpoint) {
		return false
	}
	b.workspaces.Spend(now, workspace)
	b.endpoints.Spend(now, endpoint)
	return true
}
