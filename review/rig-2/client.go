package rig2

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Request is a request of a client.
type Request struct {
	ID, Class, Key, Mark string // a mark makes it a POST
	Post                 bool   // a POST without a mark
	ExpiresMs            int
	Body                 string
	More                 string // further header lines, each with its line end
}

// Text returns the request as it is sent.
func (q Request) Text() string {
	var b strings.Builder
	method := "GET"
	if q.Mark != "" || q.Post {
		method = "POST"
	}
	fmt.Fprintf(&b, "%s /%s HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: one\r\n", method,
		q.Class, q.ID, q.Class)
	if q.Key != "" {
		fmt.Fprintf(&b, "X-Object: %s\r\n", q.Key)
	}
	fmt.Fprintf(&b, "X-Expires-In-Ms: %d\r\n", q.ExpiresMs)
	if q.Mark != "" {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\nContent-Length: %d\r\n", q.Mark, len(q.Body))
	}
	if q.Mark == "" && q.Post {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.Body))
	}
	b.WriteString(q.More + "\r\n" + q.Body)
	return b.String()
}

// Conn is a connection of a client to a marshal.
type Conn struct {
	*net.TCPConn
	r *bufio.Reader
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{c.(*net.TCPConn), bufio.NewReader(c)}, nil
}

// Ask sends a request and reads its answer.
func (c *Conn) Ask(q Request) (status int, body string, keep bool, err error) {
	c.SetDeadline(time.Now().Add(time.Duration(q.ExpiresMs)*time.Millisecond + 2*time.Second))
	if _, err := io.WriteString(c, q.Text()); err != nil {
		return 0, "", false, err
	}
	return c.Answer()
}

// Answer reads an answer.
func (c *Conn) Answer() (status int, body string, keep bool, err error) {
	a, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return 0, "", false, err
	}
	text, err := io.ReadAll(a.Body)
	a.Body.Close()
	return a.StatusCode, string(text), !a.Close, err
}
