package discovery

import (
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// RolloutsPrefix is the key prefix under which the rollout record of each pool is stored.
const RolloutsPrefix = "redwinglock/rollouts/"

// RolloutKey returns the key of the rollout record of a pool.
func RolloutKey(pool object.PoolName) string { return RolloutsPrefix + string(pool) }

// rollouts holds the rollout orders of the operator and the rollout records by pool.
type rollouts struct {
	orders  map[object.PoolName]*object.Rollout
	records map[object.PoolName]*object.Rollout
}

func newRollouts() rollouts {
	return rollouts{orders: map[object.PoolName]*object.Rollout{}, records: map[object.PoolName]*object.Rollout{}}
}

// applyOrder stores a rollout order of the operator and reports whether the board must be
// updated. An order stays active after its entry is deleted, so that a version that a rollout
// has replaced or rolled back is not used again.
func (d *Controller) applyOrder(i store.Item) bool {
	if i.Deleted || !d.cache.put(i) {
		return false
	}
	order, err := d.translator.Rollout(i.Data)
	if err != nil {
		d.common.Metrics.Counter("rollouts_refused").Inc(1)
		d.log.WithError(err).WithField("key", i.Key).Error("Order of a rollout ignored.")
		return false
	}
	order.OrderRevision = i.Revision
	order.State = object.RolloutOrdered
	d.rollouts.orders[order.Pool] = order
	d.log.WithFields(logrus.Fields{"pool": order.Pool, "to": order.To, "duration": order.Duration, "store-revision": i.Revision}).Info("Rollout ordered.")
	return true
}

// applyRecord stores a rollout record and reports whether the board must be updated.
func (d *Controller) applyRecord(i store.Item) bool {
	if i.Deleted || !d.cache.put(i) {
		return false
	}
	record := &object.Rollout{}
	if err := json.Unmarshal(i.Data, record); err != nil || record.Pool == "" {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of a rollout ignored.")
		return false
	}
	record.RecordRevision = i.Revision
	previous := d.rollouts.records[record.Pool]
	d.rollouts.records[record.Pool] = record
	if previous == nil || previous.State != record.State || previous.OrderRevision != record.OrderRevision {
		d.log.WithFields(logrus.Fields{"pool": record.Pool, "to": record.To, "state": record.State, "store-revision": i.Revision}).Info("Rollout changed.")
	}
	return true
}

// current returns the current rollout of each pool: the record, or the order if it is newer than
// the record.
func (r *rollouts) current(targets map[string]*object.Target) []*object.Rollout {
	var all []*object.Rollout
	for pool, record := range r.records {
		if order := r.orders[pool]; order == nil || order.OrderRevision <= record.OrderRevision {
			all = append(all, record)
		}
	}
	for pool, order := range r.orders {
		record := r.records[pool]
		if record != nil && record.OrderRevision >= order.OrderRevision {
			continue
		}
		next := *order
		if record != nil {
			next.RecordRevision = record.RecordRevision
		}
		next.From = otherVersions(targets, pool, order.To)
		all = append(all, &next)
	}
	return all
}

// otherVersions returns the sorted versions of the targets of a pool, without the excluded one.
func otherVersions(targets map[string]*object.Target, pool object.PoolName, excluded object.Generation) []object.Generation {
	var found []object.Generation
	for _, t := range targets {
		if t.Pool == pool && t.Generation != excluded && !slices.Contains(found, t.Generation) {
			found = append(found, t.Generation)
		}
	}
	slices.Sort(found)
	return found
}
