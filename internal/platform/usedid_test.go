package platform

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"
)

// idNode is a node that counts the requests that it gets, by id. It answers one whose id begins with "slow" only once it is
// released.
type idNode struct {
	*httptest.Server
	release chan struct{}
	mu      sync.Mutex
	counts  map[string]int
}

// startIDNode starts an idNode. entry is its entry in a list of nodes.
func startIDNode(t *testing.T) (n *idNode, entry string) {
	n = &idNode{release: make(chan struct{}), counts: map[string]int{}}
	n.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		id := q.Header.Get("X-Trace-Id")
		n.mu.Lock()
		n.counts[id]++
		n.mu.Unlock()
		if strings.HasPrefix(id, "slow") {
			<-n.release
		}
		io.WriteString(w, "fine")
	}))
	t.Cleanup(n.Close)
	t.Cleanup(func() { close(n.release) })
	return n, fmt.Sprintf(`{"host":"a","dial":%q,"site":"there","health":"in_service","build":7}`, n.Listener.Addr())
}

// received returns how often an id has reached the node.
func (n *idNode) received(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.counts[id]
}

// awaitRequest waits until an id has reached the node.
func (n *idNode) awaitRequest(t *testing.T, id string) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); n.received(id) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("request %s did not reach the node within 3 s", id)
		}
	}
}

// startWithIDNode starts an idNode and a marshal that serves with it.
func startWithIDNode(t *testing.T) (*idNode, *Marshal) {
	node, entry := startIDNode(t)
	m := startWithLists(t, "", entry, time.Millisecond)
	<-m.Ready()
	return node, m
}

// expectStatus sends a request and checks its status.
func expectStatus(t *testing.T, m *Marshal, id string, want int) {
	t.Helper()
	if status, body, err := request(t, m, id); status != want || err != nil {
		t.Errorf("request %s: status %d, body %q, error %v; want %d", id, status, body, err, want)
	}
}

// A request ran a second time where its id came again: after its answer, after its time limit, after its client had left. An
// id that a node has had reaches no node again.
func TestUsedIDReachesNoNodeAgain(t *testing.T) {
	node, m := startWithIDNode(t)
	for id, first := range map[string]func(id string){
		"answered": func(id string) { expectStatus(t, m, id, 200) },
		"slow-late": func(id string) {
			if status, _, err := request(t, m, id); status < 500 || err != nil {
				t.Errorf("request %s, whose node does not answer: status %d, error %v", id, status, err)
			}
		},
		"slow-left": func(id string) {
			nc, err := net.Dial("tcp", m.Address())
			if err != nil {
				t.Fatal(err)
			}
			sendLook(nc, id)
			node.awaitRequest(t, id)
			nc.Close()
			awaitClose(t, m)
		},
	} {
		first(id)
		attempts := node.received(id)
		expectStatus(t, m, id, 409)
		if n := node.received(id); n != attempts || n == 0 {
			t.Errorf("%s: the id reached the node %d times, %d of them by its second request", id, n, n-attempts)
		}
	}
}

// awaitClose waits until the marshal has no client connection.
func awaitClose(t *testing.T, m *Marshal) {
	t.Helper()
	const listeners = 1
	for end := time.Now().Add(3 * time.Second); m.Front.Connections() > listeners; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("a connection whose client has left is open after 3 s")
		}
	}
}

// An id whose request did not arrive completely, so that it was not accepted, may come again.
func TestUnusedIDIsServed(t *testing.T) {
	_, m := startWithIDNode(t)
	nc, err := net.Dial("tcp", m.Address())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(nc, "POST /book HTTP/1.1\r\nHost: x\r\nX-Trace-Id: half\r\nX-Qos: book\r\nIdempotency-Key: k\r\n"+
		"Content-Length: 5\r\n\r\nab")
	nc.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, nc)
	nc.Close()
	awaitClose(t, m)
	expectStatus(t, m, "half", 200)
}
