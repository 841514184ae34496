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
)

// Hooks are what tests and planted faults put in place of the ordinary parts; all may be nil.
type Hooks struct {
	Clock          loop.Clock
	NewModule      func(h balance.Host, set balance.Settings, seed uint64) divide.Module
	ConfigureFront func(*front.Server)
	Transport      *Transport
	// SkipRepeatRules leaves out the check that further attempts and refusals keep the rule against double effects.
	SkipRepeatRules bool
	// Listen and Connect open sockets; nil: the machine's own.
	Listen  func(network, address string) (net.Listener, error)
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// WriteFile writes a file and has it on disk; nil: the machine's own.
	WriteFile func(path string, b []byte) error
	// WallClock is the machine's wall clock, which may be stepped; nil: the machine's own. It only tells how old a node is.
	WallClock func() time.Time
}

// Transport are those of another protocol, in place of the project's own lines to roster, conveyor and peers. A nil
// Peers is none; Known is the list that the marshal held last.
type Transport struct {
	ProtocolOptions    front.Terms
	ModuleSettings     balance.Settings  // the module's
	Strict             bool              // back.Pool's
	ReportNames        map[string]string // its names
	MaxNodeConnections int               // its bound on all
	ReuseDelay         time.Duration     // its rest between two requests on a connection
	KnownNodes         []control.Line
	FirstListTimeout   time.Duration // how long the marshal waits for the roster's first list before it takes invocations
	NewRegistry        func(listed func(whole bool, lines []control.Line), failed func()) Registry
	NewRolloutService  func(staged func(ver, stage int, phase balance.Phase, cap, age float64, reply bool),
		failed func(balance.Ending)) RolloutService
	NewPeers func(told func(from int, text string)) (Peers, error)
}

// Registry brings the list of nodes.
type Registry interface {
	Run(context.Context)
	Fetch()
	Watch(on bool)
}

// RolloutService brings the news of builds and takes votes.
type RolloutService interface {
	Run(context.Context)
	Vote(ver, stage int, verdict balance.Verdict)
}

// Peers are the other marshals.
type Peers interface {
	Run()
	Tell(to int, text string)
	Close() error
}
