package divide

import "github.com/cespare/xxhash/v2"

const (
	spillOver = 32 // arrivals that wait at an instance beyond which another may take one
	spillBy   = 4  // times what waits there at most
)

const (
	mostBegins  = 3       // times that an instance begins anew
	beginsCount = 10000.0 // ms over which they count
)

// MayRestart says whether an instance that panicked at these times begins anew: what panics time and again would only
// terminate more.
func MayRestart(at []float64) bool {
	recent := 0
	for _, t := range at {
		if t > at[len(at)-1]-beginsCount {
			recent++
		}
	}
	return recent <= mostBegins
}

// AssignConnection is the instance that a new connection belongs to: the one with the fewest.
func AssignConnection(open func(instance int) int, instances int) (seat int) {
	for i := 1; i < instances; i++ {
		if open(i) < open(seat) {
			seat = i
		}
	}
	return seat
}

// AssignByName is the instance where all of a name go.
func AssignByName(name string, instances int) int {
	return int(xxhash.Sum64String(name) % uint64(instances))
}

// AssignInvocation is the instance that takes an invocation. What has a key that only goes forward, or a mark against repeats, goes
// where the like of it went before: name is that, or empty. All else goes to the instance of its connection, unless so
// much more waits there than at another that waiting would be worse than what the other does not know.
func AssignInvocation(name string, home int, waiting func(instance int) int, instances int) int {
	if name != "" {
		return AssignByName(name, instances)
	}
	here := waiting(home)
	if here < spillOver {
		return home
	}
	best, least := home, here
	for i := range instances {
		if w := waiting(i); w < least {
			best, least = i, w
		}
	}
	if here >= spillBy*(least+1) {
		return best
	}
	return home
}

// Reassign is the instance to which an invocation goes that one has let wait too long: the one where the least waits,
// or none where the one it is at is as good.
func Reassign(at int, waiting func(instance int) int, stands func(instance int) bool, instances int) (to int, ok bool) {
	to = at
	for i := range instances {
		if i != at && !stands(i) && (to == at || waiting(i) < waiting(to)) {
			to = i
		}
	}
	return to, to != at && (stands(at) || waiting(to) < waiting(at))
}
