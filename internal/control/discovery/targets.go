package discovery

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

func (d *Controller) takeTarget(i store.Item) bool {
	if i.Deleted {
		return d.loseTarget(i)
	}
	delete(d.vanished, i.Key)
	if !d.known.put(i) {
		return false
	}
	t, err := d.translator.Target(i.Key, i.Data)
	if err == nil {
		err = object.CheckTarget(t)
	}
	if err != nil {
		d.log.WithError(err).WithField("key", i.Key).Warn("Entry of a target skipped.")
		_, known := d.targets[i.Key]
		delete(d.targets, i.Key)
		return known
	}
	before := d.targets[i.Key]
	if before != nil && *before == *t {
		return false // Only its counter has changed.
	}
	d.targets[i.Key] = t
	d.log.WithFields(logrus.Fields{"target": t.Name, "pool": t.Pool, "drain": t.Drain, "store-revision": i.Revision}).Info("Target changed.")
	return true
}

// loseTarget handles the end of an entry. Around an outage of the store entries expire
// though their owners live; they are given time to come back.
func (d *Controller) loseTarget(i store.Item) bool {
	key := i.Key
	d.known.remove(key, i.Revision)
	if d.targets[key] == nil {
		return false
	}
	if since := time.Since(d.troubleAt); since < lapseGrace {
		d.vanished[key] = time.Now().Add(lapseGrace)
		select {
		case d.lapsed <- struct{}{}:
		default: // The loop is awake.
		}
		d.log.WithFields(logrus.Fields{"key": key, "store-trouble-age": since.String()}).Info("Entry expired around an outage, target kept for now.")
		return false
	}
	d.dropTarget(key, "entry deleted")
	return true
}

func (d *Controller) dropTarget(key, cause string) {
	d.log.WithFields(logrus.Fields{"target": d.targets[key].Name, "cause": cause}).Info("Target gone.")
	delete(d.targets, key)
	delete(d.vanished, key)
}

// expireLoop drops targets that have not come back after an outage. It sleeps while no target
// has vanished.
func (d *Controller) expireLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.lapsed:
		}
		for d.expire(time.Now()) > 0 {
			pause(ctx, lapseGrace/10)
			if ctx.Err() != nil {
				return
			}
		}
	}
}

// expire drops the targets whose time is up and returns how many are still waited for.
func (d *Controller) expire(now time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := false
	for key, at := range d.vanished {
		if now.After(at) {
			d.dropTarget(key, "entry did not come back after an outage")
			changed = true
		}
	}
	if changed {
		d.publish()
	}
	return len(d.vanished)
}
