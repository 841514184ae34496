package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns an id that no request had before.
func newID() string { return fmt.Sprintf("%016x", 0x1b1f03aa00000000+lastID.Add(1)) }

// requestText returns a request in the platform's form.
func requestText(id, class, key string, limit time.Duration, body string) string {
	method, mark := "GET", ""
	if class != "lookup" {
		method, mark = "POST", fmt.Sprintf("Idempotency-Key: k%s\r\n", id)
		mark += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	} else {
		body = ""
	}
	return fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: first\r\nX-Object: %s\r\n"+
		"X-Expires-In-Ms: %d\r\n%s\r\n%s", method, class, id, class, key, limit.Milliseconds(), mark, body)
}

// load sends requests to a marshal at a rate until it is stopped.
type load struct {
	rig      *rig
	marshal  *marshal
	wg       sync.WaitGroup
	stop     chan struct{}
	stopOnce sync.Once
	sent     atomic.Int64
	served   atomic.Int64
	other    atomic.Int64
	foreign  atomic.Int64 // answers that were made for another request
	keys     int          // distinct keys of requests
}

// startLoad sends rate requests a second, every third of them with an effect.
func (g *rig) startLoad(m *marshal, rate float64, keys int) *load {
	l := &load{rig: g, marshal: m, stop: make(chan struct{}), keys: keys}
	idle := make(chan net.Conn, 1024)
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-time.After(time.Duration(float64(time.Second) / rate)):
			}
			class := "lookup"
			if i%3 == 2 {
				class = "book"
			}
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				l.one(idle, class, fmt.Sprintf("key-%d", rand.IntN(l.keys)))
			}()
		}
	}()
	g.atEnd(l.end)
	return l
}

func (l *load) end() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.wg.Wait()
}

// one sends a request on a kept or new connection and waits for its answer.
func (l *load) one(idle chan net.Conn, class, key string) {
	const limit = 4 * time.Second
	id := newID()
	var c net.Conn
	select {
	case c = <-idle:
	default:
		var err error
		if c, err = net.DialTimeout("tcp", l.marshal.address, time.Second); err != nil {
			l.other.Add(1)
			return
		}
	}
	l.sent.Add(1)
	l.rig.add("client sent %s %s %s to marshal %d", class, id, key, l.marshal.number)
	c.SetDeadline(time.Now().Add(limit + time.Second))
	if _, err := io.WriteString(c, requestText(id, class, key, limit, "one slot, please")); err != nil {
		c.Close()
		l.other.Add(1)
		return
	}
	q, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		l.rig.add("client got no answer to %s: %v", id, err)
		c.Close()
		l.other.Add(1)
		return
	}
	body, err := io.ReadAll(q.Body)
	q.Body.Close()
	l.rig.add("client got %d to %s", q.StatusCode, id)
	if err != nil || q.Close {
		c.Close()
	} else {
		select {
		case idle <- c:
		default:
			c.Close()
		}
	}
	switch {
	case q.StatusCode == 200 && string(body) == madeFor(id):
		l.served.Add(1)
	case q.StatusCode == 200 && err == nil:
		l.foreign.Add(1)
		l.rig.add("client got an answer to %s that was not made for it: %q", id, body)
	default:
		l.other.Add(1)
	}
}
