package record

import (
	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/settings"
)

// Recorder records the events and calls of a module. It is the Host that the module gets, and the Module that the
// marshal calls; it records each event and call and passes it on.
type Recorder struct {
	host   balance.Host
	module divide.Module
	record func(*Entry)
}

// NewRecorder starts the record of an instance of the module. onEnd is called once if the record ends early.
func NewRecorder(w *Writer, host balance.Host, set *settings.Settings, instance int, seed uint64,
	onEnd func(error)) *Recorder {
	r := &Recorder{host: host}
	r.record = func(e *Entry) {
		if err := w.Write(e); err != nil && onEnd != nil {
			onEnd(err)
			onEnd = nil
		}
	}
	r.record(&Entry{Kind: "start", Now: host.Now(), Settings: set, No: int64(instance), Seed: seed})
	return r
}

// SetModule sets the module that events are passed on to, and returns the Recorder.
func (r *Recorder) SetModule(m divide.Module) *Recorder {
	r.module = m
	return r
}

func (r *Recorder) recordEvent(e *Entry) {
	e.Now = r.host.Now()
	r.record(e)
}

// InvocationArrived records the event and passes it on. The methods from here to SiblingDispatchEnded implement
// divide.Module.
func (r *Recorder) InvocationArrived(id string, op, tenant int, key string, budgetMs, cost float64, isRetry, isWrite bool) {
	r.recordEvent(&Entry{Kind: "arrived", Inv: id, Op: int64(op), Tenant: int64(tenant), Key: key, Time: budgetMs, Cost: cost,
		Yes: isRetry, Write: isWrite})
	r.module.InvocationArrived(id, op, tenant, key, budgetMs, cost, isRetry, isWrite)
}

// DispatchEnded records the event and passes it on.
func (r *Recorder) DispatchEnded(id string, attempt int, node uint32, outcome balance.Outcome, tookMs float64, answered bool,
	report map[string]float64) {
	r.recordEvent(&Entry{Kind: "ended", Inv: id, No: int64(attempt), Node: int64(node), Code: int64(outcome), Time: tookMs,
		Yes: answered, Report: report})
	r.module.DispatchEnded(id, attempt, node, outcome, tookMs, answered, report)
}

// ResponseStarted records the event and passes it on.
func (r *Recorder) ResponseStarted(id string, attempt int, node uint32, tookMs float64) {
	r.recordEvent(&Entry{Kind: "began", Inv: id, No: int64(attempt), Node: int64(node), Time: tookMs})
	r.module.ResponseStarted(id, attempt, node, tookMs)
}

// ClientTimedOut records the event and passes it on.
func (r *Recorder) ClientTimedOut(id string) {
	r.recordEvent(&Entry{Kind: "lapsed", Inv: id})
	r.module.ClientTimedOut(id)
}

// NodesListed records the event and passes it on.
func (r *Recorder) NodesListed(complete bool, list []balance.Node) {
	e := &Entry{Kind: "listed", Yes: complete}
	for _, n := range list {
		e.Line = append(e.Line, &Line{Id: n.ID, Ver: int64(n.Ver), Zone: int64(n.Zone), Model: int64(n.Model),
			Cell: int64(n.Cell), Health: int64(n.Health), Size: n.Size, Started: n.Started})
	}
	r.recordEvent(e)
	r.module.NodesListed(complete, list)
}

// NodeListFailed records the event and passes it on.
func (r *Recorder) NodeListFailed() {
	r.recordEvent(&Entry{Kind: "list-failed"})
	r.module.NodeListFailed()
}

// StageUpdate records the event and passes it on.
func (r *Recorder) StageUpdate(ver, stage int, phase balance.Phase, cap, ageMs float64, isVoteReply bool) {
	r.recordEvent(&Entry{Kind: "staged", Ver: int64(ver), Stage: int64(stage), Code: int64(phase), Share: cap, Time: ageMs,
		Yes: isVoteReply})
	r.module.StageUpdate(ver, stage, phase, cap, ageMs, isVoteReply)
}

// VoteFailed records the event and passes it on.
func (r *Recorder) VoteFailed(outcome balance.Outcome) {
	r.recordEvent(&Entry{Kind: "vote-failed", Code: int64(outcome)})
	r.module.VoteFailed(outcome)
}

// BuildStats records the event and passes it on.
func (r *Recorder) BuildStats(ver, op, samples, errors int, meanMs, ageMs float64) {
	r.recordEvent(&Entry{Kind: "tallied", Ver: int64(ver), Op: int64(op), Samples: int64(samples), Errors: int64(errors),
		Cost: meanMs, Time: ageMs})
	r.module.BuildStats(ver, op, samples, errors, meanMs, ageMs)
}

// WrongAnswer records the event and passes it on.
func (r *Recorder) WrongAnswer(node uint32, op int, ageMs float64) {
	r.recordEvent(&Entry{Kind: "flagged", Node: int64(node), Op: int64(op), Time: ageMs})
	r.module.WrongAnswer(node, op, ageMs)
}

// ProbeEnded records the event and passes it on.
func (r *Recorder) ProbeEnded(node uint32, outcome balance.Outcome, tookMs float64, report map[string]float64) {
	r.recordEvent(&Entry{Kind: "probed", Node: int64(node), Code: int64(outcome), Time: tookMs, Report: report})
	r.module.ProbeEnded(node, outcome, tookMs, report)
}

// PeerMessage records the event and passes it on.
func (r *Recorder) PeerMessage(from int, text string) {
	r.recordEvent(&Entry{Kind: "told", No: int64(from), Text: text})
	r.module.PeerMessage(from, text)
}

// TimerFired records the event and passes it on.
func (r *Recorder) TimerFired(handle int64) {
	r.recordEvent(&Entry{Kind: "woke", No: handle})
	r.module.TimerFired(handle)
}

// OnTrial passes the query on; queries are not recorded.
func (r *Recorder) OnTrial(ver int) bool { return r.module.OnTrial(ver) }

// SetLease records the event and passes it on.
func (r *Recorder) SetLease(ver, op, left int, untilMs float64) {
	r.recordEvent(&Entry{Kind: "leased", Ver: int64(ver), Op: int64(op), Samples: int64(left), Time: untilMs})
	r.module.SetLease(ver, op, left, untilMs)
}

// SetCoordinator records the event and passes it on.
func (r *Recorder) SetCoordinator(isCoordinator bool) {
	r.recordEvent(&Entry{Kind: "chair", Yes: isCoordinator})
	r.module.SetCoordinator(isCoordinator)
}

// SiblingDispatchEnded records the event and passes it on.
func (r *Recorder) SiblingDispatchEnded(node uint32, ver, op int, outcome balance.Outcome, tookMs float64, shortLimit bool,
	report map[string]float64) {
	r.recordEvent(&Entry{Kind: "elsewhere", Node: int64(node), Ver: int64(ver), Op: int64(op), Code: int64(outcome),
		Time: tookMs, Yes: shortLimit, Report: report})
	r.module.SiblingDispatchEnded(node, ver, op, outcome, tookMs, shortLimit, report)
}

// Now returns the clock time of the host; it is not recorded on its own. The methods from here on implement balance.Host.
func (r *Recorder) Now() float64 { return r.host.Now() }

// Dispatch records the call and passes it on.
func (r *Recorder) Dispatch(inv string, node uint32, timeLimitMs float64) {
	r.record(&Entry{Kind: "dispatch", Inv: inv, Node: int64(node), Time: timeLimitMs})
	r.host.Dispatch(inv, node, timeLimitMs)
}

// Cancel records the call and passes it on.
func (r *Recorder) Cancel(inv string, attempt int) {
	r.record(&Entry{Kind: "cancel", Inv: inv, No: int64(attempt)})
	r.host.Cancel(inv, attempt)
}

// Throttle records the call and passes it on.
func (r *Recorder) Throttle(inv string, retryAfterMs float64) {
	r.record(&Entry{Kind: "throttle", Inv: inv, Time: retryAfterMs})
	r.host.Throttle(inv, retryAfterMs)
}

// Terminate records the call and passes it on.
func (r *Recorder) Terminate(inv string) {
	r.record(&Entry{Kind: "terminate", Inv: inv})
	r.host.Terminate(inv)
}

// Probe records the call and passes it on.
func (r *Recorder) Probe(node uint32) {
	r.record(&Entry{Kind: "probe", Node: int64(node)})
	r.host.Probe(node)
}

// FetchNodes records the call and passes it on.
func (r *Recorder) FetchNodes() {
	r.record(&Entry{Kind: "fetch"})
	r.host.FetchNodes()
}

// WatchNodes records the call and passes it on.
func (r *Recorder) WatchNodes(on bool) {
	r.record(&Entry{Kind: "watch", Yes: on})
	r.host.WatchNodes(on)
}

// Vote records the call and passes it on.
func (r *Recorder) Vote(ver, stage int, verdict balance.Verdict) {
	r.record(&Entry{Kind: "vote", Ver: int64(ver), Stage: int64(stage), Code: int64(verdict)})
	r.host.Vote(ver, stage, verdict)
}

// SetTimer records the call and passes it on.
func (r *Recorder) SetTimer(afterMs float64, handle int64) {
	r.record(&Entry{Kind: "wake", Time: afterMs, No: handle})
	r.host.SetTimer(afterMs, handle)
}

// SendToPeer records the call and passes it on.
func (r *Recorder) SendToPeer(peer int, text string) {
	r.record(&Entry{Kind: "tell", No: int64(peer), Text: text})
	r.host.SendToPeer(peer, text)
}

// Log records the call and passes it on.
func (r *Recorder) Log(text string) {
	r.record(&Entry{Kind: "log", Text: text})
	r.host.Log(text)
}
