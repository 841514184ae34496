package record

import (
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"arrowcleat/balance"
	"arrowcleat/divide"
)

// ReplayResult is what a replay found.
type ReplayResult struct {
	Events, Calls   int
	Truncated       bool
	FirstDifference string // the first decision that came out different, empty for none
	EventNumber     int    // and at which event, counted from 1
	ClockMs         float64
}

// Replay drives a fresh module with a record's events and compares what it asks for with what was asked for then.
func Replay(r *Reader, fresh func(h balance.Host, start *Entry) divide.Module) (ReplayResult, error) {
	p := &player{r: r}
	start := &Entry{}
	if err := r.Next(start); err != nil || start.Kind != "start" {
		return p.out, errors.Join(errors.New("replay: not a marshal's record: it does not begin with a start"), err)
	}
	p.now = start.Now
	p.event = "start"
	p.read()
	m := fresh(&Recorder{host: quiet{p}, put: p.call}, start)
	for p.settle(); p.next != nil && p.out.FirstDifference == "" && p.err == nil; p.settle() {
		e := p.next
		p.out.Events++
		p.out.EventNumber, p.out.ClockMs, p.event = p.out.Events, e.Now, e.Kind+" "+e.Inv
		p.now = e.Now
		p.read()
		if err := e.tell(m); err != nil {
			return p.out, err
		}
	}
	p.out.Truncated = r.Truncated
	return p.out, p.err
}

type player struct {
	r     *Reader
	now   float64
	event string
	next  *Entry
	out   ReplayResult
	err   error
}

func (p *player) read() {
	e := &Entry{}
	if err := p.r.Next(e); err != nil {
		if err != io.EOF {
			p.err = err
		}
		p.next = nil
		return
	}
	p.next = e
}

var calls = map[string]bool{"dispatch": true, "cancel": true, "throttle": true, "terminate": true, "probe": true,
	"fetch": true, "watch": true, "vote": true, "wake": true, "tell": true, "log": true}

// settle finds what was asked for then and not now.
func (p *player) settle() {
	if p.next != nil && calls[p.next.Kind] {
		p.differs("nothing", p.next)
	}
}

func (p *player) differs(now string, then *Entry) {
	if p.out.FirstDifference == "" {
		p.out.FirstDifference = fmt.Sprintf("after %s: now %s, then %s", p.event, now, then.line())
	}
}

func (e *Entry) line() string {
	if e == nil {
		return "nothing"
	}
	return fmt.Sprint(proto.Clone(e))
}

// call compares one call with the record's next.
func (p *player) call(e *Entry) {
	p.out.Calls++
	if p.out.FirstDifference != "" {
		return
	}
	if p.next == nil && (p.r.Truncated || p.r.MessagesRead > 0) { // the record ended in the middle of an event
		p.r.Truncated = true
		return
	}
	if p.next == nil || !proto.Equal(e, p.next) {
		p.differs(e.line(), p.next)
		return
	}
	p.read()
}

// tell gives an event to a module.
func (e *Entry) tell(m divide.Module) error {
	op, no, node, how := int(e.Op), int(e.No), uint32(e.Node), balance.Outcome(e.Code)
	switch e.Kind {
	case "arrived":
		m.InvocationArrived(e.Inv, op, int(e.Tenant), e.Key, e.Time, e.Cost, e.Yes, e.Write)
	case "ended":
		m.DispatchEnded(e.Inv, no, node, how, e.Time, e.Yes, e.Report)
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
		m.VoteFailed(how)
	case "tallied":
		m.BuildStats(int(e.Ver), op, int(e.Samples), int(e.Errors), e.Cost, e.Time)
	case "flagged":
		m.WrongAnswer(node, op, e.Time)
	case "probed":
		m.ProbeEnded(node, how, e.Time, e.Report)
	case "told":
		m.PeerMessage(no, e.Text)
	case "leased":
		m.SetLease(int(e.Ver), op, int(e.Samples), e.Time)
	case "chair":
		m.SetCoordinator(e.Yes)
	case "elsewhere":
		m.SiblingDispatchEnded(node, int(e.Ver), op, how, e.Time, e.Yes, e.Report)
	case "woke":
		m.TimerFired(e.No)
	default:
		return fmt.Errorf("replay: unknown kind of entry %.40q", e.Kind)
	}
	return nil
}

// quiet is the Host behind the tap of a replay: what is asked for has been compared already.
type quiet struct{ p *player }

func (q quiet) Now() float64                     { return q.p.now }
func (q quiet) Dispatch(string, uint32, float64) {}
func (q quiet) Cancel(string, int)               {}
func (q quiet) Throttle(string, float64)         {}
func (q quiet) Terminate(string)                 {}
func (q quiet) Probe(uint32)                     {}
func (q quiet) FetchNodes()                      {}
func (q quiet) WatchNodes(bool)                  {}
func (q quiet) Vote(int, int, balance.Verdict)   {}
func (q quiet) SetTimer(float64, int64)          {}
func (q quiet) SendToPeer(int, string)           {}
func (q quiet) Log(string)                       {}
