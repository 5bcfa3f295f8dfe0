package shard

import (
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/origin"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

// unknownStreamRetryAfter is the retry hint of a request that continues a stream of which this arbiter does not know the
// version. Another arbiter may have granted it, and stores it in a moment.
const unknownStreamRetryAfter = 300 * time.Millisecond

// SetOrigins replaces the table of streams. All arbiters of this process use the same one for a pool.
func (s *Shard) SetOrigins(t *origin.Table) { s.origins = t }

// bindVersion finds the version at which a request must continue its stream. It refuses the request, and reports so, if
// the version is not known or none of its targets is left.
func (s *Shard) bindVersion(now time.Time, q *request) bool {
	if q.Resumption == nil || !s.discovered {
		return true
	}
	q.version, q.bound = q.Resumption.Version, q.Resumption.Bound
	if !q.bound {
		q.version, q.bound = s.origins.VersionOf(now, q.Resumption.Stream)
	}
	switch {
	case !q.bound:
		s.refuseUnqueued(q, outcome.StreamUnknown, unknownStreamRetryAfter)
	case s.openVersions[q.version] == 0:
		s.refuseUnqueued(q, outcome.StreamVersionGone, 0)
	default:
		return true
	}
	return false
}

// refuseUnqueued refuses a new request that is in no queue yet.
func (s *Shard) refuseUnqueued(q *request, reason outcome.Reason, retryAfter time.Duration) {
	s.removeRequest(q)
	s.countRefusal(q, reason)
	s.decisions = append(s.decisions, Refuse{ID: q.ID, Tier: q.tier.name, Class: q.tier.class, Reason: reason, RetryAfter: retryAfter, MayRetry: q.MayRetry})
}

// recordOrigin remembers which version a new stream gets.
func (s *Shard) recordOrigin(now time.Time, q *request, t *target) {
	if q.Stream != 0 && s.discovered {
		s.origins.Record(now, q.Stream, t.generation)
	}
}

// resumption returns what the grant of a request says about the stream that it continues, nil if there is none.
func (q *request) resumption() *wire.Resumption {
	if !q.bound {
		return nil
	}
	return &wire.Resumption{Version: q.version, Bound: true}
}

// needsOther reports whether a request must not run at a target because of its version.
func (q *request) needsOther(t *target) bool { return q.bound && t.generation != q.version }

// waitsForVersion reports whether targets are free, but none of the version of the request.
func (s *Shard) waitsForVersion(q *request) bool {
	return q.bound && s.readyVersions[q.version] == 0
}

// setGeneration sets the version of a target.
func (s *Shard) setGeneration(t *target, generation object.Generation) {
	if t.generation == generation {
		return
	}
	if t.readyIndex != notInHeap {
		s.readyVersions[t.generation]--
		s.readyVersions[generation]++
	}
	t.generation = generation
}

// updateOpenVersions counts the targets of each version that accept work.
func (s *Shard) updateOpenVersions() {
	clear(s.openVersions)
	for _, t := range s.targets {
		if !t.closed {
			s.openVersions[t.generation]++
		}
	}
}
