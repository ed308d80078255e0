package platform

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// maxWriteTokens limits the write tokens that the table remembers; the oldest are evicted first.
const maxWriteTokens = 200_000

// table is a table of rows with transactions. It remembers the write tokens of recent transactions in the order
// of their commits, so that a repeated commit has no further effect.
type table struct {
	rows            map[string]api.Row
	revision        int
	revisionByToken map[string]int
	tokenOrder      []string
}

func newTable() table {
	return table{rows: map[string]api.Row{}, revisionByToken: map[string]int{}}
}

func (p *Platform) tableGet(c call) response {
	row, found := p.table.rows[c.queryParam("key")]
	if !found {
		return statusResponse(http.StatusNotFound)
	}
	return jsonResponse(row)
}

func (p *Platform) tableList(c call) response {
	rows := []api.Row{}
	for key, row := range p.table.rows {
		if strings.HasPrefix(key, c.queryParam("prefix")) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b api.Row) int { return strings.Compare(a.Key, b.Key) })
	return jsonResponse(rows)
}

type commitResult struct {
	Revision int `json:"revision"`
}

func (p *Platform) tableCommit(c call) response {
	var txn api.Txn
	if err := json.Unmarshal(c.body, &txn); err != nil || txn.Token == "" {
		return statusResponse(http.StatusBadRequest)
	}
	if revision, seen := p.table.revisionByToken[txn.Token]; seen {
		return jsonResponse(commitResult{Revision: revision})
	}
	if !p.table.hasExpectedRevisions(txn) {
		return statusResponse(http.StatusConflict)
	}
	return jsonResponse(commitResult{Revision: p.table.apply(txn)})
}

func (t *table) hasExpectedRevisions(txn api.Txn) bool {
	for _, w := range txn.Writes {
		if t.rows[w.Key].Revision != w.Expected {
			return false
		}
	}
	return true
}

// apply writes the transaction and returns its revision. All rows share one revision counter, so that a row that
// is deleted and written again never gets an earlier revision a second time.
func (t *table) apply(txn api.Txn) int {
	t.revision++
	for _, w := range txn.Writes {
		switch {
		case w.CheckOnly != nil && *w.CheckOnly:
		case w.Delete != nil && *w.Delete:
			delete(t.rows, w.Key)
		default:
			t.rows[w.Key] = api.Row{Key: w.Key, Revision: t.revision, Value: stringValue(w.Value)}
		}
	}
	t.recordToken(txn.Token)
	return t.revision
}

func (t *table) recordToken(token string) {
	t.revisionByToken[token] = t.revision
	t.tokenOrder = append(t.tokenOrder, token)
	if len(t.tokenOrder) > maxWriteTokens {
		delete(t.revisionByToken, t.tokenOrder[0])
		t.tokenOrder = t.tokenOrder[1:]
	}
}

func stringValue(s *string) string {
	if s == nil {
		return ""
	}
	return *s
}

// Row returns the current state of a row. Injected faults do not affect it.
func (p *Platform) Row(key string) (api.Row, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	row, found := p.table.rows[key]
	return row, found
}

// ObjectKeys returns the keys of all objects that begin with prefix. Injected faults do not affect it.
func (p *Platform) ObjectKeys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.objectKeys(prefix)
}

// Object returns the data of an object. Injected faults do not affect it.
func (p *Platform) Object(key string) ([]byte, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	data, found := p.objects[key]
	return data, found
}

func (p *Platform) objectPut(c call) response {
	key := c.queryParam("key")
	if key == "" {
		return statusResponse(http.StatusBadRequest)
	}
	if data, found := p.objects[key]; found {
		if bytes.Equal(data, c.body) {
			return statusResponse(http.StatusNoContent)
		}
		return statusResponse(http.StatusConflict)
	}
	p.objects[key] = c.body
	return statusResponse(http.StatusNoContent)
}

func (p *Platform) objectGet(c call) response {
	data, found := p.objects[c.queryParam("key")]
	if !found {
		return statusResponse(http.StatusNotFound)
	}
	return response{status: http.StatusOK, raw: append([]byte{}, data...)}
}

func (p *Platform) objectDelete(c call) response {
	if _, found := p.objects[c.queryParam("key")]; !found {
		return statusResponse(http.StatusNotFound)
	}
	delete(p.objects, c.queryParam("key"))
	return statusResponse(http.StatusNoContent)
}

func (p *Platform) objectList(c call) response {
	return jsonResponse(p.objectKeys(c.queryParam("prefix")))
}

func (p *Platform) objectKeys(prefix string) []string {
	keys := []string{}
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}
