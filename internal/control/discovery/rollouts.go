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
	order.OrderRevision = i.Position
	order.State = object.RolloutOrdered
	d.rollouts.orders[order.Pool] = order
	d.log.WithFields(logrus.Fields{"pool": order.Pool, "to": order.To, "duration": order.Duration, "store-position": i.Position.String()}).Info("Rollout ordered.")
	return true
}

// applyRecord stores a rollout record and reports whether the board must be updated.
func (d *Controller) applyRecord(i store.Item) bool {
	if i.Deleted {
		return d.restoreRecord(i)
	}
	if !d.cache.put(i) {
		return d.moveRecord(i)
	}
	record := &object.Rollout{}
	if err := json.Unmarshal(i.Data, record); err != nil || record.Pool == "" {
		d.log.WithError(err).WithField("key", i.Key).Error("Record of a rollout ignored.")
		return false
	}
	record.RecordRevision = i.Position
	previous := d.rollouts.records[record.Pool]
	if previous != nil && previous.OrderRevision == record.OrderRevision && previous.State.After(record.State) {
		return d.keepRecord(previous, i.Position)
	}
	d.rollouts.records[record.Pool] = record
	if previous == nil || previous.State != record.State || previous.OrderRevision != record.OrderRevision {
		d.log.WithFields(logrus.Fields{"pool": record.Pool, "to": record.To, "state": record.State, "store-position": i.Position.String()}).Info("Rollout changed.")
	}
	return true
}

// moveRecord updates the position of a record that is otherwise unchanged, as after a restore of the store.
func (d *Controller) moveRecord(i store.Item) bool {
	for pool, record := range d.rollouts.records {
		if RolloutKey(pool) != i.Key || record.RecordRevision == i.Position {
			continue
		}
		moved := *record
		moved.RecordRevision = i.Position
		d.rollouts.records[pool] = &moved
		return true
	}
	return false
}

// restoreRecord keeps a record that is missing in the store, which only happens if the store was restored from an
// older copy. The arbiter writes it again.
func (d *Controller) restoreRecord(i store.Item) bool {
	d.cache.remove(i.Key, i.Position)
	for _, record := range d.rollouts.records {
		if RolloutKey(record.Pool) == i.Key {
			return d.keepRecord(record, 0)
		}
	}
	return false
}

// keepRecord keeps a record of which the store holds an earlier state at a position.
func (d *Controller) keepRecord(record *object.Rollout, stored store.Position) bool {
	kept := *record
	kept.RecordRevision = stored
	kept.Unsaved = true
	d.rollouts.records[record.Pool] = &kept
	d.log.WithFields(logrus.Fields{"pool": kept.Pool, "to": kept.To, "state": kept.State, "store-position": stored.String()}).Warn("Record of a rollout kept, because that of the store is older.")
	return true
}

// current returns the current rollout of each pool: the record, or the order if it is newer than
// the record.
func (r *rollouts) current(targets map[string]*object.Target) []*object.Rollout {
	var all []*object.Rollout
	for pool, record := range r.records {
		if order := r.orders[pool]; order == nil || isCarriedOut(order, record) {
			all = append(all, record)
		}
	}
	for pool, order := range r.orders {
		record := r.records[pool]
		if record != nil && isCarriedOut(order, record) {
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

// isCarriedOut reports whether a record is that of an order or of a later one. After a restore of the store, an order
// is written again at another position; it is known by its content then. Earlier builds record no era.
func isCarriedOut(order, record *object.Rollout) bool {
	if era := record.OrderRevision.Era(); era != 0 && era != order.OrderRevision.Era() {
		return order.To == record.To && order.Duration == record.Duration
	}
	return order.OrderRevision.Revision() <= record.OrderRevision.Revision()
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
