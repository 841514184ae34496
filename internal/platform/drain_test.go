package platform

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// The nodes hang from before TERM until after KILL, and the time limit of a request ends after KILL. The request must
// be answered before KILL, and an incomplete request must not delay the end.
func TestDrainWithHungNodes(t *testing.T) {
	hang := func(_ net.Conn, b *bufio.Reader) {
		b.ReadByte() // until the dispatch is abandoned
	}
	s := startTestbed(t, hang)
	longDeadline := strings.Replace(configFormat, `"deadline-s":1.0`, `"deadline-s":20.0`, 1)
	c, err := parse(fmt.Sprintf(longDeadline, "127.0.0.1:0", hostPort(s.discovery), "127.0.0.1:0", hostPort(s.api)), emptyEnv)
	if err != nil {
		t.Fatal(err)
	}
	m := runWith(t, s, c)
	complete := dial(t, m)
	fmt.Fprint(complete, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: held\r\nX-Qos: look\r\nX-Expires-In-Ms: 20000\r\n\r\n")
	incomplete := dial(t, m)
	fmt.Fprint(incomplete, "GET /look HTTP/1.1\r\nHost: x\r\nX-Tr")
	time.Sleep(100 * time.Millisecond)
	term := time.Now()
	kill := term.Add((maxCountedLimitMs + killMarginMs) * time.Millisecond)
	drained := make(chan error, 1)
	go func() { drained <- m.Drain(nil) }()
	for status, nc := range map[string]net.Conn{"502": complete, "408": incomplete} {
		nc.SetReadDeadline(kill)
		response, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || response.Status[:3] != status && response.Status[:3] != "504" {
			t.Errorf("%v after TERM: response %v, error %v; want status %s or 504", time.Since(term), response, err, status)
		}
	}
	if err := <-drained; err != nil || time.Now().After(kill) {
		t.Errorf("Drain returned %v after TERM with error %v; want nil before KILL", time.Since(term), err)
	}
	if n := m.Front.Counters.Unanswered.Load(); n != 0 {
		t.Errorf("%d requests were not answered", n)
	}
}

// dial opens a connection to a marshal.
func dial(t *testing.T, m *Marshal) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", m.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}
