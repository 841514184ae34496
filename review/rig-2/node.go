package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Arrival is a request that has reached a node whole.
type Arrival struct {
	Node, ID, Class, Key string
	At                   time.Time
}

// Node is a stand-in for a node: it runs what reaches it, one request at a time on a connection.
type Node struct {
	Name, Address string
	Work          func() time.Duration // how long a request takes
	Body          func(id string) []byte
	OnArrival     func(Arrival)
	OnAnswer      func(id string) // before its first byte; may be nil

	ln net.Listener
}

// Start listens at a free address.
func (n *Node) Start() error {
	address, err := FreeAddress()
	if err != nil {
		return err
	}
	if n.ln, err = net.Listen("tcp", address); err != nil {
		return err
	}
	n.Address = address
	go func() {
		for {
			c, err := n.ln.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return nil
}

func (n *Node) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return // not whole: it does not begin
		}
		id := q.Header.Get("X-Trace-Id")
		n.OnArrival(Arrival{n.Name, id, q.Header.Get("X-Qos"), q.Header.Get("X-Object"), time.Now()})
		time.Sleep(n.Work())
		body := []byte("made for " + id)
		if n.Body != nil {
			body = n.Body(id)
		}
		if n.OnAnswer != nil {
			n.OnAnswer(id)
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}
