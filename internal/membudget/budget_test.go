package membudget

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/egretspar/egretspar/internal/rapidtest"
)

// Guards against a body that makes progress and is refused because of one that has stopped, and against a stalled body
// that goes on after it lost its bytes.
func TestStalledAccountLosesItsBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(8<<20, nil)
		var stalled *Account
		stalled = b.Open(Client{"a", "x"}, func() { go stalled.Close() })
		if err := stalled.Grow(6 << 20); err != nil {
			t.Fatal(err)
		}
		sending := b.Open(Client{"a", "x"}, func() {})
		if err := sending.Grow(4 << 20); !errors.Is(err, ErrFull) {
			t.Errorf("grow beside a sending client: %v", err)
		}
		time.Sleep(stallTime)
		if err := sending.Grow(4 << 20); err != nil {
			t.Errorf("grow beside a stalled client: %v", err)
		}
		if err := stalled.Grow(1); !errors.Is(err, ErrFull) {
			t.Errorf("a revoked account grew: %v", err)
		}
		sending.Close()
		if b.Used() != 0 {
			t.Errorf("%d bytes are lost", b.Used())
		}
	})
}

// Guards against a team or an address that keeps the whole budget while others want a part.
func TestHeavyClientsLoseToLightOnes(t *testing.T) {
	for _, light := range []Client{{"a", "light"}, {"b", "heavy"}} {
		synctest.Test(t, func(t *testing.T) {
			b := New(8<<20, nil)
			var accounts []*Account
			for range 7 {
				var a *Account
				a = b.Open(Client{"a", "heavy"}, func() { go a.Close() })
				if err := a.Grow(1 << 20); err != nil {
					t.Fatal(err)
				}
				accounts = append(accounts, a)
			}
			a := b.Open(light, func() {})
			for range 3 {
				if err := a.Grow(1 << 20); err != nil {
					t.Errorf("client %+v: %v", light, err)
				}
			}
			if err := a.Grow(1 << 20); !errors.Is(err, ErrFull) {
				t.Errorf("client %+v took more than half: %v", light, err)
			}
			if err := accounts[0].Grow(1 << 20); err == nil {
				t.Error("the heavy client took bytes from the light one")
			}
		})
	}
}

// Guards against a budget that large bodies fill, so that small requests are refused.
func TestSmallAccountsHaveAReserve(t *testing.T) {
	b := New(8<<20, nil)
	large := b.Open(Client{"a", "x"}, func() {})
	for large.Grow(1<<20) == nil {
	}
	small := b.Open(Client{"a", "x"}, func() {})
	if err := small.Grow(smallAccountBytes); err != nil {
		t.Error(err)
	}
}

// Guards against bytes that are taken beyond the limit or lost: after any order of calls, the sums must be those of the
// accounts.
func TestBudgetBalances(t *testing.T) {
	rapidtest.Check(t, func(t *rapid.T) {
		b := New(4<<20, nil)
		var accounts []*Account
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				c := Client{rapid.SampledFrom([]string{"a", "b"}).Draw(t, "address"), rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")}
				var a *Account
				a = b.Open(c, func() { a.Close() })
				accounts = append(accounts, a)
			},
			"grow": func(t *rapid.T) {
				if len(accounts) > 0 {
					_ = rapid.SampledFrom(accounts).Draw(t, "account").Grow(rapid.Int64Range(1, 2<<20).Draw(t, "bytes"))
				}
			},
			"shrink": func(t *rapid.T) {
				if len(accounts) > 0 {
					rapid.SampledFrom(accounts).Draw(t, "account").ShrinkTo(rapid.Int64Range(0, 1<<20).Draw(t, "bytes"))
				}
			},
			"close": func(t *rapid.T) {
				if len(accounts) > 0 {
					rapid.SampledFrom(accounts).Draw(t, "account").Close()
				}
			},
			"": func(t *rapid.T) {
				sum := int64(0)
				for _, a := range accounts {
					sum += a.Held()
				}
				if used := b.Used(); used != sum || used > b.Limit() {
					t.Fatalf("used %d, accounts hold %d, limit %d", used, sum, b.Limit())
				}
			},
		})
	})
}
