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
	Clock  loop.Clock
	Module func(h balance.Host, set balance.Settings, seed uint64) divide.Module
	Front  func(*front.Server)
	Ways   *Ways
	// Unguarded leaves out the check that further attempts and refusals keep the rule against double effects.
	Unguarded bool
	// Listen and Connect open sockets; nil: the machine's own.
	Listen  func(network, address string) (net.Listener, error)
	Connect func(ctx context.Context, network, address string) (net.Conn, error)
	// WriteFile writes a file and has it on disk; nil: the machine's own.
	WriteFile func(path string, b []byte) error
	// Wall is the machine's wall clock, which may be stepped; nil: the machine's own. It only tells how old a node is.
	Wall func() time.Time
}

// Ways are those of another protocol, in place of the project's own lines to roster, conveyor and peers. A nil
// Peers is none; Known is the list that the marshal held last.
type Ways struct {
	Terms           front.Terms
	Settings        balance.Settings  // the module's
	Strict          bool              // back.Pool's
	Reports         map[string]string // its names
	NodeConnections int               // its bound on all
	Settle          time.Duration     // its rest between two requests on a connection
	Known           []control.NodeEntry
	FirstList       time.Duration // how long the marshal waits for the roster's first list before it takes invocations
	Roster          func(listed func(whole bool, lines []control.NodeEntry), failed func()) Roster
	Conveyor        func(staged func(ver, stage int, phase balance.Phase, cap, age float64, reply bool),
		failed func(balance.Ending)) Conveyor
	Peers func(told func(from int, text string)) (Peers, error)
}

// Roster brings the list of nodes.
type Roster interface {
	Run(context.Context)
	Fetch()
	Watch(on bool)
}

// Conveyor brings the news of builds and takes votes.
type Conveyor interface {
	Run(context.Context)
	Vote(ver, stage int, verdict balance.Verdict)
}

// Peers are the other marshals.
type Peers interface {
	Run()
	SendToPeer(to int, text string)
	Close() error
}
