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
	w := &wire{instances: map[int]*instance{}}
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
		if err := w.batch(string(line)); err != nil {
			return err
		}
		if _, err := out.Write(w.out); err != nil {
			return err
		}
	}
}

// wire is the state of one process: its instances and the rosters they refer to.
type wire struct {
	now       float64
	out       []byte
	first     bool
	rosters   [16][]balance.Node
	instances map[int]*instance
}

// fault is a plain message about what came in malformed.
type fault string

func (w *wire) batch(line string) (err error) {
	kind := "batch"
	defer func() {
		if p := recover(); p != nil {
			f, bad := p.(fault)
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
	w.now = b.ms("now-s")
	w.out, w.first = append(w.out[:0], `{"output":[`...), true
	b.list("happened").ForEach(func(_, v gjson.Result) bool {
		kind = "event"
		if !v.IsObject() {
			panic(fault("not an object"))
		}
		e := event{v}
		kind = e.text("type")
		w.event(kind, e)
		return true
	})
	w.out = append(w.out, "]}\n"...)
	return nil
}

func (w *wire) event(kind string, e event) {
	if kind == "roster" {
		w.roster(e)
		return
	}
	who := e.whole("who")
	if kind == "spawn" {
		host := &instance{wire: w, who: who}
		w.instances[who] = host
		host.guard(func() {
			host.b = balance.New(host, brief.Decode(e.object("config")), e.seed("nonce64"))
		})
		return
	}
	i, started := w.instances[who]
	if !known[kind] {
		panic(fault("unknown message"))
	}
	if !started {
		panic(fault("field who: no such instance was started"))
	}
	if i == nil {
		return // it was killed
	}
	i.guard(func() { i.event(kind, e) })
}

var known = map[string]bool{"topology": true, "new-request": true, "established": true, "wake": true,
	"probe-done": true, "peer-data": true, "crash-now": true, "attempt-end": true, "lapsed": true,
	"stage": true, "metrics": true, "reported-wrong": true}

func (i *instance) event(kind string, e event) {
	switch kind {
	case "new-request":
		i.b.InvocationArrived(e.text("ref"), e.whole("lane"), e.optWhole("team"), e.optText("subject"), e.ms("budget-s"),
			e.optMS("cost-s"), e.optBool("is-retry"), e.optBool("write"))
	case "attempt-end":
		i.b.DispatchEnded(e.text("ref"), e.whole("send-no"), e.node(), e.ending(), e.optMS("cost-time-s"),
			e.bool("no-more"), e.load())
	case "wake":
		i.b.TimerFired(e.int64("handle"))
	case "lapsed":
		i.b.ClientTimedOut(e.text("ref"))
	case "established":
		i.b.ResponseStarted(e.text("ref"), e.whole("send-no"), e.node(), e.optMS("cost-time-s"))
	case "topology":
		form := e.text("form")
		switch form {
		case "error":
			i.b.NodeListFailed()
		case "diff", "snapshot", "disk":
			table := e.whole("table")
			if table < 0 || table >= len(i.wire.rosters) {
				panic(fault("field table: no such roster"))
			}
			i.b.NodesListed(form != "diff", i.wire.rosters[table])
		default:
			panic(fault("field form: unknown word " + strconv.Quote(form)))
		}
	case "stage":
		ending := e.ending()
		reply := e.whole("code") == 1
		if ending != balance.Succeeded {
			i.b.VoteFailed(ending)
			return
		}
		phase := e.whole("standing")
		if phase < 0 || phase > 3 {
			panic(fault("field standing: out of range"))
		}
		i.b.StageUpdate(e.whole("release"), e.whole("ring"), balance.Phase(phase), e.num("limit-share"),
			e.optMS("old-s"), reply)
	case "metrics":
		i.b.BuildStats(e.whole("release"), e.whole("lane"), e.whole("samples"), e.whole("errors"),
			e.optMS("cost-time-s"), e.optMS("old-s"))
	case "reported-wrong":
		i.b.WrongAnswer(e.node(), e.whole("lane"), e.optMS("old-s"))
	case "probe-done":
		i.b.ProbeEnded(e.node(), e.ending(), e.optMS("cost-time-s"), e.load())
	case "peer-data":
		i.b.PeerMessage(e.whole("from"), e.text("content"))
	case "crash-now":
		i.wire.instances[i.who] = nil
	default:
		panic(fault("unknown message"))
	}
}

func (w *wire) roster(e event) {
	table := e.whole("table")
	if table < 0 || table >= len(w.rosters) {
		panic(fault("field table: out of range"))
	}
	var nodes []balance.Node
	e.list("members-list").ForEach(func(_, v gjson.Result) bool {
		if !v.IsObject() {
			panic(fault("field members-list: an entry is not an object"))
		}
		m := event{v}
		n := balance.Node{ID: m.node(), Ver: m.whole("build"), Zone: m.optWhole("dc"),
			Model: m.optWhole("generation-hw"), Cell: m.optWhole("pack"), Size: m.optNum("rating", 1),
			Started: m.optMS("start-time-s")}
		switch word := m.text("health"); word {
		case "SERVING":
		case "DRAINING":
			n.Health = balance.Draining
		case "DELETED":
			n.Health = balance.Gone
		default:
			panic(fault("field health: unknown word " + strconv.Quote(word)))
		}
		nodes = append(nodes, n)
		return true
	})
	w.rosters[table] = nodes
}

// instance is the Host of one Balancer.
type instance struct {
	wire *wire
	who  int
	b    *balance.Balancer
}

// guard turns a panic of the module into a bail-out; a fault of the wire goes on to the caller.
func (i *instance) guard(f func()) {
	defer func() {
		if p := recover(); p != nil {
			if bad, ok := p.(fault); ok {
				panic(bad)
			}
			i.act("bail-out")
			i.text("text", fmt.Sprint(p))
			i.end()
		}
	}()
	f()
}

func (i *instance) act(kind string) {
	if !i.wire.first {
		i.wire.out = append(i.wire.out, ',')
	}
	i.wire.first = false
	i.wire.out = append(i.wire.out, `{"type":"`...)
	i.wire.out = append(i.wire.out, kind...)
	i.wire.out = append(i.wire.out, '"')
	i.int("who", int64(i.who))
}

func (i *instance) name(name string) {
	i.wire.out = append(i.wire.out, ',', '"')
	i.wire.out = append(i.wire.out, name...)
	i.wire.out = append(i.wire.out, '"', ':')
}

func (i *instance) int(name string, v int64) {
	i.name(name)
	i.wire.out = strconv.AppendInt(i.wire.out, v, 10)
}

func (i *instance) seconds(name string, ms float64) {
	i.name(name)
	i.wire.out = strconv.AppendFloat(i.wire.out, ms/1000, 'f', -1, 64)
}

func (i *instance) text(name, v string) {
	i.name(name)
	i.wire.out = gjson.AppendJSONString(i.wire.out, v)
}

func (i *instance) end() { i.wire.out = append(i.wire.out, '}') }

// Now and the methods below make an instance a balance.Host.
func (i *instance) Now() float64 { return i.wire.now }

func (i *instance) Dispatch(inv string, node uint32, timeLimit float64) {
	i.act("relay")
	i.text("ref", inv)
	i.seconds("allow-for-s", timeLimit)
	i.int("node", int64(node))
	i.end()
}

func (i *instance) Cancel(inv string, dispatch int) {
	i.act("abandon")
	i.text("ref", inv)
	i.int("send-no", int64(dispatch))
	i.end()
}

func (i *instance) Throttle(inv string, comeBack float64) {
	i.act("push-back")
	i.text("ref", inv)
	i.seconds("stay-away-s", comeBack)
	i.end()
}

func (i *instance) Terminate(inv string) {
	i.act("respond-error")
	i.text("ref", inv)
	i.end()
}

func (i *instance) Probe(node uint32) {
	i.act("ping")
	i.int("node", int64(node))
	i.end()
}

func (i *instance) FetchNodes() {
	i.act("pull")
	i.end()
}

func (i *instance) WatchNodes(on bool) {
	i.act("keep-informed")
	i.name("active")
	i.wire.out = strconv.AppendBool(i.wire.out, on)
	i.end()
}

func (i *instance) Vote(ver, stage int, verdict balance.Verdict) {
	i.act("cast-vote")
	i.int("code", int64(verdict))
	i.int("ring", int64(stage))
	i.int("release", int64(ver))
	i.end()
}

func (i *instance) SetTimer(after float64, handle int64) {
	i.act("timer")
	i.seconds("delay-s", after)
	i.int("handle", handle)
	i.end()
}

func (i *instance) SendToPeer(peer int, text string) {
	i.act("write-peer")
	if peer == balance.AllPeers {
		i.name("dst")
		i.wire.out = append(i.wire.out, "null"...)
	} else {
		i.int("dst", int64(peer))
	}
	i.text("content", text)
	i.end()
}

func (i *instance) Log(text string) {
	i.act("journal-line")
	i.text("text", text)
	i.end()
}
