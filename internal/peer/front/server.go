// Package front serves fronts: it takes their registrations, runs the shards of the
// pools that this process arbitrates, and sends the decisions back.
package front

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/digest"
	"redwinglock/internal/state/object"
)

// tickInterval is the resolution of time-outs in a shard.
const tickInterval = 10 * time.Millisecond

// Server runs the shards of this process.
type Server struct {
	common *common.Common
	log    *logrus.Entry
	board  *board.Board
	stop   context.CancelFunc
	done   sync.WaitGroup

	// waiting receives a value when a request begins to wait.
	waiting chan struct{}

	attached attachments
	quotas   *shard.Quotas

	mu      sync.RWMutex
	workers map[object.PoolName]*worker
}

// New creates a server and starts its clock.
func New(c *common.Common, b *board.Board) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		common:   c,
		log:      c.Log("arbiter"),
		board:    b,
		stop:     stop,
		waiting:  make(chan struct{}, 1),
		attached: attachments{last: map[*Session]time.Time{}},
		quotas:   shard.NewQuotas(),
		workers:  map[object.PoolName]*worker{},
	}
	s.done.Add(2)
	go s.tick(ctx)
	go s.follow(ctx)
	return s
}

// Close stops the clock of all shards and waits for it.
func (s *Server) Close() error {
	s.stop()
	s.done.Wait()
	return nil
}

// tick passes the time to the shards while any of them has waiting requests. Otherwise
// it sleeps, because a host arbitrates many pools at times and none at others.
func (s *Server) tick(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		busy := false
		for _, w := range s.all() {
			busy = w.tick(time.Now()) || busy
		}
		if !busy {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-s.waiting:
			}
			ticker.Reset(tickInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// noteWaiting wakes the clock.
func (s *Server) noteWaiting() {
	select {
	case s.waiting <- struct{}{}:
	default:
	}
}

// follow applies each new configuration to all shards.
func (s *Server) follow(ctx context.Context) {
	defer s.done.Done()
	for {
		changed := s.board.Changed()
		for _, w := range s.all() {
			w.configure(s.board)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) all() []*worker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make([]*worker, 0, len(s.workers))
	for _, w := range s.workers {
		all = append(all, w)
	}
	return all
}

func (s *Server) worker(pool object.PoolName) *worker {
	s.mu.RLock()
	w := s.workers[pool]
	s.mu.RUnlock()
	if w != nil {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.workers[pool]; w != nil {
		return w
	}
	w = newWorker(pool, s.quotas, seedOf(s.board.Members().Self.Run))
	if g := s.common.Settings.Gateway; g != nil {
		w.shard.LimitRollouts(shard.RolloutLimits{Share: g.Rollout.Share, Slack: g.Rollout.Slack})
	}
	w.configure(s.board)
	s.workers[pool] = w
	s.log.WithField("pool", pool).Info("Shard opened.")
	return w
}

// Rollout returns how the rollout of a pool stands at this arbiter, and false if none is being
// judged here.
func (s *Server) Rollout(pool object.PoolName) (shard.RolloutState, bool) {
	w := s.worker(pool)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Rollout(time.Now())
}

// Session is one front's connection to the shards of this process.
type Session struct {
	server *Server
	host   wire.HostID
	box    *wire.Outbox[wire.Down]
}

// Attach opens a session for a front. Decisions are put into the outbox.
func (s *Server) Attach(host wire.HostID, box *wire.Outbox[wire.Down]) *Session {
	return &Session{server: s, host: host, box: box}
}

// Handle carries out one message of the front.
func (s *Session) Handle(message wire.Up) {
	now := time.Now()
	switch {
	case message.Register != nil:
		message.Register.Front = s.host
		s.server.worker(message.Register.Pool).register(now, s, *message.Register)
	case message.Finish != nil:
		s.server.worker(message.Finish.Pool).finish(now, s, *message.Finish)
	case message.Used != nil:
		s.server.quotas.Learn(now, s.host, *message.Used)
	case message.Notice != nil:
		s.server.worker(message.Notice.Pool).notice(now, *message.Notice)
	case message.Left:
		s.server.attached.drop(s)
		s.server.quotas.Forget(s.host)
	case message.Withdraw != nil:
		s.server.worker(message.Withdraw.Pool).withdraw(now, s, message.Withdraw.ID)
	}
}

// Close ends the session. The front's requests are forgotten here: the front registers
// them again, or its callers have gone with it.
func (s *Session) Close() error {
	now := time.Now()
	s.server.attached.drop(s)
	s.server.quotas.Forget(s.host)
	for _, w := range s.server.all() {
		w.drop(now, s)
	}
	s.box.Close()
	return nil
}

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
	// loggedAt is when the state of the pool was last logged.
	loggedAt time.Time
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
	decisions.Shuffle(seed)
	return &worker{
		shard:    decisions,
		sessions: map[wire.RequestID]registered{},
		share:    shard.Share{Slots: 1, Quota: 1},
	}
}

func (w *worker) configure(b *board.Board) {
	snapshot := b.Config()
	if snapshot == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut(w.shard.Configure(time.Now(), snapshot, b.Hosts().LeavingTargets))
}

func (w *worker) register(now time.Time, s *Session, r wire.Register) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sessions[r.ID] = registered{s, r.Attempt}
	w.setShare(now, s.server.attached.note(now, s, s.server.board.Members()))
	w.logSummary(now, s.server, r.Pool)
	w.carryOut(w.shard.Register(now, r))
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
	w.carryOut(w.shard.SetShare(now, share))
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
	w.carryOut(w.shard.Finish(now, f))
}

func (w *worker) withdraw(now time.Time, s *Session, id wire.RequestID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[id].session != s {
		return
	}
	delete(w.sessions, id)
	w.carryOut(w.shard.Withdraw(now, id))
}

func (w *worker) drop(now time.Time, s *Session) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, owner := range w.sessions {
		if owner.session != s {
			continue
		}
		delete(w.sessions, id)
		w.carryOut(w.shard.Withdraw(now, id))
	}
}

// notice takes what a target has said of itself.
func (w *worker) notice(now time.Time, n wire.TargetNotice) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.carryOut(w.shard.Notice(now, n))
}

// tick reports whether requests are waiting.
func (w *worker) tick(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.shard.Waiting() == 0 {
		return false
	}
	w.carryOut(w.shard.Tick(now))
	return true
}

// carryOut sends decisions to the fronts that hold the requests.
func (w *worker) carryOut(decisions []shard.Decision) {
	for _, decision := range decisions {
		switch d := decision.(type) {
		case shard.Grant:
			w.send(d.ID, wire.Down{Grant: &wire.Grant{Attempt: w.sessions[d.ID].attempt, ID: d.ID, Target: d.Target, WaitedMS: d.Waited.Milliseconds()}})
		case shard.Refuse:
			w.logRefusal(d)
			w.send(d.ID, wire.Down{Refuse: &wire.Refuse{Attempt: w.sessions[d.ID].attempt, ID: d.ID, Reason: d.Reason, RetryAfterMS: d.RetryAfter.Milliseconds()}})
			delete(w.sessions, d.ID)
		case shard.Cancel:
			w.send(d.ID, wire.Down{Cancel: &wire.Cancel{Attempt: w.sessions[d.ID].attempt, ID: d.ID}})
		}
	}
}

// summaryInterval is the time between two log lines about a pool that is in use.
const summaryInterval = time.Second

// logSummary writes the state of a pool that is in use, once in a while.
func (w *worker) logSummary(now time.Time, s *Server, pool object.PoolName) {
	if now.Sub(w.loggedAt) < summaryInterval {
		return
	}
	w.loggedAt = now
	sum := w.shard.Summary()
	s.log.WithFields(logrus.Fields{
		"pool": pool, "targets": sum.Targets, "open": sum.Open, "ready": sum.Ready, "failed": sum.Failed,
		"slots": sum.Slots, "slot-share": sum.Share.Slots, "quota-share": sum.Share.Quota,
		"waiting": sum.Waiting, "running": sum.Running,
	}).Info("Pool state.")
}

// logRefusal writes what the decision rested on.
func (w *worker) logRefusal(d shard.Refuse) {
	if w.sessions[d.ID].session == nil {
		return
	}
	sum := w.shard.Summary()
	log := w.sessions[d.ID].session.server.log
	if d.Quota != nil {
		log = log.WithFields(logrus.Fields{
			"account": d.Quota.Account, "quota-cost": d.Quota.Cost, "quota-used": d.Quota.Used, "quota-limit": d.Quota.Limit,
			"class-used": d.Quota.ClassUsed, "class-limit": d.Quota.ClassLimit,
		})
	}
	log.WithFields(logrus.Fields{
		"request": d.ID, "tier": d.Tier, "class": d.Class, "reason": d.Reason, "retry-after": d.RetryAfter.String(),
		"waited-ms": d.Waited.Milliseconds(), "late": d.Late, "ready": sum.Ready, "failed": sum.Failed, "slots": sum.Slots,
		"slot-share": sum.Share.Slots, "quota-share": sum.Share.Quota, "waiting": sum.Waiting, "running": sum.Running,
	}).Info("Request refused.")
}

func (w *worker) send(id wire.RequestID, message wire.Down) {
	if s := w.sessions[id].session; s != nil {
		s.box.Send(message)
	}
}
