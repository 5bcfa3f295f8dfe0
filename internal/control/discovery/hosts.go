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

// HostsPrefix is the key prefix under which the hosts of each availability zone are listed.
const HostsPrefix = "redwinglock/hosts/"

const (
	// updateInterval is the time between two comparisons of the last seen list with the live
	// hosts.
	updateInterval = time.Second
	// recheckInterval is the time after which the list is read from the store even if the live
	// hosts have not changed.
	recheckInterval = 10 * time.Second
	// minWriteInterval is the minimum time between two writes of the list.
	minWriteInterval = 2 * time.Second
	// registrationWork is how long a host that finds no other host waits before it lists itself,
	// if its capacity is one core. Hosts with less capacity wait longer, so the hosts with the
	// highest capacity are listed first and the others find them.
	registrationWork = 400 * time.Millisecond
	// maxRegistrationDelay bounds the wait before a host lists itself.
	maxRegistrationDelay = 3 * time.Second
	// minWriterCapacityRatio is the minimum capacity of a host that may write the list of its
	// zone, relative to the host with the highest capacity in the zone.
	minWriterCapacityRatio = 0.7
)

// hostList is the stored list of the hosts of an availability zone.
type hostList struct {
	// Member is one of the hosts. Earlier builds, which store one entry for each host, read the
	// list as the entry of this host.
	board.Member
	Hosts []board.Member `json:"hosts"`
}

// HostList maintains the list of the hosts of its own availability zone in the store, by which
// starting hosts find others. One host of each zone writes the list, so the number of store
// calls grows with the zones and the changes, not with the hosts. The list has no lease: it
// remains when all hosts have stopped, and its hosts may no longer run.
type HostList struct {
	common    *common.Common
	log       *logrus.Entry
	board     *board.Board
	tree      store.Tree
	key       string
	startedAt time.Time

	// lastList is the list that this host last found in the store or wrote.
	lastList  []board.Member
	checkedAt time.Time
	// checkedEra is the era of the store in which the list was last compared.
	checkedEra store.Era
	writtenAt  time.Time

	stop    context.CancelFunc
	done    sync.WaitGroup
	closing sync.Once
}

// NewHostList creates a list and starts to maintain it.
func NewHostList(c *common.Common, b *board.Board, tree store.Tree) *HostList {
	ctx, stop := context.WithCancel(context.Background())
	l := &HostList{
		common: c, log: c.Log("host-list"), board: b, tree: tree,
		key: HostsPrefix + string(b.Members().Self.Zone), startedAt: time.Now(), stop: stop,
	}
	l.done.Go(func() { l.run(ctx) })
	return l
}

// leaveTimeout bounds the calls by which a host removes itself from the list.
const leaveTimeout = 500 * time.Millisecond

// Close stops the maintenance of the list, waits for it and calls Leave. Further calls do nothing: a store that does
// not answer would hold up the end of the process once more.
func (l *HostList) Close() error {
	l.closing.Do(func() {
		l.stop()
		l.done.Wait()
		l.Leave()
	})
	return nil
}

// Leave removes this host from the list if it is the last one of its zone; other hosts are removed by those that still
// run.
func (l *HostList) Leave() {
	members := l.board.Members()
	for _, m := range zoneHosts(members) {
		if m.Name != members.Self.Name {
			return
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := l.removeSelf(ctx, members.Self); err != nil {
		// The stale entry is harmless: starting hosts check whether a listed host responds.
		l.log.WithError(err).Info("Host not removed from the list of hosts.")
	}
}

// removeSelf removes this host from the stored list.
func (l *HostList) removeSelf(ctx context.Context, self board.Member) error {
	listed, position, err := l.read(ctx)
	if err != nil {
		return err
	}
	desired := withoutHost(listed, self)
	if len(desired) == len(listed) {
		return nil
	}
	return l.write(ctx, desired, position)
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

// decode returns the hosts of an item, or none if the item is invalid.
func (l *HostList) decode(i store.Item) []board.Member {
	var list hostList
	if err := json.Unmarshal(i.Data, &list); err != nil {
		l.log.WithError(err).WithField("key", i.Key).Warn("Invalid list of hosts skipped.")
		return nil
	}
	if list.Hosts == nil && list.Name != "" {
		return []board.Member{withoutVolatileFields(list.Member)} // An earlier build wrote the entry of one host.
	}
	return list.Hosts
}

func (l *HostList) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := l.updateIfNeeded(ctx, time.Now()); err != nil && ctx.Err() == nil {
			l.common.CountRetry("store-hosts")
			l.log.WithError(err).Warn("List of hosts not updated.")
		}
		sleep(ctx, updateInterval)
	}
}

// updateIfNeeded compares and writes the list if this host is its writer and a comparison is due.
func (l *HostList) updateIfNeeded(ctx context.Context, now time.Time) error {
	members := l.board.Members()
	isAlone := len(members.Live) == 1
	switch {
	case members.Self.Leaving || now.Sub(l.writtenAt) < minWriteInterval:
		return nil
	case isAlone && now.Sub(l.startedAt) < registrationDelay(members.Self.Capacity):
		return nil
	case !isAlone && !isListWriter(members):
		l.lastList = nil // Another host may write the list in the meantime.
		return nil
	case slices.Equal(l.lastList, zoneHosts(members)) && now.Sub(l.checkedAt) < recheckInterval && l.checkedEra == l.board.Store().Position.Era():
		return nil
	}
	return l.compareAndWrite(ctx, now, members, isAlone)
}

// compareAndWrite compares the stored list with the live hosts and writes it if they differ.
func (l *HostList) compareAndWrite(ctx context.Context, now time.Time, members *board.Members, isAlone bool) error {
	era := l.board.Store().Position.Era()
	listed, position, err := l.read(ctx)
	if err != nil {
		return err
	}
	desired := zoneHosts(members)
	if isAlone {
		// A host that reaches no other host must not remove the others from the list.
		desired = withHost(listed, members.Self)
	}
	l.checkedAt, l.checkedEra = now, era
	if slices.Equal(listed, desired) {
		l.lastList = desired
		return nil
	}
	l.writtenAt = now
	return l.write(ctx, desired, position)
}

// write replaces the stored list unless it has changed since the given position.
func (l *HostList) write(ctx context.Context, desired []board.Member, position store.Position) error {
	t := store.Transaction{Compares: []store.Compare{{Key: l.key, ModRevision: position}}}
	if len(desired) == 0 {
		t.Deletes = []string{l.key}
	} else {
		data, err := json.Marshal(hostList{Member: desired[0], Hosts: desired})
		if err != nil {
			return fmt.Errorf("encode list of hosts: %w", err)
		}
		t.Puts = []store.Put{{Key: l.key, Data: data}}
	}
	committed, _, err := l.tree.Txn(ctx, t)
	if err != nil {
		return fmt.Errorf("write list of hosts: %w", err)
	}
	if committed {
		l.lastList = desired
		l.log.WithFields(logrus.Fields{"key": l.key, "hosts": len(desired)}).Info("List of hosts written.")
	}
	return nil
}

// read returns the stored list of the own zone and the position of its item.
func (l *HostList) read(ctx context.Context) ([]board.Member, store.Position, error) {
	items, _, err := l.tree.List(ctx, l.key)
	if err != nil {
		return nil, 0, fmt.Errorf("read list of hosts: %w", err)
	}
	for _, i := range items {
		if i.Key == l.key {
			return l.decode(i), i.Position, nil
		}
	}
	return nil, 0, nil
}

// registrationDelay returns how long a host that finds no other host waits before it lists
// itself.
func registrationDelay(capacity float64) time.Duration {
	if capacity == 0 {
		return registrationWork
	}
	return min(time.Duration(float64(registrationWork)/capacity), maxRegistrationDelay)
}

// isListWriter reports whether this host writes the list of its zone. The writer is the host
// with the highest rank among those with enough capacity.
func isListWriter(members *board.Members) bool {
	zone := &board.Members{Self: members.Self}
	maxCapacity := 0.0
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && !m.Leaving {
			maxCapacity = max(maxCapacity, m.Capacity)
		}
	}
	if members.Self.Capacity < maxCapacity*minWriterCapacityRatio {
		return false
	}
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && m.Capacity >= maxCapacity*minWriterCapacityRatio {
			zone.Live = append(zone.Live, m)
		}
	}
	return zone.IsSelected("host-list/"+string(members.Self.Zone), 1)
}

// zoneHosts returns the live hosts of the own zone that are not leaving, without their volatile
// fields.
func zoneHosts(members *board.Members) []board.Member {
	var zone []board.Member
	for _, m := range members.Live {
		if m.Zone == members.Self.Zone && !m.Leaving {
			zone = append(zone, withoutVolatileFields(m))
		}
	}
	return zone
}

// withoutVolatileFields clears the fields that change while a host runs or when it restarts, or that earlier builds do
// not know, so that these do not cause a write of the list.
func withoutVolatileFields(m board.Member) board.Member {
	m.Run, m.Capacity, m.LinkMbps = "", 0, 0
	return m
}

// withHost returns the list with the host added or replaced, sorted by name.
func withHost(listed []board.Member, self board.Member) []board.Member {
	list := append(withoutHost(listed, self), withoutVolatileFields(self))
	slices.SortFunc(list, func(a, b board.Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// withoutHost returns the list without the host.
func withoutHost(listed []board.Member, self board.Member) []board.Member {
	return slices.DeleteFunc(slices.Clone(listed), func(m board.Member) bool { return m.Name == self.Name })
}
