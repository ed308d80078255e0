package routing

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/egretspar/egretspar/internal/engine"
	"github.com/egretspar/egretspar/internal/retry"
	"github.com/egretspar/egretspar/internal/target"
)

const (
	// fullLoadReportAge is the age up to which the load in a report counts in full; after it, half counts.
	fullLoadReportAge = 5 * time.Second
	// maxLoadReportAge is the age from which the load in a report is ignored.
	maxLoadReportAge = 15 * time.Second
)

// member is the state of one target. The cache index refers to it by index, which is reused after the target
// is removed. A cache entry is valid only if its generation is the member's: the generation changes when the
// index is reused and when the target's cache may be empty.
type member struct {
	target target.Target
	// snapshot is an immutable copy of target for reservations.
	snapshot   *target.Target
	pool       *pool
	breaker    retry.Breaker
	index      int32
	generation uint32
	// ownInFlight counts requests in flight from this instance; ownInFlightAtReport is its value at the last
	// load report.
	ownInFlight         int
	ownInFlightAtReport int
	// remoteLoad is the estimated number of requests from other instances, according to the load reports.
	remoteLoad    int
	reportedAt    time.Time
	weightVersion int
	// startNumber identifies the engine run that the last load report came from.
	startNumber int
	// eventSequence is the sequence number of the last cache event.
	eventSequence int
	// eventGapAtMs is the time of the last gap in the cache events, in ms since Router.epoch. Cache entries
	// that were confirmed before it count half.
	eventGapAtMs uint32
	// position is the index in pool.members; it is valid while inPool is true.
	position int
	inPool   bool
	// tripped is true while the breaker is open or half-open.
	tripped   bool
	trippedAt time.Time
	// firstFailureAt is the time of the first failure since the last success.
	firstFailureAt time.Time
	// rendezvousHash is the hash of the target's id for rendezvous hashing.
	rendezvousHash uint64
}

// load returns the estimated number of requests on the target. Requests of this instance are counted exactly.
// The load of other instances comes from delayed reports and counts less the older the last report is.
func (m *member) load(now time.Time) float64 {
	load := float64(m.ownInFlight)
	if m.remoteLoad == 0 {
		return load
	}
	age := now.Sub(m.reportedAt)
	switch {
	case age < fullLoadReportAge:
		return load + float64(m.remoteLoad)
	case age < maxLoadReportAge:
		return load + float64(m.remoteLoad)/2
	}
	return load
}

func (m *member) slots() int { return max(1, m.target.Slots) }

// applyLoadReport updates the remote load from a report and returns the change. The report was made some time
// before it arrived, so it is assumed to include only as many own requests as are in flight now and were in
// flight at the previous report. Averaging with the previous value keeps the instances from all moving to a
// target that was recently idle.
func (m *member) applyLoadReport(load engine.Load, now time.Time) int {
	included := min(m.ownInFlight, m.ownInFlightAtReport)
	remoteLoad := (max(0, load.Running+load.Waiting-included) + m.remoteLoad) / 2
	change := remoteLoad - m.remoteLoad
	m.remoteLoad = remoteLoad
	m.ownInFlightAtReport = m.ownInFlight
	m.reportedAt = now
	return change
}

// pool holds the targets of one service that may get new requests.
type pool struct {
	// members lists the targets in the router's zone first; localCount is their number.
	members    []*member
	localCount int
	// sortedByID lists the members by id, so that all instances have the same order.
	sortedByID []*member
	// versions holds the weight version of each member, in the order of members, so that a scan for a version
	// reads little memory. It is noVersion while the member's breaker is not closed.
	versions []int32
	// tripped lists the members whose breaker is not closed.
	tripped    []*member
	totalLoad  int
	totalSlots int
}

// noVersion is below every version that a request can ask for.
const noVersion = -1

func newPool(members []*member, zone string) *pool {
	slices.SortFunc(members, func(a, b *member) int { return strings.Compare(a.target.ID, b.target.ID) })
	p := &pool{sortedByID: members, members: make([]*member, 0, len(members))}
	for _, m := range members {
		if m.target.Zone == zone {
			p.members = append(p.members, m)
		}
	}
	p.localCount = len(p.members)
	for _, m := range members {
		if m.target.Zone != zone {
			p.members = append(p.members, m)
		}
	}
	p.versions = make([]int32, len(members))
	for i, m := range p.members {
		m.pool, m.position, m.inPool = p, i, true
		p.totalLoad += m.ownInFlight + m.remoteLoad
		p.totalSlots += m.slots()
		if m.tripped {
			p.tripped = append(p.tripped, m)
		}
		p.updateVersion(m)
	}
	return p
}

func (p *pool) updateVersion(m *member) {
	version := int32(min(m.weightVersion, math.MaxInt32))
	if m.tripped {
		version = noVersion
	}
	p.versions[m.position] = version
}

// maxAffinityLoad returns the load up to which the target may be preferred for its cache:
// maxAffinityLoadRatio times its share of the pool's load, including the request to be placed. Requests have
// to wait at a target without a free slot, so for such a target the lower maxAffinityLoadRatioWhenFull applies.
func (p *pool) maxAffinityLoad(m *member) float64 {
	share := float64(p.totalLoad+1) * float64(m.slots()) / float64(p.totalSlots)
	return min(math.Ceil(maxAffinityLoadRatio*share), max(float64(m.slots()-1), maxAffinityLoadRatioWhenFull*share))
}

// failedRecently reports whether the member failed so recently that other instances may know the cause while
// this one does not yet.
func (m *member) failedRecently(now time.Time) bool {
	return !m.firstFailureAt.IsZero() && now.Sub(m.firstFailureAt) < retry.RecentFailureWindow
}

// hasRecentFailure reports whether any member whose breaker is not closed failed recently.
func (p *pool) hasRecentFailure(now time.Time) bool {
	return slices.ContainsFunc(p.tripped, func(m *member) bool { return m.failedRecently(now) })
}

// updateTripped updates the member's state and its pool after the breaker may have changed.
func (m *member) updateTripped(now time.Time) {
	tripped := m.breaker.Tripped()
	if tripped && !m.tripped {
		m.trippedAt = now
	}
	if tripped == m.tripped {
		return
	}
	m.tripped = tripped
	if !m.inPool {
		return
	}
	p := m.pool
	if tripped {
		p.tripped = append(p.tripped, m)
	} else {
		p.tripped = slices.DeleteFunc(p.tripped, func(other *member) bool { return other == m })
	}
	p.updateVersion(m)
}

// addPoolLoad adds a change of the member's load to the total of its pool.
func (m *member) addPoolLoad(change int) {
	if m.inPool {
		m.pool.totalLoad += change
	}
}
