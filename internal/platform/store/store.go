// Package store speaks to the platform's key-value service in the published
// JSON-over-HTTP form of etcd v3.
package store

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable says that the store did not answer. A write may or may not have taken
// effect; the caller must read back to find out.
var ErrUnavailable = errors.New("store unavailable")

// LeaseID identifies a lease.
type LeaseID int64

// Value is a stored value. A ModRevision of 0 means that the key does not exist.
type Value struct {
	Data        []byte
	ModRevision int64
}

// Compare is a condition of a transaction: the key was last modified at the revision.
// Revision 0 stands for a key that does not exist.
type Compare struct {
	Key         string
	ModRevision int64
}

// Transaction writes all puts and deletes if all compares hold, else nothing.
type Transaction struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Put is a write of a transaction.
type Put struct {
	Key   string
	Data  []byte
	Lease LeaseID // 0 for none.
}

// KV is what redwinglock needs of a store. All errors wrap ErrUnavailable unless the
// request itself is wrong.
type KV interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Value, error)
	// GetAll reads several keys at one revision of the store.
	GetAll(ctx context.Context, keys []string) ([]Value, error)
	// Txn carries out a transaction and reports whether its compares held. If not, it
	// returns the current values of the compared keys.
	Txn(ctx context.Context, t Transaction) (bool, []Value, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Watch calls changed after each change of the key until ctx ends or the watch
	// fails, and returns why it ended.
	Watch(ctx context.Context, key string, changed func()) error
}
