package front

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// registered is the latest registration of a request.
type registered struct {
	session *Session
	attempt int
}

// worker runs one shard and knows which session each request belongs to.
type worker struct {
	mu       sync.Mutex
	shard    *shard.Shard
	sessions map[wire.RequestID]registered
	share    shard.Share
	// loggedAt is when the state of the pool was last logged, and refusals bounds the lines
	// about refusals, so that under load those lines are not dropped.
	loggedAt time.Time
	refusals common.PerSecond
}

// seedOf returns what orders targets with the same load in one run of a host, 0 if the run has
// no name.
func seedOf(run wire.HostID) uint64 {
	if run == "" {
		return 0
	}
	return digest.Of(string(run))
}

func newWorker(pool object.PoolName, quotas *shard.Quotas, seed uint64) *worker {
	decisions := shard.New(pool, quotas)
	decisions.SetTieBreakSeed(seed)
	return &worker{
		shard:    decisions,
		sessions: map[wire.RequestID]registered{},
		share:    shard.Share{Slots: 1, Quota: 1},
		refusals: common.PerSecond{Limit: refusalsPerSecond},
	}
}

func (w *worker) configure(b *board.Board) {
	snapshot := b.Config()
	if snapshot == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.carryOut(now, w.shard.Configure(now, snapshot, b.Hosts().LeavingTargets))
}

func (w *worker) register(now time.Time, s *Session, r wire.Register) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[r.ID] = registered{s, r.Attempt}
	w.setShare(now, s.server.attached.note(now, s, s.server.board.Members()))
	w.logSummary(now, s.server, r.Pool)
	w.carryOut(now, w.shard.Register(now, r))
	if w.shard.Waiting() > 0 {
		s.server.noteWaiting()
	}
}

// setShare changes the part of the pool that this arbiter may use. Pools whose targets the
// operators configured are not shared.
func (w *worker) setShare(now time.Time, share shard.Share) {
	if share == w.share || !w.shard.Discovered() {
		return
	}
	w.share = share
	w.carryOut(now, w.shard.SetShare(now, share))
}

// finish ignores a session that the request no longer belongs to: the front has
// registered it again over a newer one.
func (w *worker) finish(now time.Time, s *Session, f wire.Finish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[f.ID].session != s {
		return
	}
	delete(w.sessions, f.ID)
	w.carryOut(now, w.shard.Finish(now, f))
}

func (w *worker) withdraw(now time.Time, s *Session, id wire.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[id].session != s {
		return
	}
	delete(w.sessions, id)
	w.carryOut(now, w.shard.Withdraw(now, id))
}

func (w *worker) drop(now time.Time, s *Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, owner := range w.sessions {
		if owner.session != s {
			continue
		}
		delete(w.sessions, id)
		w.carryOut(now, w.shard.Withdraw(now, id))
	}
}

// notice takes what a target has said of itself.
func (w *worker) notice(now time.Time, n wire.TargetNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut(now, w.shard.Notice(now, n))
}

// tick reports whether requests are waiting.
func (w *worker) tick(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shard.Waiting() == 0 {
		return false
	}
	w.carryOut(now, w.shard.Tick(now))
	return true
}

// carryOut sends decisions to the fronts that hold the requests.
func (w *worker) carryOut(now time.Time, decisions []shard.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case shard.Grant:
			w.send(d.ID, wire.Down{Grant: &wire.Grant{Attempt: w.sessions[d.ID].attempt, ID: d.ID, Target: d.Target, WaitedMS: d.Waited.Milliseconds()}})
		case shard.Refuse:
			w.logRefusal(now, d)
			w.send(d.ID, wire.Down{Refuse: &wire.Refuse{Attempt: w.sessions[d.ID].attempt, ID: d.ID, Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds()}})
			delete(w.sessions, d.ID)
		case shard.Cancel:
			w.send(d.ID, wire.Down{Cancel: &wire.Cancel{Attempt: w.sessions[d.ID].attempt, ID: d.ID}})
		}
	}
}

func (w *worker) send(id wire.RequestID, message wire.Down) {
	if s := w.sessions[id].session; s != nil {
		s.box.Send(message)
	}
}
