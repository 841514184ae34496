// Package simwire implements the simulator's protocol for any number of instances. It decodes events into calls of an
// instance's Balancer, and encodes the Balancer's calls of its Host. It makes no decisions.
package simwire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"arrowcleat/balance"
	"arrowcleat/internal/brief"
)

// Serve reads batches of events, one a line, from in and writes one reply for each to out, until in ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	s := &session{instances: map[int]*instance{}}
	for {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull { // a batch larger than the buffer
			var rest []byte
			line = append([]byte(nil), line...)
			rest, err = r.ReadBytes('\n')
			line = append(line, rest...)
		}
		if err == io.EOF && len(line) == 0 {
			return nil
		}
		if err != nil && err != io.EOF {
			return err
		}
		if err := s.handleBatch(string(line)); err != nil {
			return err
		}
		if _, err := out.Write(s.out); err != nil {
			return err
		}
	}
}

// session is the state of one process: its instances and the node lists that events refer to.
type session struct {
	nowMs     float64
	out       []byte // reply to the current batch
	first     bool   // no action in out yet
	nodeLists [16][]balance.Node
	instances map[int]*instance // by number; nil for one that has crashed
}

// inputError describes malformed input. Readers panic with it; handleBatch returns it as an error.
type inputError string

// handleBatch handles the events of one batch and leaves the reply in s.out.
func (s *session) handleBatch(line string) (err error) {
	kind := "batch"
	defer func() {
		if p := recover(); p != nil {
			bad, ok := p.(inputError)
			if !ok {
				panic(p)
			}
			err = fmt.Errorf("%s: %s", kind, string(bad))
		}
	}()
	if !gjson.Valid(line) {
		return fmt.Errorf("batch: not valid JSON: %.80q", line)
	}
	batch := event{gjson.Parse(line)}
	if !batch.IsObject() {
		return fmt.Errorf("batch: not an object: %.80q", line)
	}
	s.nowMs = batch.ms("now-s")
	s.out, s.first = append(s.out[:0], `{"output":[`...), true
	batch.list("happened").ForEach(func(_, v gjson.Result) bool {
		kind = "event"
		if !v.IsObject() {
			panic(inputError("not an object"))
		}
		e := event{v}
		kind = e.text("type")
		s.handleEvent(kind, e)
		return true
	})
	s.out = append(s.out, "]}\n"...)
	return nil
}

// handleEvent handles a node list, starts an instance, or passes an event to the instance that it names.
func (s *session) handleEvent(kind string, e event) {
	if kind == "roster" {
		s.setNodeList(e)
		return
	}
	id := e.integer("who")
	if kind == "spawn" {
		host := &instance{session: s, id: id}
		s.instances[id] = host
		host.recoverPanics(func() {
			host.balancer = balance.New(host, brief.Decode(e.object("config")), e.seed("nonce64"))
		})
		return
	}
	i, started := s.instances[id]
	if !instanceEvents[kind] {
		panic(inputError("unknown event type"))
	}
	if !started {
		panic(inputError("field who: no such instance"))
	}
	if i == nil {
		return // it has crashed
	}
	i.recoverPanics(func() { i.deliver(kind, e) })
}

// instanceEvents are the types of events that instances handle.
var instanceEvents = map[string]bool{"topology": true, "new-request": true, "established": true, "wake": true,
	"probe-done": true, "peer-data": true, "crash-now": true, "attempt-end": true, "lapsed": true,
	"stage": true, "metrics": true, "reported-wrong": true}

// deliver calls the method of the Balancer for an event.
func (i *instance) deliver(kind string, e event) {
	switch kind {
	case "new-request":
		i.balancer.InvocationArrived(e.text("ref"), e.integer("lane"), e.optInteger("team"), e.optText("subject"), e.ms("budget-s"),
			e.optMS("cost-s"), e.optBool("is-retry"), e.optBool("write"))
	case "attempt-end":
		i.balancer.DispatchEnded(e.text("ref"), e.integer("send-no"), e.node(), e.outcome(), e.optMS("cost-time-s"),
			e.bool("no-more"), e.loadReport())
	case "wake":
		i.balancer.TimerFired(e.int64("handle"))
	case "lapsed":
		i.balancer.ClientTimedOut(e.text("ref"))
	case "established":
		i.balancer.ResponseStarted(e.text("ref"), e.integer("send-no"), e.node(), e.optMS("cost-time-s"))
	case "topology":
		form := e.text("form")
		switch form {
		case "error":
			i.balancer.NodeListFailed()
		case "diff", "snapshot", "disk":
			table := e.integer("table")
			if table < 0 || table >= len(i.session.nodeLists) {
				panic(inputError("field table: no such node list"))
			}
			i.balancer.NodesListed(form != "diff", i.session.nodeLists[table])
		default:
			panic(inputError("field form: unknown word " + strconv.Quote(form)))
		}
	case "stage":
		outcome := e.outcome()
		reply := e.integer("code") == 1
		if outcome != balance.Succeeded {
			i.balancer.VoteFailed(outcome)
			return
		}
		phase := e.integer("standing")
		if phase < 0 || phase > 3 {
			panic(inputError("field standing: out of range"))
		}
		i.balancer.StageUpdate(e.integer("release"), e.integer("ring"), balance.Phase(phase), e.num("limit-share"),
			e.optMS("old-s"), reply)
	case "metrics":
		i.balancer.BuildStats(e.integer("release"), e.integer("lane"), e.integer("samples"), e.integer("errors"),
			e.optMS("cost-time-s"), e.optMS("old-s"))
	case "reported-wrong":
		i.balancer.WrongAnswer(e.node(), e.integer("lane"), e.optMS("old-s"))
	case "probe-done":
		i.balancer.ProbeEnded(e.node(), e.outcome(), e.optMS("cost-time-s"), e.loadReport())
	case "peer-data":
		i.balancer.PeerMessage(e.integer("from"), e.text("content"))
	case "crash-now":
		i.session.instances[i.id] = nil
	default:
		panic(inputError("unknown event type"))
	}
}

// setNodeList stores a node list under its table number, for later topology events.
func (s *session) setNodeList(e event) {
	table := e.integer("table")
	if table < 0 || table >= len(s.nodeLists) {
		panic(inputError("field table: out of range"))
	}
	var nodes []balance.Node
	e.list("members-list").ForEach(func(_, v gjson.Result) bool {
		if !v.IsObject() {
			panic(inputError("field members-list: an entry is not an object"))
		}
		entry := event{v}
		n := balance.Node{ID: entry.node(), Ver: entry.integer("build"), Zone: entry.optInteger("dc"),
			Model: entry.optInteger("generation-hw"), Cell: entry.optInteger("pack"), Size: entry.optNum("rating", 1),
			Started: entry.optMS("start-time-s")}
		switch word := entry.text("health"); word {
		case "SERVING":
		case "DRAINING":
			n.Health = balance.Draining
		case "DELETED":
			n.Health = balance.Gone
		default:
			panic(inputError("field health: unknown word " + strconv.Quote(word)))
		}
		nodes = append(nodes, n)
		return true
	})
	s.nodeLists[table] = nodes
}

// instance is the Host of one Balancer.
type instance struct {
	session  *session
	id       int
	balancer *balance.Balancer
}

// recoverPanics calls f and reports a panic of the module to the simulator. An inputError is passed on to the caller.
func (i *instance) recoverPanics(f func()) {
	defer func() {
		if p := recover(); p != nil {
			if bad, ok := p.(inputError); ok {
				panic(bad)
			}
			i.beginAction("bail-out")
			i.appendText("text", fmt.Sprint(p))
			i.endAction()
		}
	}()
	f()
}

// beginAction starts an object in the reply's list of actions.
func (i *instance) beginAction(kind string) {
	if !i.session.first {
		i.session.out = append(i.session.out, ',')
	}
	i.session.first = false
	i.session.out = append(i.session.out, `{"type":"`...)
	i.session.out = append(i.session.out, kind...)
	i.session.out = append(i.session.out, '"')
	i.appendInt("who", int64(i.id))
}

// appendName appends the name of a field; its value follows.
func (i *instance) appendName(name string) {
	i.session.out = append(i.session.out, ',', '"')
	i.session.out = append(i.session.out, name...)
	i.session.out = append(i.session.out, '"', ':')
}

func (i *instance) appendInt(name string, v int64) {
	i.appendName(name)
	i.session.out = strconv.AppendInt(i.session.out, v, 10)
}

func (i *instance) appendSeconds(name string, ms float64) {
	i.appendName(name)
	i.session.out = strconv.AppendFloat(i.session.out, ms/1000, 'f', -1, 64)
}

func (i *instance) appendText(name, v string) {
	i.appendName(name)
	i.session.out = gjson.AppendJSONString(i.session.out, v)
}

// endAction ends the object that beginAction started.
func (i *instance) endAction() { i.session.out = append(i.session.out, '}') }

// Now returns the time of the current batch in ms. It and the methods below implement balance.Host.
func (i *instance) Now() float64 { return i.session.nowMs }

// Dispatch implements balance.Host.
func (i *instance) Dispatch(inv string, node uint32, timeLimitMs float64) {
	i.beginAction("relay")
	i.appendText("ref", inv)
	i.appendSeconds("allow-for-s", timeLimitMs)
	i.appendInt("node", int64(node))
	i.endAction()
}

// Cancel implements balance.Host.
func (i *instance) Cancel(inv string, attempt int) {
	i.beginAction("abandon")
	i.appendText("ref", inv)
	i.appendInt("send-no", int64(attempt))
	i.endAction()
}

// Throttle implements balance.Host.
func (i *instance) Throttle(inv string, retryAfterMs float64) {
	i.beginAction("push-back")
	i.appendText("ref", inv)
	i.appendSeconds("stay-away-s", retryAfterMs)
	i.endAction()
}

// Terminate implements balance.Host.
func (i *instance) Terminate(inv string) {
	i.beginAction("respond-error")
	i.appendText("ref", inv)
	i.endAction()
}

// Probe implements balance.Host.
func (i *instance) Probe(node uint32) {
	i.beginAction("ping")
	i.appendInt("node", int64(node))
	i.endAction()
}

// FetchNodes implements balance.Host.
func (i *instance) FetchNodes() {
	i.beginAction("pull")
	i.endAction()
}

// WatchNodes implements balance.Host.
func (i *instance) WatchNodes(on bool) {
	i.beginAction("keep-informed")
	i.appendName("active")
	i.session.out = strconv.AppendBool(i.session.out, on)
	i.endAction()
}

// Vote implements balance.Host.
func (i *instance) Vote(ver, stage int, verdict balance.Verdict) {
	i.beginAction("cast-vote")
	i.appendInt("code", int64(verdict))
	i.appendInt("ring", int64(stage))
	i.appendInt("release", int64(ver))
	i.endAction()
}

// SetTimer implements balance.Host.
func (i *instance) SetTimer(afterMs float64, handle int64) {
	i.beginAction("timer")
	i.appendSeconds("delay-s", afterMs)
	i.appendInt("handle", handle)
	i.endAction()
}

// SendToPeer implements balance.Host.
func (i *instance) SendToPeer(peer int, text string) {
	i.beginAction("write-peer")
	if peer == balance.AllPeers {
		i.appendName("dst")
		i.session.out = append(i.session.out, "null"...)
	} else {
		i.appendInt("dst", int64(peer))
	}
	i.appendText("content", text)
	i.endAction()
}

// Log implements balance.Host.
func (i *instance) Log(text string) {
	i.beginAction("journal-line")
	i.appendText("text", text)
	i.endAction()
}
