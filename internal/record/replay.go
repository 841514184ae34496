package record

import (
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"arrowcleat/balance"
	"arrowcleat/divide"
)

// ReplayResult is the result of a replay.
type ReplayResult struct {
	Events, Calls   int
	Truncated       bool
	FirstDifference string  // the first decision that differs from the record; empty for none
	EventNumber     int     // the last event delivered, counted from 1; with a difference, the event that led to it
	ClockMs         float64 // the module's clock at that event
}

// Replay delivers the events of a record to a new module and compares the calls that it makes with the recorded ones.
func Replay(r *Reader, newModule func(h balance.Host, start *Entry) divide.Module) (ReplayResult, error) {
	p := &player{reader: r}
	start := &Entry{}
	if err := r.Next(start); err != nil || start.Kind != "start" {
		return p.result, errors.Join(errors.New("replay: not the record of a marshal: the first entry is not a start"), err)
	}
	p.now = start.Now
	p.event = "start"
	p.readNext()
	m := newModule(&Recorder{host: replayHost{p}, record: p.compareCall}, start)
	for p.checkMissingCall(); p.next != nil && p.result.FirstDifference == "" && p.err == nil; p.checkMissingCall() {
		e := p.next
		p.result.Events++
		p.result.EventNumber, p.result.ClockMs, p.event = p.result.Events, e.Now, e.Kind+" "+e.Inv
		p.now = e.Now
		p.readNext()
		if err := e.deliver(m); err != nil {
			return p.result, err
		}
	}
	p.result.Truncated = r.Truncated
	return p.result, p.err
}

// player is the state of a replay.
type player struct {
	reader *Reader
	now    float64 // clock of the module, ms
	event  string  // the last event delivered, for messages
	next   *Entry  // the next entry of the record; nil at its end
	result ReplayResult
	err    error
}

func (p *player) readNext() {
	e := &Entry{}
	if err := p.reader.Next(e); err != nil {
		if err != io.EOF {
			p.err = err
		}
		p.next = nil
		return
	}
	p.next = e
}

// callKinds are the kinds of entries that are calls of the module; all others are events.
var callKinds = map[string]bool{"dispatch": true, "cancel": true, "throttle": true, "terminate": true, "probe": true,
	"fetch": true, "watch": true, "vote": true, "wake": true, "tell": true, "log": true}

// checkMissingCall reports a recorded call that the replayed module did not make.
func (p *player) checkMissingCall() {
	if p.next != nil && callKinds[p.next.Kind] {
		p.setDifference("nothing", p.next)
	}
}

// setDifference stores the first difference between the calls of the replay and the recorded ones.
func (p *player) setDifference(now string, recorded *Entry) {
	if p.result.FirstDifference == "" {
		p.result.FirstDifference = fmt.Sprintf("after %s: now %s, recorded %s", p.event, now, recorded.describe())
	}
}

func (e *Entry) describe() string {
	if e == nil {
		return "nothing"
	}
	return fmt.Sprint(proto.Clone(e))
}

// compareCall compares a call of the module with the next entry of the record.
func (p *player) compareCall(e *Entry) {
	p.result.Calls++
	if p.result.FirstDifference != "" {
		return
	}
	if p.next == nil && (p.reader.Truncated || p.reader.MessagesRead > 0) { // the record ends between the calls of an event
		p.reader.Truncated = true
		return
	}
	if p.next == nil || !proto.Equal(e, p.next) {
		p.setDifference(e.describe(), p.next)
		return
	}
	p.readNext()
}

// deliver calls the module with the event.
func (e *Entry) deliver(m divide.Module) error {
	op, no, node, outcome := int(e.Op), int(e.No), uint32(e.Node), balance.Outcome(e.Code)
	switch e.Kind {
	case "arrived":
		m.InvocationArrived(e.Inv, op, int(e.Tenant), e.Key, e.Time, e.Cost, e.Yes, e.Write)
	case "ended":
		m.DispatchEnded(e.Inv, no, node, outcome, e.Time, e.Yes, e.Report)
	case "began":
		m.ResponseStarted(e.Inv, no, node, e.Time)
	case "lapsed":
		m.ClientTimedOut(e.Inv)
	case "listed":
		var list []balance.Node
		for _, l := range e.Line {
			list = append(list, balance.Node{ID: l.Id, Ver: int(l.Ver), Zone: int(l.Zone), Model: int(l.Model),
				Cell: int(l.Cell), Health: balance.Health(l.Health), Size: l.Size, Started: l.Started})
		}
		m.NodesListed(e.Yes, list)
	case "list-failed":
		m.NodeListFailed()
	case "staged":
		m.StageUpdate(int(e.Ver), int(e.Stage), balance.Phase(e.Code), e.Share, e.Time, e.Yes)
	case "vote-failed":
		m.VoteFailed(outcome)
	case "tallied":
		m.BuildStats(int(e.Ver), op, int(e.Samples), int(e.Errors), e.Cost, e.Time)
	case "flagged":
		m.WrongAnswer(node, op, e.Time)
	case "probed":
		m.ProbeEnded(node, outcome, e.Time, e.Report)
	case "told":
		m.PeerMessage(no, e.Text)
	case "leased":
		m.SetLease(int(e.Ver), op, int(e.Samples), e.Time)
	case "chair":
		m.SetCoordinator(e.Yes)
	case "elsewhere":
		m.SiblingDispatchEnded(node, int(e.Ver), op, outcome, e.Time, e.Yes, e.Report)
	case "woke":
		m.TimerFired(e.No)
	default:
		return fmt.Errorf("replay: unknown kind of entry %.40q", e.Kind)
	}
	return nil
}

// replayHost is the Host of a replayed module. It ignores all calls: the Recorder in front of it has compared them.
type replayHost struct{ p *player }

// Now returns the clock time of the event that is replayed.
func (h replayHost) Now() float64 { return h.p.now }

// The remaining methods of replayHost ignore the calls of the module.

func (h replayHost) Dispatch(string, uint32, float64) {}
func (h replayHost) Cancel(string, int)               {}
func (h replayHost) Throttle(string, float64)         {}
func (h replayHost) Terminate(string)                 {}
func (h replayHost) Probe(uint32)                     {}
func (h replayHost) FetchNodes()                      {}
func (h replayHost) WatchNodes(bool)                  {}
func (h replayHost) Vote(int, int, balance.Verdict)   {}
func (h replayHost) SetTimer(float64, int64)          {}
func (h replayHost) SendToPeer(int, string)           {}
func (h replayHost) Log(string)                       {}
