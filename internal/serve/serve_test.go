package serve

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/divide"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/settings"
)

const get = "GET /%s HTTP/1.1\nHost: x\n\n"

// Nodes fail on their first request of a path in different ways. For each kind of operation, the table holds what the
// client gets and how many requests reach nodes.
func TestNodeFailures(t *testing.T) {
	writeThenClose := func(output string) nodeScript { // a node that closes after a part of a response
		return func(r *testRig, c net.Conn, b *bufio.Reader) {
			for {
				req, _, complete := r.readRequest(b)
				if !complete {
					return
				}
				if r.isFirst(req.URL.Path) {
					io.WriteString(c, output)
					return
				}
				respond(c, req.URL.Path)
			}
		}
	}
	large := "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n" + strings.Repeat("x", 3000)
	rejected := "HTTP/1.1 503 No\r\nX-Not-Started: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name                                     string
		node                                     nodeScript
		look, book, once                         string
		lookRequests, bookRequests, onceRequests int
	}{
		{"dies after the request", writeThenClose(""), "200 succeeded", "200 succeeded", "502 terminated", 2, 2, 1},
		{"dies after the head", writeThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"), "200 succeeded", "200 succeeded",
			"502 terminated", 2, 2, 1},
		{"dies in mid-body", writeThenClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"), "200 succeeded", "200 succeeded",
			"502 terminated", 2, 2, 1},
		{"dies in mid-chunk", writeThenClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhal"), "200 succeeded",
			"200 succeeded", "502 terminated", 2, 2, 1},
		{"dies in an answer that has begun", writeThenClose(large), "broken off", "broken off", "broken off", 1, 1, 1},
		{"speaks no HTTP", writeThenClose("220 mail ready\r\n"), "200 succeeded", "200 succeeded", "502 terminated", 2, 2, 1},
		{"fails", writeThenClose("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n"), "200 succeeded", "200 succeeded", "502 terminated", 2, 2, 1},
		{"rejects", writeThenClose(rejected), "200 succeeded", "200 succeeded", "200 succeeded", 2, 2, 2},
		{"answers 503 without saying that it never began", writeThenClose("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), "200 succeeded",
			"200 succeeded", "502 terminated", 2, 2, 1},
		{"never answers", func(r *testRig, c net.Conn, b *bufio.Reader) {
			if req, _, complete := r.readRequest(b); complete && !r.isFirst(req.URL.Path) {
				respond(c, "late")
				return
			}
			io.Copy(io.Discard, c)
		}, "200 succeeded", "200 succeeded", "504 terminated", 2, 2, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := startRig(t, 3, c.node, nil, testHooks{})
			for _, o := range []struct {
				path, want string
				requests   int
			}{{"look", c.look, c.lookRequests}, {"book", c.book, c.bookRequests}, {"once", c.once, c.onceRequests}} {
				before := r.received()
				cl := r.client()
				cl.send("POST /%s HTTP/1.1\nHost: x\nIdempotency-Key: 1\nContent-Length: 2\n\nhi", o.path)
				cl.expect(o.want)
				cl.expectSilence()
				if n := r.received() - before; n != o.requests {
					t.Errorf("%s reached nodes %d times, want %d", o.path, n, o.requests)
				}
			}
		})
	}
}

// A kept connection that the node closes while a request is written does not prove that the request never ran. A
// connection that is already closed is replaced.
func TestKeptConnectionCloses(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if req, _, complete := r.readRequest(b); complete {
			respond(c, req.URL.Path)
		}
		if _, err := b.Peek(1); err == nil && r.received() < 2 { // reads the second request and resets the connection
			r.readRequest(b)
			c.(*net.TCPConn).SetLinger(0)
		}
	}, nil, testHooks{})
	c := r.client()
	c.send(get, "once1")
	c.expect("200 succeeded")
	c.send(get, "once2")
	c.expect("502 terminated")
	r.mu.Lock()
	conns := len(r.nodeConns)
	r.nodeConns[0].Close()
	r.mu.Unlock()
	c.send(get, "once3")
	c.expect("200 succeeded")
	if r.received() != 3 || conns != 1 {
		t.Errorf("%d requests at the node, %d connections before the first was closed; want 3 and 1", r.received(), conns)
	}
}

// A response after the time limit or after a cancel never reaches the next invocation.
func TestLateAnswer(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, _, complete := r.readRequest(b)
			if !complete {
				return
			}
			if strings.HasPrefix(req.URL.Path, "/once-late") {
				time.Sleep(250 * time.Millisecond)
			}
			respond(c, req.URL.Path)
		}
	}, nil, testHooks{})
	c := r.client()
	for i := range 3 {
		start := time.Now()
		c.send("GET /once-late%d HTTP/1.1\nHost: x\nX-Time-Ms: 120\n\n", i)
		c.expect("504 terminated")
		if took := time.Since(start); took > 160*time.Millisecond {
			t.Errorf("the answer came after %v, past the client's limit of 120 ms", took)
		}
		c.send(get, fmt.Sprint("look-next", i))
		c.expect(fmt.Sprintf("200 succeeded /look-next%d", i))
	}
	c.expectSilence()
}

// Clients disconnect while a dispatch is in flight, and at the moment its response arrives.
func TestClientDisconnects(t *testing.T) {
	r := startRig(t, 2, func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, _, complete := r.readRequest(b)
			if !complete {
				return
			}
			if strings.HasSuffix(req.URL.Path, "wait") {
				<-r.release
			} else if strings.Contains(req.URL.Path, "race") {
				time.Sleep(2 * time.Millisecond)
			}
			respond(c, req.URL.Path)
		}
	}, nil, testHooks{})
	c := r.client()
	c.send(get, "once-wait")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	c.Close()
	r.waitFor("the module knows that the client left", func() bool { s, _ := r.m.Snapshot(); return s.ClientTimeouts == 1 })
	close(r.release)
	for i := range 60 {
		c := r.client()
		c.send(get, fmt.Sprint("look-race", i))
		time.Sleep(time.Duration(1500+20*i) * time.Microsecond)
		c.Close()
	}
	r.waitFor("no invocation is open", func() bool { s, _ := r.m.Snapshot(); return s.Open == 0 && s.Accepted >= 30 })
	s, _ := r.m.Snapshot()
	if s.Accepted != s.Succeeded+s.Throttled+s.Terminated+s.ClientTimeouts {
		t.Errorf("%d accepted, but %d+%d+%d answered and %d timed out at the client",
			s.Accepted, s.Succeeded, s.Throttled, s.Terminated, s.ClientTimeouts)
	}
	final := r.client() // after so many disconnects it may be throttled at first
	r.waitFor("the marshal serves requests", func() bool {
		final.send(get, "look-last")
		return final.read() == "200 succeeded /look-last"
	})
}

// Requests and responses of all framings pass through the marshal, also twice on one connection.
func TestFraming(t *testing.T) {
	echo := func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, body, complete := r.readRequest(b)
			if !complete {
				return
			}
			switch {
			case req.Method == "HEAD":
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n")
			case strings.HasSuffix(req.URL.Path, "204"):
				io.WriteString(c, "HTTP/1.1 204 None\r\n\r\n")
			case strings.HasSuffix(req.URL.Path, "hint"):
				io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\n")
				respond(c, "after the hint")
			case strings.HasSuffix(req.URL.Path, "trailer"):
				io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nhi\r\n0\r\nX-Sum: 2\r\n\r\n")
			case strings.HasSuffix(req.URL.Path, "toend"):
				io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nuntil the end")
				return
			case strings.HasSuffix(req.URL.Path, "long"):
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", 70000,
					strings.Repeat("l", 70000))
			default:
				via, hop := req.Header.Get("Via"), req.Header.Get("X-Hop")+req.Header.Get("Keep-Alive")+req.Header.Get("Expect")
				respond(c, fmt.Sprintf("%s %d %s%s", req.Method, len(body), via, hop))
			}
		}
	}
	r := startRig(t, 1, echo, nil, testHooks{})
	for _, c := range []struct{ name, send, want string }{
		{"get", "GET /look HTTP/1.1\nHost: x\n\n", "200 succeeded GET 0 1.1 marshal-0"},
		{"absolute form", "GET http://y/look HTTP/1.1\nHost: x\n\n", "200 succeeded GET 0 1.1 marshal-0"},
		{"hop by hop", "GET /look HTTP/1.1\nHost: x\nConnection: X-Hop, keep-alive\nX-Hop: 1\nKeep-Alive: 5\n\n",
			"200 succeeded GET 0 1.1 marshal-0"},
		{"body", "POST /look HTTP/1.1\nHost: x\nContent-Length: 3\n\nabc", "200 succeeded POST 3 1.1 marshal-0"},
		{"chunks", "POST /look HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n3\nabc\n2\nde\n0\n\n", "200 succeeded POST 5 1.1 marshal-0"},
		{"long body", "POST /look HTTP/1.1\nHost: x\nContent-Length: 50000\n\n" + strings.Repeat("b", 50000), "200 succeeded POST 50000 1.1 marshal-0"},
		{"long chunks", "POST /look HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\nc350\n" + strings.Repeat("b", 50000) + "\n0\n\n",
			"200 succeeded POST 50000 1.1 marshal-0"},
		{"204", "GET /look-204 HTTP/1.1\nHost: x\n\n", "204 succeeded"},
		{"answer until the end", "GET /look-toend HTTP/1.1\nHost: x\n\n", "200 succeeded until the end"},
		{"long answer", "GET /look-long HTTP/1.1\nHost: x\n\n", "200 succeeded 70000 bytes"},
		{"trailer", "GET /look-trailer HTTP/1.1\nHost: x\nTE: trailers\n\n", "200 succeeded hi"},
		{"no operation", "GET /other HTTP/1.1\nHost: x\n\n", "404 not-taken"},
		{"no idempotency key", "GET /book HTTP/1.1\nHost: x\n\n", "400 not-taken"},
		{"no time", "GET /look HTTP/1.1\nHost: x\nX-Time-Ms: 5\n\n", "503 not-taken"},
		{"odd time", "GET /look HTTP/1.1\nHost: x\nX-Time-Ms: soon\n\n", "400 not-taken"},
	} {
		t.Run(c.name, func(t *testing.T) {
			cl := r.client()
			cl.t = t
			for range 2 { // the second time on the same connection
				cl.send("%s", c.send)
				cl.expect(c.want)
			}
			cl.expectSilence()
		})
	}
	t.Run("expect", func(t *testing.T) {
		cl := r.client()
		cl.send("POST /look HTTP/1.1\nHost: x\nContent-Length: 3\nExpect: 100-continue\n\n")
		if line, _ := cl.b.ReadString('\n'); !strings.HasPrefix(line, "HTTP/1.1 100") {
			t.Errorf("before the body the client got %q", line)
		}
		cl.b.ReadString('\n')
		cl.send("abc")
		cl.expect("200 succeeded POST 3")
	})
	t.Run("interim", func(t *testing.T) {
		cl := r.client()
		cl.send(get, "look-hint")
		cl.expect("103")
		cl.expect("200 succeeded after the hint")
	})
	t.Run("pipelined", func(t *testing.T) {
		cl := r.client()
		cl.send("HEAD /look HTTP/1.1\nHost: x\n\nPOST /look HTTP/1.1\nHost: x\nContent-Length: 4\n\nbodyGET /look-204 HTTP/1.1\nHost: x\n\nGET /other HTTP/1.1\nHost: x\n\n")
		resp, err := http.ReadResponse(cl.b, &http.Request{Method: "HEAD"})
		if err != nil || resp.ContentLength != 77 {
			t.Fatalf("HEAD: response %v, error %v", resp, err)
		}
		cl.expect("200 succeeded POST 4")
		cl.expect("204 succeeded")
		cl.expect("404 not-taken")
	})
	t.Run("slow client", func(t *testing.T) {
		cl := r.client()
		for _, b := range []byte("GET /look HTTP/1.1\r\nHost: x\r\n\r\n") {
			cl.Write([]byte{b})
			time.Sleep(time.Millisecond)
		}
		cl.expect("200 succeeded GET 0")
		cl.send("GET /look HTTP/1.1\nHo") // a request that never ends
		cl.expect("408 not-taken")
	})
	t.Run("HTTP/1.0", func(t *testing.T) {
		cl := r.client()
		cl.send("GET /look-long HTTP/1.0\n\n")
		cl.expect("200 succeeded 70000 bytes")
		if _, err := cl.b.ReadByte(); err != io.EOF {
			t.Errorf("the HTTP/1.0 connection stays open: %v", err)
		}
	})
}

// An ambiguous request is answered 400 and its connection is closed. No part of it reaches a node.
func TestSmuggling(t *testing.T) {
	r := startRig(t, 1, echoPath, nil, testHooks{})
	const smuggled = "POST /look HTTP/1.1\nHost: x\n%s\n\n0\n\nGET /look-smuggled HTTP/1.1\nHost: x\n\n"
	for _, c := range []string{
		fmt.Sprintf(smuggled, "Content-Length: 5\nTransfer-Encoding: chunked"),
		fmt.Sprintf(smuggled, "Transfer-Encoding: chunked\nContent-Length: 5"),
		fmt.Sprintf(smuggled, "Content-Length: 5\nContent-Length: 6"),
		fmt.Sprintf(smuggled, "Content-Length: 5, 5"),
		fmt.Sprintf(smuggled, "Content-Length: +5"),
		fmt.Sprintf(smuggled, "Content-Length: 0x5"),
		fmt.Sprintf(smuggled, "Content-Length : 5"),
		fmt.Sprintf(smuggled, "Transfer-Encoding : chunked"),
		fmt.Sprintf(smuggled, "X: a\rTransfer-Encoding: chunked"),
		fmt.Sprintf(smuggled, "Host: y"),
		"GET /look HTTP/1.1\n\n",
		"GET /look\tHTTP/1.1\nHost: x\n\n",
		"GET /look HTTP/1.1 x\nHost: x\n\n",
		"GET /look HTTP/1.1\nHost: x\nBad Name: 1\n\n",
		"GET /look HTTP/1.1\nHost: x\nX: \x00\n\n",
	} {
		cl := r.client()
		cl.send("%s", c)
		cl.expect("400 not-taken")
		cl.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := cl.b.ReadByte(); err == nil {
			t.Errorf("the connection stays open after %q", c)
		}
	}
	for _, c := range []struct{ send, want string }{
		{fmt.Sprintf(smuggled, "Transfer-Encoding: gzip, chunked"), "501 not-taken"},
		{"GET /look HTTP/2.0\nHost: x\n\n", "505 not-taken"},
		{"GET /" + strings.Repeat("l", 3000) + " HTTP/1.1\nHost: x\n\n", "431 not-taken"},
		{"GET /look HTTP/1.1\nHost: x\nX: " + strings.Repeat("l", 9000) + "\n\n", "431 not-taken"},
		{"POST /look HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\nzz\n", "400 not-taken"},
	} {
		cl := r.client()
		cl.send("%s", c.send)
		cl.expect(c.want)
	}
	if r.received() != 0 {
		t.Errorf("%d requests reached a node: %q", r.received(), r.paths)
	}
}

// A body longer than the limit for repeats is streamed once, and its invocation is not dispatched again.
func TestBodyBeyondRepeat(t *testing.T) {
	r := startRig(t, 3, func(r *testRig, c net.Conn, b *bufio.Reader) { r.readRequest(b) }, nil, testHooks{})
	c := r.client()
	c.send("POST /look HTTP/1.1\nHost: x\nContent-Length: 30000\n\n%s", strings.Repeat("b", 30000))
	c.expect("503 throttled")
	if r.received() != 1 {
		t.Errorf("the request reached nodes %d times, want 1", r.received())
	}
}

// Invocations that do not fit into the queue are rejected before they are accepted. Outcomes of dispatches still pass.
func TestQueueFull(t *testing.T) {
	r := startRig(t, 1, echoPath, func(s *settings.Settings) { s.Limits.Queue = 2 }, testHooks{})
	block := make(chan struct{})
	r.m.Loop.Post(func() { <-block })
	time.Sleep(10 * time.Millisecond)
	var clients []*client
	for range 6 {
		c := r.client()
		c.send(get, "look")
		clients = append(clients, c)
	}
	r.waitFor("the queue is full", func() bool { return r.m.Loop.Refused() == 4 })
	close(block)
	outcomes := map[string]int{}
	for _, c := range clients {
		outcomes[c.read()[:13]]++
	}
	if outcomes["200 succeeded"] != 2 || outcomes["503 not-taken"] != 4 {
		t.Errorf("the clients got %v, want 2 succeeded and 4 not-taken", outcomes)
	}
}

// A marshal that stops accepts nothing new and lets open invocations complete.
func TestStop(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		req, _, complete := r.readRequest(b)
		if complete {
			<-r.release
			respond(c, req.URL.Path)
		}
	}, nil, testHooks{})
	c := r.client()
	c.send(get, "once")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	stopped := make(chan error)
	go func() { stopped <- r.m.Stop() }()
	r.waitFor("connections are refused", func() bool {
		// A SYN that arrives while the listener closes is dropped and sent again after 1 s, longer than the time limit of the
		// open request.
		n, err := net.DialTimeout("tcp", r.m.Address(), 50*time.Millisecond)
		if err == nil {
			n.Close()
		}
		return errors.Is(err, syscall.ECONNREFUSED)
	})
	close(r.release)
	c.expect("200 succeeded /once")
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// panickingModule panics on an invocation of operation 1, and otherwise behaves as its module.
type panickingModule struct{ divide.Module }

func (p panickingModule) InvocationArrived(id string, op, tenant int, key string, budgetMs, cost float64,
	isRetry, isWrite bool) {
	if op == 1 {
		panic("injected panic")
	}
	p.Module.InvocationArrived(id, op, tenant, key, budgetMs, cost, isRetry, isWrite)
}

// A module that panics ends its marshal. All accepted invocations are answered.
func TestPanic(t *testing.T) {
	var log bytes.Buffer
	defer func() {
		if !strings.Contains(log.String(), `Taken\":2`) || !strings.Contains(log.String(), "injected panic") {
			t.Errorf("the log does not contain the state: %.300s", log.String())
		}
	}()
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		r.readRequest(b)
		<-r.release
	}, nil, testHooks{Hooks: Hooks{NewModule: func(h balance.Host, s balance.Settings, seed uint64) divide.Module {
		return panickingModule{balance.New(h, s, seed)}
	}}, Log: slog.New(slog.NewJSONHandler(&log, nil))})
	waiting, fatal := r.client(), r.client()
	waiting.send(get, "once")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	fatal.send("GET /book HTTP/1.1\nHost: x\nIdempotency-Key: 1\n\n")
	waiting.expect("502 terminated")
	fatal.expect("502 terminated")
	<-r.m.Ended()
	var p *loop.Panic
	if err := r.m.End(); !errors.As(err, &p) || p.Value != "injected panic" || len(p.Stack) == 0 {
		t.Errorf("the marshal ended with %v", err)
	}
}

// A marshal that was killed and started again begins with its saved list, although the service registry is gone. A
// truncated or malformed list is an error.
func TestRestartFromDisk(t *testing.T) {
	file := tempFile(t, "list")
	r := startRig(t, 2, echoPath, func(s *settings.Settings) { s.Roster.File = file }, testHooks{})
	r.waitFor("the list is on disk", func() bool { lines, _ := r.m.pools[0].workers[0].list.load(); return len(lines) == 2 })
	r.m.Kill()
	if c, err := net.Dial("tcp", r.m.Address()); err == nil {
		t.Error("a killed marshal accepts connections")
		c.Close()
	}
	r.registry.DropConnections()
	r.settings.Roster.Address = "127.0.0.1:1"
	again, err := Start(r.settings, r.m.Log, Hooks{})
	if err != nil {
		t.Fatal(err)
	}
	defer again.End()
	r.m = again
	c := r.client()
	c.send(get, "look")
	c.expect("200 succeeded /look")
	lines := strings.SplitAfter(readFile(t, file), "\n")
	for saved, cause := range map[string]string{"": "empty", lines[0] + lines[1]: "truncated", "x": "line 1",
		lines[0] + "NODE x\n" + lines[2]: "line 2", strings.TrimSuffix(strings.Join(lines, ""), "\n"): "no end"} {
		l := newNodeList(file, loop.Monotonic())
		if err := l.save([]byte(saved)); err != nil {
			t.Fatal(err)
		}
		if _, err := l.load(); err == nil || !strings.Contains(err.Error(), cause) {
			t.Errorf("load of %q returned %v, want an error with %q", saved, err, cause)
		}
	}
}

// The marshal works with independent implementations: net/http on both sides, and curl if it is installed.
func TestInteroperability(t *testing.T) {
	r := startRig(t, 0, echoPath, nil, testHooks{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		w.Header().Set("Trailer", "X-Sum")
		fmt.Fprintf(w, "%s %d", req.Method, len(body))
		if strings.HasSuffix(req.URL.Path, "long") {
			io.WriteString(w, strings.Repeat("l", 1<<20))
		}
		w.Header().Set("X-Sum", fmt.Sprint(len(body)))
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.wg.Go(func() { server.Serve(ln) })
	defer server.Close()
	r.setNode(9, ln.Addr().String(), balance.Serving)
	r.waitFor("the marshal knows the node", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) == 1 })
	url := "http://" + r.m.Address()
	for _, c := range []struct {
		method, path string
		body         io.Reader
		want         int
	}{{"GET", "/look", nil, 5}, {"POST", "/look", strings.NewReader("abc"), 6}, {"GET", "/look-long", nil, 5 + 1<<20},
		{"POST", "/look", io.MultiReader(strings.NewReader(strings.Repeat("c", 200000))), 11}, {"HEAD", "/look", nil, 0}} {
		req, _ := http.NewRequest(c.method, url+c.path, c.body)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil || len(body) != c.want || resp.Header.Get("Arrowcleat-Answer") != "succeeded" {
			t.Errorf("%s %s: %d bytes, %v, %v", c.method, c.path, len(body), err, resp.Header)
		}
		if c.method == "POST" && resp.Trailer.Get("X-Sum") == "" {
			t.Errorf("%s %s: the trailer is missing: %v", c.method, c.path, resp.Trailer)
		}
	}
	curl, err := exec.LookPath("curl")
	if err != nil {
		t.Skip("curl is not installed; the net/http part has passed")
	}
	for _, args := range [][]string{{url + "/look"}, {"-d", "abc", url + "/look"}, {"-I", url + "/look"},
		{"-H", "Transfer-Encoding: chunked", "-d", "abc", url + "/look"}, {"-H", "Expect: 100-continue", "-d", "abc", url + "/look"},
		{"-0", url + "/look-long"}, {url + "/look", url + "/look-long"}} {
		out, err := exec.Command(curl, append([]string{"-sS", "--max-time", "5"}, args...)...).CombinedOutput()
		if err != nil || len(out) < 5 {
			t.Errorf("curl %v: %v: %.100s", args, err, out)
		}
	}
}

// While the loop is stalled, invocations that it has accepted are terminated and others are rejected, both within the
// client's time limit. Once the loop continues, nothing more is sent for either.
func TestLoopStalls(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if req, _, complete := r.readRequest(b); complete && req.URL.Path == "/once" {
			c.(*net.TCPConn).SetLinger(0) // the dispatch ends, but the stalled loop does not process its outcome
			return
		}
		respond(c, "x")
	}, nil, testHooks{})
	first, second := r.client(), r.client()
	start := time.Now()
	r.m.Loop.Post(func() { time.Sleep(20 * time.Millisecond) })
	first.send("GET /once HTTP/1.1\nHost: x\nX-Time-Ms: 200\n\n")
	r.waitFor("the node has the request", func() bool { return r.received() == 1 })
	release := make(chan struct{})
	r.m.Loop.Post(func() { <-release })
	second.send("GET /look HTTP/1.1\nHost: x\nX-Time-Ms: 200\n\n")
	first.expect("502 terminated")
	second.expect("503 not-taken")
	if took := time.Since(start); took > 260*time.Millisecond {
		t.Errorf("the answers came after %v", took)
	}
	close(release)
	time.Sleep(30 * time.Millisecond)
	first.expectSilence()
	s, _ := r.m.Snapshot()
	if s.Accepted != 1 || s.Open != 0 || s.Terminated != 1 || r.received() != 1 {
		t.Errorf("accepted %d, open %d, terminated %d, %d requests at nodes", s.Accepted, s.Open, s.Terminated, r.received())
	}
}

// The loop is blocked inside the call that decides on a dispatch, past the client's time limit, and the connection
// answers by itself. The dispatch command came after that and was neither executed nor reported: the counters stayed at
// one open invocation, the module at one dispatch in flight, and a stop waited for its full stop time. A dispatch
// decided on after the answer must end as never sent.
func TestDispatchAfterClientWasAnswered(t *testing.T) {
	var blockNext atomic.Bool
	release := make(chan struct{})
	r := startRig(t, 1, echoPath, nil, testHooks{Hooks: Hooks{NewModule: func(h balance.Host, s balance.Settings,
		seed uint64) divide.Module {
		return balance.New(&delayingHost{h, func() {
			if blockNext.Swap(false) {
				<-release
			}
		}}, s, seed)
	}}})
	c := r.client()
	for range 3 {
		blockNext.Store(true)
		c.send("GET /look HTTP/1.1\nHost: x\nX-Time-Ms: 200\n\n")
		c.expect("502 terminated")
		release <- struct{}{}
		r.waitFor("no invocation is open", func() bool { s, _ := r.m.Snapshot(); return s.Open == 0 })
	}
	if s, _ := r.m.Snapshot(); s.Terminated != 3 || s.Dispatches != 3 || s.Outcomes[balance.Ignored] != 3 || r.received() != 0 {
		t.Errorf("%d dispatches, outcomes %v, %d requests at nodes", s.Dispatches, s.Outcomes, r.received())
	}
	c.send(get, "look")
	c.expect("200 succeeded")
}

// The loop is blocked for 0.3 s inside the call that decides on a dispatch to a node that then hangs. The timeout of
// the dispatch was decided before the delay but counted from the start of the dispatch, so that the answer came that
// much after the client's time limit. The client's time limit must bound a dispatch whenever it starts.
func TestLateDispatchStaysWithinClientTimeLimit(t *testing.T) {
	const limit, delay = 500 * time.Millisecond, 300 * time.Millisecond
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		r.readRequest(b)
		<-r.release
	}, nil, testHooks{Hooks: Hooks{NewModule: func(h balance.Host, s balance.Settings, seed uint64) divide.Module {
		return balance.New(&delayingHost{h, func() { time.Sleep(delay) }}, s, seed)
	}}})
	c := r.client()
	start := time.Now()
	c.send("GET /once HTTP/1.1\nHost: x\nX-Time-Ms: %d\n\n", limit.Milliseconds())
	c.expect("50")
	if took := time.Since(start); took > limit+time.Duration(r.settings.Rules.AnswerSlackMs)*time.Millisecond || r.received() != 1 {
		t.Errorf("the answer came after %v, with %d requests at the node", took, r.received())
	}
	r.waitFor("no invocation is open", func() bool { s, _ := r.m.Snapshot(); return s.Open == 0 })
}

// delayingHost calls a function before each dispatch.
type delayingHost struct {
	balance.Host
	before func()
}

func (s *delayingHost) Dispatch(inv string, node uint32, timeLimitMs float64) {
	s.before()
	s.Host.Dispatch(inv, node, timeLimitMs)
}

// A client that does not read its long response is disconnected after the write timeout. The marshal goes on serving.
func TestSlowReader(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, _, complete := r.readRequest(b)
			if !complete {
				return
			}
			if req.URL.Path == "/look-long" {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", 64<<20)
				for range 64 {
					if _, err := c.Write(make([]byte, 1<<20)); err != nil {
						return
					}
				}
			}
			respond(c, "x")
		}
	}, nil, testHooks{})
	c := r.client()
	c.Conn.(*net.TCPConn).SetReadBuffer(4096)
	c.send(get, "look-long")
	r.waitFor("the invocation is abandoned", func() bool {
		s, _ := r.m.Snapshot()
		return s.Accepted == 1 && s.Open == 0 && r.m.Front.OpenInvocations() == 0
	})
	other := r.client()
	other.send(get, "look")
	other.expect("200 succeeded x")
}

// A node is reported as draining in the middle of a burst. Nothing new is dispatched to it from then on, even within
// the grace period.
func TestDrainInBurst(t *testing.T) {
	r := startRig(t, 2, echoPath, nil, testHooks{})
	before := 0
	for i := range 300 {
		if i == 100 {
			r.setNode(1, r.nodeListeners[0].Addr().String(), balance.Draining)
			r.waitFor("the node is known to be draining", func() bool {
				s, _ := r.m.Snapshot()
				return s.Nodes[1].Health == balance.Draining
			})
			s, _ := r.m.Snapshot()
			before = int(s.Nodes[1].Sent)
		}
		c := r.client()
		c.send(get, "look")
		c.expect("200 succeeded")
		c.Close()
	}
	s, _ := r.m.Snapshot()
	if after := int(s.Nodes[1].Sent) - before; after > 0 || before == 0 {
		t.Errorf("%d dispatches before the drain, %d after it", before, after)
	}
}

// Connections and invocations over their limits are rejected before they count as accepted.
func TestLimits(t *testing.T) {
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if req, _, complete := r.readRequest(b); complete {
			<-r.release
			respond(c, req.URL.Path)
		}
	}, func(s *settings.Settings) { s.Limits.Open, s.Limits.Connections = 2, 4 }, testHooks{})
	var all []*client
	for range 2 {
		c := r.client()
		c.send(get, "once")
		all = append(all, c)
	}
	r.waitFor("both are open", func() bool { return r.received() == 2 })
	third, fourth, fifth := r.client(), r.client(), r.client()
	third.send(get, "once")
	third.expect("503 not-taken too many invocations")
	fifth.expect("503 not-taken too many connections")
	close(r.release)
	for _, c := range append(all, fourth) {
		if c == fourth {
			c.send(get, "look")
		}
		c.expect("200 succeeded")
	}
	if s, _ := r.m.Snapshot(); s.Accepted != 3 {
		t.Errorf("%d accepted, want 3", s.Accepted)
	}
}

// A node whose accept queue is full accepts no connection. A request for it provably never ran, and is sent to another
// node.
func TestAcceptQueueFull(t *testing.T) {
	address, _ := fullAcceptQueue(t)
	r := startRig(t, 1, echoPath, func(s *settings.Settings) { s.Times.DialMs = 60 }, testHooks{})
	r.setNode(9, address, balance.Serving)
	r.waitFor("the marshal knows the node", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) == 2 })
	c := r.client()
	for range 20 {
		c.send(get, "once")
		c.expect("200 succeeded")
	}
	s, _ := r.m.Snapshot()
	if s.Nodes[9].Outcomes[balance.ConnectFailed] == 0 || s.Nodes[9].Outcomes[balance.ConnectFailed] != s.Nodes[9].Sent {
		t.Errorf("%d dispatches to the node with the full queue, outcomes %v", s.Nodes[9].Sent, s.Nodes[9].Outcomes)
	}
}

// probeObserver reports the outcomes of probes.
type probeObserver struct {
	divide.Module
	found chan string
}

func (p probeObserver) ProbeEnded(node uint32, outcome balance.Outcome, tookMs float64, report map[string]float64) {
	p.found <- fmt.Sprint(node, outcome, report)
}

// A probe reports the load figures of a node, or that the node is gone.
func TestProbe(t *testing.T) {
	found := make(chan string, 2)
	r := startRig(t, 1, func(r *testRig, c net.Conn, b *bufio.Reader) {
		if req, _, complete := r.readRequest(b); complete && req.URL.Path == "/health" {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nendpoint-load-metrics: TEXT cpu_utilization=0.5, rps_fractional=8, x=1, eps=bad\r\n\r\n")
		}
	}, func(s *settings.Settings) { s.Limits.Probes, s.Limits.ProbePath = true, "/health" },
		testHooks{Hooks: Hooks{NewModule: func(h balance.Host, s balance.Settings, seed uint64) divide.Module {
			return probeObserver{balance.New(h, s, seed), found}
		}}})
	r.m.Loop.Post(func() { r.m.pools[0].workers[0].core.Probe(1) })
	if got := <-found; got != "1 0 map[busy:0.5 rate:8]" {
		t.Errorf("the probe found %s", got)
	}
	r.nodeListeners[0].Close()
	r.m.Loop.Post(func() { r.m.pools[0].workers[0].core.Probe(1) })
	if got := <-found; got != fmt.Sprint(1, balance.ConnectFailed, map[string]float64{}) {
		t.Errorf("the probe of a node that is gone found %s", got)
	}
}

// New settings are applied completely or not at all, and the error names those that can't change while the marshal runs.
func TestReload(t *testing.T) {
	r := startRig(t, 1, echoPath, nil, testHooks{})
	set := r.settings.Copy()
	set.Limits.Connections, set.Limits.MostTries, set.Log.Level = 1, 9, "debug"
	var level slog.LevelVar
	if _, err := r.m.Reload(set, &level); err == nil || !strings.Contains(err.Error(), "limits: most-tries 3 -> 9") ||
		level.Level() != slog.LevelInfo || r.m.Front.CurrentSettings().Limits.Connections != 100 {
		t.Errorf("reload of a fixed setting: error %v, level %v", err, level.Level())
	}
	set.Limits.MostTries = 3
	changes, err := r.m.Reload(set, &level)
	if err != nil || len(changes) != 2 || level.Level() != slog.LevelDebug {
		t.Errorf("reload: changes %v, error %v, level %v", changes, err, level.Level())
	}
	done := make(chan error) // concurrent reloads: each must be complete
	for i := range 8 {
		go func() {
			one := set.Copy()
			one.Times.IdleMs, one.Times.StopMs = 1000+float64(i), 2000+float64(i)
			_, err := r.m.Reload(one, nil)
			if now := r.m.Front.CurrentSettings().Times; now.StopMs-now.IdleMs != 1000 {
				err = fmt.Errorf("a reload was applied in part: %v", now)
			}
			done <- err
		}()
	}
	for range 8 {
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	first, second := r.client(), r.client()
	first.send(get, "look")
	first.expect("200 succeeded")
	second.expect("503 not-taken too many connections")
}

// Two pools in one marshal: each invocation goes to the nodes of its pool. Builds, stage updates and the loss of all
// nodes of one pool do not affect the other.
func TestPools(t *testing.T) {
	respondAs := func(name string) nodeScript {
		return func(r *testRig, c net.Conn, b *bufio.Reader) {
			for {
				req, _, complete := r.readRequest(b)
				if !complete {
					return
				}
				respond(c, name+req.URL.Path)
			}
		}
	}
	other := startRig(t, 2, respondAs("second"), nil, testHooks{}) // its registry serves the second pool
	r := startRig(t, 2, respondAs("first"), func(s *settings.Settings) {
		s.Pool = []*settings.Pool{{Name: "a"}, {Name: "b", Roster: &settings.Roster{Address: other.registry.Address(),
			ReconnectMs: 10, ReconnectMostMs: 50}}}
		s.Operation[0].Pool, s.Operation[1].Pool, s.Operation[2].Pool = "a", "b", "a"
	}, testHooks{})
	r.waitFor("both pools are known", func() bool { s, _ := r.m.PoolSnapshot(t.Context(), 1); return len(s.Nodes) == 2 })
	c := r.client()
	request := func(path, want string) {
		t.Helper()
		c.send("GET /%s HTTP/1.1\nHost: x\nIdempotency-Key: 1\n\n", path)
		c.expect(want)
	}
	for range 10 {
		request("look", "200 succeeded first/look")
		request("book", "200 succeeded second/book")
		request("once", "200 succeeded first/once")
	}
	r.m.Loop.Post(func() { r.m.pools[1].workers[0].core.StageUpdate(7, 0, balance.OnTrial, 0, 0, false) })
	for i, ln := range other.nodeListeners { // all nodes of the second pool go away
		other.setNode(uint32(i+1), ln.Addr().String(), balance.Gone)
	}
	r.waitFor("both nodes are known to be gone", func() bool {
		s, _ := r.m.PoolSnapshot(t.Context(), 1)
		return s.Nodes[1].Health == balance.Gone && s.Nodes[2].Health == balance.Gone
	})
	request("book", "503 throttled")
	request("look", "200 succeeded first/look")
	a, _ := r.m.PoolSnapshot(t.Context(), 0)
	b, _ := r.m.PoolSnapshot(t.Context(), 1)
	if a.Accepted != 21 || a.Succeeded != 21 || b.Accepted != 11 || b.Succeeded != 10 || a.Ver == 7 || b.Ver != 7 {
		t.Errorf("the first pool accepted %d, succeeded %d, ver %d; the second %d, %d, %d",
			a.Accepted, a.Succeeded, a.Ver, b.Accepted, b.Succeeded, b.Ver)
	}
	// A reload that removes a pool needs a restart and changes nothing.
	set := r.settings.Copy()
	set.Pool = set.Pool[:1]
	set.Operation[1].Pool = "a"
	if _, err := r.m.Reload(set, nil); err == nil || !strings.Contains(err.Error(), "pool b removed") {
		t.Errorf("reload: %v", err)
	}
	request("look", "200 succeeded first/look")
}

// An operation that is bound to a listener is not found at the others.
func TestListeners(t *testing.T) {
	r := startRig(t, 1, echoPath, func(s *settings.Settings) {
		s.Listener = []*settings.Listener{{Name: "inside", Address: "127.0.0.1:0"}}
		s.Operation[0].Listener, s.Operation[2].Listener = []string{"inside"}, []string{"main", "inside"}
	}, testHooks{})
	nc, err := net.Dial("tcp", r.m.AddressOf("inside"))
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	outside, inside := r.client(), &client{nc, bufio.NewReader(nc), t}
	for path, want := range map[string][2]string{"look": {"404 not-taken", "200 succeeded"},
		"once": {"200 succeeded", "200 succeeded"}} {
		outside.send(get, path)
		outside.expect(want[0])
		inside.send(get, path)
		inside.expect(want[1])
	}
}
