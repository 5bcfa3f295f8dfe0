package discovery

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/patch"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/standin/link"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

func largeItem(revision int, position int64) store.Item {
	return store.Item{Key: "config", Data: []byte(largeConfig(revision, 200)), Position: store.NewPosition(0, position)}
}

func TestValuesAreSentRelativeToWhatThePeerHas(t *testing.T) {
	c := newValueCache()
	for revision := 1; revision <= keptValues+1; revision++ {
		c.put(largeItem(revision, int64(10*revision)))
	}
	c.put(store.Item{Key: "small", Data: []byte("1"), Position: 99})
	latest := largeItem(keptValues+1, 10*(keptValues+1))
	tests := []struct {
		name     string
		key      string
		wanted   int64
		base     []byte
		found    bool
		relative bool
	}{
		{"base is kept", "config", 40, largeItem(2, 0).Data, true, true},
		{"the peer wants an earlier one", "config", 20, largeItem(2, 0).Data, true, true},
		{"base is no longer kept", "config", 40, largeItem(1, 0).Data, true, false},
		{"no base", "config", 40, nil, true, false},
		{"a later one is wanted", "config", 41, nil, false, false},
		{"small values are not kept", "small", 1, nil, false, false},
		{"unknown key", "other", 1, nil, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var requests sync.WaitGroup
			for range 8 {
				requests.Go(func() {
					sent, found, err := c.transfer(test.key, store.NewPosition(0, test.wanted), patch.DigestOf(test.base))
					if !test.found {
						require.False(t, found)
						return
					}
					require.NoError(t, err)
					require.Equal(t, test.relative, sent.Base != "")
					require.Equal(t, latest.Position, sent.Value.position())
					var base []byte
					if test.relative {
						base = test.base
					}
					value, err := patch.Decode(base, sent.Patch, sent.Value.Digest, maxValueBytes)
					require.NoError(t, err)
					require.Equal(t, latest.Data, value)
				})
			}
			requests.Wait()
		})
	}
}

// valueFixture is a controller whose peer is a handler on the same network.
type valueFixture struct {
	tree  *fakeTree
	board *board.Board
	d     *Controller
}

const valuePeer = "10.0.0.2:7000"

// runWithValuePeer runs a test with a host that does not watch the store and has revision 1, and with a peer.
func runWithValuePeer(t *testing.T, peer http.Handler, test func(*testing.T, *valueFixture)) {
	synctest.Test(t, func(t *testing.T) {
		network := link.NewNetwork()
		self, peerHost := network.AddHost("10.0.0.1:7000", 10*link.Mbit), network.AddHost(valuePeer, 10*link.Mbit)
		protocols := new(http.Protocols)
		protocols.SetUnencryptedHTTP2(true)
		server := &http.Server{Handler: peer, Protocols: protocols}
		served := make(chan struct{})
		go func() {
			defer close(served)
			_ = server.Serve(peerHost)
		}()
		f := &valueFixture{tree: newFakeTree(), board: board.New(board.Member{Name: "entry-1"})}
		f.tree.set("config", largeConfig(1, 200))
		f.tree.set("targets/i-1", readyTarget)
		members := &board.Members{Self: f.board.Members().Self, Live: []board.Member{f.board.Members().Self}}
		for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
			members.Live = append(members.Live, board.Member{Name: name, LinkMbps: 100})
		}
		f.board.SetMembers(members)
		f.board.SetJoined()
		f.d = New(common.Discard(), f.board, f.tree, lineTranslator{}, http2.NewWithDial(time.Second, self.Dial))
		time.Sleep(time.Second)
		synctest.Wait()
		require.Equal(t, object.Revision(1), f.board.Config().Revision)
		test(t, f)
		require.NoError(t, f.d.Close())
		_ = server.Close()
		<-served
		time.Sleep(time.Minute)
	})
}

// describeLater applies the changes of a peer: a target that leaves, and a large configuration that is described only.
func (f *valueFixture) describeLater(revision int) store.Position {
	later := f.d.currentPosition() + 10
	data := []byte(largeConfig(revision, 400))
	f.d.mu.Lock()
	after := f.d.position
	f.d.mu.Unlock()
	f.d.applyPeerItems(Items{
		Era: later.Era(), Revision: later.Revision(), Partial: true,
		Items:  []store.Item{{Key: "targets/i-1", Data: []byte(drainingTarget), Position: after + 2}},
		Values: []Value{{Key: "config", Era: after.Era(), Revision: (after + 1).Revision(), Digest: patch.DigestOf(data)}},
	}, "http://"+valuePeer)
	return after + 1
}

// TestPeerThatSendsWrongValues reads a large value from a peer that sends it, and from peers that do not. The target's
// leaving is applied at once in any case, and the value comes from the store then.
func TestPeerThatSendsWrongValues(t *testing.T) {
	good := newValueCache()
	good.put(store.Item{Key: "config", Data: []byte(largeConfig(2, 400)), Position: 1 << 20})
	goodSent, _, err := good.transfer("config", 1, "")
	require.NoError(t, err)
	headers := func(w http.ResponseWriter, base, digest patch.Digest) {
		w.Header().Set(valueEraHeader, "0")
		w.Header().Set(valueRevisionHeader, "1048576")
		w.Header().Set(valueBaseHeader, string(base))
		w.Header().Set(valueDigestHeader, string(digest))
	}
	tests := []struct {
		name   string
		peer   http.HandlerFunc
		within time.Duration
	}{
		{"sends it", func(w http.ResponseWriter, _ *http.Request) {
			headers(w, "", goodSent.Value.Digest)
			_, _ = w.Write(goodSent.Patch)
		}, 100 * time.Millisecond},
		{"does not have it", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, 2 * time.Second},
		{"is busy", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, 2 * time.Second},
		{"another value", func(w http.ResponseWriter, _ *http.Request) {
			headers(w, "", patch.DigestOf([]byte("x")))
			_, _ = w.Write(goodSent.Patch)
		}, 2 * time.Second},
		{"relative to a value that this host does not have", func(w http.ResponseWriter, _ *http.Request) {
			headers(w, patch.DigestOf([]byte("y")), goodSent.Value.Digest)
			_, _ = w.Write(goodSent.Patch)
		}, 2 * time.Second},
		{"half of it", func(w http.ResponseWriter, _ *http.Request) {
			headers(w, "", goodSent.Value.Digest)
			_, _ = w.Write(goodSent.Patch[:len(goodSent.Patch)/2])
		}, 2 * time.Second},
		{"an older value", func(w http.ResponseWriter, _ *http.Request) {
			headers(w, "", goodSent.Value.Digest)
			w.Header().Set(valueRevisionHeader, "1")
			_, _ = w.Write(goodSent.Patch)
		}, 2 * time.Second},
		{"no headers", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(goodSent.Patch) }, 2 * time.Second},
		{"falls silent", func(w http.ResponseWriter, r *http.Request) {
			headers(w, "", goodSent.Value.Digest)
			_, _ = w.Write(goodSent.Patch[:10])
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}, 2 * time.Second},
		{"without end", func(w http.ResponseWriter, r *http.Request) {
			headers(w, "", goodSent.Value.Digest)
			for r.Context().Err() == nil {
				if _, err := w.Write(make([]byte, 16<<10)); err != nil {
					return
				}
			}
		}, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithValuePeer(t, test.peer, func(t *testing.T, f *valueFixture) {
				start := time.Now()
				f.tree.set("config", largeConfig(2, 400))
				f.describeLater(2)
				require.True(t, drains("i-1")(f.board), "the target's leaving does not wait")
				for f.board.Config().Revision < 2 && time.Since(start) < 10*time.Second {
					time.Sleep(time.Millisecond)
				}
				require.Equal(t, object.Revision(2), f.board.Config().Revision)
				require.LessOrEqual(t, time.Since(start), test.within)
				f.d.mu.Lock()
				defer f.d.mu.Unlock()
				require.Empty(t, f.d.fetches.wanted)
			})
		})
	}
}

// TestEarlierBuildsGetOnlyWhatIsComplete reads a host that lacks a large value the way that earlier builds do. They
// would take its position for all that came before it.
func TestEarlierBuildsGetOnlyWhatIsComplete(t *testing.T) {
	notHere := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	runWithValuePeer(t, notHere, func(t *testing.T, f *valueFixture) {
		before := f.d.currentPosition()
		wanted := f.describeLater(2)
		require.Greater(t, f.d.currentPosition(), wanted)
		whole := f.d.Items("", "", false)
		require.Equal(t, (wanted - 1).Revision(), whole.Revision)
		require.Empty(t, whole.Values)
		described := f.d.Items(stringOf(before), "", true)
		require.Equal(t, f.d.currentPosition().Revision(), described.Revision)
		require.Len(t, described.Values, 1)
		require.Equal(t, "http://"+valuePeer, described.Values[0].Source)
		for _, i := range described.Items {
			require.NotEqual(t, "config", i.Key)
		}
	})
}

func stringOf(p store.Position) string { return strconv.FormatInt(p.Revision(), 10) }

// TestStartingHostWaitsForTheLatestConfiguration starts a host whose first list is old. It must not use the old
// configuration while it reads the large one that others have used already.
func TestStartingHostWaitsForTheLatestConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, []link.Width{200 * link.Mbit, 200 * link.Mbit, 200 * link.Mbit})
		f.tree.freezeStaleList()
		f.tree.set("config", largeConfig(2, 4000))
		f.awaitAll(time.Second, hasRevision(2))
		late := f.addHost(0.5 * link.Mbit)
		for start := time.Now(); late.Config() == nil && time.Since(start) < 20*time.Second; {
			time.Sleep(time.Millisecond)
		}
		require.NotNil(t, late.Config())
		require.Equal(t, object.Revision(2), late.Config().Revision)
	})
}

// TestStormOfConfigurations plays many versions in quick succession. No host goes back, and the last one is in force
// everywhere soon after.
func TestStormOfConfigurations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const narrow = 10 * link.Mbit
		f := newFleet(t, []link.Width{200 * link.Mbit, narrow, narrow, narrow, narrow, narrow, narrow, narrow, narrow, narrow, narrow, narrow})
		latest := make([]object.Revision, len(f.boards))
		const last = 41
		for revision := 2; revision <= last; revision++ {
			f.tree.set("config", largeConfig(revision, 1400+revision*20))
			for range 8 {
				time.Sleep(10 * time.Millisecond)
				for i, b := range f.boards {
					require.GreaterOrEqual(t, b.Config().Revision, latest[i], "host %d goes back", i)
					latest[i] = b.Config().Revision
				}
			}
		}
		require.LessOrEqual(t, f.awaitAll(5*time.Second, hasRevision(last)), time.Second)
	})
}

// TestHostSendsFewValuesAtATime asks a host for more values at a time than it sends.
func TestHostSendsFewValuesAtATime(t *testing.T) {
	runWithController(t, func(t *testing.T, f *fixture) {
		f.d.values.put(largeItem(2, 1))
		query := url.Values{keyParameter: {"config"}, sinceParameter: {"1"}, baseParameter: {""}}
		request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/?"+query.Encode(), nil)
		f.d.transfers.Add(maxTransfers)
		refused := httptest.NewRecorder()
		f.d.ServeValue(refused, request)
		require.Equal(t, http.StatusServiceUnavailable, refused.Code)
		f.d.transfers.Add(-1)
		sent := httptest.NewRecorder()
		f.d.ServeValue(sent, request)
		require.Equal(t, http.StatusOK, sent.Code)
		require.True(t, strings.HasPrefix(sent.Header().Get("Content-Type"), "application/zstd"))
		require.Equal(t, int64(maxTransfers-1), f.d.transfers.Load())
	})
}

// TestRefusedConfigurationIsNotFetchedAgain reads a large configuration that is invalid as a whole.
func TestRefusedConfigurationIsNotFetchedAgain(t *testing.T) {
	invalid := []byte(strings.Repeat("no revision\n", 1000))
	values := newValueCache()
	values.put(store.Item{Key: "config", Data: invalid, Position: 1 << 20})
	sent, _, err := values.transfer("config", 1, "")
	require.NoError(t, err)
	requests := 0
	peer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.Header().Set(valueEraHeader, "0")
		w.Header().Set(valueRevisionHeader, "1048576")
		w.Header().Set(valueDigestHeader, string(sent.Value.Digest))
		_, _ = w.Write(sent.Patch)
	})
	runWithValuePeer(t, peer, func(t *testing.T, f *valueFixture) {
		f.describeLater(2)
		time.Sleep(2 * time.Second)
		f.d.HandlePeerState(member.PeerState{ConfigRevision: 1, StorePosition: f.d.currentPosition()}, "http://"+valuePeer)
		time.Sleep(time.Second)
		require.Equal(t, object.Revision(1), f.board.Config().Revision)
		require.Equal(t, 1, requests)
	})
}

// TestLargeConfigurationThatACopyOfTheStoreLacksIsFetched reads a configuration from the era before, which the store has
// lost in a restore. Its position is earlier than that of the older one that this host has listed since.
func TestLargeConfigurationThatACopyOfTheStoreLacksIsFetched(t *testing.T) {
	kept := newValueCache()
	kept.put(store.Item{Key: "config", Data: []byte(largeConfig(5, 400)), Position: store.NewPosition(1, 90)})
	peer := http.NewServeMux()
	sent, _, err := kept.transfer("config", store.NewPosition(1, 90), "")
	require.NoError(t, err)
	peer.HandleFunc("/peer/v1/items", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(Items{Era: 2, Revision: 50, Items: []store.Item{}, Values: []Value{sent.Value}})
	})
	peer.HandleFunc("/peer/v1/value", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(valueEraHeader, "1")
		w.Header().Set(valueRevisionHeader, "90")
		w.Header().Set(valueDigestHeader, string(sent.Value.Digest))
		_, _ = w.Write(sent.Patch)
	})
	runWithValuePeer(t, peer, func(t *testing.T, f *valueFixture) {
		at := store.NewPosition(2, 50)
		f.d.replaceAll([]store.Item{{Key: "config", Data: []byte(largeConfig(1, 200)), Position: at - 1}}, at)
		f.d.HandlePeerState(member.PeerState{ConfigRevision: 5, StorePosition: at}, "http://"+valuePeer)
		time.Sleep(time.Second)
		require.Equal(t, object.Revision(5), f.board.Config().Revision)
	})
}

// TestValueThatIsKeptIsNotFetched describes a value that this host had before.
func TestValueThatIsKeptIsNotFetched(t *testing.T) {
	peer := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { t.Error("the peer was asked") })
	runWithValuePeer(t, peer, func(t *testing.T, f *valueFixture) {
		f.d.values.put(store.Item{Key: "config", Data: []byte(largeConfig(2, 400)), Position: 1})
		f.describeLater(2)
		require.Equal(t, object.Revision(2), f.board.Config().Revision)
	})
}
