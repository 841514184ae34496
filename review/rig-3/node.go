package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has reached a node.
type arrival struct {
	at         time.Time
	id, node   string
	class, key string
	build      int
	remoteAddr string
}

// node is a sound node of the platform.
type node struct {
	*server
	rig  *rig
	host host
	took func() time.Duration // how long a request runs
	fail func(class string) bool
	// again returns whether the answer is sent a second time, some milliseconds behind; nil: never.
	again func() bool
}

// arrivals are all requests that have reached nodes.
type arrivals struct {
	mu  sync.Mutex
	all []arrival
}

func (a *arrivals) add(x arrival) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, x)
}

func (a *arrivals) list() []arrival {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]arrival(nil), a.all...)
}

func (g *rig) newNode(name, site string, build int, seen, answered *arrivals, took time.Duration) (n *node, err error) {
	n = &node{rig: g, took: func() time.Duration { return took }}
	n.server, err = g.serve(func(c net.Conn, b *bufio.Reader, q *http.Request) bool {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return false
		}
		x := arrival{time.Now(), q.Header.Get("X-Trace-Id"), name, q.Header.Get("X-Qos"), q.Header.Get("X-Object"), n.host.build,
			c.RemoteAddr().String()}
		seen.add(x)
		g.add("node %s/%d got %s %s %s", name, n.host.build, x.class, x.id, x.key)
		c.SetReadDeadline(time.Now().Add(n.took()))
		if _, err := b.Peek(1); err != nil {
			if t, ok := err.(net.Error); !ok || !t.Timeout() {
				return false // given up
			}
		}
		c.SetReadDeadline(time.Time{})
		if n.fail != nil && n.fail(x.class) {
			g.add("node %s/%d answered 500 to %s", name, n.host.build, x.id)
			_, err := io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		}
		body := madeFor(x.id)
		var out bytes.Buffer
		fmt.Fprintf(&out, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := c.Write(out.Bytes()); err != nil {
			return false
		}
		answered.add(arrival{time.Now(), x.id, name, x.class, x.key, n.host.build, x.remoteAddr})
		g.add("node %s/%d answered %s", name, n.host.build, x.id)
		if n.again == nil || !n.again() {
			return true
		}
		// The second answer comes only while nothing else waits on the connection.
		c.SetReadDeadline(time.Now().Add(secondAnswerAfter))
		_, err := b.Peek(1)
		c.SetReadDeadline(time.Time{})
		if t, ok := err.(net.Error); ok && t.Timeout() {
			g.add("node %s/%d answered %s a second time", name, n.host.build, x.id)
			_, err = c.Write(out.Bytes())
		}
		return err == nil
	})
	if err != nil {
		return nil, err
	}
	n.host = host{name: name, address: n.address(), site: site, health: "in_service", build: build}
	return n, nil
}

// secondAnswerAfter is the time after which a second answer follows the first.
const secondAnswerAfter = 5 * time.Millisecond

// madeFor is the body of the answer that is made for a request.
func madeFor(id string) string { return "made for " + id }
