package platform

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxLateness is how long after its time limit a request may be answered without being lost: half a second, and the 50 ms
// that the platform adds to each limit.
const maxLateness = 550 * time.Millisecond

// startNode starts a node that answers each request with its name, and counts the requests.
func startNode(t *testing.T, name string) (entry string, received *atomic.Int64) {
	received = &atomic.Int64{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		received.Add(1)
		io.WriteString(w, name)
	}))
	t.Cleanup(s.Close)
	return fmt.Sprintf(`{"host":%q,"dial":%q,"site":"there","health":"in_service","build":7}`, name, s.Listener.Addr()), received
}

// startWithLists starts a marshal that knows one node and whose discovery tells another list after a time; never: 0.
func startWithLists(t *testing.T, known, told string, after time.Duration) *Marshal {
	t.Helper()
	s := startStreamServer(t)
	text := fmt.Sprintf(configFormat, "127.0.0.1:0", s.address, "127.0.0.1:0", s.address)
	c, err := parse(strings.Replace(text, `"hosts":[]`, `"hosts":[`+known+`]`, 1), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for a := range s.streams { // until the server is closed
			if after > 0 && strings.HasPrefix(a.target, "/v1/servers") {
				time.Sleep(after)
				a.send(listText(4, true, told))
			}
		}
	}()
	m, err := Start(c, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.End() })
	return m
}

// requestResult is what a client got for a request.
type requestResult struct {
	summary string // status and body, or the error
	took    time.Duration
}

// sendRequest sends a request with a time limit on a new connection and returns what it gets.
func sendRequest(address, path string, limit time.Duration) requestResult {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return requestResult{err.Error(), 0}
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(5 * time.Second))
	start := time.Now()
	fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: look\r\nX-Expires-In-Ms: %d\r\n\r\n", path,
		nc.LocalAddr(), limit.Milliseconds())
	response, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return requestResult{err.Error(), time.Since(start)}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return requestResult{err.Error(), time.Since(start)}
	}
	return requestResult{fmt.Sprintf("%d %s", response.StatusCode, strings.TrimSpace(string(body))), time.Since(start)}
}

// Guards against requests that come during a start without discovery being answered only once the marshal is ready, after
// their clients' time.
func TestRequestsDuringStartAreAnsweredInTime(t *testing.T) {
	known, received := startNode(t, "known")
	m := startWithLists(t, known, "", 0)
	limits := []time.Duration{100, 200, 300}
	results := make(chan requestResult, len(limits))
	for _, limit := range limits {
		limit *= time.Millisecond
		go func() {
			r := sendRequest(m.Address(), "/look", limit)
			if r.took > limit+maxLateness {
				r.summary += fmt.Sprintf(", answered after %v with a time limit of %v", r.took, limit)
			}
			results <- r
		}()
	}
	for range limits {
		if r := <-results; r.summary != "503 this marshal is starting" {
			t.Errorf("a request during the start: %q; want 503 in time", r.summary)
		}
	}
	if received.Load() > 0 {
		t.Errorf("%d requests were sent to a node of the list that was held last, before the new list was due", received.Load())
	}
	if r := sendRequest(m.Address(), "/healthz", time.Second); r.summary != "200 serving" {
		t.Errorf("the health check: %q", r.summary)
	}
	select {
	case <-m.Ready():
	default:
		t.Error("the health check was answered before the marshal was ready")
	}
	if r := sendRequest(m.Address(), "/look", 900*time.Millisecond); r.summary != "200 known" {
		t.Errorf("a request to the marshal once it is ready: %q", r.summary)
	}
}

// A request that comes before the first list is served by a node of that list, and no node of the list that was held last.
func TestRequestWaitsForFirstList(t *testing.T) {
	known, received := startNode(t, "known")
	told, _ := startNode(t, "told")
	m := startWithLists(t, known, told, 300*time.Millisecond)
	if r := sendRequest(m.Address(), "/look", 950*time.Millisecond); r.summary != "200 told" {
		t.Errorf("a request before the first list: %q", r.summary)
	}
	if received.Load() > 0 {
		t.Error("a node that is not in the list any more got a request")
	}
}

// A request that waits for the first list gets its final answer when the marshal ends, and a health check too.
func TestEndBeforeFirstList(t *testing.T) {
	known, _ := startNode(t, "known")
	m := startWithLists(t, known, "", 0)
	results := make(chan requestResult, 2)
	for _, path := range []string{"/look", "/healthz"} {
		go func() { results <- sendRequest(m.Address(), path, 900*time.Millisecond) }()
	}
	time.Sleep(100 * time.Millisecond)
	m.End()
	for range 2 {
		if r := <-results; !strings.HasPrefix(r.summary, "50") {
			t.Errorf("a request that was open at the end: %q; want an error status", r.summary)
		}
	}
}

// A marshal that is told to stop during its start still answers what it has taken, in time, and ends without an error.
func TestDrainBeforeFirstList(t *testing.T) {
	const limit = 300 * time.Millisecond
	known, _ := startNode(t, "known")
	m := startWithLists(t, known, "", 0)
	drained := make(chan error, 1)
	results := make(chan requestResult, 1)
	go func() { drained <- m.Drain(nil) }()
	go func() { results <- sendRequest(m.Address(), "/look", limit) }()
	if r := <-results; r.summary != "503 this marshal is starting" || r.took > limit+maxLateness {
		t.Errorf("a request during the drain: %q after %v; want 503 in time", r.summary, r.took)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
