package serve

import (
	"context"
	"net"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/control"
	"arrowcleat/internal/front"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/membudget"
	"arrowcleat/internal/requestids"
)

// Hooks replace parts of a marshal, for tests, fault injection and other protocols. The zero value changes nothing.
type Hooks struct {
	// Clock is the clock of the loops; nil: the monotonic clock of the machine.
	Clock loop.Clock
	// NewModule creates a decision module; nil: that of package balance.
	NewModule func(h balance.Host, set balance.Settings, seed uint64) divide.Module
	// ConfigureFront changes the client side before it starts.
	ConfigureFront func(*front.Server)
	// Transport replaces the line protocols of the project; nil: they are used.
	Transport *Transport
	// SkipRepeatRules disables the check that repeated dispatches and rejections respect the rule against double effects.
	SkipRepeatRules bool
	// Listen and Connect open sockets; nil: those of the operating system.
	Listen  func(network, address string) (net.Listener, error)
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// WriteFile writes a file and syncs it to disk; nil: that of the operating system.
	WriteFile func(path string, b []byte) error
	// WallClock is a wall clock, which may be stepped; nil: that of the machine. It is only used for the age of nodes.
	WallClock func() time.Time
}

// Transport connects a marshal to its surroundings by another protocol, in place of the project's own line protocols
// for the service registry, the rollout service and peers.
type Transport struct {
	ProtocolOptions    front.ProtocolOptions
	ModuleSettings     balance.Settings     // of the decision module
	Strict             bool                 // a response other than 200 is a failure
	ReportNames        map[string]string    // names of the figures that nodes report, as the module knows them
	MaxNodeConnections int                  // connections to all nodes together above which idle ones are closed; 0: no bound
	MessageMemory      *membudget.Budget    // for what clients and nodes send; nil: no limit
	RequestIDs         *requestids.Registry // ids that must not come again; nil: there are none
	ReuseDelay         time.Duration        // how long a connection to a node stays unused after a response
	KnownNodes         []control.NodeEntry  // the node list that the marshal held last
	FirstListTimeout   time.Duration        // how long the marshal waits for the first node list before it accepts invocations
	NewRegistry        func(onNodes func(complete bool, lines []control.NodeEntry), onFailure func()) Registry
	NewRolloutService  func(onStageUpdate func(ver, stage int, phase balance.Phase, cap, ageMs float64, isVoteReply bool),
		onVoteFailure func(balance.Outcome)) RolloutService
	// NewPeers may be nil: the marshal then has no peers.
	NewPeers func(receive func(from int, text string)) (Peers, error)
}

// Registry is the client of the service registry, which supplies the node list. A client that always follows the list
// may ignore Fetch and Watch.
type Registry interface {
	Run(context.Context) // until the context ends
	Fetch()              // request the complete node list once
	Watch(on bool)       // start or stop updates of the node list
}

// RolloutService is the client of the rollout service, which publishes stage updates and accepts votes.
type RolloutService interface {
	Run(context.Context) // until the context ends
	Vote(ver, stage int, verdict balance.Verdict)
}

// Peers exchanges messages with the other marshals.
type Peers interface {
	Run()                           // receives messages until Close
	SendToPeer(to int, text string) // to one marshal, or to all with balance.AllPeers
	Close() error
}
