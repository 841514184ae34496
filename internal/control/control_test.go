package control

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowcleat/balance"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func node(id uint32) NodeEntry {
	return NodeEntry{Node: balance.Node{ID: id, Ver: 1, Size: 1.5}, Address: "127.0.0.1:7", Incarnation: 9, UptimeMs: 12}
}

// A line of the roster is read as it was written; what is no line is an error with its place.
func FuzzLine(f *testing.F) {
	f.Add(string(AppendNode(nil, node(3))))
	f.Add("NODE 1 x 1 0 0 0 serving 1 0 0")
	f.Fuzz(func(t *testing.T, text string) {
		l, err := ParseNode(text)
		if err != nil {
			return
		}
		l.UptimeMs = float64(int64(l.UptimeMs)) // written as whole ms
		again, err := ParseNode(string(AppendNode(nil, l)))
		if err != nil || again != l {
			t.Fatalf("%q: %+v, then %+v, %v", text, l, again, err)
		}
	})
}

func FuzzNews(f *testing.F) {
	for _, s := range []string{"STAGE 2 0 trial 0.1 5", "VOTED 1 ok 2 0 trial 0.1 5", "VOTED 1 busy", "TALLY 2 0 10 1 5 5", "FLAG 1 0 5"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		told := 0
		c := &RolloutClient{OnStageUpdate: func(_, stage int, _ balance.Phase, cap, age float64, _ bool) {
			if stage < 0 || !(cap >= 0 && cap <= 1) || !(age >= 0) {
				t.Fatalf("%q tells stage %d cap %v age %v", text, stage, cap, age)
			}
			told++
		}, OnVoteFailed: func(balance.Ending) { told++ }, OnWrongAnswer: func(uint32, int, float64) { told++ },
			OnBuildStats: func(_, _, samples, errors int, _, _ float64) {
				if errors > samples || errors < 0 {
					t.Fatalf("%q tells %d of %d", text, errors, samples)
				}
				told++
			}}
		if err := c.HandleLine(text); err != nil && told > 0 {
			t.Fatalf("%q is an error, %v, and was told", text, err)
		}
	})
}

func FuzzTold(f *testing.F) {
	f.Add(AppendPeerMessage(nil, 3, "2 1 0"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if from, text, err := ParsePeerMessage(b); err == nil && (from < 0 || len(text) > MaxMessageBytes) {
			t.Fatalf("%q is from %d with %d bytes", b, from, len(text))
		}
	})
}

// Lists that come twice, out of order or with one missing in between do no harm.
func TestRosterNews(t *testing.T) {
	var got []string
	r := &RegistryClient{OnNodesListed: func(whole bool, lines []NodeEntry) { got = append(got, fmt.Sprint(whole, len(lines))) }}
	step := func(whole bool, epoch, from, version uint64, want string) {
		t.Helper()
		got = nil
		r.applyList(whole, epoch, from, version, make([]NodeEntry, version))
		if s := strings.Join(got, " "); s != want {
			t.Errorf("list %d to %d of epoch %d: took %q, not %q", from, version, epoch, s, want)
		}
	}
	step(false, 7, 0, 1, "") // of an epoch that is not known
	step(true, 7, 0, 2, "true 2")
	step(false, 7, 2, 3, "false 3")
	step(false, 7, 2, 3, "")        // twice
	step(false, 7, 1, 2, "")        // overtaken
	step(false, 7, 4, 5, "")        // one is missing
	step(false, 7, 1, 4, "false 4") // overlaps what is had: the lines are the newest anyway
	step(true, 7, 0, 3, "")         // an old whole one
	step(true, 8, 0, 1, "true 1")   // another roster
}

// peer takes one connection after the other and plays a script on each.
type peer struct {
	ln    net.Listener
	wg    sync.WaitGroup
	lines chan string
}

func listen(t *testing.T, play func(n int, l *LineConn, lines chan string)) *peer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{ln: ln, lines: make(chan string, 100)}
	p.wg.Go(func() {
		for n := 0; ; n++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			play(n, NewLineConn(nc), p.lines)
			nc.Close()
		}
	})
	t.Cleanup(func() { ln.Close(); p.wg.Wait() })
	return p
}

func (p *peer) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-p.lines:
		if got != want {
			t.Errorf("heard %q, not %q", got, want)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("%q never came", want)
	}
}

func run(t *testing.T, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// A roster that breaks, talks nonsense or sends an endless line is left and connected to again; the watch goes on from
// the version that is held.
func TestRosterReconnects(t *testing.T) {
	p := listen(t, func(n int, l *LineConn, lines chan string) {
		for range 2 {
			line, err := l.NextLine()
			if err != nil {
				return
			}
			lines <- line
		}
		switch n {
		case 0:
			l.PrintfLine("LIST whole 5 0 3 1\r\n%s", AppendNode(nil, node(1)))
		case 1:
			l.PrintfLine("NONSENSE")
			l.NextLine()
		case 2:
			io.WriteString(l.bounded.Conn, strings.Repeat("x", 1<<20))
			l.NextLine()
		default:
			l.NextLine()
		}
	})
	listed := make(chan int, 10)
	r := &RegistryClient{Address: p.ln.Addr().String(), Number: 4, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler), OnNodesListed: func(_ bool, lines []NodeEntry) { listed <- len(lines) }, OnNodeListFailed: func() {}}
	run(t, r.Run)
	p.expect(t, "HELLO 4")
	p.expect(t, "WATCH 0 0")
	if n := <-listed; n != 1 {
		t.Errorf("%d lines", n)
	}
	for range 3 {
		p.expect(t, "HELLO 4")
		p.expect(t, "WATCH 5 3")
	}
}

// Where the list is to be asked for, a call that fails or a watch that breaks is told, and nothing is asked by itself.
func TestRosterAsked(t *testing.T) {
	p := listen(t, func(n int, l *LineConn, lines chan string) {
		for {
			line, err := l.NextLine()
			if err != nil {
				return
			}
			lines <- line
			if strings.HasPrefix(line, "FETCH") {
				l.PrintfLine("FAILED")
			} else if strings.HasPrefix(line, "WATCH") {
				return
			}
		}
	})
	failed := make(chan bool, 10)
	r := &RegistryClient{Address: p.ln.Addr().String(), WatchOnDemand: true, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
		Log: slog.New(slog.DiscardHandler), OnNodesListed: func(bool, []NodeEntry) {}, OnNodeListFailed: func() { failed <- true }}
	r.Fetch() // there is no connection yet
	<-failed
	run(t, r.Run)
	p.expect(t, "HELLO 0")
	r.Fetch()
	p.expect(t, "FETCH")
	<-failed
	r.Watch(true)
	p.expect(t, "WATCH 0 0")
	<-failed
	p.expect(t, "HELLO 0")
	select {
	case line := <-p.lines:
		t.Errorf("%q was asked by itself", line)
	case <-failed:
		t.Error("a failure nobody asked for")
	case <-time.After(50 * time.Millisecond):
	}
}

// A vote gets one ending: its answer, an error, or a time-out; what comes later counts no more.
func TestVotes(t *testing.T) {
	p := listen(t, func(_ int, l *LineConn, lines chan string) {
		for {
			line, err := l.NextLine()
			if err != nil {
				return
			}
			lines <- line
			switch id, ver, _, _, err := ParseVote(line); {
			case err != nil:
			case ver == 2:
				l.PrintfLine("VOTED %d ok 2 1 trial 0.5 7", id)
				l.PrintfLine("VOTED %d ok 2 1 trial 0.5 7", id)
			case ver == 3:
				l.PrintfLine("VOTED %d refused", id)
			case ver == 4:
				time.AfterFunc(80*time.Millisecond, func() { l.PrintfLine("VOTED %d ok 4 1 trial 0.5 7", id) })
			}
		}
	})
	got := make(chan string, 10)
	c := &RolloutClient{Address: p.ln.Addr().String(), Number: 1, InitialBackoff: time.Millisecond, MaxBackoff: 10 * time.Millisecond,
		VoteTimeout: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
			got <- fmt.Sprint("staged ", ver, stage, phase, cap, age, reply)
		}, OnVoteFailed: func(how balance.Ending) { got <- fmt.Sprint("failed ", how) }}
	c.Vote(1, 0, balance.On) // it never left
	next := func(want string) {
		t.Helper()
		select {
		case s := <-got:
			if s != want {
				t.Errorf("%q, not %q", s, want)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%q never came", want)
		}
	}
	next(fmt.Sprint("failed ", balance.Failed))
	run(t, c.Run)
	p.expect(t, "HELLO 1")
	time.Sleep(5 * time.Millisecond)
	for ver, want := range []string{2: "staged 2 1 0 0.5 7 true", 3: fmt.Sprint("failed ", balance.Ignored),
		4: fmt.Sprint("failed ", balance.TimedOut)} {
		if want != "" {
			c.Vote(ver, 1, balance.Back)
			<-p.lines
			next(want)
		}
	}
	select {
	case s := <-got:
		t.Errorf("%q came for a vote that had ended", s)
	case <-time.After(100 * time.Millisecond):
	}
}

// Messages between marshals reach the one they are for, or all; what is no such message is told as bad.
func TestPeers(t *testing.T) {
	var all []*PeerTransport
	got, bad := make(chan string, 20), make(chan error, 20)
	to := map[int]*net.UDPAddr{}
	var wg sync.WaitGroup
	for i := range 3 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		to[i] = conn.LocalAddr().(*net.UDPAddr)
		all = append(all, &PeerTransport{Number: i, Conn: conn, Addresses: map[int]*net.UDPAddr{}, OnError: func(err error) { bad <- err },
			OnPeerMessage: func(from int, text string) { got <- fmt.Sprint(from, ">", i, " ", text) }})
	}
	for i, p := range all {
		for j, a := range to {
			if j != i {
				p.Addresses[j] = a
			}
		}
		wg.Go(p.Run)
	}
	defer func() {
		for _, p := range all {
			p.Conn.Close()
		}
		wg.Wait()
	}()
	all[0].Tell(2, "one")
	if s := <-got; s != "0>2 one" {
		t.Error(s)
	}
	all[1].Tell(-1, "all")
	if a, b := <-got, <-got; a+b != "1>0 all1>2 all" && a+b != "1>2 all1>0 all" {
		t.Error(a, b)
	}
	all[0].Tell(1, strings.Repeat("x", MaxMessageBytes+1))
	all[0].Conn.WriteToUDP([]byte("hello"), to[1])
	all[0].Conn.WriteToUDP(AppendPeerMessage(nil, 9, "x"), to[1])
	for range 3 {
		<-bad
	}
}
