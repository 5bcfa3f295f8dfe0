package shard

import (
	"encoding/json"
	"math"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// RolloutLimits limits the requests that a bad version may get during a rollout.
type RolloutLimits struct {
	// Share is a fraction of all requests of the pool, Slack a number of additional requests.
	Share, Slack float64
}

// SetRolloutLimits sets the limits for rollouts. Call it before the first Configure.
func (s *Shard) SetRolloutLimits(l RolloutLimits) { s.rolloutLimits = l }

// rollout is a rollout of the pool that has not ended.
type rollout struct {
	spec *object.Rollout
	// trial is nil until the rollout has a record in the store.
	trial *trial.Trial
}

// configureRollout applies the newest rollout of the pool.
func (s *Shard) configureRollout(now time.Time, snapshot *object.Snapshot) {
	spec := snapshot.Rollout(s.pool)
	if spec == nil || spec.Finished() || len(spec.From) == 0 {
		s.rollout = nil
		return
	}
	if s.rollout == nil || s.rollout.spec.OrderRevision != spec.OrderRevision {
		s.rollout = &rollout{}
	}
	s.rollout.spec = spec
	if s.rollout.trial == nil && spec.State == object.RolloutRunning {
		s.rollout.trial = trial.New(now, s.trialPlan(now, spec), readEvidence(spec))
	}
}

// trialPlan returns the plan of the rollout. Its start comes from the wall clock of
// another host, which may be off by some seconds, so it is limited to the current time of this
// host.
func (s *Shard) trialPlan(now time.Time, spec *object.Rollout) trial.Plan {
	begin := time.UnixMilli(spec.StartedMS)
	if begin.After(now) {
		begin = now
	}
	return trial.Plan{
		Begin:    now.Add(-now.Sub(begin)),
		Duration: max(time.Duration(spec.Duration)-maxRecordDelay, 0),
		Share:    s.rolloutLimits.Share,
		Slack:    s.rolloutLimits.Slack * s.share.Slots,
	}
}

// maxRecordDelay is the maximum time from the operator's request for a rollout to its record in the
// store. The operator measures the duration from the request, the trial from the record.
const maxRecordDelay = 500 * time.Millisecond

// readEvidence returns the evidence of another arbiter, nil if there is none that can be read.
func readEvidence(spec *object.Rollout) *trial.Evidence {
	if len(spec.Evidence) == 0 {
		return nil
	}
	e := &trial.Evidence{}
	if err := json.Unmarshal(spec.Evidence, e); err != nil {
		return nil // Written by a build with other trial rules. The trial starts again.
	}
	return e
}

// sideOf returns the side of the rollout that the target belongs to.
func (r *rollout) sideOf(t *target) trial.Side { return r.sideOfVersion(t.generation) }

func (r *rollout) sideOfVersion(version object.Generation) trial.Side {
	if version == r.spec.To {
		return trial.NewVersion
	}
	return trial.OldVersion
}

// nextSide returns the side that gets the next request of a class.
func (r *rollout) nextSide(now time.Time, class object.TierName) trial.Side {
	if r.trial == nil {
		return trial.OldVersion
	}
	return r.trial.Next(now, class)
}

// promoted reports whether all requests go to the new version.
func (r *rollout) promoted() bool { return r.trial != nil && r.trial.Promoted() }

// mayServe reports whether the target may get requests of the given side.
func (s *Shard) mayServe(t *target, side trial.Side) bool {
	return s.rollout == nil || s.rollout.sideOf(t) == side
}

// placeByVersion picks a target during a rollout.
func (s *Shard) placeByVersion(now time.Time, q *request) *target {
	if q.bound {
		return s.placeOn(now, q, s.rollout.sideOfVersion(q.version))
	}
	side := s.rollout.nextSide(now, q.tier.class)
	if side == trial.NewVersion && !s.rollout.promoted() {
		if t := s.placeTrial(now, q); t != nil {
			return t
		}
		side = trial.OldVersion
	}
	return s.placeOn(now, q, side)
}

// placeTrial picks a target of the new version. It prefers targets below the typical load of the
// old version and brings them up to that load, because a version may be bad only under load. The
// preferred target changes every second.
func (s *Shard) placeTrial(now time.Time, q *request) *target {
	typicalLoad := s.typicalLoad()
	var best *target
	for _, t := range s.ready.all() {
		if s.rollout.sideOf(t) != trial.NewVersion || q.avoids(t) {
			continue
		}
		if best == nil || trialSortKey(now, t, typicalLoad) < trialSortKey(now, best, typicalLoad) {
			best = t
		}
	}
	return best
}

// typicalLoad returns the mean number of requests per target of the old version, rounded up,
// plus one.
func (s *Shard) typicalLoad() int {
	running, targets := 0, 0
	for _, t := range s.targets {
		if !t.closed && s.rollout.sideOf(t) == trial.OldVersion {
			running += t.inFlight
			targets++
		}
	}
	return int(math.Ceil(float64(running)/float64(max(targets, 1)))) + 1
}

// trialSortKey returns the sort key of a target: targets below the typical load come first, in an
// order that changes every second.
func trialSortKey(now time.Time, t *target, typicalLoad int) float64 {
	tieBreak := float64(digest.Mix(digest.Of(string(t.name))+uint64(now.Unix()))>>11) / (1 << 53)
	if t.inFlight >= typicalLoad {
		return float64(t.inFlight) + tieBreak
	}
	return tieBreak
}

// recordTrialAnswer passes the result of a request to the trial.
func (s *Shard) recordTrialAnswer(q *request, t *target, f wire.Finish) {
	if s.rollout == nil || s.rollout.trial == nil || !f.Dispatched || f.Rejected || !(f.Completed || f.Failed || f.Expired) {
		return
	}
	a := trial.Answer{
		Side: s.rollout.sideOf(t), Class: q.tier.class, Target: t.name,
		Failed: f.Failed && !f.Broken, Broken: f.Broken, Expired: f.Expired,
		ServiceTime: time.Duration(f.TotalUS) * time.Microsecond,
	}
	if t.engine {
		a.ServiceTime = time.Duration(f.DecodeUS) * time.Microsecond
		a.PrefillTime = time.Duration(f.FirstTokenMS) * time.Millisecond / time.Duration(f.PromptTokens+startOverheadTokens)
	}
	s.rollout.trial.Answer(a, s.countNewTargets())
}

// startOverheadTokens is the fixed time to the start of an answer, expressed as prompt tokens.
const startOverheadTokens = 800

// countNewTargets counts the open targets of the new version.
func (s *Shard) countNewTargets() int {
	count := 0
	for _, t := range s.targets {
		if !t.closed && s.rollout.sideOf(t) == trial.NewVersion {
			count++
		}
	}
	return count
}

// advanceRollout advances the trial of the current rollout.
func (s *Shard) advanceRollout(now time.Time) trial.Verdict {
	if s.rollout == nil || s.rollout.trial == nil {
		return trial.Undecided
	}
	running, oldSlots, newSlots := 0, 0.0, 0.0
	for _, t := range s.targets {
		side := s.rollout.sideOf(t)
		if side == trial.OldVersion {
			running += t.inFlight
		}
		switch {
		case t.closed:
		case side == trial.OldVersion:
			oldSlots += s.usableSlots(t)
		default:
			newSlots += s.usableSlots(t)
		}
	}
	promoted := s.rollout.promoted()
	verdict := s.rollout.trial.Step(now, running, newSlots >= minReadyFraction*oldSlots)
	if promoted != s.rollout.promoted() {
		s.updateTotalSlots()
	}
	return verdict
}

// minReadyFraction is the fraction of the old version's slots that the new version needs to take
// over.
const minReadyFraction = 0.8

// RolloutState is the state of a rollout at one shard.
type RolloutState struct {
	// OrderRevision identifies the rollout. It is the position in the store at which the operator
	// requested it.
	OrderRevision store.Position
	Verdict       trial.Verdict
	Evidence      trial.Evidence
}

// Rollout returns the state of the pool's rollout at this arbiter, and false if no trial is
// running. It also advances the trial, because nothing else does so while no requests arrive.
func (s *Shard) Rollout(now time.Time) (RolloutState, bool) {
	if s.rollout == nil || s.rollout.trial == nil {
		return RolloutState{}, false
	}
	verdict := s.advanceRollout(now)
	return RolloutState{OrderRevision: s.rollout.spec.OrderRevision, Verdict: verdict, Evidence: s.rollout.trial.Evidence(now)}, true
}
