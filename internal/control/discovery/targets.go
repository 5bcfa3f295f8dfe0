package discovery

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// applyTarget applies a change of the entry of a target and reports whether the board must be
// updated.
func (d *Controller) applyTarget(i store.Item) bool {
	if i.Deleted {
		return d.handleDeletedTarget(i)
	}
	delete(d.removeAt, i.Key)
	if !d.cache.put(i) {
		return false
	}
	t, err := d.translator.Target(i.Key, i.Data)
	if err == nil {
		err = object.CheckTarget(t)
	}
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Warn("Invalid target entry skipped.")
		_, existed := d.targets[i.Key]
		delete(d.targets, i.Key)
		return existed
	}
	previous := d.targets[i.Key]
	if previous != nil && *previous == *t {
		return false // Only fields that are not decoded have changed, such as a counter.
	}
	d.targets[i.Key] = t
	d.log.WithFields(logrus.Fields{"target": t.Name, "pool": t.Pool, "drain": t.Drain, "store-position": i.Position.String()}).Info("Target changed.")
	return true
}

// handleDeletedTarget handles the deletion or expiry of an entry and reports whether the board
// must be updated. Around a store outage, entries expire although their owners still run, so the
// target is kept for a grace period in which its owner can write the entry again.
func (d *Controller) handleDeletedTarget(i store.Item) bool {
	key := i.Key
	d.cache.remove(key, i.Position)
	if d.targets[key] == nil {
		return false
	}
	if outageAge := time.Since(d.lastOutageAt); outageAge < expiryGrace {
		d.removeAt[key] = time.Now().Add(expiryGrace)
		select {
		case d.targetVanished <- struct{}{}:
		default: // The expiry loop has a pending wake-up.
		}
		d.log.WithFields(logrus.Fields{"key": key, "store-trouble-age": outageAge.String()}).Info("Target entry expired around a store outage; target kept for now.")
		return false
	}
	d.removeTarget(key, "entry deleted")
	return true
}

func (d *Controller) removeTarget(key, cause string) {
	d.log.WithFields(logrus.Fields{"target": d.targets[key].Name, "cause": cause}).Info("Target gone.")
	delete(d.targets, key)
	delete(d.removeAt, key)
}

// runExpiry removes targets whose entries were not written again in the grace period after an
// outage. It blocks while no target is in its grace period.
func (d *Controller) runExpiry(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.targetVanished:
		}
		for d.removeExpired(time.Now()) > 0 {
			sleep(ctx, expiryGrace/10)
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// removeExpired removes the targets whose grace period has ended and returns the number of those
// whose grace period still runs.
func (d *Controller) removeExpired(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for key, at := range d.removeAt {
		if now.After(at) {
			d.removeTarget(key, "entry not written again after a store outage")
			changed = true
		}
	}
	if changed {
		d.publish()
	}
	return len(d.removeAt)
}
