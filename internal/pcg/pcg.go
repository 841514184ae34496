// Package pcg is a permuted congruential generator (PCG-RXS-M-XS 64/64, O'Neill 2014).
package pcg

// Source yields the same numbers for the same seed. It implements rand.Source of math/rand/v2.
type Source struct{ state uint64 }

// The multiplier and increment of the underlying linear congruential generator, and the multiplier of its output
// function.
const (
	stateMultiplier  = 6364136223846793005
	stateIncrement   = 1442695040888963407
	outputMultiplier = 12605985483714917081
)

// New returns a generator with a seed.
func New(seed uint64) *Source { return &Source{state: seed*stateMultiplier + stateIncrement} }

// Uint64 returns the next number.
func (s *Source) Uint64() uint64 {
	s.state = s.state*stateMultiplier + stateIncrement
	word := ((s.state >> ((s.state >> 59) + 5)) ^ s.state) * outputMultiplier
	return (word >> 43) ^ word
}
