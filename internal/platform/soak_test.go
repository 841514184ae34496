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

// used is what a process holds: goroutines, descriptors, and bytes of heap once the collector has run.
func used(t *testing.T) (goroutines, descriptors int, heap int64) {
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

// warmRuntime has many goroutines wait at once, and end: the runtime keeps the room of such for others (0.4 kB each, counted as heap;
// a heap profile of a life beside ten busy processes showed 54 kB more of that, and of the marshal's own at most 3 kB).
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

// jumpingClock is the machine's clock, moved on by what the test says.
type jumpingClock struct {
	loop.Clock
	ahead atomic.Int64 // ms
}

func (c *jumpingClock) Now() float64 { return c.Clock.Now() + float64(c.ahead.Load()) }

// lifeNodes are the hosts of one round, which end with the next.
type lifeNodes struct {
	servers        []*http.Server
	listed, leaves string // as discovery tells them
}

func startNodes(t *testing.T, hosts, round int) *lifeNodes {
	t.Helper()
	n := &lifeNodes{}
	for i := range hosts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		node := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "fine") })}
		go node.Serve(ln)
		n.servers = append(n.servers, node)
		entry := `{"host":"s-%d-%d","dial":%q,"site":"there","health":%q,"build":%d},`
		n.listed += fmt.Sprintf(entry, round, i, ln.Addr(), "in_service", round+7)
		n.leaves += fmt.Sprintf(entry, round, i, ln.Addr(), "terminated", round+7)
	}
	return n
}

func (n *lifeNodes) close() {
	for _, node := range n.servers {
		node.Close()
	}
}

// live gives signs of life until the other side is gone: a silent stream would be opened anew, and hold a descriptor here.
func (s *streamed) live() {
	defer s.Close()
	for {
		if _, err := io.WriteString(s, "1\r\n\n\r\n"); err != nil {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// askSome sends requests one after the other on a connection of its own, and says how many were served.
func askSome(t *testing.T, address string, round, client, requests int) (served int) {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	b := bufio.NewReader(nc)
	nc.SetDeadline(time.Now().Add(3 * time.Second))
	for j := range requests {
		fmt.Fprintf(nc, "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %d-%d-%d\r\nX-Qos: book\r\nX-Object: %d-%d\r\n"+
			"Idempotency-Key: %d-%d-%d\r\nContent-Length: 2\r\n\r\nab", round, client, j, round, client, round, client, j)
		r, err := http.ReadResponse(b, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		if r.StatusCode == 200 {
			served++
		}
	}
	return served
}

// Hosts, addresses, builds, ids, keys and connections come and go; what a marshal holds stays as it was. What it keeps for a time it
// keeps by its clock, which the test moves on before it looks: a connection to a node for conn-idle, a host that is gone for 5 minutes.
// How many connections are kept in between swings with the load, since one rests 20 ms after its answer, and each has goroutines of
// the stand-in nodes on its other side: 58 then 86 goroutines were counted beside six busy processes, with nothing left over. The
// heap that seemed to grow, 3.7 kB a host, was the room for what is counted in a window (balance, sliding.add): 80 requests a round.
func TestLongLife(t *testing.T) {
	s := streaming(t)
	c := config(t, "127.0.0.1:0", s.address, "127.0.0.1:0", s.address)
	streams := make(chan *streamed, 1)
	go func() {
		for a := range s.asked {
			if a.target == "/v1/servers?follow=1" {
				a.say(told(0, true))
				streams <- a
			}
			go a.live()
		}
	}()
	clock := &jumpingClock{Clock: loop.Monotonic()}
	m, err := StartWith(c, slog.New(slog.DiscardHandler), serve.Hooks{Clock: clock})
	if err != nil {
		t.Fatal(err)
	}
	defer m.End()
	discovery := <-streams
	const rounds, begin, hosts, clients, requests = 60, 20, 4, 10, 8
	// As many rounds as fit into any time that something is kept for lie before the first look: room that was needed once is kept.
	const roundMs = 30000
	round, served := 0, 0
	before := &lifeNodes{}
	live := func() {
		clock.ahead.Add(roundMs)
		now := startNodes(t, hosts, round)
		all := now.listed + before.leaves
		discovery.say(fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[%s]}`, round+1, all[:len(all)-1]))
		m.rollout.publish(round+7, 1, balance.Released, 1, 90000, false)
		for end := time.Now().Add(3 * time.Second); ; time.Sleep(time.Millisecond) {
			r, _ := m.Look()
			serving := 0
			for _, n := range r.Nodes {
				if n.Health == balance.Serving {
					serving++
				}
			}
			if r.Ver == round+7 && serving == hosts {
				break
			} else if time.Now().After(end) {
				t.Fatalf("round %d: the list did not come: %v", round, r)
			}
		}
		before.close()
		before = now
		for i := range clients {
			served += askSome(t, m.Address(), round, i, requests)
		}
		round++
	}
	// forget lets all time pass that anything is kept for, and says what is left.
	forget := func() (goroutines, descriptors int, heap int64) {
		t.Helper()
		clock.ahead.Add((hostRetention + time.Minute).Milliseconds())
		live() // what is forgotten when the list comes
		clock.ahead.Add((hostRetention + time.Minute).Milliseconds())
		m.Sweep()
		same := 0 // looks in a row at which nothing changed
		for end := time.Now().Add(3 * time.Second); same < 10 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			g, d, h := used(t)
			same++
			if g != goroutines || d != descriptors || m.NodeConnections() > 0 {
				same = 0
			}
			goroutines, descriptors, heap = g, d, h
		}
		return goroutines, descriptors, heap
	}
	warmRuntime()
	for range begin {
		live()
	}
	goroutines, descriptors, heap := forget()
	for range rounds - begin {
		live()
	}
	g, d, h := forget()
	before.close()
	if asked := round * clients * requests; served < asked*9/10 {
		t.Errorf("%d of %d were answered", served, asked)
	}
	if n := m.NodeConnections(); n != 0 {
		t.Errorf("%d connections to nodes are kept after their time", n)
	}
	c.names.mu.Lock()
	named := len(c.names.hosts)
	c.names.mu.Unlock()
	if r, _ := m.Look(); named > 2*hosts || len(r.Nodes) > 2*hosts {
		t.Errorf("%d names and %d nodes are kept where %d hosts serve and as many have just gone", named, len(r.Nodes), hosts)
	}
	if g > goroutines || d > descriptors || h > heap+48<<10 {
		t.Errorf("goroutines %d then %d, descriptors %d then %d, heap %d then %d", goroutines, g, descriptors, d, heap, h)
	}
	t.Logf("goroutines %d then %d, descriptors %d then %d, heap %d then %d", goroutines, g, descriptors, d, heap, h)
}
