package arbiter

import (
	"context"
	"time"

	"redwinglock/internal/state/board"
)

// AwaitStart waits until the link to the arbiter of the pools with discovered targets is open, for a
// limited time after this host has joined the others. It reports false if ctx ends before: a host may
// take any time to join.
//
// Load pattern: all hosts start together with a backlog of callers. A host without a link would be the
// arbiter of its own requests, with the share of one host in all slots and quotas.
func (c *Client) AwaitStart(ctx context.Context) bool {
	select {
	case <-c.started:
	case <-ctx.Done():
	}
	return c.HasStarted()
}

// HasStarted reports whether requests need not wait for the link to the arbiter any more.
func (c *Client) HasStarted() bool {
	select {
	case <-c.started:
		return true
	default:
		return false
	}
}

// start opens the link to the arbiter once this host has joined, and lets requests through when it is
// open or the wait has ended.
func (c *Client) start() {
	defer close(c.started)
	wait := c.arbiterWait()
	select {
	case <-c.board.Joined():
	case <-c.ctx.Done():
		return
	}
	begin := time.Now()
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		changed := c.board.Changed()
		if members := c.board.Members(); c.linkTo(members, members.Owner(board.DiscoveredPools, nil, c.usable)).ready() {
			c.log.WithField("waited", time.Since(begin).String()).Info("Link to the arbiter open; requests are registered.")
			return
		}
		select {
		case <-changed:
		case <-c.linkOpened:
		case <-timeout.C:
			c.log.WithField("waited", wait.String()).Info("No link to the arbiter; requests are registered without it.")
			return
		case <-c.ctx.Done():
			return
		}
	}
}

// arbiterWait returns how long requests wait for the first link, 0 if they do not.
func (c *Client) arbiterWait() time.Duration {
	if g := c.common.Settings.Gateway; g != nil {
		return g.ArbiterWait
	}
	return 0
}

func (c *Client) notifyLinkOpened() {
	select {
	case c.linkOpened <- struct{}{}:
	default:
	}
}
