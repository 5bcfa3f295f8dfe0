// Package front is the server of an arbiter for its fronts. It receives their registrations, runs
// the shards of the pools that this process arbitrates, and sends the decisions back.
package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// tickInterval is the resolution of timeouts in a shard.
const tickInterval = 10 * time.Millisecond

// Server runs the shards of this process.
type Server struct {
	common *common.Common
	log    *logrus.Entry
	board  *board.Board
	stop   context.CancelFunc
	done   sync.WaitGroup

	// wake receives a value when a request starts to wait. It restarts the ticker.
	wake chan struct{}

	attachments attachments
	quotas      *shard.Quotas

	mu       sync.RWMutex
	workers  map[object.PoolName]*worker
	sessions map[*Session]bool

	forwarded         forwardedNotices
	forwardedPrefixes forwardedPrefixes
}

// New creates a server and starts its ticker.
func New(c *common.Common, b *board.Board) *Server {
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		common:      c,
		log:         c.Log("arbiter"),
		board:       b,
		stop:        stop,
		wake:        make(chan struct{}, 1),
		attachments: newAttachments(c.Settings.Peers.LinkInterval, c.Settings.Peers.LinkTimeout),
		quotas:      shard.NewQuotas(),
		workers:     map[object.PoolName]*worker{},
		sessions:    map[*Session]bool{},
	}
	s.done.Add(2)
	go s.tick(ctx)
	go s.watchConfig(ctx)
	return s
}

// Close stops the background goroutines of the server and waits for them.
func (s *Server) Close() error {
	s.stop()
	s.done.Wait()
	return nil
}

// tick passes the time to the shards while any of them has waiting requests. Otherwise the ticker
// is stopped: a host arbitrates many pools at some times and none at others.
func (s *Server) tick(ctx context.Context) {
	defer s.done.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		busy := false
		for _, w := range s.allWorkers() {
			busy = w.tick(time.Now()) || busy
		}
		if !busy {
			ticker.Stop()
			select {
			case <-ctx.Done():
				return
			case <-s.wake:
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

// wakeTicker restarts the ticker if it is stopped.
func (s *Server) wakeTicker() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// watchConfig applies each new configuration to all shards.
func (s *Server) watchConfig(ctx context.Context) {
	defer s.done.Done()
	for {
		changed := s.board.Changed()
		s.learnBursts()
		for _, w := range s.allWorkers() {
			w.configure(s.board)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Server) allWorkers() []*worker {
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
	w = newWorker(pool, s.quotas, seedOf(s.board.Members().Self.Run), s.announcePrefix, s.reportCrash)
	w.shard.SetOrigins(s.board.Origins(pool))
	if g := s.common.Settings.Gateway; g != nil {
		w.shard.SetRolloutLimits(shard.RolloutLimits{Share: g.Rollout.Share, Slack: g.Rollout.Slack})
		w.shard.SetStartWait(g.ArbiterWait)
	}
	for _, n := range s.board.Notices().Notices(time.Now()) {
		if n.Pool == pool {
			w.notice(time.Now(), n)
		}
	}
	w.configure(s.board)
	s.learnBursts() // Before the first request is admitted.
	s.workers[pool] = w
	s.log.WithField("pool", pool).Info("Shard opened.")
	return w
}

// Rollout returns the state of the rollout of a pool at this arbiter, and false if no trial runs
// here. It also advances the trial.
func (s *Server) Rollout(pool object.PoolName) (shard.RolloutState, bool) {
	w := s.worker(pool)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.shard.Rollout(time.Now())
}

// learnBursts passes on what is stored about accounts that use their quotas in bursts.
func (s *Server) learnBursts() {
	bursts := map[object.AccountName]shard.QuotaExcess{}
	for account, excess := range s.board.BurstRecord().Excess {
		bursts[account] = shard.QuotaExcess(excess)
	}
	s.quotas.SetStoredBursts(time.Now(), bursts)
}

// QuotaBursts returns by how much accounts exceed an even usage of their quotas, as fractions of their limits.
func (s *Server) QuotaBursts(now time.Time) map[object.AccountName]float64 {
	bursts := map[object.AccountName]float64{}
	for account, excess := range s.quotas.Bursts(now) {
		bursts[account] = float64(excess)
	}
	return bursts
}

// QuotaBurstGrew returns a channel that receives a value when an excess grows.
func (s *Server) QuotaBurstGrew() <-chan struct{} { return s.quotas.BurstGrew() }

// Session is one front's connection to the shards of this process.
type Session struct {
	server *Server
	host   wire.HostID
	box    *wire.Outbox[wire.Down]
	// local is set for the front of this process.
	local bool
	// heardAt is when the latest message arrived, in Unix nanoseconds.
	heardAt atomic.Int64
}

// isQuiet reports whether the front may have lost its link to this arbiter.
func (s *Session) isQuiet(now time.Time, after time.Duration) bool {
	return !s.local && now.Sub(time.Unix(0, s.heardAt.Load())) > after
}

// Attach opens a session for a front. Decisions are put into the outbox, after what this host knows
// about targets from their answers and the front, whose notices have the given digests, does not.
func (s *Server) Attach(host wire.HostID, box *wire.Outbox[wire.Down], known notice.Digests) *Session {
	session := &Session{server: s, host: host, box: box, local: host == s.board.Members().Self.Run}
	session.heardAt.Store(time.Now().UnixNano())
	s.mu.Lock()
	s.sessions[session] = true
	s.mu.Unlock()
	for _, n := range s.board.Notices().NoticesFor(time.Now(), known) {
		box.Send(wire.Down{Notice: &n})
	}
	for _, n := range s.board.Prefixes().Notices(time.Now()) {
		box.Send(wire.Down{Prefix: &n})
	}
	return session
}

// Handle processes one message of the front.
func (s *Session) Handle(message wire.Up) {
	now := time.Now()
	s.heardAt.Store(now.UnixNano())
	switch {
	case message.Register != nil:
		message.Register.Front = s.host
		s.server.worker(message.Register.Pool).register(now, s, *message.Register)
	case message.Finish != nil:
		s.server.worker(message.Finish.Pool).finish(now, s, *message.Finish)
	case message.Used != nil:
		s.server.quotas.AddReported(now, s.host, *message.Used)
	case message.Notice != nil:
		s.server.recordNotice(now, *message.Notice)
	case message.Prefix != nil:
		s.server.recordPrefix(now, *message.Prefix)
	case message.Left:
		s.server.attachments.drop(s)
		s.server.quotas.RemoveFront(s.host)
	case message.Withdraw != nil:
		s.server.worker(message.Withdraw.Pool).withdraw(now, s, message.Withdraw.ID)
	}
}

// Close ends the session and removes the requests of the front. The front registers them again, or
// it has ended and its callers are disconnected.
func (s *Session) Close() error {
	now := time.Now()
	s.server.mu.Lock()
	delete(s.server.sessions, s)
	s.server.mu.Unlock()
	s.server.attachments.drop(s)
	s.server.quotas.RemoveFront(s.host)
	for _, w := range s.server.allWorkers() {
		w.drop(now, s)
	}
	s.box.Close()
	return nil
}
