// Package connlimit divides the descriptors of a marshal between clients and nodes, and its memory between connections and
// messages, and selects the client connection to close when the share of the clients is used up. It does no I/O.
package connlimit

const (
	reserved       = 64     // descriptors for anything but connections of clients and to nodes
	clientShare    = 0.5    // of the rest, for client connections; known clients hold a third at most, unknown ones the others
	minIdleMs      = 2000.0 // a connection that has served is not closed before this time since its last answer
	firstRequestMs = 300.0  // a new connection is expected to send its first request within this time
)

// MinDescriptors is the smallest number of descriptors with which a marshal can serve: the reserved ones, and some for
// each side.
const MinDescriptors = reserved + 16

// Divide divides descriptors between connections of clients and connections to nodes.
func Divide(descriptors int) (toClients, toNodes int) {
	rest := max(descriptors-reserved, 4)
	toClients = int(float64(rest) * clientShare)
	return toClients, rest - toClients
}

// What takes memory beside messages, in bytes.
const (
	processMemory    = 4 << 20  // the runtime, the state of the module, the streams of the platform
	clientConnMemory = 20 << 10 // two goroutines, the read buffer and the buffers that are kept for the next request
	nodeConnMemory   = 12 << 10 // the read buffer and the buffer that is kept for the next request
)

const (
	// liveMemoryShare is the share of the memory limit that may be in use; the collector needs the rest for what is not
	// collected yet, and the kernel counts more than the collector does.
	liveMemoryShare = 0.45
	// requestIDShare is the share of the memory limit for the ids of requests that are over.
	requestIDShare = 1.0 / 32
	// minMessageShare is the share of the memory limit that messages get however many connections there are.
	minMessageShare = 1.0 / 16
)

// MessageMemory returns the memory in bytes that the messages of clients and nodes may take together, under a memory limit
// in MiB and with so many connections of both kinds.
func MessageMemory(limitMB float64, toClients, toNodes int) int64 {
	limit := limitMB * (1 << 20)
	connections := float64(toClients*clientConnMemory + toNodes*nodeConnMemory)
	left := limit*(liveMemoryShare-requestIDShare) - processMemory - connections
	return int64(max(left, limit*minMessageShare))
}

// RequestIDMemory returns the memory in bytes for the ids of requests that are over, under a memory limit in MiB.
func RequestIDMemory(limitMB float64) int { return int(limitMB * (1 << 20) * requestIDShare) }

// Conn is the state of one client connection.
type Conn struct {
	IdleMs float64 // since its last answer, or since it was opened if there was none
	Served bool    // it has had an answer
	Busy   bool    // an invocation is open on it, or it has received bytes that are not read yet
}

// SelectVictim returns the index of the connection to close in favor of a new one, or -1. Connections that never had an
// answer go first, the oldest of them: this protects against clients that open hundreds of connections and send
// nothing. It may hurt a client that opens a connection long before its first request. A connection that was just
// opened is spared: if many arrived at once, each would otherwise close the one before it, whose request is already on
// its way. Then goes the connection that has been idle for longest.
func SelectVictim(all []Conn) int {
	oldest := func(served bool, minMs float64) int {
		at := -1
		for i, c := range all {
			if !c.Busy && c.Served == served && c.IdleMs >= minMs && (at < 0 || c.IdleMs > all[at].IdleMs) {
				at = i
			}
		}
		return at
	}
	if i := oldest(false, firstRequestMs); i >= 0 {
		return i
	}
	return oldest(true, minIdleMs)
}
