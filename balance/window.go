package balance

// Sums over sliding time windows, and what is counted in them: accepted invocations and dispatches to builds on trial.

// slidingSum is a sum over a sliding time window.
type slidingSum struct {
	times  []float64
	values []float64
	sum    float64 // of the values from head on
	head   int
}

// add adds a value at the time now.
func (s *slidingSum) add(now, value float64) {
	s.times, s.values = append(s.times, now), append(s.values, value)
	s.sum += value
}

// sumSince drops the values before from and returns the sum of the rest.
func (s *slidingSum) sumSince(from float64) float64 {
	for s.head < len(s.times) && s.times[s.head] < from {
		s.sum -= s.values[s.head]
		s.head++
	}
	if s.head == len(s.times) {
		s.times, s.values, s.head, s.sum = s.times[:0], s.values[:0], 0, 0
	} else if s.head > 256 && s.head*2 > len(s.times) {
		s.times = append(s.times[:0], s.times[s.head:]...)
		s.values = append(s.values[:0], s.values[s.head:]...)
		s.head = 0
	}
	return s.sum
}

// exposureKey names a build and one of its operations, or all of them with -1.
type exposureKey struct{ ver, op int }

// acceptedSum counts the recent invocations of an operation, or all with -1.
func (b *Balancer) acceptedSum(op int) *slidingSum {
	if b.accepted[op] == nil {
		b.accepted[op] = &slidingSum{}
	}
	return b.accepted[op]
}

// countEvent adds one to a sum over the exposure window.
func (b *Balancer) countEvent(s *slidingSum, now float64) {
	s.sumSince(now - b.cfg.exposureWindowMs)
	s.add(now, 1)
}

// exposureSum counts the recent dispatches to a build and operation, or to the build with -1.
func (b *Balancer) exposureSum(ver, op int) *slidingSum {
	e := exposureKey{ver, op}
	if b.exposures[e] == nil {
		b.exposures[e] = &slidingSum{}
	}
	return b.exposures[e]
}
