package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/http2"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

const (
	heartbeatInterval = time.Second
	maxRounds         = 100
	measuredRounds    = 60
)

// group is a set of members in this process that exchange heartbeats without a network.
type group struct {
	tables    map[string]*member.Table
	order     []string
	byURL     map[string]string
	revisions map[string]object.Revision
	now       time.Time
	bytes     int
	overhead  int // Bytes of an exchange besides the two messages.
}

// groups caches a settled group of each size, because settling takes long.
type groups struct {
	bySize map[int]*group
}

func (m *groups) get(size int) (*group, error) {
	if g := m.bySize[size]; g != nil {
		return g, g.settle()
	}
	g, err := newGroup(size)
	if err != nil {
		return nil, err
	}
	m.bySize[size] = g
	return g, nil
}

func newGroup(size int) (*group, error) {
	overhead, err := exchangeOverhead()
	if err != nil {
		return nil, err
	}
	g := &group{
		overhead:  overhead,
		tables:    map[string]*member.Table{},
		byURL:     map[string]string{},
		revisions: map[string]object.Revision{},
		now:       time.Unix(0, 0),
	}
	members := make([]board.Member, size)
	for i := range members {
		members[i] = newMember(i)
	}
	for i, m := range members {
		table := member.NewTable(m, uint64(i+1))
		table.AddListed(g.now, members)
		g.tables[m.Name] = table
		g.byURL[m.PeerURL] = m.Name
		g.order = append(g.order, m.Name)
		g.revisions[m.Name] = 1
	}
	for _, m := range members {
		g.join(m.Name)
	}
	return g, g.settle()
}

// joinProbes is the number of listed members from which a new member requests the member
// list.
const joinProbes = 4

// join gives a member the full member lists of some listed members.
func (g *group) join(name string) {
	table := g.tables[name]
	for _, peer := range table.UnconfirmedMembers(joinProbes) {
		table.Receive(g.now, member.Heartbeat{From: peer.Name, All: g.tables[peer.Name].All()})
	}
}

// settle runs enough rounds that each member has the state of all others and no updates are
// left to spread.
func (g *group) settle() error {
	for range len(g.order)/2 + extraSettleRounds {
		if err := g.round(); err != nil {
			return err
		}
	}
	return nil
}

// extraSettleRounds are additional rounds, in which the updates of the last change spread.
const extraSettleRounds = 30

func newMember(i int) board.Member {
	return board.Member{
		Name:      fmt.Sprintf("entry-%d", i),
		Zone:      object.Zone(fmt.Sprintf("zone-%d", i%18)),
		PeerURL:   fmt.Sprintf("http://10.0.%d.%d:7002", i/250, i%250),
		CallerURL: fmt.Sprintf("http://10.0.%d.%d:7001", i/250, i%250),
	}
}

// round sends the heartbeats of all members for one interval.
func (g *group) round() error {
	g.now = g.now.Add(heartbeatInterval)
	for _, name := range g.order {
		table := g.tables[name]
		if table == nil {
			continue
		}
		for _, target := range table.ProbePeers() {
			if err := g.exchange(name, target); err != nil {
				return err
			}
		}
		table.Expire(g.now, heartbeatInterval, true)
	}
	return nil
}

func (g *group) exchange(from string, to board.Member) error {
	table, peer := g.tables[from], g.tables[to.Name]
	if peer == nil {
		table.MarkSuspect(g.now, to.Name)
		return nil
	}
	request, err := g.transmit(table.Compose(to.Name, table.AckedIncarnation(to.Name), member.PeerState{ConfigRevision: g.revisions[from]}))
	if err != nil {
		return err
	}
	peer.Receive(g.now, request)
	answer, err := g.transmit(peer.Compose(from, request.AckedIncarnation, member.PeerState{ConfigRevision: g.revisions[to.Name]}))
	if err != nil {
		return err
	}
	table.Receive(g.now, answer)
	newest := max(request.Revision, answer.Revision)
	g.revisions[from] = newest
	g.revisions[to.Name] = newest
	g.bytes += g.overhead
	return nil
}

// transmit encodes and decodes a heartbeat, as a transfer over the network does, and counts
// its bytes.
func (g *group) transmit(h member.Heartbeat) (member.Heartbeat, error) {
	content, err := json.Marshal(h)
	if err != nil {
		return h, fmt.Errorf("encode heartbeat: %w", err)
	}
	g.bytes += len(content)
	var decoded member.Heartbeat
	if err := json.Unmarshal(content, &decoded); err != nil {
		return h, fmt.Errorf("decode heartbeat: %w", err)
	}
	return decoded, nil
}

// ratePerHost converts a total over the measured rounds to a rate per host and second.
func (g *group) ratePerHost(total float64) float64 {
	seconds := measuredRounds * heartbeatInterval.Seconds()
	return total / float64(len(g.order)) / seconds
}

// heartbeatBytes returns the heartbeat traffic. Each byte counts at its sender and at its
// receiver.
func (m *groups) heartbeatBytes(size int) (float64, error) {
	g, err := m.get(size)
	if err != nil {
		return 0, err
	}
	return g.measure(func() float64 { return 2 * float64(g.bytes) })
}

func (m *groups) heartbeatCPU(size int) (float64, error) {
	g, err := m.get(size)
	if err != nil {
		return 0, err
	}
	return g.measure(func() float64 { return float64(cpuTime().Microseconds()) })
}

// churnBytes returns the heartbeat traffic if one member fails at the start of the measured
// rounds. At full size a host is lost or replaced every 295 s. Bytes count as in
// heartbeatBytes.
func (m *groups) churnBytes(size int) (float64, error) {
	g, err := m.get(size)
	if err != nil {
		return 0, err
	}
	lost := g.order[0]
	table := g.tables[lost]
	delete(g.tables, lost)
	defer func() { g.tables[lost] = table }()
	return g.measure(func() float64 { return 2 * float64(g.bytes) })
}

// measure returns the growth of a quantity per host and second.
func (g *group) measure(quantity func() float64) (float64, error) {
	before := quantity()
	for range measuredRounds {
		if err := g.round(); err != nil {
			return 0, err
		}
	}
	return g.ratePerHost(quantity() - before), nil
}

// gossipRounds returns the number of rounds until all members have a new revision that one
// member has.
func (m *groups) gossipRounds(size int) (float64, error) {
	g, err := m.get(size)
	if err != nil {
		return 0, err
	}
	first := g.order[0]
	g.revisions[first]++
	for round := 1; round <= maxRounds; round++ {
		if err := g.round(); err != nil {
			return 0, err
		}
		if g.allHaveRevision(g.revisions[first]) {
			return float64(round), nil
		}
	}
	return 0, fmt.Errorf("some members do not have the revision after %d rounds", maxRounds)
}

func (g *group) allHaveRevision(revision object.Revision) bool {
	for _, name := range g.order {
		if g.revisions[name] < revision {
			return false
		}
	}
	return true
}

// exchangeOverhead returns the bytes of HTTP/2 frames and compressed headers of one
// heartbeat and its answer, on a real connection that is already in use.
func exchangeOverhead() (int, error) {
	self := newMember(0)
	answer := member.Heartbeat{From: "entry-1", Incarnation: 1}
	var bytes atomic.Int64
	server := newCountedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer)
	}), &bytes)
	defer server.Close()
	client := http2.New(time.Second, nil)
	defer client.Close()
	transport := &member.HTTPTransport{Client: client, Key: "a-key-of-common-length"}
	request := member.Heartbeat{From: self.Name, Incarnation: 1}
	const exchanges = 20
	for i := range exchanges + 1 {
		if i == 1 {
			bytes.Store(0) // The first exchange sets the connection up.
		}
		if _, err := transport.Send(context.Background(), server.URL, request); err != nil {
			return 0, err
		}
	}
	sent, err := json.Marshal(request)
	if err != nil {
		return 0, fmt.Errorf("encode heartbeat: %w", err)
	}
	received, err := json.Marshal(answer)
	if err != nil {
		return 0, fmt.Errorf("encode heartbeat: %w", err)
	}
	return int(bytes.Load())/exchanges - len(sent) - len(received), nil
}

func memberMemory(size int) (float64, error) {
	members := make([]board.Member, size)
	for i := range members {
		members[i] = newMember(i)
	}
	return heapGrowth(func() any {
		table := member.NewTable(members[0], 1)
		table.AddListed(time.Unix(0, 0), members)
		for i, m := range members[1:] {
			table.Receive(time.Unix(0, 0), member.Heartbeat{From: m.Name, Member: &m, Incarnation: uint64(i + 1)})
		}
		return []any{table, table.View()}
	}), nil
}
