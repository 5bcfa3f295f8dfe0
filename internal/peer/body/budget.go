package body

import (
	"errors"
	"fmt"
	"io"
	"sync/atomic"
)

// SmallBytes is the size up to which a body does not count, so that large bodies never keep small ones out.
const SmallBytes = 16 << 10

// MaxHeaderBytes bounds the header of a response, which is kept in memory until it is complete.
const MaxHeaderBytes = 64 << 10

// defaultMemoryMB is the memory of a host, in MiB, that does not tell it.
const defaultMemoryMB = 4 << 10

// ErrNoMemory is returned if other bodies use the budget.
var ErrNoMemory = errors.New("no memory for the body")

// Budget bounds the memory that many bodies use at a time. It is safe for concurrent use.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// NewBudget creates a budget of a fraction of the memory of a host, which is given in MiB, 0 if not known.
func NewBudget(memoryMB int64, fraction float64) *Budget {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	return &Budget{limit: int64(float64(memoryMB<<20) * fraction)}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Reservation is the part of a budget that one body uses. Without a budget it is not bounded. It is not safe for
// concurrent use.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Reserve returns an empty reservation.
func (b *Budget) Reserve() Reservation { return Reservation{budget: b} }

// Grow extends the reservation to a capacity, or returns ErrNoMemory.
func (r *Reservation) Grow(capacity int) error {
	missing := int64(capacity) - r.bytes
	if r.budget == nil || capacity <= SmallBytes || missing <= 0 {
		return nil
	}
	if r.budget.used.Add(missing) > r.budget.limit {
		r.budget.used.Add(-missing)
		return ErrNoMemory
	}
	r.bytes += missing
	return nil
}

// Release returns the memory to the budget. It may be called more than once.
func (r *Reservation) Release() {
	if r.budget != nil {
		r.budget.used.Add(-r.bytes)
	}
	r.bytes = 0
}

// ReadAll reads a body of at most limit bytes; size is its length if that is known, else below 0. It reserves memory
// as the body grows. If it returns an error, which wraps ErrTooLarge or ErrNoMemory or is that of the body, nothing
// stays reserved.
func (r *Reservation) ReadAll(body io.Reader, size, limit int64) ([]byte, error) {
	content, err := r.readAll(body, size, limit)
	if err != nil {
		r.Release()
	}
	return content, err
}

func (r *Reservation) readAll(body io.Reader, size, limit int64) ([]byte, error) {
	if size > limit {
		return nil, ErrTooLarge
	}
	if size < 0 {
		size = SmallBytes
	}
	if err := r.Grow(int(size)); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size+1) // One more byte, so that the end is seen without growing.
	for {
		if len(buffer) == cap(buffer) {
			next := min(2*int64(cap(buffer)), limit+1)
			if err := r.Grow(int(next)); err != nil {
				return nil, err
			}
			buffer = append(make([]byte, 0, next), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > limit {
			return nil, ErrTooLarge
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}
