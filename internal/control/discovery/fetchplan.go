package discovery

import (
	"slices"
	"time"

	"redwinglock/internal/platform/store"
)

const (
	// storeDelay is how long a large value is requested from peers before it is read from the store. A random part of
	// storeSpread is added, so that not all hosts read the store at once.
	storeDelay  = time.Second
	storeSpread = 500 * time.Millisecond
	// maxSources is the number of hosts that are remembered as having a value.
	maxSources = 16
)

// fetchPlan decides from where and when large values are read that this host lacks. It is pure: it gets the time and
// what has happened, and returns what to do.
type fetchPlan struct {
	wanted map[string]*wantedValue
}

// wantedValue is a value that this host lacks.
type wantedValue struct {
	value Value
	// sources holds, by base URL, when a host that has the value may be asked.
	sources map[string]time.Time
	// storeAt is when the value is read from the store.
	storeAt time.Time
}

func newFetchPlan() *fetchPlan { return &fetchPlan{wanted: map[string]*wantedValue{}} }

// fetchOrder is what to do next: readFromPeer, readFromStore or waitUntil.
type fetchOrder interface{ isFetchOrder() }

// readFromPeer reads a value from a peer.
type readFromPeer struct {
	value Value
	url   string
}

// readFromStore reads a value from the store.
type readFromStore struct{ key string }

// waitUntil waits for the next event, at most until a time unless that is zero.
type waitUntil struct{ at time.Time }

func (readFromPeer) isFetchOrder()  {}
func (readFromStore) isFetchOrder() {}
func (waitUntil) isFetchOrder()     {}

// want records that this host lacks a value which its source has. spread is the random part of the time after which
// the store is read. A later value replaces an earlier one of the same key, which does not delay that.
func (p *fetchPlan) want(now time.Time, value Value, spread time.Duration) {
	w := p.wanted[value.Key]
	if w == nil {
		w = &wantedValue{storeAt: now.Add(storeDelay + spread)}
		p.wanted[value.Key] = w
	}
	if value.position() > w.value.position() {
		w.value = value
		w.sources = map[string]time.Time{}
	}
	p.addSource(now, value.Key, value.Source)
}

// addSource records that a host has the wanted value of a key, or another one that this host lacks. It may be asked at
// once, also if it did not have the value before.
func (p *fetchPlan) addSource(now time.Time, key, url string) {
	w := p.wanted[key]
	if w == nil || url == "" {
		return
	}
	if _, known := w.sources[url]; known || len(w.sources) < maxSources {
		w.sources[url] = now
	}
}

// wants returns the position of the wanted value of a key, 0 if this host lacks none.
func (p *fetchPlan) wants(key string) store.Position {
	if w := p.wanted[key]; w != nil {
		return w.value.position()
	}
	return 0
}

// completeUntil returns the latest position, at most the given one, up to which this host has all values.
func (p *fetchPlan) completeUntil(position store.Position) store.Position {
	for _, w := range p.wanted {
		position = min(position, w.value.position()-1)
	}
	return position
}

// descriptions returns the wanted values, each with a host that has it.
func (p *fetchPlan) descriptions() []Value {
	var values []Value
	for _, w := range p.wanted {
		values = append(values, w.value)
	}
	return values
}

// failed records that a host has not sent a value. It may be asked again after the delay.
func (p *fetchPlan) failed(now time.Time, key, url string, delay time.Duration) {
	if w := p.wanted[key]; w != nil {
		w.sources[url] = now.Add(delay)
	}
}

// storeFailed records that the store has not sent a value.
func (p *fetchPlan) storeFailed(now time.Time, key string) {
	if w := p.wanted[key]; w != nil {
		w.storeAt = now.Add(storeDelay)
	}
}

// received records that this host has the value of a key at a position. If a later one is wanted by now, the time
// until the store is read begins anew, because values arrive.
func (p *fetchPlan) received(now time.Time, key string, position store.Position) {
	w := p.wanted[key]
	switch {
	case w == nil:
	case position >= w.value.position():
		delete(p.wanted, key)
	default:
		w.storeAt = now.Add(storeDelay)
	}
}

// next returns what to do. pick returns a random number below its argument.
func (p *fetchPlan) next(now time.Time, pick func(n int) int) fetchOrder {
	var wakeAt time.Time
	for key, w := range p.wanted {
		if !now.Before(w.storeAt) {
			return readFromStore{key}
		}
		if ready := w.readySources(now); len(ready) > 0 {
			return readFromPeer{w.value, ready[pick(len(ready))]}
		}
		if at := w.nextAt(); wakeAt.IsZero() || at.Before(wakeAt) {
			wakeAt = at
		}
	}
	return waitUntil{wakeAt}
}

// readySources returns the hosts that may be asked now, sorted.
func (w *wantedValue) readySources(now time.Time) []string {
	var ready []string
	for url, at := range w.sources {
		if !now.Before(at) {
			ready = append(ready, url)
		}
	}
	slices.Sort(ready)
	return ready
}

// nextAt returns when the next source, or the store, may be read.
func (w *wantedValue) nextAt() time.Time {
	at := w.storeAt
	for _, readyAt := range w.sources {
		if readyAt.Before(at) {
			at = readyAt
		}
	}
	return at
}
