package marshal

import (
	"fmt"
	"log/slog"

	"arrowcleat/balance"
)

// simulator drives a Core in virtual time, without sockets. It prints probes.
type simulator struct {
	now   float64
	core  *Core
	calls []func()  // of timers
	dueAt []float64 // of calls, by index
}

func (s *simulator) Now() float64 { return s.now }
func (s *simulator) After(ms float64, f func()) {
	s.calls, s.dueAt = append(s.calls, f), append(s.dueAt, s.now+ms)
}
func (s *simulator) Probe(node uint32, address string) { fmt.Println("probe", node, "at", address) }
func (s *simulator) FetchNodes()                       {}
func (s *simulator) WatchNodes(bool)                   {}
func (s *simulator) Vote(int, int, balance.Verdict)    {}
func (s *simulator) SendToPeer(peer int, text string)  {}

// runUntil runs the timers that are due by t, and advances the clock to t.
func (s *simulator) runUntil(t float64) {
	for i := 0; i < len(s.dueAt); i++ {
		if s.dueAt[i] <= t {
			f := s.calls[i]
			s.now = max(s.now, s.dueAt[i])
			s.calls, s.dueAt = append(s.calls[:i], s.calls[i+1:]...), append(s.dueAt[:i], s.dueAt[i+1:]...)
			f()
			i = -1
		}
	}
	s.now = t
}

// printingExchange is an exchange that prints its calls.
type printingExchange string

func (x printingExchange) Dispatch(no int, node uint32, address string, limitMs float64) {
	fmt.Printf("%s: dispatch %d to node %d at %s\n", x, no, node, address)
}
func (x printingExchange) Cancel(no int)    { fmt.Printf("%s: cancel %d\n", x, no) }
func (x printingExchange) Throttle(float64) { fmt.Printf("%s: throttled\n", x) }
func (x printingExchange) Terminate()       { fmt.Printf("%s: terminated\n", x) }
func (x printingExchange) Discard()         { fmt.Printf("%s: discarded\n", x) }
func (x printingExchange) Abort()           { fmt.Printf("%s: aborted\n", x) }

// forbiddenModule makes requests that the real module never makes, by the operation of the invocation.
type forbiddenModule struct {
	Module
	h balance.Host
}

func (m forbiddenModule) InvocationArrived(id string, op, _ int, _ string, _, _ float64, _, _ bool) {
	switch op {
	case 0:
		m.h.Dispatch(id, 1, 100)
		m.h.Dispatch(id, 2, 100) // while the first one is in flight
	case 1:
		m.h.Dispatch(id, 9, 100) // a node that is not listed
	case 2:
		m.h.Throttle(id, 5)
		m.h.Terminate(id) // a second final answer
		m.h.Dispatch(id, 1, 100)
	}
}
func (m forbiddenModule) DispatchEnded(id string, no int, _ uint32, outcome balance.Outcome, _ float64, answered bool,
	_ map[string]float64) {
	fmt.Printf("module: dispatch %d ended with outcome %d, answered %v\n", no, outcome, answered)
}
func (m forbiddenModule) ClientTimedOut(string)            { fmt.Println("module: client timed out") }
func (m forbiddenModule) NodesListed(bool, []balance.Node) {}

// start makes a Core with two nodes.
func start(newModule func(h balance.Host) Module) *simulator {
	s := &simulator{now: 1e6}
	s.core = New(s, slog.New(slog.DiscardHandler), "m-")
	s.core.Start(newModule)
	s.core.NodesListed(true, []balance.Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1}}, []string{"a:1", "b:2"})
	return s
}

// A second dispatch while one is in flight, a dispatch to a node without an address, and a dispatch after the final
// answer are suppressed.
func Example_refused() {
	s := start(func(h balance.Host) Module { return forbiddenModule{h: h} })
	id := s.core.InvocationArrived(printingExchange("first"), 0, 0, "", 500, 0, false, false)
	s.runUntil(s.now + 1)
	s.core.DispatchEnded(id, 0, balance.Succeeded, 7, true, nil)
	s.core.InvocationArrived(printingExchange("second"), 1, 0, "", 500, 0, false, false)
	s.runUntil(s.now + 1)
	s.core.InvocationArrived(printingExchange("third"), 2, 0, "", 500, 0, false, false)
	r := s.core.Snapshot()
	fmt.Println("accepted", r.Accepted, "succeeded", r.Succeeded, "throttled", r.Throttled,
		"terminated", r.Terminated, "open", r.Open)
	// Output:
	// first: dispatch 0 to node 1 at a:1
	// module: dispatch 1 ended with outcome 7, answered false
	// module: dispatch 0 ended with outcome 0, answered true
	// module: dispatch 0 ended with outcome 7, answered false
	// third: throttled
	// accepted 3 succeeded 1 throttled 1 terminated 0 open 1
}

// The real module in virtual time: an invocation that succeeds, one that fails, one whose client disconnects, one that
// the exchange terminates itself, and one that is open when the marshal ends.
func Example_virtualTime() {
	set := balance.Settings{"limits.most-tries": 2.0, "discovery": "automatic",
		"operations": []balance.Settings{{"repeat": "side-effecting", "slo-ms": 200.0}}}
	s := start(func(h balance.Host) Module { return balance.New(h, set, 3) })
	s.core.StageUpdate(1, 0, balance.Released, 1, 0, false)
	arrive := func(name string) string {
		return s.core.InvocationArrived(printingExchange(name), 0, 0, "", 400, 0, false, false)
	}
	a := arrive("succeeded")
	s.runUntil(s.now + 20)
	s.core.DispatchEnded(a, 0, balance.Succeeded, 20, true, nil)
	b := arrive("failed")
	s.core.DispatchEnded(b, 0, balance.ConnectionReset, 5, false, nil)
	c := arrive("disconnected")
	s.core.ClientTimedOut(c)
	s.core.DispatchEnded(c, 0, balance.Succeeded, 30, false, nil)
	d := arrive("terminated by exchange")
	s.core.TerminatedByExchange(d)
	s.core.DispatchEnded(d, 0, balance.TimedOut, 400, false, nil)
	arrive("open at the end")
	fmt.Println("unanswered at the end:", s.core.TerminateAll())
	r := s.core.Snapshot()
	fmt.Println("accepted", r.Accepted, "succeeded", r.Succeeded, "terminated", r.Terminated, "client timeouts", r.ClientTimeouts,
		"dispatches", r.Dispatches)
	// Output:
	// succeeded: dispatch 0 to node 1 at a:1
	// failed: dispatch 0 to node 2 at b:2
	// failed: terminated
	// disconnected: dispatch 0 to node 1 at a:1
	// disconnected: discarded
	// terminated by exchange: dispatch 0 to node 1 at a:1
	// open at the end: dispatch 0 to node 1 at a:1
	// open at the end: aborted
	// unanswered at the end: 1
	// accepted 5 succeeded 1 terminated 3 client timeouts 1 dispatches 5
}
