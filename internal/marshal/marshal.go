// Package marshal connects the decision module with the rest of the marshal. It passes events to the module, carries out
// the module's requests on the invocations and nodes they refer to, suppresses requests that are not allowed, and keeps
// statistics. It does no I/O: the packages front, back and control drive it from the event loop, and so can a simulator.
package marshal

import (
	"fmt"
	"log/slog"
	"strconv"

	"arrowcleat/balance"
)

// Module is the decision module: the receiver of events.
type Module = balance.Module

// Exchange is the client's side of one invocation. Its methods are called on the event loop and must not block.
type Exchange interface {
	Dispatch(no int, node uint32, address string, timeLimitMs float64) // no is its number within the invocation
	Cancel(no int)                                                     // stop waiting for one dispatch
	Throttle(retryAfterMs float64)                                     // final answer: not done, trying again is harmless
	Terminate()                                                        // final answer: failed, no promise about effects
	Discard()                                                          // no answer follows; the module has been notified already
	Abort()                                                            // the marshal ends: terminate at once, whatever is in flight
}

// Environment is what an instance needs apart from its invocations: a clock, timers and the other components.
type Environment interface {
	Now() float64
	After(ms float64, f func())
	Probe(node uint32, address string)
	FetchNodes()
	WatchNodes(on bool)
	Vote(ver, stage int, verdict balance.Verdict)
	SendToPeer(peer int, text string)
}

// Core is one instance of a marshal: the Host of its module.
type Core struct {
	env         Environment
	log         *slog.Logger
	module      Module
	prefix      string // of the ids of invocations
	lastID      uint64
	invocations map[string]*invocation
	nodes       map[uint32]*NodeStats
	stats       Stats

	// RepeatRules are the rules of the operations, by index. With nil, repeats are not checked.
	RepeatRules []RepeatRule
}

type invocation struct {
	exchange   Exchange
	op         int
	node       uint32 // of the last dispatch
	dispatches int    // requested so far, suppressed ones included
	inFlight   int    // dispatches
	answered   bool   // it has its final answer
	lastNo     int    // the number of the last dispatch that was sent
	last       attempt
	mayHaveRun []attempt // ended attempts that may have run
}

// Stats are the counters and the state of an instance. Core.Snapshot returns a copy. The log holds it as JSON when a
// module panics, under the names in the tags.
type Stats struct {
	Accepted                         int64 `json:"Taken"`
	Succeeded, Throttled, Terminated int64
	ClientTimeouts                   int64 `json:"Lapsed"`
	Dispatches, Cancels, Votes       int64
	Outcomes                         [8]int64 `json:"Endings"` // of dispatches, by balance's number
	Open                             int      // invocations
	Ver, Stage                       int
	Phase                            balance.Phase
	Cap                              float64
	Violations                       Violations
	Nodes                            map[uint32]NodeStats
	LogLines                         []string `json:"Last"` // the last lines that the module logged
}

// NodeStats are the counters and the state of a node.
type NodeStats struct {
	balance.Node
	Address    string
	Sent       int64    // dispatches
	Outcomes   [8]int64 `json:"Endings"`
	LastSentMs float64  `json:"LastSent"`
}

const (
	maxLogLines     = 50      // in Stats
	goneRetentionMs = 60000.0 // for which a node that is gone stays in Stats after its last dispatch
)

// New makes an instance; Start gives it its module. The ids of its invocations begin with prefix.
func New(env Environment, log *slog.Logger, prefix string) *Core {
	return &Core{env: env, log: log, prefix: prefix, invocations: map[string]*invocation{}, nodes: map[uint32]*NodeStats{}}
}

// Start makes the module; newModule receives the Core as the module's Host.
func (c *Core) Start(newModule func(balance.Host) Module) { c.module = newModule(c) }

// InvocationArrived accepts an invocation and returns the id given to it.
func (c *Core) InvocationArrived(x Exchange, op, tenant int, key string, budgetMs, cost float64,
	isRetry, isWrite bool) string {
	c.lastID++
	id := c.prefix + strconv.FormatUint(c.lastID, 36)
	c.invocations[id] = &invocation{exchange: x, op: op}
	c.stats.Accepted++
	c.module.InvocationArrived(id, op, tenant, key, budgetMs, cost, isRetry, isWrite)
	return id
}

// DispatchEnded reports how a dispatch ended. With answered, its response was the client's answer.
func (c *Core) DispatchEnded(id string, no int, outcome balance.Outcome, tookMs float64, answered bool,
	report map[string]float64) {
	c.stats.Outcomes[outcome]++
	inv := c.invocations[id]
	if inv == nil {
		return
	}
	inv.inFlight--
	if !answered && !NeverRan(outcome) && no == inv.lastNo {
		inv.mayHaveRun = append(inv.mayHaveRun, inv.last)
	}
	if n := c.nodes[inv.node]; n != nil {
		n.Outcomes[outcome]++
	}
	if answered && !inv.answered {
		inv.answered = true
		if outcome == balance.Succeeded {
			c.stats.Succeeded++
		} else {
			c.stats.Terminated++ // the response broke off after it had begun
		}
	}
	c.module.DispatchEnded(id, no, inv.node, outcome, tookMs, inv.answered, report)
	c.deleteIfDone(id, inv)
}

// ResponseStarted reports that a response too long to be buffered has begun to go to the client.
func (c *Core) ResponseStarted(id string, no int, tookMs float64) {
	if inv := c.invocations[id]; inv != nil {
		c.module.ResponseStarted(id, no, inv.node, tookMs)
	}
}

// ClientTimedOut reports that the client has disconnected, or that its deadline has passed without an answer. The
// exchange is discarded at once.
func (c *Core) ClientTimedOut(id string) {
	inv := c.invocations[id]
	if inv == nil || inv.answered {
		return
	}
	inv.answered = true
	c.stats.ClientTimeouts++
	c.module.ClientTimedOut(id)
	inv.exchange.Discard()
	c.deleteIfDone(id, inv)
}

// deleteIfDone deletes an invocation that has its answer and has no dispatch in flight.
func (c *Core) deleteIfDone(id string, inv *invocation) {
	if inv.answered && inv.inFlight == 0 {
		delete(c.invocations, id)
	}
}

// NodesListed delivers the complete node list or its changes. Each node's address has the node's index.
func (c *Core) NodesListed(complete bool, list []balance.Node, addresses []string) {
	now := c.env.Now()
	if complete {
		for _, n := range c.nodes {
			n.Health = balance.Gone
		}
	}
	for i, n := range list {
		if c.nodes[n.ID] == nil {
			c.nodes[n.ID] = &NodeStats{}
		}
		c.nodes[n.ID].Node, c.nodes[n.ID].Address = n, addresses[i]
	}
	for id, n := range c.nodes {
		if n.Health == balance.Gone && now-n.LastSentMs > goneRetentionMs { // bounds the map
			delete(c.nodes, id)
		}
	}
	c.module.NodesListed(complete, list)
}

// StageUpdate reports the stage, phase and cap of the newest build.
func (c *Core) StageUpdate(ver, stage int, phase balance.Phase, cap, ageMs float64, isVoteReply bool) {
	s := &c.stats
	s.Ver, s.Stage, s.Phase, s.Cap = ver, stage, phase, cap
	c.module.StageUpdate(ver, stage, phase, cap, ageMs, isVoteReply)
}

// Module returns the module, for events that need no handling by the Core.
func (c *Core) Module() Module { return c.module }

// OpenInvocations returns the number of invocations that have no answer yet or have a dispatch in flight.
func (c *Core) OpenInvocations() int { return len(c.invocations) }

// TerminatedByExchange reports that the client's deadline was close and the event loop had not answered, so that the
// exchange itself answered "terminated", which promises nothing. This happens when the marshal is stalled.
func (c *Core) TerminatedByExchange(id string) {
	inv := c.invocations[id]
	if inv == nil || inv.answered {
		return
	}
	c.log.Warn("terminated without the module: the marshal was stalled", "inv", id, "node", inv.node)
	inv.answered = true
	c.stats.Terminated++
	c.module.ClientTimedOut(id)
	c.deleteIfDone(id, inv)
}

// Add adds the counters of another instance of the same marshal. The build's stage and the nodes' health stay as they
// are in s.
func (s *Stats) Add(o Stats) {
	for _, p := range []struct{ to, from *int64 }{{&s.Accepted, &o.Accepted}, {&s.Succeeded, &o.Succeeded},
		{&s.Throttled, &o.Throttled}, {&s.Terminated, &o.Terminated}, {&s.ClientTimeouts, &o.ClientTimeouts},
		{&s.Dispatches, &o.Dispatches}, {&s.Cancels, &o.Cancels}, {&s.Votes, &o.Votes}} {
		*p.to += *p.from
	}
	for i, n := range o.Outcomes {
		s.Outcomes[i] += n
	}
	s.Open += o.Open
	s.Violations.add(o.Violations)
	for id, n := range o.Nodes {
		own, ok := s.Nodes[id]
		if !ok {
			s.Nodes[id] = n
			continue
		}
		own.Sent, own.LastSentMs = own.Sent+n.Sent, max(own.LastSentMs, n.LastSentMs)
		for i, k := range n.Outcomes {
			own.Outcomes[i] += k
		}
		s.Nodes[id] = own
	}
	s.LogLines = append(s.LogLines, o.LogLines...)
}

// Snapshot returns a copy of the statistics. It must be called on the event loop.
func (c *Core) Snapshot() Stats {
	s := c.stats
	s.Open = len(c.invocations)
	s.Nodes = make(map[uint32]NodeStats, len(c.nodes))
	for id, n := range c.nodes {
		s.Nodes[id] = *n
	}
	s.LogLines = append([]string(nil), s.LogLines...)
	return s
}

// TerminateAll terminates every open invocation when the instance ends, and returns how many had no answer.
func (c *Core) TerminateAll() (unanswered int) {
	for id, inv := range c.invocations { // the order doesn't matter: no decisions follow
		if !inv.answered {
			inv.answered = true
			unanswered++
			c.stats.Terminated++
			inv.exchange.Abort()
		}
		delete(c.invocations, id)
	}
	return unanswered
}

// Now returns the clock time in ms. It and the methods below implement balance.Host.
func (c *Core) Now() float64 { return c.env.Now() }

// Dispatch sends an invocation to a node. A dispatch that must not be sent is suppressed, and ends as Ignored in a
// call of its own.
func (c *Core) Dispatch(id string, node uint32, timeLimitMs float64) {
	inv, to := c.invocations[id], c.nodes[node]
	if inv == nil {
		c.log.Error("a dispatch of an invocation that is not open", "inv", id, "node", node)
		return
	}
	no := inv.dispatches
	inv.dispatches++
	inv.inFlight++
	if why := c.suppressReason(inv, to, timeLimitMs); why != "" {
		c.log.Debug("dispatch suppressed", "inv", id, "no", no, "node", node, "why", why)
		c.env.After(0, func() { c.DispatchEnded(id, no, balance.Ignored, 0, false, nil) })
		return
	}
	if no > 0 {
		c.log.Debug("dispatch repeated", "inv", id, "no", no, "node", node, "may_have_run", len(inv.mayHaveRun))
	}
	inv.node, inv.lastNo, inv.last = node, no, attempt{to.Zone, to.Cell, c.env.Now()}
	c.stats.Dispatches++
	to.Sent++
	to.LastSentMs = c.env.Now()
	inv.exchange.Dispatch(no, node, to.Address, timeLimitMs)
}

// suppressReason returns why a dispatch must not be sent; it is empty where the dispatch may be sent. Three reasons are
// normal: the invocation is answered, no time is left, or the node has no address. Two are counted as violations:
// another attempt is in flight, or the repeat may take effect a second time.
func (c *Core) suppressReason(inv *invocation, to *NodeStats, timeLimitMs float64) (why string) {
	violations := &c.stats.Violations
	switch {
	case inv.answered:
		return "answered"
	case timeLimitMs <= 0:
		return "no time"
	case to == nil || to.Address == "":
		return "no address"
	case inv.inFlight > 1:
		violations.Copies++
		c.log.Warn("suppressed a dispatch while another one of the invocation is in flight", "node", to.ID)
		return "another dispatch is in flight"
	case !c.mayRepeat(inv, to.Node):
		violations.Repeats++
		c.log.Error("a repeat that may take effect a second time was suppressed", "node", to.ID)
		return "it may have run"
	}
	return ""
}

// Cancel stops waiting for a dispatch.
func (c *Core) Cancel(id string, no int) {
	if inv := c.invocations[id]; inv != nil {
		c.stats.Cancels++
		inv.exchange.Cancel(no)
	}
}

// Throttle answers that the invocation did not run and that a retry is harmless. Where that may be untrue, the
// invocation is terminated instead.
func (c *Core) Throttle(id string, retryAfterMs float64) {
	inv := c.invocations[id]
	if inv != nil && !inv.answered && !c.mayRefuse(inv) {
		c.stats.Violations.Refusals++
		c.log.Error("a refusal of an invocation that may have run was suppressed", "inv", id)
		c.Terminate(id)
		return
	}
	if inv != nil && !inv.answered {
		inv.answered = true
		c.stats.Throttled++
		inv.exchange.Throttle(retryAfterMs)
		c.deleteIfDone(id, inv)
	}
}

// Terminate answers that the invocation failed, with no promise about its effects.
func (c *Core) Terminate(id string) {
	if inv := c.invocations[id]; inv != nil && !inv.answered {
		inv.answered = true
		c.stats.Terminated++
		inv.exchange.Terminate()
		c.deleteIfDone(id, inv)
	}
}

// Probe probes a node.
func (c *Core) Probe(node uint32) {
	if n := c.nodes[node]; n != nil {
		c.env.Probe(node, n.Address)
	}
}

// FetchNodes requests the complete node list once.
func (c *Core) FetchNodes() { c.env.FetchNodes() }

// WatchNodes turns notifications of changes to the node list on or off.
func (c *Core) WatchNodes(on bool) { c.env.WatchNodes(on) }

// Vote sends a vote on the stage of a build.
func (c *Core) Vote(ver, stage int, verdict balance.Verdict) {
	c.stats.Votes++
	c.env.Vote(ver, stage, verdict)
}

// SetTimer sets a timer of the module.
func (c *Core) SetTimer(afterMs float64, handle int64) {
	c.env.After(afterMs, func() { c.module.TimerFired(handle) })
}

// SendToPeer sends a message to another marshal, or to all with balance.AllPeers.
func (c *Core) SendToPeer(peer int, text string) { c.env.SendToPeer(peer, text) }

// Log logs a line of the module and keeps it in the statistics.
func (c *Core) Log(text string) {
	c.log.Info(text, "ver", c.stats.Ver)
	c.stats.LogLines = append(c.stats.LogLines, fmt.Sprintf("%.0f %s", c.env.Now(), text))
	if len(c.stats.LogLines) > maxLogLines {
		c.stats.LogLines = c.stats.LogLines[len(c.stats.LogLines)-maxLogLines:]
	}
}
