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
	// watchers is the number of hosts that watch the store. The others read changes from peers.
	watchers = 5
	// watchTask is the task name by which the watching hosts are selected.
	watchTask = "store-watch"
	// maxUnconfirmedAge is the age of the last confirmation at which a host that does not watch
	// calls the store itself. Watching hosts get a confirmation at least every watchTimeout.
	maxUnconfirmedAge = watchTimeout + time.Second
	// peerReadDelay is how long a watching host waits for changes from the store before it reads
	// them from a peer.
	peerReadDelay = 300 * time.Millisecond
	// peerTimeout bounds the read from a peer.
	peerTimeout = 500 * time.Millisecond
	// maxItemsBytes bounds the size of a response from a peer.
	maxItemsBytes = 32 << 20
	// sinceParameter is the query parameter for the revision after which changes are requested.
	sinceParameter = "since"
)

// Items is the state of the store, or its latest changes, as one host sends it to another.
type Items struct {
	// Revision is the store revision up to which the host has applied changes.
	Revision int64 `json:"revision"`
	// Partial is set if Items contains only the changes since the requested revision.
	Partial bool `json:"partial"`
	// OutageAgeMS is the time since the last store outage that the host has seen, 0 if there was
	// none. The owner of a target entry that expired around that time may write it again.
	OutageAgeMS int64 `json:"trouble-age-ms,omitempty"`
	// ConfirmedAgeMS is the time since Revision was confirmed as the newest.
	ConfirmedAgeMS int64        `json:"confirmed-age-ms"`
	Items          []store.Item `json:"items"`
}

// Items returns the changes after a revision, which is given as the text of the query parameter.
// It returns all items if the text is not a number or the revision is too old.
func (d *Controller) Items(sinceText string) Items {
	revision, err := strconv.ParseInt(sinceText, 10, 64)
	if err != nil {
		revision = 0 // The peer gets all items.
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	changes, partial := d.cache.changesAfter(revision)
	items := Items{Revision: d.revision, Partial: partial, Items: changes, ConfirmedAgeMS: time.Since(d.confirmedAt).Milliseconds()}
	if !d.lastOutageAt.IsZero() {
		items.OutageAgeMS = max(time.Since(d.lastOutageAt).Milliseconds(), 1)
	}
	return items
}

// HandlePeerState implements member.PeerStateHandler. A peer at the same revision can confirm it;
// a peer at a newer revision is read.
func (d *Controller) HandlePeerState(reported member.PeerState, peerURL string) {
	d.mu.Lock()
	isBehind := reported.StoreRevision > d.revision
	if confirmed := time.Now().Add(-reported.StoreAge); reported.StoreRevision == d.revision && reported.StoreRevision > 0 && confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
	d.mu.Unlock()
	if !isBehind {
		return
	}
	select {
	case d.newerPeers <- newerPeer{peerURL, reported.StoreRevision}:
	default: // A read from another peer is already pending.
	}
}

// newerPeer is a peer that has reported a newer store revision.
type newerPeer struct {
	url      string
	revision int64
}

// readPeers reads the items of peers that have reported a newer revision.
func (d *Controller) readPeers(ctx context.Context) {
	for {
		var peer newerPeer
		select {
		case <-ctx.Done():
			return
		case peer = <-d.newerPeers:
		}
		if d.isWatcher() {
			sleep(ctx, peerReadDelay)
		}
		if ctx.Err() != nil || d.currentRevision() >= peer.revision {
			continue
		}
		if err := d.readPeer(ctx, peer.url); err != nil {
			d.common.CountRetry("peer-read")
			d.log.WithError(err).WithField("peer", peer.url).Info("Read from peer failed.")
		}
	}
}

// isWatcher reports whether this host is one of those that watch the store.
func (d *Controller) isWatcher() bool {
	return d.board.Members().IsSelected(watchTask, watchers)
}

// waitUntilReadDue waits until this host must call the store, because it is one of the watching
// hosts or because the last confirmation is too old.
func (d *Controller) waitUntilReadDue(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.board.Changed()
		wait := d.timeUntilRead()
		if wait <= 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// timeUntilRead returns how long this host may wait before it must call the store.
func (d *Controller) timeUntilRead() time.Duration {
	// Before it has joined, a host has no list of members and would always select itself as a
	// watcher. If all hosts started together, all of them would watch.
	isWatcher := d.board.HasJoined() && d.isWatcher()
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.revision == 0:
		return 0
	case d.confirmedAt.IsZero():
		if isWatcher {
			return 0
		}
		return startupPeerWait - time.Since(d.startedAt)
	case isWatcher:
		return 0
	}
	return maxUnconfirmedAge - time.Since(d.confirmedAt)
}

func (d *Controller) readPeer(ctx context.Context, peerURL string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	since := strconv.FormatInt(d.currentRevision(), 10)
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
	d.applyPeerItems(items, peerURL)
	return nil
}

// applyPeerItems applies the items of a peer if their revision is newer.
func (d *Controller) applyPeerItems(items Items, peerURL string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if items.Revision <= d.revision {
		return
	}
	d.log.WithFields(logrus.Fields{"peer": peerURL, "store-revision": items.Revision, "was": d.revision, "items": len(items.Items)}).Info("State of the store taken from a peer.")
	d.setRevision(items.Revision)
	if items.OutageAgeMS > 0 {
		outageAt := time.Now().Add(-time.Duration(items.OutageAgeMS) * time.Millisecond)
		if outageAt.After(d.lastOutageAt) {
			d.lastOutageAt = outageAt
		}
	}
	if items.Partial {
		d.applyChanges(items.Items)
	} else {
		d.applyList(items.Items)
	}
	if confirmed := time.Now().Add(-time.Duration(items.ConfirmedAgeMS) * time.Millisecond); confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
}
