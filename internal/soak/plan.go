// Package soak executes seeded runs of the real marshal process with the operators' platform's protocol: stand-ins for
// discovery, the release API and nodes, clients that use their connections until the process is killed, and series of
// signals. What is observed on the sockets is audited.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

// Times of the platform's protocol, and of the runs.
const (
	maxCountedLimit   = 3 * time.Second         // a longer time limit counts as this for the time of KILL
	killMargin        = 700 * time.Millisecond  // from the end of the longest time limit until KILL
	answerSlack       = 500 * time.Millisecond  // after the time limit: an answer in it is too late, one after it counts as lost
	incompleteTimeout = 3 * time.Second         // for an error or a close, if a client sends nothing or half a request
	retireAfter       = 1500 * time.Millisecond // until a replaced agent or release API closes its connections
	readyTimeout      = 10 * time.Second
	maxPause          = 150 * time.Millisecond // of a process between STOP and CONT
	earliestHUP       = time.Second            // after the process is ready
	// maxUnansweredAtKill is the longest that a request may be without its answer at a kill that comes after TERM. A
	// process may have been paused for maxPause.
	maxUnansweredAtKill = maxPause + maxRecordDelay
)

// Signal is a signal to a marshal process.
type Signal struct {
	After time.Duration // since the process was ready, or since TERM
	Name  string        // one of the names below
}

// Names of signals. Pause is STOP and, after a time, CONT. Reload is HUP after a change of the configuration.
const (
	Reload = "reload"
	HUP    = "hup"
	USR1   = "usr1"
	USR2   = "usr2"
	Pause  = "pause"
	Term   = "term"
)

// Ways in which a process ends.
const (
	EndTerm        = "term"       // TERM, and KILL at the earliest time that the protocol allows
	EndTermTwice   = "term twice" // a second TERM soon after the first
	EndKill        = "kill"       // KILL without TERM
	EndIdle        = "quiet"      // the load ends and the process is checked for leaks; then TERM
	EndBeforeReady = "not ready"  // TERM before it is ready
)

// Process describes one process of a marshal.
type Process struct {
	LoadTime         time.Duration // from when it is ready until its end begins
	Signals          []Signal
	SignalsAfterTerm []Signal
	End              string        // one of the ways above
	HangNodes        bool          // from TERM on, nodes read requests and never answer
	TermDelay        time.Duration // between the two TERMs, or from the start to a TERM before the process is ready
	ConnectAfterTerm time.Duration // for which clients open new connections after TERM
}

// Class is a class of requests.
type Class struct {
	Name        string
	Repeat      settings.Repeat
	Limit       time.Duration // for the answer
	DedupWindow time.Duration // for which nodes recognize a repeated request
	DedupGroup  string        // of nodes that recognize it: those of a "zone", or "all"
}

// Plan describes a run. The same seed gives the same plan.
type Plan struct {
	Seed            uint64
	Zones           []string
	Classes         []Class
	Marshals        int
	PeerMessages    bool          // marshals send messages to each other
	Sockets         int           // limit of a marshal
	NodeIdleTimeout time.Duration // of connections to nodes
	DialTimeout     time.Duration // of connections to nodes
	DrainGrace      time.Duration // for which a draining node may still get requests
	Caps            []float64     // by stage
	Allowance       float64       // dispatches to a trial build that are allowed beyond its cap
	CapWindow       time.Duration // over which a cap counts
	Nodes           int           // at the start
	Clients         int           // of each marshal
	BurstConns      int           // connections that are opened at once; 0 for none
	BurstRequests   int           // of BurstConns, those that send a request
	SplitLines      bool          // the discovery agent writes its messages in pieces
	LeaveShare      float64       // of requests whose client disconnects before the answer
	PartialShare    float64       // of requests of which only a part is sent
	SplitShare      float64       // of requests that are sent in two pieces
	LongPauseShare  float64       // of clients' pauses that are about as long as a marshal drains
	MachineFaults   bool          // the marshals' machines have the faults of package faults
	ConnFaultShare  float64       // of connections from marshals to nodes, agent and release API that get a fault
	NodeFaultShare  float64       // of requests that a node answers late, wrongly or not at all
	EventInterval   time.Duration // an event comes after half to twice this time
	EventKinds      []Event       // events to draw from; those named twice are twice as likely
	Processes       [][]Process   // by marshal
}

// between draws a time between two others.
func between(rnd *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rnd.Float64()*float64(most-least))
}

// pick draws one of the values.
func pick[T any](rnd *rand.Rand, of ...T) T { return of[rnd.IntN(len(of))] }

// AllClasses returns a class for each kind of repeat, all with the same time limit.
func AllClasses(limit time.Duration) []Class {
	return []Class{{Name: "look", Repeat: settings.Repeat_IDEMPOTENT, Limit: limit},
		{Name: "book", Repeat: settings.Repeat_FINGERPRINTED, Limit: limit, DedupGroup: "zone", DedupWindow: limit / 4},
		{Name: "once", Repeat: settings.Repeat_SIDE_EFFECTING, Limit: limit}}
}

// RandomPlan draws the plan of a seed.
func RandomPlan(seed uint64) *Plan {
	rnd := rand.New(rand.NewPCG(seed, 0))
	ms := time.Millisecond
	p := &Plan{Seed: seed, Marshals: 1 + rnd.IntN(2), PeerMessages: rnd.IntN(2) == 0, Sockets: pick(rnd, 200, 256, 400),
		NodeIdleTimeout: pick(rnd, 400*ms, 1000*ms, 30000*ms), DialTimeout: pick(rnd, 100*ms, 250*ms),
		DrainGrace: pick(rnd, 300*ms, 500*ms), Caps: pick(rnd, []float64{0.1, 1}, []float64{0.2, 0.5, 1}),
		Allowance: float64(rnd.IntN(4)), CapWindow: pick(rnd, 1000*ms, 2000*ms),
		Nodes: 4 + rnd.IntN(5), Clients: 6 + rnd.IntN(15), SplitLines: rnd.IntN(2) == 0, LeaveShare: 0.08 * rnd.Float64(),
		PartialShare: pick(rnd, 0, 0.005, 0.02), NodeFaultShare: 0.3 * rnd.Float64(),
		EventInterval: between(rnd, 120*ms, 500*ms),
		EventKinds:    []Event{DrainNode, KillNode, AddNode, SilenceAgents, ChangeRelease, ChangeRelease}}
	p.LongPauseShare = pick(rnd, 0, 0.1, 0.5)
	p.SplitShare = pick(rnd, 0, 0.1)
	p.MachineFaults, p.ConnFaultShare = rnd.IntN(2) == 0, pick(rnd, 0, 0.1, 0.3)
	if rnd.IntN(fleetRuns) == 0 {
		p.Marshals, p.Clients = 12+rnd.IntN(12), 3
	}
	p.Zones = pick(rnd, []string{"here"}, []string{"here", "there"}, nil)
	p.Classes = []Class{{Name: "look", Repeat: settings.Repeat_IDEMPOTENT}}
	if rnd.IntN(3) > 0 {
		p.Classes = append(p.Classes, Class{Name: "book", Repeat: settings.Repeat_FINGERPRINTED,
			DedupGroup: pick(rnd, "zone", "all"), DedupWindow: pick(rnd, 150*ms, 600*ms, 8000*ms)})
	}
	if rnd.IntN(3) > 0 {
		p.Classes = append(p.Classes, Class{Name: "once", Repeat: settings.Repeat_SIDE_EFFECTING})
	}
	for i := range p.Classes {
		p.Classes[i].Limit = pick(rnd, 300*ms, 500*ms, 900*ms, 1500*ms, 6000*ms)
	}
	if rnd.IntN(3) == 0 {
		p.BurstConns = 100 + rnd.IntN(200)
		p.BurstRequests = max(0, p.Sockets/3-p.Clients-10) / 2
	}
	for range p.Marshals {
		var processes []Process
		for range 2 {
			processes = append(processes, drawProcess(rnd))
		}
		p.Processes = append(p.Processes, processes)
	}
	return p
}

// fleetRuns is the number of runs of which one, on average, has a few dozen processes.
const fleetRuns = 10

// drawProcess draws the plan of one process.
func drawProcess(rnd *rand.Rand) Process {
	ms := time.Millisecond
	p := Process{LoadTime: between(rnd, 600*ms, 2400*ms), ConnectAfterTerm: between(rnd, 200*ms, 400*ms),
		End: pick(rnd, EndTerm, EndTerm, EndTerm, EndTermTwice, EndKill, EndIdle, EndBeforeReady)}
	switch p.End {
	case EndTermTwice:
		p.TermDelay = between(rnd, 0, 300*ms)
	case EndBeforeReady:
		p.TermDelay = between(rnd, 0, 60*ms)
	}
	for at := between(rnd, 0, 600*ms); at < p.LoadTime; at += between(rnd, 200*ms, 700*ms) {
		p.Signals = append(p.Signals, Signal{at, pick(rnd, Pause, Pause, USR1, USR2)})
	}
	if rnd.IntN(2) == 0 {
		p.SignalsAfterTerm = drawSignalsAfterTerm(rnd)
	}
	p.HangNodes = rnd.IntN(3) == 0
	if p.LoadTime > earliestHUP+100*ms && rnd.IntN(3) > 0 {
		at := between(rnd, earliestHUP+50*ms, p.LoadTime)
		series := pick(rnd, []string{Reload}, []string{Reload, HUP}, []string{HUP, HUP}, []string{Reload, USR1, HUP, USR2},
			[]string{Reload, Reload})
		for _, name := range series {
			p.Signals = append(p.Signals, Signal{at, name})
			at += between(rnd, 0, 3*ms)
		}
		if rnd.IntN(2) == 0 {
			p.LoadTime = at // TERM during HUP
		}
	}
	return p
}

// drawSignalsAfterTerm draws signals that come while a process ends.
func drawSignalsAfterTerm(rnd *rand.Rand) (signals []Signal) {
	for at := time.Duration(0); rnd.IntN(3) > 0; {
		at += between(rnd, 0, 250*time.Millisecond)
		signals = append(signals, Signal{at, pick(rnd, HUP, USR1, USR2, Pause)})
	}
	return signals
}

// settings returns the settings of the plan that the audit reads.
func (p *Plan) settings() *settings.Settings {
	s := &settings.Settings{
		Rules: &settings.Rules{AnswerSlackMs: float64(answerSlack.Milliseconds()),
			GraceMs: float64(p.DrainGrace.Milliseconds())},
		Rollout: &settings.Rollout{Allowance: p.Allowance, CountedOverMs: float64(p.CapWindow.Milliseconds()), CapScope: "all"}}
	for _, c := range p.Caps {
		s.Rollout.Stage = append(s.Rollout.Stage, &settings.Stage{Cap: c})
	}
	for _, c := range p.Classes {
		s.Operation = append(s.Operation, &settings.Operation{Name: c.Name, Repeat: c.Repeat, Group: c.DedupGroup,
			SloMs: float64(c.Limit.Milliseconds()), LimitMs: float64(c.Limit.Milliseconds()),
			MemoryMs: float64(c.DedupWindow.Milliseconds())})
	}
	return s
}

// repeatNames are the platform's names of the kinds of repeat.
var repeatNames = map[settings.Repeat]string{settings.Repeat_IDEMPOTENT: "free", settings.Repeat_FINGERPRINTED: "guarded",
	settings.Repeat_SIDE_EFFECTING: "single_shot"}

// configuration returns the configuration of a marshal process in the platform's form.
func (p *Plan) configuration(m *marshalRun, release standin.Release, known []standin.Host) string {
	var classes, zones []string
	for _, c := range p.Classes {
		text := fmt.Sprintf(`{"name":%q,"aim-s":%g,"deadline-s":%g,"repeat":%q`, c.Name, c.Limit.Seconds()/2, c.Limit.Seconds(),
			repeatNames[c.Repeat])
		if c.Repeat == settings.Repeat_FINGERPRINTED {
			text += fmt.Sprintf(`,"group":%q,"window-s":%g`, c.DedupGroup, c.DedupWindow.Seconds())
		}
		classes = append(classes, text+"}")
	}
	for _, z := range p.Zones {
		zones = append(zones, fmt.Sprintf("%q", z))
	}
	caps := strings.Trim(strings.ReplaceAll(fmt.Sprint(p.Caps), " ", ","), "[]")
	return fmt.Sprintf(`{"name":"n%d","listen":%q,"discovery":%q,"seed":"%x","limits":{"cores":1,"memory_mb":96,"sockets":%d},
"peer_listen":%q,"peers":[%s],"peers_all":%q,"release_api":{"address":%q,"news":%s},"known":%s,
"settings":{"balancers":%d,"me":%d,"locality":0,"zones":[%s],"discovery":"automatic",
"limits":{"most-tries":3,"may-tell":%v,"conn-idle-s":%g,"dial-timeout-s":%g},
"rules":{"stop-sending-within-s":%g,"warm-up-s":1.0},
"domain":{"api-timeout-s":0.3,"api-rate":20.0,"vote-ttl-s":4.0,"most-shares":[%s],"stage-share":[%s],"counted-over-s":%g,"allowance":%g,
"cap-scope":"all","gate-mode":"first_voice"},"request-classes":[%s]}}`,
		m.number, m.address, m.agentAddress, p.Seed, p.Sockets, m.peerAddress, strings.Join(m.run.quotedPeers, ","),
		m.run.unreachablePeer, m.apiAddress, release.JSON(), standin.DiscoveryMessage(1, true, known), p.Marshals, m.number,
		strings.Join(zones, ","), p.PeerMessages, p.NodeIdleTimeout.Seconds(), p.DialTimeout.Seconds(), p.DrainGrace.Seconds(),
		caps, caps, p.CapWindow.Seconds(), p.Allowance, strings.Join(classes, ","))
}

// killAfter returns the time from TERM to KILL, the shortest that the protocol allows.
func (p *Plan) killAfter() time.Duration {
	var longest time.Duration
	for _, c := range p.Classes {
		longest = max(longest, c.Limit)
	}
	return min(longest, maxCountedLimit) + killMargin
}
