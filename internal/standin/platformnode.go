package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"arrowcleat/internal/record"
)

// Reply is how a PlatformNode answers one request.
type Reply int

// The replies. All but Served and Rejected are faults; after all but Rejected the request may have run.
const (
	Served     Reply = iota // 200
	Rejected                // 503, with the header field that says that nothing ran
	Error                   // 500
	Hung                    // no answer until the other side closes the connection
	Reset                   // the connection is reset
	Closed                  // the connection is closed without an answer
	Truncated               // the connection is closed in the middle of the answer
	Malformed               // the answer is not valid HTTP
	Duplicated              // 200, and some ms later the same answer again
)

// PlatformNode is a stand-in node with the operators' platform's protocol, over plain sockets. Its Reply function
// decides the answer to each request, and it records what reaches it.
type PlatformNode struct {
	ID          uint32
	Ver         int
	Zone        int
	IdleTimeout time.Duration // after which a connection without a request is closed; 0 for never
	// Reply returns how a request is answered, and after which time.
	Reply  func() (Reply, time.Duration)
	Record func(*record.Seen)

	ln    net.Listener
	wg    sync.WaitGroup
	mu    sync.Mutex
	conns map[net.Conn]bool
	dead  bool
}

// Start listens and serves.
func (n *PlatformNode) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("node %d: %w", n.ID, err)
	}
	n.ln, n.conns = ln, map[net.Conn]bool{}
	n.recordSeen(&record.Seen{Kind: "begins"})
	n.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if n.add(c) {
				n.wg.Go(func() { n.serve(c) })
			}
		}
	})
	return nil
}

// Address returns the address that the node listens at.
func (n *PlatformNode) Address() string { return n.ln.Addr().String() }

// Kill ends the node like a killed process: its connections are reset and new ones refused.
func (n *PlatformNode) Kill() {
	n.mu.Lock()
	if !n.dead {
		n.dead = true
		n.recordSeen(&record.Seen{Kind: "dies"})
	}
	for c := range n.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
	n.mu.Unlock()
	n.ln.Close()
	n.wg.Wait()
}

// add registers a connection; it closes it and returns false if the node has been killed.
func (n *PlatformNode) add(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.dead {
		c.Close()
		return false
	}
	n.conns[c] = true
	return true
}

// recordSeen records an observation of this node.
func (n *PlatformNode) recordSeen(s *record.Seen) {
	s.AtUs, s.Node, s.Ver, s.Zone = time.Now().UnixMicro(), n.ID, int64(n.Ver), int64(n.Zone)
	n.Record(s)
}

// serve reads and answers the requests of a connection.
func (n *PlatformNode) serve(c net.Conn) {
	defer func() {
		c.Close()
		n.mu.Lock()
		delete(n.conns, c)
		n.mu.Unlock()
	}()
	b := bufio.NewReader(c)
	for {
		if n.IdleTimeout > 0 {
			c.SetReadDeadline(time.Now().Add(n.IdleTimeout))
		}
		if _, err := b.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		q, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // the request is truncated, so it does not begin
		}
		if !n.answer(c, b, q) {
			return
		}
	}
}

// answer answers one request; it returns false if the connection ends.
func (n *PlatformNode) answer(c net.Conn, b *bufio.Reader, q *http.Request) (keep bool) {
	id := q.Header.Get("X-Trace-Id")
	limitMs, _ := strconv.ParseFloat(q.Header.Get("X-Expires-In-Ms"), 64)
	number, _, _ := strings.Cut(id, "-")
	marshal, _ := strconv.ParseInt(number, 10, 64)
	recordSeen := func(kind, text string) {
		n.recordSeen(&record.Seen{Kind: kind, Inv: id, Instance: marshal, LimitMs: limitMs, Text: text})
	}
	recordSeen("got", "")
	reply, after := n.Reply()
	if reply == Hung {
		after = time.Hour
	}
	if !waitConnected(c, b, after) {
		recordSeen("cut", "given up")
		return false
	}
	end := func(kind, text string) { recordSeen(kind, text); c.Close() }
	body := "made for " + id
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	switch reply {
	case Rejected:
		recordSeen("away", "")
		io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
	case Error:
		recordSeen("done", "500")
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
	case Reset:
		c.(*net.TCPConn).SetLinger(0)
		end("cut", "reset")
		return false
	case Closed:
		end("cut", "closed")
		return false
	case Truncated:
		io.WriteString(c, response[:len(response)-3])
		end("cut", "in the middle")
		return false
	case Malformed:
		recordSeen("done", "spoilt")
		io.WriteString(c, "HTTP/1.1 2x0 OK\r\nContent-Length: -4\r\n\r\nnoise")
		waitConnected(c, b, time.Second)
		return false
	case Duplicated:
		recordSeen("done", "200")
		io.WriteString(c, response)
		if waitConnected(c, b, 3*time.Millisecond) {
			io.WriteString(c, response)
		}
	default:
		recordSeen("done", "200")
		io.WriteString(c, response)
	}
	return true
}

// waitConnected waits for a time, or until something arrives. It returns false if the other side has closed the
// connection.
func waitConnected(c net.Conn, b *bufio.Reader, d time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(d))
	defer c.SetReadDeadline(time.Time{})
	if _, err := b.Peek(1); err != nil {
		timeout, ok := err.(net.Error)
		return ok && timeout.Timeout()
	}
	return true
}
