package discovery

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
)

// replaceAll applies a consistent list of the whole store and confirms its position.
func (d *Controller) replaceAll(items []store.Item, listed store.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if listed < d.position {
		// A peer has sent newer changes in the meantime.
		d.common.Metrics.Counter("store_lists_ignored").Inc(1)
		d.log.WithFields(logrus.Fields{"store-position": d.position.String(), "listed": listed.String()}).Warn("List of the store ignored, because it is older than the state of this host.")
		return
	}
	d.setPosition(listed)
	d.applyList(items, nil)
	d.setConfirmed(time.Now())
}

// applyList applies a list of the whole store, in which some large values are only described; cached keys that are
// not in it were deleted. The caller must hold d.mu.
func (d *Controller) applyList(items []store.Item, values []Value) {
	listed := make(map[string]bool, len(items)+len(values))
	for _, v := range values {
		listed[v.Key] = true
	}
	changed := false
	for _, i := range items {
		listed[i.Key] = true
		changed = d.applyListed(i) || changed
	}
	for key := range d.cache.items {
		if !listed[key] {
			changed = d.applyItem(store.Item{Key: key, Position: d.position, Deleted: true}) || changed
		}
	}
	d.restore.keepOnly(listed)
	if changed {
		d.publish()
	}
}

// applyChangesAfter applies the changes between two positions in order. It ignores them if the
// changes of a peer were applied while the call to the store was in progress.
func (d *Controller) applyChangesAfter(items []store.Item, after, next store.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.position != after {
		return
	}
	d.setPosition(next)
	d.applyChanges(items)
	d.setConfirmed(time.Now())
}

// applyChanges applies items in order. The caller must hold d.mu.
func (d *Controller) applyChanges(items []store.Item) {
	changed := false
	for _, i := range items {
		changed = d.applyItem(i) || changed
	}
	if changed {
		d.publish()
	}
}

// applyItem applies one item and reports whether the board must be updated.
func (d *Controller) applyItem(i store.Item) bool {
	d.fetches.received(time.Now(), i.Key, i.Position)
	known := d.cache.position(i.Key)
	if i.Key == d.translator.ConfigKey() {
		isOutdated := i.Position < known && i.Position.Era() == known.Era()
		return !i.Deleted && !isOutdated && d.applyConfig(i)
	}
	if i.Position < known {
		return false
	}
	delete(d.restore.heldBack, i.Key)
	switch {
	case strings.HasPrefix(i.Key, d.translator.TargetsPrefix()):
		return d.applyTarget(i)
	case strings.HasPrefix(i.Key, d.translator.RolloutsPrefix()):
		return d.applyOrder(i)
	case strings.HasPrefix(i.Key, RolloutsPrefix):
		return d.applyRecord(i)
	case strings.HasPrefix(i.Key, heldPrefixesPrefix):
		d.applyHeldPrefixes(i)
	case i.Key == QuotaBurstsKey:
		d.applyQuotaBursts(i)
	case strings.HasPrefix(i.Key, versionsPrefix):
		d.applyVersions(i)
	case strings.HasPrefix(i.Key, streamsPrefix):
		d.applyStreams(i)
	}
	return false
}
