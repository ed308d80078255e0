package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/egretspar/egretspar/internal/platform/api"
	"github.com/egretspar/egretspar/internal/platform/rpc"
)

// Table is the client of the transactional table service.
type Table struct{ caller *rpc.Caller }

// Get returns a row, or api.ErrNotFound.
func (t *Table) Get(ctx context.Context, key string) (api.Row, error) {
	r := rpc.Request{Operation: TableGet, Method: http.MethodGet, Path: "/v1/table/row", Query: url.Values{"key": {key}}, ReadOnly: true}
	body, err := t.caller.Do(ctx, r)
	return rpc.Decode[api.Row](r, body, err)
}

// List returns the rows whose keys begin with prefix, in the order of their keys.
func (t *Table) List(ctx context.Context, prefix string) ([]api.Row, error) {
	r := rpc.Request{Operation: TableList, Method: http.MethodGet, Path: "/v1/table/rows", Query: url.Values{"prefix": {prefix}}, ReadOnly: true}
	body, err := t.caller.Do(ctx, r)
	return rpc.Decode[[]api.Row](r, body, err)
}

type commitResponse struct {
	Revision int `json:"revision"`
}

// Commit writes all rows of the transaction or none and returns the revision of the written rows. A transaction without
// a token gets one, so that the client's retries do not write again. A caller that retries a commit itself must set the
// token.
func (t *Table) Commit(ctx context.Context, txn api.Txn) (int, error) {
	if txn.Token == "" {
		txn.Token = uuid.NewString()
	}
	body, err := json.Marshal(txn)
	if err != nil {
		return api.NoRevision, errors.Wrap(rpc.ErrRefused, err.Error())
	}
	r := rpc.Request{Operation: TableCommit, Method: http.MethodPost, Path: "/v1/table/commit", Body: body}
	body, err = t.caller.Do(ctx, r)
	response, err := rpc.Decode[commitResponse](r, body, err)
	return response.Revision, err
}

// Objects is the client of the object store. Each key can be written once.
type Objects struct{ caller *rpc.Caller }

// Put writes an object. Writing the same data again has no effect; for other data under an existing key it returns
// api.ErrConflict.
func (o *Objects) Put(ctx context.Context, key string, data []byte) error {
	r := rpc.Request{Operation: ObjectPut, Method: http.MethodPut, Path: "/v1/objects", Query: url.Values{"key": {key}}, Body: data}
	_, err := o.caller.Do(ctx, r)
	return err
}

// Get returns an object's data, or api.ErrNotFound.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	r := rpc.Request{Operation: ObjectGet, Method: http.MethodGet, Path: "/v1/objects", Query: url.Values{"key": {key}}, ReadOnly: true}
	return o.caller.Do(ctx, r)
}

// List returns the keys that begin with prefix, in alphabetical order.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	r := rpc.Request{Operation: ObjectList, Method: http.MethodGet, Path: "/v1/objects/keys", Query: url.Values{"prefix": {prefix}}, ReadOnly: true}
	body, err := o.caller.Do(ctx, r)
	return rpc.Decode[[]string](r, body, err)
}

// Delete removes an object. A missing object is not an error.
func (o *Objects) Delete(ctx context.Context, key string) error {
	r := rpc.Request{Operation: ObjectDelete, Method: http.MethodDelete, Path: "/v1/objects", Query: url.Values{"key": {key}}}
	_, err := o.caller.Do(ctx, r)
	if errors.Is(err, api.ErrNotFound) {
		return nil
	}
	return err
}
