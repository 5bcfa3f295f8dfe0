package object

import (
	"encoding/json"
	"slices"
)

// RolloutState is how far a rollout has come.
type RolloutState string

// The states of a rollout.
const (
	// RolloutOrdered rollouts have no record yet; the new version gets nothing.
	RolloutOrdered RolloutState = "ordered"
	// RolloutRunning rollouts are being judged.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted and RolloutRolledBack are final.
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// Rollout moves the requests of a pool to targets of another version. It is kept in the store
// as a record, so it outlives every host.
type Rollout struct {
	Pool PoolName `json:"pool"`
	// To is the version that the requests go to, and From are those that served them before.
	To   Generation   `json:"to"`
	From []Generation `json:"from"`
	// Order is the revision of the store at which the rollout was ordered. A later order
	// begins a new rollout.
	Order int64        `json:"order"`
	State RolloutState `json:"state"`
	// BegunMS is when the record was first written, in Unix milliseconds.
	BegunMS int64 `json:"begun-ms"`
	// Duration is the time within which the operator wants it done.
	Duration Duration `json:"duration"`
	// Evidence is what an arbiter has seen of the versions, for the next one.
	Evidence json.RawMessage `json:"evidence,omitempty"`
	// RecordRevision is the revision of the record in the store, 0 if there is none.
	RecordRevision int64 `json:"-"`
}

// Settled reports whether the rollout has ended.
func (r *Rollout) Settled() bool { return r.State == RolloutCompleted || r.State == RolloutRolledBack }

// Allows reports whether targets of a version may get requests at all. A version that was left
// may not, whatever its targets say of themselves.
func (r *Rollout) Allows(g Generation) bool {
	switch r.State {
	case RolloutCompleted:
		return g == r.To || !slices.Contains(r.From, g)
	case RolloutRolledBack:
		return g != r.To
	}
	return true
}

// WithRollouts returns the snapshot with the rollouts that are known. Targets of versions that
// were left are drained.
func (s *Snapshot) WithRollouts(rollouts []*Rollout) *Snapshot {
	next := *s
	next.rollouts = make(map[PoolName]*Rollout, len(rollouts))
	for _, r := range rollouts {
		next.rollouts[r.Pool] = r
	}
	next.pools = make(map[PoolName]*PoolView, len(s.pools))
	for name, view := range s.pools {
		next.pools[name] = view.without(next.rollouts[name])
	}
	return &next
}

// without returns the view with the targets drained that a rollout does not allow.
func (v *PoolView) without(r *Rollout) *PoolView {
	if r == nil || !r.Settled() {
		return v
	}
	changed := *v
	changed.Targets = slices.Clone(v.Targets)
	for n, t := range v.Targets {
		if !r.Allows(t.Generation) {
			drained := *t
			drained.Drain = true
			changed.Targets[n] = &drained
		}
	}
	return &changed
}

// Rollout returns the newest rollout of a pool, or nil.
func (s *Snapshot) Rollout(pool PoolName) *Rollout { return s.rollouts[pool] }

// Rollouts returns the newest rollout of each pool that had one. The map must not be changed.
func (s *Snapshot) Rollouts() map[PoolName]*Rollout { return s.rollouts }
