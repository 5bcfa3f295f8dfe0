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

// ErrCompacted says that the history from which a reader wanted to go on is gone. It
// must list again.
var ErrCompacted = errors.New("history compacted")

// ErrNoLease says that the lease does not exist any more.
var ErrNoLease = errors.New("lease has ended")

// Item is a key as a list or a change shows it.
type Item struct {
	Key      string
	Data     []byte
	Revision int64
	// Deleted items have no data.
	Deleted bool
}

// Tree is a store whose keys can be listed and followed by prefix. All errors wrap
// ErrUnavailable, ErrCompacted or ErrNoLease unless the request itself is wrong.
type Tree interface {
	// List returns all items below a prefix and the revision from which Follow goes on.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// ListStale is List at a tenth of its cost. What it returns held some seconds ago.
	ListStale(ctx context.Context, prefix string) ([]Item, int64, error)
	// Follow waits for changes below a prefix after a revision, at most for the given time,
	// and returns them with the revision from which to go on.
	Follow(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
	// Txn carries out a transaction and reports whether its compares held. If not, it
	// returns the current values of the compared keys.
	Txn(ctx context.Context, t Transaction) (bool, []Value, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
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
