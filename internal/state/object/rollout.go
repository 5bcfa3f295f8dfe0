package object

import (
	"encoding/json"
	"slices"

	"redwinglock/internal/platform/store"
)

// RolloutState is the progress of a rollout.
type RolloutState string

// The states of a rollout.
const (
	// RolloutOrdered means that the rollout has no record in the store yet. The new version
	// receives no requests.
	RolloutOrdered RolloutState = "ordered"
	// RolloutRunning means that the new version is being evaluated.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted and RolloutRolledBack are final states.
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled-back"
)

// After reports whether a rollout of one order reaches this state after another one. Final states are never left.
func (s RolloutState) After(other RolloutState) bool { return s.progress() > other.progress() }

func (s RolloutState) progress() int {
	switch s {
	case RolloutOrdered:
		return 0
	case RolloutRunning:
		return 1
	}
	return 2
}

// Rollout moves the requests of a pool to targets of another version. Its record is kept in
// the store, so it survives the failure of any host.
type Rollout struct {
	Pool PoolName `json:"pool"`
	// To is the new version, From are the previous versions.
	To   Generation   `json:"to"`
	From []Generation `json:"from"`
	// OrderRevision is the position in the store at which the operator requested the rollout. A later
	// request starts a new rollout.
	OrderRevision store.Position `json:"order"`
	State         RolloutState   `json:"state"`
	// StartedMS is the time of the first write of the record, in Unix milliseconds.
	StartedMS int64 `json:"begun-ms"`
	// Duration is the time within which the operator requests the rollout to finish.
	Duration Duration `json:"duration"`
	// Evidence holds the measurements of the versions by an arbiter, so that the next arbiter
	// can continue from them.
	Evidence json.RawMessage `json:"evidence,omitempty"`
	// RecordRevision is the position of the record in the store, 0 if there is no record.
	RecordRevision store.Position `json:"-"`
	// Unsaved is set if the store holds an earlier state of the record, or none, since it was restored from an
	// older copy.
	Unsaved bool `json:"-"`
}

// Finished reports whether the rollout has ended.
func (r *Rollout) Finished() bool { return r.State == RolloutCompleted || r.State == RolloutRolledBack }

// Allows reports whether targets of a version may receive requests. A version that a finished
// rollout has replaced or rolled back may not, even if its targets report that they are ready.
func (r *Rollout) Allows(g Generation) bool {
	switch r.State {
	case RolloutCompleted:
		return g == r.To || !slices.Contains(r.From, g)
	case RolloutRolledBack:
		return g != r.To
	}
	return true
}

// WithRollouts returns a copy of the snapshot with the given rollouts. Targets of versions that
// a finished rollout does not allow are drained.
func (s *Snapshot) WithRollouts(rollouts []*Rollout) *Snapshot {
	next := *s
	next.rollouts = make(map[PoolName]*Rollout, len(rollouts))
	for _, r := range rollouts {
		next.rollouts[r.Pool] = r
	}
	next.pools = make(map[PoolName]*PoolView, len(s.pools))
	for name, view := range s.pools {
		next.pools[name] = view.withDrainedTargets(next.rollouts[name])
	}
	return &next
}

// withDrainedTargets returns the view with all targets drained that a finished rollout does not
// allow.
func (v *PoolView) withDrainedTargets(r *Rollout) *PoolView {
	if r == nil || !r.Finished() {
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

// Rollouts returns the newest rollout of each pool that has one. The map must not be changed.
func (s *Snapshot) Rollouts() map[PoolName]*Rollout { return s.rollouts }
