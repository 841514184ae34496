// Package marshal stands between the decision module and the world: it tells the module what happens, finds
// for each thing the module asks the end of it that is meant, and keeps the marshal's own record. It knows no
// sockets: front, back and control drive it from the loop, and an emulator can.
package marshal

import (
	"fmt"
	"log/slog"
	"strconv"

	"arrowcleat/balance"
)

// Module is what a decision module can be told.
type Module = balance.Module

// Exchange is the client's end of one invocation. Its methods are called on the loop and must not block.
type Exchange interface {
	Dispatch(no int, node uint32, address string, within float64)
	Cancel(no int)
	Throttle(comeBack float64)
	Terminate()
	Let()    // nothing more will come: what happened was told already
	Abrupt() // the marshal ends: terminated at once, whatever is out
}

// Outside is what an instance needs beside its invocations.
type Outside interface {
	Now() float64
	After(ms float64, f func())
	Probe(node uint32, address string)
	Fetch()
	Watch(on bool)
	Vote(ver, stage int, verdict balance.Verdict)
	Tell(peer int, text string)
}

// Core is one instance: the Host of its module.
type Core struct {
	out    Outside
	log    *slog.Logger
	module Module
	prefix string
	next   uint64
	invs   map[string]*invocation
	nodes  map[uint32]*NodeRecord
	record Record

	// Rules are those of the operations, by their index; nil: nothing is checked.
	Rules []RepeatRule
}

type invocation struct {
	x      Exchange
	op     int
	node   uint32 // of the last dispatch
	sent   int
	open   int // dispatches out
	done   bool
	lastNo int       // the number of the last dispatch that was sent
	last   attempt   // and where and when it was
	ran    []attempt // those that have ended and may have run
}

// Record is what the marshal knows of itself; Core.Look hands out a copy.
type Record struct {
	Taken, Succeeded, Throttled, Terminated, Lapsed int64
	Dispatches, Cancels, Votes                      int64
	Endings                                         [8]int64
	Open                                            int
	Ver, Stage                                      int
	Phase                                           balance.Phase
	Cap                                             float64
	Violations                                      Violations
	Nodes                                           map[uint32]NodeRecord
	Last                                            []string // the module's last log lines
}

// NodeRecord is what the marshal knows of a node.
type NodeRecord struct {
	balance.Node
	Address  string
	Sent     int64
	Endings  [8]int64
	LastSent float64
}

const (
	lastLines = 50      // log lines of the module that the record keeps
	keepGone  = 60000.0 // ms that the record keeps a node that is gone
)

// New makes an instance; Start gives it its module. Ids of its invocations begin with prefix.
func New(out Outside, log *slog.Logger, prefix string) *Core {
	return &Core{out: out, log: log, prefix: prefix, invs: map[string]*invocation{}, nodes: map[uint32]*NodeRecord{}}
}

// Start takes the module; make is given the Core as the module's Host.
func (c *Core) Start(make func(balance.Host) Module) { c.module = make(c) }

// Arrived takes an invocation and gives it its id.
func (c *Core) Arrived(x Exchange, op, tenant int, key string, budget, cost float64, retry, write bool) string {
	c.next++
	id := c.prefix + strconv.FormatUint(c.next, 36)
	c.invs[id] = &invocation{x: x, op: op}
	c.record.Taken++
	c.module.InvocationArrived(id, op, tenant, key, budget, cost, retry, write)
	return id
}

// Ended says how a dispatch ended; done, that the client has been given its answer by it.
func (c *Core) Ended(id string, no int, how balance.Outcome, took float64, done bool, report map[string]float64) {
	c.record.Endings[how]++
	inv := c.invs[id]
	if inv == nil {
		return
	}
	inv.open--
	if !done && !NeverRan(how) && no == inv.lastNo {
		inv.ran = append(inv.ran, inv.last)
	}
	if n := c.nodes[inv.node]; n != nil {
		n.Endings[how]++
	}
	if done && !inv.done {
		inv.done = true
		if how == balance.Succeeded {
			c.record.Succeeded++
		} else {
			c.record.Terminated++ // an answer that had begun and broke
		}
	}
	c.module.DispatchEnded(id, no, inv.node, how, took, inv.done, report)
	c.forget(id, inv)
}

// Began says that an answer too long to be held has begun to go to the client.
func (c *Core) Began(id string, no int, took float64) {
	if inv := c.invs[id]; inv != nil {
		c.module.ResponseStarted(id, no, inv.node, took)
	}
}

// Lapsed says that the client is gone, or its time is up without an answer; the exchange is let go at once.
func (c *Core) Lapsed(id string) {
	inv := c.invs[id]
	if inv == nil || inv.done {
		return
	}
	inv.done = true
	c.record.Lapsed++
	c.module.ClientTimedOut(id)
	inv.x.Let()
	c.forget(id, inv)
}

func (c *Core) forget(id string, inv *invocation) {
	if inv.done && inv.open == 0 {
		delete(c.invs, id)
	}
}

// Listed brings the list of nodes or what has changed of it; addresses go with the lines of the list.
func (c *Core) Listed(whole bool, list []balance.Node, addresses []string) {
	now := c.out.Now()
	if whole {
		for _, n := range c.nodes {
			n.Health = balance.Gone
		}
	}
	for i, n := range list {
		if c.nodes[n.ID] == nil {
			c.nodes[n.ID] = &NodeRecord{}
		}
		c.nodes[n.ID].Node, c.nodes[n.ID].Address = n, addresses[i]
	}
	for id, n := range c.nodes {
		if n.Health == balance.Gone && now-n.LastSent > keepGone { // what came and went does not pile up
			delete(c.nodes, id)
		}
	}
	c.module.NodesListed(whole, list)
}

// Staged tells where the newest build stands.
func (c *Core) Staged(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	r := &c.record
	r.Ver, r.Stage, r.Phase, r.Cap = ver, stage, phase, cap
	c.module.StageUpdate(ver, stage, phase, cap, age, reply)
}

// Events gives the module for what needs no care on the way.
func (c *Core) Events() Module { return c.module }

// Open is the number of invocations that are owed an answer or have a dispatch out.
func (c *Core) Open() int { return len(c.invs) }

// Overtaken says that the client's time was nearly up and the loop had given no answer, so that the exchange gave
// one itself: terminated, which promises nothing. It happens to a marshal that stands still.
func (c *Core) Overtaken(id string) {
	inv := c.invs[id]
	if inv == nil || inv.done {
		return
	}
	c.log.Warn("terminated without the module: the marshal stood still", "inv", id, "node", inv.node)
	inv.done = true
	c.record.Terminated++
	c.module.ClientTimedOut(id)
	c.forget(id, inv)
}

// Add adds the record of another instance of the same marshal; where the build stands and the nodes' health are as
// this one knows them.
func (r *Record) Add(o Record) {
	for _, p := range []struct{ to, from *int64 }{{&r.Taken, &o.Taken}, {&r.Succeeded, &o.Succeeded}, {&r.Throttled, &o.Throttled},
		{&r.Terminated, &o.Terminated}, {&r.Lapsed, &o.Lapsed}, {&r.Dispatches, &o.Dispatches}, {&r.Cancels, &o.Cancels},
		{&r.Votes, &o.Votes}} {
		*p.to += *p.from
	}
	for i, n := range o.Endings {
		r.Endings[i] += n
	}
	r.Open += o.Open
	r.Violations.add(o.Violations)
	for id, n := range o.Nodes {
		mine, ok := r.Nodes[id]
		if !ok {
			r.Nodes[id] = n
			continue
		}
		mine.Sent, mine.LastSent = mine.Sent+n.Sent, max(mine.LastSent, n.LastSent)
		for i, k := range n.Endings {
			mine.Endings[i] += k
		}
		r.Nodes[id] = mine
	}
	r.Last = append(r.Last, o.Last...)
}

// Look gives a copy of the record; to be called on the loop.
func (c *Core) Look() Record {
	r := c.record
	r.Open = len(c.invs)
	r.Nodes = make(map[uint32]NodeRecord, len(c.nodes))
	for id, n := range c.nodes {
		r.Nodes[id] = *n
	}
	r.Last = append([]string(nil), r.Last...)
	return r
}

// EndAll terminates what is open, at the marshal's own end.
func (c *Core) EndAll() (open int) {
	for id, inv := range c.invs { // in any order: nothing is decided any more
		if !inv.done {
			inv.done = true
			open++
			c.record.Terminated++
			inv.x.Abrupt()
		}
		delete(c.invs, id)
	}
	return open
}

// Now and the methods below make a Core the module's Host.
func (c *Core) Now() float64 { return c.out.Now() }

func (c *Core) Dispatch(id string, node uint32, within float64) {
	inv, to := c.invs[id], c.nodes[node]
	if inv == nil {
		c.log.Error("a dispatch of an invocation that is not open", "inv", id, "node", node)
		return
	}
	no := inv.sent
	inv.sent++
	inv.open++
	if why := c.heldBack(inv, to, within); why != "" {
		c.log.Debug("dispatch held back", "inv", id, "no", no, "node", node, "why", why)
		c.out.After(0, func() { c.Ended(id, no, balance.Ignored, 0, false, nil) })
		return
	}
	if no > 0 {
		c.log.Debug("dispatch repeated", "inv", id, "no", no, "node", node, "may_have_run", len(inv.ran))
	}
	inv.node, inv.lastNo, inv.last = node, no, attempt{to.Zone, to.Cell, c.out.Now()}
	c.record.Dispatches++
	to.Sent++
	to.LastSent = c.out.Now()
	inv.x.Dispatch(no, node, to.Address, within)
}

// heldBack says why a dispatch must not be sent, empty where it may: an answered invocation, what has no time and what has no address;
// and against the rules, which is counted, a second copy beside one that is out and a repeat that may have its effect again.
func (c *Core) heldBack(inv *invocation, to *NodeRecord, within float64) (why string) {
	violations := &c.record.Violations
	switch {
	case inv.done:
		return "answered"
	case within <= 0:
		return "no time"
	case to == nil || to.Address == "":
		return "no address"
	case inv.open > 1:
		violations.Copies++
		c.log.Warn("a second copy was held back", "node", to.ID)
		return "a copy is out"
	case !c.mayRepeat(inv, to.Node):
		violations.Repeats++
		c.log.Error("a repeat that may have its effect again was held back", "node", to.ID)
		return "it may have run"
	}
	return ""
}

func (c *Core) Cancel(id string, no int) {
	if inv := c.invs[id]; inv != nil {
		c.record.Cancels++
		inv.x.Cancel(no)
	}
}

func (c *Core) Throttle(id string, comeBack float64) {
	inv := c.invs[id]
	if inv != nil && !inv.done && !c.mayRefuse(inv) {
		c.record.Violations.Refusals++
		c.log.Error("a refusal of what may have run was held back", "inv", id)
		c.Terminate(id)
		return
	}
	if inv != nil && !inv.done {
		inv.done = true
		c.record.Throttled++
		inv.x.Throttle(comeBack)
		c.forget(id, inv)
	}
}

func (c *Core) Terminate(id string) {
	if inv := c.invs[id]; inv != nil && !inv.done {
		inv.done = true
		c.record.Terminated++
		inv.x.Terminate()
		c.forget(id, inv)
	}
}

func (c *Core) Probe(node uint32) {
	if n := c.nodes[node]; n != nil {
		c.out.Probe(node, n.Address)
	}
}

func (c *Core) FetchNodes()        { c.out.Fetch() }
func (c *Core) WatchNodes(on bool) { c.out.Watch(on) }

func (c *Core) Vote(ver, stage int, verdict balance.Verdict) {
	c.record.Votes++
	c.out.Vote(ver, stage, verdict)
}

func (c *Core) SetTimer(after float64, handle int64) {
	c.out.After(after, func() { c.module.TimerFired(handle) })
}

func (c *Core) SendToPeer(peer int, text string) { c.out.Tell(peer, text) }

func (c *Core) Log(text string) {
	c.log.Info(text, "ver", c.record.Ver)
	c.record.Last = append(c.record.Last, fmt.Sprintf("%.0f %s", c.out.Now(), text))
	if len(c.record.Last) > lastLines {
		c.record.Last = c.record.Last[len(c.record.Last)-lastLines:]
	}
}
