package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"
)

// unreadRequest is a request that is sent while the process is stopped.
type unreadRequest struct {
	id    string
	limit time.Duration
	conn  net.Conn
}

// send sends the request.
func (r unreadRequest) send() { sendLook(r.conn, r.id, r.limit) }

// status waits for the answer to the request and returns its status.
func (r unreadRequest) status(t *testing.T) int {
	t.Helper()
	r.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		t.Fatalf("request %s: %v", r.id, err)
	}
	return response.StatusCode
}

// TestTimeUnreadCounts guards against a request's time limit running only from its first byte read: after a stop of the process
// (SIGSTOP), requests on kept connections and from the accept queue were dispatched with up to the whole limit.
func TestTimeUnreadCounts(t *testing.T) {
	const (
		stopped = 400 * time.Millisecond
		short   = 300 * time.Millisecond  // over when the process continues
		long    = 1200 * time.Millisecond // not over
		slack   = 150 * time.Millisecond  // of the time limit that a node is told
	)
	var told sync.Map // id -> the time limit that the node was told, in ms
	node := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		ms, _ := strconv.Atoi(q.Header.Get("X-Expires-In-Ms"))
		told.Store(q.Header.Get("X-Trace-Id"), ms)
		io.WriteString(w, "fine")
	}))
	defer node.Close()
	p := startMarshal(t, oneNodeConfig(t, node))
	var requests []unreadRequest
	for _, limit := range []time.Duration{short, long} {
		kept := p.dial()
		before := unreadRequest{"before" + limit.String(), time.Second, kept}
		before.send()
		if status := before.status(t); status != 200 {
			t.Fatalf("a request before the stop: status %d", status)
		}
		requests = append(requests, unreadRequest{"kept" + limit.String(), limit, kept})
	}
	p.stop()
	for _, limit := range []time.Duration{short, long} {
		requests = append(requests, unreadRequest{"queued" + limit.String(), limit, p.dial()})
	}
	for _, r := range requests {
		r.send()
	}
	time.Sleep(stopped)
	p.Process.Signal(syscall.SIGCONT)
	for _, r := range requests {
		status := r.status(t)
		ms, reached := told.Load(r.id)
		if r.limit == short {
			if status != 503 || reached {
				t.Errorf("request %s: status %d, told a node %v ms; want 503 and no dispatch", r.id, status, ms)
			}
			continue
		}
		if most := (long - stopped + slack).Milliseconds(); status != 200 || !reached || ms.(int) > int(most) {
			t.Errorf("request %s: status %d, told a node %v ms; want 200 and %d ms at most", r.id, status, ms, most)
		}
	}
}
