// Package connlimit decides how a marshal's descriptors are divided, and which client's connection gives way to a new one
// when its part is full. It is free of I/O; times are ms.
package connlimit

const (
	kept      = 64     // descriptors for all that is neither a client's nor a node's connection
	clients   = 0.5    // of the rest, for clients' connections: they hold a third at most, strangers the others
	idleLeast = 2000.0 // ms that a connection which has served is left alone after its last answer
	mayAsk    = 300.0  // ms in which a client that has connected is taken to be about to ask
)

// MinDescriptors is the fewest descriptors with which a marshal can serve: what is kept, and some for each side.
const MinDescriptors = kept + 16

// Divide divides descriptors between connections of clients and to nodes.
func Divide(descriptors int) (toClients, toNodes int) {
	rest := max(descriptors-kept, 4)
	toClients = int(float64(rest) * clients)
	return toClients, rest - toClients
}

// Conn is one client's connection.
type Conn struct {
	IdleMs  float64 // ms since its last answer, or since it was opened if it never had one
	Served bool    // it had an answer
	Busy   bool    // an invocation is open on it, or something came that is not read yet
}

// SelectVictim says which connection gives way to a new one, or -1. One that never asked for anything goes first, the oldest
// of them: it guards against clients that connect by hundreds and say nothing. It may hurt a client that opens a
// connection long before it asks; one that has just come is left alone, or of many that come at once each would put
// out the one before, with a request on its way. Then goes the one unused for longest.
func SelectVictim(all []Conn) int {
	oldest := func(served bool, least float64) int {
		at := -1
		for i, s := range all {
			if !s.Busy && s.Served == served && s.IdleMs >= least && (at < 0 || s.IdleMs > all[at].IdleMs) {
				at = i
			}
		}
		return at
	}
	if i := oldest(false, mayAsk); i >= 0 {
		return i
	}
	return oldest(true, idleLeast)
}
