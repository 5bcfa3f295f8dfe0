package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"redwinglock/internal/peer/arbiter"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/pool/shard"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

const pool object.PoolName = "layout"

const (
	poolSize  = 100 // Targets of one pool.
	inFlight  = 64  // Requests in flight while the link is measured.
	slotsEach = 16
	prefixLen = 4
)

// snapshotOf returns a configuration with one engine pool of the given number of targets.
func snapshotOf(targetCount, accountCount int) (*object.Snapshot, error) {
	objects, err := objectsOf(targetCount, accountCount)
	if err != nil {
		return nil, err
	}
	return object.Compile(1, "", objects)
}

func objectsOf(targetCount, accountCount int) ([]object.Object, error) {
	tiers := []object.TierName{"urgent", "normal", "low", "night"}
	objects := []object.Object{&object.Pool{Name: pool, Type: object.EnginePool, QueueLimit: 1_000_000}}
	for i, name := range tiers {
		objects = append(objects, &object.Tier{Name: name, Priority: 10 - i, QueueTimeout: object.Duration(time.Hour)})
	}
	for i := range targetCount {
		objects = append(objects, &object.Target{
			Name: object.TargetName(fmt.Sprintf("engine-%d", i)), Pool: pool, Zone: object.Zone(fmt.Sprintf("zone-%d", i%18)),
			Address: fmt.Sprintf("http://10.1.%d.%d:8000", i/250, i%250), Generation: object.Generation(fmt.Sprintf("g%d", i%3)), Slots: slotsEach,
		})
	}
	for i := range accountCount {
		objects = append(objects, &object.Account{
			Name: object.AccountName(fmt.Sprintf("account-%d", i)), Group: "small", Tiers: tiers, Weight: 1 + i%3,
			KeyHashes: []string{object.HashKey(fmt.Sprint("key", i))}, MaxInFlight: 100,
		})
	}
	return objects, nil
}

func registration(i int) wire.Register {
	return wire.Register{
		ID: wire.RequestID(fmt.Sprintf("entry-1-ABCDEFGH-%d", i)), Pool: pool,
		Account: object.AccountName(fmt.Sprintf("account-%d", i%accounts)), Tier: "normal",
		PromptTokens: 900, OutputTokens: 400, Phase: wire.Waiting,
		Prefixes: []wire.PrefixHash{wire.PrefixHash(i * 7919), wire.PrefixHash(i * 104729)},
	}
}

// fullShard returns a shard with the given number of waiting requests and no free slot.
func fullShard(waiting int) (*shard.Shard, error) {
	snapshot, err := snapshotOf(poolSize, accounts)
	if err != nil {
		return nil, err
	}
	s := shard.New(pool, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	for i := range poolSize * slotsEach {
		s.Register(now, registration(i))
	}
	for i := range waiting {
		s.Register(now, registration(poolSize*slotsEach+i))
	}
	if s.Waiting() != waiting {
		return nil, fmt.Errorf("%d requests wait, not %d", s.Waiting(), waiting)
	}
	return s, nil
}

func waitingMemory(size int) (float64, error) {
	base, err := fullShard(0)
	if err != nil {
		return 0, err
	}
	value := grown(func() any {
		for i := range size {
			base.Register(time.Unix(0, 0), registration(poolSize*slotsEach+i))
		}
		return base
	})
	return value, nil
}

func prefixMemory(size int) (float64, error) {
	snapshot, err := snapshotOf(poolSize, 1)
	if err != nil {
		return 0, err
	}
	s := shard.New(pool, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	return grown(func() any {
		for i := range size / prefixLen {
			r := registration(i)
			r.Account = "account-0"
			r.Prefixes = nil
			for j := range prefixLen {
				r.Prefixes = append(r.Prefixes, wire.PrefixHash(i*prefixLen+j+1))
			}
			s.Register(now, r)
			s.Finish(now, wire.Finish{ID: r.ID, Pool: pool, Dispatched: true, Completed: true})
		}
		return s
	}), nil
}

func rebuildTime(size int) (float64, error) {
	snapshot, err := snapshotOf(poolSize, accounts)
	if err != nil {
		return 0, err
	}
	s := shard.New(pool, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	started := time.Now()
	for i := range size {
		r := registration(i)
		r.Moved = true
		if i < poolSize*slotsEach/2 {
			r.Phase = wire.Running
			r.Target = object.TargetName(fmt.Sprintf("engine-%d", i%poolSize))
		}
		s.Register(now, r)
	}
	s.Tick(now.Add(shard.WarmUp))
	return float64(time.Since(started).Microseconds()), nil
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept: %w", err)
	}
	return countingConn{conn, l.bytes}, nil
}

// newCountedServer starts a server as hosts run it for their peers.
func newCountedServer(handler http.Handler, bytes *atomic.Int64) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener = countingListener{server.Listener, bytes}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	return server
}

// linkPair is a front and an arbiter that talk over a real connection on loopback.
type linkPair struct {
	client  *arbiter.Client
	local   *front.Server
	remote  *front.Server
	server  *httptest.Server
	bytes   atomic.Int64
	counted int
}

func newLinkPair() (*linkPair, error) {
	snapshot, err := snapshotOf(poolSize, accounts)
	if err != nil {
		return nil, err
	}
	p := &linkPair{}
	c := common.Discard()
	remoteBoard := board.New(board.Member{Name: "arbiter"})
	remoteBoard.SetConfig(snapshot)
	p.remote = front.New(c, remoteBoard)
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	router.POST(wire.LinkPath, p.remote.ServeLink)
	p.server = newCountedServer(router, &p.bytes)

	self := board.Member{Name: "front", Run: "front-1"}
	frontBoard := board.New(self)
	frontBoard.SetConfig(snapshot)
	// The front is leaving in its own view, so the arbiter is always the other member.
	self.Leaving = true
	frontBoard.SetMembers(&board.Members{Self: self, Live: []board.Member{self, {Name: "arbiter", PeerURL: p.server.URL}}})
	p.local = front.New(c, frontBoard)
	p.client = arbiter.New(c, frontBoard, p.local, http2.New(c.Settings.Peers.LinkTimeout, nil))
	return p, nil
}

func (p *linkPair) close() error {
	err := errors.Join(p.client.Close(), p.local.Close())
	p.server.CloseClientConnections()
	p.server.Close()
	return errors.Join(err, p.remote.Close())
}

// serve takes requests through registration, grant and finish.
func (p *linkPair) serve(requests int) error {
	var workers sync.WaitGroup
	var next atomic.Int64
	var failed atomic.Pointer[error]
	for range inFlight {
		workers.Go(func() {
			for {
				i := int(next.Add(1))
				if i > requests {
					return
				}
				ticket := p.client.Register(registration(p.counted + i))
				if _, err := p.client.Wait(context.Background(), ticket); err != nil {
					failed.Store(&err)
					return
				}
				ticket.Dispatch()
				ticket.Finish(wire.Finish{Completed: true, PromptTokens: 900, OutputTokens: 400, FirstTokenMS: 120, DecodeUS: 30_000})
			}
		})
	}
	workers.Wait()
	p.counted += requests
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// overLink measures a quantity over the given number of requests, after a warm-up.
func overLink(requests int, quantity func(*linkPair) float64) (float64, error) {
	p, err := newLinkPair()
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.close() }()
	if err := p.serve(inFlight); err != nil {
		return 0, err
	}
	before := quantity(p)
	if err := p.serve(requests); err != nil {
		return 0, err
	}
	return quantity(p) - before, nil
}

func linkBytes(requests int) (float64, error) {
	return overLink(requests, func(p *linkPair) float64 { return float64(p.bytes.Load()) })
}

func linkCPU(requests int) (float64, error) {
	return overLink(requests, func(*linkPair) float64 { return float64(cpuTime().Microseconds()) })
}

func ticketMemory(size int) (float64, error) {
	snapshot, err := snapshotOf(1, accounts)
	if err != nil {
		return 0, err
	}
	c := common.Discard()
	b := board.New(board.Member{Name: "front", Run: "front-1"})
	b.SetConfig(snapshot)
	// A server without shards' targets would refuse; this link goes nowhere instead.
	self := board.Member{Name: "front", Run: "front-1", Leaving: true}
	b.SetMembers(&board.Members{Self: self, Live: []board.Member{self}})
	local := front.New(c, b)
	client := arbiter.New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, nil))
	value := grown(func() any {
		tickets := make([]*arbiter.Ticket, 0, size)
		for i := range size {
			tickets = append(tickets, client.Register(registration(i)))
		}
		return tickets
	})
	return value, errors.Join(client.Close(), local.Close())
}
