package tcpstate

import (
	"net"
	"testing"
	"time"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (client, server net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if client, err = net.Dial("tcp", ln.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if server, err = ln.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// TestResetWithin checks that a reset is distinguished from a close after the request was read.
func TestResetWithin(t *testing.T) {
	const timeout = 100 * time.Millisecond
	for name, c := range map[string]struct {
		serve      func(net.Conn)
		closeFirst bool // the client sends after the server has closed
		reset      bool
	}{
		"read before the close": {func(s net.Conn) { s.Read(make([]byte, 8)); s.Close() }, false, false},
		"unread at the close":   {func(s net.Conn) { time.Sleep(20 * time.Millisecond); s.Close() }, false, true},
		"sent after the close":  {func(s net.Conn) { s.Close() }, true, true},
		"read after a half-close": {func(s net.Conn) {
			s.(*net.TCPConn).CloseWrite()
			s.Read(make([]byte, 8))
			s.Close()
		}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := pair(t)
			if c.closeFirst {
				c.serve(server)
				client.Write([]byte("x"))
			} else {
				client.Write([]byte("x"))
				c.serve(server)
			}
			reset, err := ResetWithin(client, timeout)
			if err != nil || reset != c.reset {
				t.Errorf("reset %v, want %v; error %v", reset, c.reset, err)
			}
		})
	}
}

// The time since the last data counts while a connection is in the accept queue and while its data is unread, and begins
// anew with the next data.
func TestSinceLastData(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	const wait = 100 * time.Millisecond
	check := func(socket *Socket, where string, sent time.Time) {
		t.Helper()
		since, err := socket.SinceLastData()
		if elapsed := time.Since(sent); err != nil || since < wait-2*tickDuration || since > elapsed {
			t.Errorf("%s: %v since the last data, error %v; want %v to %v", where, since, err, wait-2*tickDuration, elapsed)
		}
	}
	sent := time.Now()
	client.Write([]byte("x"))
	time.Sleep(wait)
	server, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	socket, err := NewSocket(server)
	if err != nil {
		t.Fatal(err)
	}
	check(socket, "in the accept queue", sent)
	time.Sleep(wait)
	sent = time.Now()
	client.Write([]byte("x"))
	time.Sleep(wait)
	check(socket, "unread", sent)
	server.Close()
	if _, err := socket.SinceLastData(); err == nil {
		t.Error("no error for a closed connection")
	}
}
