package record

import (
	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/settings"
)

// Recorder stands between a Host and its module and records both ways. It is the Host that the module gets and the
// Module that is called.
type Recorder struct {
	host balance.Host
	to   divide.Module
	put  func(*Entry)
}

// NewRecorder records an instance from its start. lost is told, once, when the record ends early.
func NewRecorder(w *Writer, host balance.Host, set *settings.Settings, instance int, seed uint64, lost func(error)) *Recorder {
	t := &Recorder{host: host}
	t.put = func(e *Entry) {
		if err := w.Write(e); err != nil && lost != nil {
			lost(err)
			lost = nil
		}
	}
	t.put(&Entry{Kind: "start", Now: host.Now(), Settings: set, No: int64(instance), Seed: seed})
	return t
}

// SetModule gives the module that the tap stands before.
func (t *Recorder) SetModule(m divide.Module) *Recorder {
	t.to = m
	return t
}

func (t *Recorder) event(e *Entry) {
	e.Now = t.host.Now()
	t.put(e)
}

// InvocationArrived and the methods below are divide.Module.
func (t *Recorder) InvocationArrived(id string, op, tenant int, key string, budget, cost float64, retry, write bool) {
	t.event(&Entry{Kind: "arrived", Inv: id, Op: int64(op), Tenant: int64(tenant), Key: key, Time: budget, Cost: cost,
		Yes: retry, Write: write})
	t.to.InvocationArrived(id, op, tenant, key, budget, cost, retry, write)
}

func (t *Recorder) DispatchEnded(id string, no int, node uint32, how balance.Outcome, took float64, done bool,
	report map[string]float64) {
	t.event(&Entry{Kind: "ended", Inv: id, No: int64(no), Node: int64(node), Code: int64(how), Time: took, Yes: done,
		Report: report})
	t.to.DispatchEnded(id, no, node, how, took, done, report)
}

func (t *Recorder) ResponseStarted(id string, no int, node uint32, took float64) {
	t.event(&Entry{Kind: "began", Inv: id, No: int64(no), Node: int64(node), Time: took})
	t.to.ResponseStarted(id, no, node, took)
}

func (t *Recorder) ClientTimedOut(id string) {
	t.event(&Entry{Kind: "lapsed", Inv: id})
	t.to.ClientTimedOut(id)
}

func (t *Recorder) NodesListed(whole bool, list []balance.Node) {
	e := &Entry{Kind: "listed", Yes: whole}
	for _, n := range list {
		e.Line = append(e.Line, &Line{Id: n.ID, Ver: int64(n.Ver), Zone: int64(n.Zone), Model: int64(n.Model),
			Cell: int64(n.Cell), Health: int64(n.Health), Size: n.Size, Started: n.Started})
	}
	t.event(e)
	t.to.NodesListed(whole, list)
}

func (t *Recorder) NodeListFailed() {
	t.event(&Entry{Kind: "list-failed"})
	t.to.NodeListFailed()
}

func (t *Recorder) StageUpdate(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
	t.event(&Entry{Kind: "staged", Ver: int64(ver), Stage: int64(stage), Code: int64(phase), Share: cap, Time: age,
		Yes: reply})
	t.to.StageUpdate(ver, stage, phase, cap, age, reply)
}

func (t *Recorder) VoteFailed(how balance.Outcome) {
	t.event(&Entry{Kind: "vote-failed", Code: int64(how)})
	t.to.VoteFailed(how)
}

func (t *Recorder) BuildStats(ver, op, samples, errors int, mean, age float64) {
	t.event(&Entry{Kind: "tallied", Ver: int64(ver), Op: int64(op), Samples: int64(samples), Errors: int64(errors),
		Cost: mean, Time: age})
	t.to.BuildStats(ver, op, samples, errors, mean, age)
}

func (t *Recorder) WrongAnswer(node uint32, op int, age float64) {
	t.event(&Entry{Kind: "flagged", Node: int64(node), Op: int64(op), Time: age})
	t.to.WrongAnswer(node, op, age)
}

func (t *Recorder) ProbeEnded(node uint32, how balance.Outcome, took float64, report map[string]float64) {
	t.event(&Entry{Kind: "probed", Node: int64(node), Code: int64(how), Time: took, Report: report})
	t.to.ProbeEnded(node, how, took, report)
}

func (t *Recorder) PeerMessage(from int, text string) {
	t.event(&Entry{Kind: "told", No: int64(from), Text: text})
	t.to.PeerMessage(from, text)
}

func (t *Recorder) TimerFired(handle int64) {
	t.event(&Entry{Kind: "woke", No: handle})
	t.to.TimerFired(handle)
}

// OnTrial asks the module; it is no event.
func (t *Recorder) OnTrial(ver int) bool { return t.to.OnTrial(ver) }

// SetLease and the two below it are divide.Module's own.
func (t *Recorder) SetLease(ver, op, left int, until float64) {
	t.event(&Entry{Kind: "leased", Ver: int64(ver), Op: int64(op), Samples: int64(left), Time: until})
	t.to.SetLease(ver, op, left, until)
}

func (t *Recorder) SetCoordinator(votes bool) {
	t.event(&Entry{Kind: "chair", Yes: votes})
	t.to.SetCoordinator(votes)
}

func (t *Recorder) SiblingDispatchEnded(node uint32, ver, op int, how balance.Outcome, took float64, short bool, report map[string]float64) {
	t.event(&Entry{Kind: "elsewhere", Node: int64(node), Ver: int64(ver), Op: int64(op), Code: int64(how), Time: took, Yes: short,
		Report: report})
	t.to.SiblingDispatchEnded(node, ver, op, how, took, short, report)
}

// Now and the methods below are balance.Host.
func (t *Recorder) Now() float64 { return t.host.Now() }

func (t *Recorder) Dispatch(inv string, node uint32, within float64) {
	t.put(&Entry{Kind: "dispatch", Inv: inv, Node: int64(node), Time: within})
	t.host.Dispatch(inv, node, within)
}

func (t *Recorder) Cancel(inv string, no int) {
	t.put(&Entry{Kind: "cancel", Inv: inv, No: int64(no)})
	t.host.Cancel(inv, no)
}

func (t *Recorder) Throttle(inv string, comeBack float64) {
	t.put(&Entry{Kind: "throttle", Inv: inv, Time: comeBack})
	t.host.Throttle(inv, comeBack)
}

func (t *Recorder) Terminate(inv string) {
	t.put(&Entry{Kind: "terminate", Inv: inv})
	t.host.Terminate(inv)
}

func (t *Recorder) Probe(node uint32) {
	t.put(&Entry{Kind: "probe", Node: int64(node)})
	t.host.Probe(node)
}

func (t *Recorder) FetchNodes() {
	t.put(&Entry{Kind: "fetch"})
	t.host.FetchNodes()
}

func (t *Recorder) WatchNodes(on bool) {
	t.put(&Entry{Kind: "watch", Yes: on})
	t.host.WatchNodes(on)
}

func (t *Recorder) Vote(ver, stage int, verdict balance.Verdict) {
	t.put(&Entry{Kind: "vote", Ver: int64(ver), Stage: int64(stage), Code: int64(verdict)})
	t.host.Vote(ver, stage, verdict)
}

func (t *Recorder) SetTimer(after float64, handle int64) {
	t.put(&Entry{Kind: "wake", Time: after, No: handle})
	t.host.SetTimer(after, handle)
}

func (t *Recorder) SendToPeer(peer int, text string) {
	t.put(&Entry{Kind: "tell", No: int64(peer), Text: text})
	t.host.SendToPeer(peer, text)
}

func (t *Recorder) Log(text string) {
	t.put(&Entry{Kind: "log", Text: text})
	t.host.Log(text)
}
