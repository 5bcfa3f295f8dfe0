package arbiter

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/fleet/notice"
	"redwinglock/internal/peer/front"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/settings"
)

// slowLink is a link that opens after a delay.
type slowLink struct{ open atomic.Bool }

func (l *slowLink) send(wire.Up)                 {}
func (l *slowLink) failed() bool                 { return false }
func (l *slowLink) ready() bool                  { return l.open.Load() }
func (l *slowLink) knownNotices() notice.Digests { return notice.Digests{} }
func (l *slowLink) close()                       {}

// TestRequestsOfANewHostWaitForTheLinkToTheArbiter guards against hosts that start together and each
// arbitrate their own requests with the share of one host, although a link opens within milliseconds.
func TestRequestsOfANewHostWaitForTheLinkToTheArbiter(t *testing.T) {
	rows := []struct {
		name               string
		wait, joins, opens time.Duration
		want               time.Duration
	}{
		{"no wait is set", 0, 20 * time.Millisecond, 40 * time.Millisecond, 0},
		{"the link opens in time", 250 * time.Millisecond, 20 * time.Millisecond, 40 * time.Millisecond, 60 * time.Millisecond},
		{"the link opens too late", 250 * time.Millisecond, 20 * time.Millisecond, time.Second, 270 * time.Millisecond},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				self := board.Member{Name: "entry-0", Run: "entry-0-1", PeerURL: "http://0"}
				other := board.Member{Name: "entry-1", Run: "entry-1-1", PeerURL: "http://1"}
				b := board.New(self)
				// The other host is the arbiter if this one does not take requests of its own.
				b.SetMembers(&board.Members{Self: self, Live: []board.Member{other}, Registered: 2})
				c := common.Discard()
				c.Settings.Gateway = &settings.Gateway{ArbiterWait: row.wait}
				server := front.New(c, b)
				client := New(c, b, server, http2.New(time.Second, nil))
				client.newLink = func(c *Client, _ wire.HostID, _ board.Member) link {
					l := &slowLink{}
					c.done.Go(func() {
						time.Sleep(row.opens)
						l.open.Store(true)
						c.notifyLinkOpened()
					})
					return l
				}
				begin := time.Now()
				go func() {
					time.Sleep(row.joins)
					b.SetJoined()
				}()
				client.AwaitStart(context.Background())
				require.Equal(t, row.want, time.Since(begin))
				synctest.Wait()
				time.Sleep(2 * time.Second)
				require.NoError(t, client.Close())
				require.NoError(t, server.Close())
			})
		})
	}
}
