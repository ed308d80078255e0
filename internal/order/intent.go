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
	// termKey is the row that each holder writes before its first intent. Every intent is conditional on
	// its revision, so a former holder can commit no intent any more. The lease row itself would not
	// do, because its revision changes with every renewal.
	termKey = rowPrefix + "term"
)

// intent names an order before it is sent. There is one row per pool.
type intent struct {
	Order api.Order `json:"order"`
	// Resolved is set in memory once the order was seen to be accepted. The row stays as it is, because
	// the platform's list tells a successor the same.
	Resolved bool `json:"-"`
	revision int
}

// term is the value of the term row.
type term struct {
	Term   int64  `json:"term"`
	Holder string `json:"holder"`
}

// ledger is what the table holds about orders.
type ledger struct {
	term         term
	termRevision int
	intents      map[Pool]*intent
}

func readLedger(rows []api.Row) (ledger, error) {
	l := ledger{intents: map[Pool]*intent{}}
	for _, row := range rows {
		if row.Key == termKey {
			if err := json.Unmarshal([]byte(row.Value), &l.term); err != nil {
				return ledger{}, errors.Wrap(err, row.Key)
			}
			l.termRevision = row.Revision
			continue
		}
		read := &intent{revision: row.Revision}
		if err := json.Unmarshal([]byte(row.Value), read); err != nil {
			return ledger{}, errors.Wrap(err, row.Key)
		}
		l.intents[orderedPool(read.Order)] = read
	}
	return l, nil
}

func orderedPool(o api.Order) Pool {
	return Pool{Service: o.Service, Zone: o.Zone, Class: config.Class(o.Class)}
}

func intentKey(p Pool) string {
	return intentPrefix + p.Service + "/" + p.Zone + "/" + string(p.Class)
}

// accepted returns the orders that are in force by pool, and their ids.
func accepted(orders []api.Order) (Counts, map[string]bool) {
	counts, ids := Counts{}, map[string]bool{}
	for _, o := range orders {
		counts[orderedPool(o)] = o.Count
		ids[o.ID] = true
	}
	return counts, ids
}

// live counts the targets of the list that run and are not leaving.
func live(instances []api.Instance) Counts {
	counts := Counts{}
	for _, i := range instances {
		if i.Role != api.RoleTarget || i.State != api.StateLive || i.Service == nil || i.Class == nil {
			continue
		}
		counts[Pool{Service: *i.Service, Zone: i.Zone, Class: config.Class(*i.Class)}]++
	}
	return counts
}
