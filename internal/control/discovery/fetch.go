package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"redwinglock/internal/peer/body"
	"redwinglock/internal/peer/patch"
	"redwinglock/internal/peer/wire"
	"redwinglock/internal/platform/store"
)

const (
	// keyParameter, baseParameter name the wanted value, and the value that the requesting host has, in a request for a
	// large value. sinceParameter and eraParameter are the least position of the wanted one.
	keyParameter  = "key"
	baseParameter = "base"
	// The headers of a large value describe it as sentValue does.
	valueEraHeader      = "Redwinglock-Value-Era"
	valueRevisionHeader = "Redwinglock-Value-Revision"
	valueDigestHeader   = "Redwinglock-Value-Digest"
	valueBaseHeader     = "Redwinglock-Value-Base"
	// busyDelay and failedDelay are the times after which a host is asked again that is busy, or has failed.
	busyDelay   = 100 * time.Millisecond
	failedDelay = 500 * time.Millisecond
)

// Errors of reads of large values.
var (
	errPeerBusy    = errors.New("peer sends too many values")
	errUnknownBase = errors.New("patch for a value that this host does not have")
	errOlderValue  = errors.New("value is older than the wanted one")
)

// fetchValues reads the large values that this host lacks until ctx is canceled.
func (d *Controller) fetchValues(ctx context.Context) {
	for ctx.Err() == nil {
		switch order := d.nextFetch(time.Now()).(type) {
		case readFromPeer:
			d.fetchFromPeer(ctx, order)
		case readFromStore:
			d.fetchFromStore(ctx, order.key)
		case waitUntil:
			d.waitForFetch(ctx, order.at)
		}
	}
}

func (d *Controller) nextFetch(now time.Time) fetchOrder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fetches.next(now, rand.IntN)
}

func (d *Controller) waitForFetch(ctx context.Context, until time.Time) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		timeout = time.After(time.Until(until))
	}
	select {
	case <-ctx.Done():
	case <-d.fetchesChanged:
	case <-timeout:
	}
}

// notifyFetches wakes fetchValues after a change of the plan.
func (d *Controller) notifyFetches() {
	select {
	case d.fetchesChanged <- struct{}{}:
	default: // It has a pending wake-up.
	}
}

// want records that this host lacks a large value. The caller must hold d.mu.
func (d *Controller) want(value Value) {
	d.fetches.want(time.Now(), value, rand.N(storeSpread))
	d.notifyFetches()
}

func (d *Controller) fetchFromPeer(ctx context.Context, order readFromPeer) {
	startedAt := time.Now()
	item, size, err := d.readValue(ctx, order)
	elapsed := time.Since(startedAt)
	d.common.Metrics.Counter("value_read_bytes").Inc(size)
	d.common.Metrics.Timer("value_read_time").Record(elapsed)
	fields := logrus.Fields{"key": order.value.Key, "peer": order.url, "bytes": size, "read-ms": elapsed.Milliseconds(), "store-position": order.value.position().String()}
	if err != nil {
		if ctx.Err() != nil {
			return
		}
		d.common.CountRetry("value-read")
		d.log.WithError(err).WithFields(fields).Info("Value not read from peer.")
		d.recordFailedFetch(order, err)
		return
	}
	d.log.WithFields(fields).WithField("value-bytes", len(item.Data)).Info("Value read from peer.")
	d.applyFetched(item)
}

func (d *Controller) recordFailedFetch(order readFromPeer, err error) {
	delay := failedDelay
	if errors.Is(err, errPeerBusy) {
		delay = busyDelay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetches.failed(time.Now(), order.value.Key, order.url, delay)
}

// applyFetched applies a value that was read apart from the other changes.
func (d *Controller) applyFetched(item store.Item) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.applyChanges([]store.Item{item})
	if !d.published {
		d.publish() // The first publication may have waited for this value.
	}
}

// fetchFromStore reads a value from the store, after peers have not sent it.
func (d *Controller) fetchFromStore(ctx context.Context, key string) {
	items, listed, err := d.tree.List(ctx, key)
	if err != nil {
		d.common.CountRetry("value-read-store")
		d.log.WithError(err).WithField("key", key).Info("Value not read from the store.")
		d.mu.Lock()
		defer d.mu.Unlock()
		d.fetches.storeFailed(time.Now(), key)
		return
	}
	d.log.WithFields(logrus.Fields{"key": key, "store-position": listed.String()}).Info("Value read from the store.")
	for _, i := range items {
		if i.Key == key {
			d.applyFetched(i)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fetches.received(time.Now(), key, listed) // Also if the key was deleted.
}

// readValue reads a large value from a peer and returns it with the number of bytes that were sent for it.
func (d *Controller) readValue(ctx context.Context, order readFromPeer) (store.Item, int64, error) {
	ctx, transfer := body.NewTransfer(ctx, peerTimeout, peerTimeout)
	defer transfer.Close()
	response, err := d.requestValue(ctx, order)
	if err != nil {
		return store.Item{}, 0, fmt.Errorf("read value: %w", transfer.Err(err))
	}
	defer response.Body.Close()
	switch response.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return store.Item{}, 0, fmt.Errorf("read value: %w", errPeerBusy)
	default:
		return store.Item{}, 0, fmt.Errorf("read value: status %d", response.StatusCode)
	}
	content, err := io.ReadAll(transfer.Reader(response.Body, maxValueBytes))
	if err != nil {
		return store.Item{}, transfer.Size(), fmt.Errorf("read value: %w", err)
	}
	item, err := d.decodeValue(order.value.Key, response.Header, content)
	if err == nil && item.Position < order.value.position() {
		err = errOlderValue
	}
	return item, transfer.Size(), err
}

func (d *Controller) requestValue(ctx context.Context, order readFromPeer) (*http.Response, error) {
	query := url.Values{
		keyParameter:   {order.value.Key},
		sinceParameter: {strconv.FormatInt(order.value.Revision, 10)},
		eraParameter:   {strconv.FormatInt(int64(order.value.Era), 10)},
		baseParameter:  {string(d.values.digest(order.value.Key))},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, order.url+wire.ValuePath+"?"+query.Encode(), nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	request.Header.Set(wire.KeyHeader, d.common.Settings.Peers.Key)
	response, err := d.peers.Do(request)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	return response, nil
}

// decodeValue returns the item of a response.
func (d *Controller) decodeValue(key string, header http.Header, content []byte) (store.Item, error) {
	revision, err := strconv.ParseInt(header.Get(valueRevisionHeader), 10, 64)
	if err != nil {
		return store.Item{}, fmt.Errorf("revision of value: %w", err)
	}
	era, err := strconv.ParseInt(header.Get(valueEraHeader), 10, 32)
	if err != nil {
		return store.Item{}, fmt.Errorf("era of value: %w", err)
	}
	var base []byte
	if digest := patch.Digest(header.Get(valueBaseHeader)); digest != "" {
		if base = d.values.value(key, digest); base == nil {
			return store.Item{}, errUnknownBase
		}
	}
	data, err := patch.Decode(base, content, patch.Digest(header.Get(valueDigestHeader)), maxValueBytes)
	if err != nil {
		return store.Item{}, fmt.Errorf("value of %s: %w", key, err)
	}
	return store.Item{Key: key, Data: data, Position: store.NewPosition(store.Era(era), revision)}, nil
}
