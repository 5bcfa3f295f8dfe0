package discovery

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"redwinglock/internal/peer/patch"
	"redwinglock/internal/platform/store"
)

// maxTransfers is the number of large values that this host sends at a time. Further peers try other hosts.
const maxTransfers = 8

// Items is the state of the store, or its latest changes, as one host sends it to another.
type Items struct {
	// Era and Revision are the position in the store up to which the host has applied changes.
	Era      store.Era `json:"era,omitempty"`
	Revision int64     `json:"revision"`
	// Partial is set if Items contains only the changes since the requested revision.
	Partial bool `json:"partial"`
	// OutageAgeMS is the time since the last store outage that the host has seen, 0 if there was
	// none. The owner of a target entry that expired around that time may write it again.
	OutageAgeMS int64 `json:"trouble-age-ms,omitempty"`
	// ConfirmedAgeMS is the time since that position was confirmed as the newest.
	ConfirmedAgeMS int64        `json:"confirmed-age-ms"`
	Items          []store.Item `json:"items"`
	// Values describes the items with large values, which the receiver reads apart.
	Values []Value `json:"values,omitempty"`
}

// ServeItems sends the items of this host to a peer.
func (d *Controller) ServeItems(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items := d.Items(query.Get(sinceParameter), query.Get(eraParameter), query.Get(valuesParameter) == valuesApart)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(items) // The peer may have disconnected; it asks again.
}

// Items returns the changes after a revision of an era, which are given as the texts of the query parameters. It
// returns all items if the revision is not a number, too old, or of another era. Without an era, as earlier builds
// ask, that of this host is meant. With apart, large values are only described.
func (d *Controller) Items(sinceText, eraText string, apart bool) Items {
	d.mu.Lock()
	defer d.mu.Unlock()
	after := d.parsePosition(sinceText, eraText)
	changes, partial := d.changesAfter(after)
	position := d.position
	var values []Value
	if apart {
		changes, values = d.separateValues(changes, after, partial)
	} else {
		// A peer that has a position does not ask for what was before it.
		position = d.fetches.completeUntil(position)
	}
	items := Items{
		Era: position.Era(), Revision: position.Revision(), Partial: partial, Items: changes, Values: values,
		ConfirmedAgeMS: time.Since(d.confirmedAt).Milliseconds(),
	}
	if !d.lastOutageAt.IsZero() {
		items.OutageAgeMS = max(time.Since(d.lastOutageAt).Milliseconds(), 1)
	}
	return items
}

// separateValues replaces the large values among changes by descriptions, and adds those that this host lacks itself.
// The caller must hold d.mu.
func (d *Controller) separateValues(changes []store.Item, after store.Position, partial bool) ([]store.Item, []Value) {
	inline := make([]store.Item, 0, len(changes))
	var values []Value
	for _, i := range changes {
		switch {
		case d.fetches.wants(i.Key) > i.Position: // Described below.
		case isLarge(i) && d.values.digest(i.Key) != "":
			values = append(values, describe(i, d.values.digest(i.Key), ""))
		default:
			inline = append(inline, i)
		}
	}
	for _, v := range d.fetches.descriptions() {
		if !partial || v.position() > after {
			values = append(values, v)
		}
	}
	return inline, values
}

// parsePosition returns the position that a peer has read, 0 if it has none.
func (d *Controller) parsePosition(sinceText, eraText string) store.Position {
	revision, err := strconv.ParseInt(sinceText, 10, 64)
	if err != nil || revision <= 0 {
		return 0
	}
	era := d.position.Era()
	if number, err := strconv.ParseInt(eraText, 10, 32); err == nil {
		era = store.Era(number)
	}
	return store.NewPosition(era, revision)
}

// changesAfter returns the changes that a peer lacks and true, or all items and false.
func (d *Controller) changesAfter(after store.Position) ([]store.Item, bool) {
	if after.Era() != d.position.Era() {
		return d.cache.all(), false
	}
	return d.cache.changesAfter(after)
}

// ServeValue sends the latest large value of a key to a peer, as a patch to the value that the peer has. It refuses
// with 503 if this host sends too many already, and with 404 if it does not have the value.
func (d *Controller) ServeValue(w http.ResponseWriter, r *http.Request) {
	if d.transfers.Add(1) > maxTransfers {
		d.transfers.Add(-1)
		d.common.Metrics.Counter("value_reads_refused").Inc(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer d.transfers.Add(-1)
	query := r.URL.Query()
	d.mu.Lock()
	wanted := d.parsePosition(query.Get(sinceParameter), query.Get(eraParameter))
	d.mu.Unlock()
	sent, found, err := d.values.transfer(query.Get(keyParameter), wanted, patch.Digest(query.Get(baseParameter)))
	switch {
	case err != nil:
		d.log.WithError(err).Error("Value not sent to peer.")
		w.WriteHeader(http.StatusInternalServerError)
		return
	case !found:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/zstd")
	header.Set(valueEraHeader, strconv.FormatInt(int64(sent.Value.Era), 10))
	header.Set(valueRevisionHeader, strconv.FormatInt(sent.Value.Revision, 10))
	header.Set(valueDigestHeader, string(sent.Value.Digest))
	header.Set(valueBaseHeader, string(sent.Base))
	d.common.Metrics.Counter("value_sent_bytes").Inc(int64(len(sent.Patch)))
	_, _ = w.Write(sent.Patch) // The peer may have disconnected; it asks again.
}
