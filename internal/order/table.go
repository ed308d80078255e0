package order

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/config"
	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	rowPrefix    = "order/"
	intentPrefix = rowPrefix + "intents/"
	// termKey is the key of the term row, which each lease holder writes before its first intent. Every intent is
	// committed on condition that the revision of this row is unchanged, so a former holder cannot commit an intent
	// any more. The lease row cannot serve this purpose, because its revision changes with every renewal.
	termKey = rowPrefix + "term"
)

// intent is an order that is stored before it is sent. There is one row per pool.
type intent struct {
	Order api.Order `json:"order"`
	// Resolved is set in memory once the platform is known to have accepted the order. It is not stored, because a new
	// lease holder sees the accepted order in the platform's list.
	Resolved bool `json:"-"`
	revision int
}

// termRow is the value of the term row.
type termRow struct {
	Term   int64  `json:"term"`
	Holder string `json:"holder"`
}

// tableState holds the decoded order rows of the table.
type tableState struct {
	term         termRow
	termRevision int
	intents      map[Pool]*intent
}

func decodeTableState(rows []api.Row) (tableState, error) {
	s := tableState{intents: map[Pool]*intent{}}
	for _, row := range rows {
		if row.Key == termKey {
			if err := json.Unmarshal([]byte(row.Value), &s.term); err != nil {
				return tableState{}, errors.Wrap(err, row.Key)
			}
			s.termRevision = row.Revision
			continue
		}
		decoded := &intent{revision: row.Revision}
		if err := json.Unmarshal([]byte(row.Value), decoded); err != nil {
			return tableState{}, errors.Wrap(err, row.Key)
		}
		s.intents[poolOfOrder(decoded.Order)] = decoded
	}
	return s, nil
}

func poolOfOrder(o api.Order) Pool {
	return Pool{Service: o.Service, Zone: o.Zone, Class: config.Class(o.Class)}
}

func intentKey(p Pool) string {
	return intentPrefix + p.Service + "/" + p.Zone + "/" + string(p.Class)
}

// acceptedOrders returns the number of ordered targets of each pool in the platform's list of orders, and the ids of
// these orders.
func acceptedOrders(orders []api.Order) (TargetCounts, map[string]bool) {
	counts, ids := TargetCounts{}, map[string]bool{}
	for _, o := range orders {
		counts[poolOfOrder(o)] = o.Count
		ids[o.ID] = true
	}
	return counts, ids
}

// liveTargets counts by pool the targets in the list that run and are not leaving.
func liveTargets(instances []api.Instance) TargetCounts {
	counts := TargetCounts{}
	for _, i := range instances {
		if i.Role != api.RoleTarget || i.State != api.StateLive || i.Service == nil || i.Class == nil {
			continue
		}
		counts[Pool{Service: *i.Service, Zone: i.Zone, Class: config.Class(*i.Class)}]++
	}
	return counts
}
