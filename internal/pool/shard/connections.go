package shard

import (
	"slices"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/trial"
	"redwinglock/internal/state/object"
)

const (
	// maxReleaseAge is the age of a release up to which a connection is expected to be idle still when a
	// grant reaches the front. Fronts close idle connections after 250 ms.
	maxReleaseAge = 200 * time.Millisecond
	// maxConnectionsOfFront bounds the targets that are remembered for each front.
	maxConnectionsOfFront = 16
	// maxReleases bounds the releases of all fronts that are remembered.
	maxReleases = 8192
	// connectionBias is how much more loaded a target may be to which the front has an idle connection.
	connectionBias = 0.3
	// newConnectionCost is the time that a new connection takes: a round trip between zones and work at
	// the target. For a greater delay of the answer, an idle connection is no gain.
	newConnectionCost = 4 * time.Millisecond
)

// releasedConnection is the connection of a front to a target that became idle.
type releasedConnection struct {
	front      wire.HostID
	target     object.TargetName
	releasedAt time.Time
}

// idleConnections remembers to which targets the fronts have idle connections.
type idleConnections struct {
	byFront map[wire.HostID][]releasedConnection // In the order of their release.
	// releases holds all releases in their order, also of connections that are in use again, so that
	// each is forgotten in time without a search.
	releases []releasedConnection
}

// release records that a connection became idle.
func (c *idleConnections) release(now time.Time, front wire.HostID, name object.TargetName) {
	c.expire(now)
	if len(c.releases) >= maxReleases {
		return
	}
	if c.byFront == nil {
		c.byFront = map[wire.HostID][]releasedConnection{}
	}
	c.take(front, name)
	all := c.byFront[front]
	if len(all) >= maxConnectionsOfFront {
		all = slices.Delete(all, 0, 1)
	}
	r := releasedConnection{front, name, now}
	c.byFront[front] = append(all, r)
	c.releases = append(c.releases, r)
}

// take records that the connection of a front to a target is used, and reports whether there was one.
func (c *idleConnections) take(front wire.HostID, name object.TargetName) bool {
	all := c.byFront[front]
	i := slices.IndexFunc(all, func(r releasedConnection) bool { return r.target == name })
	if i < 0 {
		return false
	}
	c.byFront[front] = slices.Delete(all, i, i+1)
	return true
}

// expire forgets the connections that were released too long ago.
func (c *idleConnections) expire(now time.Time) {
	n := 0
	for n < len(c.releases) && now.Sub(c.releases[n].releasedAt) >= maxReleaseAge {
		c.forget(c.releases[n])
		n++
	}
	c.releases = c.releases[n:]
}

// forget removes a release, and the front if it has no other.
func (c *idleConnections) forget(r releasedConnection) {
	all := slices.DeleteFunc(c.byFront[r.front], func(other releasedConnection) bool { return other == r })
	c.byFront[r.front] = all
	if len(all) == 0 {
		delete(c.byFront, r.front)
	}
}

// of returns the connections of a front that are probably idle, at most maxConnectionsOfFront.
func (c *idleConnections) of(now time.Time, front wire.HostID) []releasedConnection {
	c.expire(now)
	return c.byFront[front]
}

// recordConnection remembers the connection on which a request was answered, if its front has kept it.
func (s *Shard) recordConnection(now time.Time, q *request, t *target, f wire.Finish) {
	if f.ConnectionKept && !t.closed {
		s.connections.release(now, q.Front, t.name)
	}
}

// useConnection counts a grant on an idle connection, which is in use from now on.
func (s *Shard) useConnection(now time.Time, q *request, t *target) {
	s.connections.expire(now)
	if s.connections.take(q.Front, t.name) {
		s.countsOf(q.tier.class).OnIdleConnection++
	}
}

// preferConnection returns the least loaded target to which the front has an idle connection, if the
// answer begins in time there, not much later than at the given target, which is not much less loaded. Otherwise it
// returns the given one. A new connection costs a round trip and work at the target. A target with a rate limit is
// not passed over: it has hardly any idle connections, and would get less than it accepts.
func (s *Shard) preferConnection(now time.Time, q *request, side trial.Side, otherwise *target) *target {
	if otherwise.rateLimit > 0 || !s.startsInTime(now, q, otherwise) || otherwise.tooSlow(now, q) {
		return otherwise
	}
	var best *target
	for _, r := range s.connections.of(now, q.Front) {
		t := s.targets[r.target]
		if t == nil || t.readyIndex == notInHeap || !s.mayServe(t, side) || q.avoids(t) {
			continue
		}
		if t == otherwise {
			return t
		}
		if t.load() > otherwise.load()+connectionBias || t.tooSlow(now, q) || !s.startsInTime(now, q, t) {
			continue
		}
		if t.engine && s.answerStart(now, q, t).Sub(s.answerStart(now, q, otherwise)) > newConnectionCost {
			continue
		}
		if best == nil || t.load() < best.load() {
			best = t
		}
	}
	if best == nil {
		return otherwise
	}
	return best
}
