// Package claims stores the idempotency keys of non-idempotent requests in the key-value
// store, so that a request runs at most once even if it is sent to several hosts.
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
	// acquireAttempts is the maximum number of attempts to write a claim. If the answer of the
	// store is lost, the next attempt finds out whether the claim was written.
	acquireAttempts = 3
	acquireBackoff  = 50 * time.Millisecond
	// outageBackoff is how long no claims are sent to the store after all attempts to claim a
	// key have failed. Requests are then refused immediately instead of after a timeout each.
	outageBackoff = time.Second
	// recordAttempts and recordBackoff limit the retries of background writes.
	recordAttempts = 60
	recordBackoff  = time.Second
	closeTimeout   = 5 * time.Second
	// leaseReuse is how long new claims share one lease.
	leaseReuse = time.Hour
	// MaxAnswerBytes is the maximum size of an answer body that is stored.
	MaxAnswerBytes = 64 << 10
)

// ErrStoreNotCalled is returned if the store was not called because it failed a moment ago. No
// claim was written, so there is nothing to release.
var ErrStoreNotCalled = fmt.Errorf("store not called after a recent failure: %w", store.ErrUnavailable)

// State is the state of a claim.
type State string

const (
	// Claimed means that the request may have been dispatched.
	Claimed State = "claimed"
	// Answered means that the request was answered. The record has the status and, if BodyStored
	// is set, the body.
	Answered State = "answered"
	// Failed means that the request was dispatched and failed. The record has the outcome.
	Failed State = "failed"
	// Released means that the request was not dispatched. The key can be claimed again.
	Released State = "released"
)

// Record is the stored form of a claim.
type Record struct {
	State State `json:"state"`
	// Token identifies the request that holds the claim.
	Token string `json:"token"`
	// Fingerprint is the digest of the request. It detects the use of one key for different
	// requests.
	Fingerprint string `json:"fingerprint"`
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"content-type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyStored is true if the body of the answer is stored.
	BodyStored bool            `json:"kept,omitempty"`
	Failure    outcome.Outcome `json:"failure,omitempty"`
	Reason     outcome.Reason  `json:"reason,omitempty"`
}

// Key identifies a claim.
type Key string

// KeyFor returns the key of a claim. It includes the account, so that accounts can use the
// same idempotency key independently.
func KeyFor(account object.AccountName, idempotencyKey string) Key {
	digest := sha256.Sum256([]byte(string(account) + "\x00" + idempotencyKey))
	return Key(hex.EncodeToString(digest[:]))
}

// Claims reads and writes claims.
type Claims struct {
	kv         store.KV
	prefix     string
	retention  time.Duration
	ctx        context.Context
	stop       context.CancelFunc
	background sync.WaitGroup

	// skipStoreUntil is the end of the backoff after an outage, in Unix nanoseconds.
	skipStoreUntil atomic.Int64

	lease       atomic.Pointer[sharedLease]
	leaseGrants singleflight.Group
}

// sharedLease is a lease that new claims share for the time leaseReuse.
type sharedLease struct {
	id        store.LeaseID
	grantedAt time.Time
}

// New creates a Claims that stores claims under the prefix. Each claim is kept for at least
// the retention time.
func New(kv store.KV, prefix string, retention time.Duration) *Claims {
	ctx, stop := context.WithCancel(context.Background())
	return &Claims{kv: kv, prefix: prefix + "claim/", retention: retention, ctx: ctx, stop: stop}
}

// Close waits for background writes up to closeTimeout and then cancels the rest. The claims
// of canceled writes stay in the store, so that their requests still run at most once.
func (c *Claims) Close() error {
	limit := time.AfterFunc(closeTimeout, c.stop)
	defer limit.Stop()
	c.background.Wait()
	c.stop()
	return nil
}

// Acquire claims the key for a token. It returns nil if the token now holds the claim, and
// otherwise the record of the request that claimed the key first. After an error it is unknown
// whether the claim was written. The caller must then not dispatch the request and must call
// Release, unless the error is ErrStoreNotCalled.
func (c *Claims) Acquire(ctx context.Context, key Key, token, fingerprint string) (*Record, error) {
	if time.Now().UnixNano() < c.skipStoreUntil.Load() {
		return nil, fmt.Errorf("claim key: %w", ErrStoreNotCalled)
	}
	var lastErr error
	for attempt := range acquireAttempts {
		if attempt > 0 {
			select {
			case <-ctx.Done():
				return nil, fmt.Errorf("claim key: %w", ctx.Err())
			case <-time.After(acquireBackoff << attempt):
			}
		}
		existing, err := c.acquireOnce(ctx, key, token, fingerprint)
		if err == nil {
			return existing, nil
		}
		lastErr = err
	}
	c.skipStoreUntil.Store(time.Now().Add(outageBackoff).UnixNano())
	return nil, fmt.Errorf("claim key: %w", lastErr)
}

// acquireOnce tries to write the claim. If the answer to an earlier attempt was lost, the
// token in the stored record shows whether that attempt succeeded.
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
	revision := store.Position(0)
	for {
		succeeded, current, err := c.kv.Txn(ctx, store.Transaction{
			Compares: []store.Compare{{Key: path, ModRevision: revision}},
			Puts:     []store.Put{{Key: path, Data: data, Lease: lease}},
		})
		if err != nil {
			return nil, fmt.Errorf("write claim: %w", err)
		}
		if succeeded {
			return nil, nil
		}
		revision = current[0].ModRevision
		if revision == 0 {
			continue // The claim has expired since the last read.
		}
		var existing Record
		if err := json.Unmarshal(current[0].Data, &existing); err != nil {
			return nil, fmt.Errorf("decode claim: %w", err)
		}
		if existing.Token == token && existing.State == Claimed {
			return nil, nil
		}
		if existing.State != Released {
			return &existing, nil
		}
	}
}

// currentLease returns a lease that lasts at least for the retention time. Claims share it, and
// concurrent callers share the request that creates it, so that the store does not have to
// create a lease for each claim.
func (c *Claims) currentLease(ctx context.Context) (store.LeaseID, error) {
	if current := c.lease.Load(); current != nil && time.Since(current.grantedAt) < leaseReuse {
		return current.id, nil
	}
	shared := c.leaseGrants.DoChan("", func() (any, error) {
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

// Release releases the claim of a request that was not dispatched, in the background. It writes
// a record even if the claim does not exist, so that a delayed write of the claim fails.
func (c *Claims) Release(key Key, token, fingerprint string) {
	c.record(key, Record{State: Released, Token: token, Fingerprint: fingerprint})
}

// Record stores the result of a claimed request in the background. It omits a body that is
// larger than MaxAnswerBytes.
func (c *Claims) Record(key Key, result Record) {
	if len(result.Body) > MaxAnswerBytes {
		result.Body = nil
		result.BodyStored = false
	}
	c.record(key, result)
}

// record writes a record in the background. It retries while the store is unavailable.
func (c *Claims) record(key Key, r Record) {
	c.background.Add(1)
	go func() {
		defer c.background.Done()
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

// recordOnce writes a record unless the stored one belongs to another request.
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
			var existing Record
			if err := json.Unmarshal(current.Data, &existing); err != nil {
				return fmt.Errorf("decode claim: %w", err)
			}
			if existing.Token != r.Token {
				return nil
			}
		}
		succeeded, _, err := c.kv.Txn(c.ctx, store.Transaction{
			Compares: []store.Compare{{Key: path, ModRevision: current.ModRevision}},
			Puts:     []store.Put{{Key: path, Data: data, Lease: lease}},
		})
		if err != nil {
			return fmt.Errorf("write claim: %w", err)
		}
		if succeeded {
			return nil
		}
	}
}
