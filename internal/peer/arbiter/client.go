// Package arbiter is the client of a front for the arbiters of pools. It registers requests,
// waits for grants, and registers requests again when the arbiter of their pool changes.
package arbiter

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
	"redwinglock/internal/state/outcome"
)

const (
	// suspectDuration is how long an arbiter is avoided after its link has failed.
	suspectDuration = 2 * time.Second
	// undecidedRetryAfter is the retry hint for a request that ends before an arbiter has decided.
	undecidedRetryAfter = time.Second
)

// Client holds the tickets of all requests of this front.
type Client struct {
	common  *common.Common
	log     *logrus.Entry
	board   *board.Board
	local   *front.Server
	http    *http2.Client
	tickets sync.Map // wire.RequestID to *Ticket.
	usage   *usage
	// newLink opens a link to another host. Tests replace it.
	newLink func(c *Client, self wire.HostID, owner board.Member) link

	// started is closed when requests need not wait for a link any more.
	started chan struct{}
	// linkOpened receives a value when a link to another host opens.
	linkOpened chan struct{}

	mu       sync.RWMutex
	links    map[string]link      // By URL of the peer listener.
	suspects map[string]time.Time // By URL of the peer listener: until when the arbiter is avoided.

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

// New creates a client. The local server is used for pools that this process arbitrates.
func New(c *common.Common, b *board.Board, local *front.Server, peers *http2.Client) *Client {
	ctx, stop := context.WithCancel(context.Background())
	client := &Client{
		common:     c,
		log:        c.Log("front"),
		board:      b,
		local:      local,
		http:       peers,
		links:      map[string]link{},
		suspects:   map[string]time.Time{},
		usage:      newUsage(),
		newLink:    newRemoteLink,
		started:    make(chan struct{}),
		linkOpened: make(chan struct{}, 1),
		ctx:        ctx,
		stop:       stop,
	}
	client.done.Add(1)
	go client.watchBoard()
	if client.arbiterWait() == 0 {
		close(client.started)
		return client
	}
	client.done.Go(client.start)
	return client
}

// Close closes all links and waits for them.
func (c *Client) Close() error {
	c.stop()
	c.mu.Lock()
	for _, l := range c.links {
		l.close()
	}
	c.mu.Unlock()
	c.done.Wait()
	return c.http.Close()
}

// Register creates a ticket and registers it with the arbiter of its pool.
func (c *Client) Register(r wire.Register) *Ticket {
	t := newTicket(c, r, time.Now())
	l := c.linkFor(r.Pool)
	t.mu.Lock()
	first := t.nextRegistration(t.createdAt, false)
	t.link = l
	c.tickets.Store(t.id, t)
	c.reportState(r.Pool, l)
	l.send(wire.Up{Register: &first})
	t.mu.Unlock()
	// If the link failed before the ticket was stored, linkFailed has not moved it.
	if l.failed() {
		c.moveAll()
	}
	return t
}

// Notify forwards a notice of a target to the arbiter of its pool. This host may be the next arbiter, so
// its own shards learn it, too.
func (c *Client) Notify(n wire.TargetNotice) {
	l := c.linkFor(n.Pool)
	l.send(wire.Up{Notice: &n})
	if _, isLocal := l.(*localLink); !isLocal {
		c.local.LearnNotice(time.Now(), n)
	}
}

// NotifyPrefix forwards a notice about a prompt prefix to the arbiter of its pool.
func (c *Client) NotifyPrefix(n wire.PrefixNotice) {
	c.linkFor(n.Pool).send(wire.Up{Prefix: &n})
}

// reportState sends the quota usage of this front and the notices of targets to the arbiter of the
// pools with shared quotas, when the requests of the front start to go to that arbiter.
func (c *Client) reportState(pool object.PoolName, l link) {
	if config := c.board.Config(); config != nil && config.Pool(pool) != nil && config.Pool(pool).Discovered {
		c.usage.reportTo(l, c.board)
	}
}

// Wait returns the granted target, or a refusal of package outcome. After an error the ticket has
// ended and was not dispatched.
func (c *Client) Wait(ctx context.Context, t *Ticket) (object.TargetName, error) {
	select {
	case d := <-t.decision:
		if d.Refuse != nil {
			c.tickets.Delete(t.id)
			after := time.Duration(d.Refuse.RetryAfterMS) * time.Millisecond
			return "", outcome.Refuse(d.Refuse.Reason, after, "the pool cannot take the request now")
		}
		return d.Grant.Target, nil
	case <-ctx.Done():
		t.Finish(wire.Finish{})
		if context.Cause(ctx) == context.DeadlineExceeded {
			return "", outcome.Refuse(outcome.DeadlinePassed, undecidedRetryAfter, "the deadline passed before a target was free")
		}
		return "", outcome.Refuse(outcome.CallerDisconnected, 0, "the caller closed the connection")
	}
}

// linkFor returns the link to the arbiter of a pool.
func (c *Client) linkFor(pool object.PoolName) link {
	members := c.board.Members()
	var zones map[object.Zone]bool
	if config := c.board.Config(); config != nil && config.Pool(pool) != nil {
		view := config.Pool(pool)
		if view.Discovered {
			return c.sharedLink(members)
		}
		zones = view.Zones
	}
	return c.linkTo(members, members.Owner(pool, zones, c.usable))
}

// sharedLink returns the link to the arbiter of the pools with discovered targets. Until a
// link to that arbiter is open, it returns the link to the best arbiter with an open link, or to
// this host if there is none. Arbiters share such pools without coordination, so no request has to
// wait for a connection.
func (c *Client) sharedLink(members *board.Members) link {
	l := c.linkTo(members, members.Owner(board.DiscoveredPools, nil, c.usable))
	if l.ready() {
		return l
	}
	return c.linkTo(members, members.Owner(board.DiscoveredPools, nil, c.connected))
}

// connected reports whether a link to the member is open. The link to this host is always open.
func (c *Client) connected(m board.Member) bool {
	if m.Name == c.board.Members().Self.Name {
		return true
	}
	c.mu.RLock()
	defer c.mu.RUnlock()
	l := c.links[m.PeerURL]
	return l != nil && l.ready()
}

// linkTo returns the link to a member, and opens one if there is none.
func (c *Client) linkTo(members *board.Members, owner board.Member) link {
	if owner.Name == members.Self.Name {
		owner.PeerURL = ""
	}
	c.mu.RLock()
	l := c.links[owner.PeerURL]
	c.mu.RUnlock()
	if l != nil && !l.failed() {
		return l
	}
	return c.openLink(owner)
}

func (c *Client) openLink(owner board.Member) link {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[owner.PeerURL]; l != nil && !l.failed() {
		return l
	}
	if c.ctx.Err() != nil {
		return closedLink{} // Close would not wait for a new link.
	}
	self := c.board.Members().Self.Run
	var l link
	if owner.PeerURL == "" {
		l = newLocalLink(c, self)
	} else {
		l = c.newLink(c, self, owner)
	}
	c.links[owner.PeerURL] = l
	return l
}

// usable reports whether no link to the member has failed within suspectDuration.
func (c *Client) usable(m board.Member) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	until, suspected := c.suspects[m.PeerURL]
	return !suspected || time.Now().After(until)
}

// linkFailed avoids the arbiter for suspectDuration and moves its requests to other arbiters.
func (c *Client) linkFailed(peerURL string, err error) {
	if c.ctx.Err() != nil {
		return
	}
	c.log.WithField("arbiter", peerURL).WithError(err).Warn("Link lost.")
	c.common.CountRetry("arbiter-lost")
	c.mu.Lock()
	c.suspects[peerURL] = time.Now().Add(suspectDuration)
	c.mu.Unlock()
	c.moveAll()
}

// watchBoard moves requests when the owner of their pool changes, and closes idle links.
func (c *Client) watchBoard() {
	defer c.done.Done()
	recheck := time.NewTicker(suspectDuration)
	defer recheck.Stop()
	for {
		changed := c.board.Changed()
		c.moveAll()
		c.closeIdle(time.Now())
		select {
		case <-c.ctx.Done():
			return
		case <-changed:
		case <-recheck.C:
		}
	}
}

// closeIdle closes the links to other hosts that no request has used for LinkIdle.
func (c *Client) closeIdle(now time.Time) {
	used := map[link]bool{}
	c.tickets.Range(func(_, value any) bool {
		used[value.(*Ticket).currentLink()] = true
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	for url, l := range c.links {
		remote, ok := l.(*remoteLink)
		if !ok || used[l] {
			continue
		}
		if now.Sub(remote.lastUsedAt()) >= c.common.Settings.Peers.LinkIdle {
			remote.retire()
			delete(c.links, url)
		}
	}
}

// moveAll registers each ticket with the current arbiter of its pool. The arbiter is computed once for a
// pool, because that takes time for each member.
func (c *Client) moveAll() {
	links := map[object.PoolName]link{}
	c.tickets.Range(func(_, value any) bool {
		t := value.(*Ticket)
		pool := t.registration.Pool
		if l := links[pool]; l == nil || l.failed() {
			links[pool] = c.linkFor(pool)
		}
		t.move(links[pool])
		return c.ctx.Err() == nil
	})
}

// receive handles one message of an arbiter.
func (c *Client) receive(from link, message wire.Down) {
	switch {
	case message.Grant != nil:
		c.receiveGrant(from, message.Grant)
	case message.Refuse != nil:
		if t := c.ticket(message.Refuse.ID); t != nil {
			t.refuse(from, message.Refuse)
		}
	case message.Cancel != nil:
		if t := c.ticket(message.Cancel.ID); t != nil {
			t.cancel(from, message.Cancel)
		}
	case message.Notice != nil:
		c.board.RecordNotice(time.Now(), *message.Notice)
		if _, isLocal := from.(*localLink); !isLocal {
			c.local.LearnNotice(time.Now(), *message.Notice)
		}
	case message.Prefix != nil:
		c.board.RecordPrefix(time.Now(), *message.Prefix)
	}
}

// receiveGrant passes a grant to its ticket. An unused grant needs no answer: the withdrawal that
// was sent earlier on the same link frees its slot.
func (c *Client) receiveGrant(from link, g *wire.Grant) {
	t := c.ticket(g.ID)
	if t == nil || !t.grant(from, g) {
		c.common.Metrics.Counter("grants_unused").Inc(1)
	}
}

func (c *Client) ticket(id wire.RequestID) *Ticket {
	value, ok := c.tickets.Load(id)
	if !ok {
		return nil
	}
	return value.(*Ticket)
}
