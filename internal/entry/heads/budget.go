// Package heads bounds the memory and the connections that untrusted callers can use before and while a request runs. It
// reads the head of each request whole before net/http parses it, because the parsed form of a head, which consists
// of maps, slices and copies for the target, is many times larger than the bytes received.
package heads

import (
	"errors"
	"sync"
)

const (
	// memoryFraction is the fraction of the memory of the host that heads may use.
	memoryFraction = 1.0 / 8
	// smallFraction is the fraction of the budget that large heads may not use.
	smallFraction = 1.0 / 4
	// smallBytes is the estimated size up to which a head is small. An ordinary head of 1 KiB with 15 lines has 10 KiB.
	smallBytes = 64 << 10
	// defaultMemoryMB is the memory, in MiB, of a host whose settings do not state it.
	defaultMemoryMB = 4 << 10
)

// errNoMemory is returned if other heads use the budget.
var errNoMemory = errors.New("no memory for the head")

// budget bounds the memory that the heads of all connections use at a time. It is safe for concurrent use.
type budget struct {
	limit int64
	// largeLimit is the part of the limit that large heads may use.
	largeLimit int64

	mu    sync.Mutex
	used  int64
	large int64
}

// memoryBytes returns the memory of a host that is given in MiB, 0 if not known.
func memoryBytes(memoryMB int64) int64 {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return memoryMB << 20
}

func newBudget(memoryMB int64) *budget {
	limit := int64(float64(memoryBytes(memoryMB)) * memoryFraction)
	return &budget{limit: limit, largeLimit: limit - int64(float64(limit)*smallFraction)}
}

// replace changes a reservation from one size to another, or returns errNoMemory and leaves it. A smaller size is
// always granted.
func (b *budget) replace(before, after int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	used, large := b.used+after-before, b.large+largePart(after)-largePart(before)
	if after > before && (used > b.limit || largePart(after) > 0 && large > b.largeLimit) {
		return errNoMemory
	}
	b.used, b.large = used, large
	return nil
}

// usedBytes returns the number of bytes in use.
func (b *budget) usedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// largePart returns the part of a reservation that counts as a large head.
func largePart(size int64) int64 {
	if size <= smallBytes {
		return 0
	}
	return size
}

// reservation is the part of a budget that one head uses. It is safe for concurrent use.
type reservation struct {
	budget *budget

	mu   sync.Mutex
	size int64
}

// add changes the size of the reservation by a number of bytes, or returns errNoMemory.
func (r *reservation) add(size int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(r.size + size)
}

// set changes the size of the reservation, or returns errNoMemory.
func (r *reservation) set(size int64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(size)
}

func (r *reservation) replace(size int64) error {
	if err := r.budget.replace(r.size, size); err != nil {
		return err
	}
	r.size = size
	return nil
}

// release returns the whole reservation to the budget.
func (r *reservation) release() { _ = r.set(0) } // A smaller size is always granted.
