package confsync

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/member"
	"github.com/egretspar/egretspar/internal/outcome"
	"github.com/egretspar/egretspar/internal/platform/api"
)

// fakeStore is a table and an object store in which tests can inject faults.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]api.Row
	objects map[string][]byte
	tokens  map[string]int
	isDown  bool
	// commitFaults holds one fault for each of the next commits, whose responses are lost: a commit with 'a' takes
	// effect, one with 'd' does not.
	commitFaults string
}

func (f *fakeStore) Get(_ context.Context, key string) (api.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.rows[key]
	switch {
	case f.isDown:
		return api.Row{}, api.ErrUnavailable
	case !ok:
		return api.Row{}, api.ErrNotFound
	}
	return r, nil
}

func (f *fakeStore) Commit(_ context.Context, txn api.Txn) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return 0, api.ErrUnavailable
	}
	if revision, ok := f.tokens[txn.Token]; ok {
		return revision, nil
	}
	fault := byte(0)
	if f.commitFaults != "" {
		fault = f.commitFaults[0]
		f.commitFaults = f.commitFaults[1:]
	}
	if fault == 'd' {
		return 0, api.ErrEffectUnknown
	}
	for _, w := range txn.Writes {
		if f.rows[w.Key].Revision != w.Expected {
			return 0, api.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		f.rows[w.Key] = api.Row{Key: w.Key, Value: *w.Value, Revision: w.Expected + 1}
	}
	f.tokens[txn.Token] = txn.Writes[0].Expected + 1
	if fault == 'a' {
		return 0, api.ErrEffectUnknown
	}
	return f.tokens[txn.Token], nil
}

type fakeObjects struct{ *fakeStore }

func (f fakeObjects) Put(_ context.Context, key string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return api.ErrUnavailable
	}
	f.objects[key] = data
	return nil
}

func (f fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isDown {
		return nil, api.ErrUnavailable
	}
	return f.objects[key], nil
}

func (f *fakeStore) setDown(isDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isDown = isDown
}

// unreachablePeers drops all messages, as for an instance that cannot reach its peers.
type unreachablePeers struct{}

func (unreachablePeers) Push(int, []byte) {}

func (unreachablePeers) Announce(int) {}

func (unreachablePeers) Fetch(context.Context, string) (int, []byte, error) {
	return 0, nil, errors.New("no peer")
}

func withoutPeers(int) Peers { return unreachablePeers{} }

func validate(body []byte) (*config.Document, error) {
	if strings.HasPrefix(string(body), "invalid") {
		return nil, errors.New("unknown field")
	}
	return &config.Document{Kind: string(body)}, nil
}

// withSyncs runs n instances that share a store and have each other as members.
func withSyncs(t *testing.T, n int, peers func(i int) Peers, f func(store *fakeStore, s []*Sync)) {
	synctest.Test(t, func(*testing.T) {
		store := &fakeStore{rows: map[string]api.Row{}, objects: map[string][]byte{}, tokens: map[string]int{}}
		var known member.Snapshot
		for i := range n {
			known.Known = append(known.Known, member.Instance{ID: fmt.Sprint(i)})
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		var syncs []*Sync
		for i := range n {
			s := New(Options{
				Self: fmt.Sprint(i), Store: Store{Table: store, Objects: fakeObjects{store}},
				Peers: peers(i), Validate: validate, Log: zerolog.Nop(),
			})
			s.SetMembers(known, member.Topology{PollsConfig: true})
			syncs = append(syncs, s)
			wg.Go(func() { _ = s.Run(ctx) })
		}
		f(store, syncs)
		cancel()
		wg.Wait()
	})
}

// Guards against a wrong result of Apply after lost responses, concurrent applies and outages.
func TestApplyOutcomes(t *testing.T) {
	cases := map[string]struct {
		expected     int
		body         string
		commitFaults string
		down         bool
		want         outcome.Reason
		message      string
	}{
		"accepted":                     {expected: 1, body: "b"},
		"same body again":              {expected: 1, body: "first"},
		"response lost, written":       {expected: 1, body: "b", commitFaults: "a"},
		"response lost, not written":   {expected: 1, body: "b", commitFaults: "ddd"},
		"every response lost":          {expected: 1, body: "b", commitFaults: strings.Repeat("d", 1000), want: outcome.StoreUnknown},
		"another operator wrote first": {expected: 0, body: "b", want: outcome.ConfigConflict, message: "expected revision 0 by unknown, but the current revision is 1 by ann"},
		"invalid":                      {expected: 1, body: "invalid", want: outcome.ConfigInvalid, message: "unknown field"},
		"store down":                   {expected: 1, body: "b", down: true, want: outcome.StoreUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			withSyncs(t, 1, withoutPeers, func(store *fakeStore, s []*Sync) {
				if r, refusal := s[0].Apply(context.Background(), 0, []byte("first"), "ann"); refusal != nil || r.State != InForce {
					t.Fatalf("first apply: %+v, %v", r, refusal)
				}
				store.mu.Lock()
				store.commitFaults = tc.commitFaults
				store.isDown = tc.down
				store.mu.Unlock()
				r, refusal := s[0].Apply(context.Background(), tc.expected, []byte(tc.body), "bob")
				if tc.want != "" {
					if refusal == nil || refusal.Reason != tc.want || !strings.Contains(refusal.Message, tc.message) {
						t.Fatalf("got %+v, %v; want refusal %s with %q", r, refusal, tc.want, tc.message)
					}
					return
				}
				document, revision := s[0].Current()
				if refusal != nil || r.Revision != 2 || revision != 2 || document.Kind != tc.body {
					t.Fatalf("got %+v, %v; in force %d %+v", r, refusal, revision, document)
				}
				record, err := s[0].opts.Store.readHistory(context.Background(), 2)
				if err != nil || record.Author != "bob" || record.Revision != 2 {
					t.Errorf("history: %+v, %v", record, err)
				}
			})
		})
	}
}

// Guards against concurrent applies that both report success for the same revision.
func TestConcurrentApply(t *testing.T) {
	withSyncs(t, 3, withoutPeers, func(_ *fakeStore, s []*Sync) {
		var wg conc.WaitGroup
		succeeded := make([]bool, len(s))
		for i := range s {
			wg.Go(func() {
				_, refusal := s[i].Apply(context.Background(), 0, []byte(fmt.Sprint("by ", i)), fmt.Sprint("op", i))
				succeeded[i] = refusal == nil
			})
		}
		wg.Wait()
		time.Sleep(time.Second)
		document, revision := s[0].Current()
		for i := range s {
			if succeeded[i] != (document.Kind == fmt.Sprint("by ", i)) || revision != 1 {
				t.Errorf("operator %d succeeded: %v; in force: %d %s", i, succeeded[i], revision, document.Kind)
			}
		}
	})
}

// Guards against a failed read that counts as evidence, and against an instance that does not serve again after the
// store has recovered.
func TestStoreOutageWithoutPeers(t *testing.T) {
	withSyncs(t, 3, withoutPeers, func(store *fakeStore, s []*Sync) {
		if r, refusal := s[0].Apply(context.Background(), 0, []byte("a"), "ann"); refusal != nil || r.State != Written || len(r.Unconfirmed) != 2 {
			t.Errorf("apply without links: %+v, %v; want written with two unconfirmed", r, refusal)
		}
		store.setDown(true)
		time.Sleep(EvidenceTTL - PollInterval)
		if !s[1].Serving(time.Now()) {
			t.Error("not serving although the evidence is younger than 4 s")
		}
		time.Sleep(PollInterval)
		if s[1].Serving(time.Now()) {
			t.Error("still serving without contact 4 s after the last successful read")
		}
		store.setDown(false)
		time.Sleep(2 * PollInterval)
		if age, seen := s[1].StoreOutage(time.Now()); !s[1].Serving(time.Now()) || !seen || age > time.Second {
			t.Errorf("not serving after the store recovered, or age %v of the outage is wrong (seen: %v)", age, seen)
		}
	})
}
