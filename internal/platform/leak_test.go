package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowcleat/balance"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/serve"
)

// usage returns the goroutines and file descriptors of the process, and the bytes of its heap after a garbage
// collection.
func usage(t *testing.T) (goroutines, descriptors int, heap int64) {
	t.Helper()
	open, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return runtime.NumGoroutine(), len(open), int64(m.HeapAlloc)
}

// warmRuntime starts many goroutines at once and ends them. The runtime keeps the memory of ended goroutines for reuse,
// 0.4 kB each, and counts it as heap: beside ten busy processes a heap profile showed 54 kB of it, and at most 3 kB of
// the marshal's own.
func warmRuntime() {
	gate := make(chan struct{})
	var wg sync.WaitGroup
	for range 2000 {
		wg.Go(func() { <-gate })
	}
	time.Sleep(50 * time.Millisecond)
	close(gate)
	wg.Wait()
}

// advancedClock is the machine's clock, advanced by the test.
type advancedClock struct {
	loop.Clock
	ahead atomic.Int64 // ms
}

// Now returns the advanced time.
func (c *advancedClock) Now() float64 { return c.Clock.Now() + float64(c.ahead.Load()) }

// roundNodes are the nodes of one round. They are closed in the next.
type roundNodes struct {
	servers          []*http.Server
	started, removed string // entries for discovery's list, each with a comma
}

// startNodes starts the nodes of a round; their build is round+7.
func startNodes(t *testing.T, hosts, round int) *roundNodes {
	t.Helper()
	n := &roundNodes{}
	for i := range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") })}
		go node.Serve(ln)
		n.servers = append(n.servers, node)
		entry := `{"host":"s-%d-%d","dial":%q,"site":"there","health":%q,"build":%d},`
		n.started += fmt.Sprintf(entry, round, i, ln.Addr(), "in_service", round+7)
		n.removed += fmt.Sprintf(entry, round, i, ln.Addr(), "terminated", round+7)
	}
	return n
}

func (n *roundNodes) close() {
	for _, node := range n.servers {
		node.Close()
	}
}

// sendKeepAlives sends keep-alives until the client closes the stream. Without them the client would reconnect, and
// this end would hold another descriptor.
func (s *stream) sendKeepAlives() {
	defer s.Close()
	for {
		if _, err := io.WriteString(s, "1\r\n\n\r\n"); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// sendRequests sends requests one after another on a new connection, and returns how many were served.
func sendRequests(t *testing.T, address string, round, client, requests int) (served int) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	responses := bufio.NewReader(nc)
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	for j := range requests {
		fmt.Fprintf(nc, "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d-%d\r\nX-Qos: book\r\nX-Object: %d-%d\r\n"+
			"Idempotency-Key: %d-%d-%d\r\nContent-Length: 2\r\n\r\nab", round, client, j, round, client, round, client, j)
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, response.Body)
		if response.StatusCode == 200 {
			served++
		}
	}
	return served
}

// Hosts, addresses, builds, ids, keys and connections come and go, and the marshal must not leak any of them. What it
// keeps for a while expires by its clock, which the test advances before it measures: node connections after conn-idle,
// hosts that are gone after 5 minutes. The number of connections kept in between varies with the load, because a
// connection is reused only 20 ms after its response, and each has goroutines of the test's nodes at its other end: 58
// and then 86 goroutines were counted beside six busy processes, without a leak. A heap growth of 3.7 kB per host was
// the capacity of the sliding windows (balance, sliding.add), with 80 requests per round.
func TestNoLeaks(t *testing.T) {
	s := startStreamServer(t)
	c := config(t, "127.0.0.1:0", s.address, "127.0.0.1:0", s.address)
	lists := make(chan *stream, 1)
	go func() {
		for a := range s.streams {
			if a.target == "/v1/servers?follow=1" {
				a.send(listText(0, true))
				lists <- a
			}
			go a.sendKeepAlives()
		}
	}()
	clock := &advancedClock{Clock: loop.Monotonic()}
	m, err := StartWith(c, slog.New(slog.DiscardHandler), serve.Hooks{Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	defer m.End()
	discovery := <-lists
	const rounds, warmUpRounds, hosts, clients, requests = 60, 20, 4, 10, 8
	// The warm-up rounds last longer than anything is kept, because memory that was needed once stays allocated.
	const roundMs = 30000
	round, served := 0, 0
	previous := &roundNodes{}
	playRound := func() {
		clock.ahead.Add(roundMs)
		current := startNodes(t, hosts, round)
		entries := current.started + previous.removed
		discovery.send(fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, round+1, entries[:len(entries)-1]))
		m.rollout.publish(round+7, 1, balance.Released, 1, 90000, false)
		for end := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) {
			state, _ := m.Snapshot()
			serving := 0
			for _, n := range state.Nodes {
				if n.Health == balance.Serving {
					serving++
				}
			}
			if state.Ver == round+7 && serving == hosts {
				break
			} else if time.Now().After(end) {
				t.Fatalf("round %d: the marshal did not get the list and the build within 3 s: %v", round, state)
			}
		}
		previous.close()
		previous = current
		for i := range clients {
			served += sendRequests(t, m.Address(), round, i, requests)
		}
		round++
	}
	// expireAll advances the clock until everything that is kept for a while has expired, and returns the usage.
	expireAll := func() (goroutines, descriptors int, heap int64) {
		t.Helper()
		clock.ahead.Add((hostRetention + time.Minute).Milliseconds())
		playRound() // hosts are removed when a list arrives
		clock.ahead.Add((hostRetention + time.Minute).Milliseconds())
		m.Sweep()
		stable := 0 // measurements in a row without a change
		for end := time.Now().Add(3 * time.Second); stable < 10 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			g, d, h := usage(t)
			stable++
			if g != goroutines || d != descriptors || m.NodeConnections() > 0 {
				stable = 0
			}
			goroutines, descriptors, heap = g, d, h
		}
		return goroutines, descriptors, heap
	}
	warmRuntime()
	for range warmUpRounds {
		playRound()
	}
	goroutines, descriptors, heap := expireAll()
	for range rounds - warmUpRounds {
		playRound()
	}
	g, d, h := expireAll()
	previous.close()
	if sent := round * clients * requests; served < sent*9/10 {
		t.Errorf("%d of %d requests were served; want 9 of 10 at least", served, sent)
	}
	if n := m.NodeConnections(); n != 0 {
		t.Errorf("%d node connections are open after conn-idle", n)
	}
	c.names.mu.Lock()
	known := len(c.names.hosts)
	c.names.mu.Unlock()
	if state, _ := m.Snapshot(); known > 2*hosts || len(state.Nodes) > 2*hosts {
		t.Errorf("%d host names and %d nodes are kept; %d hosts serve and as many have just gone", known, len(state.Nodes), hosts)
	}
	if g > goroutines || d > descriptors || h > heap+48<<10 {
		t.Errorf("leak: goroutines %d then %d, descriptors %d then %d, heap %d then %d", goroutines, g, descriptors, d, heap, h)
	}
	t.Logf("goroutines %d then %d, descriptors %d then %d, heap %d then %d", goroutines, g, descriptors, d, heap, h)
}
