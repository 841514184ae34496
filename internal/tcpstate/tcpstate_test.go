package tcpstate

import (
	"net"
	"testing"
	"time"
)

// pair is a connection's two ends.
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

func TestResetWithin(t *testing.T) {
	const within = 100 * time.Millisecond
	for name, c := range map[string]struct {
		server func(net.Conn)
		after  bool // the client sends once the server has closed
		reset  bool
	}{
		"read before the close":   {func(s net.Conn) { s.Read(make([]byte, 8)); s.Close() }, false, false},
		"unread at the close":     {func(s net.Conn) { time.Sleep(20 * time.Millisecond); s.Close() }, false, true},
		"sent after the close":    {func(s net.Conn) { s.Close() }, true, true},
		"read after a half-close": {func(s net.Conn) { s.(*net.TCPConn).CloseWrite(); s.Read(make([]byte, 8)); s.Close() }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := pair(t)
			if c.after {
				c.server(server)
				client.Write([]byte("x"))
			} else {
				client.Write([]byte("x"))
				c.server(server)
			}
			reset, err := ResetWithin(client, within)
			if err != nil || reset != c.reset {
				t.Errorf("reset %v, %v", reset, err)
			}
		})
	}
}
