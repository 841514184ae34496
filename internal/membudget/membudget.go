// Package membudget bounds the memory that the messages of clients and nodes take together.
package membudget

import (
	"errors"
	"sync/atomic"
)

// ErrExhausted is the error of a message for which no memory is left.
var ErrExhausted = errors.New("no memory is left for this message")

// partialShare is the share of a budget up to which messages that have not arrived completely may take memory. Whoever
// begins messages and does not end them leaves the rest to those who do.
const partialShare = 0.5

// Budget is the memory for messages. Its methods may be called from any goroutine. A nil Budget has no limit.
type Budget struct {
	limit, partialLimit int64
	used                atomic.Int64
}

// New returns a budget of so many bytes.
func New(bytes int64) *Budget {
	return &Budget{limit: bytes, partialLimit: int64(partialShare * float64(bytes))}
}

// Reserve takes memory for a message that has arrived completely, and reports whether it was left.
func (b *Budget) Reserve(bytes int64) bool {
	return b == nil || b.reserveWithin(bytes, b.limit)
}

// ReservePartial takes memory for a message of which only a part has arrived, and reports whether it was left.
func (b *Budget) ReservePartial(bytes int64) bool {
	return b == nil || b.reserveWithin(bytes, b.partialLimit)
}

// reserveWithin takes memory if no more than limit is in use then.
func (b *Budget) reserveWithin(bytes, limit int64) bool {
	if b.used.Add(bytes) <= limit {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Release gives memory back.
func (b *Budget) Release(bytes int64) {
	if b != nil {
		b.used.Add(-bytes)
	}
}

// Used returns the memory in use, in bytes.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	return b.used.Load()
}

// Reservation is the memory that one message takes. It is used by one goroutine at a time.
type Reservation struct {
	Budget *Budget
	held   int64
}

// Grow takes more memory for a message that has arrived completely, up to bytes in total.
func (r *Reservation) Grow(bytes int64) error { return r.grow(bytes, r.Budget.Reserve) }

// GrowPartial takes more memory for a message of which only a part has arrived, up to bytes in total.
func (r *Reservation) GrowPartial(bytes int64) error { return r.grow(bytes, r.Budget.ReservePartial) }

func (r *Reservation) grow(bytes int64, reserve func(int64) bool) error {
	if bytes <= r.held {
		return nil
	}
	if !reserve(bytes - r.held) {
		return ErrExhausted
	}
	r.held = bytes
	return nil
}

// Release gives all of the memory back. It may be called again.
func (r *Reservation) Release() {
	r.Budget.Release(r.held)
	r.held = 0
}
