package budget

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// smallBytes is the size up to which an account is small: requests of a usual size have 10 to 40 KiB.
	smallBytes = 64 << 10
	// smallDivisor gives the part of the budget that only small accounts may use, so that large ones leave room for usual requests.
	smallDivisor = 8
	// readStallTimeout and writeStallTimeout are the times without progress after which an account may be dropped if memory is short. A
	// ready response is worth more than a body that has not run.
	readStallTimeout  = time.Second
	writeStallTimeout = 3 * time.Second
	// dropTimeout bounds the wait for the memory of dropped accounts, whose goroutines end in less than a millisecond unless the process
	// is short of processor time.
	dropTimeout = 100 * time.Millisecond
	// recheckInterval is the interval at which a wait looks for accounts that have stalled meanwhile.
	recheckInterval = 250 * time.Millisecond
)

// The decisions that OnShortage is called with.
const (
	DecisionRefuse = "refuse"
	DecisionDrop   = "drop"
	DecisionWait   = "wait"
)

// Config configures a Budget.
type Config struct {
	// Bytes is the size of the budget; zero means that it is not limited.
	Bytes int64
	// ReserveBytes is what one account at a time may take beyond Bytes to finish: the charge of a body of the largest size.
	ReserveBytes int64
	Now          func() time.Time
	// OnShortage is called for each decision that a lack of memory causes, with the bytes that are held; nil ignores it.
	OnShortage func(decision string, held int64)
}

// Counters count the decisions that a lack of memory caused.
type Counters struct {
	Refused atomic.Int64
	Dropped atomic.Int64
	Waited  atomic.Int64
}

// Budget is the memory that a process may spend on callers. Its methods and those of its accounts may be called on nil, which is a budget
// without a limit.
type Budget struct {
	Counters Counters

	cfg Config

	mu       sync.Mutex
	held     int64
	accounts map[*Account]bool
	// waiters are the accounts that wait for memory, in the order of their arrival.
	waiters []*waiter
	// overdrawn is the account that may use ReserveBytes, or nil.
	overdrawn *Account
}

// Account holds the charges of one connection, request or call.
type Account struct {
	budget *Budget
	opened time.Time

	// The mutex of the budget guards the following fields.
	held       int64
	progressed time.Time
	// done is the number of bytes that were read or written since the account became droppable.
	done      int64
	droppable time.Time
	// writing means that a response is being written: the account may be dropped only without progress.
	writing bool
	drop    func()
	dropped bool
	closed  bool
}

type waiter struct {
	account *Account
	bytes   int64
	// mayOverdraw means that the account may use the reserve.
	mayOverdraw bool
	ready       chan struct{}
	granted     bool
}

// New returns a budget of which nothing is held, or nil if it is not limited.
func New(cfg Config) *Budget {
	if cfg.Bytes == 0 {
		return nil
	}
	if cfg.OnShortage == nil {
		cfg.OnShortage = func(string, int64) {}
	}
	return &Budget{cfg: cfg, accounts: map[*Account]bool{}}
}

// Held returns the bytes that all accounts hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Open returns an account that holds nothing; it must be closed.
func (b *Budget) Open() *Account {
	if b == nil {
		return nil
	}
	now := b.cfg.Now()
	a := &Account{budget: b, opened: now, progressed: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.accounts[a] = true
	return a
}

// Close releases all that the account holds. Charges after that have no effect.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.accounts, a)
	b.held -= a.held
	a.held = 0
	if b.overdrawn == a {
		b.overdrawn = nil
	}
	b.grantWaiters()
}

// Release returns a part of what the account holds.
func (a *Account) Release(bytes int64) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	bytes = min(bytes, a.held)
	a.held -= bytes
	b.held -= bytes
	b.grantWaiters()
}

// Take charges memory for what has not run yet. If there is no room, it drops accounts that are worth less, or reports false.
func (a *Account) Take(bytes int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	switch {
	case a.dropped:
		b.mu.Unlock()
		return false
	case b.tryCharge(a, bytes, false):
		b.mu.Unlock()
		return true
	}
	victims := b.chooseVictims(a, bytes)
	if victims == nil {
		held := b.held
		b.mu.Unlock()
		b.Counters.Refused.Add(1)
		b.cfg.OnShortage(DecisionRefuse, held)
		return false
	}
	b.dropAll(victims)
	w := b.addWaiter(a, bytes, false)
	b.mu.Unlock()
	timeout := time.NewTimer(dropTimeout)
	defer timeout.Stop()
	select {
	case <-w.ready:
	case <-timeout.C:
	}
	granted := b.endWait(w)
	if !granted {
		b.Counters.Refused.Add(1)
	}
	return granted
}

// Fits reports whether there is room for memory now, without charging it.
func (a *Account) Fits(bytes int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRoom(a, bytes) || b.chooseVictims(a, bytes) != nil
}

// Await charges memory for what runs already, such as a response. It waits for room and reports false if the context ends before.
func (a *Account) Await(ctx context.Context, bytes int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	if b.tryCharge(a, bytes, len(b.waiters) == 0 || b.overdrawn == a) {
		b.mu.Unlock()
		return true
	}
	w := b.addWaiter(a, bytes, true)
	held := b.held
	b.mu.Unlock()
	b.Counters.Waited.Add(1)
	b.cfg.OnShortage(DecisionWait, held)
	ticker := time.NewTicker(recheckInterval)
	defer ticker.Stop()
	for {
		b.dropFor(a, bytes)
		select {
		case <-w.ready:
			return b.endWait(w)
		case <-ctx.Done():
			return b.endWait(w)
		case <-ticker.C:
		}
	}
}

// MayDrop allows to drop the account if memory is short: drop is called, must not block and ends the work so that the account is closed.
// Writing tells that a response is being written rather than a request read.
func (a *Account) MayDrop(writing bool, drop func()) {
	if a == nil {
		return
	}
	now := a.budget.cfg.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop, a.droppable, a.progressed, a.done, a.writing, a.dropped = drop, now, now, 0, writing, false
}

// Keep ends MayDrop; it reports false if the account was dropped already.
func (a *Account) Keep() bool {
	if a == nil {
		return true
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.drop = nil
	return !a.dropped
}

// AddProgress records that bytes were read or written.
func (a *Account) AddProgress(bytes int64) {
	if a == nil || bytes == 0 {
		return
	}
	now := a.budget.cfg.Now()
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progressed = now
	a.done += bytes
}

// limitFor returns how much may be held after a charge to an account.
func (b *Budget) limitFor(a *Account, bytes int64) int64 {
	if a.held+bytes <= smallBytes {
		return b.cfg.Bytes
	}
	return b.cfg.Bytes - b.cfg.Bytes/smallDivisor
}

func (b *Budget) hasRoom(a *Account, bytes int64) bool { return b.held+bytes <= b.limitFor(a, bytes) }

// tryCharge charges an account if there is room, or if it is the one account that may use the reserve.
func (b *Budget) tryCharge(a *Account, bytes int64, mayOverdraw bool) bool {
	fits := b.hasRoom(a, bytes)
	if !fits && mayOverdraw && (b.overdrawn == nil || b.overdrawn == a) && b.held+bytes <= b.cfg.Bytes+b.cfg.ReserveBytes {
		b.overdrawn = a
		fits = true
	}
	if !fits || a.closed {
		return a.closed
	}
	a.held += bytes
	b.held += bytes
	return true
}

func (b *Budget) addWaiter(a *Account, bytes int64, mayOverdraw bool) *waiter {
	w := &waiter{account: a, bytes: bytes, mayOverdraw: mayOverdraw, ready: make(chan struct{})}
	b.waiters = append(b.waiters, w)
	return w
}

// endWait removes a waiter and reports whether it was granted its memory.
func (b *Budget) endWait(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !w.granted {
		b.waiters = slices.DeleteFunc(b.waiters, func(other *waiter) bool { return other == w })
		b.grantWaiters()
	}
	return w.granted
}

// grantWaiters charges the accounts that wait and for which there is room. The one that has waited longest may use the reserve, so that it
// can finish whatever the others hold.
func (b *Budget) grantWaiters() {
	first := true
	b.waiters = slices.DeleteFunc(b.waiters, func(w *waiter) bool {
		if !b.tryCharge(w.account, w.bytes, w.mayOverdraw && (first || b.overdrawn == w.account)) {
			first = first && !w.mayOverdraw
			return false
		}
		w.granted = true
		close(w.ready)
		return true
	})
}

// chooseVictims returns the accounts to drop so that there is room for a charge, or nil if those that are worth less do not hold enough.
func (b *Budget) chooseVictims(a *Account, bytes int64) []*Account {
	missing := b.held + bytes - b.limitFor(a, bytes)
	return b.takeCandidates(b.candidates(a, bytes), missing)
}

func (b *Budget) takeCandidates(list []*Account, missing int64) []*Account {
	for i, candidate := range list {
		if missing -= candidate.held; missing <= 0 {
			return list[:i+1]
		}
	}
	return nil
}

// candidates returns the accounts that are worth less than a further charge to one of them: first those without progress, then the slowest,
// then the newest. Without progress for a while, any account is worth less. Of the others only requests that are being read are: any large one
// for a small account, and those that came later for a large one, so that the oldest can finish.
func (b *Budget) candidates(a *Account, bytes int64) []*Account {
	now := b.cfg.Now()
	small := a.held+bytes <= smallBytes
	var list []*Account
	for candidate := range b.accounts {
		if candidate == a || candidate.drop == nil || candidate.held == 0 {
			continue
		}
		isSmall := candidate.held <= smallBytes
		if isSmall && !small {
			continue
		}
		newer := !isSmall && !candidate.writing && (small || candidate.opened.After(a.opened))
		if newer || candidate.isStalled(now) {
			list = append(list, candidate)
		}
	}
	slices.SortFunc(list, func(x, y *Account) int { return compareWorth(x, y, now) })
	return list
}

func compareWorth(x, y *Account, now time.Time) int {
	if stalled := x.isStalled(now); stalled != y.isStalled(now) {
		if stalled {
			return -1
		}
		return 1
	} else if stalled {
		return x.progressed.Compare(y.progressed)
	}
	return cmp.Or(cmp.Compare(x.rate(now), y.rate(now)), y.opened.Compare(x.opened))
}

// isStalled reports whether an account has made no progress for so long that it may be dropped for any other.
func (a *Account) isStalled(now time.Time) bool {
	timeout := readStallTimeout
	if a.writing {
		timeout = writeStallTimeout
	}
	return now.Sub(a.progressed) >= timeout
}

// rate returns the progress of an account in bytes a second.
func (a *Account) rate(now time.Time) float64 {
	return float64(a.done) / max(now.Sub(a.droppable).Seconds(), readStallTimeout.Seconds())
}

// dropFor drops accounts that are worth less than one that waits, also if they do not hold enough.
func (b *Budget) dropFor(a *Account, bytes int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	missing := b.held + bytes - b.limitFor(a, bytes)
	var list []*Account
	for _, candidate := range b.candidates(a, bytes) {
		if missing > 0 {
			list = append(list, candidate)
			missing -= candidate.held
		}
	}
	b.dropAll(list)
}

func (b *Budget) dropAll(victims []*Account) {
	for _, v := range victims {
		v.dropped = true
		drop := v.drop
		v.drop = nil
		b.Counters.Dropped.Add(1)
		b.cfg.OnShortage(DecisionDrop, b.held)
		// The function may take locks whose holders charge accounts.
		go drop()
	}
}
