package confsync

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/conc"
)

// fakeMesh connects Syncs directly. Instances with the same number in partition can reach each other.
type fakeMesh struct {
	mu        sync.Mutex
	syncs     []*Sync
	partition []int
	// onPush replaces Push unless it is nil.
	onPush func()
}

// reachable returns the other instances that an instance can reach.
func (m *fakeMesh) reachable(from int) []*Sync {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []*Sync
	for i, s := range m.syncs {
		if i != from && m.partition[i] == m.partition[from] {
			list = append(list, s)
		}
	}
	return list
}

func (m *fakeMesh) setPartition(i, partition int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partition[i] = partition
}

type meshPeers struct {
	*fakeMesh
	self int
}

func (p meshPeers) Push(revision int, body []byte) {
	if p.onPush != nil {
		p.onPush()
		return
	}
	for _, s := range p.reachable(p.self) {
		s.QueuePushed(revision, body)
	}
}

func (p meshPeers) Announce(int) { p.sendState(p.self) }

func (p meshPeers) Fetch(_ context.Context, instance string) (int, []byte, error) {
	for _, s := range p.reachable(p.self) {
		if s.opts.Self == instance {
			body, revision := s.Body()
			return revision, body, nil
		}
	}
	return 0, nil, errors.New("no link")
}

// sendState sends the state of one instance to those that it can reach.
func (m *fakeMesh) sendState(from int) {
	m.mu.Lock()
	s := m.syncs[from]
	m.mu.Unlock()
	now := time.Now()
	revision, age, ok := s.Evidence(now)
	k := Contact{Instance: strconv.Itoa(from), Start: 1, Revision: revision, At: now}
	if ok {
		k.EvidenceAt = now.Add(-age)
	}
	for _, other := range m.reachable(from) {
		other.RecordContact(k)
	}
}

// withMesh runs nine linked instances in virtual time.
func withMesh(t *testing.T, f func(store *fakeStore, m *fakeMesh)) {
	m := &fakeMesh{partition: make([]int, 9)}
	peers := func(i int) Peers { return meshPeers{fakeMesh: m, self: i} }
	withSyncs(t, len(m.partition), peers, func(store *fakeStore, s []*Sync) {
		m.mu.Lock()
		m.syncs = s
		m.mu.Unlock()
		ctx, cancel := context.WithCancel(context.Background())
		var wg conc.WaitGroup
		wg.Go(func() {
			for sleep(ctx, 500*time.Millisecond) == nil {
				for i := range s {
					m.sendState(i)
				}
			}
		})
		f(store, m)
		cancel()
		wg.Wait()
	})
}

func (m *fakeMesh) apply(t *testing.T, expected int) (Result, time.Duration) {
	t.Helper()
	start := time.Now()
	r, refusal := m.syncs[0].Apply(context.Background(), expected, []byte("x"), "ann")
	if refusal != nil {
		t.Fatalf("apply: %v", refusal)
	}
	return r, time.Since(start)
}

func (m *fakeMesh) countServing() int {
	n := 0
	for _, s := range m.syncs {
		if s.Serving(time.Now()) {
			n++
		}
	}
	return n
}

// Guards against a revision that comes into force slowly, against instances that stop serving because the store is
// down, against instances that serve without contact to store and peers, and against instances that do not serve again
// after a partition.
func TestStoreOutageAndPartition(t *testing.T) {
	withMesh(t, func(store *fakeStore, m *fakeMesh) {
		if r, took := m.apply(t, 0); r.State != InForce || took > 2*time.Second {
			t.Errorf("%+v after %v, want in force within 2 s", r, took)
		}
		store.setDown(true)
		time.Sleep(time.Hour)
		if n := m.countServing(); n != 9 {
			t.Errorf("%d of 9 instances serve during a store outage", n)
		}
		store.setDown(false)
		time.Sleep(time.Second)

		// Two instances cannot reach any other instance. They still read the store, so they get the new revision.
		m.setPartition(7, 1)
		m.setPartition(8, 2)
		if r, took := m.apply(t, 1); r.State != InForce || len(r.Unconfirmed) != 2 || took > 10*time.Second {
			t.Errorf("%+v after %v, want in force within 10 s and two unconfirmed", r, took)
		}
		if n := m.countServing(); n != 9 {
			t.Errorf("%d instances serve, want 9: two have their own evidence", n)
		}
		store.setDown(true)
		time.Sleep(EvidenceTTL)
		if n := m.countServing(); n != 7 {
			t.Errorf("%d instances serve, want the majority of 7", n)
		}
		m.setPartition(7, 0)
		time.Sleep(time.Second)
		if n := m.countServing(); n != 8 {
			t.Errorf("%d instances serve, want 8 after one has returned", n)
		}
	})
}

// Guards against instances that stay on an old revision, or without one, if the push is lost and the store fails right
// after the commit.
func TestLostPushIsFetched(t *testing.T) {
	withMesh(t, func(store *fakeStore, m *fakeMesh) {
		m.apply(t, 0)
		m.onPush = func() { store.setDown(true) }
		if r, took := m.apply(t, 1); r.State != InForce || took > 2*time.Second {
			t.Errorf("%+v after %v, want in force within 2 s", r, took)
		}
		if n := m.countServing(); n != 9 {
			t.Errorf("%d of 9 instances serve", n)
		}
	})
}
