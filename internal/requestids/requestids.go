// Package requestids remembers the ids of requests, so that a marshal accepts each id once. It takes a fixed amount of
// memory: the ids that were used last are kept, as hashes.
package requestids

import (
	"errors"
	"hash/maphash"
	"sync"
)

var (
	// ErrOpen is the error of an id whose request is open.
	ErrOpen = errors.New("a request of this id is open")
	// ErrUsed is the error of an id whose request is over.
	ErrUsed = errors.New("a request of this id has been accepted before")
)

// Use says what became of the request that an id was claimed for.
type Use int

const (
	// Unused is the use of an id whose request was not accepted. The id may be claimed again.
	Unused Use = iota
	// Accepted is the use of an id whose request was accepted and not sent to any node.
	Accepted
	// Sent is the use of an id whose request was sent to a node, at least in part. Such an id is kept for longer than one
	// that was only accepted.
	Sent
)

// sentShare is the share of the memory for ids that were sent to a node: a flood of requests that are accepted and never
// sent must not displace them.
const sentShare = 0.75

// Registry remembers the ids that are in use or have been used. Its methods may be called from any goroutine. A nil
// Registry remembers nothing.
type Registry struct {
	seed maphash.Seed

	mu       sync.Mutex
	open     map[uint64]bool // claimed and not settled
	sent     history
	accepted history
}

// New returns a registry that takes about this many bytes for ids whose request is over.
func New(bytes int) *Registry {
	sentBytes := int(sentShare * float64(bytes))
	return &Registry{seed: maphash.MakeSeed(), open: map[uint64]bool{}, sent: newHistory(sentBytes),
		accepted: newHistory(bytes - sentBytes)}
}

// Claim takes an id for a request. It fails with ErrOpen or ErrUsed.
func (r *Registry) Claim(id string) error {
	if r == nil {
		return nil
	}
	hash := r.hash(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.open[hash]:
		return ErrOpen
	case r.sent.has(hash) || r.accepted.has(hash):
		return ErrUsed
	}
	r.open[hash] = true
	return nil
}

// Settle ends the claim of an id whose request is over.
func (r *Registry) Settle(id string, use Use) {
	if r == nil {
		return
	}
	hash := r.hash(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.open, hash)
	switch use {
	case Accepted:
		r.accepted.add(hash)
	case Sent:
		r.sent.add(hash)
	}
}

// hash returns the hash of an id, which is never 0. The seed is random, so that nobody can choose ids of equal hashes.
func (r *Registry) hash(id string) uint64 { return max(1, maphash.String(r.seed, id)) }
