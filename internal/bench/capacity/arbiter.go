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

const poolName object.PoolName = "layout"

const (
	targetsPerPool     = 100
	requestsInFlight   = 64 // While the link is measured.
	slotsPerTarget     = 16
	prefixesPerRequest = 4
)

// newSnapshot returns a configuration with the given numbers of accounts and of targets, all
// in one engine pool.
func newSnapshot(targetCount, accountCount int) (*object.Snapshot, error) {
	objects, err := newObjects(targetCount, accountCount)
	if err != nil {
		return nil, err
	}
	return object.Compile(1, "", objects)
}

func newObjects(targetCount, accountCount int) ([]object.Object, error) {
	tiers := []object.TierName{"urgent", "normal", "low", "night"}
	objects := []object.Object{&object.Pool{Name: poolName, Type: object.EnginePool, QueueLimit: 1_000_000}}
	for i, name := range tiers {
		objects = append(objects, &object.Tier{Name: name, Priority: 10 - i, QueueTimeout: object.Duration(time.Hour)})
	}
	for i := range targetCount {
		objects = append(objects, &object.Target{
			Name: object.TargetName(fmt.Sprintf("engine-%d", i)), Pool: poolName, Zone: object.Zone(fmt.Sprintf("zone-%d", i%18)),
			Address: fmt.Sprintf("http://10.1.%d.%d:8000", i/250, i%250), Generation: object.Generation(fmt.Sprintf("g%d", i%3)), Slots: slotsPerTarget,
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

func newRegistration(i int) wire.Register {
	return wire.Register{
		ID: wire.RequestID(fmt.Sprintf("entry-1-ABCDEFGH-%d", i)), Pool: poolName,
		Account: object.AccountName(fmt.Sprintf("account-%d", i%accounts)), Tier: "normal",
		PromptTokens: 900, OutputTokens: 400, Phase: wire.Waiting,
		Prefixes: []wire.PrefixHash{wire.PrefixHash(i * 7919), wire.PrefixHash(i * 104729)},
	}
}

// newFullShard returns a shard with the given number of waiting requests and no free slot.
func newFullShard(waiting int) (*shard.Shard, error) {
	snapshot, err := newSnapshot(targetsPerPool, accounts)
	if err != nil {
		return nil, err
	}
	s := shard.New(poolName, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	for i := range targetsPerPool * slotsPerTarget {
		s.Register(now, newRegistration(i))
	}
	for i := range waiting {
		s.Register(now, newRegistration(targetsPerPool*slotsPerTarget+i))
	}
	if s.Waiting() != waiting {
		return nil, fmt.Errorf("%d requests wait, not %d", s.Waiting(), waiting)
	}
	return s, nil
}

func waitingMemory(size int) (float64, error) {
	base, err := newFullShard(0)
	if err != nil {
		return 0, err
	}
	value := heapGrowth(func() any {
		for i := range size {
			base.Register(time.Unix(0, 0), newRegistration(targetsPerPool*slotsPerTarget+i))
		}
		return base
	})
	return value, nil
}

func prefixMemory(size int) (float64, error) {
	snapshot, err := newSnapshot(targetsPerPool, 1)
	if err != nil {
		return 0, err
	}
	s := shard.New(poolName, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	return heapGrowth(func() any {
		for i := range size / prefixesPerRequest {
			r := newRegistration(i)
			r.Account = "account-0"
			r.Prefixes = nil
			for j := range prefixesPerRequest {
				r.Prefixes = append(r.Prefixes, wire.PrefixHash(i*prefixesPerRequest+j+1))
			}
			s.Register(now, r)
			s.Finish(now, wire.Finish{ID: r.ID, Pool: poolName, Dispatched: true, Completed: true})
		}
		return s
	}), nil
}

func rebuildTime(size int) (float64, error) {
	snapshot, err := newSnapshot(targetsPerPool, accounts)
	if err != nil {
		return 0, err
	}
	s := shard.New(poolName, shard.NewQuotas())
	now := time.Unix(0, 0)
	s.Configure(now, snapshot, nil)
	started := time.Now()
	for i := range size {
		r := newRegistration(i)
		r.Moved = true
		if i < targetsPerPool*slotsPerTarget/2 {
			r.Phase = wire.Running
			r.Target = object.TargetName(fmt.Sprintf("engine-%d", i%targetsPerPool))
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

// countingListener counts the bytes of the connections that it accepts.
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

// newCountedServer starts an unencrypted HTTP/2 server, as hosts run it for their peers, and
// counts the bytes of its connections.
func newCountedServer(handler http.Handler, bytes *atomic.Int64) *httptest.Server {
	server := httptest.NewUnstartedServer(handler)
	server.Listener = countingListener{server.Listener, bytes}
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server.Config.Protocols = protocols
	server.Start()
	return server
}

// linkPair is a front and an arbiter that communicate over a real connection on loopback.
type linkPair struct {
	client *arbiter.Client
	local  *front.Server
	remote *front.Server
	server *httptest.Server
	bytes  atomic.Int64
	served int // Requests so far, so that the next ones get new ids.
}

func newLinkPair() (*linkPair, error) {
	snapshot, err := newSnapshot(targetsPerPool, accounts)
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
	// The front marks itself as leaving, so it always selects the other member as the arbiter.
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

// serve registers requests, waits for their grants and finishes them, requestsInFlight at a
// time.
func (p *linkPair) serve(requests int) error {
	var workers sync.WaitGroup
	var next atomic.Int64
	var failed atomic.Pointer[error]
	for range requestsInFlight {
		workers.Go(func() {
			for {
				i := int(next.Add(1))
				if i > requests {
					return
				}
				ticket := p.client.Register(newRegistration(p.served + i))
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
	p.served += requests
	if err := failed.Load(); err != nil {
		return *err
	}
	return nil
}

// measureLink returns the growth of a quantity over the given number of requests, after a
// warm-up.
func measureLink(requests int, quantity func(*linkPair) float64) (float64, error) {
	p, err := newLinkPair()
	if err != nil {
		return 0, err
	}
	defer func() { _ = p.close() }()
	if err := p.serve(requestsInFlight); err != nil {
		return 0, err
	}
	before := quantity(p)
	if err := p.serve(requests); err != nil {
		return 0, err
	}
	return quantity(p) - before, nil
}

func linkBytes(requests int) (float64, error) {
	return measureLink(requests, func(p *linkPair) float64 { return float64(p.bytes.Load()) })
}

func linkCPU(requests int) (float64, error) {
	return measureLink(requests, func(*linkPair) float64 { return float64(cpuTime().Microseconds()) })
}

func ticketMemory(size int) (float64, error) {
	snapshot, err := newSnapshot(1, accounts)
	if err != nil {
		return 0, err
	}
	c := common.Discard()
	b := board.New(board.Member{Name: "front", Run: "front-1"})
	b.SetConfig(snapshot)
	// A server whose pool has no targets would refuse the requests. The only member is the
	// front itself, so it does not connect to another arbiter.
	self := board.Member{Name: "front", Run: "front-1", Leaving: true}
	b.SetMembers(&board.Members{Self: self, Live: []board.Member{self}})
	local := front.New(c, b)
	client := arbiter.New(c, b, local, http2.New(c.Settings.Peers.LinkTimeout, nil))
	value := heapGrowth(func() any {
		tickets := make([]*arbiter.Ticket, 0, size)
		for i := range size {
			tickets = append(tickets, client.Register(newRegistration(i)))
		}
		return tickets
	})
	return value, errors.Join(client.Close(), local.Close())
}
