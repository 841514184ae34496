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

// FuzzParseNode checks that a NODE line decodes to what was encoded, and that decoding never panics.
func FuzzParseNode(f *testing.F) {
	f.Add(string(AppendNode(nil, node(3))))
	f.Add("NODE 1 x 1 0 0 0 serving 1 0 0")
	f.Fuzz(func(t *testing.T, text string) {
		n, err := ParseNode(text)
		if err != nil {
			return
		}
		n.UptimeMs = float64(int64(n.UptimeMs)) // encoded as whole ms
		decoded, err := ParseNode(string(AppendNode(nil, n)))
		if err != nil || decoded != n {
			t.Fatalf("%q: decoded %+v; encoded and decoded again %+v, error %v", text, n, decoded, err)
		}
	})
}

// FuzzHandleLine checks that a line from the rollout service calls a callback with values in range, or is an error and
// calls none.
func FuzzHandleLine(f *testing.F) {
	for _, s := range []string{"STAGE 2 0 trial 0.1 5", "VOTED 1 ok 2 0 trial 0.1 5", "VOTED 1 busy",
		"TALLY 2 0 10 1 5 5", "FLAG 1 0 5"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		calls := 0
		c := &RolloutClient{OnStageUpdate: func(_, stage int, _ balance.Phase, cap, age float64, _ bool) {
			if stage < 0 || !(cap >= 0 && cap <= 1) || !(age >= 0) {
				t.Fatalf("%q reports stage %d, cap %v, age %v", text, stage, cap, age)
			}
			calls++
		}, OnVoteFailed: func(balance.Outcome) { calls++ }, OnWrongAnswer: func(uint32, int, float64) { calls++ },
			OnBuildStats: func(_, _, samples, errors int, _, _ float64) {
				if errors > samples || errors < 0 {
					t.Fatalf("%q reports %d errors of %d samples", text, errors, samples)
				}
				calls++
			}}
		if err := c.HandleLine(text); err != nil && calls > 0 {
			t.Fatalf("%q is an error, %v, but a callback was called", text, err)
		}
	})
}

// FuzzParsePeerMessage checks that only messages with a valid sender and length are decoded.
func FuzzParsePeerMessage(f *testing.F) {
	f.Add(AppendPeerMessage(nil, 3, "2 1 0"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if from, text, err := ParsePeerMessage(b); err == nil && (from < 0 || len(text) > MaxMessageBytes) {
			t.Fatalf("%q decoded to sender %d with %d bytes", b, from, len(text))
		}
	})
}

// Lists that are duplicated, out of order or follow a gap are not delivered.
func TestListOrder(t *testing.T) {
	var got []string
	r := &RegistryClient{OnNodesListed: func(whole bool, entries []NodeEntry) { got = append(got, fmt.Sprint(whole, len(entries))) }}
	step := func(whole bool, epoch, from, version uint64, want string) {
		t.Helper()
		got = nil
		r.applyList(whole, epoch, from, version, make([]NodeEntry, version))
		if s := strings.Join(got, " "); s != want {
			t.Errorf("list %d to %d of epoch %d: delivered %q; want %q", from, version, epoch, s, want)
		}
	}
	step(false, 7, 0, 1, "") // unknown epoch
	step(true, 7, 0, 2, "true 2")
	step(false, 7, 2, 3, "false 3")
	step(false, 7, 2, 3, "")        // duplicate
	step(false, 7, 1, 2, "")        // outdated
	step(false, 7, 4, 5, "")        // a version is missing
	step(false, 7, 1, 4, "false 4") // overlaps the last list: its entries are the newest anyway
	step(true, 7, 0, 3, "")         // outdated whole list
	step(true, 8, 0, 1, "true 1")   // the registry was restarted
}

// fakeServer accepts one connection at a time and runs a script on each.
type fakeServer struct {
	ln    net.Listener
	wg    sync.WaitGroup
	lines chan string // that the scripts received
}

// listen starts a server; script gets the number of the connection.
func listen(t *testing.T, script func(number int, conn *LineConn, lines chan string)) *fakeServer {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fakeServer{ln: ln, lines: make(chan string, 100)}
	s.wg.Go(func() {
		for number := 0; ; number++ {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			script(number, NewLineConn(nc), s.lines)
			nc.Close()
		}
	})
	t.Cleanup(func() { ln.Close(); s.wg.Wait() })
	return s
}

// expect checks the next line that a script received.
func (s *fakeServer) expect(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-s.lines:
		if got != want {
			t.Errorf("received %q; want %q", got, want)
		}
	case <-time.After(2 * time.Second):
		t.Errorf("%q not received within 2 s", want)
	}
}

// run runs f until the test ends.
func run(t *testing.T, f func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
}

// The client reconnects when the registry closes the connection, sends an invalid message or sends an endless line, and
// the watch continues from the last version.
func TestRegistryReconnects(t *testing.T) {
	s := listen(t, func(number int, conn *LineConn, lines chan string) {
		for range 2 {
			line, err := conn.NextLine()
			if err != nil {
				return
			}
			lines <- line
		}
		switch number {
		case 0:
			conn.PrintfLine("LIST whole 5 0 3 1\r\n%s", AppendNode(nil, node(1)))
		case 1:
			conn.PrintfLine("NONSENSE")
			conn.NextLine()
		case 2:
			io.WriteString(conn.bounded.Conn, strings.Repeat("x", 1<<20))
			conn.NextLine()
		default:
			conn.NextLine()
		}
	})
	counts := make(chan int, 10)
	r := &RegistryClient{Address: s.ln.Addr().String(), Number: 4, InitialBackoff: time.Millisecond,
		MaxBackoff: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		OnNodesListed: func(_ bool, entries []NodeEntry) { counts <- len(entries) }, OnNodeListFailed: func() {}}
	run(t, r.Run)
	s.expect(t, "HELLO 4")
	s.expect(t, "WATCH 0 0")
	if n := <-counts; n != 1 {
		t.Errorf("list has %d entries; want 1", n)
	}
	for range 3 {
		s.expect(t, "HELLO 4")
		s.expect(t, "WATCH 5 3")
	}
}

// With WatchOnDemand, a failed fetch and a broken watch are reported, and the client sends no request on its own.
func TestWatchOnDemand(t *testing.T) {
	s := listen(t, func(number int, conn *LineConn, lines chan string) {
		for {
			line, err := conn.NextLine()
			if err != nil {
				return
			}
			lines <- line
			if strings.HasPrefix(line, "FETCH") {
				conn.PrintfLine("FAILED")
			} else if strings.HasPrefix(line, "WATCH") {
				return
			}
		}
	})
	failed := make(chan bool, 10)
	r := &RegistryClient{Address: s.ln.Addr().String(), WatchOnDemand: true, InitialBackoff: time.Millisecond,
		MaxBackoff: 10 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		OnNodesListed: func(bool, []NodeEntry) {}, OnNodeListFailed: func() { failed <- true }}
	r.Fetch() // not connected yet
	<-failed
	run(t, r.Run)
	s.expect(t, "HELLO 0")
	r.Fetch()
	s.expect(t, "FETCH")
	<-failed
	r.Watch(true)
	s.expect(t, "WATCH 0 0")
	<-failed
	s.expect(t, "HELLO 0")
	select {
	case line := <-s.lines:
		t.Errorf("client sent %q on its own", line)
	case <-failed:
		t.Error("failure reported without a request")
	case <-time.After(50 * time.Millisecond):
	}
}

// A vote has exactly one result: its answer, an error or a timeout. Later answers are ignored.
func TestVotes(t *testing.T) {
	s := listen(t, func(_ int, conn *LineConn, lines chan string) {
		for {
			line, err := conn.NextLine()
			if err != nil {
				return
			}
			lines <- line
			switch id, ver, _, _, err := ParseVote(line); {
			case err != nil:
			case ver == 2:
				conn.PrintfLine("VOTED %d ok 2 1 trial 0.5 7", id)
				conn.PrintfLine("VOTED %d ok 2 1 trial 0.5 7", id)
			case ver == 3:
				conn.PrintfLine("VOTED %d refused", id)
			case ver == 4:
				time.AfterFunc(80*time.Millisecond, func() { conn.PrintfLine("VOTED %d ok 4 1 trial 0.5 7", id) })
			}
		}
	})
	got := make(chan string, 10)
	c := &RolloutClient{Address: s.ln.Addr().String(), Number: 1, InitialBackoff: time.Millisecond,
		MaxBackoff:  10 * time.Millisecond,
		VoteTimeout: 40 * time.Millisecond, Log: slog.New(slog.DiscardHandler),
		OnStageUpdate: func(ver, stage int, phase balance.Phase, cap, age float64, reply bool) {
			got <- fmt.Sprint("stage update ", ver, stage, phase, cap, age, reply)
		}, OnVoteFailed: func(outcome balance.Outcome) { got <- fmt.Sprint("failed ", outcome) }}
	c.Vote(1, 0, balance.Advance) // not connected: it is not sent
	next := func(want string) {
		t.Helper()
		select {
		case s := <-got:
			if s != want {
				t.Errorf("result %q; want %q", s, want)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("result %q not reported within 2 s", want)
		}
	}
	next(fmt.Sprint("failed ", balance.Failed))
	run(t, c.Run)
	s.expect(t, "HELLO 1")
	time.Sleep(5 * time.Millisecond)
	for ver, want := range []string{2: "stage update 2 1 0 0.5 7 true", 3: fmt.Sprint("failed ", balance.Ignored),
		4: fmt.Sprint("failed ", balance.TimedOut)} {
		if want != "" {
			c.Vote(ver, 1, balance.RollBack)
			<-s.lines
			next(want)
		}
	}
	select {
	case s := <-got:
		t.Errorf("%q reported for a vote that already had a result", s)
	case <-time.After(100 * time.Millisecond):
	}
}

// A message between marshals reaches its destination, or all peers; invalid messages are reported as errors.
func TestPeers(t *testing.T) {
	var transports []*PeerTransport
	got, failures := make(chan string, 20), make(chan error, 20)
	addresses := map[int]*net.UDPAddr{}
	var wg sync.WaitGroup
	for i := range 3 {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		addresses[i] = conn.LocalAddr().(*net.UDPAddr)
		transports = append(transports, &PeerTransport{Number: i, Conn: conn, Addresses: map[int]*net.UDPAddr{},
			OnError:       func(err error) { failures <- err },
			OnPeerMessage: func(from int, text string) { got <- fmt.Sprint(from, ">", i, " ", text) }})
	}
	for i, p := range transports {
		for j, a := range addresses {
			if j != i {
				p.Addresses[j] = a
			}
		}
		wg.Go(p.Run)
	}
	defer func() {
		for _, p := range transports {
			p.Conn.Close()
		}
		wg.Wait()
	}()
	transports[0].SendToPeer(2, "one")
	if s := <-got; s != "0>2 one" {
		t.Error(s)
	}
	transports[1].SendToPeer(-1, "all")
	if a, b := <-got, <-got; a+b != "1>0 all1>2 all" && a+b != "1>2 all1>0 all" {
		t.Error(a, b)
	}
	transports[0].SendToPeer(1, strings.Repeat("x", MaxMessageBytes+1))
	transports[0].Conn.WriteToUDP([]byte("hello"), addresses[1])
	transports[0].Conn.WriteToUDP(AppendPeerMessage(nil, 9, "x"), addresses[1])
	for range 3 {
		<-failures
	}
}
