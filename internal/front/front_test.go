package front

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowcleat/internal/back"
	"arrowcleat/internal/h1"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/marshal"
	"arrowcleat/internal/requestids"
	"arrowcleat/internal/settings"
)

// startServer starts a server with a limit of connections. No loop runs, so every request is answered without being accepted.
func startServer(t *testing.T, maxConnections uint32, protocol ProtocolOptions) (*Server, string) {
	t.Helper()
	s, address, _ := startCountingServer(t, maxConnections, protocol)
	return s, address
}

// countingListener counts the reads on the connections that it accepts.
type countingListener struct {
	net.Listener
	reads *atomic.Int64
}

// countingConn counts the reads on a connection.
type countingConn struct {
	net.Conn
	reads *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	return countingConn{nc, l.reads}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	c.reads.Add(1)
	return c.Conn.Read(b)
}

// startCountingServer is startServer with a count of reads.
func startCountingServer(t *testing.T, maxConnections uint32, protocol ProtocolOptions) (*Server, string, *atomic.Int64) {
	t.Helper()
	reads := &atomic.Int64{}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := loop.Monotonic()
	s := &Server{Settings: &settings.Settings{Instance: &settings.Instance{}, Headers: &settings.Headers{},
		Operation: []*settings.Operation{{Name: "x"}},
		Limits: &settings.Limits{Connections: maxConnections, Open: maxConnections, LineBytes: 1000, HeaderBytes: 1000,
			RepeatBodyBytes: 100},
		Times: &settings.Times{HeaderMs: 1000, BodyMs: 1000, WriteMs: 1000, IdleMs: 1000}},
		Clock: clock, Loops: []*loop.Loop{loop.New(clock, 1)}, Cores: [][]*marshal.Core{{nil}}, Pool: &back.Pool{},
		Log: slog.New(slog.DiscardHandler), Protocol: protocol, RequestIDs: requestids.New(1 << 12)}
	go s.Serve([]Listener{{Listener: countingListener{ln, reads}}})
	t.Cleanup(func() { s.Close(time.Second) })
	return s, ln.Addr().String(), reads
}

// roundTrip sends a request and returns the status of its response.
func roundTrip(nc net.Conn, text string) (int, error) {
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := io.WriteString(nc, text); err != nil {
		return 0, err
	}
	r, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, err
	}
	return r.StatusCode, r.Body.Close()
}

// healthRequest is a request to the health check of the protocol options below.
const healthRequest = "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"

// Clients that all connect and send a request at once all get an answer: none is evicted before its request has been read.
func TestBurstOfConnections(t *testing.T) {
	_, address := startServer(t, 20, ProtocolOptions{HealthPath: "/healthz", FirstRequestTimeoutMs: 2000})
	var wg sync.WaitGroup
	var unanswered atomic.Int32
	for range 120 {
		wg.Go(func() {
			nc, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			if status, err := roundTrip(nc, healthRequest); err != nil || status != 200 && status != 503 {
				unanswered.Add(1)
				t.Log(status, err)
			}
		})
	}
	wg.Wait()
	if n := unanswered.Load(); n > 0 {
		t.Errorf("%d of 120 requests were not answered", n)
	}
}

// Clients that send nothing are evicted for one that sends a request, and time out in any case.
func TestSilentClients(t *testing.T) {
	_, address := startServer(t, 20, ProtocolOptions{HealthPath: "/healthz", FirstRequestTimeoutMs: 600})
	var idle []net.Conn
	for range 60 {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		idle = append(idle, nc)
	}
	time.Sleep(400 * time.Millisecond)
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	if status, err := roundTrip(nc, healthRequest); status != 200 || err != nil {
		t.Errorf("a request among idle clients: status %d, error %v; want 200", status, err)
	}
	for i, c := range idle {
		c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if _, err := io.ReadAll(c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatalf("idle client %d was neither answered nor closed", i)
		}
	}
}

// A health check in absolute-form is answered as one in origin-form; a target without a valid form is not.
func TestHealthCheckTarget(t *testing.T) {
	_, address := startServer(t, 20, ProtocolOptions{HealthPath: "/healthz", FirstRequestTimeoutMs: 1000})
	for target, want := range map[string]int{"/healthz": 200, "http://y/healthz": 200, "/x/http://y/healthz": 404,
		"http:///healthz": 400, "healthz": 400} {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if status, err := roundTrip(nc, "GET "+target+" HTTP/1.1\r\nHost: x\r\n\r\n"); status != want || err != nil {
			t.Errorf("GET %s: status %d, error %v; want %d", target, status, err, want)
		}
		nc.Close()
	}
}

// With protocol options, a body that is too long and a second request with an open id are rejected before they are accepted.
func TestProtocolOptions(t *testing.T) {
	s, address := startServer(t, 20, ProtocolOptions{MaxBodyBytes: 10, FirstRequestTimeoutMs: 1000,
		ParseRequest: func(h *h1.Head) (params RequestParams, err error) {
			if params.RequestID = h.Header.Get("X-Id"); params.RequestID == "" {
				return params, NewRejection(400, "no id")
			}
			return params, nil
		}})
	s.RequestIDs.Claim("open")
	for text, want := range map[string]int{
		"Content-Length: 5\r\n\r\nhello":              400,
		"X-Id: a\r\nContent-Length: 60000000\r\n\r\n": 413,
		"X-Id: a\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n" + strings.Repeat("x", 255) + "\r\n0\r\n\r\n": 413,
		"X-Id: open\r\n\r\n":                     409,
		"X-Id: a\r\nContent-Length: 5\r\n\r\nhe": 408,
	} {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if status, err := roundTrip(nc, fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\n%s", text)); status != want || err != nil {
			t.Errorf("%.60q: status %d, error %v; want %d", text, status, err, want)
		}
		nc.Close()
	}
}

// While a client waits for its answer for longer than the timeout of a first request, its reader sleeps and does not poll.
func TestReaderSleepsWhileAnswerPending(t *testing.T) {
	for name, request := range map[string]string{"no body": "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
		"body": "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nab"} {
		_, address, reads := startCountingServer(t, 20, ProtocolOptions{FirstRequestTimeoutMs: 50,
			ParseRequest: func(*h1.Head) (RequestParams, error) { return RequestParams{LimitMs: 400}, nil }})
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		if status, err := roundTrip(nc, request); status != 503 || err != nil { // no loop runs that could accept it
			t.Errorf("%s: status %d, error %v; want 503", name, status, err)
		}
		if n := reads.Load(); n > 10 {
			t.Errorf("%s: %d reads while the client waited; want at most 10", name, n)
		}
	}
}

// turnServer starts a server whose requests without an id are invalid.
func turnServer(t *testing.T) (s *Server, address string) {
	return startServer(t, 300, ProtocolOptions{HealthPath: "/healthz", FirstRequestTimeoutMs: 2000,
		ParseRequest: func(*h1.Head) (RequestParams, error) { return RequestParams{}, NewRejection(400, "no id") }})
}

const invalidRequest = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

// A connection that sends without waiting for answers, and one whose requests are rejected, took all of the processor. Their
// requests take turns of a millisecond.
func TestTurns(t *testing.T) {
	const requests = 60
	const turns = (requests - 2) * time.Millisecond // the first has no wait, and a turn ends with its millisecond
	_, address := turnServer(t)
	for name, c := range map[string]struct {
		request string
		atOnce  bool // all requests are sent before the first answer is read
		least   time.Duration
	}{
		"health checks at once":       {healthRequest, true, turns},
		"invalid requests at once":    {invalidRequest, true, turns},
		"invalid requests one by one": {invalidRequest, false, turns},
	} {
		nc, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(3 * time.Second))
		answers := bufio.NewReader(nc)
		start := time.Now()
		if c.atOnce {
			io.WriteString(nc, strings.Repeat(c.request, requests))
		}
		for i := range requests {
			if !c.atOnce {
				io.WriteString(nc, c.request)
			}
			response, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("%s, answer %d: %v", name, i, err)
			}
			io.Copy(io.Discard, response.Body)
		}
		if took := time.Since(start); took < c.least {
			t.Errorf("%s: %d took %v; want at least %v", name, requests, took, c.least)
		}
		nc.Close()
	}
}

// Whoever waits for a turn gets its answer at once when the server is aborted.
func TestAbortSkipsTurns(t *testing.T) {
	const clients = 250
	s, address := turnServer(t)
	for range 800 { // turns that are taken
		go s.pacer.Wait()
	}
	statuses := make(chan int, clients)
	var connected sync.WaitGroup
	for range clients {
		connected.Add(1)
		go func() {
			nc, err := net.Dial("tcp", address)
			connected.Done()
			if err != nil {
				statuses <- 0
				return
			}
			defer nc.Close()
			status, _ := roundTrip(nc, invalidRequest)
			statuses <- status
		}()
	}
	connected.Wait()
	time.Sleep(50 * time.Millisecond)
	aborted := time.Now()
	s.Abort()
	for range clients {
		if status := <-statuses; status != 400 {
			t.Errorf("a request that waited for its turn: status %d; want 400", status)
		}
	}
	if took := time.Since(aborted); took > 250*time.Millisecond {
		t.Errorf("the answers came %v after the abort", took)
	}
}
