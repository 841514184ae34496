package divide

import "github.com/cespare/xxhash/v2"

const (
	minSpillQueue = 32 // invocations that wait at home before another instance may accept a new one
	spillRatio    = 4  // home's queue must hold at least this many times the other's, which counts as one longer
)

const (
	maxRecentPanics = 3       // an instance that panicked more often is not restarted
	panicWindowMs   = 10000.0 // over which they are counted
)

// MayRestart reports whether an instance that panicked at these times (ms) is restarted. One that panics repeatedly
// would only terminate more invocations.
func MayRestart(panicsMs []float64) bool {
	recent := 0
	for _, t := range panicsMs {
		if t > panicsMs[len(panicsMs)-1]-panicWindowMs {
			recent++
		}
	}
	return recent <= maxRecentPanics
}

// AssignConnection returns the instance for a new connection: the one with the fewest open connections.
func AssignConnection(open func(instance int) int, instances int) (assigned int) {
	for i := 1; i < instances; i++ {
		if open(i) < open(assigned) {
			assigned = i
		}
	}
	return assigned
}

// AssignByName returns the instance for every invocation of a name.
func AssignByName(name string, instances int) int {
	return int(xxhash.Sum64String(name) % uint64(instances))
}

// AssignInvocation returns the instance for an invocation. A name is given for a forward-only key or an idempotency key:
// all invocations of one name go to the same instance. Any other invocation goes to home, the instance of its
// connection, unless home's queue is so much longer than another's that waiting costs more than the other instance's
// lack of knowledge.
func AssignInvocation(name string, home int, waiting func(instance int) int, instances int) int {
	if name != "" {
		return AssignByName(name, instances)
	}
	atHome := waiting(home)
	if atHome < minSpillQueue {
		return home
	}
	best, shortest := home, atHome
	for i := range instances {
		if w := waiting(i); w < shortest {
			best, shortest = i, w
		}
	}
	if atHome >= spillRatio*(shortest+1) {
		return best
	}
	return home
}

// Reassign returns the instance to which an invocation is moved that has waited too long at current: the one with the
// shortest queue among those that are not stalled. Without ok there is none better than current.
func Reassign(current int, waiting func(instance int) int, stalled func(instance int) bool, instances int) (to int, ok bool) {
	to = current
	for i := range instances {
		if i != current && !stalled(i) && (to == current || waiting(i) < waiting(to)) {
			to = i
		}
	}
	return to, to != current && (stalled(current) || waiting(to) < waiting(current))
}
