package marshal

import (
	"fmt"
	"log/slog"

	"arrowcleat/balance"
)

// world drives a Core in virtual time, without sockets, and prints what it asks for.
type world struct {
	now   float64
	core  *Core
	calls []func()
	due   []float64
}

func (w *world) Now() float64 { return w.now }
func (w *world) After(ms float64, f func()) {
	w.calls, w.due = append(w.calls, f), append(w.due, w.now+ms)
}
func (w *world) Probe(node uint32, address string) { fmt.Println("probe", node, "at", address) }
func (w *world) Fetch()                            {}
func (w *world) Watch(bool)                        {}
func (w *world) Vote(int, int, balance.Verdict)    {}
func (w *world) Tell(peer int, text string)        {}

// until runs what falls due.
func (w *world) until(t float64) {
	for i := 0; i < len(w.due); i++ {
		if w.due[i] <= t {
			f := w.calls[i]
			w.now = max(w.now, w.due[i])
			w.calls, w.due = append(w.calls[:i], w.calls[i+1:]...), append(w.due[:i], w.due[i+1:]...)
			f()
			i = -1
		}
	}
	w.now = t
}

// client is an exchange that prints.
type client string

func (c client) Dispatch(no int, node uint32, address string, within float64) {
	fmt.Printf("%s: dispatch %d to node %d at %s\n", c, no, node, address)
}
func (c client) Cancel(no int)    { fmt.Printf("%s: cancel %d\n", c, no) }
func (c client) Throttle(float64) { fmt.Printf("%s: throttled\n", c) }
func (c client) Terminate()       { fmt.Printf("%s: terminated\n", c) }
func (c client) Let()             { fmt.Printf("%s: let go\n", c) }
func (c client) Abrupt()          { fmt.Printf("%s: ended with the marshal\n", c) }

// scripted is a module that asks for what no module of ours does.
type scripted struct {
	Module
	h balance.Host
}

func (s scripted) InvocationArrived(id string, op, _ int, _ string, _, _ float64, _, _ bool) {
	switch op {
	case 0:
		s.h.Dispatch(id, 1, 100)
		s.h.Dispatch(id, 2, 100) // a second copy
	case 1:
		s.h.Dispatch(id, 9, 100) // a node nobody listed
	case 2:
		s.h.Throttle(id, 5)
		s.h.Terminate(id) // two final answers
		s.h.Dispatch(id, 1, 100)
	}
}
func (s scripted) DispatchEnded(id string, no int, _ uint32, how balance.Outcome, _ float64, done bool, _ map[string]float64) {
	fmt.Printf("the module hears that dispatch %d ended with %d, done %v\n", no, how, done)
}
func (s scripted) ClientTimedOut(string)            { fmt.Println("the module hears that the client is gone") }
func (s scripted) NodesListed(bool, []balance.Node) {}

func begin(make func(h balance.Host) Module) *world {
	w := &world{now: 1e6}
	w.core = New(w, slog.New(slog.DiscardHandler), "m-")
	w.core.Start(make)
	w.core.Listed(true, []balance.Node{{ID: 1, Ver: 1, Size: 1}, {ID: 2, Ver: 1, Size: 1}}, []string{"a:1", "b:2"})
	return w
}

// What a module must not do is never sent: a second copy, a node without address, a dispatch after the final answer.
func Example_refused() {
	w := begin(func(h balance.Host) Module { return scripted{h: h} })
	id := w.core.Arrived(client("first"), 0, 0, "", 500, 0, false, false)
	w.until(w.now + 1)
	w.core.Ended(id, 0, balance.Succeeded, 7, true, nil)
	w.core.Arrived(client("second"), 1, 0, "", 500, 0, false, false)
	w.until(w.now + 1)
	w.core.Arrived(client("third"), 2, 0, "", 500, 0, false, false)
	r := w.core.Look()
	fmt.Println("taken", r.Taken, "succeeded", r.Succeeded, "throttled", r.Throttled, "terminated", r.Terminated, "open", r.Open)
	// Output:
	// first: dispatch 0 to node 1 at a:1
	// the module hears that dispatch 1 ended with 7, done false
	// the module hears that dispatch 0 ended with 0, done true
	// the module hears that dispatch 0 ended with 7, done false
	// third: throttled
	// taken 3 succeeded 1 throttled 1 terminated 0 open 1
}

// The real module in virtual time: answered, answered by the connection itself, gone, and at the marshal's end.
func Example_virtualTime() {
	set := balance.Settings{"limits.most-tries": 2.0, "discovery": "automatic",
		"operations": []balance.Settings{{"repeat": "side-effecting", "slo-ms": 200.0}}}
	w := begin(func(h balance.Host) Module { return balance.New(h, set, 3) })
	w.core.Staged(1, 0, balance.Released, 1, 0, false)
	arrive := func(name string) string { return w.core.Arrived(client(name), 0, 0, "", 400, 0, false, false) }
	a := arrive("answered")
	w.until(w.now + 20)
	w.core.Ended(a, 0, balance.Succeeded, 20, true, nil)
	b := arrive("failed")
	w.core.Ended(b, 0, balance.ConnectionReset, 5, false, nil)
	c := arrive("gone")
	w.core.Lapsed(c)
	w.core.Ended(c, 0, balance.Succeeded, 30, false, nil)
	d := arrive("overtaken")
	w.core.Overtaken(d)
	w.core.Ended(d, 0, balance.TimedOut, 400, false, nil)
	arrive("last")
	fmt.Println("open at the end:", w.core.EndAll())
	r := w.core.Look()
	fmt.Println("taken", r.Taken, "succeeded", r.Succeeded, "terminated", r.Terminated, "lapsed", r.Lapsed, "dispatches", r.Dispatches)
	// Output:
	// answered: dispatch 0 to node 1 at a:1
	// failed: dispatch 0 to node 2 at b:2
	// failed: terminated
	// gone: dispatch 0 to node 1 at a:1
	// gone: let go
	// overtaken: dispatch 0 to node 1 at a:1
	// last: dispatch 0 to node 1 at a:1
	// last: ended with the marshal
	// open at the end: 1
	// taken 5 succeeded 1 terminated 3 lapsed 1 dispatches 5
}
