// Package budget bounds the memory and the connections that the callers of a process can make
// it hold. Whatever is held for a caller is reserved on the Account of its connection before it
// is read or copied. When a Budget is spent, the connection that holds most is closed, or the
// largest one of the workspace that holds most.
package budget

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// smallBytes is the amount up to which an account may use the whole budget. Larger ones leave
	// an ordinaryShare of it, so that ordinary requests, of at most some KB, are served while the
	// budget is spent on large ones.
	smallBytes    = 16 << 10
	ordinaryShare = 8
	// largeShare: a connection that holds more than this part of the budget is shed before any
	// other. Below it, connections of the workspace that holds most are.
	largeShare = 2
	// workspaceShare: the sessions of a workspace may keep this part of the budget between
	// statements.
	workspaceShare = 4
	// roomTimeout bounds the wait for the memory of connections that are shed. A connection that
	// is being read releases its memory at once; one whose statement is in progress only when that
	// ends, which no other caller waits for.
	roomTimeout = 200 * time.Millisecond
	// maxWaiting bounds the reservations that wait for room at once; each looks through all
	// accounts when memory is released.
	maxWaiting = 16
	// collectShare: garbage is collected at once when it is this part of the budget, and less than
	// that only at the end of a wait. Otherwise each large message of a crowd starts a collection
	// while the budget is spent.
	collectShare = 4
	// quantumBytes is the least that an account takes from the budget at once, so that the several
	// reservations of an ordinary statement share one update of the total.
	quantumBytes = 2 << 10
)

var (
	// ErrFull is returned when the budget has no room for an amount.
	ErrFull = errors.New("the memory for callers is in use")
	// ErrWorkspaceFull is returned when a workspace keeps as much as it may.
	ErrWorkspaceFull = errors.New("the sessions of the workspace keep too much")
)

// Budget is the memory in bytes that all callers of a process may use. It is safe for concurrent
// use.
type Budget struct {
	limit int64 // zero means none
	// total includes garbage, which is the memory of large amounts that were returned since the last
	// collection: the Go runtime holds it until then. A soft memory limit alone lets the heap grow
	// to several times of what is in use where the processor is short.
	total, garbage atomic.Int64
	report         *reporter
	// runGC collects the garbage; collecting is held while it runs.
	runGC      func()
	collecting sync.Mutex
	// waiting is the number of reservations that wait for room.
	waiting atomic.Int64

	mu       sync.Mutex
	accounts map[*Account]struct{}
	groups   map[string]*group
	// released is closed and replaced when memory is released while reservations wait.
	released chan struct{}
}

// group is the use of a workspace.
type group struct {
	accounts int // guarded by Budget.mu
	kept     atomic.Int64
}

// New returns a Budget of limit bytes; zero only counts. The limits that take effect are counted at
// the registerer, which may be nil, and logged.
func New(limit int64, reg prometheus.Registerer, logger *log.Logger) *Budget {
	b := &Budget{
		limit: limit, runGC: runtime.GC, accounts: make(map[*Account]struct{}), groups: make(map[string]*group), released: make(chan struct{}),
	}
	b.report = newReporter(b, reg, logger)
	return b
}

// Limit returns the limit in bytes, zero if there is none.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.total.Load() - b.garbage.Load() }

// Open returns an account for a connection. shed closes the connection; it must not block and may
// be nil for accounts that cannot be shed. Close must be called.
func (b *Budget) Open(shed func()) *Account {
	if b == nil {
		return nil
	}
	a := &Account{budget: b, shed: shed}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = struct{}{}
	return a
}

// Account is what one connection holds. Its methods must not be called concurrently, and do
// nothing on a nil Account.
type Account struct {
	budget *Budget
	shed   func()
	// transient is held until the statement in progress has been answered, kept until the
	// session ends.
	transient, kept atomic.Int64
	// credit is the part of transient that is not in use.
	credit int64
	// closing is set once the connection is shed. It gets no more memory.
	closing atomic.Bool
	// workspace and group are guarded by Budget.mu; group is read without it by the owner.
	workspace string
	group     *group
}

// SetWorkspace assigns the account to a workspace.
func (a *Account) SetWorkspace(name string) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.leaveGroup()
	g := b.groups[name]
	if g == nil {
		g = &group{}
		b.groups[name] = g
	}
	g.accounts++
	g.kept.Add(a.kept.Load())
	a.workspace, a.group = name, g
}

// leaveGroup removes the account from its workspace. The caller holds Budget.mu.
func (a *Account) leaveGroup() {
	if a.group == nil {
		return
	}
	a.group.kept.Add(-a.kept.Load())
	if a.group.accounts--; a.group.accounts == 0 {
		delete(a.budget.groups, a.workspace)
	}
	a.group = nil
}

// Workspace returns the workspace of the account, empty before it is known.
func (a *Account) Workspace() string {
	if a == nil {
		return ""
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.workspace
}

// Used returns the bytes that the account holds.
func (a *Account) Used() int64 { return a.transient.Load() + a.kept.Load() }

// Reserve takes n bytes until Settle, or fails with ErrFull. It may wait up to roomTimeout for
// connections that are shed.
func (a *Account) Reserve(n int64) error {
	if a == nil {
		return nil
	}
	if n > a.credit {
		taken := max(n-a.credit, quantumBytes)
		if !a.take(taken) && !a.awaitRoom(taken) {
			a.budget.Limited(MemoryRefused, "workspace", a.Workspace(), "bytes", n)
			return ErrFull
		}
		a.transient.Add(taken)
		a.credit += taken
	}
	a.credit -= n
	return nil
}

// Release returns n of the bytes taken by Reserve.
func (a *Account) Release(n int64) {
	if a == nil {
		return
	}
	a.credit += n
	if surplus := a.credit - quantumBytes; surplus > 0 {
		a.credit -= surplus
		a.transient.Add(-surplus)
		a.budget.give(surplus)
	}
}

// Settle returns all bytes taken by Reserve. It is called when a statement has been answered.
func (a *Account) Settle() {
	if a == nil {
		return
	}
	a.credit = 0
	if held := a.transient.Load(); held != 0 {
		a.transient.Store(0)
		a.budget.give(held)
	}
}

// Keep changes what the account keeps between statements by n bytes, which may be negative. It
// fails with ErrFull or ErrWorkspaceFull, and then changes nothing.
func (a *Account) Keep(n int64) error {
	if a == nil || n == 0 {
		return nil
	}
	if n < 0 {
		a.addToGroup(n)
		a.kept.Add(n)
		a.budget.give(-n)
		return nil
	}
	if limit := a.budget.limit; a.addToGroup(n) > limit/workspaceShare && limit > 0 {
		a.addToGroup(-n)
		a.budget.Limited(WorkspaceRefused, "workspace", a.Workspace(), "bytes", n)
		return ErrWorkspaceFull
	}
	if !a.take(n) && !a.awaitRoom(n) {
		a.addToGroup(-n)
		a.budget.Limited(MemoryRefused, "workspace", a.Workspace(), "bytes", n)
		return ErrFull
	}
	a.kept.Add(n)
	return nil
}

// addToGroup changes what the workspace keeps and returns the sum, zero without a workspace.
func (a *Account) addToGroup(n int64) int64 {
	if a.group == nil {
		return 0
	}
	return a.group.kept.Add(n)
}

// Close returns all bytes. The account must not be used afterwards; further calls of Close have no
// effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	a.Settle()
	b := a.budget
	b.mu.Lock()
	a.leaveGroup()
	delete(b.accounts, a)
	b.mu.Unlock()
	b.give(a.kept.Swap(0))
}

// take adds n bytes to the total if there is room for them.
func (a *Account) take(n int64) bool {
	b := a.budget
	if b.limit == 0 {
		b.total.Add(n)
		return true
	}
	if a.closing.Load() {
		return false
	}
	if b.total.Add(n) <= b.ceiling(a.Used()+n) {
		return true
	}
	b.total.Add(-n)
	return false
}

// collect collects at least least bytes of garbage if there is room for n bytes of an account without
// it.
func (b *Budget) collect(a *Account, n, least int64) {
	b.collecting.Lock()
	defer b.collecting.Unlock()
	garbage, ceiling := b.garbage.Load(), b.ceiling(a.Used()+n)
	if total := b.total.Load(); garbage < least || total+n <= ceiling || total+n-garbage > ceiling {
		return
	}
	b.runGC()
	b.total.Add(-garbage)
	b.garbage.Add(-garbage)
}

// ceiling returns the total up to which an account that will hold used bytes may reserve.
func (b *Budget) ceiling(used int64) int64 {
	if used <= smallBytes {
		return b.limit
	}
	return b.limit - b.limit/ordinaryShare
}

// give returns bytes to the budget. A large amount is garbage first.
func (b *Budget) give(n int64) {
	if b.limit > 0 && n > smallBytes {
		b.garbage.Add(n)
	} else {
		b.total.Add(-n)
	}
	if b.waiting.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.released)
	b.released = make(chan struct{})
}

// awaitRoom sheds connections until there is room for n bytes of the account, and takes them. It
// returns false if the account would be the next one to be shed, or the time is over.
func (a *Account) awaitRoom(n int64) bool {
	b := a.budget
	if a.closing.Load() || a.Used()+n > b.ceiling(a.Used()+n) {
		return false
	}
	defer b.waiting.Add(-1)
	if b.waiting.Add(1) > maxWaiting {
		return false
	}
	timeout := time.NewTimer(roomTimeout)
	defer timeout.Stop()
	for {
		b.collect(a, n, max(b.limit/collectShare, 1))
		b.mu.Lock()
		released := b.released
		b.mu.Unlock()
		if a.take(n) {
			return true
		}
		b.mu.Lock()
		victim, enough := b.nextVictim(a, n)
		if victim != nil && victim != a {
			victim.closing.Store(true)
		}
		b.mu.Unlock()
		switch {
		case victim == a, victim == nil && !enough:
			return false
		case victim != nil:
			b.close(victim)
			continue
		}
		select {
		case <-released:
		case <-timeout.C:
			b.collect(a, n, 1)
			return a.take(n)
		}
	}
}

// close closes the connection of an account that is shed.
func (b *Budget) close(victim *Account) {
	victim.shed()
	b.Limited(ConnectionShed, "workspace", victim.Workspace(), "bytes", victim.Used())
}

// nextVictim returns the account to shed so that the account asking has room for n bytes, which is
// the asking one itself if it would hold most. It returns nil and true if the accounts that are
// being shed hold enough, nil and false if no account can be shed. The caller holds b.mu.
func (b *Budget) nextVictim(asking *Account, n int64) (victim *Account, enough bool) {
	use := func(a *Account) int64 {
		if a == asking {
			return a.Used() + n
		}
		return a.Used()
	}
	var closing, heaviestUse int64
	var largest *Account
	byWorkspace := make(map[string]int64)
	for a := range b.accounts {
		if a.closing.Load() {
			closing += a.Used()
			continue
		}
		if a.shed == nil && a != asking {
			continue
		}
		byWorkspace[a.workspace] += use(a)
		if largest == nil || use(a) > use(largest) {
			largest = a
		}
	}
	if b.total.Load()-b.garbage.Load()+n-closing <= b.ceiling(asking.Used()+n) {
		return nil, true
	}
	if largest == nil || use(largest) > b.limit/largeShare {
		return largest, false
	}
	heaviest := ""
	for workspace, used := range byWorkspace {
		if used > heaviestUse {
			heaviest, heaviestUse = workspace, used
		}
	}
	for a := range b.accounts {
		if a.workspace == heaviest && !a.closing.Load() && (a.shed != nil || a == asking) && use(a) > 0 && (victim == nil || use(a) > use(victim)) {
			victim = a
		}
	}
	return victim, false
}
