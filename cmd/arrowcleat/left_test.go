package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// bookRequest returns a sound request with a small body.
func bookRequest() string { return bookHead("Content-Length: 2") + "ab" }

// A marshal may be held up for heldUp before it writes; a dispatch that begins later than maxAfterClose after its client's close
// breaks the platform's rule.
const (
	maxAfterClose = 100 * time.Millisecond
	heldUp        = 150 * time.Millisecond
)

// arrivalNode is a node that notes when each request arrives, and works on it for a time.
type arrivalNode struct {
	*httptest.Server
	mu       sync.Mutex
	arrivals []arrival
}

// arrival is a request's arrival at a node.
type arrival struct {
	method string
	at     time.Time
}

// startArrivalNode starts an arrivalNode.
func startArrivalNode(t *testing.T, work time.Duration) *arrivalNode {
	n := &arrivalNode{}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		n.mu.Lock()
		n.arrivals = append(n.arrivals, arrival{q.Method, time.Now()})
		n.mu.Unlock()
		time.Sleep(work)
		io.WriteString(w, "fine")
	}))
	t.Cleanup(n.Close)
	return n
}

// count returns how many arrivals match.
func (n *arrivalNode) count(matches func(arrival) bool) (count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if matches(a) {
			count++
		}
	}
	return count
}

// leave is a way in which a client leaves.
type leave func(c net.Conn)

// reset makes a client's kernel reset its connection.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

var leaves = map[string]leave{
	"closes":      func(c net.Conn) { c.Close() },
	"half-closes": func(c net.Conn) { c.(*net.TCPConn).CloseWrite() },
	"resets":      reset,
}

// TestNothingIsSentAfterUnreadRequests guards against a close that was noticed only once all that the client had sent before it
// had been read: requests that it had sent at once went to nodes one after another, for as long as there were some.
func TestNothingIsSentAfterUnreadRequests(t *testing.T) {
	const work = 400 * time.Millisecond // longer than a dispatch may be late
	for name, sent := range map[string]struct {
		request  func() string
		requests int
	}{
		"some requests":                   {bookRequest, 10},
		"hundreds":                        {bookRequest, 300},
		"more than the kernel's buffers":  {bookRequest, 40000},
		"requests with long bodies":       {wholeBook, 4},
		"requests that may be sent again": {func() string { return lookHead() + "\r\n" }, 300},
	} {
		for how, leave := range leaves {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				node := startArrivalNode(t, work)
				p := startMarshal(t, oneNodeConfig(t, node.Server))
				c := p.dial()
				c.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // what the buffers have no room for is never sent
				io.WriteString(c, repeatRequest(sent.request, sent.requests))
				leave(c)
				latest := time.Now().Add(maxAfterClose + heldUp)
				time.Sleep(3 * work)
				if n := node.count(func(a arrival) bool { return a.at.After(latest) }); n > 0 {
					t.Errorf("%d requests reached the node more than %v after their client had left", n, maxAfterClose+heldUp)
				}
			})
		}
	}
}

// TestClientsLeaveWhileProcessIsStopped checks that requests of clients that left while the process was stopped (SIGSTOP) are not
// dispatched, on a new connection and on a kept one. It guards against a reset, and against a close behind a further request,
// being taken for a client that waits.
func TestClientsLeaveWhileProcessIsStopped(t *testing.T) {
	const rounds, clients = 20, 5
	for how, leave := range leaves {
		for what, request := range map[string]func() string{"one request": bookRequest,
			"two requests": func() string { return bookRequest() + bookRequest() }} {
			t.Run(what+", "+how, func(t *testing.T) {
				node := startArrivalNode(t, 0)
				p := startMarshal(t, oneNodeConfig(t, node.Server))
				dispatched := func() int { return node.count(func(a arrival) bool { return a.method == "POST" }) }
				for range rounds {
					kept := p.dial()
					sendLook(kept, fmt.Sprint("kept", lastRequestID.Add(1)), time.Second)
					io.ReadAtLeast(kept, make([]byte, 4096), 1)
					p.stop()
					connections := []net.Conn{kept}
					for range clients - 1 {
						connections = append(connections, p.dial())
					}
					for _, c := range connections {
						io.WriteString(c, request())
						leave(c)
					}
					p.Process.Signal(syscall.SIGCONT)
					time.Sleep(20 * time.Millisecond)
				}
				p.waitFor("no more dispatches", func() bool {
					n := dispatched()
					time.Sleep(20 * time.Millisecond)
					return dispatched() == n
				})
				if n := dispatched(); n > 0 {
					t.Errorf("%d requests of %d clients reached the node after they had left", n, rounds*clients)
				}
				awaitServed(t, p)
				p.Process.Signal(syscall.SIGTERM)
				if err := p.Wait(); err != nil {
					t.Error(err)
				}
			})
		}
	}
}

// awaitServed waits until a request is served: after so many closed connections the marshal may refuse some.
func awaitServed(t *testing.T, p *process) {
	t.Helper()
	var attempts atomic.Int64
	p.waitFor("a request is served", func() bool {
		q, _ := http.NewRequest("GET", "http://"+p.address+"/look", nil)
		q.Header = http.Header{"X-Trace-Id": {fmt.Sprint(attempts.Add(1))}, "X-Qos": {"look"}}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			t.Fatal(err)
		}
		r.Body.Close()
		return r.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
}
