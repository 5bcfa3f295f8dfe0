package shard

import (
	"encoding/json"
	"math"
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// RolloutLimits is what a bad version may get.
type RolloutLimits struct {
	// Share is the part of all requests of a pool, and Slack how many more.
	Share, Slack float64
}

// LimitRollouts sets what bad versions may get. It must come before the first configuration.
func (s *Shard) LimitRollouts(l RolloutLimits) { s.rolloutLimits = l }

// move is a rollout of the pool that has not ended.
type move struct {
	spec *object.Rollout
	// trial is nil until the rollout has a record.
	trial *trial.Trial
}

// configureRollout takes the newest rollout of the pool.
func (s *Shard) configureRollout(now time.Time, snapshot *object.Snapshot) {
	spec := snapshot.Rollout(s.pool)
	if spec == nil || spec.Settled() || len(spec.From) == 0 {
		s.move = nil
		return
	}
	if s.move == nil || s.move.spec.Order != spec.Order {
		s.move = &move{}
	}
	s.move.spec = spec
	if s.move.trial == nil && spec.State == object.RolloutRunning {
		s.move.trial = trial.New(now, s.plan(now, spec), readEvidence(spec))
	}
}

// plan returns what was ordered. The begin is told by the time of day of another host, which
// may be wrong by some seconds, but is not ahead of this host.
func (s *Shard) plan(now time.Time, spec *object.Rollout) trial.Plan {
	begin := time.UnixMilli(spec.BegunMS)
	if begin.After(now) {
		begin = now
	}
	return trial.Plan{
		Begin:    now.Add(-now.Sub(begin)),
		Duration: max(time.Duration(spec.Duration)-orderLag, 0),
		Share:    s.rolloutLimits.Share,
		Slack:    s.rolloutLimits.Slack * s.share.Slots,
	}
}

// orderLag is the time within which an order has become a record. The operator counts from the
// order, the trial from the record.
const orderLag = 500 * time.Millisecond

// readEvidence returns what another arbiter has seen, nil if that is not known.
func readEvidence(spec *object.Rollout) *trial.Evidence {
	if len(spec.Evidence) == 0 {
		return nil
	}
	e := &trial.Evidence{}
	if err := json.Unmarshal(spec.Evidence, e); err != nil {
		return nil // Written by a build that judges otherwise; this one begins anew.
	}
	return e
}

// sideOf returns the side of a rollout on which a target is.
func (m *move) sideOf(t *target) trial.Side {
	if t.generation == m.spec.To {
		return trial.NewVersion
	}
	return trial.OldVersion
}

// next returns the side to which the next request of a class goes.
func (m *move) next(now time.Time, class object.TierName) trial.Side {
	if m.trial == nil {
		return trial.OldVersion
	}
	return m.trial.Next(now, class)
}

// takesOver reports whether all requests go to the new version.
func (m *move) takesOver() bool { return m.trial != nil && m.trial.Promoted() }

// mayServe reports whether requests of a side may go to a target.
func (s *Shard) mayServe(t *target, side trial.Side) bool {
	return s.move == nil || s.move.sideOf(t) == side
}

// placeByVersion picks a target while a rollout is under way.
func (s *Shard) placeByVersion(now time.Time, q *request) *target {
	side := s.move.next(now, q.tier.class)
	if side == trial.NewVersion && !s.move.takesOver() {
		if t := s.placeTrial(now, q); t != nil {
			return t
		}
		side = trial.OldVersion
	}
	return s.placeOn(now, q, side)
}

// placeTrial picks a target of the new version that has as much to do as those of the old one,
// since a version may be bad under load only. Each second it is another one.
func (s *Shard) placeTrial(now time.Time, q *request) *target {
	usual := s.usualLoad()
	var best *target
	for _, t := range s.ready.all() {
		if s.move.sideOf(t) != trial.NewVersion || slices.Contains(q.Avoid, t.name) {
			continue
		}
		if best == nil || trialOrder(now, t, usual) < trialOrder(now, best, usual) {
			best = t
		}
	}
	return best
}

// usualLoad returns how many requests a target of the old version has.
func (s *Shard) usualLoad() int {
	running, targets := 0, 0
	for _, t := range s.targets {
		if !t.closed && s.move.sideOf(t) == trial.OldVersion {
			running += t.inFlight
			targets++
		}
	}
	return int(math.Ceil(float64(running)/float64(max(targets, 1)))) + 1
}

// trialOrder ranks targets: those below the usual load first, in an order that changes.
func trialOrder(now time.Time, t *target, usual int) float64 {
	turn := float64(digest.Mix(digest.Of(string(t.name))+uint64(now.Unix()))>>11) / (1 << 53)
	if t.inFlight >= usual {
		return float64(t.inFlight) + turn
	}
	return turn
}

// noteVersion tells the trial how a request has ended.
func (s *Shard) noteVersion(q *request, t *target, f wire.Finish) {
	if s.move == nil || s.move.trial == nil || !f.Dispatched || f.Rejected || !(f.Completed || f.Failed || f.Expired) {
		return
	}
	a := trial.Answer{
		Side: s.move.sideOf(t), Class: q.tier.class, Target: t.name,
		Failed: f.Failed && !f.Broken, Broken: f.Broken, Expired: f.Expired,
		ServiceTime: time.Duration(f.TotalUS) * time.Microsecond,
	}
	if t.engine {
		a.ServiceTime = time.Duration(f.DecodeUS) * time.Microsecond
		a.PrefillTime = time.Duration(f.FirstTokenMS) * time.Millisecond / time.Duration(f.PromptTokens+startTokens)
	}
	s.move.trial.Answer(a, s.newTargets())
}

// startTokens is the size of a prompt that takes as long to read as an empty one to start.
const startTokens = 800

// newTargets counts the open targets of the new version.
func (s *Shard) newTargets() int {
	count := 0
	for _, t := range s.targets {
		if !t.closed && s.move.sideOf(t) == trial.NewVersion {
			count++
		}
	}
	return count
}

// stepRollout moves a trial on.
func (s *Shard) stepRollout(now time.Time) trial.Verdict {
	if s.move == nil || s.move.trial == nil {
		return trial.Undecided
	}
	running, before, after := 0, 0.0, 0.0
	for _, t := range s.targets {
		side := s.move.sideOf(t)
		if side == trial.OldVersion {
			running += t.inFlight
		}
		switch {
		case t.closed:
		case side == trial.OldVersion:
			before += t.limit
		default:
			after += t.limit
		}
	}
	promoted := s.move.takesOver()
	verdict := s.move.trial.Step(now, running, after >= readyPart*before)
	if promoted != s.move.takesOver() {
		s.countSlots()
	}
	return verdict
}

// readyPart is the part of the slots of the old version that the new one must have to take over.
const readyPart = 0.8

// RolloutState is what a shard has come to in a rollout.
type RolloutState struct {
	Order    int64
	Verdict  trial.Verdict
	Evidence trial.Evidence
}

// Rollout returns how the rollout of the pool stands at this arbiter, and false if none is
// being judged. Nothing else moves a trial on while no requests come.
func (s *Shard) Rollout(now time.Time) (RolloutState, bool) {
	if s.move == nil || s.move.trial == nil {
		return RolloutState{}, false
	}
	verdict := s.stepRollout(now)
	return RolloutState{Order: s.move.spec.Order, Verdict: verdict, Evidence: s.move.trial.Evidence(now)}, true
}
