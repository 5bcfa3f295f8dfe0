package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/standin/link"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
	"redwinglock/internal/state/object"
)

// lineTranslator decodes a configuration whose first line is its revision. The rest is of any length.
type lineTranslator struct{ testTranslator }

func (lineTranslator) Config(data []byte) (object.Revision, []object.Object, error) {
	line, _, _ := bytes.Cut(data, []byte("\n"))
	revision, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return 0, nil, fmt.Errorf("decode revision: %w", err)
	}
	return object.Revision(revision), []object.Object{&object.Pool{Name: "p", Type: object.EnginePool, Discovered: true}}, nil
}

// largeConfig returns a configuration with a number of routes that differ in a few characters, as the platform's
// operator writes them. The routes of a smaller one stand in a larger one, too.
func largeConfig(revision, routes int) string {
	random := rand.New(rand.NewPCG(1, 2))
	content := bytes.NewBufferString(strconv.Itoa(revision) + "\n")
	for range routes {
		fmt.Fprintf(content, `{"name":"r-%08x","host":"wura92.example","path_prefix":"/%08x/","kind":"stream","timeout_ms":6000,"target_latency_ms":600,"priority":0,"service":"huvo11a","max_attempts":2,"no_auth":false,"session_affinity":true,"stream_resume":true,"gap_target_ms":250},`, random.Uint32(), random.Uint32())
	}
	return content.String()
}

// linkedTree is the store as a host reads it over its link.
type linkedTree struct {
	*fakeTree
	host *link.Host
}

// jsonBytes returns the size of items in the store's JSON, in which values are in base64.
func jsonBytes(items []store.Item) int {
	size := 0
	for _, i := range items {
		size += 100 + len(i.Data)*4/3
	}
	return size
}

func (t *linkedTree) List(ctx context.Context, prefix string) ([]store.Item, store.Position, error) {
	items, listed, err := t.fakeTree.List(ctx, prefix)
	t.host.Receive(jsonBytes(items))
	return items, listed, err
}

func (t *linkedTree) WatchChanges(ctx context.Context, prefix string, after store.Position, wait time.Duration) ([]store.Item, store.Position, error) {
	items, next, err := t.fakeTree.WatchChanges(ctx, prefix, after, wait)
	t.host.Receive(jsonBytes(items))
	return items, next, err
}

// fleetList is a platform that lists all hosts of a fleet.
type fleetList []hosts.Group

func (l fleetList) List(context.Context) ([]hosts.Group, error) { return l, nil }

// fleet is a number of hosts with membership and discovery, which share a store.
type fleet struct {
	tree    *fakeTree
	network *link.Network
	list    fleetList
	boards  []*board.Board
	close   []func()
}

// joinTimeout bounds the time until all hosts of a fleet know each other.
const joinTimeout = 30 * time.Second

// newFleet starts hosts with links of the given widths.
func newFleet(t *testing.T, widths []link.Width) *fleet {
	f := &fleet{tree: newFakeTree(), network: link.NewNetwork()}
	f.tree.set("config", largeConfig(1, 10))
	for i := range 12 {
		f.tree.set(fmt.Sprint("targets/i-", i), readyTarget)
	}
	for i, width := range widths {
		m := fleetMember(i, width)
		f.list = append(f.list, hosts.Group{Labels: map[string]string{
			hosts.LabelRole: hosts.RoleEntry, hosts.LabelName: m.Name, hosts.LabelZone: string(m.Zone), hosts.LabelState: hosts.StateLive, hosts.LabelPeerURL: m.PeerURL,
		}})
	}
	for _, width := range widths {
		f.addHost(width)
	}
	t.Cleanup(f.Close)
	require.Less(t, f.awaitAll(joinTimeout, func(b *board.Board) bool { return len(b.Members().Live) == len(widths) && b.Config() != nil }), joinTimeout, "all hosts know each other")
	return f
}

func fleetMember(index int, width link.Width) board.Member {
	return board.Member{
		LinkMbps: float64(width / link.Mbit),
		Name:     fmt.Sprintf("entry-%02d", index), Zone: object.Zone(fmt.Sprint("zone-", index%3)),
		PeerURL: fmt.Sprintf("http://10.0.0.%d:7000", index+1),
	}
}

// addHost starts one more host and returns its board.
func (f *fleet) addHost(width link.Width) *board.Board {
	self := fleetMember(len(f.boards), width)
	host := f.network.AddHost(self.PeerURL[len("http://"):], width)
	c := common.Discard()
	c.Settings.Peers.HeartbeatInterval = 500 * time.Millisecond
	b := board.New(self)
	d := New(c, b, &linkedTree{f.tree, host}, lineTranslator{}, http2.NewWithDial(500*time.Millisecond, host.Dial))
	transport := &member.HTTPTransport{Client: http2.NewWithDial(500*time.Millisecond, host.Dial)}
	m := member.NewController(c, b, transport, f.list, d)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: fleetHandler(m, d), Protocols: protocols}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(host) // It ends when the server is closed.
	}()
	f.boards = append(f.boards, b)
	f.close = append(f.close, func() {
		_ = m.Close()
		_ = d.Close()
		_ = transport.Client.Close()
		_ = server.Close()
		<-served
	})
	return b
}

// fleetHandler serves heartbeats and reads of items.
func fleetHandler(m *member.Controller, d *Controller) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(wire.HeartbeatPath, func(w http.ResponseWriter, r *http.Request) {
		var h member.Heartbeat
		if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(m.Answer(h))
	})
	mux.HandleFunc(wire.ItemsPath, d.ServeItems)
	mux.HandleFunc(wire.ValuePath, d.ServeValue)
	return mux
}

func (f *fleet) Close() {
	for _, closeHost := range f.close {
		closeHost()
	}
	time.Sleep(time.Minute) // Connections that a client has given up end after their idle time.
}

// awaitAll returns the time until all hosts meet a condition, at most the given one.
func (f *fleet) awaitAll(atMost time.Duration, condition func(*board.Board) bool) time.Duration {
	start := time.Now()
	for _, b := range f.boards {
		for !condition(b) && time.Since(start) < atMost {
			time.Sleep(5 * time.Millisecond)
		}
	}
	return time.Since(start)
}

func hasRevision(revision object.Revision) func(*board.Board) bool {
	return func(b *board.Board) bool { return b.Config().Revision >= revision }
}

func drains(name object.TargetName) func(*board.Board) bool {
	return func(b *board.Board) bool {
		for _, t := range b.Config().Pool("p").Targets {
			if t.Name == name {
				return t.Drain
			}
		}
		return true
	}
}

// TestSmallChangesDoNotWaitForALargeConfiguration plays what operators saw: a configuration grows by many routes, the
// next version differs only in its number, and targets leave meanwhile. Each change has to reach all hosts in time,
// though the configuration takes long on the links of most hosts.
func TestSmallChangesDoNotWaitForALargeConfiguration(t *testing.T) {
	const narrow, wide = 10 * link.Mbit, 200 * link.Mbit
	tests := []struct {
		name           string
		narrow, wide   int
		configs, leave time.Duration // Stated limits.
	}{
		{"some hosts have wide links", 76, 6, time.Second, 500 * time.Millisecond},
		{"all links are narrow", 24, 0, 1500 * time.Millisecond, 1500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var widths []link.Width
				for i := range test.narrow + test.wide {
					widths = append(widths, narrow)
					if i%13 == 12 && i/13 < test.wide {
						widths[i] = wide
					}
				}
				f := newFleet(t, widths)
				for i, routes := range []int{1400, 1400, 2800, 2800, 4000, 4000} {
					revision := i + 2
					f.tree.set("config", largeConfig(revision, routes))
					time.Sleep(100 * time.Millisecond)
					name := fmt.Sprint("i-", i)
					f.tree.set("targets/"+name, drainingTarget)
					took := f.awaitAll(5*time.Second, drains(object.TargetName(name)))
					t.Logf("target that left after revision %d known after %v", revision, took)
					require.LessOrEqual(t, took, test.leave, "target that left after revision %d", revision)
					took += f.awaitAll(5*time.Second, hasRevision(object.Revision(revision))) + 100*time.Millisecond
					t.Logf("revision %d in force after %v", revision, took)
					require.LessOrEqual(t, took, test.configs, "revision %d", revision)
				}
			})
		})
	}
}
