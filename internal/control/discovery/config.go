package discovery

import (
	"bytes"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// applyConfig makes a configuration the active one if it is newer and valid as a whole. Its own revision decides, not
// its position: a store that was restored may hold an older one.
func (d *Controller) applyConfig(i store.Item) bool {
	if bytes.Equal(i.Data, d.cache.items[i.Key].Data) {
		d.cache.put(i)
		return false
	}
	revision, objects, err := d.translator.Config(i.Data)
	var snapshot *object.Snapshot
	if err == nil {
		snapshot, err = object.Compile(revision, "", objects)
	}
	if err != nil {
		d.refused = max(d.refused, revision)
		d.common.Metrics.Counter("config_refused").Inc(1)
		d.log.WithError(err).WithField("revision", revision).Error("Configuration rejected; the previous one stays active.")
		return false
	}
	if d.base != nil && d.base.Revision >= revision {
		d.log.WithFields(logrus.Fields{"revision": revision, "in-force": d.base.Revision, "store-position": i.Position.String()}).Warn("Older configuration ignored.")
		return false
	}
	d.cache.put(i)
	d.base = snapshot
	d.common.Metrics.Gauge("config_revision").Update(float64(revision))
	d.log.WithFields(logrus.Fields{"revision": revision, "store-position": i.Position.String()}).Info("Configuration in force.")
	return true
}

// publish puts the active configuration with the current targets and rollouts on the board. The first time, it waits
// until no later configuration is known, because this host may have used that before it was started again. The
// caller must hold d.mu.
func (d *Controller) publish() {
	if d.base == nil || d.confirmedAt.IsZero() {
		return
	}
	if !d.published && d.fetches.wants(d.translator.ConfigKey()) > 0 {
		return
	}
	d.published = true
	d.targetRevision++
	targets := make([]*object.Target, 0, len(d.targets))
	for _, t := range d.targets {
		targets = append(targets, t)
	}
	d.board.SetConfig(d.base.WithTargets(d.targetRevision, targets).WithRollouts(d.rollouts.current(d.targets)))
}
