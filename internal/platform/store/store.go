// Package store is a client for the platform's key-value store. It uses the JSON gateway of
// the etcd v3 API.
package store

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable is returned if the store did not give a valid answer. A write may or may not
// have taken effect. The caller must read the keys to find out.
var ErrUnavailable = errors.New("store unavailable")

// LeaseID identifies a lease.
type LeaseID int64

// Value is a stored value. A ModRevision of 0 means that the key does not exist.
type Value struct {
	Data        []byte
	ModRevision Position
}

// Compare is a condition of a transaction: the key was last modified at ModRevision, or does
// not exist if ModRevision is 0.
type Compare struct {
	Key         string
	ModRevision Position
}

// Transaction applies all puts and deletes if all compares succeed, and otherwise none.
type Transaction struct {
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Put is a write of a transaction.
type Put struct {
	Key   string
	Data  []byte
	Lease LeaseID // 0 means no lease.
}

// ErrCompacted is returned if the changes after the requested revision have been compacted.
// The caller must list the items again.
var ErrCompacted = errors.New("history compacted")

// ErrNoLease is returned if the lease does not exist.
var ErrNoLease = errors.New("lease has ended")

// Item is a key with its value in a list, or a change of a key.
type Item struct {
	Key      string
	Data     []byte
	Position Position
	// Deleted items have no data.
	Deleted bool
}

// Tree is a store that can list the keys with a prefix and wait for changes to them. All errors
// wrap ErrUnavailable, ErrCompacted, ErrRestored or ErrNoLease, except for invalid requests.
type Tree interface {
	// List returns all items under a prefix and the position to pass to WatchChanges.
	List(ctx context.Context, prefix string) ([]Item, Position, error)
	// ListStale is like List at a tenth of its cost, but the result can be some seconds old.
	ListStale(ctx context.Context, prefix string) ([]Item, Position, error)
	// WatchChanges waits for changes under a prefix after a position, at most for the given time.
	// It returns the changes and the position to pass to the next call, or ErrRestored if the store is in
	// another era by now.
	WatchChanges(ctx context.Context, prefix string, after Position, wait time.Duration) ([]Item, Position, error)
	// Txn runs a transaction and reports whether its compares succeeded. If not, it returns
	// the current values of the compared keys. If the store is in another era than its compares, it
	// returns ErrRestored.
	Txn(ctx context.Context, t Transaction) (bool, []Value, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
}

// KV is a store that can read single keys and watch them. All errors wrap ErrUnavailable,
// except for invalid requests.
type KV interface {
	// Get reads a key.
	Get(ctx context.Context, key string) (Value, error)
	// GetAll reads several keys at one revision of the store.
	GetAll(ctx context.Context, keys []string) ([]Value, error)
	// Txn runs a transaction and reports whether its compares succeeded. If not, it returns
	// the current values of the compared keys.
	Txn(ctx context.Context, t Transaction) (bool, []Value, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Watch calls changed after each change of the key until ctx is canceled or the watch
	// fails. It always returns an error, which says why it ended.
	Watch(ctx context.Context, key string, changed func()) error
}
