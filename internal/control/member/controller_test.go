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

// peerTransport connects to a single peer, which refuses connections until upAt.
type peerTransport struct {
	upAt time.Time
	peer *Table
	// hasJoined is set if the peer has joined the other hosts.
	hasJoined bool
}

// Send implements Transport.
func (p *peerTransport) Send(_ context.Context, _ string, h Heartbeat) (Heartbeat, error) {
	if time.Now().Before(p.upAt) {
		return Heartbeat{}, errors.New("connection refused")
	}
	p.peer.Receive(time.Now(), h)
	answer := p.peer.Compose(h.From, h.AckedIncarnation, PeerState{ConfigRevision: 1, Joined: p.hasJoined})
	if h.WantAll {
		answer.All = p.peer.All()
	}
	return answer, nil
}

// onceLister lists two hosts on the first call and reports an unchanged list afterwards.
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

type discardPeerState struct{}

func (discardPeerState) HandlePeerState(PeerState, string) {}

// TestListedHostThatStartsLaterIsFound lists a host that does not answer yet. It must be probed
// again even if the list does not change, also after it was removed from the table.
func TestListedHostThatStartsLaterIsFound(t *testing.T) {
	for _, row := range []struct {
		name  string
		after time.Duration
	}{
		{"soon", time.Second},
		{"after its removal", 3 * listedTimeout},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				transport := &peerTransport{
					upAt: time.Now().Add(row.after),
					peer: NewTable(board.Member{Name: "entry-2", PeerURL: "http://entry-2"}, 1),
				}
				b := board.New(board.Member{Name: "entry-1", PeerURL: "http://entry-1"})
				m := NewController(common.Discard(), b, transport, &onceLister{}, discardPeerState{})
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

// lateLister returns an empty list until a given time.
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

// TestHostProbedBeforeItReadsTheListJoins checks that a host still joins if a peer probes it while
// its list is empty. Requests wait until the host has joined.
func TestHostProbedBeforeItReadsTheListJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		peer := NewTable(board.Member{Name: "entry-2", PeerURL: "http://entry-2"}, 1)
		lister := &lateLister{from: time.Now().Add(time.Second)}
		b := board.New(board.Member{Name: "entry-1", PeerURL: "http://entry-1"})
		c := common.Discard()
		c.Settings.Hosts.Readers = 0 // The host is not one of those that read the list for the fleet.
		m := NewController(c, b, &peerTransport{peer: peer}, lister, discardPeerState{})
		m.Answer(peer.Compose("entry-1", 0, PeerState{ConfigRevision: 1}))
		require.Len(t, b.Members().Live, 2)
		require.False(t, b.HasJoined())
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.True(t, b.HasJoined())
		require.NoError(t, m.Close())
	})
}

// awayLister stands for a store that turns this host away, at once or only when the caller gives up.
type awayLister struct{ isSilent bool }

// List implements Lister.
func (l awayLister) List(ctx context.Context) ([]hosts.Group, error) {
	if l.isSilent {
		<-ctx.Done()
	}
	return nil, errors.New("status 503")
}

// TestHostThatTheStoreTurnsAwayJoinsThroughItsPeers guards against a host that answers no request because only the
// list in the store let it join, although other hosts had given it the members and the configuration (review/9).
func TestHostThatTheStoreTurnsAwayJoinsThroughItsPeers(t *testing.T) {
	rows := []struct {
		name          string
		lister        awayLister
		peerHasJoined bool
		joins         bool
	}{
		{"the store answers 503", awayLister{}, true, true},
		{"the store does not answer", awayLister{isSilent: true}, true, true},
		{"the peer has not joined either", awayLister{}, false, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				peer := NewTable(board.Member{Name: "entry-2", PeerURL: "http://entry-2"}, 1)
				peer.apply(time.Now(), Update{Member: board.Member{Name: "entry-3", PeerURL: "http://entry-3"}, Status: Alive, Incarnation: 1})
				b := board.New(board.Member{Name: "entry-1", PeerURL: "http://entry-1"})
				m := NewController(common.Discard(), b, &peerTransport{peer: peer, hasJoined: row.peerHasJoined}, row.lister, discardPeerState{})
				m.Answer(peer.Compose("entry-1", 0, PeerState{ConfigRevision: 1, Joined: row.peerHasJoined}))
				time.Sleep(joinInterval + 10*time.Millisecond)
				synctest.Wait()
				require.Equal(t, row.joins, b.HasJoined())
				if row.joins {
					require.Len(t, b.Members().Live, 3, "with all members that the peer knows")
				}
				require.NoError(t, m.Close())
			})
		})
	}
}
