package balance

// Host carries out what a Balancer decides. Every call takes effect at once, in the order made. Times are in
// milliseconds, invocation ids are opaque.
type Host interface {
	Now() float64                                          // the clock, which never goes back
	Dispatch(inv string, node uint32, timeLimitMs float64) // numbered 0, 1, 2 ... within the invocation
	Cancel(inv string, attempt int)                        // stop waiting for one dispatch
	Throttle(inv string, retryAfterMs float64)             // final answer: not done, trying again is harmless
	Terminate(inv string)                                  // final answer: failed, no promise about effects
	Probe(node uint32)                                     // answered by ProbeEnded
	FetchNodes()                                           // fetch the complete node list once
	WatchNodes(on bool)                                    // subscribe to changes of the node list, or stop
	Vote(ver, stage int, verdict Verdict)                  // answered by StageUpdate or VoteFailed
	SetTimer(afterMs float64, handle int64)                // answered by TimerFired
	SendToPeer(peer int, text string)                      // a message to one marshal, or to all with AllPeers
	Log(text string)                                       // a line for operators
}

// Module receives the events of an instance. Balancer implements it and documents each event.
type Module interface {
	InvocationArrived(id string, op, tenant int, key string, budgetMs, cost float64, isRetry, isWrite bool)
	DispatchEnded(id string, attempt int, node uint32, outcome Outcome, tookMs float64, answered bool,
		report map[string]float64)
	ResponseStarted(id string, attempt int, node uint32, tookMs float64)
	ClientTimedOut(id string)
	NodesListed(complete bool, list []Node)
	NodeListFailed()
	StageUpdate(ver, stage int, phase Phase, cap, ageMs float64, isVoteReply bool)
	VoteFailed(outcome Outcome)
	BuildStats(ver, op, samples, errors int, meanMs, ageMs float64)
	WrongAnswer(node uint32, op int, ageMs float64)
	ProbeEnded(node uint32, outcome Outcome, tookMs float64, report map[string]float64)
	PeerMessage(from int, text string)
	TimerFired(handle int64)
}

// AllPeers addresses SendToPeer to all other marshals.
const AllPeers = -1

// Settings maps names to values of type float64, bool, string, []float64, []string or, for lists of objects, []Settings.
// docs/settings.md lists them.
type Settings map[string]any

// Node is one entry of the node list.
type Node struct {
	ID      uint32
	Ver     int     // version number of the build it runs
	Zone    int     // data centre
	Model   int     // machine type
	Cell    int     // nodes of one cell drop repeats of each other's invocations
	Health  Health  // whether it may get dispatches
	Size    float64 // capacity relative to other nodes
	Started float64 // clock time of its last start, 0 if long ago
}

// Health is the state of a node according to the node list.
type Health int

// States of a node.
const (
	Serving  Health = iota // accepts dispatches
	Draining               // finishes what it has
	Gone                   // no longer listed
)

// Outcome is how a dispatch, a probe or a vote ended.
type Outcome int

// Outcomes; docs/settings.md lists what each one proves.
const (
	Succeeded       Outcome = iota
	Failed                  // answered with an error
	Rejected                // refused before any work began
	TimedOut                // not answered in time; it may have run
	ConnectFailed           // no connection; it never ran
	ConnectionReset         // the connection broke; it may have run
	Canceled                // canceled by the marshal; it may have run
	Ignored                 // never sent, or a vote out of date
)

// Phase is the phase of the newest build.
type Phase int

// Phases of a build.
const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// Verdict is the content of a vote.
type Verdict int

// Verdicts of a vote.
const (
	NoVote Verdict = iota
	Advance
	Hold
	RollBack
)
