package confsync

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
)

const (
	headKey       = "config/head"
	historyPrefix = "config/history/"
	bodyPrefix    = "config/body/"
)

// Record is the value of the configuration row and of its history rows.
type Record struct {
	Revision int       `json:"revision"`
	Object   string    `json:"object"`
	Author   string    `json:"author"`
	At       time.Time `json:"at"`
	// Token is the token of the commit that wrote the record. If the response to a commit is lost, the writer compares
	// it to find out whether the record is its own.
	Token string `json:"token"`
}

// head is the configuration row and the revision of the row in the table.
type head struct {
	Record
	rowRevision int
}

func historyKey(revision int) string { return fmt.Sprintf("%s%012d", historyPrefix, revision) }

func bodyKey(body []byte) string {
	sum := sha256.Sum256(body)
	return bodyPrefix + hex.EncodeToString(sum[:])
}

// readHead reads the configuration row. A row that does not exist counts as revision 0 and is not an error.
func (s Store) readHead(ctx context.Context) (head, error) {
	row, err := s.Table.Get(ctx, headKey)
	if errors.Is(err, api.ErrNotFound) {
		return head{}, nil
	}
	if err != nil {
		return head{}, errors.WithMessage(err, "read "+headKey)
	}
	h := head{rowRevision: row.Revision}
	if err := json.Unmarshal([]byte(row.Value), &h.Record); err != nil {
		return head{}, errors.Wrap(err, "decode "+headKey)
	}
	return h, nil
}

// readHistory reads the record of a past revision.
func (s Store) readHistory(ctx context.Context, revision int) (Record, error) {
	row, err := s.Table.Get(ctx, historyKey(revision))
	if err != nil {
		return Record{}, errors.WithMessage(err, "read configuration history")
	}
	var r Record
	return r, errors.Wrap(json.Unmarshal([]byte(row.Value), &r), "decode configuration history")
}

// readBody reads a body and verifies that it matches its content-addressed key.
func (s Store) readBody(ctx context.Context, key string) ([]byte, error) {
	body, err := s.Objects.Get(ctx, key)
	if err != nil {
		return nil, errors.WithMessage(err, "read configuration body")
	}
	if bodyKey(body) != key {
		return nil, errors.Errorf("configuration body does not match its key %s", key)
	}
	return body, nil
}

// putBody stores a body under its content-addressed key. It succeeds if the body is already stored.
func (s Store) putBody(ctx context.Context, body []byte) error {
	key := bodyKey(body)
	err := s.Objects.Put(ctx, key, body)
	if err == nil {
		return nil
	}
	if _, readErr := s.readBody(ctx, key); readErr == nil {
		return nil
	}
	return errors.WithMessage(err, "store configuration body")
}

// commit writes the row and its history row in one transaction.
func (s Store) commit(ctx context.Context, old head, next Record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode configuration row")
	}
	text := string(value)
	_, err = s.Table.Commit(ctx, api.Txn{Token: next.Token, Writes: []api.Write{
		{Key: headKey, Expected: old.rowRevision, Value: &text},
		{Key: historyKey(next.Revision), Expected: api.NoRevision, Value: &text},
	}})
	return err
}
