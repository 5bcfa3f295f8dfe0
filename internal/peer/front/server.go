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
		s.server.quotas.AddReported(now, s.host, *message.Used)
	case message.Notice != nil:
		s.server.worker(message.Notice.Pool).notice(now, *message.Notice)
	case message.Left:
		s.server.attached.drop(s)
		s.server.quotas.RemoveFront(s.host)
	case message.Withdraw != nil:
		s.server.worker(message.Withdraw.Pool).withdraw(now, s, message.Withdraw.ID)
	}
}

// Close ends the session. The front's requests are forgotten here: the front registers
// them again, or its callers have gone with it.
func (s *Session) Close() error {
	now := time.Now()
	s.server.attached.drop(s)
	s.server.quotas.RemoveFront(s.host)
	for _, w := range s.server.all() {
		w.drop(now, s)
	}
	s.box.Close()
	return nil
}
