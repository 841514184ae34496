// Package pcg is a permuted congruential generator (PCG-RXS-M-XS 64/64, O'Neill 2014).
package pcg

// Source yields the same numbers for the same seed; it serves as a source of math/rand/v2.
type Source struct{ state uint64 }

// New starts a generator from a seed.
func New(seed uint64) *Source { return &Source{state: seed*6364136223846793005 + 1442695040888963407} }

// Uint64 is the next number.
func (s *Source) Uint64() uint64 {
	s.state = s.state*6364136223846793005 + 1442695040888963407
	word := ((s.state >> ((s.state >> 59) + 5)) ^ s.state) * 12605985483714917081
	return (word >> 43) ^ word
}
