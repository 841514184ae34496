package back

import (
	"bytes"
	"net"
	"testing"
	"time"
)

// socketPair returns both ends of a TCP connection; the server's is set up as for a client of the marshal.
func socketPair(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	client, server = nc.(*net.TCPConn), accepted.(*net.TCPConn)
	if err := server.SetReadBuffer(ReceiveBufferBytes); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client, server
}

// sendInPieces writes this many bytes in pieces, or as many as the buffers take.
func sendInPieces(c net.Conn, bytesToSend, pieceBytes int) {
	c.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for sent := 0; sent < bytesToSend; sent += pieceBytes {
		if _, err := c.Write(bytes.Repeat([]byte("x"), pieceBytes)); err != nil {
			return
		}
	}
}

// becomes reports whether a condition holds within a moment.
func becomes(condition func() bool) bool {
	for end := time.Now().Add(time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// The end of a peer is seen whatever it has sent before, and however it ends. Where that is more than the buffer has room for,
// so that the end may not have arrived, the peer has sent too far ahead.
func TestPeerEndIsSeenBehindUnread(t *testing.T) {
	ends := map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	}
	for how, end := range ends {
		for _, pieceBytes := range []int{1, 80, 1400, 64 << 10} {
			for _, unread := range []int{0, 1, 4 << 10, maxSentAhead, 64 << 20} {
				if unread > 1000*1000*pieceBytes || pieceBytes == 1 && unread > maxSentAhead {
					continue
				}
				client, server := socketPair(t)
				sendInPieces(client, unread, pieceBytes)
				if StateOfPeer(server) == PeerClosed {
					t.Errorf("%d bytes in pieces of %d: an open connection counts as closed", unread, pieceBytes)
				}
				end(client)
				if !becomes(func() bool { return StateOfPeer(server) != PeerOpen }) {
					t.Errorf("%d bytes in pieces of %d: the %s is not seen", unread, pieceBytes, how)
				}
				client.Close()
				server.Close()
			}
		}
	}
}

// Only a peer that has more than maxSentAhead unread has sent too far ahead.
func TestPeerAhead(t *testing.T) {
	client, server := socketPair(t)
	sendInPieces(client, maxSentAhead, 4<<10)
	time.Sleep(10 * time.Millisecond)
	if StateOfPeer(server) != PeerOpen {
		t.Errorf("%d unread bytes are too far ahead", maxSentAhead)
	}
	sendInPieces(client, 4<<10, 4<<10)
	if !becomes(func() bool { return StateOfPeer(server) == PeerAhead }) {
		t.Errorf("%d unread bytes are not too far ahead", maxSentAhead+4<<10)
	}
}
