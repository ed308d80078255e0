package order

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/platform"
	"github.com/egretspar/egretspar/internal/platform/api"
	standin "github.com/egretspar/egretspar/internal/standin/platform"
)

const instanceCount = 3

var errNotHolder = errors.New("another process holds the lease")

// simulatedLease simulates the order lease: it expires 4 s after the last renewal, the holder stops acting 1.2 s before
// that, and a new holder gets the next term.
type simulatedLease struct {
	mu     sync.Mutex
	holder int
	term   int64
	// actUntil is the time until which the holder may act.
	actUntil time.Time
}

const (
	// leaseActPeriod is the time after a renewal during which the holder may act.
	leaseActPeriod = 2800 * time.Millisecond
	// leaseStopMargin is the time between the end of leaseActPeriod and the expiry of the lease.
	leaseStopMargin = 1200 * time.Millisecond
)

// renew is called by every instance that is not paused, as often as the real lease is renewed.
func (l *simulatedLease) renew(instance int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.holder != instance && now.Before(l.actUntil.Add(leaseStopMargin)) {
		return
	}
	if l.holder != instance || now.After(l.actUntil.Add(leaseStopMargin)) {
		l.holder = instance
		l.term++
	}
	l.actUntil = now.Add(leaseActPeriod)
}

// check returns the term, the time until which the holder may act, and whether the instance is the holder now.
func (l *simulatedLease) check(instance int) (int64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.term, l.actUntil, l.holder == instance && time.Now().Before(l.actUntil)
}

// simulatedInstance is the process of one instance. It can pause before the lease is checked, between that check and
// the send, and before and after table writes.
type simulatedInstance struct {
	id          int
	lease       *simulatedLease
	mu          sync.Mutex
	random      *rand.Rand
	pausedUntil time.Time
}

func (i *simulatedInstance) isPaused() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return time.Now().Before(i.pausedUntil)
}

// waitWhilePaused returns at the end of the pause. One call in twenty starts a pause itself, because a pause at these
// points is the most harmful.
func (i *simulatedInstance) waitWhilePaused() {
	i.mu.Lock()
	if i.random != nil && i.random.IntN(20) == 0 {
		i.pausedUntil = time.Now().Add(time.Duration(i.random.IntN(12000)) * time.Millisecond)
	}
	pausedUntil := i.pausedUntil
	i.mu.Unlock()
	time.Sleep(time.Until(pausedUntil))
}

func (i *simulatedInstance) Guard(ctx context.Context, act func(context.Context, int64) error) error {
	i.waitWhilePaused()
	term, actUntil, isHolder := i.lease.check(i.id)
	if !isHolder {
		return errNotHolder
	}
	ctx, cancel := context.WithDeadline(ctx, actUntil)
	defer cancel()
	return act(ctx, term)
}

// pausedOrders and pausedTable add a possible pause between the lease check and the call.
type pausedOrders struct {
	*platform.Orders
	instance *simulatedInstance
}

func (o pausedOrders) Put(ctx context.Context, order api.Order) error {
	o.instance.waitWhilePaused()
	return o.Orders.Put(ctx, order)
}

type pausedTable struct {
	*platform.Table
	instance *simulatedInstance
}

func (t pausedTable) Commit(ctx context.Context, txn api.Txn) (int, error) {
	t.instance.waitWhilePaused()
	defer t.instance.waitWhilePaused()
	return t.Table.Commit(ctx, txn)
}

// simulation runs workers of several instances against a fake platform and simulates the ordered targets.
type simulation struct {
	random         *rand.Rand
	platform       *standin.Platform
	lease          *simulatedLease
	instances      []*simulatedInstance
	workers        []*Worker
	pendingResizes []poolResize
	runningTargets map[standin.Pool]int
	trainSlots     atomic.Int64
	reclaimedUntil map[string]time.Time
}

// poolResize is a change of a pool's number of running targets that is due at a given time.
type poolResize struct {
	at    time.Time
	pool  standin.Pool
	count int
}

func (s *simulation) config() *config.Document {
	return kerlannDeployment().document(tracePoint{reclaimablePrice: map[string]float64{"brest": 1, "rennes": 1.1, "vannes": 1.2}}, nil)
}

func (s *simulation) demand() []Demand {
	return []Demand{{Service: "booking", Slots: 40}, {Service: "train-large", Slots: float64(s.trainSlots.Load())}}
}

func (s *simulation) startInstances(ctx context.Context, group *sync.WaitGroup) {
	for id := range instanceCount {
		client := platform.New(platform.Options{URL: "http://platform", Transport: s.platform.Transport()})
		instance := &simulatedInstance{id: id, lease: s.lease, random: rand.New(rand.NewPCG(uint64(id), 6))}
		w := NewWorker(Options{
			Instance: fmt.Sprintf("entry-%d", id), Table: pausedTable{client.Table, instance}, Orders: pausedOrders{client.Orders, instance},
			Instances: client.Instances, Lease: instance, Demand: s.demand,
		})
		w.ApplyConfig(s.config())
		s.instances, s.workers = append(s.instances, instance), append(s.workers, w)
		group.Go(func() { _ = w.Run(ctx) })
	}
}

func (s *simulation) advance() {
	time.Sleep(100 * time.Millisecond)
	for _, instance := range s.instances {
		if !instance.isPaused() {
			s.lease.renew(instance.id)
		}
	}
	var notDue []poolResize
	for _, resize := range s.pendingResizes {
		if resize.at.After(time.Now()) {
			notDue = append(notDue, resize)
			continue
		}
		isReclaimed := resize.pool.Class == api.OrderClassReclaimable && time.Now().Before(s.reclaimedUntil[resize.pool.Zone])
		if !isReclaimed {
			s.resize(resize.pool, resize.count)
		}
	}
	s.pendingResizes = notDue
}

// scheduleResizes schedules a resize for each pool whose order differs from its running targets.
func (s *simulation) scheduleResizes() {
	for _, zone := range kerlannDeployment().zones {
		for _, service := range []string{"booking", "train-large", "train-small"} {
			for _, class := range []api.OrderClass{api.OrderClassOnDemand, api.OrderClassReclaimable} {
				pool := standin.Pool{Service: service, Zone: zone, Class: class}
				if count := s.platform.OrderedCount(pool); count != s.runningTargets[pool] {
					s.pendingResizes = append(s.pendingResizes, poolResize{at: time.Now().Add(30 * time.Second), pool: pool, count: count})
				}
			}
		}
	}
}

func (s *simulation) resize(pool standin.Pool, count int) {
	for n := count; n < s.runningTargets[pool]; n++ {
		s.platform.RemoveInstance(fmt.Sprint(pool, n))
	}
	class := api.Class(pool.Class)
	for n := range count {
		s.platform.SetInstance(api.Instance{
			ID: fmt.Sprint(pool, n), Role: api.RoleTarget, Zone: pool.Zone, Service: &pool.Service, Class: &class, State: api.StateLive,
		})
	}
	s.runningTargets[pool] = count
}

func (s *simulation) injectRandomFault() {
	switch s.random.IntN(600) {
	case 0, 1:
		instance := s.instances[s.random.IntN(instanceCount)]
		instance.mu.Lock()
		instance.pausedUntil = time.Now().Add(time.Duration(s.random.IntN(20000)) * time.Millisecond)
		instance.mu.Unlock()
	case 2, 3, 4:
		faults := []standin.Fault{
			{LostResponseRate: 0.6},
			{Down: true},
			{DuplicateRate: 0.7},
			{LostResponseRate: 0.8, WritesOnly: true},
			{Delay: time.Duration(s.random.IntN(2500)) * time.Millisecond},
		}
		services := []standin.Service{standin.ServiceTable, standin.ServiceOrders, standin.ServiceInstances}
		fault := faults[s.random.IntN(len(faults))]
		fault.Calls = 1 + s.random.IntN(30)
		s.platform.Inject(services[s.random.IntN(len(services))], fault)
	case 5:
		s.trainSlots.Store(int64(targetSlots * (2 + s.random.IntN(12))))
	case 6, 7, 8, 9:
		s.reclaimZone(kerlannDeployment().zones[s.random.IntN(3)])
	}
}

// reclaimZone stops the reclaimable targets of a zone and starts no new ones for up to 300 s.
func (s *simulation) reclaimZone(zone string) {
	s.reclaimedUntil[zone] = time.Now().Add(time.Duration(s.random.IntN(300)) * time.Second)
	for pool := range s.runningTargets {
		if pool.Zone == zone && pool.Class == api.OrderClassReclaimable {
			s.resize(pool, 0)
		}
	}
}

// Guards against orders from two processes that both believe they hold the lease, and against orders that stay wrong
// after lost responses. It runs with a platform that refuses older terms and with one that does not.
//
// The simulation runs with GOMAXPROCS=1, like the one of package usage, because the race detector of Go 1.26.8 itself
// may crash with more.
func TestOneHolderOrders(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkSingleHolder(t, fencing) })
		})
	}
}

func checkSingleHolder(t *testing.T, fencing bool) {
	s := &simulation{
		random:   rand.New(rand.NewPCG(7, 0)),
		platform: standin.New(standin.Options{Fencing: fencing, Seed: 7, InstanceLag: time.Second}),
		lease:    &simulatedLease{holder: -1}, runningTargets: map[standin.Pool]int{}, reclaimedUntil: map[string]time.Time{},
	}
	s.trainSlots.Store(4 * targetSlots)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	s.startInstances(ctx, &group)
	for i := range 36000 {
		s.advance()
		s.injectRandomFault()
		if i%50 == 0 {
			s.scheduleResizes()
		}
		synctest.Wait()
	}
	s.platform.ClearAll()
	for _, instance := range s.instances {
		instance.mu.Lock()
		instance.random = nil
		instance.mu.Unlock()
	}
	s.trainSlots.Store(5 * targetSlots)
	for i := range 9000 {
		s.advance()
		if i%50 == 0 {
			s.scheduleResizes()
		}
	}
	cancel()
	group.Wait()
	seen := s.platform.Observed()
	resentIntents := int64(0)
	for _, w := range s.workers {
		resentIntents += w.Stats().ResentIntents
	}
	t.Logf("%d orders, per holder %v, %d terms, %d intents sent again", len(seen.Orders), seen.OrdersPerHolder, s.lease.term, resentIntents)
	if seen.StaleOrders != 0 || s.lease.term < 20 || resentIntents == 0 {
		t.Errorf("%d stale orders, %d terms, %d intents sent again; want none, at least 20, at least 1", seen.StaleOrders, s.lease.term, resentIntents)
	}
	slots := map[string]int{}
	for pool, count := range s.runningTargets {
		slots[pool.Service] += count * targetSlots
	}
	if slots["train-large"] != 5*targetSlots || slots["booking"] != 5*targetSlots {
		t.Errorf("slots at the end: %v", slots)
	}
}
