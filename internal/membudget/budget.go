// Package membudget bounds the bytes that a process holds in memory for its clients. Bytes are taken from the budget
// before they are held and given back when they are released.
//
// When the budget is full, a holder whose client has stopped sending loses its bytes to one whose client sends, and a
// client that holds much loses them to one that holds less.
package membudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// stallTime is the time without progress after which a revocable account loses its bytes to others.
	stallTime = 300 * time.Millisecond
	// releaseWait is how long Grow waits for the bytes of a revoked account.
	releaseWait = 100 * time.Millisecond
	// reclaimInterval is the shortest time between two calls of the reclaim function, which runs the garbage collector.
	reclaimInterval = time.Second
	// smallAccountBytes is the size up to which an account may use the reserve, which is the budget's reserveDivisor-th part.
	smallAccountBytes = 256 << 10
	reserveDivisor    = 8
)

var (
	// ErrFull reports that the bytes do not fit into the budget.
	ErrFull = errors.New("memory budget is full")
	// ErrRevoked reports that the account lost its bytes to another one.
	ErrRevoked = errors.WithMessage(ErrFull, "bytes were given to another client")
)

// Client identifies for whom bytes are held.
type Client struct {
	// Address is the network address without the port.
	Address string
	Team    string
}

// Budget is a number of bytes that accounts share.
type Budget struct {
	// reclaim makes unreachable holders give back their bytes; it may be nil.
	reclaim func()

	mu          sync.Mutex
	limit       int64
	used        int64
	byTeam      map[string]int64
	byAddress   map[string]int64
	revocable   map[*Account]struct{}
	revoking    int
	lastReclaim time.Time
	// released is closed when bytes are given back.
	released chan struct{}
}

// New returns a budget of limit bytes. When the budget is full, it calls reclaim, at most once a second, so that
// holders that are no longer reachable can give back their bytes.
func New(limit int64, reclaim func()) *Budget {
	return &Budget{
		limit: limit, reclaim: reclaim, byTeam: map[string]int64{}, byAddress: map[string]int64{},
		revocable: map[*Account]struct{}{}, released: make(chan struct{}),
	}
}

// SetLimit changes the size of the budget. Accounts keep what they hold.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Used returns the bytes that are taken.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the size of the budget.
func (b *Budget) Limit() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// Account holds bytes of a budget for one client.
type Account struct {
	budget *Budget
	client Client
	// revoke makes the holder close the account soon.
	revoke func()

	// The budget's mutex protects the fields below.
	held         int64
	lastProgress time.Time
	revoked      bool
	closed       bool
}

// Open returns an empty account. While revoke is not nil and Keep was not called, the account may lose its bytes: the
// budget then calls revoke, which must return at once and make the holder close the account.
func (b *Budget) Open(client Client, revoke func()) *Account {
	a := &Account{budget: b, client: client, revoke: revoke, lastProgress: time.Now()}
	if revoke != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.revocable[a] = struct{}{}
	}
	return a
}

// Progress notes that the client has sent something.
func (a *Account) Progress() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.lastProgress = time.Now()
}

// Held returns the bytes that the account holds.
func (a *Account) Held() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.held
}

// Grow takes n more bytes. It waits briefly if another account is about to give back its bytes, and returns an error
// that wraps ErrFull if the bytes do not fit.
func (a *Account) Grow(n int64) error {
	b := a.budget
	timeout := time.NewTimer(releaseWait)
	defer timeout.Stop()
	for {
		b.mu.Lock()
		if a.revoked || a.closed {
			b.mu.Unlock()
			return ErrRevoked
		}
		if b.fits(a, n) {
			b.add(a, n)
			b.mu.Unlock()
			return nil
		}
		now := time.Now()
		victim := b.chooseVictim(a, n, now)
		if victim != nil {
			b.startRevoking(victim)
		}
		reclaim := victim == nil && b.shouldReclaim(now)
		mayWait := b.revoking > 0 || reclaim
		released := b.released
		b.mu.Unlock()
		if victim != nil {
			victim.revoke()
		}
		if reclaim {
			b.reclaim()
		}
		if !mayWait {
			return ErrFull
		}
		select {
		case <-released:
		case <-timeout.C:
			return ErrFull
		}
	}
}

// Force takes n bytes that are held already, even if they do not fit.
func (a *Account) Force(n int64) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.add(a, n)
}

// ShrinkTo gives back all but n bytes.
func (a *Account) ShrinkTo(n int64) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.held > n {
		b.add(a, n-a.held)
	}
}

// Keep makes the account permanent: it can no longer lose its bytes. It fails if the account has lost them already.
func (a *Account) Keep() error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.revoked {
		return ErrRevoked
	}
	delete(b.revocable, a)
	return nil
}

// Close gives back all bytes. Further calls have no effect.
func (a *Account) Close() {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed = true
	delete(b.revocable, a)
	if a.revoked {
		b.revoking--
	}
	b.add(a, -a.held)
}

// fits reports whether an account can take n bytes. Large accounts leave the reserve to small ones.
func (b *Budget) fits(a *Account, n int64) bool {
	limit := b.limit
	if a.held+n > smallAccountBytes {
		limit -= b.limit / reserveDivisor
	}
	return b.used+n <= limit
}

// add changes the bytes of an account. The caller holds the lock.
func (b *Budget) add(a *Account, n int64) {
	a.held += n
	b.used += n
	addTo(b.byTeam, a.client.Team, n)
	addTo(b.byAddress, a.client.Address, n)
	if n < 0 {
		close(b.released)
		b.released = make(chan struct{})
	}
}

func addTo(sums map[string]int64, key string, n int64) {
	sums[key] += n
	if sums[key] == 0 {
		delete(sums, key)
	}
}

// chooseVictim returns the account that loses its bytes to an account that wants n more: one that makes no progress, or
// one of a client that holds more than the other would then hold. It returns nil if there is none.
func (b *Budget) chooseVictim(a *Account, n int64, now time.Time) *Account {
	var victim *Account
	for other := range b.revocable {
		if other == a || other.revoked || other.held == 0 {
			continue
		}
		if now.Sub(other.lastProgress) < stallTime && !b.holdsMore(other, a, n) {
			continue
		}
		if victim == nil || b.isBetterVictim(other, victim, now) {
			victim = other
		}
	}
	return victim
}

// holdsMore reports whether the team of other, or its address within the same team, holds more than that of a would
// with n more bytes.
func (b *Budget) holdsMore(other, a *Account, n int64) bool {
	if other.client.Team != a.client.Team {
		return b.byTeam[other.client.Team] > b.byTeam[a.client.Team]+n
	}
	return other.client.Address != a.client.Address && b.byAddress[other.client.Address] > b.byAddress[a.client.Address]+n
}

// isBetterVictim prefers accounts without progress, then those of the team and of the address that hold most, then the
// largest account.
func (b *Budget) isBetterVictim(v, w *Account, now time.Time) bool {
	if stalled := now.Sub(v.lastProgress) >= stallTime; stalled != (now.Sub(w.lastProgress) >= stallTime) {
		return stalled
	}
	if x, y := b.byTeam[v.client.Team], b.byTeam[w.client.Team]; x != y {
		return x > y
	}
	if x, y := b.byAddress[v.client.Address], b.byAddress[w.client.Address]; x != y {
		return x > y
	}
	return v.held > w.held
}

func (b *Budget) startRevoking(a *Account) {
	a.revoked = true
	delete(b.revocable, a)
	b.revoking++
}

func (b *Budget) shouldReclaim(now time.Time) bool {
	if b.reclaim == nil || now.Sub(b.lastReclaim) < reclaimInterval {
		return false
	}
	b.lastReclaim = now
	return true
}
