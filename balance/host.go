package balance

// Host is what a marshal does for its Balancer. Every call takes effect at once, in the order made.
// Times are milliseconds; invocation ids are opaque.
type Host interface {
	Now() float64                                        // the clock; only ever grows
	Dispatch(inv string, node uint32, timeLimit float64) // numbered 0, 1, 2 ... within the invocation
	Cancel(inv string, dispatch int)                     // stop waiting for one dispatch
	Throttle(inv string, comeBack float64)               // final answer: not done, trying again is harmless
	Terminate(inv string)                                // final answer: failed, no promise about effects
	Probe(node uint32)                                   // answered by Probed
	FetchNodes()                                         // ask for the whole list once
	WatchNodes(on bool)                                  // ask for changes of the list from now on
	Vote(ver, stage int, verdict Verdict)                // answered by Staged
	SetTimer(after float64, handle int64)                // answered by Woke
	SendToPeer(peer int, text string)                    // a message to one marshal, or to all with Everyone
	Log(text string)                                     // a line for people
}

// Module is what can happen to an instance: a Balancer's methods.
type Module interface {
	InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool)
	DispatchEnded(id string, attempt int, node uint32, outcome Outcome, tookMs float64, done bool, report map[string]float64)
	ResponseStarted(id string, attempt int, node uint32, tookMs float64)
	ClientTimedOut(id string)
	NodesListed(whole bool, list []Node)
	NodeListFailed()
	StageUpdate(ver, stage int, phase Phase, cap, age float64, reply bool)
	VoteFailed(outcome Outcome)
	BuildStats(ver, op, samples, errors int, mean, age float64)
	WrongAnswer(node uint32, op int, age float64)
	ProbeEnded(node uint32, outcome Outcome, tookMs float64, report map[string]float64)
	PeerMessage(from int, text string)
	TimerFired(handle int64)
}

// AllPeers as the peer of Tell names all other marshals.
const AllPeers = -1

// Settings are names and values: float64, bool, string, []float64, []string or, for lists of
// things with names of their own, []Settings. docs/settings.md lists them.
type Settings map[string]any

// Node is one line of the list of nodes.
type Node struct {
	ID      uint32
	Ver     int     // the build it runs
	Zone    int     // its data centre
	Model   int     // its kind of machine
	Cell    int     // nodes of one cell share which keys they have seen
	Health  Health  // whether it may be sent anything
	Size    float64 // to be set against other nodes' sizes
	Started float64 // clock time it last started, 0 if long ago
}

// Health is what the list says of a node.
type Health int

// The list's words for a node.
const (
	Serving Health = iota
	Draining
	Gone
)

// Outcome is how a dispatch, a probe or a vote ended.
type Outcome int

// The endings; docs/settings.md tells what each one proves.
const (
	Succeeded Outcome = iota
	Failed
	Rejected
	TimedOut
	ConnectFailed
	ConnectionReset
	Canceled
	Ignored
)

// Phase is where the newest build stands.
type Phase int

// The phases of a build.
const (
	OnTrial Phase = iota
	RollingBack
	Released
	Withdrawn
)

// Verdict is what a vote says.
type Verdict int

// The verdicts of a vote.
const (
	NoVote Verdict = iota
	Advance
	Hold
	RollBack
)
