// Package confsync distributes the configuration of a region. It writes a new revision by compare-and-set, distributes
// it to all entry instances, and decides whether an instance may serve under the revision that it has in force.
package confsync

import (
	"context"

	"github.com/egretspar/egretspar/internal/platform/api"
)

// Table is the part of the platform's table service that Store uses.
type Table interface {
	Get(ctx context.Context, key string) (api.Row, error)
	Commit(ctx context.Context, txn api.Txn) (int, error)
}

// Objects is the part of the platform's object store that Store uses.
type Objects interface {
	Put(ctx context.Context, key string, data []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
}

// Store reads and writes the configuration row and its history in the table, and configuration bodies in the object
// store.
type Store struct {
	Table   Table
	Objects Objects
}

// Peers communicates with the other entry instances.
type Peers interface {
	// Push sends a configuration to linked peers that are not known to have it.
	Push(revision int, body []byte)
	// Fetch requests the configuration that a peer has in force.
	Fetch(ctx context.Context, instance string) (revision int, body []byte, err error)
	// Announce tells all peers that this instance has the revision in force.
	Announce(revision int)
}
