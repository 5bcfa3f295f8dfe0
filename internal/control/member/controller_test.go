package member

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// peerTransport reaches one other host, once it is up.
type peerTransport struct {
	upAt time.Time
	peer *Table
}

// Send implements Transport.
func (p *peerTransport) Send(_ context.Context, _ string, h Heartbeat) (Heartbeat, error) {
	if time.Now().Before(p.upAt) {
		return Heartbeat{}, errors.New("connection refused")
	}
	p.peer.Receive(time.Now(), h)
	answer := p.peer.Compose(h.From, h.Knows, Knowledge{Config: 1})
	if h.WantAll {
		answer.All = p.peer.All()
	}
	return answer, nil
}

// onceLister names two hosts once; after that its list is unchanged.
type onceLister struct{ read bool }

// List implements Lister.
func (l *onceLister) List(context.Context) ([]hosts.Group, error) {
	if l.read {
		return nil, hosts.ErrUnchanged
	}
	l.read = true
	var groups []hosts.Group
	for _, name := range []string{"entry-1", "entry-2"} {
		groups = append(groups, hosts.Group{Labels: map[string]string{
			hosts.LabelRole: hosts.RoleEntry, hosts.LabelName: name, hosts.LabelPeerURL: "http://" + name,
		}})
	}
	return groups, nil
}

type deafNudger struct{}

func (deafNudger) Nudge(Knowledge, string) {}

// TestListedHostThatComesUpLaterIsFound lists a host that does not answer yet. It must be asked
// again although the list does not change, also after it was forgotten.
func TestListedHostThatComesUpLaterIsFound(t *testing.T) {
	for _, row := range []struct {
		name  string
		after time.Duration
	}{
		{"soon", time.Second},
		{"after it was forgotten", 3 * listedFor},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &peerTransport{
					upAt: time.Now().Add(row.after),
					peer: NewTable(board.Member{Name: "entry-2", PeerURL: "http://entry-2"}, 1),
				}
				b := board.New(board.Member{Name: "entry-1", PeerURL: "http://entry-1"})
				m := NewController(common.Discard(), b, transport, &onceLister{}, deafNudger{})
				time.Sleep(row.after - time.Millisecond)
				require.Len(t, b.Members().Live, 1)
				time.Sleep(time.Second)
				synctest.Wait()
				require.Len(t, b.Members().Live, 2)
				require.NoError(t, m.Close())
			})
		})
	}
}

// lateLister has an empty list for a while.
type lateLister struct {
	from time.Time
	onceLister
}

// List implements Lister.
func (l *lateLister) List(ctx context.Context) ([]hosts.Group, error) {
	if time.Now().Before(l.from) {
		return nil, nil
	}
	return l.onceLister.List(ctx)
}

// TestHostThatWasAskedFirstJoins lets a peer ask a host before the host finds anybody in the
// list. It must join all the same: its requests wait until it has.
func TestHostThatWasAskedFirstJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewTable(board.Member{Name: "entry-2", PeerURL: "http://entry-2"}, 1)
		lister := &lateLister{from: time.Now().Add(time.Second)}
		b := board.New(board.Member{Name: "entry-1", PeerURL: "http://entry-1"})
		c := common.Discard()
		c.Settings.Hosts.Readers = 0 // It is not one of those that read the list for all.
		m := NewController(c, b, &peerTransport{peer: peer}, lister, deafNudger{})
		m.Answer(peer.Compose("entry-1", 0, Knowledge{Config: 1}))
		require.Len(t, b.Members().Live, 2)
		require.False(t, b.HasJoined())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, b.HasJoined())
		require.NoError(t, m.Close())
	})
}
