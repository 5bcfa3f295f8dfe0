package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
	"redwinglock/internal/state/object"
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
	// peerTimeout bounds the time until a peer answers, and any silence in its answer.
	peerTimeout = 500 * time.Millisecond
	// maxItemsBytes bounds the size of the changes from a peer, and maxValueBytes that of a large value.
	maxItemsBytes = 8 << 20
	maxValueBytes = 4 << 20
	// sinceParameter and eraParameter are the query parameters for the revision, and its era, after which changes are
	// requested. Earlier builds send no era.
	sinceParameter = "since"
	eraParameter   = "era"
	// valuesParameter is set to valuesApart by hosts that read large values apart. Earlier builds get them with the
	// other changes.
	valuesParameter = "values"
	valuesApart     = "apart"
)

// HandlePeerState implements member.PeerStateHandler. A peer at the same position can confirm it; a peer at a later
// one, or with a later configuration, is read.
func (d *Controller) HandlePeerState(reported member.PeerState, peerURL string) {
	peer := newerPeer{peerURL, reported.StorePosition, reported.ConfigRevision}
	d.mu.Lock()
	isNewer := d.lacks(peer)
	if d.lacksConfig(peer.config) {
		d.fetches.addSource(time.Now(), d.translator.ConfigKey(), peerURL)
		d.notifyFetches()
	}
	if confirmed := time.Now().Add(-reported.StoreAge); reported.StorePosition == d.position && reported.StorePosition > 0 && confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
	d.mu.Unlock()
	if !isNewer {
		return
	}
	select {
	case d.newerPeers <- peer:
	default: // A read from another peer is already pending.
	}
}

// newerPeer is a peer that has reported a later position or configuration.
type newerPeer struct {
	url      string
	position store.Position
	config   object.Revision
}

// lacks reports whether this host lacks what a peer has. The configuration is compared too, because a store that was
// restored holds an older one until the operator writes it again. One that is being fetched is not lacking. The caller
// must hold d.mu.
func (d *Controller) lacks(peer newerPeer) bool {
	isFetched := d.fetches.wants(d.translator.ConfigKey()) > 0
	return peer.position > d.position || peer.position > 0 && d.lacksConfig(peer.config) && !isFetched
}

func (d *Controller) lacksConfig(revision object.Revision) bool {
	return d.base != nil && revision > max(d.base.Revision, d.refused)
}

// readPeers reads the items of peers that have reported a later state.
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
		if ctx.Err() != nil || !d.stillLacks(peer) {
			continue
		}
		d.readPeerOnce(ctx, peer)
	}
}

// readPeerOnce reads a peer and records how long that took and how much it sent.
func (d *Controller) readPeerOnce(ctx context.Context, peer newerPeer) {
	startedAt := time.Now()
	size, err := d.readPeer(ctx, peer)
	elapsed := time.Since(startedAt)
	d.common.Metrics.Counter("peer_read_bytes").Inc(size)
	d.common.Metrics.Timer("peer_read_time").Record(elapsed)
	if err != nil {
		d.common.CountRetry("peer-read")
		d.log.WithError(err).WithFields(logrus.Fields{"peer": peer.url, "bytes": size, "read-ms": elapsed.Milliseconds(), "store-position": peer.position.String()}).Info("Read from peer failed.")
	}
}

func (d *Controller) stillLacks(peer newerPeer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lacks(peer)
}

// isWatcher reports whether this host is one of those that watch the store.
func (d *Controller) isWatcher() bool {
	return d.board.Members().IsSelectedByLink(watchTask, watchers)
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
	case d.position == 0 || d.listRequired:
		return 0
	case d.confirmedAt.IsZero():
		if isWatcher {
			return 0
		}
		return startupPeerWait - time.Since(d.startedAt)
	case isWatcher:
		return 0
	}
	return min(maxUnconfirmedAge-time.Since(d.confirmedAt), d.restore.timeUntilList(time.Now()))
}

// readPeer reads and applies the items of a peer and returns the number of bytes that the peer has sent.
func (d *Controller) readPeer(ctx context.Context, peer newerPeer) (int64, error) {
	ctx, transfer := body.NewTransfer(ctx, peerTimeout, peerTimeout)
	defer transfer.Close()
	position := d.currentPosition()
	if peer.position <= position {
		position = 0 // The peer has a later configuration, whose position does not tell that.
	}
	query := url.Values{
		sinceParameter: {strconv.FormatInt(position.Revision(), 10)},
		eraParameter:   {strconv.FormatInt(int64(position.Era()), 10)},
		// Named last, because earlier builds ignore it.
		valuesParameter: {valuesApart},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, peer.url+wire.ItemsPath+"?"+query.Encode(), nil)
	if err != nil {
		return 0, fmt.Errorf("read peer: %w", err)
	}
	request.Header.Set(wire.KeyHeader, d.common.Settings.Peers.Key)
	response, err := d.peers.Do(request)
	if err != nil {
		return 0, fmt.Errorf("read peer: %w", transfer.Err(err))
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("read peer: status %d", response.StatusCode)
	}
	var items Items
	if err := json.NewDecoder(transfer.Reader(response.Body, maxItemsBytes)).Decode(&items); err != nil {
		return transfer.Size(), fmt.Errorf("decode items of peer: %w", err)
	}
	d.applyPeerItems(items, peer.url)
	return transfer.Size(), nil
}

// applyPeerItems applies the items of a peer if their position is later, and their configuration if that is.
func (d *Controller) applyPeerItems(items Items, peerURL string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	position := store.NewPosition(items.Era, items.Revision)
	if position <= d.position {
		d.applyPeerConfig(items, peerURL)
		return
	}
	d.log.WithFields(logrus.Fields{"peer": peerURL, "store-position": position.String(), "was": d.position.String(), "items": len(items.Items), "values": len(items.Values)}).Info("State of the store taken from a peer.")
	d.setPosition(position)
	if items.OutageAgeMS > 0 {
		outageAt := time.Now().Add(-time.Duration(items.OutageAgeMS) * time.Millisecond)
		if outageAt.After(d.lastOutageAt) {
			d.lastOutageAt = outageAt
		}
	}
	if items.Partial {
		d.applyChanges(items.Items)
	} else {
		d.applyList(items.Items, items.Values)
	}
	for _, v := range items.Values {
		d.applyDescribed(v, peerURL)
	}
	if confirmed := time.Now().Add(-time.Duration(items.ConfirmedAgeMS) * time.Millisecond); confirmed.After(d.confirmedAt) {
		d.setConfirmed(confirmed)
	}
}

// applyPeerConfig applies the configuration among the items of a peer if it is later than the one in force. The caller
// must hold d.mu.
func (d *Controller) applyPeerConfig(items Items, peerURL string) {
	for _, i := range items.Items {
		if i.Key == d.translator.ConfigKey() && d.applyItem(i) {
			d.publish()
		}
	}
	for _, v := range items.Values {
		if v.Key == d.translator.ConfigKey() {
			d.applyDescribed(v, peerURL)
		}
	}
}

// applyDescribed applies a large value that a peer describes if this host has kept the same value, and fetches it
// otherwise. The caller must hold d.mu.
func (d *Controller) applyDescribed(value Value, peerURL string) {
	known := d.cache.position(value.Key)
	if value.position() <= known && value.Era == known.Era() {
		return
	}
	if data := d.values.value(value.Key, value.Digest); data != nil {
		d.applyChanges([]store.Item{{Key: value.Key, Data: data, Position: value.position()}})
		return
	}
	if value.Source == "" {
		value.Source = peerURL
	}
	d.want(value)
}
