package front

import (
	"sync"
	"time"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/quarantine"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// registration is the latest registration of a request.
type registration struct {
	session *Session
	attempt int
}

// worker runs one shard and maps each request to its session.
type worker struct {
	pool     object.PoolName
	mu       sync.Mutex
	shard    *shard.Shard
	sessions map[wire.RequestID]registration
	// requests are the ids of the requests of each session.
	requests map[*Session]map[wire.RequestID]bool
	// configured are the parts of the board that were last applied.
	configured configuration
	share      shard.Share
	// announce notifies all fronts of a prompt prefix that may crash targets.
	announce func(now time.Time, n wire.PrefixNotice)
	// reportCrash logs and counts a crash of a target.
	reportCrash func(object.PoolName, quarantine.Crash)
	// loggedAt is when the state of the pool was last logged. refusals limits the log lines about
	// refusals, so that the log does not drop the state of the pool under load.
	loggedAt time.Time
	refusals common.RateLimit
}

// configuration is what a shard takes from the board.
type configuration struct {
	snapshot *object.Snapshot
	hosts    *board.Hosts
	prefixes *quarantine.Book
}

// seedOf returns the seed of the order of targets with the same load. It differs between runs of
// hosts and is 0 if the run has no name.
func seedOf(run wire.HostID) uint64 {
	if run == "" {
		return 0
	}
	return digest.Of(string(run))
}

func newWorker(pool object.PoolName, quotas *shard.Quotas, seed uint64, announce func(time.Time, wire.PrefixNotice), reportCrash func(object.PoolName, quarantine.Crash)) *worker {
	decisions := shard.New(pool, quotas)
	decisions.SetTieBreakSeed(seed)
	return &worker{
		pool:     pool,
		shard:    decisions,
		sessions: map[wire.RequestID]registration{},
		requests: map[*Session]map[wire.RequestID]bool{},
		share:    shard.Share{Slots: 1, Quota: 1},
		refusals: common.RateLimit{Limit: refusalLinesPerSecond},
		announce: announce, reportCrash: reportCrash,
	}
}

// configure applies the board to the shard if its part of it has changed. The board changes with each
// member, too, of which there may be hundreds in a second.
func (w *worker) configure(b *board.Board) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.configured
	current := configuration{b.Config(), b.Hosts(), b.Prefixes()}
	w.configured = current
	now := time.Now()
	if current.prefixes != previous.prefixes {
		w.learnPrefixes(now, current.prefixes)
	}
	if current.snapshot == nil || current.snapshot == previous.snapshot && current.hosts == previous.hosts {
		return
	}
	w.applyDecisions(now, w.shard.Configure(now, current.snapshot, current.hosts.LeavingTargets))
}

// learnPrefixes applies what this host knows about the prompt prefixes of the pool, and about requests of any pool, which
// may come to this one. It needs the lock.
func (w *worker) learnPrefixes(now time.Time, book *quarantine.Book) {
	for _, n := range book.Notices(now) {
		if n.Pool == w.pool || n.Kind == wire.RequestCause {
			w.applyDecisions(now, w.shard.LearnPrefix(now, n))
		}
	}
}

// addRequest records the latest registration of a request.
func (w *worker) addRequest(id wire.RequestID, r registration) {
	w.removeRequest(id)
	w.sessions[id] = r
	if w.requests[r.session] == nil {
		w.requests[r.session] = map[wire.RequestID]bool{}
	}
	w.requests[r.session][id] = true
}

func (w *worker) removeRequest(id wire.RequestID) {
	r, found := w.sessions[id]
	if !found {
		return
	}
	delete(w.sessions, id)
	delete(w.requests[r.session], id)
	if len(w.requests[r.session]) == 0 {
		delete(w.requests, r.session)
	}
}

func (w *worker) register(now time.Time, s *Session, r wire.Register) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.addRequest(r.ID, registration{s, r.Attempt})
	w.setShare(now, s.server.attachments.recordRegistration(now, s, s.server.board.Members()))
	w.logSummary(now, s.server, r.Pool)
	w.applyDecisions(now, w.shard.Register(now, r))
	if w.shard.Waiting() > 0 {
		s.server.wakeTicker()
	}
}

// setShare changes the share of the pool that this arbiter may use. Pools whose targets are
// configured by operators are not shared.
func (w *worker) setShare(now time.Time, share shard.Share) {
	if share == w.share || !w.shard.Discovered() {
		return
	}
	w.share = share
	w.applyDecisions(now, w.shard.SetShare(now, share))
}

// finish ignores a message of an old session: the front has registered the request again in a newer
// session.
func (w *worker) finish(now time.Time, s *Session, f wire.Finish) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[f.ID].session != s {
		return
	}
	w.removeRequest(f.ID)
	w.applyDecisions(now, w.shard.Finish(now, f))
}

func (w *worker) withdraw(now time.Time, s *Session, id wire.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[id].session != s {
		return
	}
	w.removeRequest(id)
	w.applyDecisions(now, w.shard.Withdraw(now, id))
}

func (w *worker) drop(now time.Time, s *Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.requests[s] {
		w.removeRequest(id)
		w.applyDecisions(now, w.shard.Withdraw(now, id))
	}
}

// notice applies a notice of a target.
func (w *worker) notice(now time.Time, n wire.TargetNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.applyDecisions(now, w.shard.Notice(now, n))
}

// tick passes the time to the shard and reports whether requests are waiting.
func (w *worker) tick(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shard.Waiting() == 0 {
		return false
	}
	w.applyDecisions(now, w.shard.Tick(now))
	return true
}

// applyDecisions sends the decisions to the fronts that hold the requests.
func (w *worker) applyDecisions(now time.Time, decisions []shard.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case shard.Grant:
			w.send(d.ID, wire.Down{Grant: &wire.Grant{
				Attempt: w.sessions[d.ID].attempt, ID: d.ID, Target: d.Target, WaitedMS: d.Waited.Milliseconds(),
				RateCounted: d.RateCounted, OthersUsed: d.OthersUsed, Watch: d.Watch, Resumption: d.Resumption,
			}})
		case shard.Refuse:
			w.logRefusal(now, d)
			w.send(d.ID, wire.Down{Refuse: &wire.Refuse{Attempt: w.sessions[d.ID].attempt, ID: d.ID, Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds()}})
			w.removeRequest(d.ID)
		case shard.Cancel:
			w.send(d.ID, wire.Down{Cancel: &wire.Cancel{Attempt: w.sessions[d.ID].attempt, ID: d.ID}})
		case shard.Announce:
			w.announce(now, d.Notice)
		case shard.ReportCrash:
			w.reportCrash(w.pool, d.Crash)
		}
	}
}

func (w *worker) send(id wire.RequestID, message wire.Down) {
	if s := w.sessions[id].session; s != nil {
		s.box.Send(message)
	}
}
