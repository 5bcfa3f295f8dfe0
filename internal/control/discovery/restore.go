package discovery

import (
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
)

const (
	// restoreGrace is how long, after the store was restored from an older copy, what this host knows of an entry
	// outranks an earlier state of it in the copy. In that time its owner writes the entry again, or it lapses.
	restoreGrace = 6 * time.Second
	// restoreListInterval is the time between two lists of the store while entries of the copy are held back. A random
	// part of up to the same time is added, so that not all hosts list at once.
	restoreListInterval = 500 * time.Millisecond
)

// restoreState is what a host remembers of the last restore of the store from an older copy.
type restoreState struct {
	// at is when this host noticed the restore, zero if there was none.
	at time.Time
	// heldBack holds, by key, the positions of listed entries that are not applied yet, because this host knows
	// later states of them.
	heldBack map[string]store.Position
	// listAt is when the store is listed next to find out whether they were written again.
	listAt time.Time
}

// timeUntilList returns the time until the store must be listed for the entries that are held back.
func (r *restoreState) timeUntilList(now time.Time) time.Duration {
	if len(r.heldBack) == 0 {
		return math.MaxInt64
	}
	return r.listAt.Sub(now)
}

// consumeListDue reports whether the store must be listed for the entries that are held back, and sets the next time.
func (r *restoreState) consumeListDue(now time.Time) bool {
	if r.timeUntilList(now) > 0 {
		return false
	}
	r.scheduleList(now)
	return true
}

func (r *restoreState) scheduleList(now time.Time) {
	r.listAt = now.Add(restoreListInterval + rand.N(restoreListInterval))
}

// keepOnly forgets the entries that are not in the latest list.
func (r *restoreState) keepOnly(listed map[string]bool) {
	for key := range r.heldBack {
		if !listed[key] {
			delete(r.heldBack, key)
		}
	}
}

// recordRestore records that the store is in another era than before. Entries that are missing in the copy are kept
// like those that expire around an outage. The caller must hold d.mu.
func (d *Controller) recordRestore(now time.Time, position store.Position) {
	d.common.Metrics.Counter("store_restores").Inc(1)
	d.log.WithFields(logrus.Fields{"was": d.position.String(), "store-position": position.String()}).Warn("Store restored from an older copy.")
	d.lastOutageAt = now
	d.restore.at = now
	d.restore.scheduleList(now)
}

// applyListed applies a listed item unless it is held back, and reports whether the board must be updated. An entry
// that was held back gets the position of the list, so that peers that have read this host before get it, too. The
// caller must hold d.mu.
func (d *Controller) applyListed(i store.Item) bool {
	if d.holdsBack(time.Now(), i) {
		return false
	}
	if _, wasHeldBack := d.restore.heldBack[i.Key]; wasHeldBack {
		i.Position = d.position
	}
	return d.applyItem(i)
}

// holdsBack reports whether a listed entry is not applied for now: it comes from an older copy, and this host knows a
// later state of it. It is applied once its owner has written it again, or after restoreGrace. The caller must hold
// d.mu.
func (d *Controller) holdsBack(now time.Time, i store.Item) bool {
	if at, found := d.restore.heldBack[i.Key]; found {
		return i.Position == at && now.Sub(d.restore.at) < restoreGrace
	}
	if !d.isOlderState(i) || now.Sub(d.restore.at) >= restoreGrace {
		return false
	}
	d.restore.heldBack[i.Key] = i.Position
	d.log.WithFields(logrus.Fields{"key": i.Key, "known": d.cache.position(i.Key).String(), "listed": i.Position.String()}).Info("Entry of an older copy of the store held back.")
	return true
}

// isOlderState reports whether a listed entry of a target, or an order, may be an earlier state of what this host knows
// from the era before. The other entries tell by themselves which of two is newer.
func (d *Controller) isOlderState(i store.Item) bool {
	if !strings.HasPrefix(i.Key, d.translator.TargetsPrefix()) && !strings.HasPrefix(i.Key, d.translator.RolloutsPrefix()) {
		return false
	}
	known := d.cache.position(i.Key)
	if known == 0 || known.Era() >= i.Position.Era() || known.Revision() <= i.Position.Revision() {
		return false
	}
	return !d.isSameTarget(i)
}

// isSameTarget reports whether the entry of a target says what this host knows of it already.
func (d *Controller) isSameTarget(i store.Item) bool {
	known := d.targets[i.Key]
	if known == nil {
		return false
	}
	listed, err := d.translator.Target(i.Key, i.Data)
	return err == nil && *listed == *known
}
