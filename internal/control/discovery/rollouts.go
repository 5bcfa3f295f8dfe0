package discovery

import (
	"encoding/json"
	"slices"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
)

// RolloutsPrefix is the prefix below which the records of rollouts are kept, by pool.
const RolloutsPrefix = "redwinglock/rollouts/"

// RolloutKey returns the key of the record of a pool.
func RolloutKey(pool object.PoolName) string { return RolloutsPrefix + string(pool) }

// rollouts are the orders and records of rollouts by pool.
type rollouts struct {
	orders  map[object.PoolName]*object.Rollout
	records map[object.PoolName]*object.Rollout
}

func newRollouts() rollouts {
	return rollouts{orders: map[object.PoolName]*object.Rollout{}, records: map[object.PoolName]*object.Rollout{}}
}

// takeOrder files an order of the operator. Orders stay in force when they are deleted, so
// that a version that was left is never used again.
func (d *Controller) takeOrder(i store.Item) bool {
	if i.Deleted || !d.known.put(i) {
		return false
	}
	order, err := d.translator.Rollout(i.Data)
	if err != nil {
		d.common.Metrics.Counter("rollouts_refused").Inc(1)
		d.log.WithError(err).WithField("key", i.Key).Error("Order of a rollout ignored.")
		return false
	}
	order.Order = i.Revision
	order.State = object.RolloutOrdered
	d.rollouts.orders[order.Pool] = order
	d.log.WithFields(logrus.Fields{"pool": order.Pool, "to": order.To, "duration": order.Duration, "store-revision": i.Revision}).Info("Rollout ordered.")
	return true
}

// takeRecord files the record of a rollout.
func (d *Controller) takeRecord(i store.Item) bool {
	if i.Deleted || !d.known.put(i) {
		return false
	}
	record := &object.Rollout{}
	if err := json.Unmarshal(i.Data, record); err != nil || record.Pool == "" {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of a rollout ignored.")
		return false
	}
	record.RecordRevision = i.Revision
	before := d.rollouts.records[record.Pool]
	d.rollouts.records[record.Pool] = record
	if before == nil || before.State != record.State || before.Order != record.Order {
		d.log.WithFields(logrus.Fields{"pool": record.Pool, "to": record.To, "state": record.State, "store-revision": i.Revision}).Info("Rollout changed.")
	}
	return true
}

// current returns the newest rollout of each pool: its record, unless a newer order has none.
func (r *rollouts) current(targets map[string]*object.Target) []*object.Rollout {
	var all []*object.Rollout
	for pool, record := range r.records {
		if order := r.orders[pool]; order == nil || order.Order <= record.Order {
			all = append(all, record)
		}
	}
	for pool, order := range r.orders {
		record := r.records[pool]
		if record != nil && record.Order >= order.Order {
			continue
		}
		next := *order
		if record != nil {
			next.RecordRevision = record.RecordRevision
		}
		next.From = versions(targets, pool, order.To)
		all = append(all, &next)
	}
	return all
}

// versions returns the versions of the targets of a pool but one, sorted.
func versions(targets map[string]*object.Target, pool object.PoolName, but object.Generation) []object.Generation {
	var found []object.Generation
	for _, t := range targets {
		if t.Pool == pool && t.Generation != but && !slices.Contains(found, t.Generation) {
			found = append(found, t.Generation)
		}
	}
	slices.Sort(found)
	return found
}
