package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"arrowcleat/internal/front"
	"arrowcleat/internal/loop"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/tcpstate"
)

// slowClock is a clock at which a look may take a while, as on a machine that holds the process up.
type slowClock struct {
	loop.Clock
	delayNs atomic.Int64 // ns
}

func (c *slowClock) Now() float64 {
	if d := c.delayNs.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	return c.Clock.Now()
}

// crossing asks on a connection that the marshal may be closing, and says what became of the request: "answered", "unread" where the
// marshal closed without reading it, so that the client sends it again, or "lost".
func requestDuringClose(nc net.Conn, b *bufio.Reader, target string) string {
	const resetTimeout = 700 * time.Millisecond
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target); err != nil {
		return "unread"
	}
	nc.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(b, nil)
	if err == nil {
		body, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode == http.StatusOK && string(body) != target {
			return fmt.Sprintf("lost: answered with %q, %v", body, err)
		}
		return "answered"
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "lost: " + err.Error()
	}
	if reset, stateErr := tcpstate.ResetWithin(nc, resetTimeout); stateErr != nil || !reset {
		return fmt.Sprintf("lost: read and closed without an answer (%v, %v)", err, stateErr)
	}
	return "unread"
}

// Requests cross the end of connections that rest, whatever ends them: each is answered, or not read. One that was read and thrown
// away is lost: its client can't tell it from one that ran.
func TestRequestsDuringCloseAreNotLost(t *testing.T) {
	const connections = 60
	for name, cause := range map[string]struct {
		change func(*settings.Settings)
		front  func(*front.Server)
		end    func(t *testing.T, r *testRig)
		spread time.Duration // over which clients ask once the ending has begun
	}{
		"stop": {end: func(t *testing.T, r *testRig) { go r.m.Stop() }, spread: 60 * time.Millisecond},
		"idle": {change: func(s *settings.Settings) { s.Times.IdleMs = 100 }, end: func(*testing.T, *testRig) { time.Sleep(70 * time.Millisecond) },
			spread: 60 * time.Millisecond},
		"eviction": {change: func(s *settings.Settings) { s.Limits.Connections = connections }, front: func(s *front.Server) { s.Terms.FirstMs = 2500 },
			end: func(t *testing.T, r *testRig) {
				time.Sleep(2050 * time.Millisecond) // connections that have served are left alone for 2 s
				go func() {
					for range 20 {
						if c, err := net.Dial("tcp", r.m.Address()); err == nil {
							defer c.Close()
						}
						time.Sleep(3 * time.Millisecond)
					}
				}()
			}, spread: 60 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := startRig(t, 1, echoPath, cause.change, testHooks{Hooks: Hooks{ConfigureFront: cause.front}})
			clients := make([]*client, connections)
			for i := range clients {
				clients[i] = r.client()
				clients[i].send(get, "look")
				clients[i].expect("200")
			}
			cause.end(t, r)
			var wg sync.WaitGroup
			var mu sync.Mutex
			outcomes := map[string]int{}
			for i, c := range clients {
				wg.Go(func() {
					time.Sleep(cause.spread * time.Duration(connections-i) / connections) // what rests longest asks last
					outcome := requestDuringClose(c.Conn, c.b, fmt.Sprintf("/look-%d", i))
					mu.Lock()
					defer mu.Unlock()
					outcomes[outcome]++
				})
			}
			wg.Wait()
			t.Log(outcomes)
			for outcome, n := range outcomes {
				if outcome != "answered" && outcome != "unread" {
					t.Errorf("%d of %d: %s", n, connections, outcome)
				}
			}
		})
	}
}

// A stop comes between an answer that keeps its connection and the moment at which the connection rests again. The connection is
// closed in time, and what its client sends next isn't thrown away.
func TestStopBetweenAnswerAndIdle(t *testing.T) {
	const connections, stopTimeout = 40, time.Second
	clock := &slowClock{Clock: loop.Monotonic()}
	r := startRig(t, 1, echoPath, nil, testHooks{Hooks: Hooks{Clock: clock}})
	clients := make([]*client, connections)
	for i := range clients {
		clients[i] = r.client()
		clients[i].send(get, "look")
		clients[i].expect("200")
	}
	for i, c := range clients {
		c.send(get, fmt.Sprintf("look-%d", i))
	}
	clock.delayNs.Store(int64(3 * time.Millisecond))
	answered := func(c *client) { // a slow clock may have some refused
		if got := c.read(); strings.HasPrefix(got, "no answer") {
			t.Error(got)
		}
	}
	for _, c := range clients[:connections/2] {
		answered(c)
	}
	stopped := make(chan time.Duration, 1)
	start := time.Now()
	go func() {
		r.m.Stop()
		stopped <- time.Since(start)
	}()
	for _, c := range clients[connections/2:] {
		answered(c)
	}
	clock.delayNs.Store(0)
	for i, c := range clients[:4] {
		if outcome := requestDuringClose(c.Conn, c.b, fmt.Sprintf("/look-again-%d", i)); outcome != "answered" && outcome != "unread" {
			t.Error(outcome)
		}
	}
	if took := <-stopped; took > stopTimeout {
		t.Errorf("nobody has a request out, and the stop took %v", took)
	}
}
