package arbiter

import (
	"slices"
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/object"
)

// phase is the state of a ticket.
type phase int

const (
	waiting phase = iota
	granted       // The arbiter has granted a target; nothing was sent to it yet.
	dispatched
	ended
)

// Ticket is one request that is registered with an arbiter. Its phase is the only guard against
// dispatching a request twice: whatever an arbiter sends, and however often, Dispatch succeeds once,
// unless Return has put the ticket back into the queue.
type Ticket struct {
	client *Client
	id     wire.RequestID

	mu           sync.Mutex
	phase        phase
	registration wire.Register
	createdAt    time.Time
	deadline     time.Time
	target       object.TargetName
	link         link
	// requestCost is the quota cost of the request, and nextGrantCost the cost that its next grant
	// adds to the usage: 0 once the request was granted.
	requestCost, nextGrantCost float64
	// grantedAt is when this host received the latest grant.
	grantedAt time.Time
	// rateCounted is true if the arbiter has counted the latest grant against a rate limit.
	rateCounted bool
	// watched is true if the arbiter has granted the request although one of its prefixes may crash targets.
	watched bool
	// resumption is what the latest grant says about the stream that the request continues, nil if it says nothing.
	resumption *wire.Resumption
	// staleGrantReturned is set once a grant was returned because it arrived or was used too late.
	staleGrantReturned bool

	decision chan wire.Down // Holds the grant or refusal.
	preempt  chan struct{}  // Closed when the arbiter cancels the request.
}

func newTicket(c *Client, r wire.Register, now time.Time) *Ticket {
	t := &Ticket{
		client:        c,
		id:            r.ID,
		registration:  r,
		requestCost:   r.QuotaCost,
		nextGrantCost: r.QuotaCost,
		createdAt:     now,
		decision:      make(chan wire.Down, 1),
		preempt:       make(chan struct{}),
	}
	if r.DeadlineMS > 0 {
		t.deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	return t
}

// ID returns the id of the request.
func (t *Ticket) ID() wire.RequestID { return t.id }

// RateCounted reports whether the arbiter has counted the latest grant against a rate limit of its
// target.
func (t *Ticket) RateCounted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rateCounted
}

// Watched reports whether the arbiter has granted the request although one of its prefixes may crash targets.
func (t *Ticket) Watched() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.watched
}

// Resumption returns the version at which the request must continue a stream, by the latest grant, nil if the arbiter,
// which may be of an earlier build, does not say.
func (t *Ticket) Resumption() *wire.Resumption {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.resumption
}

// Preempted is closed when the arbiter cancels the request.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempt }

// Dispatch moves the ticket from granted to dispatched. It returns false if the grant is no longer
// valid; then nothing may be sent to the target. A grant that is too old, for example because the
// host was paused, is returned: its quota was counted in a window that has passed.
func (t *Ticket) Dispatch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase != granted {
		return false
	}
	if !t.staleGrantReturned && elapsed(t.grantedAt, time.Now()) > t.client.common.Settings.Peers.LinkTimeout {
		t.phase = waiting
		t.target = ""
		t.nextGrantCost = t.requestCost
		t.registration.QuotaCost = t.requestCost
		t.returnStaleGrant()
		return false
	}
	t.phase = dispatched
	return true
}

// nextRegistration starts a new attempt and returns its registration. It needs the lock.
func (t *Ticket) nextRegistration(now time.Time, moved bool) wire.Register {
	t.registration.Attempt++
	r := t.registration
	r.Moved = moved
	r.WaitedMS = now.Sub(t.createdAt).Milliseconds()
	if !t.deadline.IsZero() {
		r.DeadlineMS = max(t.deadline.Sub(now).Milliseconds(), 1)
	}
	if r.CallerWaitMS != 0 {
		r.CallerWaitMS = max(r.CallerWaitMS-r.WaitedMS, 1)
	}
	if r.AnswerWithinMS != 0 {
		r.AnswerWithinMS = max(r.AnswerWithinMS-r.WaitedMS, 1)
	}
	if r.DispatchWithinMS != 0 {
		r.DispatchWithinMS -= r.WaitedMS
	}
	if moved && t.phase != waiting {
		r.QuotaCost = 0 // It is part of the usage that is reported to the new arbiter.
	}
	r.Phase = wire.Waiting
	if t.phase == granted || t.phase == dispatched {
		r.Phase = wire.Running
		r.Target = t.target
	}
	return r
}

// grant handles a grant from a link and reports whether it is used. It ignores a grant from a
// previous arbiter, a duplicate, and a grant for an earlier registration at the same arbiter. A
// grant that arrives late is returned: the arbiter may have considered the host disconnected
// meanwhile, and then counts neither its slot nor its quota.
func (t *Ticket) grant(from link, g *wire.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link != from || t.phase != waiting || g.Attempt != t.registration.Attempt {
		return false
	}
	if !t.staleGrantReturned && t.grantTransitTime(time.Now(), g) > t.client.common.Settings.Peers.LinkTimeout {
		t.returnStaleGrant()
		return false
	}
	t.phase = granted
	t.grantedAt = time.Now()
	t.target = g.Target
	t.rateCounted = g.RateCounted
	t.watched = g.Watch
	t.resumption = g.Resumption
	t.client.usage.record(t.registration.Account, t.nextGrantCost)
	t.client.usage.recordOthers(t.registration.Account, g.OthersUsed)
	t.nextGrantCost = 0 // A request counts once, however often it is granted.
	t.decision <- wire.Down{Grant: g}
	return true
}

// grantTransitTime returns the time that the registration and the grant spent in transit: the age
// of the ticket without the time that the request has waited at the arbiter.
func (t *Ticket) grantTransitTime(now time.Time, g *wire.Grant) time.Duration {
	return elapsed(t.createdAt, now) - time.Duration(g.WaitedMS)*time.Millisecond
}

// elapsed returns the time from start to now. It also compares the wall clock, because the monotonic
// clock does not advance while a host is suspended.
func elapsed(start, now time.Time) time.Duration {
	return max(now.Sub(start), now.Round(0).Sub(start.Round(0)))
}

// returnStaleGrant returns a grant to the arbiter and registers the request again. This happens at
// most once per ticket, so that a slow host makes progress. It needs the lock.
func (t *Ticket) returnStaleGrant() {
	t.staleGrantReturned = true
	t.client.common.CountRetry("grant-late")
	t.link.send(wire.Up{Finish: &wire.Finish{ID: t.id, Pool: t.registration.Pool}})
	r := t.nextRegistration(time.Now(), false)
	t.link.send(wire.Up{Register: &r})
}

// refuse handles a refusal from a link. Only a waiting request can be refused.
func (t *Ticket) refuse(from link, r *wire.Refuse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link != from || t.phase != waiting || r.Attempt != t.registration.Attempt {
		return
	}
	t.phase = ended
	t.decision <- wire.Down{Refuse: r}
}

// cancel handles a cancellation from a link. Only a granted or dispatched request can be canceled.
func (t *Ticket) cancel(from link, c *wire.Cancel) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link != from || t.phase == waiting || t.phase == ended || c.Attempt != t.registration.Attempt {
		return
	}
	select {
	case <-t.preempt:
	default:
		close(t.preempt)
	}
}

// Finish ends the ticket and notifies the arbiter. It may be called more than once.
func (t *Ticket) Finish(f wire.Finish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == ended {
		return
	}
	f.ID = t.id
	f.Pool = t.registration.Pool
	f.Dispatched = t.phase == dispatched
	wasWaiting := t.phase == waiting
	t.phase = ended
	t.client.tickets.Delete(t.id)
	if wasWaiting {
		t.link.send(wire.Up{Withdraw: &wire.Withdraw{ID: t.id, Pool: f.Pool}})
		return
	}
	t.link.send(wire.Up{Finish: &f})
}

// Unreachable returns a granted ticket to the queue because no connection to its
// target could be opened. It must not be called after Dispatch.
func (t *Ticket) Unreachable() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == granted {
		t.requeue(wire.Finish{Unreachable: true}, false)
	}
}

// Decline returns a granted ticket to the queue because this host has no record of the target, or
// the target is leaving. The request needs another target, and the target is not counted as failed.
func (t *Ticket) Decline() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == granted {
		t.requeue(wire.Finish{}, true)
	}
}

// Return puts a dispatched ticket back into the queue because its target has refused the request
// or was never reached, so the request was not run. Later grants avoid a target that has refused.
func (t *Ticket) Return(f wire.Finish) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == dispatched {
		t.requeue(f, f.Rejected)
	}
}

// requeue ends the grant and registers the request again. It needs the lock.
func (t *Ticket) requeue(f wire.Finish, avoid bool) {
	f.ID = t.id
	f.Pool = t.registration.Pool
	t.link.send(wire.Up{Finish: &f})
	if avoid {
		t.registration.Avoid = append(slices.Clone(t.registration.Avoid), t.target)
	}
	t.phase = waiting
	t.target = ""
	t.registration.QuotaCost = 0 // It was charged when it was first registered.
	r := t.nextRegistration(time.Now(), false)
	t.link.send(wire.Up{Register: &r})
}

func (t *Ticket) currentLink() link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.link
}

// move registers the ticket with another arbiter and withdraws it from the previous one.
func (t *Ticket) move(to link) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link == to || t.phase == ended {
		return
	}
	pool := t.registration.Pool
	if t.phase == waiting {
		t.link.send(wire.Up{Withdraw: &wire.Withdraw{ID: t.id, Pool: pool}})
	} else {
		t.link.send(wire.Up{Finish: &wire.Finish{ID: t.id, Pool: pool}})
	}
	t.link = to
	r := t.nextRegistration(time.Now(), true)
	t.client.reportState(pool, to)
	to.send(wire.Up{Register: &r})
}
