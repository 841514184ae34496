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

// Nodes hang from before TERM until after KILL, and a client has more time than KILL leaves: its request is answered before. A request
// that is half sent doesn't hold up the end.
func TestHungNodesThroughAStop(t *testing.T) {
	hangs := func(_ net.Conn, b *bufio.Reader) {
		b.ReadByte() // until it is given up
	}
	s := surround(t, hangs)
	long := strings.Replace(text, `"deadline-s":1.0`, `"deadline-s":20.0`, 1)
	c, err := parse(fmt.Sprintf(long, "127.0.0.1:0", at(s.discovery), "127.0.0.1:0", at(s.api)), nothing)
	if err != nil {
		t.Fatal(err)
	}
	m := runWith(t, s, c)
	held := dial(t, m)
	fmt.Fprint(held, "GET /look HTTP/1.1\r\nHost: x\r\nX-Trace-Id: held\r\nX-Qos: look\r\nX-Expires-In-Ms: 20000\r\n\r\n")
	half := dial(t, m)
	fmt.Fprint(half, "GET /look HTTP/1.1\r\nHost: x\r\nX-Tr")
	time.Sleep(100 * time.Millisecond)
	told := time.Now()
	kill := told.Add((maxCountedLimitMs + killMarginMs) * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- m.Drain(nil) }()
	for what, nc := range map[string]net.Conn{"502": held, "408": half} {
		nc.SetReadDeadline(kill)
		q, err := http.ReadResponse(bufio.NewReader(nc), nil)
		if err != nil || q.Status[:3] != what && q.Status[:3] != "504" {
			t.Errorf("%v after TERM: %v, %v; want %s", time.Since(told), q, err, what)
		}
	}
	if err := <-stopped; err != nil || time.Now().After(kill) {
		t.Errorf("it ended %v after TERM, with %v", time.Since(told), err)
	}
	if n := m.Front.Counts.Unanswered.Load(); n != 0 {
		t.Errorf("%d requests without an answer", n)
	}
}

func dial(t *testing.T, m *Marshal) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", m.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	return nc
}
