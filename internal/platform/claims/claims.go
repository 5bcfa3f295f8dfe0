// Package claims keeps the idempotency keys of non-idempotent requests in the
// platform's store, so that a request runs at most once whichever hosts it reaches.
package claims

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// resolveAttempts is how often a claim whose answer was lost is tried again.
	resolveAttempts = 3
	resolveBackoff  = 50 * time.Millisecond
	// outageRest is how long the store is not asked for claims after it did not answer,
	// so that requests are refused at once instead of after a time-out each.
	outageRest = time.Second
	// recordAttempts and recordBackoff bound the writing of results in the background.
	recordAttempts = 60
	recordBackoff  = time.Second
	closeTimeout   = 5 * time.Second
	// leaseReuse is how long one lease is shared by new claims.
	leaseReuse = time.Hour
	// MaxAnswerBytes bounds the answers that are kept.
	MaxAnswerBytes = 64 << 10
)

// ErrNotAsked says that the store was not asked because it did not answer a moment ago.
// No claim was written, so none need be released.
var ErrNotAsked = fmt.Errorf("store not asked: %w", store.ErrUnavailable)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// Claimed means that the request may have been dispatched.
	Claimed State = "claimed"
	// Answered means that the request has ended with the recorded answer.
	Answered State = "answered"
	// Failed means that the request was dispatched and its outcome is recorded.
	Failed State = "failed"
	// Released means that the request was not dispatched; the key may be used again.
	Released State = "released"
)

// Record is a claim as it is stored.
type Record struct {
	State State `json:"state"`
	// Token identifies the request that holds the claim.
	Token string `json:"token"`
	// Fingerprint is the digest of the request, to detect a key used for another one.
	Fingerprint string `json:"fingerprint"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// Kept is true if the body is stored.
	Kept    bool            `json:"kept,omitempty"`
	Failure outcome.Outcome `json:"failure,omitempty"`
	Reason  outcome.Reason  `json:"reason,omitempty"`
}

// Key identifies a claim.
type Key string

// KeyFor returns the key of a claim: accounts do not share idempotency keys.
func KeyFor(account object.AccountName, idempotencyKey string) Key {
	digest := sha256.Sum256([]byte(string(account) + "\x00" + idempotencyKey))
	return Key(hex.EncodeToString(digest[:]))
}

// Claims reads and writes claims.
type Claims struct {
	kv        store.KV
	prefix    string
	retention time.Duration
	ctx       context.Context
	stop      context.CancelFunc
	done      sync.WaitGroup

	// restUntil is the end of the rest after an outage, in nanoseconds since 1970.
	restUntil atomic.Int64

	lease    atomic.Pointer[sharedLease]
	granting singleflight.Group
}

// sharedLease is the lease of the claims that are written within an hour.
type sharedLease struct {
	id        store.LeaseID
	grantedAt time.Time
}

// New creates claims below the prefix that are kept for at least the retention time.
func New(kv store.KV, prefix string, retention time.Duration) *Claims {
	ctx, stop := context.WithCancel(context.Background())
	return &Claims{kv: kv, prefix: prefix + "claim/", retention: retention, ctx: ctx, stop: stop}
}

// Close waits for background writes. Those that the store does not take in time are
// dropped; their claims stay, so that the requests still run at most once.
func (c *Claims) Close() error {
	limit := time.AfterFunc(closeTimeout, c.stop)
	defer limit.Stop()
	c.done.Wait()
	c.stop()
	return nil
}

// Acquire claims the key for a token. It returns nil if the token holds the claim now,
// else the record of the request that does. An error means that nobody knows whether the
// claim was written; the caller must not dispatch and must call Release, unless the error is
// ErrNotAsked.
func (c *Claims) Acquire(ctx context.Context, key Key, token, fingerprint string) (*Record, error) {
	if time.Now().UnixNano() < c.restUntil.Load() {
		return nil, fmt.Errorf("claim key: %w", ErrNotAsked)
	}
	var lastErr error
	for attempt := range resolveAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("claim key: %w", ctx.Err())
			case <-time.After(resolveBackoff << attempt):
			}
		}
		other, err := c.acquireOnce(ctx, key, token, fingerprint)
		if err == nil {
			return other, nil
		}
		lastErr = err
	}
	c.restUntil.Store(time.Now().Add(outageRest).UnixNano())
	return nil, fmt.Errorf("claim key: %w", lastErr)
}

// acquireOnce tries to write the claim. If the answer to an earlier try was lost, the
// token in the record tells whether that try took effect.
func (c *Claims) acquireOnce(ctx context.Context, key Key, token, fingerprint string) (*Record, error) {
	lease, err := c.currentLease(ctx)
	if err != nil {
		return nil, err
	}
	path := c.prefix + string(key)
	data, err := json.Marshal(Record{State: Claimed, Token: token, Fingerprint: fingerprint})
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	revision := int64(0)
	for {
		won, current, err := c.kv.Txn(ctx, store.Transaction{
			Compares: []store.Compare{{Key: path, ModRevision: revision}},
			Puts:     []store.Put{{Key: path, Data: data, Lease: lease}},
		})
		if err != nil {
			return nil, fmt.Errorf("write claim: %w", err)
		}
		if won {
			return nil, nil
		}
		revision = current[0].ModRevision
		if revision == 0 {
			continue // The claim expired in between.
		}
		var other Record
		if err := json.Unmarshal(current[0].Data, &other); err != nil {
			return nil, fmt.Errorf("decode claim: %w", err)
		}
		if other.Token == token && other.State == Claimed {
			return nil, nil
		}
		if other.State != Released {
			return &other, nil
		}
	}
}

// currentLease returns a lease that outlives the retention time. Claims share it, and
// one call to the store, so that the store is not asked for a lease each.
func (c *Claims) currentLease(ctx context.Context) (store.LeaseID, error) {
	if current := c.lease.Load(); current != nil && time.Since(current.grantedAt) < leaseReuse {
		return current.id, nil
	}
	shared := c.granting.DoChan("", func() (any, error) {
		id, err := c.kv.Grant(c.ctx, c.retention+leaseReuse)
		if err != nil {
			return nil, fmt.Errorf("grant lease: %w", err)
		}
		c.lease.Store(&sharedLease{id, time.Now()})
		return id, nil
	})
	select {
	case <-ctx.Done():
		return 0, fmt.Errorf("grant lease: %w", ctx.Err())
	case result := <-shared:
		if result.Err != nil {
			return 0, result.Err
		}
		return result.Val.(store.LeaseID), nil
	}
}

// Release gives up a claim whose request was not dispatched. It writes a record even if
// there is none, so that a claim that arrives late finds the key taken.
func (c *Claims) Release(key Key, token, fingerprint string) {
	c.record(key, Record{State: Released, Token: token, Fingerprint: fingerprint})
}

// Record stores the result of a claimed request.
func (c *Claims) Record(key Key, result Record) {
	if len(result.Body) > MaxAnswerBytes {
		result.Body = nil
		result.Kept = false
	}
	c.record(key, result)
}

// record writes in the background, and again until the store confirms it.
func (c *Claims) record(key Key, r Record) {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		for range recordAttempts {
			if err := c.recordOnce(key, r); !errors.Is(err, store.ErrUnavailable) {
				return
			}
			select {
			case <-c.ctx.Done():
				return
			case <-time.After(recordBackoff):
			}
		}
	}()
}

// recordOnce replaces the record unless it belongs to another request.
func (c *Claims) recordOnce(key Key, r Record) error {
	lease, err := c.currentLease(c.ctx)
	if err != nil {
		return err
	}
	path := c.prefix + string(key)
	data, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode claim: %w", err)
	}
	for {
		current, err := c.kv.Get(c.ctx, path)
		if err != nil {
			return fmt.Errorf("read claim: %w", err)
		}
		if current.ModRevision != 0 {
			var held Record
			if err := json.Unmarshal(current.Data, &held); err != nil {
				return fmt.Errorf("decode claim: %w", err)
			}
			if held.Token != r.Token {
				return nil
			}
		}
		won, _, err := c.kv.Txn(c.ctx, store.Transaction{
			Compares: []store.Compare{{Key: path, ModRevision: current.ModRevision}},
			Puts:     []store.Put{{Key: path, Data: data, Lease: lease}},
		})
		if err != nil {
			return fmt.Errorf("write claim: %w", err)
		}
		if won {
			return nil
		}
	}
}
