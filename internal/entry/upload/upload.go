// Package upload reads the bodies of requests within a memory budget of the process. Without one, a burst of large bodies could
// use all memory of the host, and all requests that it has accepted would be lost.
package upload

import (
	"fmt"
	"net/http"

	"redwinglock/internal/peer/body"
)

// memoryFraction is the fraction of the memory of the host that bodies of requests may use.
const memoryFraction = 1.0 / 4

var (
	// ErrTooLarge is returned if a body is larger than its limit.
	ErrTooLarge = body.ErrTooLarge
	// ErrNoMemory is returned if the bodies of other requests use the budget.
	ErrNoMemory = body.ErrNoMemory
)

// Budget bounds the memory that the bodies of all requests use at a time. It is safe for concurrent use.
type Budget struct{ memory *body.Budget }

// NewBudget creates the budget of a host with the given memory in MiB, 0 if not known.
func NewBudget(memoryMB int64) *Budget {
	return &Budget{body.NewBudget(memoryMB, memoryFraction)}
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 { return b.memory.Used() }

// Body is the body of one request. Its memory counts until Release.
type Body struct {
	Bytes       []byte
	reservation body.Reservation
}

// Release returns the memory to the budget. It may be called more than once.
func (b *Body) Release() { b.reservation.Release() }

// Read reads the body of a request of at most limit bytes. If it returns an error, which wraps ErrTooLarge or ErrNoMemory or
// is that of the connection, nothing is reserved.
func (b *Budget) Read(r *http.Request, limit int64) (*Body, error) {
	read := &Body{reservation: b.memory.Reserve()}
	content, err := read.reservation.ReadAll(r.Body, r.ContentLength, limit)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	read.Bytes = content
	return read, nil
}
