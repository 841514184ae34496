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

const settingsText = `
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

// nodeScript serves one connection as a node.
type nodeScript func(r *testRig, c net.Conn, b *bufio.Reader)

// testRig is a running marshal with its service registry and nodes.
type testRig struct {
	t             *testing.T
	settings      *settings.Settings
	m             *Marshal
	registry      *standin.Registry
	mu            sync.Mutex
	paths         []string // paths of the requests that reached nodes, in order
	wg            sync.WaitGroup
	nodeListeners []net.Listener
	nodeConns     []net.Conn
	release       chan struct{} // closed to release nodes that wait
}

// testHooks are the hooks of the marshal, and its log if a test reads it.
type testHooks struct {
	Hooks
	Log *slog.Logger // nil: discarded
}

// startRig starts a service registry, nodes that each run the script, and a marshal, and waits until the marshal knows
// the nodes.
func startRig(t *testing.T, nodes int, node nodeScript, change func(*settings.Settings), hooks testHooks) *testRig {
	t.Helper()
	set, err := settings.Parse("rig", []byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	r := &testRig{t: t, settings: set, registry: &standin.Registry{}, release: make(chan struct{})}
	if err := r.registry.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	set.Roster.Address, set.Seed = r.registry.Address(), 7
	for i := range nodes {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		r.nodeListeners = append(r.nodeListeners, ln)
		r.setNode(uint32(i+1), ln.Addr().String(), balance.Serving)
		r.wg.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				r.mu.Lock()
				r.nodeConns = append(r.nodeConns, c)
				r.mu.Unlock()
				r.wg.Go(func() { defer c.Close(); node(r, c, bufio.NewReader(c)) })
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
	r.waitFor("the marshal knows its nodes", func() bool { s, _ := r.m.Snapshot(); return len(s.Nodes) >= nodes })
	return r
}

// setNode sets a node of build 1 in the service registry.
func (r *testRig) setNode(id uint32, address string, health balance.Health) {
	r.registry.Set(control.NodeEntry{Node: balance.Node{ID: id, Ver: 1, Size: 1, Health: health}, Address: address}, 0)
}

// close ends the marshal, the service registry and the nodes.
func (r *testRig) close() {
	r.m.End()
	r.registry.Close()
	for _, ln := range r.nodeListeners {
		ln.Close()
	}
	select {
	case <-r.release:
	default:
		close(r.release)
	}
	r.mu.Lock()
	for _, c := range r.nodeConns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
}

// waitFor waits up to 2 s until a condition holds.
func (r *testRig) waitFor(condition string, holds func() bool) {
	r.t.Helper()
	for range 400 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	r.t.Fatalf("timed out waiting until %s", condition)
}

// readRequest reads a complete request at a node and records its path.
func (r *testRig) readRequest(b *bufio.Reader) (*http.Request, []byte, bool) {
	req, err := http.ReadRequest(b)
	if err != nil {
		return nil, nil, false
	}
	body, err := io.ReadAll(req.Body)
	r.mu.Lock()
	r.paths = append(r.paths, req.URL.Path)
	r.mu.Unlock()
	return req, body, err == nil
}

// received returns how many requests have reached nodes.
func (r *testRig) received() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.paths)
}

// isFirst reports whether exactly one request for a path has reached a node.
func (r *testRig) isFirst(path string) bool {
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

// echo returns a node that answers every request with a description of it.
func echo(describe func(*http.Request) string) nodeScript {
	return func(r *testRig, c net.Conn, b *bufio.Reader) {
		for {
			req, _, complete := r.readRequest(b)
			if !complete {
				return
			}
			respond(c, describe(req))
		}
	}
}

// echoPath is a node that answers every request with its path.
var echoPath = echo(func(req *http.Request) string { return req.URL.Path })

// respond writes a response with status 200.
func respond(c net.Conn, body string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// client is a client connection to the marshal.
type client struct {
	net.Conn
	b *bufio.Reader
	t *testing.T
}

// client connects a client to the marshal.
func (r *testRig) client() *client {
	c, err := net.Dial("tcp", r.m.Address())
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c), r.t}
}

// send formats and sends a request, with CRLF for each newline.
func (c *client) send(format string, a ...any) {
	c.t.Helper()
	if _, err := io.WriteString(c, strings.ReplaceAll(fmt.Sprintf(format, a...), "\n", "\r\n")); err != nil {
		c.t.Fatal(err)
	}
}

// read returns the status, the Arrowcleat-Answer header field and the body of the next response, or what went wrong.
func (c *client) read() (summary string) {
	c.SetReadDeadline(time.Now().Add(3 * time.Second))
	resp, err := http.ReadResponse(c.b, nil)
	if err != nil {
		return "no answer: " + err.Error()
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return "broken off: " + err.Error()
	}
	if len(body) > 60 {
		body = fmt.Appendf(nil, "%d bytes", len(body))
	}
	return fmt.Sprintf("%d %s %s", resp.StatusCode, resp.Header.Get("Arrowcleat-Answer"), bytes.TrimSpace(body))
}

// expect checks that the summary of the next response begins with want.
func (c *client) expect(want string) {
	c.t.Helper()
	if got := c.read(); !strings.HasPrefix(got, want) {
		c.t.Errorf("the client got %q, want prefix %q", got, want)
	}
}

// expectSilence checks that the client receives nothing more for 150 ms.
func (c *client) expectSilence() {
	c.t.Helper()
	c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	if b, err := c.b.Peek(1); err == nil {
		rest, _ := c.b.Peek(min(c.b.Buffered(), 80))
		c.t.Errorf("after the response the client got %q, buffered %q", b, rest)
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
