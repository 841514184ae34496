package serve

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"arrowcleat/balance"
	"arrowcleat/internal/control"
	"arrowcleat/internal/settings"
	"arrowcleat/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const text = `
instance { marshals: 1 zone: "here" }
listen { invocations: "127.0.0.1:0" }
zone: "here"
operation { name: "look" repeat: IDEMPOTENT slo_ms: 200 limit_ms: 600 match { path: "/look*" } }
operation { name: "book" repeat: FINGERPRINTED group: "zone" memory_ms: 1000 slo_ms: 200 limit_ms: 600 match { path: "/book*" } }
operation { name: "once" repeat: SIDE_EFFECTING slo_ms: 200 limit_ms: 600 match { path: "/once*" } }
headers { key: "X-Key" time_ms: "X-Time-Ms" turned_away: "X-Not-Started" }
limits { connections: 100 open: 100 queue: 100 line_bytes: 2000 header_bytes: 4000 repeat_body_bytes: 1000
  held_answer_bytes: 1000 most_tries: 3 idle_per_node: 8 }
times { header_ms: 300 body_ms: 300 write_ms: 300 idle_ms: 5000 dial_ms: 200 node_idle_ms: 5000 stop_ms: 1500 answer_ms: 10 }
roster { address: "127.0.0.1:1" reconnect_ms: 10 reconnect_most_ms: 50 }
rules { answer_slack_ms: 20 grace_ms: 200 cold_from: 0.5 warm_up_ms: 1000 fall_multiple: 3 fall_ms: 500 }
rollout { allowance: 1 counted_over_ms: 1000 cap_scope: "all" gate: "any" vote_ttl_ms: 1000 vote_timeout_ms: 200
  votes_per_s: 10 stage { part: 1 cap: 1 } }
`

// script plays a node's side of one connection; got counts the requests that reached any node.
type script func(r *rig, c net.Conn, b *bufio.Reader)

type rig struct {
	t      *testing.T
	set    *settings.Settings
	m      *Marshal
	roster *standin.Roster
	mu     sync.Mutex
	paths  []string // of the requests that reached nodes, in order
	wg     sync.WaitGroup
	lns    []net.Listener
	conns  []net.Conn
	gate   chan struct{} // closed to let nodes that wait go on
}

// rigHooks are the marshal's hooks, and its log where that is looked at.
type rigHooks struct {
	Hooks
	Log *slog.Logger
}

// start runs a marshal before nodes that each play the script, and waits until it knows them.
func start(t *testing.T, nodes int, play script, change func(*settings.Settings), hooks rigHooks) *rig {
	t.Helper()
	set, err := settings.Parse("rig", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, set: set, roster: &standin.Roster{}, gate: make(chan struct{})}
	if err := r.roster.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	set.Roster.Address, set.Seed = r.roster.Address(), 7
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.lns = append(r.lns, ln)
		r.list(uint32(i+1), ln.Addr().String(), balance.Serving)
		r.wg.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				r.mu.Lock()
				r.conns = append(r.conns, c)
				r.mu.Unlock()
				r.wg.Go(func() { defer c.Close(); play(r, c, bufio.NewReader(c)) })
			}
		})
	}
	if change != nil {
		change(set)
	}
	log := slog.New(slog.DiscardHandler)
	if hooks.Log != nil {
		log = hooks.Log
	}
	r.m, err = Start(set, log, hooks.Hooks)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.close)
	r.until("the marshal knows its nodes", func() bool { l, _ := r.m.Look(); return len(l.Nodes) >= nodes })
	return r
}

func (r *rig) list(id uint32, address string, health balance.Health) {
	r.roster.Set(control.NodeEntry{Node: balance.Node{ID: id, Ver: 1, Size: 1, Health: health}, Address: address}, 0)
}

func (r *rig) close() {
	r.m.End()
	r.roster.Close()
	for _, ln := range r.lns {
		ln.Close()
	}
	select {
	case <-r.gate:
	default:
		close(r.gate)
	}
	r.mu.Lock()
	for _, c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

func (r *rig) until(what string, is func() bool) {
	r.t.Helper()
	for range 400 {
		if is() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("it never came that %s", what)
}

// request reads a request at a node, whole, and counts it.
func (r *rig) request(b *bufio.Reader) (*http.Request, []byte, bool) {
	q, err := http.ReadRequest(b)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(q.Body)
	r.mu.Lock()
	r.paths = append(r.paths, q.URL.Path)
	r.mu.Unlock()
	return q, body, err == nil
}

func (r *rig) got() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.paths)
}

// first says that this is the first request that reached a node for a path.
func (r *rig) first(path string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, p := range r.paths {
		if p == path {
			n++
		}
	}
	return n == 1
}

// ok answers every request with its path.
func ok(r *rig, c net.Conn, b *bufio.Reader) {
	for {
		q, _, whole := r.request(b)
		if !whole {
			return
		}
		answer(c, q.URL.Path)
	}
}

func answer(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// client is a connection of a client's.
type client struct {
	net.Conn
	b *bufio.Reader
	t *testing.T
}

func (r *rig) client() *client {
	c, err := net.Dial("tcp", r.m.Address())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), r.t}
}

func (c *client) send(format string, a ...any) {
	c.t.Helper()
	if _, err := io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, a...), "\n", "\r\n")); err != nil {
		c.t.Fatal(err)
	}
}

// read gives status, final answer and body of the next response.
func (c *client) read() (line string) {
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	q, err := http.ReadResponse(c.b, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return "broken off: " + err.Error()
	}
	if len(body) > 60 {
		body = fmt.Appendf(nil, "%d bytes", len(body))
	}
	return fmt.Sprintf("%d %s %s", q.StatusCode, q.Header.Get("Arrowcleat-Answer"), bytes.TrimSpace(body))
}

func (c *client) expect(want string) {
	c.t.Helper()
	if got := c.read(); !strings.HasPrefix(got, want) {
		c.t.Errorf("the client got %q, not %q", got, want)
	}
}

// silent says that nothing more comes.
func (c *client) silent() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if b, err := c.b.Peek(1); err == nil {
		rest, _ := c.b.Peek(min(c.b.Buffered(), 80))
		c.t.Errorf("after its answer the client got %q%q", b, rest)
	}
}

func tempFile(t *testing.T, name string) string { return filepath.Join(t.TempDir(), name) }

func readFile(t *testing.T, path string) string {
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}
