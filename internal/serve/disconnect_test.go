package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/settings"
)

// fullAcceptQueue returns an address whose accept queue is full, so that connections to it hang. drain empties the
// queue for good and returns what was sent.
func fullAcceptQueue(t *testing.T) (address string, drain func() (got string)) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address = fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
	for range 3 { // fills the queue
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	return address, func() (got string) { // for as long as the kernel retries connecting
		syscall.Listen(fd, 64) // room for all waiting connections at once
		syscall.SetNonblock(fd, true)
		var accepted []int
		for end := time.Now().Add(1200 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if a, _, err := syscall.Accept(fd); err == nil {
				accepted = append(accepted, a)
			}
		}
		b := make([]byte, 4096)
		for _, a := range accepted {
			if n, _, _ := syscall.Recvfrom(a, b, syscall.MSG_DONTWAIT); n > 0 {
				got += string(b[:n])
			}
			syscall.Close(a)
		}
		return got
	}
}

// A client disconnects while the connection to its node hangs. The attempt is abandoned, and nothing is written once
// the connection is established.
func TestClientLeavesBeforeDispatchIsWritten(t *testing.T) {
	address, drain := fullAcceptQueue(t)
	r := startRig(t, 0, echoPath, func(s *settings.Settings) {
		s.Times.DialMs = 10000
		s.Operation[0].LimitMs = 10000
	}, testHooks{})
	r.setNode(9, address, balance.Serving)
	r.waitFor("the marshal knows the node", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) == 1 })
	c := r.client()
	c.send("GET /look HTTP/1.1\nHost: x\n\n")
	r.waitFor("the invocation is dispatched", func() bool { s, _ := r.m.Snapshot(); return s.Dispatches == 1 })
	c.Close()
	r.waitFor("no invocation is open", func() bool { s, _ := r.m.Snapshot(); return s.ClientTimeouts == 1 && s.Open == 0 })
	if got := drain(); got != "" {
		t.Errorf("the node received %q", got)
	}
	if s, _ := r.m.Snapshot(); s.Dispatches != 1 || s.Outcomes[balance.Ignored]+s.Outcomes[balance.ConnectFailed] != 1 {
		t.Errorf("%d dispatches, outcomes %v", s.Dispatches, s.Outcomes)
	}
}

// A client disconnects while a node works on its request. The dispatch is abandoned by closing the connection to the
// node.
func TestClientLeavesWhileANodeWorks(t *testing.T) {
	closed := make(chan error, 1)
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if _, _, complete := r.readRequest(b); complete {
			_, err := b.ReadByte()
			closed <- err
		}
	}, func(s *settings.Settings) { s.Operation[0].LimitMs = 10000 }, testHooks{})
	c := r.client()
	c.send("GET /look HTTP/1.1\nHost: x\n\n")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	c.Close()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("the node received more data")
		}
	case <-time.After(2 * time.Second):
		t.Error("the connection to the node stays open")
	}
	r.waitFor("no invocation is open", func() bool {
		s, _ := r.m.Snapshot()
		return s.Open == 0 && s.Outcomes[balance.Canceled] == 1
	})
}

// finalResponse reads the last response of a connection. It returns "200", "200 kept" if the connection stays open,
// "closed" if the connection ended without a byte, or what went wrong.
func finalResponse(c net.Conn, b *bufio.Reader) string {
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(b, nil)
	if errors.Is(err, io.EOF) || err == io.ErrUnexpectedEOF && b.Buffered() == 0 {
		return "closed"
	}
	if err != nil {
		return err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasPrefix(string(body), "/look") {
		return fmt.Sprint(resp.StatusCode, resp.Close, string(body), err)
	} else if !resp.Close {
		return fmt.Sprint(resp.StatusCode, " kept")
	}
	return fmt.Sprint(resp.StatusCode)
}

// Requests that are under way when a marshal stops are answered completely: in the accept queue, accepted and unread,
// half read, or at a node. A request that arrives while its connection is closed is answered or not read, so that its
// client can tell, and reaches nodes at most once.
func TestStopUnderRequests(t *testing.T) {
	const request = "GET /look%s HTTP/1.1\r\nHost: x\r\n\r\n"
	for round := range 12 {
		r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
			for {
				req, _, complete := r.readRequest(b)
				if !complete {
					return
				}
				if req.URL.Path == "/look-slow" {
					<-r.release
				}
				respond(c, req.URL.Path)
			}
		}, nil, testHooks{})
		dial := func(text string) (net.Conn, *bufio.Reader) {
			c, err := net.Dial("tcp", r.m.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { c.Close() })
			io.WriteString(c, text)
			return c, bufio.NewReader(c)
		}
		slow, slowIn := dial(fmt.Sprintf(request, "-slow"))
		r.waitFor("the node has the request", func() bool { return r.received() == 1 })
		half, halfIn := dial("GET /look-half HTTP/1.1\r\nHo")
		idle, idleIn := dial(fmt.Sprintf(request, "-idle"))
		if resp, err := http.ReadResponse(idleIn, nil); err != nil {
			t.Fatal(err)
		} else {
			io.ReadAll(resp.Body)
		}
		silent, silentIn := dial("")
		stopped := make(chan error, 1)
		fresh, freshIn := dial(fmt.Sprintf(request, "-fresh"))
		go func() { stopped <- r.m.Stop() }()
		var wg sync.WaitGroup
		check := func(where string, c net.Conn, b *bufio.Reader, want ...string) {
			wg.Go(func() {
				got := finalResponse(c, b)
				for _, w := range want {
					if got == w {
						return
					}
				}
				t.Errorf("round %d, %s: %s", round, where, got)
			})
		}
		check("in the accept queue", fresh, freshIn, "200", "200 kept") // may be answered before the stop begins
		time.Sleep(time.Duration(round) * time.Millisecond)
		wg.Go(func() {
			if outcome := requestDuringClose(idle, idleIn, "/look-crossing"); outcome != "answered" && outcome != "unread" {
				t.Errorf("round %d, on a kept connection: %s", round, outcome)
			}
		})
		io.WriteString(half, "st: x\r\n\r\n")
		check("half read", half, halfIn, "200")
		io.WriteString(silent, fmt.Sprintf(request, "-first"))
		check("the first of a connection", silent, silentIn, "200")
		time.Sleep(20 * time.Millisecond)
		close(r.release)
		check("with a node", slow, slowIn, "200")
		wg.Wait()
		if err := <-stopped; err != nil {
			t.Error(err)
		}
		arrivals := 0
		for _, p := range r.paths {
			if p == "/look-crossing" {
				arrivals++
			}
		}
		if arrivals > 1 {
			t.Errorf("round %d: the request sent during the close reached nodes %d times", round, arrivals)
		}
		r.close()
	}
}

// A core stalls for good and the marshal is stopped. Stop waited for the core to report its open invocations, and End
// for its loop to end. Neither happened: the listener and all connections stayed open, a second signal changed nothing,
// and open requests were unanswered when KILL came. Answering clients must not depend on the loop.
func TestStopWhileLoopIsStalled(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, _, complete := r.readRequest(b)
			if !complete {
				return
			}
			if req.URL.Path == "/once" {
				<-r.release
			}
			respond(c, req.URL.Path)
		}
	}, nil, testHooks{})
	kept, accepted, queued := r.client(), r.client(), r.client()
	kept.send(get, "look")
	kept.expect("200 succeeded /look")
	accepted.send(get, "once")
	r.waitFor("the node has the request", func() bool { return r.received() == 2 })
	r.stallCore(0)
	queued.send(get, "look")
	start := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- r.m.Stop() }()
	accepted.expect("504 terminated")
	queued.expect("503 not-taken")
	if got := kept.read(); got != "no answer: unexpected EOF" && got != "no answer: EOF" {
		t.Errorf("the kept connection got %s", got)
	}
	select {
	case err := <-stopped:
		if err == nil {
			t.Error("Stop returned no error although a core did not end")
		}
	case <-time.After(time.Duration(r.settings.Times.StopMs)*time.Millisecond - time.Since(start)):
		t.Error("the marshal did not stop within its stop time")
	}
}

// A request with an idempotency key may have run at a node that reset the connection. It is sent again within the
// memory window, which is shorter than the client's time limit. The new connection hangs until after the window, and
// carried the request to a node that had forgotten the key: a double effect. Nothing may be written once the window is
// over, and the client must be answered at once.
func TestRepeatStaysWithinMemoryWindow(t *testing.T) {
	const window = 500.0
	hangingAddress, drain := fullAcceptQueue(t)
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		r.readRequest(b)
		<-r.release
		c.(*net.TCPConn).SetLinger(0)
	}, func(s *settings.Settings) {
		s.Times.DialMs = 10000
		s.Operation[1].LimitMs, s.Operation[1].MemoryMs = 10000, window
	}, testHooks{})
	c := r.client()
	start := time.Now()
	c.send("POST /book HTTP/1.1\nHost: x\nIdempotency-Key: a\nContent-Length: 2\n\nab")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	r.setNode(9, hangingAddress, balance.Serving)
	r.setNode(1, r.nodeListeners[0].Addr().String(), balance.Draining)
	r.waitFor("only the other node serves", func() bool {
		s, _ := r.m.Snapshot()
		return len(s.Nodes) == 2 && s.Nodes[1].Health == balance.Draining
	})
	close(r.release)
	c.expect("50")
	if took := time.Since(start); took > (window+200)*time.Millisecond {
		t.Errorf("the client was answered after %v, not when the window ended", took)
	}
	if got := drain(); got != "" {
		t.Errorf("after the window the node received %q", got)
	}
	if s, _ := r.m.Snapshot(); s.Dispatches != 2 || s.Open != 0 {
		t.Errorf("%d dispatches, %d open", s.Dispatches, s.Open)
	}
}

// The cap of a build falls while dispatches decided on under the higher cap wait for connections. The connections were
// established a second later, and all requests reached the build long after the lower cap takes effect (150 ms after it
// is received): 8 requests where the limit is 1 + 0.05 x 8 and 2 more. A dispatch decided on before the cap falls must
// not be written afterwards.
func TestCapFallsBetweenDecisionAndWrite(t *testing.T) {
	const requests, lowerCap, tolerance = 8, 0.05, 2
	hangingAddress, drain := fullAcceptQueue(t)
	r := startRig(t, 0, echoPath, func(s *settings.Settings) {
		s.Times.DialMs = 10000
		s.Operation[0].LimitMs = 10000
		s.Rollout.CountedOverMs = 5000
	}, testHooks{})
	r.registry.Set(control.NodeEntry{Node: balance.Node{ID: 9, Ver: 2, Size: 1}, Address: hangingAddress}, 0)
	r.waitFor("the marshal knows the node", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) == 1 })
	p := r.m.pools[0]
	p.stageUpdate(2, 0, balance.OnTrial, 1, 0, false)
	for range requests {
		r.client().send(get, "look")
	}
	r.waitFor("all invocations are dispatched", func() bool { s, _ := r.m.Snapshot(); return s.Dispatches == requests })
	p.stageUpdate(2, 0, balance.OnTrial, lowerCap, 0, false)
	limit := int(r.settings.Rollout.Allowance + lowerCap*requests + tolerance)
	if n := strings.Count(drain(), "GET /look"); n > limit {
		t.Errorf("%d requests reached the build after its cap had fallen; the limit is %d", n, limit)
	}
}

// A client closes its sending side and still reads. It counts as disconnected, since it can't be told from a client
// that closes, and no dispatch begins for it any more. Its request had been read but its connection was closed without
// an answer; it must be answered as terminated.
func TestHalfClosedClientIsAnswered(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if _, _, complete := r.readRequest(b); complete {
			b.ReadByte() // until the dispatch is abandoned
		}
	}, nil, testHooks{})
	c := r.client()
	c.send("POST /once HTTP/1.1\nHost: x\nContent-Length: 2\n\nab")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	c.Conn.(*net.TCPConn).CloseWrite()
	c.expect("502 terminated")
	r.waitFor("no invocation is open", func() bool { s, _ := r.m.Snapshot(); return s.Open == 0 && s.ClientTimeouts == 1 })
	if n := r.m.Front.Counters.ClientsGone.Load(); n != 1 {
		t.Errorf("%d requests counted as abandoned by their clients, want 1", n)
	}
}
