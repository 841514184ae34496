// Package seats decides how a marshal's descriptors are divided, and which client's connection gives way to a new one
// when its part is full. It is free of I/O; times are ms.
package seats

const (
	kept      = 32     // descriptors for all that is neither a client's nor a node's connection
	clients   = 0.5    // of the rest, for clients' connections: they hold a third at most, strangers the others
	idleLeast = 2000.0 // ms that a connection which has served is left alone after its last answer
)

// Divide divides descriptors between connections of clients and to nodes.
func Divide(descriptors int) (toClients, toNodes int) {
	rest := max(descriptors-kept, 4)
	toClients = int(float64(rest) * clients)
	return toClients, rest - toClients
}

// Seat is one client's connection.
type Seat struct {
	Since  float64 // ms since its last answer, or since it was opened if it never had one
	Served bool    // it had an answer
	Busy   bool    // an invocation is open on it
}

// Yield says which connection gives way to a new one, or -1. One that never asked for anything goes first, the oldest
// of them: it guards against clients that connect by hundreds and say nothing. It may hurt a client that opens a
// connection long before it asks. Then goes the one unused for longest.
func Yield(all []Seat) int {
	oldest := func(served bool, least float64) int {
		at := -1
		for i, s := range all {
			if !s.Busy && s.Served == served && s.Since >= least && (at < 0 || s.Since > all[at].Since) {
				at = i
			}
		}
		return at
	}
	if i := oldest(false, 0); i >= 0 {
		return i
	}
	return oldest(true, idleLeast)
}
