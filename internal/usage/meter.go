package usage

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Objects is the object store.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, key string) error
}

// Meter sums usage in memory until it is written to the object store. It is safe for concurrent use.
type Meter struct {
	instance      string
	startedUnixMs int64
	windowLength  atomic.Int64

	mu     sync.Mutex
	ledger ledger
	// flushMu serializes flushes, so that the statements of a window are written in order.
	flushMu sync.Mutex
}

// NewMeter returns a meter for a run of the instance that starts now.
func NewMeter(instance string) *Meter {
	m := &Meter{instance: instance, startedUnixMs: time.Now().UnixMilli()}
	m.windowLength.Store(int64(defaultWindowLength))
	return m
}

// Record adds one finished request, which occupied a target for the given time.
func (m *Meter) Record(team, service string, promptTokens, generatedTokens int, target time.Duration) {
	now := time.Now()
	s := usageSums{requests: 1, promptTokens: int64(promptTokens), generatedTokens: int64(generatedTokens), targetTime: target}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.add(now, time.Duration(m.windowLength.Load()), usageKey{team: team, service: service}, s)
}

// Flush writes all usage that was recorded before the call. After an error, the usage that was not written stays in
// memory for the next call.
func (m *Meter) Flush(ctx context.Context, objects Objects) error {
	m.flushMu.Lock()
	defer m.flushMu.Unlock()
	m.mu.Lock()
	statements := m.ledger.unconfirmedStatements(m.instance, m.startedUnixMs)
	m.mu.Unlock()
	for _, p := range statements {
		if err := m.writeStatement(ctx, objects, p); err != nil {
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.dropStoredWindows(time.Now())
	return nil
}

func (m *Meter) writeStatement(ctx context.Context, objects Objects, p pendingStatement) error {
	data, err := json.Marshal(p.content)
	if err != nil {
		return errors.Wrap(err, "encode usage statement")
	}
	key := statementKey{window: p.content.Window, writer: writerName(m.instance, m.startedUnixMs), sequence: p.content.Sequence}
	if err := objects.Put(ctx, key.String(), data); err != nil {
		return errors.WithMessage(err, "write usage statement")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ledger.confirm(p)
	return nil
}

// LostRequests returns the number of requests in windows that were dropped, because more than maxOpenWindows were open
// before their usage was completely written.
func (m *Meter) LostRequests() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ledger.dropped.requests
}
