package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/hosts"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/board"
	"redwinglock/internal/state/common"
)

// HostsPrefix is the prefix below which the hosts of each availability zone are listed.
const HostsPrefix = "redwinglock/hosts/"

const (
	// keepInterval is the time between two comparisons of the list with the live hosts.
	keepInterval = time.Second
	// recheckInterval is the time after which the list is compared although nothing has changed.
	recheckInterval = 10 * time.Second
	// minWritePause is the least time between two writes of the list.
	minWritePause = 2 * time.Second
	// foundingWork is the time, at a whole core, that a host which finds no other waits before
	// it lists itself. So strong hosts come first and the others find them.
	foundingWork = 400 * time.Millisecond
	// maxFoundingDelay bounds that time.
	maxFoundingDelay = 3 * time.Second
	// strongPart is the part of the capacity of the strongest host of a zone from which a host
	// may keep the list of the zone.
	strongPart = 0.7
)

// hostList is the value of one item: the hosts of an availability zone.
type hostList struct {
	// Member is one of the hosts. Builds that kept an entry for each host read it as one.
	board.Member
	Hosts []board.Member `json:"hosts"`
}

// HostList keeps the hosts of the own availability zone listed in the store, for hosts that
// start. One host of each zone writes it, so the calls grow with the zones and the changes,
// not with the hosts. The list outlives all hosts; those in it may have gone.
type HostList struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	tree      store.Tree
	key       string
	startedAt time.Time

	// written is the list as it was last found or written.
	written   []board.Member
	checkedAt time.Time
	writtenAt time.Time

	stop context.CancelFunc
	done sync.WaitGroup
}

// NewHostList creates a list and starts to keep it.
func NewHostList(c *common.Common, b *board.Board, tree store.Tree) *HostList {
	ctx, stop := context.WithCancel(context.Background())
	l := &HostList{
		common: c, log: c.Log("host-list"), board: b, tree: tree,
		key: HostsPrefix + string(b.Members().Self.Zone), startedAt: time.Now(), stop: stop,
	}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// leaveTimeout bounds the calls by which a host takes itself off the list.
const leaveTimeout = 500 * time.Millisecond

// Close stops to keep the list and waits. The last host of a zone takes itself off the list;
// the others are taken off by those that stay.
func (l *HostList) Close() error {
	l.stop()
	l.done.Wait()
	members := l.board.Members()
	for _, m := range zoneHosts(members) {
		if m.Name != members.Self.Name {
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := l.takeOff(ctx, members.Self); err != nil {
		l.log.WithError(err).Info("Host left on the list, which newcomers check.")
	}
	return nil
}

// takeOff writes the list without this host.
func (l *HostList) takeOff(ctx context.Context, self board.Member) error {
	listed, revision, err := l.read(ctx)
	if err != nil {
		return err
	}
	want := withoutHost(listed, self)
	if len(want) == len(listed) {
		return nil
	}
	return l.write(ctx, want, revision)
}

// List implements member.Lister with the hosts of all availability zones.
func (l *HostList) List(ctx context.Context) ([]hosts.Group, error) {
	items, _, err := l.tree.ListStale(ctx, HostsPrefix)
	if err != nil {
		return nil, fmt.Errorf("list hosts: %w", err)
	}
	var groups []hosts.Group
	for _, i := range items {
		for _, m := range l.decode(i) {
			groups = append(groups, hosts.Group{Labels: map[string]string{
				hosts.LabelRole:      hosts.RoleEntry,
				hosts.LabelName:      m.Name,
				hosts.LabelZone:      string(m.Zone),
				hosts.LabelState:     hosts.StateLive,
				hosts.LabelPeerURL:   m.PeerURL,
				hosts.LabelCallerURL: m.CallerURL,
			}})
		}
	}
	return groups, nil
}

// decode returns the hosts of an item, none if it cannot be read.
func (l *HostList) decode(i store.Item) []board.Member {
	var list hostList
	if err := json.Unmarshal(i.Data, &list); err != nil {
		l.log.WithError(err).WithField("key", i.Key).Warn("List of hosts skipped.")
		return nil
	}
	if list.Hosts == nil && list.Name != "" {
		return []board.Member{listedHost(list.Member)} // The entry of a host of an earlier build.
	}
	return list.Hosts
}

func (l *HostList) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.keep(ctx, time.Now()); err != nil && ctx.Err() == nil {
			l.common.CountRetry("store-hosts")
			l.log.WithError(err).Warn("List of hosts not kept.")
		}
		pause(ctx, keepInterval)
	}
}

// keep writes the list if this host must and the list is not as it should be.
func (l *HostList) keep(ctx context.Context, now time.Time) error {
	members := l.board.Members()
	alone := len(members.Live) == 1
	switch {
	case members.Self.Leaving || now.Sub(l.writtenAt) < minWritePause:
		return nil
	case alone && now.Sub(l.startedAt) < foundingDelay(members.Self.Capacity):
		return nil
	case !alone && !keepsList(members):
		l.written = nil // Another host may write it meanwhile.
		return nil
	case slices.Equal(l.written, zoneHosts(members)) && now.Sub(l.checkedAt) < recheckInterval:
		return nil
	}
	return l.update(ctx, now, members, alone)
}

// update compares the list in the store with the live hosts and writes it if they differ.
func (l *HostList) update(ctx context.Context, now time.Time, members *board.Members, alone bool) error {
	listed, revision, err := l.read(ctx)
	if err != nil {
		return err
	}
	want := zoneHosts(members)
	if alone {
		// A host that reaches no other must not take them off the list.
		want = withHost(listed, members.Self)
	}
	l.checkedAt = now
	if slices.Equal(listed, want) {
		l.written = want
		return nil
	}
	l.writtenAt = now
	return l.write(ctx, want, revision)
}

// write replaces the list unless it has changed since the given revision.
func (l *HostList) write(ctx context.Context, want []board.Member, revision int64) error {
	t := store.Transaction{Compares: []store.Compare{{Key: l.key, ModRevision: revision}}}
	if len(want) == 0 {
		t.Deletes = []string{l.key}
	} else {
		data, err := json.Marshal(hostList{Member: want[0], Hosts: want})
		if err != nil {
			return fmt.Errorf("encode list of hosts: %w", err)
		}
		t.Puts = []store.Put{{Key: l.key, Data: data}}
	}
	held, _, err := l.tree.Txn(ctx, t)
	if err != nil {
		return fmt.Errorf("write list of hosts: %w", err)
	}
	if held {
		l.written = want
		l.log.WithFields(logrus.Fields{"key": l.key, "hosts": len(want)}).Info("List of hosts written.")
	}
	return nil
}

// read returns the hosts listed for the own zone and the revision of the item.
func (l *HostList) read(ctx context.Context) ([]board.Member, int64, error) {
	items, _, err := l.tree.List(ctx, l.key)
	if err != nil {
		return nil, 0, fmt.Errorf("read list of hosts: %w", err)
	}
	for _, i := range items {
		if i.Key == l.key {
			return l.decode(i), i.Revision, nil
		}
	}
	return nil, 0, nil
}

// foundingDelay is how long a host that finds no other waits before it lists itself.
func foundingDelay(capacity float64) time.Duration {
	if capacity == 0 {
		return foundingWork
	}
	return min(time.Duration(float64(foundingWork)/capacity), maxFoundingDelay)
}

// keepsList reports whether this host writes the list of its zone: the first by rank of the
// strong ones.
func keepsList(members *board.Members) bool {
	zone := &board.Members{Self: members.Self}
	strongest := 0.0
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && !m.Leaving {
			strongest = max(strongest, m.Capacity)
		}
	}
	if members.Self.Capacity < strongest*strongPart {
		return false
	}
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && m.Capacity >= strongest*strongPart {
			zone.Live = append(zone.Live, m)
		}
	}
	return zone.Ranks("host-list/"+string(members.Self.Zone), 1)
}

// zoneHosts returns the live hosts of the own zone that stay, without what changes while
// they live or from run to run.
func zoneHosts(members *board.Members) []board.Member {
	var zone []board.Member
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && !m.Leaving {
			zone = append(zone, listedHost(m))
		}
	}
	return zone
}

func listedHost(m board.Member) board.Member {
	m.Run, m.Capacity = "", 0
	return m
}

// withHost returns a list with a host in it, sorted by name.
func withHost(listed []board.Member, self board.Member) []board.Member {
	list := append(withoutHost(listed, self), listedHost(self))
	slices.SortFunc(list, func(a, b board.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// withoutHost returns a list without a host.
func withoutHost(listed []board.Member, self board.Member) []board.Member {
	return slices.DeleteFunc(slices.Clone(listed), func(m board.Member) bool { return m.Name == self.Name })
}
