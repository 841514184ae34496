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
	takes atomic.Int64 // ns
}

func (c *slowClock) Now() float64 {
	if d := c.takes.Load(); d > 0 {
		time.Sleep(time.Duration(d))
	}
	return c.Clock.Now()
}

// crossing asks on a connection that the marshal may be closing, and says what became of the request: "answered", "unread" where the
// marshal closed without reading it, so that the client sends it again, or "lost".
func crossing(nc net.Conn, b *bufio.Reader, target string) string {
	const resetIn = 700 * time.Millisecond
	if _, err := fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\n\r\n", target); err != nil {
		return "unread"
	}
	nc.SetReadDeadline(time.Now().Add(3 * time.Second))
	q, err := http.ReadResponse(b, nil)
	if err == nil {
		body, err := io.ReadAll(q.Body)
		if err != nil || q.StatusCode == http.StatusOK && string(body) != target {
			return fmt.Sprintf("lost: answered with %q, %v", body, err)
		}
		return "answered"
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "lost: " + err.Error()
	}
	if reset, stateErr := tcpstate.ResetWithin(nc, resetIn); stateErr != nil || !reset {
		return fmt.Sprintf("lost: read and closed without an answer (%v, %v)", err, stateErr)
	}
	return "unread"
}

// Requests cross the end of connections that rest, whatever ends them: each is answered, or not read. One that was read and thrown
// away is lost: its client can't tell it from one that ran.
func TestRequestsCrossingACloseAreNotLost(t *testing.T) {
	const connections = 60
	for name, ending := range map[string]struct {
		change func(*settings.Settings)
		front  func(*front.Server)
		end    func(t *testing.T, r *rig)
		spread time.Duration // over which clients ask once the ending has begun
	}{
		"stop": {end: func(t *testing.T, r *rig) { go r.m.Stop() }, spread: 60 * time.Millisecond},
		"idle": {change: func(s *settings.Settings) { s.Times.IdleMs = 100 }, end: func(*testing.T, *rig) { time.Sleep(70 * time.Millisecond) },
			spread: 60 * time.Millisecond},
		"eviction": {change: func(s *settings.Settings) { s.Limits.Connections = connections }, front: func(s *front.Server) { s.Terms.FirstMs = 2500 },
			end: func(t *testing.T, r *rig) {
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
			r := start(t, 1, ok, ending.change, rigHooks{Hooks: Hooks{ConfigureFront: ending.front}})
			clients := make([]*client, connections)
			for i := range clients {
				clients[i] = r.client()
				clients[i].send(get, "look")
				clients[i].expect("200")
			}
			ending.end(t, r)
			var wg sync.WaitGroup
			var mu sync.Mutex
			seen := map[string]int{}
			for i, c := range clients {
				wg.Go(func() {
					time.Sleep(ending.spread * time.Duration(connections-i) / connections) // what rests longest asks last
					what := crossing(c.Conn, c.b, fmt.Sprintf("/look-%d", i))
					mu.Lock()
					defer mu.Unlock()
					seen[what]++
				})
			}
			wg.Wait()
			t.Log(seen)
			for what, n := range seen {
				if what != "answered" && what != "unread" {
					t.Errorf("%d of %d: %s", n, connections, what)
				}
			}
		})
	}
}

// A stop comes between an answer that keeps its connection and the moment at which the connection rests again. The connection is
// closed in time, and what its client sends next isn't thrown away.
func TestStopBetweenAnswerAndRest(t *testing.T) {
	const connections, within = 40, time.Second
	clock := &slowClock{Clock: loop.Monotonic()}
	r := start(t, 1, ok, nil, rigHooks{Hooks: Hooks{Clock: clock}})
	clients := make([]*client, connections)
	for i := range clients {
		clients[i] = r.client()
		clients[i].send(get, "look")
		clients[i].expect("200")
	}
	for i, c := range clients {
		c.send(get, fmt.Sprintf("look-%d", i))
	}
	clock.takes.Store(int64(3 * time.Millisecond))
	answered := func(c *client) { // a slow clock may have some refused
		if got := c.read(); strings.HasPrefix(got, "no answer") {
			t.Error(got)
		}
	}
	for _, c := range clients[:connections/2] {
		answered(c)
	}
	stopped := make(chan time.Duration, 1)
	begun := time.Now()
	go func() {
		r.m.Stop()
		stopped <- time.Since(begun)
	}()
	for _, c := range clients[connections/2:] {
		answered(c)
	}
	clock.takes.Store(0)
	for i, c := range clients[:4] {
		if what := crossing(c.Conn, c.b, fmt.Sprintf("/look-again-%d", i)); what != "answered" && what != "unread" {
			t.Error(what)
		}
	}
	if took := <-stopped; took > within {
		t.Errorf("nobody has a request out, and the stop took %v", took)
	}
}
