// Package simwire speaks the simulator's wire for any number of instances: it decodes an event and calls
// the instance's Balancer, and encodes what the Balancer asks of its Host. It decides nothing.
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

// Serve reads batches from in and writes one reply for each to out, until in ends.
func Serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := &session{instances: map[int]*instance{}}
	for {
		line, err := r.ReadSlice('\n')
		if err == bufio.ErrBufferFull { // a longer batch: take a copy and read on
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
		if err := w.handleBatch(string(line)); err != nil {
			return err
		}
		if _, err := out.Write(w.out); err != nil {
			return err
		}
	}
}

// session is the state of one process: its instances and the rosters they refer to.
type session struct {
	nowMs     float64
	out       []byte
	first     bool
	nodeLists [16][]balance.Node
	instances map[int]*instance
}

// inputError is a plain message about what came in malformed.
type inputError string

func (w *session) handleBatch(line string) (err error) {
	kind := "batch"
	defer func() {
		if p := recover(); p != nil {
			f, bad := p.(inputError)
			if !bad {
				panic(p)
			}
			err = fmt.Errorf("%s: %s", kind, string(f))
		}
	}()
	if !gjson.Valid(line) {
		return fmt.Errorf("batch: not valid JSON: %.80q", line)
	}
	b := event{gjson.Parse(line)}
	if !b.IsObject() {
		return fmt.Errorf("batch: not an object: %.80q", line)
	}
	w.nowMs = b.ms("now-s")
	w.out, w.first = append(w.out[:0], `{"output":[`...), true
	b.list("happened").ForEach(func(_, v gjson.Result) bool {
		kind = "event"
		if !v.IsObject() {
			panic(inputError("not an object"))
		}
		e := event{v}
		kind = e.text("type")
		w.handleEvent(kind, e)
		return true
	})
	w.out = append(w.out, "]}\n"...)
	return nil
}

func (w *session) handleEvent(kind string, e event) {
	if kind == "roster" {
		w.setNodeList(e)
		return
	}
	who := e.integer("who")
	if kind == "spawn" {
		host := &instance{session: w, id: who}
		w.instances[who] = host
		host.recoverPanics(func() {
			host.balancer = balance.New(host, brief.Settings(e.object("config")), e.seed("nonce64"))
		})
		return
	}
	i, started := w.instances[who]
	if !instanceEvents[kind] {
		panic(inputError("unknown message"))
	}
	if !started {
		panic(inputError("field who: no such instance was started"))
	}
	if i == nil {
		return // it was killed
	}
	i.recoverPanics(func() { i.deliver(kind, e) })
}

var instanceEvents = map[string]bool{"topology": true, "new-request": true, "established": true, "wake": true,
	"probe-done": true, "peer-data": true, "crash-now": true, "attempt-end": true, "lapsed": true,
	"stage": true, "metrics": true, "reported-wrong": true}

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
				panic(inputError("field table: no such roster"))
			}
			i.balancer.NodesListed(form != "diff", i.session.nodeLists[table])
		default:
			panic(inputError("field form: unknown word " + strconv.Quote(form)))
		}
	case "stage":
		ending := e.outcome()
		reply := e.integer("code") == 1
		if ending != balance.Succeeded {
			i.balancer.VoteFailed(ending)
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
		panic(inputError("unknown message"))
	}
}

func (w *session) setNodeList(e event) {
	table := e.integer("table")
	if table < 0 || table >= len(w.nodeLists) {
		panic(inputError("field table: out of range"))
	}
	var nodes []balance.Node
	e.list("members-list").ForEach(func(_, v gjson.Result) bool {
		if !v.IsObject() {
			panic(inputError("field members-list: an entry is not an object"))
		}
		m := event{v}
		n := balance.Node{ID: m.node(), Ver: m.integer("build"), Zone: m.optInteger("dc"),
			Model: m.optInteger("generation-hw"), Cell: m.optInteger("pack"), Size: m.optNum("rating", 1),
			Started: m.optMS("start-time-s")}
		switch word := m.text("health"); word {
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
	w.nodeLists[table] = nodes
}

// instance is the Host of one Balancer.
type instance struct {
	session  *session
	id       int
	balancer *balance.Balancer
}

// recoverPanics turns a panic of the module into a bail-out; a fault of the wire goes on to the caller.
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

func (i *instance) endAction() { i.session.out = append(i.session.out, '}') }

// Now and the methods below make an instance a balance.Host.
func (i *instance) Now() float64 { return i.session.nowMs }

func (i *instance) Dispatch(inv string, node uint32, timeLimit float64) {
	i.beginAction("relay")
	i.appendText("ref", inv)
	i.appendSeconds("allow-for-s", timeLimit)
	i.appendInt("node", int64(node))
	i.endAction()
}

func (i *instance) Cancel(inv string, dispatch int) {
	i.beginAction("abandon")
	i.appendText("ref", inv)
	i.appendInt("send-no", int64(dispatch))
	i.endAction()
}

func (i *instance) Throttle(inv string, comeBack float64) {
	i.beginAction("push-back")
	i.appendText("ref", inv)
	i.appendSeconds("stay-away-s", comeBack)
	i.endAction()
}

func (i *instance) Terminate(inv string) {
	i.beginAction("respond-error")
	i.appendText("ref", inv)
	i.endAction()
}

func (i *instance) Probe(node uint32) {
	i.beginAction("ping")
	i.appendInt("node", int64(node))
	i.endAction()
}

func (i *instance) FetchNodes() {
	i.beginAction("pull")
	i.endAction()
}

func (i *instance) WatchNodes(on bool) {
	i.beginAction("keep-informed")
	i.appendName("active")
	i.session.out = strconv.AppendBool(i.session.out, on)
	i.endAction()
}

func (i *instance) Vote(ver, stage int, verdict balance.Verdict) {
	i.beginAction("cast-vote")
	i.appendInt("code", int64(verdict))
	i.appendInt("ring", int64(stage))
	i.appendInt("release", int64(ver))
	i.endAction()
}

func (i *instance) SetTimer(after float64, handle int64) {
	i.beginAction("timer")
	i.appendSeconds("delay-s", after)
	i.appendInt("handle", handle)
	i.endAction()
}

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

func (i *instance) Log(text string) {
	i.beginAction("journal-line")
	i.appendText("text", text)
	i.endAction()
}
