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

// slowClock is a clock whose Now may take a while, as on a machine that delays the process.
type slowClock struct {
	loop.Clock
	delayNs atomic.Int64 // added to each call of Now
}

func (c *slowClock) Now() float64 {
	if d := c.delayNs.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	return c.Clock.Now()
}

// requestDuringClose sends a request on a connection that the marshal may be closing. It returns "answered", "unread"
// if the marshal closed without reading the request, so that the client can send it again, or a text that begins with
// "lost".
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
			return fmt.Sprintf("lost: answered with %q, error %v", body, err)
		}
		return "answered"
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "lost: " + err.Error()
	}
	if reset, stateErr := tcpstate.ResetWithin(nc, resetTimeout); stateErr != nil || !reset {
		return fmt.Sprintf("lost: read and closed without an answer (reset %v, error %v)", err, stateErr)
	}
	return "unread"
}

// Requests arrive while the marshal closes idle connections, for several causes. Each must be answered or left unread.
// One that was read and discarded is lost: its client can't tell it from one that ran.
func TestRequestsDuringCloseAreNotLost(t *testing.T) {
	const connections = 60
	for name, cause := range map[string]struct {
		change func(*settings.Settings)
		front  func(*front.Server)
		end    func(t *testing.T, r *testRig)
		spread time.Duration // over which clients send requests once the close has begun
	}{
		"stop": {end: func(t *testing.T, r *testRig) { go r.m.Stop() }, spread: 60 * time.Millisecond},
		"idle": {change: func(s *settings.Settings) { s.Times.IdleMs = 100 },
			end:    func(*testing.T, *testRig) { time.Sleep(70 * time.Millisecond) },
			spread: 60 * time.Millisecond},
		"eviction": {change: func(s *settings.Settings) { s.Limits.Connections = connections },
			front: func(s *front.Server) { s.Protocol.FirstRequestTimeoutMs = 2500 },
			end: func(t *testing.T, r *testRig) {
				time.Sleep(2050 * time.Millisecond) // connections that have served a request are not evicted for 2 s
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
					time.Sleep(cause.spread * time.Duration(connections-i) / connections) // the connection idle longest sends last
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
					t.Errorf("%d of %d requests: %s", n, connections, outcome)
				}
			}
		})
	}
}

// A stop arrives between a response that keeps its connection open and the moment the connection becomes idle. The
// connection must be closed in time, and the next request of its client must not be discarded.
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
	answered := func(c *client) { // some may be rejected because of the slow clock
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
		t.Errorf("no request was open, but the stop took %v", took)
	}
}
