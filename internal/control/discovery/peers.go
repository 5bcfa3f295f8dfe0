package discovery

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"redwinglock/internal/control/member"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
)

const (
	// peerPatience is how long the store may be silent before peers are believed that know
	// more of it. A watch answers at least every watchWait.
	peerPatience = 300 * time.Millisecond
	// peerTimeout bounds the read from a peer.
	peerTimeout = 500 * time.Millisecond
	// maxItemsBytes bounds what a peer may send.
	maxItemsBytes = 32 << 20
)

// Items is what a host knows from the store.
type Items struct {
	// Revision is how far the host has followed the store.
	Revision int64        `json:"revision"`
	Items    []store.Item `json:"items"`
}

// Items returns what this host knows, for a peer that cannot reach the store.
func (d *Controller) Items() Items {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := Items{Revision: d.revision, Items: make([]store.Item, 0, len(d.raw))}
	for key, data := range d.raw {
		known.Items = append(known.Items, store.Item{Key: key, Data: data})
	}
	return known
}

// Nudge implements member.Nudger: a peer that knows more is read if the store does not
// bring the news by itself.
func (d *Controller) Nudge(known member.Knowledge, peerURL string) {
	if known.Store <= d.board.StoreRevision() {
		return
	}
	select {
	case d.hint <- peerURL:
	default: // Another peer is about to be read.
	}
}

// readPeers reads peers that know more.
func (d *Controller) readPeers(ctx context.Context) {
	for {
		var peerURL string
		select {
		case <-ctx.Done():
			return
		case peerURL = <-d.hint:
		}
		pause(ctx, peerPatience)
		if ctx.Err() != nil || !d.storeSilent(time.Now()) {
			continue
		}
		if err := d.readPeer(ctx, peerURL); err != nil {
			d.common.CountRetry("peer-read")
			d.log.WithError(err).WithField("peer", peerURL).Info("Peer not read.")
		}
	}
}

// storeSilent reports whether the store fails calls or leaves a watch without an answer.
func (d *Controller) storeSilent(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.troubleAt.After(d.answeredAt) || now.Sub(d.answeredAt) > watchWait+peerPatience
}

func (d *Controller) readPeer(ctx context.Context, peerURL string) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, peerURL+wire.ItemsPath, nil)
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
	var known Items
	if err := json.NewDecoder(io.LimitReader(response.Body, maxItemsBytes)).Decode(&known); err != nil {
		return fmt.Errorf("decode items of peer: %w", err)
	}
	d.takePeer(known, peerURL)
	return nil
}

// takePeer takes what a peer knows if that is newer.
func (d *Controller) takePeer(known Items, peerURL string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known.Revision <= d.revision || known.Revision <= d.board.StoreRevision() {
		return
	}
	d.log.WithFields(map[string]any{"peer": peerURL, "store-revision": known.Revision, "was": d.revision}).Info("State of the store taken from a peer.")
	d.setRevision(known.Revision)
	d.takeAll(known.Items)
}
