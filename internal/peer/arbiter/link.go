package arbiter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
)

// link sends messages to one arbiter and receives its decisions. It does not reconnect: a
// failed link is replaced by a new one.
type link interface {
	send(wire.Up)
	failed() bool
	// ready reports whether the arbiter has answered and the link has not failed.
	ready() bool
	// knownNotices returns the digests of the notices that the arbiter had when the link opened.
	knownNotices() notice.Digests
	close()
}

// newLocalLink connects a client to the server of the same process.
func newLocalLink(c *Client, self wire.HostID) link {
	down := wire.NewOutbox[wire.Down]()
	l := &localLink{session: c.local.Attach(self, down, c.board.Notices().Digests())}
	c.done.Go(func() {
		pump(down, func(message wire.Down) { c.receive(l, message) })
	})
	return l
}

// pump passes the messages of an outbox to handle until the outbox is closed.
func pump[T any](box *wire.Outbox[T], handle func(T)) {
	for {
		batch, open := box.Drain()
		if !open {
			return
		}
		for _, message := range batch {
			handle(message)
		}
		<-box.Wake()
	}
}

// localLink is a link within the process. Messages to the arbiter are handled by the
// sender's goroutine, which may hold the lock of a ticket. Decisions return through a
// queue, because the arbiter holds the lock of its shard when it sends them.
type localLink struct {
	session *front.Session
	closed  atomic.Bool
}

func (l *localLink) send(message wire.Up) {
	if !l.closed.Load() {
		l.session.Handle(message)
	}
}

func (l *localLink) failed() bool { return l.closed.Load() }
func (l *localLink) ready() bool  { return !l.closed.Load() }

// knownNotices returns none: the shards of this host may lack what is on its board.
func (l *localLink) knownNotices() notice.Digests { return notice.Digests{} }

func (l *localLink) close() {
	l.closed.Store(true)
	_ = l.session.Close()
}

// closedLink is the link of a closed client. It drops all messages.
type closedLink struct{}

func (closedLink) send(wire.Up)                 {}
func (closedLink) failed() bool                 { return true }
func (closedLink) ready() bool                  { return false }
func (closedLink) knownNotices() notice.Digests { return notice.Digests{} }
func (closedLink) close()                       {}

// remoteLink is a link to another process over one HTTP/2 stream.
type remoteLink struct {
	client *Client
	owner  board.Member
	box    *wire.Outbox[wire.Up]
	broken atomic.Bool
	// open is set when the arbiter has accepted the stream.
	open   atomic.Bool
	cancel context.CancelFunc
	// lastUsed is when the last message was sent, in Unix nanoseconds.
	lastUsed atomic.Int64
	// notices are the digests of the notices that the arbiter had when the link opened.
	notices atomic.Pointer[notice.Digests]
	// retired is set when the link is closed because it is idle. Such a link has not failed.
	retired atomic.Bool
}

func newRemoteLink(c *Client, self wire.HostID, owner board.Member) link {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &remoteLink{client: c, owner: owner, box: wire.NewOutbox[wire.Up](), cancel: cancel}
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		err := l.run(ctx, self)
		if !l.retired.Load() {
			c.http.Renew() // The connection may be permanently silent.
		}
		l.broken.Store(true)
		l.box.Close()
		cancel()
		if !l.retired.Load() {
			c.linkFailed(owner.PeerURL, err)
			return
		}
		c.moveAll() // A request may have been registered on the link while it was closing.
	}()
	l.lastUsed.Store(time.Now().UnixNano())
	return l
}

func (l *remoteLink) send(message wire.Up) {
	l.lastUsed.Store(time.Now().UnixNano())
	l.box.Send(message)
}

func (l *remoteLink) failed() bool { return l.broken.Load() }
func (l *remoteLink) ready() bool  { return l.open.Load() && !l.broken.Load() }
func (l *remoteLink) close()       { l.cancel() }

func (l *remoteLink) knownNotices() notice.Digests {
	if known := l.notices.Load(); known != nil {
		return *known
	}
	return notice.Digests{}
}

func (l *remoteLink) lastUsedAt() time.Time { return time.Unix(0, l.lastUsed.Load()) }

// retire closes an idle link.
func (l *remoteLink) retire() {
	l.retired.Store(true)
	l.broken.Store(true)
	l.cancel()
}

// run opens the stream and serves it until it fails.
func (l *remoteLink) run(ctx context.Context, self wire.HostID) error {
	peers := l.client.common.Settings.Peers
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, writer := io.Pipe()
	defer body.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, l.owner.PeerURL+wire.LinkPath, body)
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	request.Header.Set(wire.KeyHeader, peers.Key)
	request.Header.Set(wire.HostHeader, string(self))
	request.Header.Set(wire.NoticesHeader, l.client.board.Notices().Digests().String())

	written := make(chan struct{})
	go func() {
		defer close(written)
		_ = wire.WriteLoop(writer, func() {}, l.box, peers.LinkInterval, ctx.Done())
		_ = writer.Close()
	}()
	defer func() {
		cancel()
		body.Close()
		<-written
	}()
	response, err := l.client.http.Do(request)
	if err != nil {
		return fmt.Errorf("open link: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("open link: status %d", response.StatusCode)
	}
	known, err := notice.ParseDigests(response.Header.Get(wire.NoticesHeader))
	if err != nil {
		l.client.log.WithError(err).WithField("arbiter", l.owner.PeerURL).Warn("Digests of an arbiter ignored.")
	}
	l.notices.Store(&known)
	l.open.Store(true)
	l.client.notifyLinkOpened()
	l.client.moveAll()
	return wire.ReadLoop(response.Body, peers.LinkTimeout, cancel, func(message wire.Down) {
		l.client.receive(l, message)
	})
}
