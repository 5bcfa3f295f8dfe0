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
	granted       // The arbiter has named a target; nothing was sent to it yet.
	dispatched
	ended
)

// Ticket is one request on its way through an arbiter. Its phase is the only guard
// of the promise that a request is dispatched at most once: whatever an arbiter sends,
// and how often, Dispatch succeeds once.
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
	// cost is what the request uses of its quota, and quotaCost what its next grant will count, 0
	// once it was granted.
	cost, quotaCost float64
	// grantedAt is when this host got the latest grant.
	grantedAt time.Time
	// sentBack is set once a grant was given back that came or was used too late.
	sentBack bool

	decision chan wire.Down // Holds the grant or refusal.
	preempt  chan struct{}  // Closed when the arbiter cancels the request.
}

func newTicket(c *Client, r wire.Register, now time.Time) *Ticket {
	t := &Ticket{
		client:       c,
		id:           r.ID,
		registration: r,
		cost:         r.QuotaCost,
		quotaCost:    r.QuotaCost,
		createdAt:    now,
		decision:     make(chan wire.Down, 1),
		preempt:      make(chan struct{}),
	}
	if r.DeadlineMS > 0 {
		t.deadline = now.Add(time.Duration(r.DeadlineMS) * time.Millisecond)
	}
	return t
}

// ID returns the id of the request.
func (t *Ticket) ID() wire.RequestID { return t.id }

// Preempted is closed when the arbiter wants the request stopped.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempt }

// Dispatch moves the ticket from granted to dispatched. It returns false if the grant
// is no longer valid; then nothing may be sent to the target. One that was granted long ago, as on
// a host that was paused since, is given back: its quota counts in a window that has passed.
func (t *Ticket) Dispatch() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase != granted {
		return false
	}
	if !t.sentBack && elapsed(t.grantedAt, time.Now()) > t.client.common.Settings.Peers.LinkTimeout {
		t.phase = waiting
		t.target = ""
		t.quotaCost = t.cost
		t.registration.QuotaCost = t.cost
		t.sendBack()
		return false
	}
	t.phase = dispatched
	return true
}

// current returns the next registration, for an arbiter that does not know the request.
func (t *Ticket) current(now time.Time, moved bool) wire.Register {
	t.registration.Attempt++
	r := t.registration
	r.Moved = moved
	r.WaitedMS = now.Sub(t.createdAt).Milliseconds()
	if !t.deadline.IsZero() {
		r.DeadlineMS = max(t.deadline.Sub(now).Milliseconds(), 1)
	}
	if r.CallerLeftMS != 0 {
		r.CallerLeftMS = max(r.CallerLeftMS-r.WaitedMS, 1)
	}
	if r.BeginMS != 0 {
		r.BeginMS = max(r.BeginMS-r.WaitedMS, 1)
	}
	if r.ObjectiveMS != 0 {
		r.ObjectiveMS -= r.WaitedMS
	}
	if moved && t.phase != waiting {
		r.QuotaCost = 0 // It counts in the use that the new arbiter is told.
	}
	r.Phase = wire.Waiting
	if t.phase == granted || t.phase == dispatched {
		r.Phase = wire.Running
		r.Target = t.target
	}
	return r
}

// grant takes a grant from a link and reports whether it is used. A grant from an
// arbiter that the ticket has left is not, nor is a repeated one, nor one that answers an
// earlier registration at the same arbiter. One that this host sees late is given back: the
// arbiter has taken the host for gone meanwhile and counts neither slot nor quota any more.
func (t *Ticket) grant(from link, g *wire.Grant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link != from || t.phase != waiting || g.Attempt != t.registration.Attempt {
		return false
	}
	if !t.sentBack && t.grantAge(time.Now(), g) > t.client.common.Settings.Peers.LinkTimeout {
		t.sendBack()
		return false
	}
	t.phase = granted
	t.grantedAt = time.Now()
	t.target = g.Target
	t.client.usage.note(t.registration.Account, t.quotaCost)
	t.quotaCost = 0 // A request counts once, however often it is granted.
	t.decision <- wire.Down{Grant: g}
	return true
}

// grantAge returns how long a grant and the registration before it were on their way.
func (t *Ticket) grantAge(now time.Time, g *wire.Grant) time.Duration {
	return elapsed(t.createdAt, now) - time.Duration(g.WaitedMS)*time.Millisecond
}

// elapsed returns the time since then. A host that was suspended sees it by the time of day only.
func elapsed(since, now time.Time) time.Duration {
	return max(now.Sub(since), now.Round(0).Sub(since.Round(0)))
}

// sendBack gives a grant back and registers the request again, once. It needs the lock.
func (t *Ticket) sendBack() {
	t.sentBack = true
	t.client.common.CountRetry("grant-late")
	t.link.send(wire.Up{Finish: &wire.Finish{ID: t.id, Pool: t.registration.Pool}})
	r := t.current(time.Now(), false)
	t.link.send(wire.Up{Register: &r})
}

// refuse takes a refusal from a link. Only a waiting request can be refused.
func (t *Ticket) refuse(from link, r *wire.Refuse) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.link != from || t.phase != waiting || r.Attempt != t.registration.Attempt {
		return
	}
	t.phase = ended
	t.decision <- wire.Down{Refuse: r}
}

// cancel takes a cancellation from a link.
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

// Finish ends the ticket and tells the arbiter. It may be called more than once.
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

// Decline returns a granted ticket to the queue because this host does not know the target,
// or knows that it leaves. Another one is wanted; the target is not at fault.
func (t *Ticket) Decline() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.phase == granted {
		t.requeue(wire.Finish{}, true)
	}
}

// Return puts a dispatched ticket back into the queue because its target has refused the
// request or was never reached, so that it has not run. A target that has refused is avoided
// from now on.
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
	r := t.current(time.Now(), false)
	t.link.send(wire.Up{Register: &r})
}

func (t *Ticket) currentLink() link {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.link
}

// move registers the ticket with another arbiter and takes it from the former one.
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
	r := t.current(time.Now(), true)
	t.client.tellUse(pool, to)
	to.send(wire.Up{Register: &r})
}
