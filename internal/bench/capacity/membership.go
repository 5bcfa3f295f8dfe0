package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"redwinglock/internal/control/member"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/object"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// exchangeOverhead is the size in bytes of the HTTP/2 frames and compressed headers of
	// one heartbeat and its answer, as TestExchangeOverhead counts them on a connection.
	exchangeOverhead = 180
	settleRounds     = 600
	measuredRounds   = 60
)

// group is a set of members in this process that exchange heartbeats without a network.
type group struct {
	tables    map[string]*member.Table
	order     []string
	byURL     map[string]string
	revisions map[string]object.Revision
	now       time.Time
	bytes     int
	news      int // Rumours sent.
}

func newGroup(size int) (*group, error) {
	g := &group{
		tables:    map[string]*member.Table{},
		byURL:     map[string]string{},
		revisions: map[string]object.Revision{},
		now:       time.Unix(0, 0),
	}
	members := make([]board.Member, size)
	for i := range members {
		members[i] = memberOf(i)
	}
	for i, m := range members {
		table := member.NewTable(m, uint64(i+1))
		table.List(g.now, members)
		g.tables[m.Name] = table
		g.byURL[m.PeerURL] = m.Name
		g.order = append(g.order, m.Name)
		g.revisions[m.Name] = 1
	}
	return g, g.settle()
}

// settle runs rounds until the news of the start have been passed on.
func (g *group) settle() error {
	calm := 0
	for range settleRounds {
		before := g.news
		if err := g.round(); err != nil {
			return err
		}
		if calm++; g.news != before {
			calm = 0
		}
		if calm == calmRounds {
			return nil
		}
	}
	return fmt.Errorf("news still spread after %d rounds", settleRounds)
}

// calmRounds is the number of rounds without news after which a group has settled.
const calmRounds = 5

func memberOf(i int) board.Member {
	return board.Member{
		Name:      fmt.Sprintf("entry-%d", i),
		Zone:      object.Zone(fmt.Sprintf("zone-%d", i%18)),
		PeerURL:   fmt.Sprintf("http://10.0.%d.%d:7002", i/250, i%250),
		CallerURL: fmt.Sprintf("http://10.0.%d.%d:7001", i/250, i%250),
	}
}

// round lets each member send its heartbeats of one interval.
func (g *group) round() error {
	g.now = g.now.Add(heartbeatInterval)
	for _, name := range g.order {
		table := g.tables[name]
		if table == nil {
			continue
		}
		for _, target := range table.Targets() {
			if err := g.exchange(name, target); err != nil {
				return err
			}
		}
		table.Expire(g.now, heartbeatInterval)
	}
	return nil
}

func (g *group) exchange(from string, to board.Member) error {
	table, peer := g.tables[from], g.tables[to.Name]
	if peer == nil {
		table.Fail(g.now, to.Name)
		return nil
	}
	request, err := g.pass(table.Compose(to.Name, g.revisions[from]))
	if err != nil {
		return err
	}
	peer.Receive(g.now, request)
	answer, err := g.pass(peer.Compose(from, g.revisions[to.Name]))
	if err != nil {
		return err
	}
	table.Receive(g.now, answer)
	newest := max(request.Revision, answer.Revision)
	g.revisions[from] = newest
	g.revisions[to.Name] = newest
	g.bytes += exchangeOverhead
	return nil
}

// pass encodes and decodes a heartbeat as the network would and counts its bytes.
func (g *group) pass(h member.Heartbeat) (member.Heartbeat, error) {
	content, err := json.Marshal(h)
	if err != nil {
		return h, fmt.Errorf("encode heartbeat: %w", err)
	}
	g.bytes += len(content)
	g.news += len(h.Rumours)
	var decoded member.Heartbeat
	if err := json.Unmarshal(content, &decoded); err != nil {
		return h, fmt.Errorf("decode heartbeat: %w", err)
	}
	return decoded, nil
}

// perHost turns a total over the measured rounds into a rate per host. Each byte is
// counted at its sender and at its receiver.
func (g *group) perHost(total float64) float64 {
	seconds := measuredRounds * heartbeatInterval.Seconds()
	return total / float64(len(g.order)) / seconds
}

func heartbeatBytes(size int) (float64, error) {
	g, err := newGroup(size)
	if err != nil {
		return 0, err
	}
	g.bytes = 0
	for range measuredRounds {
		if err := g.round(); err != nil {
			return 0, err
		}
	}
	return 2 * g.perHost(float64(g.bytes)), nil
}

func heartbeatCPU(size int) (float64, error) {
	g, err := newGroup(size)
	if err != nil {
		return 0, err
	}
	before := cpuTime()
	for range measuredRounds {
		if err := g.round(); err != nil {
			return 0, err
		}
	}
	return g.perHost(float64((cpuTime() - before).Microseconds())), nil
}

// churnBytes is the traffic while one member is lost at the start of the measured 30 s.
// At full size a host is lost or replaced every 295 s.
func churnBytes(size int) (float64, error) {
	g, err := newGroup(size)
	if err != nil {
		return 0, err
	}
	delete(g.tables, g.order[0])
	g.bytes = 0
	for range measuredRounds {
		if err := g.round(); err != nil {
			return 0, err
		}
	}
	return 2 * g.perHost(float64(g.bytes)), nil
}

// gossipRounds counts the rounds until a new revision at one member is known to all.
func gossipRounds(size int) (float64, error) {
	g, err := newGroup(size)
	if err != nil {
		return 0, err
	}
	g.revisions[g.order[0]] = 2
	for round := 1; round <= settleRounds; round++ {
		if err := g.round(); err != nil {
			return 0, err
		}
		if g.allAt(2) {
			return float64(round), nil
		}
	}
	return 0, fmt.Errorf("revision not known to all after %d rounds", settleRounds)
}

func (g *group) allAt(revision object.Revision) bool {
	for _, name := range g.order {
		if g.revisions[name] < revision {
			return false
		}
	}
	return true
}

func memberMemory(size int) (float64, error) {
	members := make([]board.Member, size)
	for i := range members {
		members[i] = memberOf(i)
	}
	return grown(func() any {
		table := member.NewTable(members[0], 1)
		table.List(time.Unix(0, 0), members)
		for i, m := range members[1:] {
			table.Receive(time.Unix(0, 0), member.Heartbeat{From: member.Rumour{Member: m, Status: member.Alive, Incarnation: uint64(i + 1)}})
		}
		return []any{table, table.View()}
	}), nil
}
