package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
)

const (
	// watchers is the number of hosts that watch the store; the others hear from them.
	watchers = 5
	// watchDuty is the duty by which the watching hosts are chosen.
	watchDuty = "store-watch"
	// maxAge is the age of its knowledge at which a host that does not watch asks the store
	// itself. A watch confirms what its host knows every watchWait.
	maxAge = watchWait + time.Second
	// peerPatience is how long a watching host waits for changes from the store itself
	// before it takes them from a peer.
	peerPatience = 300 * time.Millisecond
	// peerTimeout bounds the read from a peer.
	peerTimeout = 500 * time.Millisecond
	// maxItemsBytes bounds what a peer may send.
	maxItemsBytes = 32 << 20
	// sinceParameter names the revision from which a peer goes on.
	sinceParameter = "since"
)

// Items is what a host knows from the store.
type Items struct {
	// Revision is how far the host has followed the store.
	Revision int64 `json:"revision"`
	// Partial items are only those that have changed since the revision that was asked for.
	Partial bool `json:"partial"`
	// TroubleAgeMS is how long ago the store failed a call of this host, 0 if it never did.
	// Targets that vanish around that time may come back.
	TroubleAgeMS int64 `json:"trouble-age-ms,omitempty"`
	// ConfirmedAgeMS is how long ago the revision was confirmed to be the newest.
	ConfirmedAgeMS int64        `json:"confirmed-age-ms"`
	Items          []store.Item `json:"items"`
}

// Items returns what this host knows beyond a revision, as the text of a parameter.
func (d *Controller) Items(since string) Items {
	revision, err := strconv.ParseInt(since, 10, 64)
	if err != nil {
		revision = 0 // The peer gets everything.
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, partial := d.known.since(revision)
	items := Items{Revision: d.revision, Partial: partial, Items: changes, ConfirmedAgeMS: time.Since(d.confirmedAt).Milliseconds()}
	if !d.troubleAt.IsZero() {
		items.TroubleAgeMS = max(time.Since(d.troubleAt).Milliseconds(), 1)
	}
	return items
}

// Nudge implements member.Nudger: it is told what a peer knows, and a peer that knows more
// is read.
func (d *Controller) Nudge(k member.Knowledge, peerURL string) {
	d.mu.Lock()
	behind := k.Store > d.revision
	if confirmed := time.Now().Add(-k.StoreAge); k.Store == d.revision && k.Store > 0 && confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
	d.mu.Unlock()
	if !behind {
		return
	}
	select {
	case d.hint <- peerHint{peerURL, k.Store}:
	default: // Another peer is about to be read.
	}
}

// peerHint is a peer that knows the store up to a revision.
type peerHint struct {
	url      string
	revision int64
}

// readPeers reads peers that know more.
func (d *Controller) readPeers(ctx context.Context) {
	for {
		var hint peerHint
		select {
		case <-ctx.Done():
			return
		case hint = <-d.hint:
		}
		if d.watches() {
			pause(ctx, peerPatience)
		}
		if ctx.Err() != nil || d.followed() >= hint.revision {
			continue
		}
		if err := d.readPeer(ctx, hint.url); err != nil {
			d.common.CountRetry("peer-read")
			d.log.WithError(err).WithField("peer", hint.url).Info("Peer not read.")
		}
	}
}

// watches reports whether this host is one of those that watch the store.
func (d *Controller) watches() bool {
	return d.board.Members().Ranks(watchDuty, watchers)
}

// awaitNeed waits until this host must ask the store: it watches for all, or what it knows
// has not been confirmed for too long.
func (d *Controller) awaitNeed(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.board.Changed()
		left := d.mayWait()
		if left <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(left):
		}
	}
}

// mayWait returns how long this host may go without asking the store.
func (d *Controller) mayWait() time.Duration {
	// A host that has not asked the others yet would take itself for one that watches, and
	// when all start at once all would.
	watches := d.board.HasJoined() && d.watches()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.revision == 0:
		return 0
	case d.confirmedAt.IsZero():
		if watches {
			return 0
		}
		return firstPatience - time.Since(d.startedAt)
	case watches:
		return 0
	}
	return maxAge - time.Since(d.confirmedAt)
}

func (d *Controller) readPeer(ctx context.Context, peerURL string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	since := strconv.FormatInt(d.followed(), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, peerURL+wire.ItemsPath+"?"+sinceParameter+"="+since, nil)
	if err != nil {
		return fmt.Errorf("read peer: %w", err)
	}
	request.Header.Set(wire.KeyHeader, d.common.Settings.Peers.Key)
	response, err := d.peers.Do(request)
	if err != nil {
		return fmt.Errorf("read peer: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("read peer: status %d", response.StatusCode)
	}
	var items Items
	if err := json.NewDecoder(io.LimitReader(response.Body, maxItemsBytes)).Decode(&items); err != nil {
		return fmt.Errorf("decode items of peer: %w", err)
	}
	d.takePeer(items, peerURL)
	return nil
}

// takePeer takes what a peer knows if that is newer.
func (d *Controller) takePeer(items Items, peerURL string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if items.Revision <= d.revision {
		return
	}
	d.log.WithFields(logrus.Fields{"peer": peerURL, "store-revision": items.Revision, "was": d.revision, "items": len(items.Items)}).Info("State of the store taken from a peer.")
	d.setRevision(items.Revision)
	if items.TroubleAgeMS > 0 {
		trouble := time.Now().Add(-time.Duration(items.TroubleAgeMS) * time.Millisecond)
		if trouble.After(d.troubleAt) {
			d.troubleAt = trouble
		}
	}
	if items.Partial {
		d.takeChanges(items.Items)
	} else {
		d.takeAll(items.Items)
	}
	if confirmed := time.Now().Add(-time.Duration(items.ConfirmedAgeMS) * time.Millisecond); confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
}
